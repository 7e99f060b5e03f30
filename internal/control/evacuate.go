package control

import (
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// evacuate stops tasks on machines that the cloud is about to take, where they
// will not be done by then: they save what they can and start again elsewhere
// now, and not only once the machine has been found to be gone.
func (r *reign) evacuate(now time.Time) {
	for _, h := range r.sorted {
		if h.ReclaimAt.IsZero() || h.ReclaimAt.Before(now) {
			continue
		}
		left := h.ReclaimAt.Sub(now).Seconds()
		for _, c := range r.led.OnHost(h.Name) {
			if c.Over || c.Stopping || !c.Committed || c.Job.Withdrawn || c.Job.Gang() || c.Job.Spec.Kind == wire.KindService ||
				r.remaining(c, now) <= left {
				continue
			}
			c.Stopping = true
			r.rec.task(now, audit.Stopped, c, "the cloud takes the machine", "")
			h.WakeSender()
			r.log.Debug("evacuated", "task", c.Task(), "host", h.Name, "left_s", left)
		}
	}
}

// remaining is how much longer a task is expected to run, in seconds.
func (r *reign) remaining(c *ledger.Held, now time.Time) float64 {
	run := expected(c.Job)
	if !c.Running.IsZero() {
		run -= now.Sub(c.Running).Seconds()
	}
	return max(run, 0)
}

// doubt is how many finished tasks an owner's expectation is worth.
const doubt = 2

// expected is how long a task of a job runs, in seconds: as its owner expects,
// corrected by those that are done.
func expected(j *ledger.Job) float64 {
	return (doubt*j.Spec.ExpectedSeconds + j.Ran.Sum) / float64(doubt+j.Ran.N)
}
