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

// Segment is a run of blocks sealed in a file of its own, for keeping elsewhere.
type Segment struct {
	Before Head // what its first block follows
	Last   Head
	Blocks [][]byte // as sealed
}

// A segment is: mark (4 bytes), format (1), key (4), number and digest of the block
// before (8, 32), of the last block (8, 32), blocks with their lengths, compressed, seal
// (32). The seal is over all before it as it stands in the file, so that a change of
// any bit shows, also one that decompressing would not notice.
const (
	segmentMagic      = "RFSG"
	segmentFixedBytes = len(segmentMagic) + 1 + 4 + 2*(8+keyring.Size)
	maxSegmentBytes   = 1 << 30 // decompressed
)

// Encode seals the segment under the newest key.
func (segment *Segment) Encode(ring *keyring.Ring) ([]byte, error) {
	key := ring.Newest()
	raw := append([]byte(segmentMagic), format)
	raw = binary.BigEndian.AppendUint32(raw, key)
	for _, h := range []Head{segment.Before, segment.Last} {
		raw = binary.BigEndian.AppendUint64(raw, h.Seq)
		raw = append(raw, h.Hash[:]...)
	}
	out := bytes.NewBuffer(raw)
	z, err := zstd.NewWriter(out, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	for _, b := range segment.Blocks {
		if _, err := z.Write(append(binary.AppendUvarint(nil, uint64(len(b))), b...)); err != nil {
			return nil, fmt.Errorf("audit: %w", err)
		}
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	seal, err := ring.Seal(key, keyring.ForAudit, out.Bytes())
	if err != nil {
		return nil, err
	}
	return append(out.Bytes(), seal[:]...), nil
}

// OpenSegment reads a segment and checks its seal; the blocks are still to be
// verified. With no ring the seal is left alone.
func OpenSegment(ring *keyring.Ring, raw []byte) (*Segment, error) {
	if len(raw) < segmentFixedBytes+sealBytes || string(raw[:len(segmentMagic)]) != segmentMagic ||
		raw[len(segmentMagic)] != format {
		return nil, fmt.Errorf("audit: segment: %w", codec.ErrFormat)
	}
	body, seal := raw[:len(raw)-sealBytes], raw[len(raw)-sealBytes:]
	at := len(segmentMagic) + 1
	key := binary.BigEndian.Uint32(raw[at:])
	if ring != nil {
		ok, err := ring.Check(key, keyring.ForAudit, seal, body)
		if err != nil {
			return nil, fmt.Errorf("audit: segment: %w", err)
		}
		if !ok {
			return nil, fmt.Errorf("audit: segment: %w", ErrSeal)
		}
	}
	var s Segment
	at += 4
	for _, h := range []*Head{&s.Before, &s.Last} {
		h.Seq = binary.BigEndian.Uint64(raw[at:])
		copy(h.Hash[:], raw[at+8:])
		at += 8 + keyring.Size
	}
	var err error
	if s.Blocks, err = decompressBlocks(body[segmentFixedBytes:]); err != nil {
		return nil, fmt.Errorf("audit: segment: %w", err)
	}
	return &s, nil
}

func decompressBlocks(packed []byte) ([][]byte, error) {
	z, err := zstd.NewReader(
		bytes.NewReader(packed), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSegmentBytes),
	)
	if err != nil {
		return nil, err
	}
	defer z.Close()
	data, err := io.ReadAll(io.LimitReader(z, maxSegmentBytes))
	if err != nil {
		return nil, err
	}
	var out [][]byte
	for len(data) > 0 {
		n, k := binary.Uvarint(data)
		if k <= 0 || n > uint64(len(data)-k) {
			return nil, codec.ErrFormat
		}
		out = append(out, data[k:k+int(n)])
		data = data[k+int(n):]
	}
	return out, nil
}

// ErrSegments says that segments of an export do not join.
var ErrSegments = errors.New("segments do not join")

// Follow checks that a segment joins what a verifier has checked, and checks its
// blocks. Every fault is passed to found, entries that hold to each.
func (segment *Segment) Follow(v *Verifier, each func(*Block), found func(error)) {
	if was := v.Head(); segment.Before != was {
		found(fmt.Errorf("segment of blocks %d to %d after block %d: %w",
			segment.Before.Seq+1, segment.Last.Seq, was.Seq, ErrSegments))
		v.head = segment.Before
	}
	for _, raw := range segment.Blocks {
		b, err := v.Add(raw)
		if err != nil {
			found(err)
			continue
		}
		each(b)
	}
	if v.Head() != segment.Last {
		found(fmt.Errorf("segment of blocks %d to %d ends at block %d: %w",
			segment.Before.Seq+1, segment.Last.Seq, v.Head().Seq, ErrGap))
	}
}
