package control

import (
	"context"
	"errors"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// heardAll waits for the machines that may have tasks of jobs that nobody remembers: no
// longer than their leases last.
func (r *reign) heardAll(ctx context.Context) error {
	for r.back.all {
		r.mu.Lock()
		heard := r.heardOf(r.now())
		r.mu.Unlock()
		if heard {
			return nil
		}
		if !sleep(ctx, r.set.Report()/4) {
			return ctx.Err()
		}
	}
	return nil
}

// ErrUnheard: nothing is known of a job, but not all machines that may have its tasks were
// heard in this term.
var ErrUnheard = errors.New("control: not all machines were heard")

// heardOf tells whether all machines that may have tasks were heard in this term, or their
// leases are over: what only machines know is known by then.
func (r *reign) heardOf(now time.Time) bool {
	since := now.Sub(r.began)
	return since > r.set.Lease()+r.set.Report() ||
		since > max(settings.Seconds(2*r.set.Facts.Cloud.ListLagS), r.set.Report()) && len(r.unheard()) == 0
}

// open waits until everybody who might know of an earlier history was heard: all
// machines that are up, or a lease. A worker that has seen an epoch ends it at once.
func (r *reign) open(ctx context.Context) error {
	for sleep(ctx, r.set.Report()/2) {
		r.mu.Lock()
		now := r.now()
		over := now.Sub(r.began) > r.set.Lease() || len(r.listed) > 0 && now.Sub(r.began) > r.set.Report() && len(r.unheard()) == 0
		r.mu.Unlock()
		if over {
			return nil
		}
	}
	return ctx.Err()
}

// unheard are machines that are up, or have claims, and that have not come to this
// leader yet: whatever they have may still be ordered by an earlier one.
func (r *reign) unheard() []string {
	var out []string
	for _, h := range r.sorted {
		if !r.gone[h.Name].IsZero() {
			continue
		}
		l, listed := r.listed[h.Name]
		up := listed && l.Phase == wire.PhaseRunning || len(r.led.OnHost(h.Name)) > 0
		if up && (h.LastHeartbeat.IsZero() && h.LastUpdate.IsZero() || h.SeenEpoch < r.first) {
			out = append(out, h.Name)
		}
	}
	return out
}

// holding tells whether nothing may be placed yet: some machine may have a task that
// nobody remembers. For a job that came after the loss no such task can be.
func (r *reign) holding(now time.Time) bool {
	b := r.back
	if b == nil || !b.all || !b.released.IsZero() {
		return false
	}
	if b.durable.IsZero() {
		return true
	}
	lag := settings.Seconds(2 * r.set.Facts.Cloud.ListLagS)
	since := now.Sub(r.began)
	if since < r.set.Lease()+r.set.Report() {
		if !b.exact && since < lag || len(r.unheard()) > 0 {
			return true
		}
	}
	left := r.unheard()
	if len(left) > 0 && !b.exact {
		return false // see withheld
	}
	b.released = now
	r.log.Info("placing again", "after_s", since.Seconds(), "unheard", len(left))
	return false
}

// withheld tells whether a job's tasks may be on a machine that has not been heard
// since data was lost, though nobody remembers them.
func (r *reign) withheld(j *ledger.Job) bool {
	b := r.back
	return b != nil && b.all && b.released.IsZero() && !j.Came
}

// settle takes in a report where claims are of a history that was lost: what the
// machine shows is there, whatever is remembered of it.
func (r *reign) settle(h *agent.Worker, t ledger.Task, m wire.TaskStatus) {
	j := r.led.Job(t.Ref)
	if j == nil {
		return
	}
	c := r.led.OnHost(h.Name)[t]
	if c != nil && c.Try == m.Attempt {
		c.Unsure = false
		return
	}
	if r.back == nil || !r.back.all || m.Phase == wire.TaskExited && m.ExitReason != wire.ExitDone {
		return
	}
	if c := r.led.Adopt(j, t.Index, ledger.Claim{Host: h.Name, Tenure: h.Incarnation, Try: m.Attempt, Zone: h.Zone}, r.first-1); c != nil {
		r.log.Info("known from its machine", "task", t, "try", m.Attempt, "host", h.Name, "phase", m.Phase)
	}
}
