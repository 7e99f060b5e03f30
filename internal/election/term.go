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

// ErrDeposed says that a leadership has ended: another controller leads, or the lease
// expired.
var ErrDeposed = errors.New("election: deposed")

// Term is one leadership. It is made by an Elector that won the leader key and lives until
// the context that it is served under ends. Its methods may be called by several goroutines.
type Term struct {
	FirstEpoch uint64 // the epoch it began with

	incarnation    dataloss.IncarnationState // that it belongs to, as it was at the start
	previousMap    ShardMap                  // the latest map known when it began
	store          *kvstore.Client
	leaderRevision uint64 // mod revision of the leader key
	leaseID        uint64
	elector        *Elector

	mu             sync.Mutex // guards what follows
	shardMap       ShardMap
	epochRevision  uint64    // mod revision of the epoch key
	leaseHeldUntil time.Time // the lease lasts until then at least
	steppedDownAt  time.Time // the lease is no longer renewed since then; zero: it is
}

// Epoch returns the term's present epoch.
func (t *Term) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shardMap.Epoch
}

// ShardMap returns the term's present shard map.
func (t *Term) ShardMap() ShardMap {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shardMap
}

// Incarnation returns the store incarnation that the term belongs to, as it was when the
// term began.
func (t *Term) Incarnation() dataloss.IncarnationState { return t.incarnation }

// PreviousMap returns the latest shard map that this controller knew before the term.
func (t *Term) PreviousMap() ShardMap { return t.previousMap }

// Compares returns the conditions that every write of the leader carries: that it leads,
// and that the store holds the incarnation that it leads in. The second is needed where
// data was lost, since a mod revision of the leader key may then come again.
func (t *Term) Compares() []wire.Compare {
	compares := []wire.Compare{{Key: leaderKey, ModRevision: t.leaderRevision}}
	if compare, ok := t.incarnation.Compare(); ok {
		compares = append(compares, compare)
	}
	return compares
}

// CheckCompares returns the error that a transaction's failed compares stand for: that
// another controller leads, or that the store holds another incarnation. It returns nil if
// neither of the term's own compares is among them.
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

// LeaderCompareFailed reports whether the keys of failed compares contain the leader key,
// so that the leadership has ended.
func LeaderCompareFailed(failed []string) bool {
	return slices.Contains(failed, leaderKey)
}

// AdvancePhase stores that the term's incarnation has reached a recovery phase.
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

// RaiseEpoch moves the term to the next epoch, with the workers sharded among owners, so
// that workers that see it refuse commands sent before.
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
		// An earlier raise whose response was lost did go through.
		item, err := t.store.Get(ctx, epochKey)
		if err != nil {
			return fmt.Errorf("election: read raised epoch: %w", err)
		}
		if err := json.Unmarshal(item.Value, &next); err != nil {
			return fmt.Errorf("election: decode %s: %w", epochKey, err)
		}
		revision = item.ModRevision
	}
	t.setShardMap(next, revision)
	t.elector.LearnShardMap(next)
	return nil
}

// nextShardMap returns the map of the epoch after the present one, and the mod revision
// that the epoch key must still have for it to be stored.
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

// setShardMap notes a map that was stored under the epoch key, and at which revision.
func (t *Term) setShardMap(shardMap ShardMap, epochRevision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shardMap, t.epochRevision = shardMap, epochRevision
}
