package leader

import (
	"slices"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Starvation avoidance. Within a type, arrays are ordered by their deadlines and by the least work,
// which serves the most of them; but the largest would wait for as long as small ones keep arriving.
// Therefore arrays that have not started any task for well over the aging threshold share the
// workers with the others, as in deficit round robin: both sides get the same amount of work, on the
// starved side the longest waiting array first. An array that has waited for much longer has no
// chance to be in time in that overload, and is ordered with the others again.
const (
	starvedMinWaitRatio = 1.4 // wait from which an array is starved, as a ratio to the aging threshold
	starvedMaxWaitRatio = 2.1 // wait from which it is no longer, as a ratio to the aging threshold
)

// agingThreshold returns the wait after which a job goes first across the types.
func (r *jobRanking) agingThreshold() time.Duration {
	return time.Duration(r.settings.Operator.Placement.WaitAge * float64(r.settings.WorkerLease()))
}

// isStarved reports whether an array has waited so long without starting any task that it belongs
// to the starved side.
func isStarved(job *ledger.Job, agingThreshold time.Duration, now time.Time) bool {
	waitRatio := float64(now.Sub(job.WaitingSince)) / float64(agingThreshold)
	return job.Spec.Kind != wire.KindService && job.ClaimedTasks() == 0 && job.DoneTasks() == 0 &&
		waitRatio > starvedMinWaitRatio && waitRatio < starvedMaxWaitRatio
}

// starvationTracker tracks the deficits between starved arrays and the others, by job type. It is
// guarded by the term's lock; the zero value is ready to use.
type starvationTracker struct {
	deficits map[string]*deficit // only of types with a starved array
}

// deficit is the balance between the starved arrays of a type and the others.
type deficit struct {
	surplusCPUSeconds float64         // CPU-seconds given to starved arrays less those given to others
	starvedJobs       map[string]bool // by job ID, as of the last ordering
}

// applyDeficit lets the starved jobs of a type go first only while they have been given no more work
// than the others. It drops the deficit of a type without starved jobs.
func (tracker *starvationTracker) applyDeficit(entries []orderedJob) {
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
			entries[i].starved = current.surplusCPUSeconds <= 0
		}
	}
}

// recordPlacement accounts for one claimed task.
func (tracker *starvationTracker) recordPlacement(job *ledger.Job) {
	current := tracker.deficits[job.PlacementType]
	if current == nil || job.Spec.Kind == wire.KindService {
		return
	}
	cpuSeconds := max(job.Spec.CPUs, 1) * max(job.Spec.ExpectedSeconds, 1)
	if !current.starvedJobs[job.ID] {
		cpuSeconds = -cpuSeconds
	}
	current.surplusCPUSeconds += cpuSeconds
}
