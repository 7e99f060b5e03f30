package audit

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"
)

// Bounds of packing.
const (
	worthwhile  = 128      // bytes below which packing saves nothing
	maxUnpacked = 16 << 20 // of a block
)

var errUnpacked = errors.New("unpacked, it is too large")

// pack compresses, or returns the data as it is where that gains nothing. Blocks
// are small and many: a compressor without state of its own serves them best.
func pack(b []byte) []byte {
	if len(b) < worthwhile {
		return b
	}
	var out bytes.Buffer
	if err := flate.StatelessDeflate(&out, b, true, nil); err != nil {
		return b
	}
	return out.Bytes()
}

func unpack(b []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(out) > maxUnpacked {
		return nil, errUnpacked
	}
	return out, nil
}
