package audit

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"
)

// Bounds of compression.
const (
	minPackedBytes   = 128      // below which compression saves nothing
	maxUnpackedBytes = 16 << 20 // of a block
)

var errTooLarge = errors.New("unpacked, it is too large")

// compress compresses, or returns the data as it is where that gains nothing. Blocks
// are small and many: a compressor without state of its own serves them best.
func compress(b []byte) []byte {
	if len(b) < minPackedBytes {
		return b
	}
	var out bytes.Buffer
	if err := flate.StatelessDeflate(&out, b, true, nil); err != nil {
		return b
	}
	return out.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(out) > maxUnpackedBytes {
		return nil, errTooLarge
	}
	return out, nil
}
