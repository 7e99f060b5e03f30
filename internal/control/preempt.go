package control

import (
	"fmt"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/ledger"
)

// preempt stops tasks of lower rank for waiting ones that found no room. The
// ones stopped are those that lose the least work, and never one that is about
// to finish by itself.
func (r *reign) preempt(queues []*queue, now time.Time) {
	var rooms []*room
	for _, q := range queues {
		for _, j := range q.jobs {
			if r.rank(j) >= rankOf("standard") || j.WaitingTasks() == 0 || j.Gang() ||
				now.Sub(j.WaitingSince) < r.set.Report()/16 || now.Before(j.PreemptAt) {
				continue
			}
			// Once stopped, the tasks' room comes free within a moment; give
			// it time to be taken before more are stopped for this job.
			j.PreemptAt = now.Add(r.set.Report() / 2)
			if rooms == nil {
				rooms = r.rooms(now)
			}
			left := make(map[string]int)
			for range min(j.WaitingTasks(), r.led.Headroom(j)) {
				m, victim := r.victim(j, rooms, left, now)
				if victim == nil {
					break
				}
				left[m.h.Zone]++
				victim.Stopping = true
				r.rec.task(now, audit.Stopped, victim, fmt.Sprintf("rank %s gives way to %s", named(r.rank(victim.Job)), named(r.rank(j))), j.Ref)
				m.h.WakeSender()
				r.log.Info("preempted", "task", victim.Task(), "host", m.h.Name, "for", j.Ref)
			}
		}
	}
}

// victim finds the task whose stop makes room for a job's task at the least
// cost: seconds of work lost, and of fetching the image there.
func (r *reign) victim(j *ledger.Job, rooms []*room, taken map[string]int, now time.Time) (*room, *ledger.Held) {
	var room *room
	var best *ledger.Held
	least := 0.0
	tier := r.tier(j)
	for _, m := range rooms {
		if !m.couldFit(j) || r.led.ZoneRoom(j, m.h.Zone) <= taken[m.h.Zone] {
			continue
		}
		for _, c := range r.led.OnHost(m.h.Name) {
			s := &c.Job.Spec
			if c.Over || c.Stopping || !c.Committed || c.Job.Withdrawn || c.Job.Gang() ||
				r.rank(c.Job) <= r.rank(j) || r.tier(c.Job) <= tier ||
				!within(&j.Spec, m.cores+s.CPUs, m.accel+s.GPUs, m.ram+s.MemoryGB) {
				continue
			}
			ran := 0.0
			if !c.Running.IsZero() {
				ran = now.Sub(c.Running).Seconds()
			}
			if s.ExpectedSeconds > 0 && ran > s.ExpectedSeconds-r.set.Facts.Workers.ReportS && ran < s.ExpectedSeconds+r.set.Facts.Workers.ReportS {
				continue // about to finish
			}
			if s.CheckpointIntervalSeconds > 0 {
				ran = min(ran, s.CheckpointSaveSeconds)
			}
			cost := ran + 4*m.fetch(j)
			if best == nil || cost < least {
				room, best, least = m, c, cost
			}
		}
	}
	return room, best
}
