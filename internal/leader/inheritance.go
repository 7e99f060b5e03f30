package leader

import (
	"time"

	"rillflow/internal/ledger"
)

// longestTaskRatio is how long the longest of a job's tasks takes, as a ratio to the mean.
const longestTaskRatio = 1.5

// inherited is what a job inherits from its dependents: the highest priority among them, and
// for each deadline objective the time by which the job must be done for the last of them to
// be in time, the steps between counted. It is kept with the job until its dependents change.
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
			due = due.Add(-d.stepDuration(dependent))
			if inherited.Deadlines[i].IsZero() || due.Before(inherited.Deadlines[i]) {
				inherited.Deadlines[i] = due
			}
		}
	}
	if origin := job.Origin; origin != nil && origin.MaxPriority != "" {
		// However high its dependents: not above what whoever submitted it may have.
		// That is at least what was asked for, or the job was not accepted.
		inherited.Priority = max(inherited.Priority, priorityLevel(origin.MaxPriority))
	}
	job.Inherited = inherited
	return inherited
}

// ownPriority is the priority and the deadlines of a job that nothing depends on.
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

// stepDuration is how long a job is expected to take once it is ready: until its longest task
// is done, and until that is known to the next step.
func (d *dependencies) stepDuration(job *ledger.Job) time.Duration {
	longest := longestTaskRatio * job.Spec.ExpectedSeconds
	return time.Duration(longest*float64(time.Second)) + d.settings.HeartbeatInterval()/2
}

// effectivePriority is the priority that a job is scheduled by.
func (d *dependencies) effectivePriority(job *ledger.Job) int { return d.inherited(job).Priority }
