package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
)

// epochKey is the key under which the store holds the latest epoch.
const epochKey = "epoch"

// ReadStore reads all that replicas hold from the store, as it was at one revision:
// changes made while it reads are taken from the watch.
func ReadStore(ctx context.Context, store *kvstore.Client) (*Tree, Head, error) {
	incarnation, err := dataloss.Read(ctx, store)
	if err != nil {
		return nil, Head{}, err
	}
	epoch, err := readEpoch(ctx, store)
	if err != nil {
		return nil, Head{}, err
	}
	scan := storeScan{store: store, txn: iradix.New[[]byte]().Txn(), revisions: make(map[string]uint64)}
	listedAt := make([]uint64, len(replicatedPrefixes))
	for i, prefix := range replicatedPrefixes {
		if listedAt[i], err = scan.list(ctx, prefix); err != nil {
			return nil, Head{}, err
		}
	}
	// A watch's answer holds all changes up to the revision that it names, so that every
	// prefix can be brought to the revision of the last list or beyond it.
	last := slices.Max(listedAt)
	scan.dropAfter(last)
	for i, prefix := range replicatedPrefixes {
		if err := scan.replay(ctx, prefix, listedAt[i], last); err != nil {
			return nil, Head{}, err
		}
	}
	tree := scan.txn.Commit()
	return tree, Head{Incarnation: incarnation.ID, Epoch: epoch, Revision: last, Keys: tree.Len()}, nil
}

// readEpoch returns the latest epoch, or 0 if there has been none.
func readEpoch(ctx context.Context, store *kvstore.Client) (uint64, error) {
	item, err := store.Get(ctx, epochKey)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, nil
	}
	var record struct {
		Epoch uint64 `json:"n"`
	}
	if err == nil {
		err = json.Unmarshal(item.Value, &record)
	}
	if err != nil {
		return 0, fmt.Errorf("read epoch: %w", err)
	}
	return record.Epoch, nil
}

// storeScan is a reading of the store under way.
type storeScan struct {
	store     *kvstore.Client
	txn       *iradix.Txn[[]byte]
	revisions map[string]uint64 // of the last change to each key seen
}

// list reads the keys under a prefix and returns the revision of the answer.
func (s *storeScan) list(ctx context.Context, prefix string) (uint64, error) {
	items, revision, err := s.store.List(ctx, prefix)
	if err != nil {
		return 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	for _, item := range items {
		s.revisions[item.Key] = item.ModRevision
		s.txn.Insert([]byte(item.Key), item.Value)
	}
	return revision, nil
}

// dropAfter removes what is newer than a revision, such as a job that ended while the
// ended jobs were listed.
func (s *storeScan) dropAfter(last uint64) {
	for key, revision := range s.revisions {
		if revision > last {
			s.txn.Delete([]byte(key))
		}
	}
}

// replay brings a prefix from the revision of its list to a later one.
func (s *storeScan) replay(ctx context.Context, prefix string, listedAt, last uint64) error {
	for at := listedAt; at < last; {
		response, err := s.store.Watch(ctx, prefix, at, 0)
		if err != nil {
			return fmt.Errorf("watch %s: %w", prefix, err)
		}
		for _, event := range response.Events {
			key := event.Put + event.Delete
			if event.ModRevision > last || event.ModRevision <= s.revisions[key] {
				continue
			}
			s.revisions[key] = event.ModRevision
			if event.Put != "" {
				s.txn.Insert([]byte(key), event.Value)
			} else {
				s.txn.Delete([]byte(key))
			}
		}
		if response.Revision <= at {
			return nil // no change under this prefix since
		}
		at = response.Revision
	}
	return nil
}
