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
// Serve runs its loop, runPropagation, separately from the look-ups of dependencies, which may
// take long. The job table holds the jobs to cancel. The loop holds the slot of the audit log
// while a batch is in flight, and must not hold mu during a request to the store.
type propagator struct {
	*termScope
	cancellations *cancellations

	// rateRefusals counts the batches in a row that the store refused for its rate limit. Only the
	// loop uses it.
	rateRefusals int
}

// runPropagation cancels dependents of cancelled jobs as they appear.
func (p *propagator) runPropagation(ctx context.Context) error {
	return p.repeat(ctx, p.propagationSignal, func() error { return p.propagateCancellations(ctx) })
}

// OldestPendingCancellation returns the age of the oldest cancellation that has not reached all
// dependents, 0 if there is none or this controller does not lead.
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

// propagateCancellations cancels the dependents of cancelled jobs, a few per transaction. None of
// them has ever had a claim, since none was ready.
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

// dependentsBatch is a batch that cancels jobs whose dependency was cancelled.
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
			// An earlier attempt at this transaction may have made the compares fail.
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
			return p.batchRefused(ctx, batch, rateLimited) // built again for the current limits
		}
		uncertain = uncertain || errors.Is(err, kvstore.ErrOutcomeUnknown)
		// A transaction of unknown outcome is sent again unchanged: if it was applied, the
		// compares of its jobs now fail, which shows that they are cancelled.
		if !p.backOffWrite(ctx, attempt) {
			return ctx.Err()
		}
	}
}

// batchRefused handles a batch that was certainly not applied. After a refusal for the rate limit it
// backs off, and the next batch has fewer jobs: a busy store may never have room for many
// operations at once, although it accepts a few at any time.
func (p *propagator) batchRefused(ctx context.Context, batch *dependentsBatch, rateLimited bool) error {
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

// nextDependents builds the batch that cancels the next few dependents, or returns
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
	err := p.auditLog.attachCancellations(batch, jobs, blockParams{p.leadership.Epoch(), now, limits})
	if err != nil {
		return nil, err
	}
	return &dependentsBatch{batch, jobs}, nil
}

// dependentsCancelled handles a batch whose outcome is known. failed holds the keys whose compares
// failed, none if the batch was applied.
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
		// If the compare of a live key failed, the key is deleted: the user cancelled the job,
		// since a job that was never ready cannot be done.
		if applied || slices.Contains(failed, ledger.LiveKey(job.ID)) {
			p.cancellations.cancelJob(job.ID)
		}
	}
	return nil
}
