package leader

import (
	"cmp"
	"slices"

	"rillflow/internal/ledger"
)

// placeGangs claims workers for every gang whose waiting tasks all fit now, all tasks of a gang or
// none, and returns the number of tasks claimed. The leader does so itself because a shard owner
// sees only its own workers.
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

// assembleGang returns a candidate for each waiting task of a gang, preferring those with the
// image, or nil if not all tasks fit. It changes no candidate.
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

// assembleInZone returns candidates in a zone, or in all zones if zone is empty, for up to needed
// tasks of a gang. A gang with SpreadZones gets at most half of its tasks into one zone.
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

// zonesToTry returns the zones to try one by one for a job that must run in a single zone, and
// otherwise just "", which stands for all zones.
func zonesToTry(job *ledger.Job, candidates []*candidate) []string {
	if !job.Spec.SingleZone {
		return []string{""}
	}
	return zonesOf(candidates)
}
