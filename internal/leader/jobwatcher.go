package leader

import (
	"context"
	"errors"
	"fmt"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// jobWatcher takes in jobs as they are committed to the store.
type jobWatcher struct {
	*termScope
	cancellations *cancellations
	orphans       *orphanTracker
	storeReader   *storeReader
}

// watchJobs takes in new and withdrawn jobs as they are committed.
func (w *jobWatcher) watchJobs(ctx context.Context, revision uint64) error {
	for attempt := 0; ctx.Err() == nil; {
		events, err := w.store.Watch(ctx, ledger.LivePrefix, revision, w.settings.Lease()/2)
		if errors.Is(err, kvstore.ErrCompacted) {
			return err // a new term reads everything afresh
		}
		if err != nil {
			kvstore.Backoff(ctx, attempt, w.settings.Report()/32, w.settings.Report()/4)
			attempt++
			continue
		}
		attempt = 0
		revision = max(revision, events.Revision)
		var changes []wire.Operation
		var endedJobs []string
		w.mu.Lock()
		for _, change := range events.Events {
			if change.Put != "" {
				jobID := change.Put[len(ledger.LivePrefix):]
				known := w.jobs.Job(jobID) != nil
				if err := w.addJob(change.Put, change.Value, change.ModRevision); err != nil {
					w.mu.Unlock()
					return w.suspectDataLoss(err)
				}
				if !known {
					w.jobs.Job(jobID).MarkArrived(w.now())
				}
				w.orphans.adoptOrphans(jobID)
				changes = append(changes, change)
				continue
			}
			// A job about to be done goes from the live keys by this
			// leader's own write; were it withdrawn, that write fails.
			jobID := change.Delete[len(ledger.LivePrefix):]
			if w.endUnreplicated(jobID) {
				endedJobs = append(endedJobs, jobID)
			}
			if job := w.jobs.Job(jobID); job != nil && !job.Finished {
				w.cancellations.cancelJob(jobID)
			}
		}
		w.mu.Unlock()
		for _, jobID := range endedJobs {
			// Most were withdrawn by their users. But a leader that was cut off may hear
			// so of what the next one finished.
			data, err := w.storeReader.readEnding(ctx, jobID)
			if errors.Is(err, kvstore.ErrNotFound) {
				return w.suspectDataLoss(fmt.Errorf("job %s is gone without an end", jobID))
			}
			if err != nil {
				return err
			}
			changes = append(changes, endingOps(jobID, data)...)
		}
		w.replica.Apply(events.Revision, changes...)
		notify(w.scheduleSignal)
		notify(w.dependencySignal)
	}
	return ctx.Err()
}

// endUnreplicated tells whether a job left the live keys other than by this leader's own write, and
// the copy lacks its end. That the ledger has it withdrawn says nothing of that: a notice
// may have come ahead of the log.
func (w *jobWatcher) endUnreplicated(jobID string) bool {
	tree, _ := w.replica.Tree() // not what this node took itself, which the others lack
	if _, ok := tree.Get([]byte(ledger.EndedKey(jobID))); ok {
		return false
	}
	if job := w.jobs.Job(jobID); job != nil {
		return !job.Finished
	}
	_, live := tree.Get([]byte(ledger.LiveKey(jobID))) // the ledger forgot it with its last claim
	return live
}
