package control

import (
	"context"
	"errors"
	"slices"

	"rillflow/internal/agent"
	"rillflow/internal/history"
	"rillflow/internal/ledger"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// trace is a job of which nothing is known but that machines have tasks of it: it was
// accepted in a part of the history that was lost. Its tasks run on until its user
// submits it again or withdraws it.
type trace struct {
	over bool // it has an end: what is left of it may go
}

// maxTraces bounds the traces that are followed; more are kept on their machines all
// the same.
const maxTraces = 4096

// stray tells whether a task on a machine is of a job that may have been lost, so that
// it is to be left alone.
func (r *reign) stray(t ledger.Task) bool {
	if v := r.term.History(); !v.Lost && v.Phase != history.Open || r.led.Job(t.Ref) != nil {
		return false // a history that has just begun may be a loss that is yet to show
	}
	x := r.traces[t.Ref]
	if x == nil && len(r.traces) < maxTraces {
		x = &trace{}
		r.traces[t.Ref] = x
	}
	return x == nil || !x.over
}

// resolve finds out what became of jobs that only machines know.
func (r *reign) resolve(ctx context.Context) error {
	for sleep(ctx, r.set.Report()/2) {
		r.mu.Lock()
		var ask []string
		for ref, x := range r.traces {
			if !x.over {
				ask = append(ask, ref)
			}
		}
		r.reserve()
		r.mu.Unlock()
		slices.Sort(ask)
		for _, ref := range ask[:min(len(ask), maxLooks)] {
			_, err := r.st.Get(ctx, ledger.EndedKey(ref))
			if err != nil && !errors.Is(err, state.ErrNotFound) {
				break
			}
			if err != nil {
				if _, ok := r.copies.Get(ledger.EndedKey(ref)); !ok {
					continue
				}
			}
			r.mu.Lock()
			if x := r.traces[ref]; x != nil { // else it was submitted again meanwhile
				x.over = true
			}
			r.spread(ref, func(h *agent.Worker, t ledger.Task, m agent.TaskStatus) {
				m.Orphaned = false
				h.Tasks[t] = m
				h.WakeSender()
			})
			r.mu.Unlock()
		}
	}
	return ctx.Err()
}

// spread goes through the tasks of a job on all machines.
func (r *reign) spread(ref string, f func(h *agent.Worker, t ledger.Task, m agent.TaskStatus)) {
	for _, h := range r.sorted {
		for t, m := range h.Tasks {
			if t.Ref == ref {
				f(h, t, m)
			}
		}
	}
}

// reserve counts what tasks of unknown jobs may take against every team's limit: all
// that their machines have beside what is claimed.
func (r *reign) reserve() {
	var cores, accel float64
	for _, h := range r.sorted {
		t := r.types.InstanceTypes()[h.InstanceType]
		if t == nil || !r.keeps(h) {
			continue
		}
		used := r.led.Used(h.Name)
		cores += max(0, t.CPUs-used.Cores)
		accel += max(0, t.GPUs-used.Accel)
	}
	r.led.Reserve(cores, accel)
}

// keeps tells whether a host has a task of an unknown job.
func (r *reign) keeps(h *agent.Worker) bool {
	for _, m := range h.Tasks {
		if m.Orphaned && m.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// adopt claims the tasks of a job that was submitted again, where machines have them.
func (r *reign) adopt(ref string) {
	if r.traces[ref] == nil {
		return
	}
	delete(r.traces, ref)
	j, now, n := r.led.Job(ref), r.now(), 0
	r.spread(ref, func(h *agent.Worker, t ledger.Task, m agent.TaskStatus) {
		if !m.Orphaned {
			return
		}
		m.Orphaned = false
		h.Tasks[t] = m
		if m.Phase == wire.TaskExited && m.EndCause != wire.ExitDone {
			return
		}
		c := r.led.Adopt(j, t.Index, ledger.Claim{Host: h.Name, Tenure: h.Incarnation, Try: m.Attempt, Zone: h.Zone}, r.first-1)
		if c == nil {
			return
		}
		n++
		switch m.Phase {
		case wire.PhaseRunning:
			c.Running = m.Since
		case wire.TaskExited:
			r.ended(c, h, m.EndCause, now)
		}
	})
	r.log.Info("known again", "job", ref, "tasks", n)
	r.reserve()
}

// traced counts the tasks of an unknown job that run, if there is a trace of it.
func (r *reign) traced(ref string) (running int, ok bool) {
	x := r.traces[ref]
	if x == nil || x.over {
		return 0, false
	}
	r.spread(ref, func(_ *agent.Worker, _ ledger.Task, m agent.TaskStatus) {
		if m.Phase == wire.PhaseRunning {
			running++
		}
	})
	return running, true
}
