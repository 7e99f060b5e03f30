package leader

import (
	"context"
	"errors"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// jobWatcher watches the live keys and applies their changes: new jobs, and jobs that left the live
// keys. Serve runs its loop, watchJobs, which changes the job table under mu, then the replica. It
// must not mark a job as done: only the claim writer does, after its own commit.
type jobWatcher struct {
	*termScope
	cancellations *cancellations
	orphans       *orphanTracker
	storeReader   *storeReader
}

// watchJobs watches the live jobs from a revision on.
func (w *jobWatcher) watchJobs(ctx context.Context, revision uint64) error {
	for attempt := 0; ctx.Err() == nil; {
		events, err := w.store.Watch(ctx, ledger.LivePrefix, revision, w.settings.WorkerLease()/2)
		if errors.Is(err, kvstore.ErrCompacted) {
			return err // the next term reads the full state again
		}
		if err != nil {
			w.backOffRead(ctx, attempt)
			attempt++
			continue
		}
		attempt = 0
		revision = max(revision, events.Revision)
		changes, endedJobs, err := w.applyEvents(events.Events)
		if err != nil {
			return w.suspectDataLoss(err)
		}
		endOps, err := w.readEndOperations(ctx, endedJobs)
		if err != nil {
			return err
		}
		w.replica.Apply(events.Revision, append(changes, endOps...)...)
		notify(w.scheduleSignal)
		w.dependenciesChanged()
	}
	return ctx.Err()
}

// applyEvents applies changes of live keys to the job table. It returns those that add jobs,
// for the replica, and the jobs whose end the replica lacks. The error is that of an invalid
// record.
func (w *jobWatcher) applyEvents(events []wire.Operation) (added []wire.Operation, endedJobs []string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, event := range events {
		if event.Put != "" {
			if err := w.jobAdded(event); err != nil {
				return nil, nil, err
			}
			added = append(added, event)
			continue
		}
		// A finished job leaves the live keys by this leader's own transaction. Had it been
		// cancelled first, that transaction would fail and handle the cancellation.
		jobID := event.Delete[len(ledger.LivePrefix):]
		if w.endUnreplicated(jobID) {
			endedJobs = append(endedJobs, jobID)
		}
		if job := w.jobs.Job(jobID); job != nil && !job.Finished {
			w.cancellations.cancelJob(jobID)
		}
	}
	return added, endedJobs, nil
}

// jobAdded adds a live job, which may already be known: from loading, or as an orphan.
func (w *jobWatcher) jobAdded(event wire.Operation) error {
	jobID := event.Put[len(ledger.LivePrefix):]
	known := w.jobs.Job(jobID) != nil
	if err := w.addJob(event.Put, event.Value, event.ModRevision); err != nil {
		return err
	}
	if !known {
		w.jobs.Job(jobID).MarkArrived(w.now())
	}
	w.orphans.adoptOrphans(jobID)
	return nil
}

// readEndOperations reads the end records of jobs, and returns the operations that apply them to the
// replica. Most of the jobs were cancelled by their users, but a leader that was cut off may also
// see jobs that its successor finished.
func (w *jobWatcher) readEndOperations(ctx context.Context, jobIDs []string) ([]wire.Operation, error) {
	var endOps []wire.Operation
	for _, jobID := range jobIDs {
		end, err := w.storeReader.requireEndRecord(ctx, jobID)
		if err != nil {
			return nil, err
		}
		endOps = append(endOps, endOperations(jobID, end)...)
	}
	return endOps, nil
}

// endUnreplicated reports whether a job left the live keys other than by this leader's own
// transaction, and the replica lacks its end. A job cancelled in the job table may still be one of
// them: a cancellation message may have arrived before the watch event.
func (w *jobWatcher) endUnreplicated(jobID string) bool {
	tree, _ := w.replica.Tree() // without this controller's own writes, which other replicas lack
	if _, ok := tree.Get([]byte(ledger.EndedKey(jobID))); ok {
		return false
	}
	if job := w.jobs.Job(jobID); job != nil {
		return !job.Finished
	}
	_, live := tree.Get([]byte(ledger.LiveKey(jobID))) // the job table drops a cancelled job with its last claim
	return live
}
