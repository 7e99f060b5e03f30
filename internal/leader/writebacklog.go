package leader

import (
	"time"

	"rillflow/internal/ledger"
)

// WriteBacklog counts the changes that wait to be written to the store.
type WriteBacklog struct {
	ledger.WriteBacklog
	OldestEndAge time.Duration // of the job end that has waited longest; 0 if none waits
}

// WriteBacklog returns the write backlog of the term, a zero one if this controller does not lead.
func (r *Runner) WriteBacklog() WriteBacklog {
	term := r.current.Load()
	if term == nil {
		return WriteBacklog{}
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.writeBacklog()
}

// writeBacklog returns the write backlog. Callers hold mu.
func (s *termScope) writeBacklog() WriteBacklog {
	backlog := WriteBacklog{WriteBacklog: s.jobs.WriteBacklog()}
	if !backlog.OldestEnd.IsZero() {
		backlog.OldestEndAge = s.now().Sub(backlog.OldestEnd)
	}
	return backlog
}

// logBacklog warns if the end of a job has waited for at least a heartbeat interval to be
// written, at most once in a quarter of the worker lease. Callers hold mu.
func (w *claimWriter) logBacklog() {
	now := w.now()
	if now.Sub(w.backlogLoggedAt) < w.settings.WorkerLease()/4 {
		return
	}
	w.backlogLoggedAt = now
	backlog := w.writeBacklog()
	if backlog.OldestEndAge < w.settings.HeartbeatInterval() {
		return
	}
	w.log.Warn("job ends are waiting to be written to the store", "oldest_s", backlog.OldestEndAge.Seconds(),
		"ends", backlog.Ends, "claims", backlog.Claims, "finishes", backlog.Finishes, "cleanup", backlog.Cleanup)
}
