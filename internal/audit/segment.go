package audit

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"

	"rillflow/internal/codec"
	"rillflow/internal/keyring"
)

// Segment is a sequence of consecutive blocks, sealed as a whole for export to a file.
type Segment struct {
	Before Head     // head of the block before the first one
	Last   Head     // head of the last block
	Blocks [][]byte // encoded blocks, including their seals
}

// A segment is encoded as: magic (4 bytes), format version (1), key number (4), number and
// digest of the previous block (8, 32) and of the last block (8, 32), the blocks prefixed
// by their lengths and compressed, seal (32). The seal covers the compressed bytes, so that
// it also detects changed bits that decompression ignores.
const (
	segmentMagic      = "RFSG"
	segmentFixedBytes = len(segmentMagic) + 1 + 4 + 2*(8+keyring.Size)
	maxSegmentBytes   = 1 << 30 // decompressed
)

// Encode encodes the segment and seals it under the ring's active key.
func (segment *Segment) Encode(ring *keyring.Ring) ([]byte, error) {
	key := ring.ActiveKeyID()
	raw := append([]byte(segmentMagic), formatVersion)
	raw = binary.BigEndian.AppendUint32(raw, key)
	for _, head := range []Head{segment.Before, segment.Last} {
		raw = binary.BigEndian.AppendUint64(raw, head.Seq)
		raw = append(raw, head.Hash[:]...)
	}
	out := bytes.NewBuffer(raw)
	compressor, err := zstd.NewWriter(out, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	for _, block := range segment.Blocks {
		if _, err := compressor.Write(append(binary.AppendUvarint(nil, uint64(len(block))), block...)); err != nil {
			return nil, fmt.Errorf("audit: %w", err)
		}
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	seal, err := ring.Seal(key, keyring.ForAudit, out.Bytes())
	if err != nil {
		return nil, err
	}
	return append(out.Bytes(), seal[:]...), nil
}

// OpenSegment decodes a segment and checks its seal, unless ring is nil. It does not verify
// the blocks.
func OpenSegment(ring *keyring.Ring, raw []byte) (*Segment, error) {
	if len(raw) < segmentFixedBytes+sealBytes || string(raw[:len(segmentMagic)]) != segmentMagic ||
		raw[len(segmentMagic)] != formatVersion {
		return nil, fmt.Errorf("audit: segment: %w", codec.ErrFormat)
	}
	body, seal := raw[:len(raw)-sealBytes], raw[len(raw)-sealBytes:]
	offset := len(segmentMagic) + 1
	key := binary.BigEndian.Uint32(raw[offset:])
	if ring != nil {
		matches, err := ring.Check(key, keyring.ForAudit, seal, body)
		if err != nil {
			return nil, fmt.Errorf("audit: segment: %w", err)
		}
		if !matches {
			return nil, fmt.Errorf("audit: segment: %w", ErrSeal)
		}
	}
	var segment Segment
	offset += 4
	for _, head := range []*Head{&segment.Before, &segment.Last} {
		head.Seq = binary.BigEndian.Uint64(raw[offset:])
		copy(head.Hash[:], raw[offset+8:])
		offset += 8 + keyring.Size
	}
	var err error
	if segment.Blocks, err = decompressBlocks(body[segmentFixedBytes:]); err != nil {
		return nil, fmt.Errorf("audit: segment: %w", err)
	}
	return &segment, nil
}

func decompressBlocks(compressed []byte) ([][]byte, error) {
	decompressor, err := zstd.NewReader(
		bytes.NewReader(compressed), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSegmentBytes),
	)
	if err != nil {
		return nil, err
	}
	defer decompressor.Close()
	data, err := io.ReadAll(io.LimitReader(decompressor, maxSegmentBytes))
	if err != nil {
		return nil, err
	}
	var blocks [][]byte
	for len(data) > 0 {
		length, prefixBytes := binary.Uvarint(data)
		if prefixBytes <= 0 || length > uint64(len(data)-prefixBytes) {
			return nil, codec.ErrFormat
		}
		blocks = append(blocks, data[prefixBytes:prefixBytes+int(length)])
		data = data[prefixBytes+int(length):]
	}
	return blocks, nil
}

// ErrSegmentLink means that a segment does not start where the previous one ended.
var ErrSegmentLink = errors.New("segments do not join")

// Verify checks that a segment continues the chain of a verifier, and adds its blocks to
// the verifier. It calls onFault for each fault, and onBlock for each block without one.
func (segment *Segment) Verify(verifier *Verifier, onBlock func(*Block), onFault func(error)) {
	if previous := verifier.Head(); segment.Before != previous {
		onFault(fmt.Errorf("segment of blocks %d to %d after block %d: %w",
			segment.Before.Seq+1, segment.Last.Seq, previous.Seq, ErrSegmentLink))
		verifier.head = segment.Before
	}
	for _, raw := range segment.Blocks {
		block, err := verifier.Add(raw)
		if err != nil {
			onFault(err)
			continue
		}
		onBlock(block)
	}
	if verifier.Head() != segment.Last {
		onFault(fmt.Errorf("segment of blocks %d to %d ends at block %d: %w",
			segment.Before.Seq+1, segment.Last.Seq, verifier.Head().Seq, ErrGap))
	}
}
