package leader

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// txnOutcome is the outcome of a transaction whose response was lost.
type txnOutcome struct {
	applied  bool
	revision uint64 // at which it was applied; 0 if unknown
}

// commitBatch commits a batch, and retries until its outcome is known. On success it has updated
// the job table. The error is kvstore.ErrRefused if the batch must be built again.
func (w *claimWriter) commitBatch(ctx context.Context, batch *auditedBatch) error {
	if len(batch.Operations) == 0 {
		w.batchCommitted(batch, 0)
		return nil
	}
	txn := wire.Txn{Compares: append(w.leadership.Compares(), batch.Compares...), Operations: batch.Operations}
	uncertain := false // whether an earlier attempt may have been applied
	for attempt := 0; ; attempt++ {
		revision, failed, err := w.store.Commit(ctx, txn)
		switch {
		case err == nil && len(failed) == 0:
			w.batchCommitted(batch, revision)
			return nil
		case err == nil && !uncertain:
			return w.compareFailed(ctx, batch, failed)
		case err == nil:
			outcome, err := w.readOutcome(ctx, batch)
			switch {
			case err != nil: // read again after the next attempt
			case outcome.applied:
				w.batchCommitted(batch, outcome.revision)
				return nil
			default:
				return w.compareFailed(ctx, batch, failed)
			}
		case errors.Is(err, kvstore.ErrTooLarge) && uncertain:
			return w.resolveOversized(ctx, batch)
		case errors.Is(err, kvstore.ErrRefused) && !uncertain:
			w.batchFailed(batch)
			return err
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			uncertain = true
		}
		if !w.backOffWrite(ctx, attempt) {
			return ctx.Err()
		}
	}
}

// errOutcomeUnresolved ends a term whose job table may or may not hold what the store does.
var errOutcomeUnresolved = errors.New("leader: transaction over the lowered limits may still be applied")

// resolveOversized handles a batch whose first attempt had no answer, and which the store has since
// refused for its size, so that it must not be sent again. If it was not applied it still may be, as long
// as this term lasts: all writes compare the leader key, so the next leader finds what is stored for good.
func (w *claimWriter) resolveOversized(ctx context.Context, batch *auditedBatch) error {
	for attempt := 0; ; attempt++ {
		outcome, err := w.readOutcome(ctx, batch)
		switch {
		case err == nil && outcome.applied:
			w.batchCommitted(batch, outcome.revision)
			return nil
		case err == nil:
			return errOutcomeUnresolved
		}
		if !w.backOffWrite(ctx, attempt) {
			return ctx.Err()
		}
	}
}

// readOutcome reads whether an earlier attempt at this batch was applied and made the compares of
// the later one fail. Audit blocks and chunks of claims identify their writer.
func (w *claimWriter) readOutcome(ctx context.Context, batch *auditedBatch) (txnOutcome, error) {
	if len(batch.blocks) > 0 {
		return batch.readOutcome(ctx, w.store)
	}
	for _, op := range batch.Operations {
		key := op.Put + op.Delete
		if strings.HasPrefix(key, ledger.LivePrefix) {
			continue // a cancellation deletes live keys too, so they prove nothing
		}
		item, err := w.store.Get(ctx, key)
		missing := errors.Is(err, kvstore.ErrNotFound)
		switch {
		case err != nil && !missing:
			return txnOutcome{}, err
		case op.Delete != "" && missing:
			continue // only this leader deletes chunks: applied, at an unknown revision
		case missing, op.Delete != "", !writtenBy(batch, key, item.Value):
			return txnOutcome{}, nil
		}
		return txnOutcome{applied: true, revision: item.ModRevision}, nil
	}
	return txnOutcome{applied: true}, nil
}

// writtenBy reports whether a stored value is the one that a batch put. Chunks carry the name of
// their writer; an end record with phase done is written by the leader only.
func writtenBy(batch *auditedBatch, key string, value []byte) bool {
	if !strings.HasPrefix(key, ledger.EndedPrefix) {
		return ledger.WriterOf(value) == batch.Writer
	}
	var end ledger.EndRecord
	return json.Unmarshal(value, &end) == nil && end.Phase == wire.PhaseDone
}

// compareFailed handles a batch that was not applied because compares failed: leadership may be
// lost, jobs may have been cancelled, or an earlier leader may have appended pending audit entries.
// Any other failed compare means that the store lost data.
func (w *claimWriter) compareFailed(ctx context.Context, batch *auditedBatch, failed []string) error {
	if err := w.leadership.CheckCompares(failed); err != nil {
		return err
	}
	w.batchFailed(batch)
	for _, key := range failed {
		jobID, isJob := strings.CutPrefix(key, ledger.LivePrefix)
		if !isJob {
			continue
		}
		end, err := w.storeReader.requireEndRecord(ctx, jobID)
		if err != nil {
			return err
		}
		w.replica.Apply(0, endOperations(jobID, end)...)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range failed {
		if w.auditLog.dropPending(key) {
			continue
		}
		jobID, isJob := strings.CutPrefix(key, ledger.LivePrefix)
		if !isJob {
			return w.suspectDataLoss(&foreignWriteError{key})
		}
		w.cancellations.cancelJob(jobID)
	}
	return nil
}

// batchFailed reverts the job table and the audit log after a batch that was certainly not applied.
func (w *claimWriter) batchFailed(batch *auditedBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs.BatchFailed(batch.Batch)
	w.auditLog.batchFailed(batch)
}

// batchCommitted updates the job table, the audit log and the replica after a batch was applied,
// and wakes the command loops of workers with new claims and the scheduler.
func (w *claimWriter) batchCommitted(batch *auditedBatch, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.auditLog.batchCommitted(batch, w.now())
	w.replica.Apply(0, batch.Operations...)
	result := w.jobs.BatchCommitted(batch.Batch, revision)
	for _, claim := range result.Claims {
		if worker := w.workers[claim.Worker]; worker != nil && !claim.Finished {
			worker.WakeSender()
		}
	}
	for _, job := range result.Ended {
		now := w.now()
		w.log.Info("job finished", "job", job.ID, "class", job.Spec.Class, "tasks", job.Spec.TaskCount,
			"took_s", now.Sub(job.ArrivedAt).Seconds(), "ready_s", now.Sub(job.ReadyAt).Seconds())
	}
	w.dependencies.jobsReady(result.Unblocked)
	if len(result.Finished) > 0 {
		notify(w.scheduleSignal)
	}
	if !w.jobs.NothingToWrite() {
		notify(w.writeSignal)
	}
	w.logBacklog()
}
