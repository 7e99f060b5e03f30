package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
)

// faultTracker tells workers that fail tasks from jobs that fail on every worker.
type faultTracker struct {
	*termScope
}

// countFailure counts a failure against the machine and the job. A job that fails on
// several machines and finishes nowhere is at fault itself, and is held back;
// a machine is at fault when jobs fail there that do not fail elsewhere.
func (f *faultTracker) countFailure(job *ledger.Job, worker *agent.Worker, now time.Time) {
	if job.FailedOn == nil {
		job.FailedOn = make(map[string]bool)
	}
	job.FailedOn[worker.Name] = true
	job.ConsecutiveFailures++
	if worker.LastFailure = now; len(worker.FailedJobs) < 16 {
		worker.FailedJobs = append(worker.FailedJobs, job.Ref)
	}
	f.log.Info("task failed", "job", job.Ref, "host", worker.Name, "job_fails", job.ConsecutiveFailures, "host_fails", len(worker.FailedJobs))
	if f.jobFaulty(job) {
		job.RetryAt = now.Add(f.retryDelay(job.ConsecutiveFailures))
	}
	if len(job.FailedOn) > 16 {
		clear(job.FailedOn)
	}
}

// retryDelay is how long a job waits after so many failures in a row.
func (f *faultTracker) retryDelay(failures int) time.Duration {
	return min(f.settings.Report()/2<<min(failures, 6), 2*f.settings.Lease())
}

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
	return healthyWorkers >= 2
}

// workerFaulty tells whether a machine fails what it starts: two failures or more
// since its last success, of jobs that are not known to fail everywhere.
func (f *faultTracker) workerFaulty(worker *agent.Worker) bool {
	failures := 0
	for _, jobID := range worker.FailedJobs {
		if job := f.jobs.Job(jobID); job == nil || job.DoneTasks() > 0 || len(job.FailedOn) < 3 {
			failures++
		}
	}
	return failures >= 2
}

// quarantined tells whether a machine that fails what it starts is not to be tried for now. One
// that is not returned, because most do or for what runs on there, is tried again once in
// a lease: it may be well by then, and only a success shows that.
func (f *faultTracker) quarantined(worker *agent.Worker, now time.Time) bool {
	return f.workerFaulty(worker) && now.Sub(worker.LastFailure) < f.settings.Lease()
}

// mostWorkersFaulty tells whether so many machines fail tasks that the tasks are the
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
