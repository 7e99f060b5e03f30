package leader

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// dependencies handles jobs that depend on others: it looks up how dependencies ended, and computes
// the priority and the deadlines that a job inherits from its dependents.
//
// Serve runs its loop, runLookUps; the claim writer reports jobs that became ready to it and the
// scheduler gets priorities from it, both with mu held. The job table holds the graph. It must not
// hold mu during a request to the store.
type dependencies struct {
	*termScope

	// The fields below are used by the loop only.
	lastLookUp  string          // the last dependency looked up in order, retries excluded
	refused     map[string]bool // dependencies whose look-up is to be retried: the store refused it
	lastOverdue string          // the dependent last logged as overdue for cancellation
}

// maxConcurrentLookUps bounds the reads of end records in flight.
const maxConcurrentLookUps = 8

// runLookUps looks up how dependencies ended that are not live in the job table, among them those
// that ended under an earlier leader.
func (d *dependencies) runLookUps(ctx context.Context) error {
	return d.repeat(ctx, d.dependencySignal, func() error {
		d.warnOverdueCancellation()
		d.lookUpEndRecords(ctx)
		return nil
	})
}

// warnOverdueCancellation logs, once per job, that a dependent of a cancelled job has not been
// cancelled although half of the time allowed for it has passed.
func (d *dependencies) warnOverdueCancellation() {
	d.mu.Lock()
	pending, ok := d.jobs.OldestPendingCancellation()
	d.mu.Unlock()
	age := d.now().Sub(pending.Since)
	deadline := settings.Seconds(d.settings.Facts.Workers.CancelSeconds)
	if !ok || age < deadline/2 || pending.JobID == d.lastOverdue {
		return
	}
	d.lastOverdue = pending.JobID
	d.log.Warn("dependent not cancelled yet", "job", pending.JobID, "cause", pending.Cause, "age_s", age.Seconds())
}

// lookUpEndRecords looks up how dependencies ended that are not in the job table. A round stops once
// the store refuses a request; the next round retries the refused look-ups first, and continues
// after the last dependency looked up.
func (d *dependencies) lookUpEndRecords(ctx context.Context) {
	d.mu.Lock()
	unresolved := d.jobs.UnresolvedDependencies()
	d.mu.Unlock()
	isRefused := func(jobID string) bool { return d.refused[jobID] }
	retries := slices.DeleteFunc(slices.Clone(unresolved), func(jobID string) bool { return !isRefused(jobID) })
	others := slices.DeleteFunc(startAfter(unresolved, d.lastLookUp), isRefused)
	lookUps := d.lookUp(ctx, slices.Concat(retries, others))
	d.refused = make(map[string]bool)
	for i, jobID := range retries {
		d.refused[jobID] = i >= len(lookUps) // not reached in this round
	}
	for i, lookUp := range lookUps {
		d.refused[lookUp.jobID] = lookUp.err != nil
		if i >= len(retries) {
			d.lastLookUp = lookUp.jobID
		}
	}
}

// dependencyLookUp is the result of looking up one dependency.
type dependencyLookUp struct {
	jobID string
	err   error // of the request to the store
}

// lookUp looks up dependencies, up to maxConcurrentLookUps at a time, until the store refuses a
// request: the request budget is shared with other components. It returns the look-ups made, which
// are those of a prefix of jobIDs.
func (d *dependencies) lookUp(ctx context.Context, jobIDs []string) []dependencyLookUp {
	lookUps := make([]dependencyLookUp, 0, len(jobIDs)) // never reallocated: goroutines hold pointers to elements
	slots := make(chan struct{}, maxConcurrentLookUps)
	var wg sync.WaitGroup
	var refused atomic.Bool
	for _, jobID := range jobIDs {
		slots <- struct{}{}
		if refused.Load() {
			break
		}
		lookUps = append(lookUps, dependencyLookUp{jobID: jobID})
		result := &lookUps[len(lookUps)-1]
		wg.Go(func() {
			defer func() { <-slots }()
			if result.err = d.lookUpEndRecord(ctx, result.jobID); result.err != nil {
				refused.Store(true)
			}
		})
	}
	wg.Wait()
	return lookUps
}

// startAfter rotates sorted names so that they begin with the first one after last.
func startAfter(sorted []string, last string) []string {
	first, found := slices.BinarySearch(sorted, last)
	if found {
		first++
	}
	return slices.Concat(sorted[first:], sorted[:first])
}

// lookUpEndRecord resolves a dependency if it has ended. The error is that of the request to the
// store.
func (d *dependencies) lookUpEndRecord(ctx context.Context, jobID string) error {
	item, err := d.store.Get(ctx, ledger.EndedKey(jobID))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil // the job is live, and the watch has not reported it yet
	}
	if err != nil {
		return err
	}
	var end ledger.EndRecord
	if err := json.Unmarshal(item.Value, &end); err != nil {
		d.log.Error("end record invalid", "job", jobID, "err", err)
		return nil // reading it again would not help
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobsReady(d.jobs.ResolveDependency(jobID, end.Phase == wire.PhaseDone, time.UnixMilli(end.EndedMS)))
	notify(d.propagationSignal)
	return nil
}

// jobsReady logs jobs whose last dependency was met, and wakes the scheduler. Callers hold mu.
func (d *dependencies) jobsReady(jobs []*ledger.Job) {
	for _, job := range jobs {
		waited := job.ReadyAt.Sub(job.ArrivedAt)
		d.log.Info("job ready", "job", job.ID, "class", job.Spec.Class, "waited_s", waited.Seconds())
	}
	if len(jobs) > 0 {
		notify(d.scheduleSignal)
	}
}
