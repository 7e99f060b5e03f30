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
	if job.FailedOn == nil {
		job.FailedOn = make(map[string]bool)
	}
	job.FailedOn[worker.Name] = true
	job.ConsecutiveFailures++
	if worker.LastFailure = now; len(worker.FailedJobs) < maxRecordedFailures {
		worker.FailedJobs = append(worker.FailedJobs, job.ID)
	}
	f.log.Info("task failed", "job", job.ID, "worker", worker.Name,
		"job_failures", job.ConsecutiveFailures, "worker_failures", len(worker.FailedJobs))
	if f.jobFaulty(job) {
		job.RetryAt = now.Add(f.retryDelay(job.ConsecutiveFailures))
	}
	if len(job.FailedOn) > maxRecordedFailures {
		clear(job.FailedOn)
	}
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
