package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"rillflow/internal/kvstore"
)

// epochKey is the key that holds the shard map of the highest epoch given out. Unlike the
// leader key it has no lease: epochs rise across leaderships.
const epochKey = "epoch"

// maxCredibleEpoch bounds which epochs shown by a worker are believed: above it, too few
// would be left to rise through.
const maxCredibleEpoch = 1 << 62

// watchLeases is how many lease durations a watch of the epoch key is kept open.
const watchLeases = 4

// knownEpochs is what this controller knows of the epochs given out. It is guarded by the
// Elector's mutex.
type knownEpochs struct {
	shardMap ShardMap // of the highest epoch known from the store or a peer
	stored   bool     // shardMap was read from the store, not only heard of
	shown    uint64   // the highest epoch that a worker has shown
}

// learn takes in a shard map from the store or a peer, and reports whether its epoch is
// above the one known. A map older than the one known changes nothing.
func (k *knownEpochs) learn(m ShardMap) (risen bool) {
	if m.Epoch == k.shardMap.Epoch && m.ZoneFallback {
		// A ping, which does not carry these fields, brought the rest first.
		k.shardMap.ZoneFallback, k.shardMap.Incarnation = true, m.Incarnation
	}
	if m.Epoch <= k.shardMap.Epoch {
		return false
	}
	k.shardMap, k.stored = m, false
	return true
}

// observe takes in an epoch that a worker has seen.
func (k *knownEpochs) observe(epoch uint64) {
	if epoch < maxCredibleEpoch {
		k.shown = max(k.shown, epoch)
	}
}

// highest returns the highest epoch that is known to have been given out.
func (k *knownEpochs) highest() uint64 { return max(k.shardMap.Epoch, k.shown) }

// legacyLeader reports whether the stored shard map was written by a version that knows
// nothing of store incarnations.
func (k *knownEpochs) legacyLeader() bool {
	return k.stored && k.shardMap.Epoch > 0 && k.shardMap.Incarnation == ""
}

// ShardMap returns the latest shard map that this controller knows of.
func (e *Elector) ShardMap() ShardMap {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epochs.shardMap
}

// LegacyLeader reports whether the present leader is of a version that knows nothing of
// store incarnations.
func (e *Elector) LegacyLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epochs.legacyLeader()
}

// ObserveEpoch notes an epoch that a worker has seen. The next leadership of this controller
// begins above it.
func (e *Elector) ObserveEpoch(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epochs.observe(epoch)
}

// highestEpoch returns the highest epoch that is known to have been given out.
func (e *Elector) highestEpoch() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epochs.highest()
}

// LearnShardMap takes in a shard map from the store or a peer. A map older than the one
// known changes nothing.
func (e *Elector) LearnShardMap(m ShardMap) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epochs.learn(m) {
		e.log.Info("shard map changed", "epoch", m.Epoch, "leader", m.Leader, "owners", m.Owners)
	}
}

// learnStored takes in a shard map as it is stored.
func (e *Elector) learnStored(record []byte) (ShardMap, error) {
	var m ShardMap
	if err := json.Unmarshal(record, &m); err != nil {
		return ShardMap{}, fmt.Errorf("election: decode %s: %w", epochKey, err)
	}
	e.LearnShardMap(m)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epochs.stored = e.epochs.stored || m.Epoch == e.epochs.shardMap.Epoch
	return m, nil
}

// ReadShardMap reads the shard map from the store; it returns one of epoch 0 if none is
// stored.
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

// WatchShardMap keeps to the latest shard map in the store until ctx ends.
func (e *Elector) WatchShardMap(ctx context.Context) error {
	var revision uint64 // that is known; 0: the key must be read first
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

// loadShardMap reads and learns the stored shard map. It returns the revision to watch
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
// the revision to watch from next, which is 0 if the key must be read anew.
func (e *Elector) awaitShardMap(ctx context.Context, revision uint64) (uint64, error) {
	response, err := e.store.Watch(ctx, epochKey, revision, watchLeases*e.leaseDuration)
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

// readEpoch reads the stored shard map as a candidate does. The revision is 0 if nothing is
// stored. A record that cannot be decoded counts as epoch 0, and data loss is suspected.
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
