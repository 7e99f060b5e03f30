package placement

import (
	"cmp"
	"slices"
	"time"
)

// Offer is the free capacity of one shard's workers together with the queues of waiting
// jobs. The leader makes it, since its job table knows what is free; the shard's owner
// picks.
type Offer struct {
	Candidates []Candidate
	Queues     []Queue
}

// Candidate is a worker with its free capacity.
type Candidate struct {
	Worker               string
	InstanceType         string
	Zone                 string
	Spot                 bool
	CPUs, GPUs, MemoryGB float64  // free
	TotalCPUs            float64  // of the instance type
	PullGBPerSecond      float64  // the rate at which the worker pulls images
	Images               []string // present
	PullingImages        []string // being pulled
	PullingGB            float64  // left to pull of those
	ReservedFor          string   // the job that the capacity is kept for until it fits
	ReservedTier         int      // the tier of that job; jobs of a lower tier may still take it
}

// Queue holds the waiting jobs of one type, in the order in which their tasks go.
type Queue struct {
	Type       string
	Unfinished int // unfinished tasks of the type, waiting and running
	Jobs       []WaitingJob
}

// WaitingJob is a job with tasks that wait to be placed.
type WaitingJob struct {
	JobID                string
	Tasks                int // that wait and may be claimed now
	Tier                 int
	Age                  time.Duration
	CPUs, GPUs, MemoryGB float64 // of one task
	Image                string
	ImageGB              float64
	Service              bool
	AllowSpot            bool
	InstanceTypes        []string       // allowed; empty: any
	ZoneSlots            map[string]int // how many tasks each zone may take; nil: any number
	ExcludedWorkers      []string       // workers on which it failed
	StartWithinSeconds   float64        // how soon its users want it started; 0: no objective
	WarmZones            []string       // zones in which a worker has its image and free capacity
}

// Pick is one worker's choice of a job, a bid until the leader confirms it.
type Pick struct {
	Worker string
	JobID  string
	Tier   int
	Cost   float64 // how badly worker and job suit each other
	Weight float64 // the rule's product
}

// Before orders the picks of all workers: by tier, then by cost, then by the rule's
// product, greatest first.
func (p Pick) Before(q Pick) int {
	return cmp.Or(
		cmp.Compare(p.Tier, q.Tier), cmp.Compare(p.Cost, q.Cost), -cmp.Compare(p.Weight, q.Weight),
	)
}

// roundingTolerance forgives the rounding of sums of decimal amounts.
const roundingTolerance = 1e-6

// fits reports whether a task of the job fits the candidate's free capacity and may go there.
func (job *WaitingJob) fits(candidate *Candidate) bool {
	return job.Tasks > 0 &&
		job.CPUs <= candidate.CPUs+roundingTolerance &&
		job.GPUs <= candidate.GPUs+roundingTolerance &&
		job.MemoryGB <= candidate.MemoryGB+roundingTolerance &&
		(job.AllowSpot || !candidate.Spot) &&
		(len(job.InstanceTypes) == 0 || slices.Contains(job.InstanceTypes, candidate.InstanceType)) &&
		(job.ZoneSlots == nil || job.ZoneSlots[candidate.Zone] > 0) &&
		!slices.Contains(job.ExcludedWorkers, candidate.Worker) &&
		(candidate.ReservedFor == "" || candidate.ReservedFor == job.JobID || job.Tier < candidate.ReservedTier)
}

// place takes one task of the job off the queue and its resources off the candidate, whose
// worker will pull the image if it lacks it.
func (candidate *Candidate) place(job *WaitingJob) {
	job.Tasks--
	if job.ZoneSlots != nil {
		job.ZoneSlots[candidate.Zone]--
	}
	candidate.CPUs -= job.CPUs
	candidate.GPUs -= job.GPUs
	candidate.MemoryGB -= job.MemoryGB
	if !slices.Contains(candidate.Images, job.Image) && !slices.Contains(candidate.PullingImages, job.Image) {
		candidate.PullingImages = append(candidate.PullingImages, job.Image)
		candidate.PullingGB += job.ImageGB
	}
}
