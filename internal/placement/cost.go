package placement

import (
	"slices"
	"time"
)

// Tuning holds the settings that are not the paper's.
type Tuning struct {
	AgingThreshold  time.Duration // jobs that have waited longer go first
	NearTie         float64       // weights within this fraction leave the choice to the image
	OnDemandPenalty float64       // cost of an on-demand worker for work that may run on spot, in seconds
}

// Weights of what makes a worker suit a job well or badly. A cost of 1 is worth a second of
// pulling an image.
const (
	leftoverWeight    = 0.1  // of the share of a worker's CPUs that would stay free
	workerSizeWeight  = 0.01 // of each CPU of a worker that takes a replica of a service
	timelyPullWeight  = 0.5  // of each second of pulling that still lets a replica start in time
	pullWeight        = 0.05 // of each second of pulling for a replica
	lateStartPenalty  = 1.0  // of a replica that starts late
	spareReplicaSlots = 8.0  // free slots from which on a worker is as good a warm spare as any
)

// pullSeconds is how long the worker would pull images until a task of the job can start.
// Pulls share the rate.
func (job *WaitingJob) pullSeconds(candidate *Candidate) float64 {
	switch {
	case candidate.PullGBPerSecond <= 0 || slices.Contains(candidate.Images, job.Image):
		return 0
	case slices.Contains(candidate.PullingImages, job.Image):
		return candidate.PullingGB / candidate.PullGBPerSecond
	}
	return (candidate.PullingGB + job.ImageGB) / candidate.PullGBPerSecond
}

// cost says how badly a candidate suits a job: the lower, the better.
func (job *WaitingJob) cost(candidate *Candidate, tuning Tuning) float64 {
	leftCPUs := candidate.CPUs - job.CPUs
	cost := 0.0
	if candidate.TotalCPUs > 0 {
		cost += leftoverWeight * leftCPUs / candidate.TotalCPUs
	}
	pull := job.pullSeconds(candidate)
	if !job.Service {
		if job.AllowSpot && !candidate.Spot {
			cost += tuning.OnDemandPenalty
		}
		return cost + pull
	}
	// Replicas fill small workers first, since large tasks have no use for those. Each
	// second of pulling weighs until the time by which the users want a start; past it
	// the start is late anyway, and a second weighs little.
	cost += workerSizeWeight*candidate.TotalCPUs + timelyPullWeight*min(pull, job.StartWithinSeconds) + pullWeight*pull
	if pull > job.StartWithinSeconds {
		cost += lateStartPenalty
		// Where no worker of the zone has both the image and free capacity, prefer one
		// with room to spare: it will be the warm one for the replicas to come.
		if !slices.Contains(job.WarmZones, candidate.Zone) && job.CPUs > 0 {
			cost -= min(1, leftCPUs/(spareReplicaSlots*job.CPUs))
		}
	}
	return cost
}
