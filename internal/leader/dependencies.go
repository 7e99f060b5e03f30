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

// dependencies resolves what jobs wait for, and propagates cancellations to their dependents.
type dependencies struct {
	*termScope
	cancellations *cancellations
}

// runDependencies looks after jobs that wait for others. What became of a needed job that
// is no longer live is looked up, and a withdrawal is carried to all that come
// after it. Both begin with what the state service has, so a new leader goes on
// where the last one stopped.
func (d *dependencies) runDependencies(ctx context.Context) error {
	ticker := time.NewTicker(d.settings.Report() / 6)
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

// maxConcurrentLookups bounds the reads under way at once.
const maxConcurrentLookups = 8

// lookUpEndings asks how needed jobs ended that this leader does not know.
func (d *dependencies) lookUpEndings(ctx context.Context) {
	d.mu.Lock()
	refs := d.jobs.UnresolvedDependencies()
	d.mu.Unlock()
	slots := make(chan struct{}, maxConcurrentLookups)
	var wg sync.WaitGroup
	var refused atomic.Bool
	for _, ref := range refs {
		slots <- struct{}{}
		if refused.Load() {
			break // the rest is for the next round: others need the budget too
		}
		wg.Go(func() {
			defer func() { <-slots }()
			item, err := d.store.Get(ctx, ledger.EndedKey(ref))
			if err != nil {
				// Not found: it is live, and the watch has yet to tell.
				if !errors.Is(err, kvstore.ErrNotFound) {
					refused.Store(true)
				}
				return
			}
			var ending ledger.EndRecord
			if err := json.Unmarshal(item.Value, &ending); err != nil {
				d.log.Error("ending", "job", ref, "err", err)
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.jobsReady(d.jobs.ResolveDependency(ref, ending.Phase == wire.PhaseDone, time.UnixMilli(ending.EndedMS)))
		})
	}
	wg.Wait()
}

// jobsReady notes jobs that now wait for no other.
func (d *dependencies) jobsReady(jobs []*ledger.Job) {
	for _, job := range jobs {
		d.log.Info("ready", "job", job.Ref, "class", job.Spec.Class, "waited_s", job.ReadyAt.Sub(job.ArrivedAt).Seconds())
	}
	if len(jobs) > 0 {
		notify(d.scheduleSignal)
	}
}

// propagateCancellations withdraws the jobs that come after a withdrawn one, a few in each
// transaction. None of them has ever had a claim, for none was ready.
func (d *dependencies) propagateCancellations(ctx context.Context) error {
	for ctx.Err() == nil {
		more, err := d.cancelNextDependents(ctx)
		if !more || err != nil {
			return err
		}
	}
	return ctx.Err()
}

// cancelNextDependents withdraws the next few, and tells whether there were any.
func (d *dependencies) cancelNextDependents(ctx context.Context) (more bool, err error) {
	if !d.auditLog.acquire(ctx) {
		return false, ctx.Err()
	}
	defer d.auditLog.release()
	d.mu.Lock()
	jobs, batch, err := d.nextDependents()
	d.mu.Unlock()
	if err != nil || len(jobs) == 0 {
		return false, err
	}
	txn := wire.Txn{Compares: append(d.leadership.Compares(), batch.Compares...), Operations: batch.Operations}
	for attempt := 0; ; attempt++ {
		_, failed, err := d.store.Commit(ctx, txn)
		if err == nil && len(failed) > 0 && len(batch.blocks) > 0 {
			// Was it this very transaction, sent before?
			var applied bool
			if _, applied, err = batch.isStored(ctx, d.store); applied {
				failed = nil
			}
		}
		if err == nil {
			return true, d.dependentsCancelled(jobs, batch, failed)
		}
		if errors.Is(err, kvstore.ErrTooLarge) {
			d.mu.Lock()
			d.auditLog.resolve(batch, false, d.now())
			d.mu.Unlock()
			return true, nil // made again, for the limits in force
		}
		// Of unknown fate or not, the same is asked for again: a job that
		// was withdrawn by it fails its guard then, which is as good.
		if !kvstore.Backoff(ctx, attempt, d.settings.Report()/64, d.settings.Report()/4) {
			return false, ctx.Err()
		}
	}
}

// nextDependents makes the change that withdraws the next few jobs.
func (d *dependencies) nextDependents() ([]*ledger.Job, *auditedBatch, error) {
	batch := &auditedBatch{Batch: &ledger.Batch{}}
	maxOps, now := d.settings.Facts.State.Least().TxnOps, d.now()
	maxJobs := maxOps / 2
	if d.auditLog != nil {
		maxJobs = max(1, (maxOps-1)/2) // a change for the block that tells of them
	}
	jobs := d.jobs.JobsToCancel(maxJobs)
	for _, job := range jobs {
		record := job.Record()
		data, err := ledger.Encode(ledger.NewCancelledEndRecord(&record, now))
		if err != nil {
			return nil, nil, fmt.Errorf("control: %s: %w", job.Ref, err)
		}
		batch.Compares = append(batch.Compares, wire.Compare{Key: ledger.LiveKey(job.Ref), ModRevision: job.ModRevision()})
		batch.Operations = append(batch.Operations, wire.Operation{Delete: ledger.LiveKey(job.Ref)}, wire.Operation{Put: ledger.EndedKey(job.Ref), Value: data})
	}
	if len(jobs) == 0 {
		return nil, nil, nil
	}
	return jobs, batch, d.auditLog.attachCancellations(batch, jobs, d.leadership.Epoch(), now, maxOps, d.store.MaxValueBytes())
}

func (d *dependencies) dependentsCancelled(jobs []*ledger.Job, batch *auditedBatch, failed []string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.auditLog.resolve(batch, len(failed) == 0, d.now())
	if err := d.leadership.CheckCompares(failed); err != nil {
		return err
	}
	if len(failed) == 0 {
		d.replica.Apply(0, batch.Operations...)
	}
	for _, key := range failed {
		if strings.HasPrefix(key, audit.BlockPrefix) {
			return fmt.Errorf("control: %s was written by another", key)
		}
	}
	for _, job := range jobs {
		// A live key that is not as it was is gone: its user withdrew the
		// job, for it cannot have been done.
		if len(failed) == 0 || slices.Contains(failed, ledger.LiveKey(job.Ref)) {
			d.cancellations.cancelJob(job.Ref)
		}
	}
	return nil
}

// inherited is what a job has from those that need it: the highest rank among them,
// and the time by which it must be done for the last of them to be in time, the
// steps between counted.
func (d *dependencies) inherited(job *ledger.Job) *ledger.InheritedPriority {
	if job.Inherited != nil {
		return job.Inherited
	}
	inherited := &ledger.InheritedPriority{Priority: priorityLevel(job.Spec.Priority), Deadlines: make([]time.Time, len(d.settings.Facts.Objectives))}
	for i, objective := range d.settings.Facts.Objectives {
		if objective.Kind == "deadline" && objective.Class == job.Spec.Class && job.Spec.DeadlineSeconds > 0 {
			inherited.Deadlines[i] = job.ArrivedAt.Add(time.Duration(job.Spec.DeadlineSeconds * max(objective.Times, 1) * float64(time.Second)))
		}
	}
	for _, dependent := range d.jobs.Dependents(job) {
		if dependent.Cancelled || dependent.CancelledUpstream() != "" {
			continue
		}
		fromDependent := d.inherited(dependent)
		inherited.Priority = min(inherited.Priority, fromDependent.Priority)
		for i, due := range fromDependent.Deadlines {
			if due.IsZero() {
				continue
			}
			if due = due.Add(-d.stepDuration(dependent)); inherited.Deadlines[i].IsZero() || due.Before(inherited.Deadlines[i]) {
				inherited.Deadlines[i] = due
			}
		}
	}
	if objective := job.Origin; objective != nil && objective.MaxPriority != "" {
		// However high those that need it: not above what whoever submitted it may
		// have. That is at least what was asked for, or it was not accepted.
		inherited.Priority = max(inherited.Priority, priorityLevel(objective.MaxPriority))
	}
	job.Inherited = inherited
	return inherited
}

// stepDuration is how long a job is expected to take once it is ready: until its
// longest task is done, and the finish of one step known to the next.
func (d *dependencies) stepDuration(job *ledger.Job) time.Duration {
	return time.Duration(longestTaskRatio*job.Spec.ExpectedSeconds*float64(time.Second)) + d.settings.Report()/2
}

// longestTaskRatio is how long the last of a job's tasks takes, as a ratio to the mean.
const longestTaskRatio = 1.5

// effectivePriority is the rank that a job goes by.
func (d *dependencies) effectivePriority(job *ledger.Job) int { return d.inherited(job).Priority }
