package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/recovery"
	"rillflow/internal/wire"
)

// dataRecovery writes back what the store has lost, and holds placement until that is safe.
type dataRecovery struct {
	*termScope
	storeReader *storeReader

	progress *recoveryProgress // nil: nothing was lost
}

// recoveryProgress is what a leader does about data that the state service has lost.
type recoveryProgress struct {
	pending   []recovery.Write
	recovered recovery.Counts
	written   int
	// exact: this node led when the data was lost, so that what it remembers is all
	// that was ever launched.
	exact bool
	// full: everything is put together anew; else only ends that are still to be written.
	full               bool
	missingPeers       []string // peers that could not be asked
	damagedKeys        []string
	orphanedClaims     []string
	durableAt          time.Time // when all that is alive was stored again
	placementResumedAt time.Time // when tasks were placed again
}

// baseAttempt is the try above which a leader that rebuilds gives them out: epochs never come
// again, so no try does.
func (s *termScope) baseAttempt() uint64 { return s.firstEpoch << 16 }

// restoreLiveData stores again all that is alive, before any duty but answering beats begins.
func (r *dataRecovery) restoreLiveData(ctx context.Context) error {
	if r.progress == nil || !r.progress.full {
		return nil
	}
	n, _ := slices.BinarySearchFunc(r.progress.pending, false, func(write recovery.Write, _ bool) int {
		if write.IsLive {
			return -1
		}
		return 1
	})
	if err := r.writePending(ctx, n, urgentWriteReserve/2); err != nil {
		return err
	}
	r.mu.Lock()
	r.progress.durableAt = r.now()
	r.mu.Unlock()
	return r.advancePhase(ctx, dataloss.PhaseRestoringResults)
}

// advancePhase takes the history to a phase, however long that takes.
func (r *dataRecovery) advancePhase(ctx context.Context, phase dataloss.Phase) error {
	err := r.storeReader.retry(ctx, func() (bool, error) {
		err := r.leadership.AdvancePhase(ctx, phase)
		return !errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrOutcomeUnknown), err
	})
	if err == nil {
		r.log.Info("history", "phase", phase)
	}
	return err
}

// writePending makes the next changes, so many, in transactions of as many as the limits
// allow, within the budget.
func (r *dataRecovery) writePending(ctx context.Context, todo int, reserve float64) error {
	maxOps := r.settings.Facts.State.Least().TxnOps
	for todo > 0 {
		writes := r.progress.pending[:todo]
		budget, wait := r.store.BulkWriteAllowance(1, reserve)
		if wait > 0 {
			if !sleep(ctx, wait) {
				return ctx.Err()
			}
			continue
		}
		n, size := 0, 0
		for n < min(len(writes), maxOps, budget) && size < maxTxnBytes {
			size += len(writes[n].Data)
			n++
		}
		revision, err := r.commitWrites(ctx, writes[:n])
		if err != nil {
			return err
		}
		r.mu.Lock()
		for _, write := range writes[:n] {
			if write.Data != nil {
				r.jobs.SetModRevision(write.Key, revision)
			}
		}
		r.progress.written += n
		r.progress.pending = r.progress.pending[n:]
		r.mu.Unlock()
		todo -= n
	}
	return nil
}

// commitWrites commits one transaction of a rebuild until its fate is known.
func (r *dataRecovery) commitWrites(ctx context.Context, writes []recovery.Write) (uint64, error) {
	txn := wire.Txn{Compares: r.leadership.Compares()}
	for _, write := range writes {
		txn.Compares = append(txn.Compares, wire.Compare{Key: write.Key, ModRevision: write.ModRevision})
		op := wire.Operation{Put: write.Key, Value: write.Data}
		if write.Data == nil {
			op = wire.Operation{Delete: write.Key}
		}
		txn.Operations = append(txn.Operations, op)
	}
	for attempt := 0; ; attempt++ {
		revision, failed, err := r.store.Commit(ctx, txn)
		if err == nil && len(failed) == 0 {
			return revision, nil
		}
		if err == nil {
			if err := r.leadership.CheckCompares(failed); err != nil {
				return 0, err
			}
			// An earlier sending whose answer was lost, or a user's own end of it: read
			// what is there. Nobody but the leader writes anything else now.
			if revision, err = r.storedRevision(ctx, writes[0].Value); err == nil {
				return revision, nil
			}
			if errors.Is(err, errDifferentValue) {
				return 0, r.suspectDataLoss(fmt.Errorf("%s was written by another", writes[0].Key))
			}
		}
		if errors.Is(err, kvstore.ErrTooLarge) {
			return 0, err
		}
		if !kvstore.Backoff(ctx, attempt, r.settings.Report()/64, r.settings.Report()/4) {
			return 0, ctx.Err()
		}
	}
}

var errDifferentValue = errors.New("another value")

// storedRevision tells at which generation a value was written, if it is what is stored.
func (r *dataRecovery) storedRevision(ctx context.Context, value recovery.Value) (uint64, error) {
	item, err := r.store.Get(ctx, value.Key)
	switch {
	case errors.Is(err, kvstore.ErrNotFound) && value.Data == nil:
		return 0, nil
	case errors.Is(err, kvstore.ErrNotFound), err == nil && !sameJSON(item.Value, value.Data):
		return 0, errDifferentValue
	}
	return item.ModRevision, err
}

// sameJSON compares values as the service may have set them anew.
func sameJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	ea, err1 := json.Marshal(x)
	eb, err2 := json.Marshal(y)
	return err1 == nil && err2 == nil && string(ea) == string(eb)
}

// finishRecovery writes what nothing waits for, and tells when the history is whole.
func (r *dataRecovery) finishRecovery(ctx context.Context) error {
	switch r.leadership.Incarnation().Phase {
	case dataloss.PhaseProvisional:
		if err := r.awaitEarlierEpochs(ctx); err != nil {
			return err
		}
	case dataloss.PhaseRecovering, dataloss.PhaseRestoringResults:
		if err := r.writePending(ctx, len(r.progress.pending), idleWriteReserve); err != nil {
			return err
		}
		if err := r.awaitOrphanReports(ctx); err != nil {
			return err
		}
	default:
		return nil
	}
	if err := r.advancePhase(ctx, dataloss.PhaseComplete); err != nil {
		return err
	}
	r.replica.MarkComplete(r.leadership.Incarnation().ID)
	return nil
}

// feedReplicas sends this node's copy to the others.
func (r *dataRecovery) feedReplicas(ctx context.Context) error {
	cancels := make(map[string]context.CancelFunc)
	for {
		followers := r.replicaPeers.Followers()
		for _, follower := range followers {
			if cancels[follower] == nil {
				feedCtx, cancel := context.WithCancel(ctx)
				cancels[follower] = cancel
				r.group.Go(func() error {
					r.replica.Replicate(feedCtx, r.replicaPeers, follower, r.settings.Report()/time.Duration(pushesPerHeartbeat))
					return nil
				})
			}
		}
		for follower, cancel := range cancels {
			if !slices.Contains(followers, follower) {
				cancel()
				delete(cancels, follower)
			}
		}
		if !sleep(ctx, r.settings.Report()/2) {
			return ctx.Err()
		}
	}
}

// pushesPerHeartbeat is how often in a report interval a copy is sent on.
const pushesPerHeartbeat = 12

// endingOps is the change by which a job ended.
func endingOps(ref string, data []byte) []wire.Operation {
	return []wire.Operation{{Put: ledger.EndedKey(ref), Value: data}, {Delete: ledger.LiveKey(ref)}}
}
