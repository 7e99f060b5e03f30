package leader

import (
	"context"
	"errors"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
)

// claimWriter writes the changes of the job table to the store: claims, finished tasks and
// ends of jobs, one batch at a time, each with the audit blocks that record it.
//
// Serve runs its loop, runClaimWriter; other components only wake it by writeSignal. Its own
// state is guarded by mu. It holds the slot of the audit log from building a batch until the
// outcome is known, and must not hold mu during a request to the store. The job table is updated
// only once the outcome is certain.
type claimWriter struct {
	*termScope
	cancellations *cancellations
	dependencies  *dependencies
	storeReader   *storeReader

	lastNonUrgentTurn time.Time // when non-urgent changes were last written, or could have been
	backlogLoggedAt   time.Time // when logBacklog last checked the backlog
}

// minBatchOps is the smallest limit on the operations of a batch: the end of a job takes three.
const minBatchOps = 3

// Fractions of the write budget that batches leave to other writes. Urgent changes leave some to
// submissions and cancellations. Non-urgent ones leave most of it, so that the end of a job, which
// a dependent may be waiting for, can be written at once.
const (
	urgentWriteReserve    = 0.25
	nonUrgentWriteReserve = 0.6
)

// errNothingToWrite means that neither the job table nor the audit log has anything to write now.
var errNothingToWrite = errors.New("leader: nothing to write")

// runClaimWriter writes the pending changes of the job table whenever writeSignal is notified. One
// batch is in flight at a time.
func (w *claimWriter) runClaimWriter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.writeSignal:
		}
		if err := w.coalesceWrites(ctx); err != nil {
			return err
		}
		if err := w.writeAll(ctx); err != nil {
			return err
		}
	}
}

// writeAll writes batches until there is nothing left to write.
func (w *claimWriter) writeAll(ctx context.Context) error {
	for attempt := 0; ; {
		err := w.writeNext(ctx)
		var exhausted *budgetExhaustedError
		switch {
		case err == nil:
			attempt = 0
		case errors.Is(err, errNothingToWrite):
			return nil
		case errors.As(err, &exhausted):
			if !w.awaitWriteBudget(ctx, exhausted.wait) {
				return ctx.Err()
			}
		case errors.Is(err, kvstore.ErrRefused):
			if !w.backOffWrite(ctx, attempt) {
				return ctx.Err()
			}
			attempt++
		default:
			return err
		}
	}
}

// writeNext builds and commits the next batch. It returns errNothingToWrite or a
// *budgetExhaustedError if no batch can be built now, kvstore.ErrRefused if the batch must be
// built again.
func (w *claimWriter) writeNext(ctx context.Context) error {
	if !w.auditLog.acquire(ctx) {
		return ctx.Err()
	}
	defer w.auditLog.release()
	batch, err := w.nextAuditedBatch()
	if err != nil {
		return err
	}
	return w.commitBatch(ctx, batch)
}

// nextAuditedBatch builds the next batch that fits the write budget, with the audit blocks that
// record it. Its errors are those of writeNext.
func (w *claimWriter) nextAuditedBatch() (*auditedBatch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, limits := w.now(), w.txnLimits()
	auditDue := w.auditLog.isDue(now, w.maxWriteDelay())
	auditOnly := w.auditLog.needsOwnBatch(limits.valueBytes) || w.jobs.NothingToWrite() && auditDue
	if w.jobs.NothingToWrite() && !auditOnly {
		return nil, errNothingToWrite
	}
	audited := &auditedBatch{Batch: &ledger.Batch{}}
	var err error
	if auditOnly {
		_, err = w.writeAllowance(1, urgentWriteReserve)
	} else {
		audited.Batch, err = w.nextBatch(limits, now)
	}
	if err != nil {
		return nil, err
	}
	// Finished tasks alone need no audit entry. Every block costs an operation of the write
	// budget, so without decisions to record, queued entries wait until they are due.
	if auditOnly || len(audited.Operations) > 0 && (len(audited.Decisions()) > 0 || auditDue) {
		if err := w.auditLog.attachBlocks(audited, blockParams{w.leadership.Epoch(), now, limits}); err != nil {
			return nil, err
		}
	}
	return audited, nil
}

// nextBatch builds the next batch of changes of the job table. If there are always urgent changes,
// the others are written after a delay all the same: unwritten finished tasks would have to run
// again if their workers were lost, and the chunks of ended jobs would pile up in the store.
func (w *claimWriter) nextBatch(store txnLimits, now time.Time) (*ledger.Batch, error) {
	reserve, urgent := nonUrgentWriteReserve, w.jobs.HasUrgentWrites()
	if urgent {
		reserve = urgentWriteReserve
	} else {
		w.lastNonUrgentTurn = now // this batch may hold all changes
	}
	allowance, err := w.writeAllowance(minBatchOps, reserve)
	if err != nil {
		return nil, err
	}
	limits := ledger.BatchLimits{
		MaxOperations: min(allowance, store.operations), MaxBytes: maxTxnBytes,
		MaxValueBytes: store.valueBytes, UrgentOnly: urgent, DeferCleanup: w.defersCleanup(),
	}
	if w.auditLog != nil {
		w.auditLog.limitBatch(&limits)
	}
	if urgent && now.Sub(w.lastNonUrgentTurn) > w.nonUrgentDelay(limits.DeferCleanup) {
		w.lastNonUrgentTurn = now
		nonUrgent := limits
		nonUrgent.UrgentOnly, nonUrgent.NonUrgentOnly = false, true
		if batch := w.jobs.NextBatch(nonUrgent, now); batch != nil {
			return batch, nil
		}
	}
	if batch := w.jobs.NextBatch(limits, now); batch != nil {
		return batch, nil
	}
	return nil, errNothingToWrite
}

// maxDeferredCleanup bounds the chunks of ended jobs that stay stored while job ends wait: a new
// leader has to read them all.
const maxDeferredCleanup = 4096

// defersCleanup reports whether deleting the chunks of ended jobs is to be deferred because job
// ends have been waiting for too long: users and dependents wait for ends, nobody for deletions.
func (w *claimWriter) defersCleanup() bool {
	backlog := w.writeBacklog()
	return backlog.OldestEndAge > w.maxWriteDelay() && backlog.Cleanup < maxDeferredCleanup
}

// nonUrgentDelay is how long non-urgent changes are deferred while there are urgent ones. It is
// longer while job ends wait: a later write covers more finished tasks, and is not needed at all if
// the end of the job is written first.
func (w *claimWriter) nonUrgentDelay(endsWait bool) time.Duration {
	if endsWait {
		return w.settings.WorkerLease() / 4
	}
	return w.maxWriteDelay()
}

// maxWriteDelay is how long job ends may wait before cleanup is deferred, how long non-urgent
// changes are deferred, and how long queued audit entries wait for a batch to be written with.
func (w *claimWriter) maxWriteDelay() time.Duration { return w.settings.HeartbeatInterval() / 2 }

// coalesceDelay is how long non-urgent changes are collected before they are written together.
func (w *claimWriter) coalesceDelay() time.Duration { return w.settings.HeartbeatInterval() / 16 }

// awaitWriteBudget waits until the write budget may have room or there are new changes, which may
// be more urgent. It returns false if ctx ended.
func (w *claimWriter) awaitWriteBudget(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-w.writeSignal:
	case <-timer.C:
	}
	return true
}

// coalesceWrites waits for coalesceDelay unless there are urgent changes: nobody waits for the
// others, and the tasks placed on the freed capacity often belong to the same jobs, so that one
// operation writes both.
func (w *claimWriter) coalesceWrites(ctx context.Context) error {
	timer := time.NewTimer(w.coalesceDelay())
	defer timer.Stop()
	for {
		w.mu.Lock()
		urgent := w.jobs.HasUrgentWrites()
		w.mu.Unlock()
		if urgent {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-w.writeSignal:
		}
	}
}
