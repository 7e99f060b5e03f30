package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// maxTxnBytes is the state service's limit on a transaction, less room for its
// guards.
const maxTxnBytes = 40 << 10

// The end of a job takes three changes, so that is the least a batch must hold.
const minBatchOps = 3

// Shares of the write budget that bulk writes leave: what something waits for
// leaves some to acceptances and withdrawals; what nothing waits for leaves most,
// so that a job's end, for which a later one may wait, is written at once.
const (
	urgentWriteReserve = 0.25
	idleWriteReserve   = 0.6
)

// runClaimWriter writes what the ledger decided. One batch is under way at a time.
func (t *leaderTerm) runClaimWriter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.writeSignal:
		}
		if err := t.coalesceWrites(ctx); err != nil {
			return err
		}
		for attempt := 0; ; {
			batch, wait, err := t.writeNext(ctx)
			if wait > 0 {
				if !t.awaitWriteBudget(ctx, wait) {
					return ctx.Err()
				}
				continue
			}
			if batch == nil && err == nil {
				break
			}
			if errors.Is(err, kvstore.ErrRefused) {
				if !kvstore.Backoff(ctx, attempt, t.settings.Report()/64, t.settings.Report()/4) {
					return ctx.Err()
				}
				attempt++
				continue
			}
			if err != nil {
				return err
			}
			attempt = 0
		}
	}
}

// writeNext makes and commits the next batch, or tells how long until there is room.
func (t *leaderTerm) writeNext(ctx context.Context) (*auditedBatch, time.Duration, error) {
	if !t.auditLog.acquire(ctx) {
		return nil, 0, ctx.Err()
	}
	defer t.auditLog.release()
	batch, wait, err := t.nextAuditedBatch()
	if batch == nil || err != nil {
		return nil, wait, err
	}
	return batch, 0, t.commitBatch(ctx, batch)
}

// nextAuditedBatch makes the next batch that the budget has room for, or tells how long
// until there is room.
func (t *leaderTerm) nextAuditedBatch() (*auditedBatch, time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	maxOps, maxValue := t.settings.Facts.State.Least().TxnOps, t.store.MaxValueBytes()
	auditOnly := t.auditLog.needsOwnBatch(maxValue) || t.jobs.NothingToWrite() && t.auditLog.isDue(now, t.settings.Report()/2)
	if t.jobs.NothingToWrite() && !auditOnly {
		return nil, 0, nil
	}
	batch, wait := &ledger.Batch{}, time.Duration(0)
	if auditOnly {
		_, wait = t.store.BulkWriteAllowance(1, urgentWriteReserve)
	} else {
		batch, wait = t.nextBatch(maxOps, maxValue, now)
	}
	if batch == nil || wait > 0 {
		return nil, wait, nil
	}
	audited := &auditedBatch{Batch: batch}
	// Plain finishes need no entry: what is queued waits for company until it is due,
	// for every block is a change of the budget.
	if auditOnly || len(batch.Operations) > 0 && (len(batch.Decisions()) > 0 || t.auditLog.isDue(now, t.settings.Report()/2)) {
		if err := t.auditLog.attach(audited, t.leadership.Epoch(), now, maxOps, maxValue); err != nil {
			return nil, 0, err
		}
	}
	return audited, 0, nil
}

// nextBatch are what the ledger has to write.
func (t *leaderTerm) nextBatch(maxOps, maxValue int, now time.Time) (*ledger.Batch, time.Duration) {
	reserve, urgent := idleWriteReserve, t.jobs.HasUrgentWrites()
	if urgent {
		reserve = urgentWriteReserve
	} else {
		t.lastCompaction = now // all there is takes its turn
	}
	budget, wait := t.store.BulkWriteAllowance(minBatchOps, reserve)
	if wait > 0 {
		return nil, wait
	}
	limits := ledger.BatchLimits{MaxOperations: min(budget, maxOps), MaxBytes: maxTxnBytes, MaxValueBytes: maxValue, UrgentOnly: urgent}
	if t.auditLog != nil {
		// A change less, for the block that tells of the batch.
		limits.MaxOperations, limits.AuditBlock, limits.MaxClaims = max(limits.MaxOperations-1, minBatchOps), t.auditLog.head.Seq+1, (maxValue-blockOverhead)/bytesPerClaim
	}
	if urgent && now.Sub(t.lastCompaction) > t.settings.Report()/2 {
		// Where something is always urgent, the rest would never be written,
		// and what is left of jobs that are over would add up.
		t.lastCompaction = now
		limits.UrgentOnly, limits.NonUrgentOnly = false, true
		if batch := t.jobs.NextBatch(limits, now); batch != nil {
			return batch, 0
		}
		limits.UrgentOnly, limits.NonUrgentOnly = true, false
	}
	return t.jobs.NextBatch(limits, now), 0
}

// awaitWriteBudget waits for room, or for something more urgent.
func (t *leaderTerm) awaitWriteBudget(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.writeSignal:
	case <-timer.C:
	}
	return true
}

// coalesceWrites waits a moment where only finishes are to be written: nobody waits for
// them, and the tasks that take the freed rooms are often of the same jobs, so
// that one change holds both.
func (t *leaderTerm) coalesceWrites(ctx context.Context) error {
	timer := time.NewTimer(t.settings.Report() / 16)
	defer timer.Stop()
	for {
		t.mu.Lock()
		urgent := t.jobs.HasUrgentWrites()
		t.mu.Unlock()
		if urgent {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-t.writeSignal:
		}
	}
}

// commitBatch sees one batch through until its fate is known. A nil error means
// that the ledger was told; ErrRefused, that the batch is to be made again.
func (t *leaderTerm) commitBatch(ctx context.Context, batch *auditedBatch) error {
	if len(batch.Operations) == 0 {
		t.batchCommitted(batch, 0)
		return nil
	}
	txn := wire.Txn{Compares: append(t.leadership.Compares(), batch.Compares...), Operations: batch.Operations}
	uncertain := false
	for attempt := 0; ; attempt++ {
		revision, failed, err := t.store.Commit(ctx, txn)
		switch {
		case err == nil && len(failed) == 0:
			t.batchCommitted(batch, revision)
			return nil
		case err == nil && uncertain:
			// Was it this very transaction, sent before, that moved the
			// guards? The chunks name their writer.
			appliedRevision, applied, err := t.wasApplied(ctx, batch)
			if err != nil {
				break
			}
			if applied {
				t.batchCommitted(batch, appliedRevision)
				return nil
			}
			return t.compareFailed(ctx, batch, failed)
		case err == nil:
			return t.compareFailed(ctx, batch, failed)
		case errors.Is(err, kvstore.ErrRefused) && !uncertain, errors.Is(err, kvstore.ErrTooLarge):
			// What is too large is never to be sent again as it is, not even
			// to learn whether it was applied before the limits fell: the
			// batch made instead has the same guards and tells.
			t.batchFailed(batch)
			return err
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			uncertain = true
		}
		if !kvstore.Backoff(ctx, attempt, t.settings.Report()/64, t.settings.Report()/4) {
			return ctx.Err()
		}
	}
}

// compareFailed deals with guards that did not hold.
func (t *leaderTerm) compareFailed(ctx context.Context, batch *auditedBatch, failed []string) error {
	if err := t.leadership.CheckCompares(failed); err != nil {
		return err
	}
	t.batchFailed(batch)
	for _, key := range failed {
		// A job goes from the live keys to an end. One that is neither was lost.
		if ref, ok := strings.CutPrefix(key, ledger.LivePrefix); ok {
			data, err := t.readEnding(ctx, ref)
			if errors.Is(err, kvstore.ErrNotFound) {
				return t.suspectDataLoss(fmt.Errorf("job %s is gone without an end", ref))
			}
			if err != nil {
				return err
			}
			t.replica.Apply(0, endingOps(ref, data)...)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range failed {
		if t.auditLog.dropPending(key) {
			continue
		}
		ref, ok := strings.CutPrefix(key, ledger.LivePrefix)
		if !ok {
			return t.suspectDataLoss(fmt.Errorf("%s was written by another", key))
		}
		t.cancelJob(ref)
	}
	return nil
}

// wasApplied reads back whether a batch of unknown fate was applied, and at which
// generation.
func (t *leaderTerm) wasApplied(ctx context.Context, batch *auditedBatch) (uint64, bool, error) {
	if len(batch.blocks) > 0 {
		return batch.isStored(ctx, t.store)
	}
	for _, op := range batch.Operations {
		key := op.Put + op.Delete
		if strings.HasPrefix(key, ledger.LivePrefix) {
			continue
		}
		item, err := t.store.Get(ctx, key)
		if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
			return 0, false, err
		}
		switch {
		case op.Delete != "":
			if err == nil {
				return 0, false, nil
			}
			continue // gone: this leader alone removes chunks
		case err != nil:
			return 0, false, nil
		case strings.HasPrefix(key, ledger.EndedPrefix):
			var ending ledger.EndRecord
			if json.Unmarshal(item.Value, &ending) != nil || ending.Phase != wire.PhaseDone {
				return 0, false, nil
			}
		case ledger.WriterOf(item.Value) != batch.Writer:
			return 0, false, nil
		}
		return item.ModRevision, true, nil
	}
	return 0, true, nil
}

// batchFailed notes that a batch was surely not applied.
func (t *leaderTerm) batchFailed(batch *auditedBatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs.BatchFailed(batch.Batch)
	t.auditLog.resolve(batch, false, t.now())
}

func (t *leaderTerm) batchCommitted(batch *auditedBatch, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.auditLog.resolve(batch, true, t.now())
	t.replica.Apply(0, batch.Operations...)
	result := t.jobs.BatchCommitted(batch.Batch, revision)
	for _, claim := range result.Claims {
		if worker := t.workers[claim.Worker]; worker != nil && !claim.Finished {
			worker.WakeSender()
		}
	}
	for _, job := range result.Ended {
		t.log.Info("done", "job", job.Ref, "class", job.Spec.Class, "tasks", job.Spec.TaskCount, "took_s", t.now().Sub(job.ArrivedAt).Seconds(), "ready_s", t.now().Sub(job.ReadyAt).Seconds())
	}
	t.jobsReady(result.Unblocked)
	if len(result.Finished) > 0 {
		notify(t.scheduleSignal)
	}
	if !t.jobs.NothingToWrite() {
		notify(t.writeSignal)
	}
}
