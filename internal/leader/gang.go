package leader

import (
	"cmp"
	"slices"

	"rillflow/internal/ledger"
)

// placeGangs claims for every gang whose waiting tasks all fit now, each gang whole or not at
// all, and returns the number of tasks claimed. The leader does so itself, since a shard
// owner sees only its own workers.
func (s *scheduler) placeGangs(queues []*typeQueue, candidates []*candidate) int {
	var gangs []*ledger.Job
	for _, queue := range queues {
		for _, job := range queue.jobs {
			if job.IsGang() && s.jobs.CanClaimGang(job) {
				gangs = append(gangs, job)
			}
		}
	}
	slices.SortFunc(gangs, func(a, b *ledger.Job) int {
		return cmp.Or(
			cmp.Compare(s.ranking.tier(a), s.ranking.tier(b)),
			a.ReadyAt.Compare(b.ReadyAt),
			cmp.Compare(a.ID, b.ID),
		)
	})
	claimed := 0
	for _, job := range gangs {
		for _, target := range assembleGang(job, candidates) {
			if s.claimTask(target, job) {
				claimed++
			}
		}
	}
	return claimed
}

// assembleGang finds a candidate for each waiting task of a gang, those with the image first,
// or returns nil if not all fit. It changes no candidate.
func assembleGang(job *ledger.Job, candidates []*candidate) []*candidate {
	needed := job.WaitingTasks()
	ordered := slices.Clone(candidates)
	slices.SortStableFunc(ordered, func(a, b *candidate) int {
		return cmp.Compare(a.pullSeconds(job), b.pullSeconds(job))
	})
	for _, zone := range zonesToTry(job, ordered) {
		if targets := assembleInZone(job, ordered, zone, needed); len(targets) == needed {
			return targets
		}
	}
	return nil
}

// assembleInZone finds candidates in a zone, or in all if zone is empty, for up to the needed
// number of a gang's tasks, where a gang that spreads has no more than half in one zone.
func assembleInZone(job *ledger.Job, candidates []*candidate, zone string, needed int) []*candidate {
	maxPerZone := needed
	if job.Spec.SpreadZones {
		maxPerZone = (job.Spec.TaskCount + 1) / 2
	}
	placedInZone := make(map[string]int)
	var targets []*candidate
	for _, target := range candidates {
		if zone != "" && target.worker.Zone != zone || !target.fits(job) {
			continue
		}
		remaining := *target
		for len(targets) < needed && remaining.fits(job) && placedInZone[target.worker.Zone] < maxPerZone {
			targets = append(targets, target)
			placedInZone[target.worker.Zone]++
			remaining.allocate(job)
		}
	}
	return targets
}

// zonesToTry are the zones to try one after the other for a job that is to be in a single
// zone, or "" for all zones at once.
func zonesToTry(job *ledger.Job, candidates []*candidate) []string {
	if !job.Spec.SingleZone {
		return []string{""}
	}
	return zonesOf(candidates)
}
