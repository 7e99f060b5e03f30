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

// Store is what reading and trimming the audit log asks of the store.
type Store interface {
	Get(ctx context.Context, key string) (wire.KeyValue, error)
	List(ctx context.Context, under string) ([]wire.KeyValue, uint64, error)
	Commit(ctx context.Context, t wire.Txn) (gen uint64, failed []string, err error)
}

// Archive is the audit log as the store has it.
type Archive struct {
	Before Head // of what was exported and trimmed; zero where nothing was
	Blocks [][]byte
	// Found are values that hold no block at all.
	Found    []error
	trimMark wire.KeyValue
	keys     []wire.KeyValue
}

// Read reads the audit log, oldest block first. The mark of what was trimmed must be
// sealed, or whoever can write to the store could hide the beginning.
func Read(ctx context.Context, st Store, ring *keyring.Ring) (*Archive, error) {
	var a Archive
	it, err := st.Get(ctx, TrimKey)
	if err == nil {
		if a.Before, err = openTrimMark(ring, it.Value); err != nil {
			a.Found = append(a.Found, fmt.Errorf("the mark of what was trimmed: %w", err))
		}
		a.trimMark = it
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

// openTrimMark reads the mark of what was trimmed: pending entries whose only one names a head.
func openTrimMark(ring *keyring.Ring, value []byte) (Head, error) {
	if ring == nil {
		return Head{}, keyring.ErrUnknown
	}
	s, err := ReadPending(ring, TrimKey, value)
	if err != nil {
		return Head{}, err
	}
	if len(s.Entries) != 1 {
		return Head{}, errors.New("not a mark")
	}
	return ParseHead(s.Entries[0].Subject)
}

// Trim removes blocks from the store up to and with a number, a few in each
// transaction. They must have been exported and the export read back. The newest
// block always stays: a leader goes on from it.
func (archive *Archive) Trim(
	ctx context.Context, st Store, ring *keyring.Ring, upTo uint64, ops int,
) (removed int, err error) {
	mark := archive.trimMark.ModRevision
	for len(archive.keys) > 1 {
		n := 0
		txn := wire.Txn{Compares: []wire.Compare{{Key: TrimKey, ModRevision: mark}}}
		var head Head
		for n < min(len(archive.keys)-1, ops-1) {
			it := archive.keys[n]
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
		s := PendingEntries{Entries: []Entry{{At: time.Now(), Action: Trimmed, Subject: head.String()}}}
		put, err := s.Put(ring, TrimKey)
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
		mark, archive.keys = gen, archive.keys[n:]
		removed += n
	}
	return removed, nil
}
