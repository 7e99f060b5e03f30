package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/settings"
)

// cancellations applies cancelled jobs to the cluster state, and finds workers that may keep a
// cancelled task for too long.
//
// The cancellation messages of peers reach it through the Runner; the failure monitor, the job
// watcher, the claim writer and the dependencies call it too. All hold mu. It has no state of
// its own, and writes nothing to the store: a job is cancelled by the transaction that moves
// its record from the live keys.
type cancellations struct {
	*termScope
	autoscaler *autoscaler
}

// ApplyCancellations has the term take in the cancellations that this controller knows of, and
// tells whether it leads and did: its workers are told at once, also while the store, which
// would tell it otherwise, refuses it.
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

// LaunchesResolved tells whether no start command that this leader gave may still start a task
// of the given jobs once they are cancelled, as far as that can be known soon. A worker that
// has not said what became of a start command by the time at which it is suspected is released,
// or is cut off, and its user is told then.
func (r *Runner) LaunchesResolved(jobIDs ...string) bool {
	term := r.current.Load()
	if term == nil {
		return true
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.cancellations.launchesResolved(jobIDs)
}

func (c *cancellations) launchesResolved(jobIDs []string) bool {
	now := c.now()
	suspectAfter := time.Duration(c.settings.Operator.Fleet.FailureTimeout * float64(c.settings.HeartbeatInterval()))
	for _, jobID := range jobIDs {
		job := c.jobs.Job(jobID)
		if job == nil || !job.Cancelled || now.Sub(job.CancelledAt) > suspectAfter {
			continue
		}
		for _, claim := range c.jobs.ClaimsOfJob(job) {
			if claim.StartSent && !claim.Finished && claim.RunningSince.IsZero() {
				return false
			}
		}
	}
	return true
}

// applyCancellations takes in the cancellations that this controller knows of.
func (c *cancellations) applyCancellations() {
	for _, jobID := range c.recentCancellations.JobIDs() {
		// Of a job about to be done nothing is left to stop, and its last write fails.
		if job := c.jobs.Job(jobID); job != nil && !job.Finished {
			c.cancelJob(jobID)
		}
	}
}

// cancelJob notes that a job left the live keys other than by being done. Its claims stay until
// their tasks are surely gone.
func (c *cancellations) cancelJob(jobID string) {
	job := c.jobs.Job(jobID)
	if job == nil || job.Cancelled {
		return
	}
	if cause := job.CancelledUpstream(); cause != "" {
		c.log.Info("job cancelled", "job", jobID, "claims", job.ClaimedTasks(), "cause", cause)
	} else {
		c.log.Info("job cancelled", "job", jobID, "claims", job.ClaimedTasks())
	}
	holders := make(map[string]bool)
	for _, claim := range c.jobs.ClaimsOfJob(job) {
		holders[claim.Worker] = true
	}
	job.CancelledAt = c.now()
	c.jobs.Cancel(jobID)
	for name := range holders {
		if worker := c.workers[name]; worker != nil {
			worker.WakeSender()
		}
	}
	notify(c.writeSignal)
	c.dependenciesChanged()
}

// cancelledJobs returns the cancelled jobs of which there are claims left. Just after a new
// leader has read them, they are all jobs whose tasks may still be there: a claim goes only
// once its task surely has.
func (c *cancellations) cancelledJobs() []string {
	var jobIDs []string
	for jobID, job := range c.jobs.Jobs() {
		if job.Cancelled {
			jobIDs = append(jobIDs, jobID)
		}
	}
	return jobIDs
}

// hasOverdueTask tells whether a cancelled task might still be on a worker when it must be
// gone. The worker may be cut off with a controller that knows of no cancellation, or not hear
// what it is told, or a start command whose outcome is unknown may still be on its way to it:
// then only the release of the instance ends the task for sure.
func (c *cancellations) hasOverdueTask(worker *agent.Worker, now time.Time) bool {
	// The time of a cancellation may be by another controller's clock: both may be off.
	clockErrors := 2 * c.settings.ClockError()
	grace := settings.Seconds(c.settings.Facts.Workers.CancelSeconds) - 2*c.settings.HeartbeatInterval() - clockErrors
	for _, claim := range c.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Job.Cancelled && !claim.Finished && now.Sub(claim.Job.CancelledAt) > grace {
			return true
		}
	}
	return false
}

// overdueWorkers returns the workers that must be released for a cancelled task, and those of
// them whose release was not answered.
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
