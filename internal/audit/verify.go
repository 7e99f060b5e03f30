package audit

import (
	"errors"
	"fmt"

	"rillflow/internal/keyring"
)

// Faults of a record. Each error of a Verifier names the blocks.
var (
	ErrGap     = errors.New("blocks are missing")
	ErrOrder   = errors.New("blocks are out of order, or there twice")
	ErrLink    = errors.New("the block does not follow from the one before")
	ErrKeyBack = errors.New("sealed under a key that had been replaced")
)

// Verifier checks blocks one after the other, in the order of their numbers.
type Verifier struct {
	ring   *keyring.Ring // nil: seals cannot be checked, the links can
	head   Head          // of what was checked
	key    uint32
	blocks int
	first  uint64
	epoch  uint64
}

// NewVerifier begins after a head: the zero head at the start of a record, or that of
// a mark or segment which was checked itself.
func NewVerifier(ring *keyring.Ring, after Head) *Verifier {
	return &Verifier{ring: ring, head: after}
}

// Head is the end of what was checked.
func (v *Verifier) Head() Head { return v.head }

// First is the number of the first block that was checked; 0 if none was.
func (v *Verifier) First() uint64 { return v.first }

// Blocks is how many were checked.
func (v *Verifier) Blocks() int { return v.blocks }

// Add checks the next block. After a fault the check goes on from the block as it
// is, so that one fault is told once.
func (v *Verifier) Add(raw []byte) (*Block, error) {
	b, err := Open(raw)
	if err != nil {
		// Its number cannot be trusted; the next one has to be the one after.
		v.head.Seq++
		v.head.Hash = keyring.Digest(raw)
		return nil, fmt.Errorf("block %d: %w", v.head.Seq, err)
	}
	was := v.head
	// What is in a block says nothing until its seal holds: a changed number is
	// a changed block, not a gap.
	if v.ring != nil {
		if err := b.Sealed(v.ring); err != nil {
			v.head = Head{was.Seq + 1, keyring.Digest(raw)}
			return b, fmt.Errorf("block %d: %w", was.Seq+1, err)
		}
	}
	v.head = b.Head()
	v.blocks++
	if v.blocks == 1 {
		v.first = b.Seq
	}
	late := b.Key < v.key
	v.key = max(v.key, b.Key)
	switch {
	case b.Seq <= was.Seq:
		v.head = was
		return b, fmt.Errorf("block %d after %d: %w", b.Seq, was.Seq, ErrOrder)
	case b.Seq > was.Seq+1:
		return b, fmt.Errorf("blocks %d to %d: %w", was.Seq+1, b.Seq-1, ErrGap)
	case b.Prev != was.Hash:
		return b, fmt.Errorf("block %d: %w", b.Seq, ErrLink)
	case late:
		// Whoever still has an old key could write with it.
		return b, fmt.Errorf("block %d, key %d: %w", b.Seq, b.Key, ErrKeyBack)
	case b.Epoch < v.epoch:
		return b, fmt.Errorf("block %d: of epoch %d after %d: %w", b.Seq, b.Epoch, v.epoch, ErrOrder)
	}
	v.epoch = b.Epoch
	return b, nil
}
