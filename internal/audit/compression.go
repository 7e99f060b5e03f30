package audit

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"
)

// EstimateSize limits of compression.
const (
	minCompressBytes     = 128      // smaller data is not worth compressing
	maxDecompressedBytes = 16 << 20 // decompressed size of a block's entries
)

var errTooLarge = errors.New("unpacked, it is too large")

// compress returns the compressed data, or the data itself if it is small or cannot be
// compressed. It uses a stateless compressor because there are many small blocks.
func compress(data []byte) []byte {
	if len(data) < minCompressBytes {
		return data
	}
	var out bytes.Buffer
	if err := flate.StatelessDeflate(&out, data, true, nil); err != nil {
		return data
	}
	return out.Bytes()
}

func decompress(data []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(data))
	defer reader.Close()
	out, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(out) > maxDecompressedBytes {
		return nil, errTooLarge
	}
	return out, nil
}
