package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// dependencies looks after jobs that wait for others: it finds out how dependencies ended,
// cancels the dependents of cancelled jobs, and tells what priority and deadline a job inherits
// from its dependents.
//
// Serve runs its loop, runDependencies; the claim writer tells it of jobs that became ready and
// the scheduler asks it for priorities, both with mu held. It has no state of its own: the job
// table holds the graph. It holds the slot of the audit log while a batch of cancellations is in
// flight, and must not hold mu during a request to the store.
type dependencies struct {
	*termScope
	cancellations *cancellations
}

// maxConcurrentLookups bounds the reads of end records in flight at once.
const maxConcurrentLookups = 8

// runDependencies looks up how dependencies ended that are no longer live, and propagates
// cancellations. Both begin with what the store has, so that a new leader goes on where the
// last one stopped.
func (d *dependencies) runDependencies(ctx context.Context) error {
	ticker := time.NewTicker(d.settings.HeartbeatInterval() / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.dependencySignal:
		}
		d.lookUpEndings(ctx)
		if err := d.propagateCancellations(ctx); err != nil {
			return err
		}
	}
}

// lookUpEndings finds out how dependencies ended that the table does not know.
func (d *dependencies) lookUpEndings(ctx context.Context) {
	d.mu.Lock()
	jobIDs := d.jobs.UnresolvedDependencies()
	d.mu.Unlock()
	slots := make(chan struct{}, maxConcurrentLookups)
	var wg sync.WaitGroup
	var refused atomic.Bool
	for _, jobID := range jobIDs {
		slots <- struct{}{}
		if refused.Load() {
			break // the rest is for the next round: others need the budget too
		}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := d.lookUpEnding(ctx, jobID); err != nil {
				refused.Store(true)
			}
		})
	}
	wg.Wait()
}

// lookUpEnding resolves a dependency if it has ended. It returns the error of a store that did
// not answer.
func (d *dependencies) lookUpEnding(ctx context.Context, jobID string) error {
	item, err := d.store.Get(ctx, ledger.EndedKey(jobID))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil // it is live, and the watch has yet to tell
	}
	if err != nil {
		return err
	}
	var end ledger.EndRecord
	if err := json.Unmarshal(item.Value, &end); err != nil {
		d.log.Error("end record invalid", "job", jobID, "err", err)
		return nil // nothing that a later read would change
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobsReady(d.jobs.ResolveDependency(jobID, end.Phase == wire.PhaseDone, time.UnixMilli(end.EndedMS)))
	return nil
}

// jobsReady notes jobs that have no unmet dependency any more. Callers hold mu.
func (d *dependencies) jobsReady(jobs []*ledger.Job) {
	for _, job := range jobs {
		waited := job.ReadyAt.Sub(job.ArrivedAt)
		d.log.Info("job ready", "job", job.ID, "class", job.Spec.Class, "waited_s", waited.Seconds())
	}
	if len(jobs) > 0 {
		notify(d.scheduleSignal)
	}
}

// propagateCancellations cancels the dependents of cancelled jobs, a few in each transaction.
// None of them has ever had a claim, for none was ready.
func (d *dependencies) propagateCancellations(ctx context.Context) error {
	for ctx.Err() == nil {
		err := d.cancelNextDependents(ctx)
		if errors.Is(err, errNothingToWrite) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// dependentsBatch cancels jobs whose dependency was cancelled.
type dependentsBatch struct {
	*auditedBatch
	cancelled []*ledger.Job
}

// cancelNextDependents cancels the next few dependents. It returns errNothingToWrite if there
// are none.
func (d *dependencies) cancelNextDependents(ctx context.Context) error {
	if !d.auditLog.acquire(ctx) {
		return ctx.Err()
	}
	defer d.auditLog.release()
	d.mu.Lock()
	batch, err := d.nextDependents()
	d.mu.Unlock()
	if err != nil {
		return err
	}
	txn := wire.Txn{Compares: append(d.leadership.Compares(), batch.Compares...), Operations: batch.Operations}
	for attempt := 0; ; attempt++ {
		_, failed, err := d.store.Commit(ctx, txn)
		if err == nil && len(failed) > 0 && len(batch.blocks) > 0 {
			// Was it this very transaction, sent before, that made the compares fail?
			var outcome txnOutcome
			if outcome, err = batch.readOutcome(ctx, d.store); outcome.applied {
				failed = nil
			}
		}
		if err == nil {
			return d.dependentsCancelled(batch, failed)
		}
		if errors.Is(err, kvstore.ErrTooLarge) {
			d.mu.Lock()
			d.auditLog.batchFailed(batch.auditedBatch)
			d.mu.Unlock()
			return nil // made again, for the limits in force
		}
		// Whether its outcome is unknown or not, the same is asked for again: a job that
		// was cancelled by it fails its compare then, which is as good.
		if !d.backOffWrite(ctx, attempt) {
			return ctx.Err()
		}
	}
}

// nextDependents makes the batch that cancels the next few dependents, or returns
// errNothingToWrite. Callers hold mu.
func (d *dependencies) nextDependents() (*dependentsBatch, error) {
	now, limits := d.now(), d.txnLimits()
	maxJobs := limits.operations / 2
	if d.auditLog != nil {
		maxJobs = max(1, (limits.operations-1)/2) // one operation for the block that records it
	}
	jobs := d.jobs.JobsToCancel(maxJobs)
	if len(jobs) == 0 {
		return nil, errNothingToWrite
	}
	batch := &auditedBatch{Batch: &ledger.Batch{}}
	for _, job := range jobs {
		record := job.Record()
		end, err := ledger.Encode(ledger.NewCancelledEndRecord(&record, now))
		if err != nil {
			return nil, fmt.Errorf("leader: encode end of job %s: %w", job.ID, err)
		}
		live := ledger.LiveKey(job.ID)
		batch.Compares = append(batch.Compares, wire.Compare{Key: live, ModRevision: job.ModRevision()})
		batch.Operations = append(batch.Operations,
			wire.Operation{Delete: live}, wire.Operation{Put: ledger.EndedKey(job.ID), Value: end})
	}
	err := d.auditLog.attachCancellations(batch, jobs, blockContext{d.leadership.Epoch(), now, limits})
	if err != nil {
		return nil, err
	}
	return &dependentsBatch{batch, jobs}, nil
}

// dependentsCancelled takes in a batch whose outcome is known: failed are the keys whose
// compares failed, none if it was applied.
func (d *dependencies) dependentsCancelled(batch *dependentsBatch, failed []string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	applied := len(failed) == 0
	if applied {
		d.auditLog.batchCommitted(batch.auditedBatch, d.now())
	} else {
		d.auditLog.batchFailed(batch.auditedBatch)
	}
	if err := d.leadership.CheckCompares(failed); err != nil {
		return err
	}
	if applied {
		d.replica.Apply(0, batch.Operations...)
	}
	for _, key := range failed {
		if strings.HasPrefix(key, audit.BlockPrefix) {
			return fmt.Errorf("leader: cancel dependents: %w", &foreignWriteError{key})
		}
	}
	for _, job := range batch.cancelled {
		// A live key that is not as it was is gone: the user cancelled the job, for it
		// cannot have been done.
		if applied || slices.Contains(failed, ledger.LiveKey(job.ID)) {
			d.cancellations.cancelJob(job.ID)
		}
	}
	return nil
}
