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

// Store is the part of the key-value store that reading and trimming the log needs.
type Store interface {
	Get(ctx context.Context, key string) (wire.KeyValue, error)
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	Commit(ctx context.Context, txn wire.Txn) (revision uint64, failed []string, err error)
}

// Archive is the audit log as read from the store.
type Archive struct {
	TrimmedHead Head // head of the blocks that were exported and trimmed; zero if none were
	Blocks      [][]byte
	// Faults has an error for an invalid trim mark, and for each block key whose value is
	// not a block or has another block's number.
	Faults     []error
	trimMark   wire.KeyValue
	blockItems []wire.KeyValue
}

// Read reads the audit log, oldest block first. The trim mark must have a valid seal;
// otherwise anyone who can write to the store could hide the beginning of the log.
func Read(ctx context.Context, store Store, ring *keyring.Ring) (*Archive, error) {
	var archive Archive
	item, err := store.Get(ctx, TrimKey)
	if err == nil {
		if archive.TrimmedHead, err = openTrimMark(ring, item.Value); err != nil {
			archive.Faults = append(archive.Faults, fmt.Errorf("the mark of what was trimmed: %w", err))
		}
		archive.trimMark = item
	} else if !errors.Is(err, kvstore.ErrNotFound) {
		return nil, err
	}
	if archive.blockItems, _, err = store.List(ctx, BlockPrefix); err != nil {
		return nil, err
	}
	slices.Reverse(archive.blockItems)
	for _, item := range archive.blockItems {
		seq, ok := BlockSeq(item.Key)
		raw, err := DecodeValue(item.Value)
		if !ok {
			err = errors.New("it is no block's")
		}
		if err != nil {
			archive.Faults = append(archive.Faults, fmt.Errorf("key %s: %w", item.Key, err))
			continue
		}
		if block, err := Open(raw); err == nil && block.Seq != seq {
			archive.Faults = append(archive.Faults, fmt.Errorf("key %s holds block %d: %w", item.Key, block.Seq, ErrOrder))
		}
		archive.Blocks = append(archive.Blocks, raw)
	}
	return &archive, nil
}

// openTrimMark reads the trim mark, which is stored as pending entries: a single Trimmed
// entry whose subject is the head of the trimmed blocks.
func openTrimMark(ring *keyring.Ring, value []byte) (Head, error) {
	if ring == nil {
		return Head{}, keyring.ErrUnknown
	}
	pending, err := ReadPending(ring, TrimKey, value)
	if err != nil {
		return Head{}, err
	}
	if len(pending.Entries) != 1 {
		return Head{}, errors.New("not a mark")
	}
	return ParseHead(pending.Entries[0].Subject)
}

// Trim removes blocks up to and including number upTo from the store, in transactions of
// at most ops operations, and returns how many it removed. The blocks must have been
// exported, and the export read back. The newest block always stays, because the next
// leader continues the chain from it.
func (archive *Archive) Trim(
	ctx context.Context, store Store, ring *keyring.Ring, upTo uint64, ops int,
) (removed int, err error) {
	markRevision := archive.trimMark.ModRevision
	for len(archive.blockItems) > 1 {
		n := 0
		txn := wire.Txn{Compares: []wire.Compare{{Key: TrimKey, ModRevision: markRevision}}}
		var head Head
		for n < min(len(archive.blockItems)-1, ops-1) {
			item := archive.blockItems[n]
			raw, err := DecodeValue(item.Value)
			if err != nil {
				return removed, err
			}
			block, err := Open(raw)
			if err != nil {
				return removed, err
			}
			if block.Seq > upTo {
				break
			}
			head = block.Head()
			txn.Compares = append(txn.Compares, wire.Compare{Key: item.Key, ModRevision: item.ModRevision})
			txn.Operations = append(txn.Operations, wire.Operation{Delete: item.Key})
			n++
		}
		if n == 0 {
			return removed, nil
		}
		mark := PendingEntries{Entries: []Entry{{At: time.Now(), Action: Trimmed, Subject: head.String()}}}
		put, err := mark.Put(ring, TrimKey)
		if err != nil {
			return removed, err
		}
		txn.Operations = append(txn.Operations, put)
		revision, failed, err := store.Commit(ctx, txn)
		if err != nil {
			return removed, err
		}
		if len(failed) > 0 {
			return removed, fmt.Errorf("audit: trim conflicts with a concurrent change of keys %v", failed)
		}
		markRevision, archive.blockItems = revision, archive.blockItems[n:]
		removed += n
	}
	return removed, nil
}
