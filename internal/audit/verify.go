package audit

import (
	"errors"
	"fmt"

	"rillflow/internal/keyring"
)

// Faults of the log. Each error of a Verifier names the blocks.
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

// NewVerifier begins after a head: the zero head at the start of the log, or that of
// a mark or segment which was checked itself.
func NewVerifier(ring *keyring.Ring, after Head) *Verifier {
	return &Verifier{ring: ring, head: after}
}

// Head is the end of what was checked.
func (verifier *Verifier) Head() Head { return verifier.head }

// First is the number of the first block that was checked; 0 if none was.
func (verifier *Verifier) First() uint64 { return verifier.first }

// Blocks is how many were checked.
func (verifier *Verifier) Blocks() int { return verifier.blocks }

// Add checks the next block. After a fault the check goes on from the block as it
// is, so that one fault is told once.
func (verifier *Verifier) Add(raw []byte) (*Block, error) {
	b, err := Open(raw)
	if err != nil {
		// Its number cannot be trusted; the next one has to be the one after.
		verifier.head.Seq++
		verifier.head.Hash = keyring.Digest(raw)
		return nil, fmt.Errorf("block %d: %w", verifier.head.Seq, err)
	}
	was := verifier.head
	// What is in a block says nothing until its seal holds: a changed number is
	// a changed block, not a gap.
	if verifier.ring != nil {
		if err := b.VerifySeal(verifier.ring); err != nil {
			verifier.head = Head{was.Seq + 1, keyring.Digest(raw)}
			return b, fmt.Errorf("block %d: %w", was.Seq+1, err)
		}
	}
	verifier.head = b.Head()
	verifier.blocks++
	if verifier.blocks == 1 {
		verifier.first = b.Seq
	}
	late := b.Key < verifier.key
	verifier.key = max(verifier.key, b.Key)
	switch {
	case b.Seq <= was.Seq:
		verifier.head = was
		return b, fmt.Errorf("block %d after %d: %w", b.Seq, was.Seq, ErrOrder)
	case b.Seq > was.Seq+1:
		return b, fmt.Errorf("blocks %d to %d: %w", was.Seq+1, b.Seq-1, ErrGap)
	case b.Prev != was.Hash:
		return b, fmt.Errorf("block %d: %w", b.Seq, ErrLink)
	case late:
		// Whoever still has an old key could write with it.
		return b, fmt.Errorf("block %d, key %d: %w", b.Seq, b.Key, ErrKeyBack)
	case b.Epoch < verifier.epoch:
		return b, fmt.Errorf("block %d: of epoch %d after %d: %w", b.Seq, b.Epoch, verifier.epoch, ErrOrder)
	}
	verifier.epoch = b.Epoch
	return b, nil
}
