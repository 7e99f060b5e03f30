package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/settings"
)

// cancellations applies the cancellation of jobs to the cluster state, and finds workers that may
// run a cancelled task past its deadline.
//
// The Runner calls it for cancellation messages of peers; the failure monitor, the job watcher,
// the claim writer and the propagator call it too. All hold mu. It has no state of its own, and
// writes nothing to the store: a job is cancelled by the transaction that moves its record out of
// the live keys.
type cancellations struct {
	*termScope
	autoscaler *autoscaler
}

// ApplyCancellations applies the cancellations that this controller has received to the current
// term. It reports whether this controller leads and has applied them. Workers are then sent stop
// commands at once, even while the store, whose watch also reports cancellations, refuses this
// controller.
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

// StartCommandsResolved reports whether no start command sent by this leader can still start a task of
// the given cancelled jobs; the cancellation is acknowledged to the user only then. A start command
// counts as unresolved no longer than the failure timeout, after which a worker that has not
// reported its outcome is suspected: the worker is then either released or cut off by a partition,
// and the user gets the acknowledgement.
func (r *Runner) StartCommandsResolved(jobIDs ...string) bool {
	term := r.current.Load()
	if term == nil {
		return true
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.cancellations.startCommandsResolved(jobIDs)
}

func (c *cancellations) startCommandsResolved(jobIDs []string) bool {
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

// applyCancellations cancels the jobs of all cancellations that this controller has received.
func (c *cancellations) applyCancellations() {
	for _, jobID := range c.recentCancellations.JobIDs() {
		// A job whose tasks have all finished has nothing left to stop. If it was cancelled,
		// the transaction that writes its end fails.
		if job := c.jobs.Job(jobID); job != nil && !job.Finished {
			c.cancelJob(jobID)
		}
	}
}

// cancelJob marks a job as cancelled: it left the live keys without being done. Its claims stay
// until their tasks are proven to have ended.
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
	claimedWorkers := make(map[string]bool)
	for _, claim := range c.jobs.ClaimsOfJob(job) {
		claimedWorkers[claim.Worker] = true
	}
	job.CancelledAt = c.now()
	c.jobs.Cancel(jobID)
	for name := range claimedWorkers {
		if worker := c.workers[name]; worker != nil {
			worker.WakeSender()
		}
	}
	notify(c.writeSignal)
	c.dependenciesChanged()
}

// cancelledJobs returns the cancelled jobs that still have claims. Just after a new leader has
// loaded the claims, these are all cancelled jobs whose tasks may still run: a claim is deleted
// only once its task is proven to have ended.
func (c *cancellations) cancelledJobs() []string {
	var jobIDs []string
	for jobID, job := range c.jobs.Jobs() {
		if job.Cancelled {
			jobIDs = append(jobIDs, jobID)
		}
	}
	return jobIDs
}

// hasOverdueTask reports whether a cancelled task may still be on a worker at the deadline by which
// cancelled tasks must have ended. The worker may be in a partition with a controller that does not
// know of the cancellation, commands may not reach it, or a start command of unknown outcome may
// still be in flight to it: in these cases only the release of the instance is certain to end the
// task.
func (c *cancellations) hasOverdueTask(worker *agent.Worker, now time.Time) bool {
	// The time of a cancellation may come from another controller's clock, and both clocks may
	// be off.
	clockErrors := 2 * c.settings.ClockError()
	grace := settings.Seconds(c.settings.Facts.Workers.CancelSeconds) - 2*c.settings.HeartbeatInterval() - clockErrors
	for _, claim := range c.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Job.Cancelled && !claim.Finished && now.Sub(claim.Job.CancelledAt) > grace {
			return true
		}
	}
	return false
}

// overdueWorkers returns the workers that must be released because of an overdue cancelled task, as many
// as one request may name, including those whose release was requested but not confirmed.
func (c *cancellations) overdueWorkers(now time.Time) []string {
	var names []string
	for _, worker := range c.workersByName {
		if !c.hasOverdueTask(worker, now) || len(names) == maxReleaseNames {
			continue
		}
		if _, releasing := c.released[worker.Name]; !releasing {
			c.autoscaler.logRelease(worker.Name, releaseOverdueTask, now)
		}
		names = append(names, worker.Name)
	}
	return names
}
