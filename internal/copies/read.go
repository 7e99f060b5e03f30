package copies

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/history"
	"rillflow/internal/ledger"
	"rillflow/internal/state"
)

// Read reads all that copies hold from the state service, as it was at one generation:
// what changed while it was read is taken from the log.
func Read(ctx context.Context, st *state.Client) (*Tree, Head, error) {
	v, err := history.Read(ctx, st)
	if err != nil {
		return nil, Head{}, err
	}
	h := Head{History: v.ID}
	it, err := st.Get(ctx, "epoch")
	var m struct {
		Epoch uint64 `json:"n"`
	}
	if err == nil {
		err = json.Unmarshal(it.Value, &m)
	}
	if err != nil && !errors.Is(err, state.ErrNotFound) {
		return nil, Head{}, fmt.Errorf("epoch: %w", err)
	}
	h.Epoch = m.Epoch
	prefixes := []string{ledger.LivePrefix, ledger.ChunkPrefix, ledger.EndedPrefix}
	stamps := make(map[string]uint64)
	txn := iradix.New[[]byte]().Txn()
	var from [3]uint64
	for i, p := range prefixes {
		items, gen, err := st.List(ctx, p)
		if err != nil {
			return nil, Head{}, err
		}
		from[i] = gen
		for _, it := range items {
			stamps[it.Key] = it.ModRevision
			txn.Insert([]byte(it.Key), it.Value)
		}
	}
	// All up to the generation of the last list's answer, or later: a watch's answer
	// holds all changes up to the generation that it tells.
	last := max(from[0], from[1], from[2])
	for key, stamp := range stamps {
		if stamp > last {
			txn.Delete([]byte(key)) // an end that came while ends were read
		}
	}
	for i, p := range prefixes {
		for at := from[i]; at < last; {
			log, err := st.Watch(ctx, p, at, 0)
			if err != nil {
				return nil, Head{}, err
			}
			for _, c := range log.Events {
				key := c.Put + c.Delete
				if c.ModRevision > last || c.ModRevision <= stamps[key] {
					continue
				}
				stamps[key] = c.ModRevision
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
	h.Gen = last
	t := txn.Commit()
	h.Keys = t.Len()
	return t, h, nil
}
