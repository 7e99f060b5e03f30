package leader

import (
	"context"
	"errors"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
)

// claimWriter writes the changes of the job table to the store: claims, finished tasks and
// ends of jobs, in one batch after the other, each with the audit blocks that record it.
//
// Serve runs its loop, runClaimWriter; everybody else only wakes it by writeSignal. Its own
// state is guarded by mu. It holds the slot of the audit log from the making of a batch until
// the outcome is known, and must not hold mu during a request to the store: the table is told
// of an outcome only once that is sure.
type claimWriter struct {
	*termScope
	cancellations *cancellations
	dependencies  *dependencies
	storeReader   *storeReader

	lastNonUrgentTurn time.Time // when non-urgent changes were last written, or could have been
	backlogLoggedAt   time.Time // when it was last looked whether ends wait for long
}

// minBatchOps is the least number of operations in a batch: the end of a job takes three.
const minBatchOps = 3

// Shares of the write budget that batches leave to others. Urgent changes leave some to
// submissions and cancellations. Non-urgent ones leave most of it, so that the end of a job,
// for which a dependent may wait, is written at once.
const (
	urgentWriteReserve = 0.25
	idleWriteReserve   = 0.6
)

// errNothingToWrite: neither the job table nor the audit log has anything to write now.
var errNothingToWrite = errors.New("leader: nothing to write")

// runClaimWriter writes what the job table decided, whenever writeSignal says that there is
// something. One batch is in flight at a time.
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

// writeAll writes batches until nothing is left to write.
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

// writeNext makes and commits the next batch. It returns errNothingToWrite or a
// *budgetExhaustedError if there is none to make now, kvstore.ErrRefused if the batch is to
// be made again.
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

// nextAuditedBatch makes the next batch that the write budget has room for, with the audit
// blocks that record it. Its errors are those of writeNext.
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
	// Plain finishes need no entry: what is queued waits for company until it is due,
	// for every block is an operation of the budget.
	if auditOnly || len(audited.Operations) > 0 && (len(audited.Decisions()) > 0 || auditDue) {
		if err := w.auditLog.attach(audited, blockContext{w.leadership.Epoch(), now, limits}); err != nil {
			return nil, err
		}
	}
	return audited, nil
}

// nextBatch makes the next batch of the job table's changes. Where urgent changes never cease
// the others have their turn after a delay: finished tasks would have to run again if their
// workers were lost, and what is left of finished jobs would add up.
func (w *claimWriter) nextBatch(store txnLimits, now time.Time) (*ledger.Batch, error) {
	reserve, urgent := idleWriteReserve, w.jobs.HasUrgentWrites()
	if urgent {
		reserve = urgentWriteReserve
	} else {
		w.lastNonUrgentTurn = now // whatever there is takes its turn
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

// maxDeferredCleanup is how many chunks of ended jobs may be left stored while ends wait: a new
// leader reads them all.
const maxDeferredCleanup = 4096

// defersCleanup reports whether deletions of what is left of ended jobs are to wait, for ends
// have waited for long: users and dependents wait for those, and nobody for the rest.
func (w *claimWriter) defersCleanup() bool {
	backlog := w.writeBacklog()
	return backlog.OldestEndAge > w.maxWriteDelay() && backlog.Cleanup < maxDeferredCleanup
}

// nonUrgentDelay is how long changes that nothing waits for are put off for more urgent ones:
// longer where ends wait, for a finish written later takes more tasks with it, or none at all
// where the job's end comes first.
func (w *claimWriter) nonUrgentDelay(endsWait bool) time.Duration {
	if endsWait {
		return w.settings.WorkerLease() / 4
	}
	return w.maxWriteDelay()
}

// maxWriteDelay is how long an end may wait before cleanup is deferred for it, changes that
// nothing waits for are put off, and queued audit entries wait for a batch to go with.
func (w *claimWriter) maxWriteDelay() time.Duration { return w.settings.HeartbeatInterval() / 2 }

// coalesceDelay is how long non-urgent changes are collected before they are written.
func (w *claimWriter) coalesceDelay() time.Duration { return w.settings.HeartbeatInterval() / 16 }

// awaitWriteBudget waits for the write budget, or for something more urgent to write. It
// returns false if ctx ended.
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

// coalesceWrites waits a moment while nothing urgent is to be written: nobody waits for the
// rest, and the tasks that take the freed capacity are often of the same jobs, so that one
// operation holds both.
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
