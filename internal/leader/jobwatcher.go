package leader

import (
	"context"
	"errors"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// jobWatcher takes in jobs as they are committed to the store: new ones, and those that left
// the live keys. Its loop, watchJobs, changes the job table under mu, then the replica. It
// must not take a job for finished: only the claim writer's own commit does that.
type jobWatcher struct {
	*termScope
	cancellations *cancellations
	orphans       *orphanTracker
	storeReader   *storeReader
}

// watchJobs follows the live jobs from a revision on.
func (w *jobWatcher) watchJobs(ctx context.Context, revision uint64) error {
	for attempt := 0; ctx.Err() == nil; {
		events, err := w.store.Watch(ctx, ledger.LivePrefix, revision, w.settings.WorkerLease()/2)
		if errors.Is(err, kvstore.ErrCompacted) {
			return err // a new term reads everything afresh
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
		endings, err := w.readEndings(ctx, endedJobs)
		if err != nil {
			return err
		}
		w.replica.Apply(events.Revision, append(changes, endings...)...)
		notify(w.scheduleSignal)
		w.dependenciesChanged()
	}
	return ctx.Err()
}

// applyEvents takes changes of live keys into the job table. It returns those that add jobs,
// for the replica, and the jobs whose end the replica lacks. An error is a record that cannot
// be read.
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
		// A job about to be done goes from the live keys by this
		// leader's own write; were it cancelled, that write fails.
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

// jobAdded takes in a live job, which may be known: from the load, or as an orphan.
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

// readEndings reads how jobs ended, and returns what the replica is to be told of them. Most
// were cancelled by their users. But a leader that was cut off may hear so of what the next
// one finished.
func (w *jobWatcher) readEndings(ctx context.Context, jobIDs []string) ([]wire.Operation, error) {
	var endings []wire.Operation
	for _, jobID := range jobIDs {
		end, err := w.storeReader.requireEnding(ctx, jobID)
		if err != nil {
			return nil, err
		}
		endings = append(endings, endingOps(jobID, end)...)
	}
	return endings, nil
}

// endUnreplicated tells whether a job left the live keys other than by this leader's own
// write, and the replica lacks its end. That the job table has it cancelled says nothing of
// that: a cancellation may have come ahead of the watch.
func (w *jobWatcher) endUnreplicated(jobID string) bool {
	tree, _ := w.replica.Tree() // not what this controller took in itself, which the others lack
	if _, ok := tree.Get([]byte(ledger.EndedKey(jobID))); ok {
		return false
	}
	if job := w.jobs.Job(jobID); job != nil {
		return !job.Finished
	}
	_, live := tree.Get([]byte(ledger.LiveKey(jobID))) // the job table forgot it with its last claim
	return live
}
