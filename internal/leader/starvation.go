package leader

import (
	"slices"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Starvation avoidance. Within a type, arrays go by their deadlines and by the least work,
// which serves the most of them; but the largest would wait for as long as small ones keep
// coming. So the arrays of which nothing has begun after a good aging threshold share the
// workers with the rest, as in deficit round robin: each side is given as much work as the
// other, on the starved side the longest waiting first. An array that waits for much longer
// still is as good as lost in that overload, and is left to the rest.
const (
	starvedFromRatio  = 1.4 // the wait, as a ratio to the aging threshold, from which an array is starved
	starvedUntilRatio = 2.1 // and until which it is
)

// agingThreshold is from which wait on a job goes first among the types.
func (r *jobRanking) agingThreshold() time.Duration {
	return time.Duration(r.settings.Operator.Placement.WaitAge * float64(r.settings.WorkerLease()))
}

// isStarved reports whether an array has waited for so long, with nothing of it begun, that
// it has a share of its own.
func isStarved(job *ledger.Job, agingThreshold time.Duration, now time.Time) bool {
	waitRatio := float64(now.Sub(job.WaitingSince)) / float64(agingThreshold)
	return job.Spec.Kind != wire.KindService && job.ClaimedTasks() == 0 && job.DoneTasks() == 0 &&
		waitRatio > starvedFromRatio && waitRatio < starvedUntilRatio
}

// starvationTracker keeps the deficits between starved arrays and the others, by job type. The
// scheduler owns it, under the term's lock; the zero value is ready to use.
type starvationTracker struct {
	deficits map[string]*deficit // only of types with a starved array
}

// deficit is what starved arrays of a type were given beyond the others.
type deficit struct {
	surplus     float64         // CPU-seconds given to starved arrays less those given to others
	starvedJobs map[string]bool // by job, as of the last ordering
}

// share lets the starved jobs of a type's ordering go first only while they were given no
// more work than the others. It forgets the deficit of a type with no starved job.
func (tracker *starvationTracker) share(entries []orderedJob) {
	if len(entries) == 0 {
		return
	}
	jobType := entries[0].job.PlacementType
	if !slices.ContainsFunc(entries, func(entry orderedJob) bool { return entry.starved }) {
		delete(tracker.deficits, jobType)
		return
	}
	if tracker.deficits == nil {
		tracker.deficits = make(map[string]*deficit)
	}
	current := tracker.deficits[jobType]
	if current == nil {
		current = &deficit{}
		tracker.deficits[jobType] = current
	}
	current.starvedJobs = make(map[string]bool)
	for i := range entries {
		if entries[i].starved {
			current.starvedJobs[entries[i].job.ID] = true
			entries[i].starved = current.surplus <= 0
		}
	}
}

// recordPlacement accounts for one claimed task.
func (tracker *starvationTracker) recordPlacement(job *ledger.Job) {
	current := tracker.deficits[job.PlacementType]
	if current == nil || job.Spec.Kind == wire.KindService {
		return
	}
	work := max(job.Spec.CPUs, 1) * max(job.Spec.ExpectedSeconds, 1)
	if !current.starvedJobs[job.ID] {
		work = -work
	}
	current.surplus += work
}
