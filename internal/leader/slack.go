package leader

import (
	"cmp"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// Kinds of objectives in the settings.
const (
	objectiveWait     = "wait"     // tasks start within a time of the job being ready
	objectiveFinished = "finished" // the job is done within a time of being ready
)

// deadlineSlack says how a job stands to the times by which its users want it. It orders
// jobs within a type.
type deadlineSlack struct {
	lastChance bool    // a deadline will be missed unless the job starts about now
	missed     int     // how many deadlines can no longer be met
	work       float64 // CPU-seconds left
}

// compare puts first the job that goes first.
//
// A deadline that can no longer be met is past helping, so jobs that still can meet theirs go
// first; among them the one with the least work left, for then the most jobs are in time when
// capacity is short. But a job goes first when it is about to miss a deadline, and before all
// others if it has missed one already: large arrays would otherwise wait for as long as small
// ones keep coming.
func (s deadlineSlack) compare(other deadlineSlack) int {
	switch {
	case s.lastChance != other.lastChance && s.lastChance:
		return -1
	case s.lastChance != other.lastChance:
		return 1
	case s.lastChance:
		return cmp.Or(-cmp.Compare(min(s.missed, 1), min(other.missed, 1)), cmp.Compare(s.work, other.work))
	}
	return cmp.Or(cmp.Compare(s.missed, other.missed), cmp.Compare(s.work, other.work))
}

// jobWork is what is left to do of a job, in CPU-seconds.
func jobWork(job *ledger.Job) float64 {
	return float64(job.UnfinishedTasks()) * max(job.Spec.CPUs, 1) * max(job.Spec.ExpectedSeconds, 1)
}

// consider takes in one deadline of the job, with the latest start by which it can be met.
func (s *deadlineSlack) consider(
	job *ledger.Job, deadline, latestStart time.Time, margin time.Duration, now time.Time,
) {
	switch {
	case deadline.IsZero():
	case now.Add(settings.Seconds(job.Spec.ExpectedSeconds)).After(deadline):
		// Of replicas too: late, they start late whenever they do, and where capacity of a
		// kind is short for good they would keep all others waiting as well.
		s.missed++
	case job.Spec.Kind != wire.KindService && now.Add(margin).After(latestStart):
		s.lastChance = true
	}
}

// lastChanceMargin is how long before the latest start a job counts as having its last chance.
func (r *jobRanking) lastChanceMargin() time.Duration { return r.settings.WorkerLease() / 2 }

// deadlineSlack looks at all times by which the job's users want it: its deadline, and the
// objectives of its class.
func (r *jobRanking) deadlineSlack(job *ledger.Job, now time.Time) deadlineSlack {
	slack := deadlineSlack{work: jobWork(job)}
	runTime := settings.Seconds(job.Spec.ExpectedSeconds)
	for i, objective := range r.settings.Facts.Objectives {
		deadline := r.objectiveDeadline(i, job)
		latestStart := deadline.Add(-time.Duration(longestTaskRatio * float64(runTime)))
		if objective.Kind == objectiveWait && objective.Class == job.Spec.Class {
			latestStart = waitingSince(job).Add(settings.Seconds(objective.WithinSeconds))
			deadline = latestStart.Add(runTime)
		}
		slack.consider(job, deadline, latestStart, r.lastChanceMargin(), now)
	}
	return slack
}

// waitingSince is from when an objective on waiting counts. A replica that ran and was lost
// waits like a new one.
func waitingSince(job *ledger.Job) time.Time {
	if job.Spec.Kind == wire.KindService {
		return job.WaitingSince
	}
	return job.ReadyAt
}

// objectiveDeadline is the time by which an objective, given by its index, wants a job done;
// zero if it names none. A deadline counts from the submission and binds what the job depends
// on too; all else counts from when the job was ready.
func (r *jobRanking) objectiveDeadline(index int, job *ledger.Job) time.Time {
	objective := &r.settings.Facts.Objectives[index]
	if objective.Kind == objectiveFinished && objective.Class == job.Spec.Class {
		return job.ReadyAt.Add(settings.Seconds(objective.WithinSeconds))
	}
	return r.dependencies.inherited(job).Deadlines[index]
}

// secondsToDeadline is the time until the first deadline that the job can still meet; 0 if
// there is none.
func (r *jobRanking) secondsToDeadline(job *ledger.Job, now time.Time) float64 {
	least := 0.0
	for i := range r.settings.Facts.Objectives {
		deadline := r.objectiveDeadline(i, job)
		left := deadline.Sub(now).Seconds()
		if !deadline.IsZero() && left >= job.Spec.ExpectedSeconds && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

// startWithinSeconds is how soon a job's users want its tasks started; 0 if no objective says.
func (r *jobRanking) startWithinSeconds(job *ledger.Job) float64 {
	for _, objective := range r.settings.Facts.Objectives {
		if objective.Kind == objectiveWait && objective.Class == job.Spec.Class {
			return objective.WithinSeconds
		}
	}
	return 0
}
