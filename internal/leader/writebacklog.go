package leader

import (
	"time"

	"rillflow/internal/ledger"
)

// WriteBacklog is what waits to be written to the store.
type WriteBacklog struct {
	ledger.WriteBacklog
	OldestEndAge time.Duration // of the end of a job that waits longest; 0: none does
}

// WriteBacklog returns what waits to be written, nothing if this controller does not lead.
func (r *Runner) WriteBacklog() WriteBacklog {
	term := r.current.Load()
	if term == nil {
		return WriteBacklog{}
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.writeBacklog()
}

// writeBacklog is called with mu held.
func (s *termScope) writeBacklog() WriteBacklog {
	backlog := WriteBacklog{WriteBacklog: s.jobs.WriteBacklog()}
	if !backlog.OldestEnd.IsZero() {
		backlog.OldestEndAge = s.now().Sub(backlog.OldestEnd)
	}
	return backlog
}

// logBacklog says now and then that ends of jobs wait for long to be written. Callers hold mu.
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
	w.log.Warn("ends of jobs wait to be written", "oldest_s", backlog.OldestEndAge.Seconds(),
		"ends", backlog.Ends, "claims", backlog.Claims, "finishes", backlog.Finishes, "cleanup", backlog.Cleanup)
}
