package placement

import (
	"slices"
	"time"
)

// Tuning holds the operator's settings of the placement, other than the parameters of the
// paper's rule in Params.
type Tuning struct {
	AgingThreshold  time.Duration // jobs that have waited this long go first in their tier
	NearTie         float64       // among weights within this fraction, a present image decides
	OnDemandPenalty float64       // cost of an on-demand worker for a job that may run on spot, in seconds
}

// Weights of the terms of a placement's cost. A cost of 1 corresponds to pulling an image for
// a second.
const (
	leftoverWeight    = 0.1  // of the fraction of the worker's CPUs that stays free
	workerSizeWeight  = 0.01 // of each CPU of the worker, for a replica of a service
	timelyPullWeight  = 0.5  // of each second of pulling that still lets a replica start in time
	pullWeight        = 0.05 // of each second of pulling for a replica
	lateStartPenalty  = 1.0  // of a replica that starts late
	spareReplicaSlots = 8.0  // number of free replica slots above which more give no bonus
)

// pullSeconds returns the time that the worker would spend pulling images before a task of the
// job can start. Concurrent pulls share the worker's rate.
func (job *WaitingJob) pullSeconds(candidate *Candidate) float64 {
	switch {
	case candidate.PullGBPerSecond <= 0 || slices.Contains(candidate.Images, job.Image):
		return 0
	case slices.Contains(candidate.PullingImages, job.Image):
		return candidate.PullingGB / candidate.PullGBPerSecond
	}
	return (candidate.PullingGB + job.ImageGB) / candidate.PullGBPerSecond
}

// cost returns the cost of placing a task of the job on the candidate; lower is better.
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
	// Replicas fill small workers first, because large tasks do not fit there. A second of
	// pulling costs more up to the time within which users want a start than after it, when
	// the start is late anyway.
	cost += workerSizeWeight*candidate.TotalCPUs + timelyPullWeight*min(pull, job.StartWithinSeconds) + pullWeight*pull
	if pull > job.StartWithinSeconds {
		cost += lateStartPenalty
		// If no worker of the zone has both the image and free capacity, prefer one with
		// room for more replicas: it will have the image when they follow.
		if !slices.Contains(job.WarmZones, candidate.Zone) && job.CPUs > 0 {
			cost -= min(1, leftCPUs/(spareReplicaSlots*job.CPUs))
		}
	}
	return cost
}
