package leader

import (
	"time"

	"rillflow/internal/ledger"
)

// longestTaskRatio is the assumed ratio of the longest run time of a job's tasks to the mean.
const longestTaskRatio = 1.5

// inherited returns what a job inherits from its direct and indirect dependents: the highest
// priority among them, and for each deadline objective the latest time at which the job may finish
// so that all of them meet their deadlines. The result is cached in the job until its dependents
// change.
//
// Callers hold mu.
func (d *dependencies) inherited(job *ledger.Job) *ledger.InheritedPriority {
	if job.Inherited != nil {
		return job.Inherited
	}
	inherited := d.ownPriority(job)
	for _, dependent := range d.jobs.Dependents(job) {
		if dependent.Cancelled || dependent.CancelledUpstream() != "" {
			continue
		}
		fromDependent := d.inherited(dependent)
		inherited.Priority = min(inherited.Priority, fromDependent.Priority)
		for i, due := range fromDependent.Deadlines {
			if due.IsZero() {
				continue
			}
			due = due.Add(-d.expectedDuration(dependent))
			if inherited.Deadlines[i].IsZero() || due.Before(inherited.Deadlines[i]) {
				inherited.Deadlines[i] = due
			}
		}
	}
	if origin := job.Origin; origin != nil && origin.MaxPriority != "" {
		// Whatever the priorities of its dependents, a job inherits no higher one than its
		// submitter's limit. The limit is at least the requested priority, or the job would not
		// have been accepted.
		inherited.Priority = max(inherited.Priority, priorityLevel(origin.MaxPriority))
	}
	job.Inherited = inherited
	return inherited
}

// ownPriority returns the priority and the deadlines of a job without its dependents.
func (d *dependencies) ownPriority(job *ledger.Job) *ledger.InheritedPriority {
	objectives := d.settings.Facts.Objectives
	own := &ledger.InheritedPriority{
		Priority: priorityLevel(job.Spec.Priority), Deadlines: make([]time.Time, len(objectives)),
	}
	for i, objective := range objectives {
		if objective.Kind == "deadline" && objective.Class == job.Spec.Class && job.Spec.DeadlineSeconds > 0 {
			seconds := job.Spec.DeadlineSeconds * max(objective.DeadlineFactor, 1)
			own.Deadlines[i] = job.ArrivedAt.Add(time.Duration(seconds * float64(time.Second)))
		}
	}
	return own
}

// expectedDuration returns how long a job is expected to take once it is ready: until its longest
// task is done and the leader has learned of it, so that its dependents can start.
func (d *dependencies) expectedDuration(job *ledger.Job) time.Duration {
	longest := longestTaskRatio * job.Spec.ExpectedSeconds
	return time.Duration(longest*float64(time.Second)) + d.settings.HeartbeatInterval()/2
}

// effectivePriority returns the priority level by which a job is scheduled.
func (d *dependencies) effectivePriority(job *ledger.Job) int { return d.inherited(job).Priority }
