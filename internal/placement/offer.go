package placement

import (
	"cmp"
	"slices"
	"time"
)

// Offer describes the free capacity of one shard's workers and the queues of waiting jobs. The
// leader makes it from its job table; the shard's owner answers with picks.
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
	PullingGB            float64  // remaining size of the images being pulled
	ReservedFor          string   // ID of the job that the free capacity is reserved for; "": none
	ReservedTier         int      // tier of that job; jobs of a lower tier may still take the capacity
}

// Queue holds the waiting jobs of one type, in the order in which their tasks are placed.
type Queue struct {
	Type       string
	Unfinished int // unfinished tasks of the type, waiting and running
	Jobs       []WaitingJob
}

// WaitingJob is a job with tasks that wait to be placed.
type WaitingJob struct {
	JobID                string
	Tasks                int // number of waiting tasks that may be claimed now
	Tier                 int
	Age                  time.Duration
	CPUs, GPUs, MemoryGB float64 // of one task
	Image                string
	ImageGB              float64
	Service              bool
	AllowSpot            bool
	InstanceTypes        []string       // allowed; empty: any
	ZoneSlots            map[string]int // number of further tasks allowed in each zone; nil: no limit
	ExcludedWorkers      []string       // workers that the job is excluded from, because it failed there
	StartWithinSeconds   float64        // time within which users want it started; 0: no objective
	WarmZones            []string       // zones with a worker that has the image and free capacity
}

// Pick is one worker's choice of a job. It is a bid until the leader confirms it.
type Pick struct {
	Worker string
	JobID  string
	Tier   int
	Cost   float64 // of the placement, see WaitingJob.cost
	Weight float64 // see Table.Weight
}

// Compare orders the picks of all workers: by tier, then by cost, then by weight, greatest
// first.
func (p Pick) Compare(other Pick) int {
	return cmp.Or(
		cmp.Compare(p.Tier, other.Tier), cmp.Compare(p.Cost, other.Cost), -cmp.Compare(p.Weight, other.Weight),
	)
}

// roundingTolerance is the accepted rounding error in sums of resource amounts.
const roundingTolerance = 1e-6

// fits reports whether a task of the job fits the candidate's free capacity and may run on it.
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

// place subtracts one task from the job and the task's resources from the candidate. If the
// worker lacks the image, place adds it to the images being pulled.
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
