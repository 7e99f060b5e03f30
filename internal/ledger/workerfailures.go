package ledger

import (
	"slices"
	"time"
)

// WorkerFailures records that tasks of a job failed on one worker.
type WorkerFailures struct {
	// Trials counts the failures, of which those during one exclusion count once: their tasks had
	// started before it.
	Trials        int
	LastAt        time.Time // when a task last failed there
	ExcludedUntil time.Time // until then the job gets no tasks there
}

// ExcludedFrom reports whether the job may not be placed on a worker at the given time, because it
// failed there before.
func (j *Job) ExcludedFrom(worker string, at time.Time) bool {
	return at.Before(j.FailedOn[worker].ExcludedUntil)
}

// ExcludedWorkers returns the names, sorted, of the workers that the job is excluded from at the
// given time.
func (j *Job) ExcludedWorkers(at time.Time) []string {
	var names []string
	for name := range j.FailedOn {
		if j.ExcludedFrom(name, at) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ForgetOldestFailure removes the worker on which the job has not failed for longest.
func (j *Job) ForgetOldestFailure() {
	oldest := ""
	for name, failures := range j.FailedOn {
		if oldest == "" || failures.LastAt.Before(j.FailedOn[oldest].LastAt) {
			oldest = name
		}
	}
	delete(j.FailedOn, oldest)
}
