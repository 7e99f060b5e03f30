package control

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/settings"
)

// Heed has the term take in the withdrawals that this node knows of, and tells whether it
// leads and has: its machines are told at once, also while the state service, which would
// tell it otherwise, refuses it.
func (c *Control) Heed() bool {
	r := c.cur.Load()
	if r == nil {
		return false
	}
	select {
	case <-r.ready:
	default:
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.heed()
	return true
}

// Settled tells whether no launch that this leader gave may still start a task of jobs
// that are withdrawn, as far as it can be seen to soon: a machine that has not said what
// became of a launch by the time at which it is taken for silent is returned, or is behind a
// cut, and its user is told then.
func (c *Control) Settled(refs ...string) bool {
	r := c.cur.Load()
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, long := r.now(), time.Duration(r.set.Operator.Fleet.Silence*float64(r.set.Report()))
	for _, ref := range refs {
		j := r.led.Job(ref)
		if j == nil || !j.Withdrawn || now.Sub(j.WithdrawnAt) > long {
			continue
		}
		for _, h := range r.led.HeldBy(j) {
			if h.Sent && !h.Over && h.Running.IsZero() {
				return false
			}
		}
	}
	return true
}

// heed takes in the withdrawals that this node knows of.
func (r *reign) heed() {
	for _, ref := range r.notices.All() {
		// Of a job about to be done nothing is left to stop, and its last write fails.
		if j := r.led.Job(ref); j != nil && !j.Finished {
			r.withdraw(ref)
		}
	}
}

// withdrawn are the jobs that are withdrawn and of which there are claims left. Just read
// by a new leader they are all whose tasks may be there still: a claim goes only once its
// task surely has.
func (r *reign) withdrawn() []string {
	var out []string
	for ref, j := range r.led.Jobs() {
		if j.Withdrawn {
			out = append(out, ref)
		}
	}
	return out
}

// outlives tells whether a withdrawn task might still be on a host when it must be gone.
// The host may be behind a cut with a controller that knows of no withdrawal, or not hear
// what it is told, or a launch of unknown fate may still be on its way to it: then only
// the machine's return ends it for sure.
func (r *reign) outlives(h *agent.Worker, now time.Time) bool {
	// The time of a withdrawal may be by another node's clock: both may be off.
	grace := settings.Seconds(r.set.Facts.Workers.CancelS) - 2*r.set.Report() - 2*r.set.ClockError()
	for _, c := range r.led.OnHost(h.Name) {
		if c.Job.Withdrawn && !c.Over && now.Sub(c.Job.WithdrawnAt) > grace {
			return true
		}
	}
	return false
}

// overdue are the machines that a withdrawn task would outlive its time on, and those of
// them whose return was not answered.
func (r *reign) overdue(now time.Time) []string {
	var out []string
	for _, h := range r.sorted {
		if !r.outlives(h, now) {
			continue
		}
		if _, leaving := r.gone[h.Name]; !leaving {
			r.returning(h.Name, "withdrawn task", now)
		}
		out = append(out, h.Name)
	}
	return out
}
