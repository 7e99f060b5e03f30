package leader

import (
	"slices"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Within a type, arrays go by the times that their users named and by the least work, which
// serves the most of them; but the largest would wait for as long as small ones keep coming.
// So those of which nothing has begun after a good wait age share the rooms with the rest:
// each side is given as much work as the other, on theirs the oldest first. One that waits
// for much longer is as good as lost in that overload, and is left to the rest.
const (
	starvedFromRatio  = 1.4 // from which wait on, as a ratio to the wait age
	starvedUntilRatio = 2.1 // and until which
)

// agingThreshold is from when on what waits goes first among types.
func (s *scheduler) agingThreshold() time.Duration {
	return time.Duration(s.settings.Operator.Placement.WaitAge * float64(s.settings.Lease()))
}

// isStarved tells whether an array has waited for so long, with nothing of it begun, that it
// has a share of its own.
func (s *scheduler) isStarved(job *ledger.Job, now time.Time) bool {
	waitRatio := float64(now.Sub(job.WaitingSince)) / float64(s.agingThreshold())
	return job.Spec.Kind != wire.KindService && job.ClaimedTasks() == 0 && job.DoneTasks() == 0 && waitRatio > starvedFromRatio && waitRatio < starvedUntilRatio
}

// deficitCounter is the work, in core-seconds, that starved arrays of a type were given less the
// work that others were, while both waited.
type deficitCounter struct {
	surplus     float64
	starvedJobs map[string]bool // jobs that are
}

// shareWithStarved lets starved arrays go first only while they were given no more than the others.
func (s *scheduler) shareWithStarved(entries []orderedJob) {
	if len(entries) == 0 {
		return
	}
	jobType := entries[0].job.PlacementType
	if !slices.ContainsFunc(entries, func(entry orderedJob) bool { return entry.starved }) {
		delete(s.deficits, jobType)
		return
	}
	deficit := s.deficits[jobType]
	if deficit == nil {
		deficit = &deficitCounter{}
		s.deficits[jobType] = deficit
	}
	deficit.starvedJobs = make(map[string]bool)
	for i := range entries {
		if entries[i].starved {
			deficit.starvedJobs[entries[i].job.Ref] = true
			entries[i].starved = deficit.surplus <= 0
		}
	}
}

// recordPlacement accounts for a claimed task.
func (s *scheduler) recordPlacement(job *ledger.Job) {
	deficit := s.deficits[job.PlacementType]
	if deficit == nil || job.Spec.Kind == wire.KindService {
		return
	}
	work := max(job.Spec.CPUs, 1) * max(job.Spec.ExpectedSeconds, 1)
	if !deficit.starvedJobs[job.Ref] {
		work = -work
	}
	deficit.surplus += work
}
