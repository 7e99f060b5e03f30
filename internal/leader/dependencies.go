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

// dependencies looks after jobs that wait for others: it finds out how dependencies ended, and
// tells what priority and deadline a job inherits from its dependents.
//
// Serve runs its loop, runLookUps; the claim writer tells it of jobs that became ready and the
// scheduler asks it for priorities, both with mu held. The job table holds the graph. It must not
// hold mu during a request to the store.
type dependencies struct {
	*termScope

	// Only the loop uses what follows.
	lastLookUp  string          // the dependency that was looked up last, but for repetitions
	refused     map[string]bool // dependencies whose look-up the store refused in the last round
	lastOverdue string          // the job that was last logged as overdue
}

// maxConcurrentLookups bounds the reads of end records in flight at once.
const maxConcurrentLookups = 8

// runLookUps looks up how dependencies ended that are no longer live. It begins with what the
// store has, so that a new leader goes on where the last one stopped.
func (d *dependencies) runLookUps(ctx context.Context) error {
	return d.repeat(ctx, d.dependencySignal, func() error {
		d.warnOverdueCancellation()
		d.lookUpEndings(ctx)
		return nil
	})
}

// warnOverdueCancellation logs, once a job, that a dependent of a cancelled job is still to be
// cancelled though half of the time for it is over.
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

// lookUpEndings finds out how dependencies ended that the table does not know. A round that the
// store refuses is left; the next one begins with what was refused, and goes on with the
// dependency after.
func (d *dependencies) lookUpEndings(ctx context.Context) {
	d.mu.Lock()
	unresolved := d.jobs.UnresolvedDependencies()
	d.mu.Unlock()
	isRefused := func(jobID string) bool { return d.refused[jobID] }
	again := slices.DeleteFunc(slices.Clone(unresolved), func(jobID string) bool { return !isRefused(jobID) })
	others := slices.DeleteFunc(startAfter(unresolved, d.lastLookUp), isRefused)
	lookUps := d.lookUp(ctx, slices.Concat(again, others))
	d.refused = make(map[string]bool)
	for i, jobID := range again {
		d.refused[jobID] = i >= len(lookUps) // it was not reached
	}
	for i, lookUp := range lookUps {
		d.refused[lookUp.jobID] = lookUp.err != nil
		if i >= len(again) {
			d.lastLookUp = lookUp.jobID
		}
	}
}

// dependencyLookUp is what became of the look-up of a dependency.
type dependencyLookUp struct {
	jobID string
	err   error // of a store that did not answer
}

// lookUp looks up dependencies, a few at a time, until the store refuses one: others need the
// budget too. It returns the look-ups made, the first ones.
func (d *dependencies) lookUp(ctx context.Context, jobIDs []string) []dependencyLookUp {
	lookUps := make([]dependencyLookUp, 0, len(jobIDs)) // never grows: elements stay where they are
	slots := make(chan struct{}, maxConcurrentLookups)
	var wg sync.WaitGroup
	var refused atomic.Bool
	for _, jobID := range jobIDs {
		slots <- struct{}{}
		if refused.Load() {
			break
		}
		lookUps = append(lookUps, dependencyLookUp{jobID: jobID})
		made := &lookUps[len(lookUps)-1]
		wg.Go(func() {
			defer func() { <-slots }()
			if made.err = d.lookUpEnding(ctx, made.jobID); made.err != nil {
				refused.Store(true)
			}
		})
	}
	wg.Wait()
	return lookUps
}

// startAfter returns sorted names in a circle that begins with the first one after another.
func startAfter(sorted []string, last string) []string {
	first, found := slices.BinarySearch(sorted, last)
	if found {
		first++
	}
	return slices.Concat(sorted[first:], sorted[:first])
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
	notify(d.propagationSignal)
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
