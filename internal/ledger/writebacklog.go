package ledger

import "time"

// WriteBacklog is what waits to be written, in chunks.
type WriteBacklog struct {
	Claims    int       // with claims that are not durable
	Ends      int       // of jobs all of whose tasks are done
	Finishes  int       // with finished tasks and freed claims, which nothing waits for
	Cleanup   int       // to be deleted: their jobs have ended
	OldestEnd time.Time // since when the end of a job waits; zero: none does
}

// WriteBacklog returns what waits to be written.
func (t *Table) WriteBacklog() WriteBacklog {
	var backlog WriteBacklog
	for _, ref := range t.writes.pending {
		switch t.writes.priority(ref) {
		case priorityNeededEnd, priorityEnd:
			backlog.Ends++
			if from := ref.job.endPendingFrom; !from.IsZero() &&
				(backlog.OldestEnd.IsZero() || from.Before(backlog.OldestEnd)) {
				backlog.OldestEnd = from
			}
		case priorityClaim:
			backlog.Claims++
		case priorityFinish:
			backlog.Finishes++
		default:
			backlog.Cleanup++
		}
	}
	return backlog
}
