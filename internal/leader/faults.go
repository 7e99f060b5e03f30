package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
)

// Bounds by which failures are blamed.
const (
	faultyFailures     = 2  // failures from which on a worker is faulty
	faultyJobWorkers   = 2  // healthy workers a job must fail on to be faulty
	everywhereWorkers  = 3  // workers a job must fail on to be known to fail everywhere
	maxFailuresKept    = 16 // failed jobs remembered of a worker, and workers of a job
	maxRetryDelayShift = 6  // doublings of the delay before a retry
)

// faultTracker tells workers that fail what they start from jobs that fail on every worker.
// What it counts is kept with the jobs and workers. The heartbeat reconciler counts; the
// scheduler, the failure monitor, the autoscaler and the status ask. All hold mu.
type faultTracker struct {
	*termScope
}

// countFailure counts a failed task against its worker and its job. A job that fails on
// several workers and finishes nowhere is at fault itself, and is held back;
// a worker is at fault when jobs fail there that do not fail elsewhere.
func (f *faultTracker) countFailure(job *ledger.Job, worker *agent.Worker, now time.Time) {
	if job.FailedOn == nil {
		job.FailedOn = make(map[string]bool)
	}
	job.FailedOn[worker.Name] = true
	job.ConsecutiveFailures++
	if worker.LastFailure = now; len(worker.FailedJobs) < maxFailuresKept {
		worker.FailedJobs = append(worker.FailedJobs, job.ID)
	}
	f.log.Info("task failed", "job", job.ID, "worker", worker.Name,
		"job_failures", job.ConsecutiveFailures, "worker_failures", len(worker.FailedJobs))
	if f.jobFaulty(job) {
		job.RetryAt = now.Add(f.retryDelay(job.ConsecutiveFailures))
	}
	if len(job.FailedOn) > maxFailuresKept {
		clear(job.FailedOn)
	}
}

// retryDelay is how long a job waits after so many failures in a row.
func (f *faultTracker) retryDelay(failures int) time.Duration {
	return min(f.settings.HeartbeatInterval()/2<<min(failures, maxRetryDelayShift), 2*f.settings.WorkerLease())
}

// jobFaulty tells whether a job fails on workers that do not fail other jobs.
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

// workerFaulty tells whether a worker fails what it starts: two failures or more
// since its last success, of jobs that are not known to fail everywhere.
func (f *faultTracker) workerFaulty(worker *agent.Worker) bool {
	failures := 0
	for _, jobID := range worker.FailedJobs {
		job := f.jobs.Job(jobID)
		if job == nil || job.DoneTasks() > 0 || len(job.FailedOn) < everywhereWorkers {
			failures++
		}
	}
	return failures >= faultyFailures
}

// quarantined tells whether a faulty worker is to be given no tasks for now. One that is not
// released, because most workers fail or for what runs there, is tried again once in a lease:
// it may be well by then, and only a success shows that.
func (f *faultTracker) quarantined(worker *agent.Worker, now time.Time) bool {
	return f.workerFaulty(worker) && now.Sub(worker.LastFailure) < f.settings.WorkerLease()
}

// mostWorkersFaulty tells whether so many workers fail tasks that the tasks are the
// likelier cause.
func (f *faultTracker) mostWorkersFaulty() bool {
	faulty, heard := 0, 0
	for _, worker := range f.workers {
		if !worker.LastHeartbeat.IsZero() {
			heard++
			if f.workerFaulty(worker) {
				faulty++
			}
		}
	}
	return faulty*2 > heard
}
