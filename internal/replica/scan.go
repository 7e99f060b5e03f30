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

// ReadStore reads all replicated keys from the store, consistently at one revision: changes
// made during the reads are taken from a watch.
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
	listRevisions := make([]uint64, len(replicatedPrefixes))
	for i, prefix := range replicatedPrefixes {
		if listRevisions[i], err = scan.list(ctx, prefix); err != nil {
			return nil, Head{}, err
		}
	}
	// The answer to a watch contains all changes up to its revision, so every prefix can be
	// brought to the revision of the last list.
	lastRevision := slices.Max(listRevisions)
	scan.dropAfter(lastRevision)
	for i, prefix := range replicatedPrefixes {
		if err := scan.replay(ctx, prefix, listRevisions[i], lastRevision); err != nil {
			return nil, Head{}, err
		}
	}
	tree := scan.txn.Commit()
	return tree, Head{Incarnation: incarnation.ID, Epoch: epoch, Revision: lastRevision, Keys: tree.Len()}, nil
}

// readEpoch returns the latest epoch, or 0 if none is stored.
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

// storeScan is a scan of the store in progress.
type storeScan struct {
	store     *kvstore.Client
	txn       *iradix.Txn[[]byte]
	revisions map[string]uint64 // of the last change seen, by key
}

// list reads the keys under a prefix and returns the revision of the list.
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

// dropAfter removes keys changed after lastRevision, such as the end of a job that ended while
// the ended jobs were listed.
func (s *storeScan) dropAfter(lastRevision uint64) {
	for key, revision := range s.revisions {
		if revision > lastRevision {
			s.txn.Delete([]byte(key))
		}
	}
}

// replay brings the keys under a prefix from listRevision, the revision of their list, to
// lastRevision.
func (s *storeScan) replay(ctx context.Context, prefix string, listRevision, lastRevision uint64) error {
	for revision := listRevision; revision < lastRevision; {
		response, err := s.store.Watch(ctx, prefix, revision, 0)
		if err != nil {
			return fmt.Errorf("watch %s: %w", prefix, err)
		}
		for _, event := range response.Events {
			key := event.Put + event.Delete
			if event.ModRevision > lastRevision || event.ModRevision <= s.revisions[key] {
				continue
			}
			s.revisions[key] = event.ModRevision
			if event.Put != "" {
				s.txn.Insert([]byte(key), event.Value)
			} else {
				s.txn.Delete([]byte(key))
			}
		}
		if response.Revision <= revision {
			return nil // no later change under this prefix
		}
		revision = response.Revision
	}
	return nil
}
