package leader

import (
	"cmp"
	"slices"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// placeGangs starts every gang for whose waiting tasks there is room now, all of
// them or none.
func (s *scheduler) placeGangs(queues []*typeQueue, candidates []*candidate, now time.Time) int {
	var gangs []*ledger.Job
	for _, queue := range queues {
		for _, job := range queue.jobs {
			if job.IsGang() && s.jobs.CanClaimGang(job) {
				gangs = append(gangs, job)
			}
		}
	}
	slices.SortFunc(gangs, func(a, b *ledger.Job) int {
		return cmp.Or(cmp.Compare(s.tier(a), s.tier(b)), a.ReadyAt.Compare(b.ReadyAt), cmp.Compare(a.Ref, b.Ref))
	})
	claimed := 0
	for _, job := range gangs {
		for _, target := range s.assembleGang(job, candidates) {
			if s.claimTask(target, job) {
				claimed++
			}
		}
	}
	return claimed
}

// assembleGang finds a room for each waiting task of a gang, or returns nil.
func (s *scheduler) assembleGang(job *ledger.Job, candidates []*candidate) []*candidate {
	needed := job.WaitingTasks()
	ordered := slices.Clone(candidates)
	slices.SortStableFunc(ordered, func(a, b *candidate) int { return cmp.Compare(a.pullSeconds(job), b.pullSeconds(job)) })
	for _, zone := range zonesToTry(job, ordered) {
		placedInZone := make(map[string]int)
		var places []*candidate
		for _, target := range ordered {
			if zone != "" && target.worker.Zone != zone || !target.fits(job) {
				continue
			}
			remaining := *target
			for len(places) < needed && remaining.fits(job) && (!job.Spec.SpreadZones || placedInZone[target.worker.Zone] < (job.Spec.TaskCount+1)/2) {
				places = append(places, target)
				placedInZone[target.worker.Zone]++
				remaining.cpus -= job.Spec.CPUs
				remaining.gpus -= job.Spec.GPUs
				remaining.memoryGB -= job.Spec.MemoryGB
			}
		}
		if len(places) == needed {
			return places
		}
	}
	return nil
}

// zonesToTry are the zones to try one after the other, or "" for all at once.
func zonesToTry(job *ledger.Job, candidates []*candidate) []string {
	if !job.Spec.SingleZone {
		return []string{""}
	}
	var zones []string
	for _, target := range candidates {
		if !slices.Contains(zones, target.worker.Zone) {
			zones = append(zones, target.worker.Zone)
		}
	}
	return zones
}

// reserveCapacity keeps rooms for the oldest job past the set wait that fits nowhere, so
// that large tasks and gangs are not starved by small ones: as what runs there
// ends, the room adds up until they fit.
func (s *scheduler) reserveCapacity(queues []*typeQueue, candidates []*candidate, now time.Time) {
	agingThreshold := s.agingThreshold()
	var oldest *ledger.Job
	for _, queue := range queues {
		for _, job := range queue.jobs {
			if now.Sub(job.WaitingSince) < agingThreshold || oldest != nil && !job.WaitingSince.Before(oldest.WaitingSince) {
				continue
			}
			if job.IsGang() && s.jobs.CanClaimGang(job) || !job.IsGang() && s.lacksCapacity(job, candidates) {
				oldest = job
			}
		}
	}
	if oldest == nil {
		return
	}
	needed := 1
	if oldest.IsGang() {
		needed = oldest.WaitingTasks()
	}
	ordered := slices.DeleteFunc(slices.Clone(candidates), func(target *candidate) bool {
		return !target.fitsWhenEmpty(oldest) || !oldest.IsGang() && s.jobs.CheckClaim(oldest, target.worker.Zone) != nil
	})
	// The freest machines first: they come free soonest.
	slices.SortStableFunc(ordered, func(a, b *candidate) int { return -cmp.Compare(a.cpus, b.cpus) })
	for _, zone := range zonesToTry(oldest, ordered) {
		var reserved []*candidate
		slots := 0
		for _, target := range ordered {
			if slots < needed && (zone == "" || target.worker.Zone == zone) {
				reserved = append(reserved, target)
				slots += target.slotsWhenEmpty(oldest)
			}
		}
		if slots >= needed {
			for _, target := range reserved {
				target.reservedFor = oldest
			}
			return
		}
	}
}

// lacksCapacity tells whether the job's next task fits no room, though it would fit
// some machine and is within its limits.
func (s *scheduler) lacksCapacity(job *ledger.Job, candidates []*candidate) bool {
	fitsSomewhere := false
	for _, target := range candidates {
		if s.jobs.CheckClaim(job, target.worker.Zone) != nil {
			continue
		}
		if target.fits(job) {
			return false
		}
		fitsSomewhere = fitsSomewhere || target.fitsWhenEmpty(job)
	}
	return fitsSomewhere
}

// slotsWhenEmpty is how many tasks of a job the machine holds when empty.
func (c *candidate) slotsWhenEmpty(job *ledger.Job) int {
	return slotsIn(&job.Spec, c.instanceType.CPUs, c.instanceType.GPUs, c.instanceType.MemoryGB)
}

// slotsIn is how many tasks of a job fit an amount.
func slotsIn(spec *wire.Job, cpus, gpus, memoryGB float64) int {
	count := spec.TaskCount
	for _, amount := range [][2]float64{{cpus, spec.CPUs}, {gpus, spec.GPUs}, {memoryGB, spec.MemoryGB}} {
		if amount[1] > 0 {
			count = min(count, int((amount[0]+roundingTolerance)/amount[1]))
		}
	}
	return count
}

// pullSeconds is how long the machine would fetch the job's image, in seconds.
func (c *candidate) pullSeconds(job *ledger.Job) float64 {
	if c.instanceType.ImagePullGBPerSecond <= 0 || c.worker.HasImage(job.Spec.Image) {
		return 0
	}
	return job.Spec.ImageGB / c.instanceType.ImagePullGBPerSecond
}
