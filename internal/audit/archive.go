package audit

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"rillflow/internal/keyring"
	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// Store is what reading and trimming a record asks of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.KeyValue, error)
	List(ctx context.Context, under string) ([]wire.KeyValue, uint64, error)
	Commit(ctx context.Context, t wire.Txn) (gen uint64, failed []string, err error)
}

// Archive is the record as the state service has it.
type Archive struct {
	Before Head // of what was exported and trimmed; zero where nothing was
	Blocks [][]byte
	// Found are values that hold no block at all.
	Found []error
	mark  wire.KeyValue
	keys  []wire.KeyValue
}

// Read reads the record, oldest block first. The mark of what was trimmed must be
// sealed, or whoever can write to the state service could hide the beginning.
func Read(ctx context.Context, st Store, ring *keyring.Ring) (*Archive, error) {
	var a Archive
	it, err := st.Get(ctx, TrimKey)
	if err == nil {
		if a.Before, err = openMark(ring, it.Value); err != nil {
			a.Found = append(a.Found, fmt.Errorf("the mark of what was trimmed: %w", err))
		}
		a.mark = it
	} else if !errors.Is(err, kvstore.ErrNotFound) {
		return nil, err
	}
	if a.keys, _, err = st.List(ctx, BlockPrefix); err != nil {
		return nil, err
	}
	slices.Reverse(a.keys)
	for _, it := range a.keys {
		seq, ok := BlockSeq(it.Key)
		raw, err := Raw(it.Value)
		if !ok {
			err = errors.New("it is no block's")
		}
		if err != nil {
			a.Found = append(a.Found, fmt.Errorf("key %s: %w", it.Key, err))
			continue
		}
		if b, err := Open(raw); err == nil && b.Seq != seq {
			a.Found = append(a.Found, fmt.Errorf("key %s holds block %d: %w", it.Key, b.Seq, ErrOrder))
		}
		a.Blocks = append(a.Blocks, raw)
	}
	return &a, nil
}

// openMark reads the mark of what was trimmed: a slip whose one entry names a head.
func openMark(ring *keyring.Ring, value []byte) (Head, error) {
	if ring == nil {
		return Head{}, keyring.ErrUnknown
	}
	s, err := ReadSlip(ring, TrimKey, value)
	if err != nil {
		return Head{}, err
	}
	if len(s.Entries) != 1 {
		return Head{}, errors.New("not a mark")
	}
	return ParseHead(s.Entries[0].On)
}

// Trim removes blocks from the state service up to and with a number, a few in each
// transaction. They must have been exported and the export read back. The newest
// block always stays: a leader goes on from it.
func (a *Archive) Trim(
	ctx context.Context, st Store, ring *keyring.Ring, upTo uint64, ops int,
) (removed int, err error) {
	mark := a.mark.ModRevision
	for len(a.keys) > 1 {
		n := 0
		txn := wire.Txn{Compares: []wire.Compare{{Key: TrimKey, ModRevision: mark}}}
		var head Head
		for n < min(len(a.keys)-1, ops-1) {
			it := a.keys[n]
			raw, err := Raw(it.Value)
			if err != nil {
				return removed, err
			}
			b, err := Open(raw)
			if err != nil {
				return removed, err
			}
			if b.Seq > upTo {
				break
			}
			head = b.Head()
			txn.Compares = append(txn.Compares, wire.Compare{Key: it.Key, ModRevision: it.ModRevision})
			txn.Operations = append(txn.Operations, wire.Operation{Delete: it.Key})
			n++
		}
		if n == 0 {
			return removed, nil
		}
		s := Slip{Entries: []Entry{{At: time.Now(), Act: Trimmed, On: head.String()}}}
		put, err := s.Change(ring, TrimKey)
		if err != nil {
			return removed, err
		}
		txn.Operations = append(txn.Operations, put)
		gen, failed, err := st.Commit(ctx, txn)
		if err != nil {
			return removed, err
		}
		if len(failed) > 0 {
			return removed, fmt.Errorf("audit: somebody else trims: %v", failed)
		}
		mark, a.keys = gen, a.keys[n:]
		removed += n
	}
	return removed, nil
}
