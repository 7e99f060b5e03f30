package leader

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/recovery"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// dataRecovery writes lost data back to the store, and holds placement until it is safe.
//
// Serve runs restoreLiveData before any loop that makes decisions, then finishRecovery alongside
// them. The scheduler asks it whether tasks may be placed, the heartbeat reconciler has it adopt
// tasks that workers report, the status view reads the progress; all of these hold mu. mu guards
// progress, and only the two functions, one after the other, change its pending writes. The
// recovery must not hold mu during a request to the store, nor let a task be placed that may already
// be running.
type dataRecovery struct {
	*termScope
	storeReader *storeReader

	progress *recoveryProgress // set by the loader; nil if there is nothing to recover
}

// recoveryProgress is the state of the recovery of data that the store has lost.
type recoveryProgress struct {
	full           bool             // all data is recovered; otherwise only end records are still to be written
	exact          bool             // this controller's replica has every claim whose task may have been started
	pending        []recovery.Write // writes still to be made, live data first
	written        int              // number of writes made
	recovered      recovery.Counts
	missingPeers   []string // peers whose replicas could not be read
	damagedKeys    []string // keys whose value no source could replace
	orphanedClaims []string // jobs with claims but without any record

	durableAt          time.Time // when all live data was stored again; zero before
	placementResumedAt time.Time // zero before
}

// restoreLiveData writes all live data back, and advances the incarnation to the phase in which
// only end records are still missing.
func (r *dataRecovery) restoreLiveData(ctx context.Context) error {
	if r.progress == nil || !r.progress.full {
		return nil
	}
	liveWrites := slices.IndexFunc(r.progress.pending, func(write recovery.Write) bool { return !write.IsLive })
	if liveWrites < 0 {
		liveWrites = len(r.progress.pending)
	}
	if err := r.writePending(ctx, liveWrites, urgentWriteReserve/2); err != nil {
		return err
	}
	r.mu.Lock()
	r.progress.durableAt = r.now()
	r.mu.Unlock()
	return r.advancePhase(ctx, dataloss.PhaseRestoringResults)
}

// finishRecovery writes the end records back, which nothing waits for, and advances the incarnation
// to its last phase.
func (r *dataRecovery) finishRecovery(ctx context.Context) error {
	switch r.leadership.Incarnation().Phase {
	case dataloss.PhaseProvisional:
		if err := r.awaitEarlierEpochs(ctx); err != nil {
			return err
		}
	case dataloss.PhaseRecovering, dataloss.PhaseRestoringResults:
		if err := r.writePending(ctx, len(r.progress.pending), nonUrgentWriteReserve); err != nil {
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

// advancePhase advances the store's incarnation to a phase, and retries until the store answers.
func (r *dataRecovery) advancePhase(ctx context.Context, phase dataloss.Phase) error {
	isFinal := func(err error) bool {
		return !errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrOutcomeUnknown)
	}
	err := r.storeReader.retry(ctx, isFinal, func() error { return r.leadership.AdvancePhase(ctx, phase) })
	if err == nil {
		r.log.Info("recovery phase reached", "phase", phase)
	}
	return err
}

// writePending makes the first count pending writes, in transactions as large as the limits and
// the write budget allow.
func (r *dataRecovery) writePending(ctx context.Context, count int, reserve float64) error {
	limits := r.txnLimits()
	for count > 0 {
		allowance, err := r.writeAllowance(1, reserve)
		var exhausted *budgetExhaustedError
		if errors.As(err, &exhausted) {
			if !retry.Sleep(ctx, exhausted.wait) {
				return ctx.Err()
			}
			continue
		}
		if err != nil {
			return err
		}
		writes := firstWrites(r.progress.pending[:count], min(limits.operations, allowance))
		revision, err := r.commitWrites(ctx, writes)
		if err != nil {
			return err
		}
		r.mu.Lock()
		for _, write := range writes {
			if write.Data != nil {
				r.jobs.SetModRevision(write.Key, revision)
			}
		}
		r.progress.written += len(writes)
		r.progress.pending = r.progress.pending[len(writes):]
		r.mu.Unlock()
		count -= len(writes)
	}
	return nil
}

// firstWrites returns the longest prefix of the writes that goes into one transaction.
func firstWrites(writes []recovery.Write, maxOperations int) []recovery.Write {
	count, size := 0, 0
	for count < min(len(writes), maxOperations) && size < maxTxnBytes {
		size += len(writes[count].Data)
		count++
	}
	return writes[:count]
}

// commitWrites commits writes in one transaction, and retries until its outcome is known. It returns
// the revision at which they were stored.
func (r *dataRecovery) commitWrites(ctx context.Context, writes []recovery.Write) (uint64, error) {
	txn := recoveryTxn(r.leadership.Compares(), writes)
	for attempt := 0; ; attempt++ {
		revision, failed, err := r.store.Commit(ctx, txn)
		if err == nil && len(failed) == 0 {
			return revision, nil
		}
		if err == nil {
			if err := r.leadership.CheckCompares(failed); err != nil {
				return 0, err
			}
			// An earlier attempt whose response was lost may have been applied, or a user may
			// have cancelled the job: read the stored value. Nobody but the leader writes
			// anything else in this phase.
			revision, err = r.storedRevision(ctx, writes[0].Value)
			if err == nil {
				return revision, nil
			}
			var foreign *foreignWriteError
			if errors.As(err, &foreign) {
				return 0, r.suspectDataLoss(foreign)
			}
		}
		if errors.Is(err, kvstore.ErrTooLarge) {
			return 0, err
		}
		if !r.backOffWrite(ctx, attempt) {
			return 0, ctx.Err()
		}
	}
}

// recoveryTxn builds the transaction that makes the writes while the given compares hold.
func recoveryTxn(compares []wire.Compare, writes []recovery.Write) wire.Txn {
	txn := wire.Txn{Compares: compares}
	for _, write := range writes {
		txn.Compares = append(txn.Compares, wire.Compare{Key: write.Key, ModRevision: write.ModRevision})
		op := wire.Operation{Put: write.Key, Value: write.Data}
		if write.Data == nil {
			op = wire.Operation{Delete: write.Key}
		}
		txn.Operations = append(txn.Operations, op)
	}
	return txn
}

// storedRevision returns the revision at which a value was stored. The error is a
// *foreignWriteError if another value is stored.
func (r *dataRecovery) storedRevision(ctx context.Context, value recovery.Value) (uint64, error) {
	item, err := r.store.Get(ctx, value.Key)
	switch {
	case errors.Is(err, kvstore.ErrNotFound) && value.Data == nil:
		return 0, nil
	case errors.Is(err, kvstore.ErrNotFound), err == nil && !sameJSON(item.Value, value.Data):
		return 0, &foreignWriteError{value.Key}
	}
	return item.ModRevision, err
}

// sameJSON reports whether two JSON values are equal, whatever their formatting: the store may
// change that.
func sameJSON(a, b []byte) bool {
	var decodedA, decodedB any
	if json.Unmarshal(a, &decodedA) != nil || json.Unmarshal(b, &decodedB) != nil {
		return false
	}
	encodedA, errA := json.Marshal(decodedA)
	encodedB, errB := json.Marshal(decodedB)
	return errA == nil && errB == nil && string(encodedA) == string(encodedB)
}
