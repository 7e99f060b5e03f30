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

// txnOutcome is what became of a transaction whose answer was lost.
type txnOutcome struct {
	applied  bool
	revision uint64 // at which it was applied; 0: not known
}

// commitBatch commits a batch and sees it through until its outcome is known. A nil error
// means that the table was told of it; kvstore.ErrRefused, that the batch is to be made again.
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
			case err != nil: // asked again with the next attempt
			case outcome.applied:
				w.batchCommitted(batch, outcome.revision)
				return nil
			default:
				return w.compareFailed(ctx, batch, failed)
			}
		case errors.Is(err, kvstore.ErrRefused) && !uncertain, errors.Is(err, kvstore.ErrTooLarge):
			// What is too large is never to be sent again as it is, not even to learn whether
			// it was applied before the limits fell: the batch made instead has the same
			// compares and tells.
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

// readOutcome finds out whether it was this very batch, sent before, that made its own
// compares fail. Audit blocks and chunks of claims name their writer.
func (w *claimWriter) readOutcome(ctx context.Context, batch *auditedBatch) (txnOutcome, error) {
	if len(batch.blocks) > 0 {
		return batch.readOutcome(ctx, w.store)
	}
	for _, op := range batch.Operations {
		key := op.Put + op.Delete
		if strings.HasPrefix(key, ledger.LivePrefix) {
			continue // a cancellation deletes it too
		}
		item, err := w.store.Get(ctx, key)
		missing := errors.Is(err, kvstore.ErrNotFound)
		switch {
		case err != nil && !missing:
			return txnOutcome{}, err
		case op.Delete != "" && missing:
			continue // this leader alone deletes chunks: applied, at a revision that is not known
		case missing, op.Delete != "", !writtenBy(batch, key, item.Value):
			return txnOutcome{}, nil
		}
		return txnOutcome{applied: true, revision: item.ModRevision}, nil
	}
	return txnOutcome{applied: true}, nil
}

// writtenBy tells whether a stored value is the one that a batch puts: the leader alone
// stores that a job was done.
func writtenBy(batch *auditedBatch, key string, value []byte) bool {
	if !strings.HasPrefix(key, ledger.EndedPrefix) {
		return ledger.WriterOf(value) == batch.Writer
	}
	var end ledger.EndRecord
	return json.Unmarshal(value, &end) == nil && end.Phase == wire.PhaseDone
}

// compareFailed deals with a batch that was not applied, for compares that failed: leadership
// may be lost, jobs may have been cancelled, pending audit entries been written by an earlier
// leader. Everything else shows that the store lost data.
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
		end, err := w.storeReader.requireEnding(ctx, jobID)
		if err != nil {
			return err
		}
		w.replica.Apply(0, endingOps(jobID, end)...)
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

// batchFailed tells the table and the audit log that a batch was surely not applied.
func (w *claimWriter) batchFailed(batch *auditedBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs.BatchFailed(batch.Batch)
	w.auditLog.batchFailed(batch)
}

// batchCommitted tells everybody concerned that a batch was applied: the table, the audit log,
// the replica, the senders of workers with new claims, and the scheduler.
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
