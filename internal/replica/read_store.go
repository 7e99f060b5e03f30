package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
)

// ReadStore reads all that copies hold from the state service, as it was at one generation:
// what changed while it was read is taken from the log.
func ReadStore(ctx context.Context, store *kvstore.Client) (*Tree, Head, error) {
	v, err := dataloss.Read(ctx, store)
	if err != nil {
		return nil, Head{}, err
	}
	head := Head{Incarnation: v.ID}
	it, err := store.Get(ctx, "epoch")
	var m struct {
		Epoch uint64 `json:"n"`
	}
	if err == nil {
		err = json.Unmarshal(it.Value, &m)
	}
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return nil, Head{}, fmt.Errorf("epoch: %w", err)
	}
	head.Epoch = m.Epoch
	prefixes := []string{ledger.LivePrefix, ledger.ChunkPrefix, ledger.EndedPrefix}
	revisions := make(map[string]uint64)
	txn := iradix.New[[]byte]().Txn()
	var from [3]uint64
	for i, p := range prefixes {
		items, revision, err := store.List(ctx, p)
		if err != nil {
			return nil, Head{}, err
		}
		from[i] = revision
		for _, it := range items {
			revisions[it.Key] = it.ModRevision
			txn.Insert([]byte(it.Key), it.Value)
		}
	}
	// All up to the generation of the last list's answer, or later: a watch's answer
	// holds all changes up to the generation that it tells.
	last := max(from[0], from[1], from[2])
	for key, revision := range revisions {
		if revision > last {
			txn.Delete([]byte(key)) // an end that came while ends were read
		}
	}
	for i, p := range prefixes {
		for at := from[i]; at < last; {
			log, err := store.Watch(ctx, p, at, 0)
			if err != nil {
				return nil, Head{}, err
			}
			for _, c := range log.Events {
				key := c.Put + c.Delete
				if c.ModRevision > last || c.ModRevision <= revisions[key] {
					continue
				}
				revisions[key] = c.ModRevision
				if c.Put != "" {
					txn.Insert([]byte(key), c.Value)
				} else {
					txn.Delete([]byte(key))
				}
			}
			if log.Revision <= at {
				break // the prefix is quiet
			}
			at = log.Revision
		}
	}
	head.Revision = last
	t := txn.Commit()
	head.Keys = t.Len()
	return t, head, nil
}
