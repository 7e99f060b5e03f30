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
	objectiveWait     = "wait"     // tasks start within a given time after the job is ready
	objectiveFinished = "finished" // the job is done within a given time after it is ready
)

// deadlineSlack summarizes how a job stands relative to its deadlines. It orders jobs within a type.
type deadlineSlack struct {
	isLastChance   bool    // a deadline will be missed unless the job starts about now
	missed         int     // deadlines that can no longer be met
	cpuSecondsLeft float64 // remaining work
}

// compare returns a negative number if s goes first, and a positive one if other does.
//
// Jobs that can still meet their deadlines go before jobs that cannot; among them, the one with the
// least remaining work goes first, because then the most jobs are in time when capacity is short.
// But a job that is about to miss a deadline goes first, and before all others if it has already
// missed one: large arrays would otherwise wait for as long as small ones keep arriving.
func (s deadlineSlack) compare(other deadlineSlack) int {
	switch {
	case s.isLastChance != other.isLastChance && s.isLastChance:
		return -1
	case s.isLastChance != other.isLastChance:
		return 1
	case s.isLastChance:
		return cmp.Or(
			-cmp.Compare(min(s.missed, 1), min(other.missed, 1)),
			cmp.Compare(s.cpuSecondsLeft, other.cpuSecondsLeft),
		)
	}
	return cmp.Or(cmp.Compare(s.missed, other.missed), cmp.Compare(s.cpuSecondsLeft, other.cpuSecondsLeft))
}

// remainingCPUSeconds returns the remaining work of a job.
func remainingCPUSeconds(job *ledger.Job) float64 {
	return float64(job.UnfinishedTasks()) * max(job.Spec.CPUs, 1) * max(job.Spec.ExpectedSeconds, 1)
}

// addDeadline accounts for one deadline of the job and the latest start at which it can be met.
func (s *deadlineSlack) addDeadline(
	job *ledger.Job, deadline, latestStart time.Time, margin time.Duration, now time.Time,
) {
	switch {
	case deadline.IsZero():
	case now.Add(settings.Seconds(job.Spec.ExpectedSeconds)).After(deadline):
		// This applies to services too: a late task is late whenever it starts, and where
		// some kind of capacity is permanently short, late ones would delay all others as well.
		s.missed++
	case job.Spec.Kind != wire.KindService && now.Add(margin).After(latestStart):
		s.isLastChance = true
	}
}

// lastChanceMargin returns how long before the latest start a job counts as about to miss its
// deadline.
func (r *jobRanking) lastChanceMargin() time.Duration { return r.settings.WorkerLease() / 2 }

// deadlineSlack computes a job's slack over all its deadlines: its own, those of its dependents, and
// those from the objectives of its class.
func (r *jobRanking) deadlineSlack(job *ledger.Job, now time.Time) deadlineSlack {
	slack := deadlineSlack{cpuSecondsLeft: remainingCPUSeconds(job)}
	runTime := settings.Seconds(job.Spec.ExpectedSeconds)
	for i, objective := range r.settings.Facts.Objectives {
		deadline := r.objectiveDeadline(i, job)
		latestStart := deadline.Add(-time.Duration(longestTaskRatio * float64(runTime)))
		if objective.Kind == objectiveWait && objective.Class == job.Spec.Class {
			latestStart = waitingSince(job).Add(settings.Seconds(objective.WithinSeconds))
			deadline = latestStart.Add(runTime)
		}
		slack.addDeadline(job, deadline, latestStart, r.lastChanceMargin(), now)
	}
	return slack
}

// waitingSince returns the start of the time that a wait objective limits. A task of a service that
// ran and was lost waits like a new one.
func waitingSince(job *ledger.Job) time.Time {
	if job.Spec.Kind == wire.KindService {
		return job.WaitingSince
	}
	return job.ReadyAt
}

// objectiveDeadline returns the time by which the objective with the given index requires a job to
// be done, or zero if it sets none. A deadline objective counts from the submission and also applies
// to the job's dependencies; a finished objective counts from when the job was ready.
func (r *jobRanking) objectiveDeadline(index int, job *ledger.Job) time.Time {
	objective := &r.settings.Facts.Objectives[index]
	if objective.Kind == objectiveFinished && objective.Class == job.Spec.Class {
		return job.ReadyAt.Add(settings.Seconds(objective.WithinSeconds))
	}
	return r.dependencies.inherited(job).Deadlines[index]
}

// secondsToDeadline returns the time until the first deadline that the job can still meet, or 0 if
// there is none.
func (r *jobRanking) secondsToDeadline(job *ledger.Job, now time.Time) float64 {
	earliest := 0.0
	for i := range r.settings.Facts.Objectives {
		deadline := r.objectiveDeadline(i, job)
		secondsLeft := deadline.Sub(now).Seconds()
		if !deadline.IsZero() && secondsLeft >= job.Spec.ExpectedSeconds && (earliest == 0 || secondsLeft < earliest) {
			earliest = secondsLeft
		}
	}
	return earliest
}

// startWithinSeconds returns the time within which a job's tasks are to start, or 0 if no objective
// limits it.
func (r *jobRanking) startWithinSeconds(job *ledger.Job) float64 {
	for _, objective := range r.settings.Facts.Objectives {
		if objective.Kind == objectiveWait && objective.Class == job.Spec.Class {
			return objective.WithinSeconds
		}
	}
	return 0
}
