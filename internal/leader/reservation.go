package leader

import (
	"cmp"
	"slices"
	"time"

	"rillflow/internal/ledger"
)

// reserveCapacity reserves workers for the longest waiting job that is past the aging threshold and
// fits nowhere, so that small tasks do not starve large tasks and gangs: as tasks on the reserved
// workers end, free capacity accumulates until the job fits.
func (s *scheduler) reserveCapacity(queues []*typeQueue, candidates []*candidate, now time.Time) {
	job := oldestWithoutCapacity(s.jobs, queues, candidates, now.Add(-s.ranking.agingThreshold()))
	if job == nil {
		return
	}
	for _, target := range workersToReserve(s.jobs, job, candidates) {
		target.reservedFor = job
	}
}

// oldestWithoutCapacity returns the longest waiting job that has waited since the given time or
// longer and fits nowhere, or nil if there is none. Gangs that fit have been placed before.
func oldestWithoutCapacity(
	table *ledger.Table, queues []*typeQueue, candidates []*candidate, since time.Time,
) *ledger.Job {
	var oldest *ledger.Job
	for _, queue := range queues {
		for _, job := range queue.jobs {
			if job.WaitingSince.After(since) || oldest != nil && !job.WaitingSince.Before(oldest.WaitingSince) {
				continue
			}
			if job.IsGang() && table.CanClaimGang(job) || !job.IsGang() && lacksCapacity(table, job, candidates) {
				oldest = job
			}
		}
	}
	return oldest
}

// lacksCapacity reports whether the job's next task fits no candidate, though it is within its
// quota and would fit one of them if only its service replicas, which stay, ran there.
func lacksCapacity(table *ledger.Table, job *ledger.Job, candidates []*candidate) bool {
	fitsSomewhere := false
	for _, target := range candidates {
		if table.CheckClaim(job, target.worker.Zone) != nil {
			continue
		}
		if target.fits(job) {
			return false
		}
		fitsSomewhere = fitsSomewhere || target.fitsBesideReplicas(table, job)
	}
	return fitsSomewhere
}

// workersToReserve returns candidates that, beside their service replicas, can run all waiting tasks of a
// gang, or one task of another job. It prefers those with the most free CPUs, which are empty soonest. It
// returns nil if there are not enough.
func workersToReserve(table *ledger.Table, job *ledger.Job, candidates []*candidate) []*candidate {
	needed := 1
	if job.IsGang() {
		needed = job.WaitingTasks()
	}
	ordered := slices.DeleteFunc(slices.Clone(candidates), func(target *candidate) bool {
		return !target.fitsBesideReplicas(table, job) || !job.IsGang() && table.CheckClaim(job, target.worker.Zone) != nil
	})
	slices.SortStableFunc(ordered, func(a, b *candidate) int { return -cmp.Compare(a.free.cpus, b.free.cpus) })
	for _, zone := range zonesToTry(job, ordered) {
		var targets []*candidate
		slots := 0
		for _, target := range ordered {
			if slots < needed && (zone == "" || target.worker.Zone == zone) {
				targets = append(targets, target)
				slots += target.capacityBesideReplicas(table).slots(&job.Spec)
			}
		}
		if slots >= needed {
			return targets
		}
	}
	return nil
}
