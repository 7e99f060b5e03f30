package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// propagator cancels the dependents of cancelled jobs.
//
// Serve runs its loop, runPropagation, apart from the look-ups of dependencies, which may take
// long. The job table holds what is to be cancelled. It holds the slot of the audit log while a
// batch is in flight, and must not hold mu during a request to the store.
type propagator struct {
	*termScope
	cancellations *cancellations

	// Only the loop uses it: how often in a row the store refused a batch for its rate.
	rateRefusals int
}

// runPropagation cancels dependents whenever there are any to cancel.
func (p *propagator) runPropagation(ctx context.Context) error {
	return p.repeat(ctx, p.propagationSignal, func() error { return p.propagateCancellations(ctx) })
}

// OldestPendingCancellation is the age of the oldest cancellation that has not reached all
// dependents; 0 if there is none, or this controller does not lead.
func (r *Runner) OldestPendingCancellation() time.Duration {
	term := r.current.Load()
	if term == nil {
		return 0
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	if pending, ok := term.jobs.OldestPendingCancellation(); ok {
		return max(0, term.now().Sub(pending.Since))
	}
	return 0
}

// propagateCancellations cancels the dependents of cancelled jobs, a few in each transaction.
// None of them has ever had a claim, for none was ready.
func (p *propagator) propagateCancellations(ctx context.Context) error {
	for ctx.Err() == nil {
		err := p.cancelNextDependents(ctx)
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
func (p *propagator) cancelNextDependents(ctx context.Context) error {
	if !p.auditLog.acquire(ctx) {
		return ctx.Err()
	}
	defer p.auditLog.release()
	p.mu.Lock()
	batch, err := p.nextDependents()
	p.mu.Unlock()
	if err != nil {
		return err
	}
	txn := wire.Txn{Compares: append(p.leadership.Compares(), batch.Compares...), Operations: batch.Operations}
	uncertain := false // whether an earlier attempt may have been applied
	for attempt := 0; ; attempt++ {
		_, failed, err := p.store.Commit(ctx, txn)
		if err == nil && len(failed) > 0 && len(batch.blocks) > 0 {
			// Was it this very transaction, sent before, that made the compares fail?
			var outcome txnOutcome
			if outcome, err = batch.readOutcome(ctx, p.store); outcome.applied {
				failed = nil
			}
		}
		if err == nil {
			p.rateRefusals = 0
			return p.dependentsCancelled(batch, failed)
		}
		rateLimited := errors.Is(err, kvstore.ErrRateLimited) && !uncertain
		if rateLimited || errors.Is(err, kvstore.ErrTooLarge) {
			return p.refused(ctx, batch, rateLimited) // made again, for the limits in force
		}
		uncertain = uncertain || errors.Is(err, kvstore.ErrOutcomeUnknown)
		// Where its outcome is unknown, the same is asked for again: a job that
		// was cancelled by it fails its compare then, which is as good.
		if !p.backOffWrite(ctx, attempt) {
			return ctx.Err()
		}
	}
}

// refused takes in that a batch was surely not applied. One that was too much for the store's rate
// is made again with fewer jobs: while the store is busy it may never have room for many
// operations at once, though it takes a few at any time.
func (p *propagator) refused(ctx context.Context, batch *dependentsBatch, rateLimited bool) error {
	p.mu.Lock()
	p.auditLog.batchFailed(batch.auditedBatch)
	p.mu.Unlock()
	if !rateLimited {
		return nil
	}
	p.rateRefusals++
	if !p.backOffWrite(ctx, p.rateRefusals-1) {
		return ctx.Err()
	}
	return nil
}

// nextDependents makes the batch that cancels the next few dependents, or returns
// errNothingToWrite. Callers hold mu.
func (p *propagator) nextDependents() (*dependentsBatch, error) {
	now, limits := p.now(), p.txnLimits()
	maxJobs := limits.operations / 2
	if p.auditLog != nil {
		maxJobs = (limits.operations - 1) / 2 // one operation for the block that records it
	}
	maxJobs = max(1, maxJobs>>min(p.rateRefusals, limits.operations))
	jobs := p.jobs.JobsToCancel(maxJobs)
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
	err := p.auditLog.attachCancellations(batch, jobs, blockContext{p.leadership.Epoch(), now, limits})
	if err != nil {
		return nil, err
	}
	return &dependentsBatch{batch, jobs}, nil
}

// dependentsCancelled takes in a batch whose outcome is known: failed are the keys whose
// compares failed, none if it was applied.
func (p *propagator) dependentsCancelled(batch *dependentsBatch, failed []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	applied := len(failed) == 0
	if applied {
		p.auditLog.batchCommitted(batch.auditedBatch, p.now())
	} else {
		p.auditLog.batchFailed(batch.auditedBatch)
	}
	if err := p.leadership.CheckCompares(failed); err != nil {
		return err
	}
	if applied {
		p.replica.Apply(0, batch.Operations...)
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
			p.cancellations.cancelJob(job.ID)
		}
	}
	return nil
}
