package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
)

// Thresholds for attributing failures to workers or jobs.
const (
	faultyWorkerFailures   = 2  // failures that make a worker faulty
	faultyJobWorkers       = 2  // healthy workers on which a job must fail to be faulty
	failsEverywhereWorkers = 3  // workers on which a job must fail to count as failing everywhere
	maxRecordedFailures    = 16 // failed jobs recorded per worker, and workers per job
	maxRetryDelayShift     = 6  // maximum doublings of the retry delay
	maxExclusionLeases     = 2  // maximum exclusion of a job from a worker on which it failed, in worker leases
)

// faultTracker distinguishes workers that fail their tasks from jobs that fail on every worker.
// The counters are fields of the jobs and workers. The heartbeat reconciler records failures; the
// scheduler, the failure monitor, the autoscaler and the status query them. All hold mu.
type faultTracker struct {
	*termScope
}

// countFailure counts a failed task against its worker and its job. A job that fails on several
// workers without finishing a task is itself faulty, and its retry is delayed; a worker is faulty
// when jobs fail there that do not fail elsewhere.
func (f *faultTracker) countFailure(job *ledger.Job, worker *agent.Worker, now time.Time) {
	job.ConsecutiveFailures++
	if !provenHealthySince(worker, job.FailedOn[worker.Name]) {
		f.countAgainstWorker(job, worker, now)
	}
	excludedUntil := f.excludeFromWorker(job, worker, now)
	f.log.Info("task failed", "job", job.ID, "worker", worker.Name, "job_failures", job.ConsecutiveFailures,
		"worker_failures", len(worker.FailedJobs), "excluded_s", excludedUntil.Sub(now).Seconds())
	if f.jobFaulty(job) {
		job.RetryAt = now.Add(f.retryDelay(job.ConsecutiveFailures))
	}
}

// provenHealthySince reports whether a worker has run a task successfully that started after a job's
// earlier failures there. When the job fails there again, the job is the likelier cause.
func provenHealthySince(worker *agent.Worker, earlier ledger.WorkerFailures) bool {
	return earlier.Trials > 0 && worker.LastSuccessStartedAt.After(earlier.LastAt)
}

// countAgainstWorker counts a job's failure against the worker.
func (f *faultTracker) countAgainstWorker(job *ledger.Job, worker *agent.Worker, now time.Time) {
	worker.LastFailure = now
	if len(worker.FailedJobs) < maxRecordedFailures {
		worker.FailedJobs = append(worker.FailedJobs, job.ID)
	}
}

// excludeFromWorker excludes a job from a worker on which it failed, and returns until when. The
// exclusion is limited since the worker may recover, and no other may fit the job.
func (f *faultTracker) excludeFromWorker(job *ledger.Job, worker *agent.Worker, now time.Time) time.Time {
	failures := job.FailedOn[worker.Name]
	if !job.ExcludedFrom(worker.Name, now) {
		failures.Trials++
	}
	failures.LastAt = now
	failures.ExcludedUntil = now.Add(f.exclusionTime(failures.Trials))
	if job.FailedOn == nil {
		job.FailedOn = make(map[string]ledger.WorkerFailures)
	}
	job.FailedOn[worker.Name] = failures
	if len(job.FailedOn) > maxRecordedFailures {
		job.ForgetOldestFailure()
	}
	return failures.ExcludedUntil
}

// exclusionTime returns for how long a job gets no tasks on a worker on which it failed in the given
// number of trials.
func (f *faultTracker) exclusionTime(trials int) time.Duration {
	return time.Duration(min(trials, maxExclusionLeases)) * f.settings.WorkerLease()
}

// retryDelay returns how long a job waits after the given number of consecutive failures.
func (f *faultTracker) retryDelay(failures int) time.Duration {
	return min(f.settings.HeartbeatInterval()/2<<min(failures, maxRetryDelayShift), 2*f.settings.WorkerLease())
}

// jobFaulty reports whether a job fails on workers that do not fail other jobs.
func (f *faultTracker) jobFaulty(job *ledger.Job) bool {
	if job.DoneTasks() > 0 {
		return false
	}
	healthyWorkers := 0
	for name := range job.FailedOn {
		if worker := f.workers[name]; worker == nil || !f.workerFaulty(worker) {
			healthyWorkers++
		}
	}
	return healthyWorkers >= faultyJobWorkers
}

// workerFaulty reports whether a worker fails its tasks: two failures or more since its last
// success, of jobs that do not fail everywhere.
func (f *faultTracker) workerFaulty(worker *agent.Worker) bool {
	failures := 0
	for _, jobID := range worker.FailedJobs {
		job := f.jobs.Job(jobID)
		if job == nil || job.DoneTasks() > 0 || len(job.FailedOn) < failsEverywhereWorkers {
			failures++
		}
	}
	return failures >= faultyWorkerFailures
}

// quarantined reports whether a faulty worker gets no tasks for now. A faulty worker that is not
// released, because most workers fail or because of the tasks that run there, is tried again once
// per lease: it may have recovered, and only a successful task shows that.
func (f *faultTracker) quarantined(worker *agent.Worker, now time.Time) bool {
	return f.workerFaulty(worker) && now.Sub(worker.LastFailure) < f.settings.WorkerLease()
}

// mostWorkersFaulty reports whether so many workers fail tasks that the tasks are the likelier
// cause.
func (f *faultTracker) mostWorkersFaulty() bool {
	faulty, reporting := 0, 0
	for _, worker := range f.workers {
		if !worker.LastHeartbeat.IsZero() {
			reporting++
			if f.workerFaulty(worker) {
				faulty++
			}
		}
	}
	return faulty*2 > reporting
}
