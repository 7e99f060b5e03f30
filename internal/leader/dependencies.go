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

// runDependencies looks after jobs that wait for others. What became of a needed job that
// is no longer live is looked up, and a withdrawal is carried to all that come
// after it. Both begin with what the state service has, so a new leader goes on
// where the last one stopped.
func (t *leaderTerm) runDependencies(ctx context.Context) error {
	ticker := time.NewTicker(t.settings.Report() / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-t.dependencySignal:
		}
		t.lookUpEndings(ctx)
		if err := t.propagateCancellations(ctx); err != nil {
			return err
		}
	}
}

// maxConcurrentLookups bounds the reads under way at once.
const maxConcurrentLookups = 8

// lookUpEndings asks how needed jobs ended that this leader does not know.
func (t *leaderTerm) lookUpEndings(ctx context.Context) {
	t.mu.Lock()
	refs := t.jobs.UnresolvedDependencies()
	t.mu.Unlock()
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
			item, err := t.store.Get(ctx, ledger.EndedKey(ref))
			if err != nil {
				// Not found: it is live, and the watch has yet to tell.
				if !errors.Is(err, kvstore.ErrNotFound) {
					refused.Store(true)
				}
				return
			}
			var ending ledger.EndRecord
			if err := json.Unmarshal(item.Value, &ending); err != nil {
				t.log.Error("ending", "job", ref, "err", err)
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.jobsReady(t.jobs.ResolveDependency(ref, ending.Phase == wire.PhaseDone, time.UnixMilli(ending.EndedMS)))
		})
	}
	wg.Wait()
}

// jobsReady notes jobs that now wait for no other.
func (t *leaderTerm) jobsReady(jobs []*ledger.Job) {
	for _, job := range jobs {
		t.log.Info("ready", "job", job.Ref, "class", job.Spec.Class, "waited_s", job.ReadyAt.Sub(job.ArrivedAt).Seconds())
	}
	if len(jobs) > 0 {
		notify(t.scheduleSignal)
	}
}

// propagateCancellations withdraws the jobs that come after a withdrawn one, a few in each
// transaction. None of them has ever had a claim, for none was ready.
func (t *leaderTerm) propagateCancellations(ctx context.Context) error {
	for ctx.Err() == nil {
		more, err := t.cancelNextDependents(ctx)
		if !more || err != nil {
			return err
		}
	}
	return ctx.Err()
}

// cancelNextDependents withdraws the next few, and tells whether there were any.
func (t *leaderTerm) cancelNextDependents(ctx context.Context) (more bool, err error) {
	if !t.auditLog.acquire(ctx) {
		return false, ctx.Err()
	}
	defer t.auditLog.release()
	t.mu.Lock()
	jobs, batch, err := t.nextDependents()
	t.mu.Unlock()
	if err != nil || len(jobs) == 0 {
		return false, err
	}
	txn := wire.Txn{Compares: append(t.leadership.Compares(), batch.Compares...), Operations: batch.Operations}
	for attempt := 0; ; attempt++ {
		_, failed, err := t.store.Commit(ctx, txn)
		if err == nil && len(failed) > 0 && len(batch.blocks) > 0 {
			// Was it this very transaction, sent before?
			var applied bool
			if _, applied, err = batch.isStored(ctx, t.store); applied {
				failed = nil
			}
		}
		if err == nil {
			return true, t.dependentsCancelled(jobs, batch, failed)
		}
		if errors.Is(err, kvstore.ErrTooLarge) {
			t.mu.Lock()
			t.auditLog.resolve(batch, false, t.now())
			t.mu.Unlock()
			return true, nil // made again, for the limits in force
		}
		// Of unknown fate or not, the same is asked for again: a job that
		// was withdrawn by it fails its guard then, which is as good.
		if !kvstore.Backoff(ctx, attempt, t.settings.Report()/64, t.settings.Report()/4) {
			return false, ctx.Err()
		}
	}
}

// nextDependents makes the change that withdraws the next few jobs.
func (t *leaderTerm) nextDependents() ([]*ledger.Job, *auditedBatch, error) {
	batch := &auditedBatch{Batch: &ledger.Batch{}}
	maxOps, now := t.settings.Facts.State.Least().TxnOps, t.now()
	maxJobs := maxOps / 2
	if t.auditLog != nil {
		maxJobs = max(1, (maxOps-1)/2) // a change for the block that tells of them
	}
	jobs := t.jobs.JobsToCancel(maxJobs)
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
	return jobs, batch, t.auditLog.attachCancellations(batch, jobs, t.leadership.Epoch(), now, maxOps, t.store.MaxValueBytes())
}

func (t *leaderTerm) dependentsCancelled(jobs []*ledger.Job, batch *auditedBatch, failed []string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.auditLog.resolve(batch, len(failed) == 0, t.now())
	if err := t.leadership.CheckCompares(failed); err != nil {
		return err
	}
	if len(failed) == 0 {
		t.replica.Apply(0, batch.Operations...)
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
			t.cancelJob(job.Ref)
		}
	}
	return nil
}

// inherited is what a job has from those that need it: the highest rank among them,
// and the time by which it must be done for the last of them to be in time, the
// steps between counted.
func (t *leaderTerm) inherited(job *ledger.Job) *ledger.InheritedPriority {
	if job.Inherited != nil {
		return job.Inherited
	}
	inherited := &ledger.InheritedPriority{Priority: priorityLevel(job.Spec.Priority), Deadlines: make([]time.Time, len(t.settings.Facts.Objectives))}
	for i, objective := range t.settings.Facts.Objectives {
		if objective.Kind == "deadline" && objective.Class == job.Spec.Class && job.Spec.DeadlineSeconds > 0 {
			inherited.Deadlines[i] = job.ArrivedAt.Add(time.Duration(job.Spec.DeadlineSeconds * max(objective.Times, 1) * float64(time.Second)))
		}
	}
	for _, dependent := range t.jobs.Dependents(job) {
		if dependent.Cancelled || dependent.CancelledUpstream() != "" {
			continue
		}
		fromDependent := t.inherited(dependent)
		inherited.Priority = min(inherited.Priority, fromDependent.Priority)
		for i, due := range fromDependent.Deadlines {
			if due.IsZero() {
				continue
			}
			if due = due.Add(-t.stepDuration(dependent)); inherited.Deadlines[i].IsZero() || due.Before(inherited.Deadlines[i]) {
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
func (t *leaderTerm) stepDuration(job *ledger.Job) time.Duration {
	return time.Duration(longestTaskRatio*job.Spec.ExpectedSeconds*float64(time.Second)) + t.settings.Report()/2
}

// longestTaskRatio is how long the last of a job's tasks takes, as a ratio to the mean.
const longestTaskRatio = 1.5

// effectivePriority is the rank that a job goes by.
func (t *leaderTerm) effectivePriority(job *ledger.Job) int { return t.inherited(job).Priority }
