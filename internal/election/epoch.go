package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"rillflow/internal/kvstore"
)

// epochKey is the key that holds the shard map of the highest epoch issued. Unlike the
// leader key it has no lease, so that epochs keep rising from one term to the next.
const epochKey = "epoch"

// maxCredibleEpoch is the limit from which epochs reported by workers are ignored: a term
// that began above it would leave too few epochs for later terms.
const maxCredibleEpoch = 1 << 62

// epochWatchLeases is how many lease durations one watch request for the epoch key stays open.
const epochWatchLeases = 4

// knownEpochs tracks the epochs that this controller has learned of. It is guarded by the
// Elector's mutex.
type knownEpochs struct {
	shardMap  ShardMap // the one with the highest epoch received from the store or a peer
	fromStore bool     // whether shardMap was read from the store, not only received from a peer
	reported  uint64   // the highest epoch reported by a worker
}

// learn replaces the known shard map by one from the store or a peer if that has a higher
// epoch, and reports whether it did. A map with a lower epoch is ignored.
func (k *knownEpochs) learn(received ShardMap) (isNewer bool) {
	if received.Epoch == k.shardMap.Epoch && received.ZoneFallback {
		// The known map may come from a ping, which does not carry these two fields.
		k.shardMap.ZoneFallback, k.shardMap.Incarnation = true, received.Incarnation
	}
	if received.Epoch <= k.shardMap.Epoch {
		return false
	}
	k.shardMap, k.fromStore = received, false
	return true
}

// observe records an epoch that a worker has reported.
func (k *knownEpochs) observe(epoch uint64) {
	if epoch < maxCredibleEpoch {
		k.reported = max(k.reported, epoch)
	}
}

// highest returns the highest epoch known to have been issued.
func (k *knownEpochs) highest() uint64 { return max(k.shardMap.Epoch, k.reported) }

// legacyLeader reports whether the stored shard map was written by a version without store
// incarnations (before 0.5).
func (k *knownEpochs) legacyLeader() bool {
	return k.fromStore && k.shardMap.Epoch > 0 && k.shardMap.Incarnation == ""
}

// ShardMap returns the shard map with the highest epoch that this controller has learned.
func (e *Elector) ShardMap() ShardMap {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epochs.shardMap
}

// LegacyLeader reports whether the current leader runs a version without store incarnations
// (before 0.5).
func (e *Elector) LegacyLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epochs.legacyLeader()
}

// ObserveEpoch records an epoch that a worker has reported. This controller's next term will
// begin above it.
func (e *Elector) ObserveEpoch(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epochs.observe(epoch)
}

// highestEpoch returns the highest epoch known to have been issued.
func (e *Elector) highestEpoch() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epochs.highest()
}

// LearnShardMap replaces the known shard map by one from the store or a peer if that has a
// higher epoch. A map with a lower epoch is ignored.
func (e *Elector) LearnShardMap(received ShardMap) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epochs.learn(received) {
		e.log.Info("shard map changed",
			"epoch", received.Epoch, "leader", received.Leader, "owners", received.Owners)
	}
}

// learnStored decodes the stored shard map and learns it.
func (e *Elector) learnStored(record []byte) (ShardMap, error) {
	var stored ShardMap
	if err := json.Unmarshal(record, &stored); err != nil {
		return ShardMap{}, fmt.Errorf("election: decode %s: %w", epochKey, err)
	}
	e.LearnShardMap(stored)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epochs.fromStore = e.epochs.fromStore || stored.Epoch == e.epochs.shardMap.Epoch
	return stored, nil
}

// ReadShardMap reads and learns the shard map from the store. It returns the zero ShardMap,
// whose epoch is 0, if none is stored.
func (e *Elector) ReadShardMap(ctx context.Context) (ShardMap, error) {
	item, err := e.store.Get(ctx, epochKey)
	switch {
	case errors.Is(err, kvstore.ErrNotFound):
		return ShardMap{}, nil
	case err != nil:
		return ShardMap{}, fmt.Errorf("election: read %s: %w", epochKey, err)
	}
	return e.learnStored(item.Value)
}

// WatchShardMap learns every shard map stored until ctx ends.
func (e *Elector) WatchShardMap(ctx context.Context) error {
	var revision uint64 // the revision to watch from; 0: the key must be read first
	for attempt := 0; ctx.Err() == nil; {
		var err error
		if revision == 0 {
			revision, err = e.loadShardMap(ctx)
		} else {
			revision, err = e.awaitShardMap(ctx, revision)
		}
		if err != nil {
			e.backoff(ctx, attempt)
			attempt++
			continue
		}
		attempt = 0
	}
	return ctx.Err()
}

// loadShardMap reads the stored shard map and learns it. It returns the revision to watch
// from, which is 0 if the key could not be read.
func (e *Elector) loadShardMap(ctx context.Context) (uint64, error) {
	item, err := e.store.Get(ctx, epochKey)
	if err != nil {
		return 0, fmt.Errorf("election: read %s: %w", epochKey, err)
	}
	_, err = e.learnStored(item.Value)
	return item.ModRevision, err
}

// awaitShardMap watches for shard maps stored after a revision and learns them. It returns
// the revision to watch from next, which is 0 if the key must be read again.
func (e *Elector) awaitShardMap(ctx context.Context, revision uint64) (uint64, error) {
	response, err := e.store.Watch(ctx, epochKey, revision, epochWatchLeases*e.leaseDuration)
	if err != nil {
		if errors.Is(err, kvstore.ErrCompacted) {
			revision = 0
		}
		return revision, fmt.Errorf("election: watch %s: %w", epochKey, err)
	}
	for _, event := range response.Events {
		if event.Put == epochKey {
			_, decodeErr := e.learnStored(event.Value)
			err = errors.Join(err, decodeErr)
		}
	}
	return max(revision, response.Revision), err
}

// readEpoch reads the stored shard map for a campaign. The revision is 0 if nothing is
// stored. A record that cannot be decoded counts as epoch 0 and raises a suspicion of data
// loss.
func (e *Elector) readEpoch(ctx context.Context) (stored ShardMap, revision uint64, err error) {
	item, err := e.store.Get(ctx, epochKey)
	if errors.Is(err, kvstore.ErrNotFound) {
		return ShardMap{}, 0, nil
	}
	if err != nil {
		return ShardMap{}, 0, fmt.Errorf("election: read %s: %w", epochKey, err)
	}
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		e.log.Error("epoch key unreadable", "err", err)
		e.detector.Suspect(reasonEpochKeyUnreadable)
	}
	return stored, item.ModRevision, nil
}
