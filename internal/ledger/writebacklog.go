package ledger

import "time"

// WriteBacklog counts the chunks that wait to be written, by kind of change.
type WriteBacklog struct {
	Claims    int       // chunks with claims that are not durable
	Ends      int       // chunks of jobs all of whose tasks are done
	Finishes  int       // chunks with only finished tasks and freed claims, for which nothing waits
	Cleanup   int       // chunks to be deleted because their jobs have ended
	OldestEnd time.Time // since when the oldest pending end waits; zero: no end waits
}

// WriteBacklog returns the current backlog.
func (t *Table) WriteBacklog() WriteBacklog {
	var backlog WriteBacklog
	for _, ref := range t.writes.pending {
		switch t.writes.priority(ref) {
		case priorityBlockingEnd, priorityEnd:
			backlog.Ends++
			if since := ref.job.endPendingSince; !since.IsZero() &&
				(backlog.OldestEnd.IsZero() || since.Before(backlog.OldestEnd)) {
				backlog.OldestEnd = since
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
