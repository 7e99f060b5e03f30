package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/settings"
)

// cancellations applies cancelled jobs to the cluster state.
type cancellations struct {
	*termScope
	autoscaler *autoscaler
}

// ApplyCancellations has the term take in the withdrawals that this node knows of, and tells whether it
// leads and has: its machines are told at once, also while the state service, which would
// tell it otherwise, refuses it.
func (r *Runner) ApplyCancellations() bool {
	term := r.current.Load()
	if term == nil {
		return false
	}
	select {
	case <-term.ready:
	default:
		return false
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	if term.ctx.Err() != nil {
		return false
	}
	term.cancellations.applyCancellations()
	return true
}

// LaunchesResolved tells whether no launch that this leader gave may still start a task of jobs
// that are withdrawn, as far as it can be seen to soon: a machine that has not said what
// became of a launch by the time at which it is taken for silent is returned, or is behind a
// cut, and its user is told then.
func (r *Runner) LaunchesResolved(refs ...string) bool {
	term := r.current.Load()
	if term == nil {
		return true
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	now, suspectAfter := term.now(), time.Duration(term.settings.Operator.Fleet.Silence*float64(term.settings.Report()))
	for _, ref := range refs {
		job := term.jobs.Job(ref)
		if job == nil || !job.Cancelled || now.Sub(job.CancelledAt) > suspectAfter {
			continue
		}
		for _, claim := range term.jobs.ClaimsOfJob(job) {
			if claim.StartSent && !claim.Finished && claim.RunningSince.IsZero() {
				return false
			}
		}
	}
	return true
}

// applyCancellations takes in the withdrawals that this node knows of.
func (c *cancellations) applyCancellations() {
	for _, ref := range c.recentCancellations.JobIDs() {
		// Of a job about to be done nothing is left to stop, and its last write fails.
		if job := c.jobs.Job(ref); job != nil && !job.Finished {
			c.cancelJob(ref)
		}
	}
}

// cancelledJobs are the jobs that are withdrawn and of which there are claims left. Just read
// by a new leader they are all whose tasks may be there still: a claim goes only once its
// task surely has.
func (c *cancellations) cancelledJobs() []string {
	var refs []string
	for ref, job := range c.jobs.Jobs() {
		if job.Cancelled {
			refs = append(refs, ref)
		}
	}
	return refs
}

// hasOverdueTask tells whether a withdrawn task might still be on a host when it must be gone.
// The host may be behind a cut with a controller that knows of no withdrawal, or not hear
// what it is told, or a launch of unknown fate may still be on its way to it: then only
// the machine's return ends it for sure.
func (c *cancellations) hasOverdueTask(worker *agent.Worker, now time.Time) bool {
	// The time of a withdrawal may be by another node's clock: both may be off.
	grace := settings.Seconds(c.settings.Facts.Workers.CancelS) - 2*c.settings.Report() - 2*c.settings.ClockError()
	for _, claim := range c.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Job.Cancelled && !claim.Finished && now.Sub(claim.Job.CancelledAt) > grace {
			return true
		}
	}
	return false
}

// overdueWorkers are the machines that a withdrawn task would outlive its time on, and those of
// them whose return was not answered.
func (c *cancellations) overdueWorkers(now time.Time) []string {
	var names []string
	for _, worker := range c.workersByName {
		if !c.hasOverdueTask(worker, now) {
			continue
		}
		if _, leaving := c.released[worker.Name]; !leaving {
			c.autoscaler.noteRelease(worker.Name, releaseOverdueTask, now)
		}
		names = append(names, worker.Name)
	}
	return names
}

// cancelJob notes that a job left the live keys other than by being done.
func (c *cancellations) cancelJob(jobID string) {
	job := c.jobs.Job(jobID)
	if job == nil || job.Cancelled {
		return
	}
	if cause := job.CancelledUpstream(); cause != "" {
		c.log.Info("withdrawn", "job", jobID, "claims", job.ClaimedTasks(), "because_of", cause)
	} else {
		c.log.Info("withdrawn", "job", jobID, "claims", job.ClaimedTasks())
	}
	holders := make(map[string]bool)
	for _, h := range c.jobs.ClaimsOfJob(job) {
		holders[h.Worker] = true
	}
	job.CancelledAt = c.now()
	c.jobs.Cancel(jobID)
	for h := range holders {
		if worker := c.workers[h]; worker != nil {
			worker.WakeSender()
		}
	}
	notify(c.writeSignal)
	notify(c.dependencySignal)
}
