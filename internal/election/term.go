package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// ErrDeposed reports that a term has ended because another controller leads or the lease
// expired.
var ErrDeposed = errors.New("election: deposed")

// Term is one term of leadership. An Elector creates it on winning an election, and it lasts
// until the context that it is served under ends. Its methods are safe for concurrent use.
type Term struct {
	FirstEpoch uint64 // the epoch that the term began with

	incarnation    dataloss.IncarnationState // the store incarnation at the start of the term
	previousMap    ShardMap                  // the latest map known before the term
	store          *kvstore.Client
	leaderRevision uint64 // mod revision of the leader key
	leaseID        uint64
	elector        *Elector

	mu             sync.Mutex // guards the fields below
	shardMap       ShardMap
	epochRevision  uint64    // mod revision of the epoch key
	leaseHeldUntil time.Time // the lease cannot expire before then
	steppedDownAt  time.Time // when renewal of the lease stopped; zero: it is being renewed
}

// Epoch returns the term's current epoch.
func (t *Term) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shardMap.Epoch
}

// ShardMap returns the term's current shard map.
func (t *Term) ShardMap() ShardMap {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shardMap
}

// Incarnation returns the state that the term's store incarnation was in when the term began.
func (t *Term) Incarnation() dataloss.IncarnationState { return t.incarnation }

// PreviousMap returns the latest shard map known to this controller before the term.
func (t *Term) PreviousMap() ShardMap { return t.previousMap }

// Compares returns the compares that every write of the leader carries: that it still leads,
// and that the store holds the term's incarnation. The second is needed because after a loss
// of data the leader key can get the same mod revision again.
func (t *Term) Compares() []wire.Compare {
	compares := []wire.Compare{{Key: leaderKey, ModRevision: t.leaderRevision}}
	if compare, ok := t.incarnation.Compare(); ok {
		compares = append(compares, compare)
	}
	return compares
}

// CheckCompares maps the keys of a transaction's failed compares to an error: ErrDeposed if
// another controller leads, dataloss.ErrIncarnationReplaced if the store holds another
// incarnation. It returns nil if neither of the term's own compares failed.
func (t *Term) CheckCompares(failed []string) error {
	replaced := dataloss.CompareFailed(failed)
	if replaced {
		t.elector.detector.Recheck()
	}
	switch {
	case LeaderCompareFailed(failed):
		return ErrDeposed
	case replaced:
		return dataloss.ErrIncarnationReplaced
	}
	return nil
}

// LeaderCompareFailed reports whether the keys of failed compares include the leader key,
// which means that the term has ended.
func LeaderCompareFailed(failed []string) bool {
	return slices.Contains(failed, leaderKey)
}

// AdvancePhase stores the recovery phase that the term's incarnation has reached.
func (t *Term) AdvancePhase(ctx context.Context, phase dataloss.Phase) error {
	operation, err := t.incarnation.PhaseOperation(phase)
	if err != nil {
		return err
	}
	_, failed, err := t.store.Commit(ctx, wire.Txn{
		Compares: t.Compares(), Operations: []wire.Operation{operation},
	})
	if err != nil {
		return fmt.Errorf("election: store recovery phase %s: %w", phase, err)
	}
	return t.CheckCompares(failed)
}

// RaiseEpoch moves the term to the next epoch, with the workers sharded among owners. Workers
// that have seen the new epoch reject commands sent under earlier ones.
func (t *Term) RaiseEpoch(ctx context.Context, owners []string) error {
	ctx = kvstore.WithPriority(ctx, kvstore.PriorityCoordination)
	next, epochRevision := t.nextShardMap(owners)
	record, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("election: encode shard map of epoch %d: %w", next.Epoch, err)
	}
	revision, failed, err := t.store.Commit(ctx, wire.Txn{
		Compares:   append(t.Compares(), wire.Compare{Key: epochKey, ModRevision: epochRevision}),
		Operations: []wire.Operation{{Put: epochKey, Value: record}},
	})
	if err != nil {
		return fmt.Errorf("election: raise epoch to %d: %w", next.Epoch, err)
	}
	if err := t.CheckCompares(failed); err != nil {
		return err
	}
	if len(failed) > 0 {
		// An earlier attempt to raise the epoch was applied, though its response was lost.
		if next, revision, err = t.readRaisedEpoch(ctx, next); err != nil {
			return err
		}
	}
	t.setShardMap(next, revision)
	t.elector.LearnShardMap(next)
	return nil
}

// readRaisedEpoch reads back the shard map that an earlier attempt to raise the epoch to that of attempted
// has stored. The epoch of a successor, which may have been elected meanwhile, ends the term.
func (t *Term) readRaisedEpoch(ctx context.Context, attempted ShardMap) (stored ShardMap, revision uint64, err error) {
	item, err := t.store.Get(ctx, epochKey)
	if err != nil {
		return ShardMap{}, 0, fmt.Errorf("election: read raised epoch: %w", err)
	}
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		return ShardMap{}, 0, fmt.Errorf("election: decode %s: %w", epochKey, err)
	}
	if stored.Leader != attempted.Leader || stored.Epoch != attempted.Epoch {
		return ShardMap{}, 0, fmt.Errorf("%w: %s leads under epoch %d", ErrDeposed, stored.Leader, stored.Epoch)
	}
	return stored, item.ModRevision, nil
}

// nextShardMap returns the shard map of the next epoch, and the mod revision that the epoch
// key must still have when that map is stored.
func (t *Term) nextShardMap(owners []string) (next ShardMap, epochRevision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next = ShardMap{
		Epoch:        t.shardMap.Epoch + 1,
		Leader:       t.shardMap.Leader,
		Owners:       owners,
		ZoneFallback: true,
		Incarnation:  t.incarnation.ID,
	}
	return next, t.epochRevision
}

// setShardMap records the map stored under the epoch key and its revision.
func (t *Term) setShardMap(shardMap ShardMap, epochRevision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shardMap, t.epochRevision = shardMap, epochRevision
}
