package audit

import (
	"errors"
	"fmt"

	"rillflow/internal/keyring"
)

// Faults of the log. The errors of a Verifier wrap them and name the blocks.
var (
	ErrGap         = errors.New("blocks are missing")
	ErrOrder       = errors.New("blocks are out of order, or there twice")
	ErrLink        = errors.New("the block does not follow from the one before")
	ErrReplacedKey = errors.New("sealed under a key that had been replaced")
)

// Verifier checks the blocks of a chain, which are added in the order of their numbers.
type Verifier struct {
	ring      *keyring.Ring // if nil, only the links between blocks are checked
	head      Head          // end of the checked part of the chain
	newestKey uint32        // highest key number of the checked blocks
	blocks    int           // number of checked blocks
	first     uint64        // number of the first checked block
	epoch     uint64        // of the last block without a fault
}

// NewVerifier returns a verifier for the blocks that follow a head: the zero head at the
// start of the log, or the head of a trim mark or segment that has been checked itself.
func NewVerifier(ring *keyring.Ring, after Head) *Verifier {
	return &Verifier{ring: ring, head: after}
}

// Head returns the end of the checked part of the chain.
func (verifier *Verifier) Head() Head { return verifier.head }

// First returns the number of the first checked block, 0 if there is none.
func (verifier *Verifier) First() uint64 { return verifier.first }

// Blocks returns the number of checked blocks.
func (verifier *Verifier) Blocks() int { return verifier.blocks }

// Add checks the next block. After a fault the check continues from that block as it is,
// so that one fault is reported only once.
func (verifier *Verifier) Add(raw []byte) (*Block, error) {
	block, err := Open(raw)
	if err != nil {
		// The block's own number cannot be trusted; it is counted as the expected one.
		verifier.head.Seq++
		verifier.head.Hash = keyring.Digest(raw)
		return nil, fmt.Errorf("block %d: %w", verifier.head.Seq, err)
	}
	previous := verifier.head
	// The seal is checked first, so that a block with a changed number is reported as a
	// changed block and not as a gap.
	if verifier.ring != nil {
		if err := block.VerifySeal(verifier.ring); err != nil {
			verifier.head = Head{previous.Seq + 1, keyring.Digest(raw)}
			return block, fmt.Errorf("block %d: %w", previous.Seq+1, err)
		}
	}
	verifier.head = block.Head()
	verifier.blocks++
	if verifier.blocks == 1 {
		verifier.first = block.Seq
	}
	replacedKey := block.KeyID < verifier.newestKey
	verifier.newestKey = max(verifier.newestKey, block.KeyID)
	switch {
	case block.Seq <= previous.Seq:
		verifier.head = previous
		return block, fmt.Errorf("block %d after %d: %w", block.Seq, previous.Seq, ErrOrder)
	case block.Seq > previous.Seq+1:
		return block, fmt.Errorf("blocks %d to %d: %w", previous.Seq+1, block.Seq-1, ErrGap)
	case block.Prev != previous.Hash:
		return block, fmt.Errorf("block %d: %w", block.Seq, ErrLink)
	case replacedKey:
		// Whoever has a copy of a replaced key could write blocks with it.
		return block, fmt.Errorf("block %d, key %d: %w", block.Seq, block.KeyID, ErrReplacedKey)
	case block.Epoch < verifier.epoch:
		return block, fmt.Errorf("block %d: of epoch %d after %d: %w", block.Seq, block.Epoch, verifier.epoch, ErrOrder)
	}
	verifier.epoch = block.Epoch
	return block, nil
}
