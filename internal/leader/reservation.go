package leader

import (
	"cmp"
	"slices"
	"time"

	"rillflow/internal/ledger"
)

// reserveCapacity keeps free capacity for the longest waiting job past the aging threshold that
// fits nowhere, so that large tasks and gangs are not starved by small ones: as tasks on the
// reserved workers end, their free capacity adds up until the job fits.
func (s *scheduler) reserveCapacity(queues []*typeQueue, candidates []*candidate, now time.Time) {
	job := oldestWithoutCapacity(s.jobs, queues, candidates, now.Add(-s.ranking.agingThreshold()))
	if job == nil {
		return
	}
	for _, target := range workersToReserve(s.jobs, job, candidates) {
		target.reservedFor = job
	}
}

// oldestWithoutCapacity is the longest waiting of the jobs that have waited since a time and
// that fit nowhere, or nil if there is none. Gangs that fit were placed before.
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
// quota and would fit one that were empty.
func lacksCapacity(table *ledger.Table, job *ledger.Job, candidates []*candidate) bool {
	fitsSomewhere := false
	for _, target := range candidates {
		if table.CheckClaim(job, target.worker.Zone) != nil {
			continue
		}
		if target.fits(job) {
			return false
		}
		fitsSomewhere = fitsSomewhere || target.fitsWhenEmpty(job)
	}
	return fitsSomewhere
}

// workersToReserve are the candidates that together would hold the job when empty, a gang whole
// and of other jobs one task, the freest first, for they come free soonest. It returns nil
// if there are not enough.
func workersToReserve(table *ledger.Table, job *ledger.Job, candidates []*candidate) []*candidate {
	needed := 1
	if job.IsGang() {
		needed = job.WaitingTasks()
	}
	ordered := slices.DeleteFunc(slices.Clone(candidates), func(target *candidate) bool {
		return !target.fitsWhenEmpty(job) || !job.IsGang() && table.CheckClaim(job, target.worker.Zone) != nil
	})
	slices.SortStableFunc(ordered, func(a, b *candidate) int { return -cmp.Compare(a.free.cpus, b.free.cpus) })
	for _, zone := range zonesToTry(job, ordered) {
		var targets []*candidate
		slots := 0
		for _, target := range ordered {
			if slots < needed && (zone == "" || target.worker.Zone == zone) {
				targets = append(targets, target)
				slots += target.capacity().slots(&job.Spec)
			}
		}
		if slots >= needed {
			return targets
		}
	}
	return nil
}
