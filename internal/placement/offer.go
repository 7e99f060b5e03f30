package placement

import (
	"cmp"
	"slices"
	"time"
)

// Offer is a part's free rooms with the types that wait for room. The leader
// makes it, since its ledger knows what is free; the part's owner picks.
type Offer struct {
	Candidates []Candidate
	Queues     []Queue
}

// Candidate is what is free on a machine.
type Candidate struct {
	Worker               string
	InstanceType         string
	Zone                 string
	Spot                 bool
	CPUs, GPUs, MemoryGB float64
	TotalCPUs            float64  // the machine's cores
	PullGBPerSecond      float64  // image fetch rate, GB/s
	Images               []string // fetched
	PullingImages        []string // being fetched
	PullingGB            float64
	ReservedFor          string // kept for this job until it fits
	ReservedTier         int
}

// Queue is a type with waiting tasks.
type Queue struct {
	Type       string
	Unfinished int // unfinished tasks of the type
	Jobs       []WaitingJob
}

// WaitingJob is a job with waiting tasks, in the order they go within the type.
type WaitingJob struct {
	Ref                  string
	Tasks                int // that wait and may be claimed now
	Tier                 int
	Age                  time.Duration
	CPUs, GPUs, MemoryGB float64
	Image                string
	ImageGB              float64
	Service              bool
	AllowSpot            bool
	InstanceTypes        []string
	ZoneSlots            map[string]int // how many tasks each zone may take; nil: any
	ExcludedWorkers      []string       // hosts where it failed
	StartWithinSeconds   float64        // seconds in which its users want it started; 0: none stated
	WarmZones            []string       // zones where a machine has its image and room
}

// Pick is one pick, a bid until the ledger confirms it.
type Pick struct {
	Worker string
	Ref    string
	Tier   int
	Cost   float64
	Weight float64
}

// Before orders picks over all rooms: by tier, then by how well room and job
// suit each other, then by the rule's product.
func (p Pick) Before(q Pick) int {
	return cmp.Or(cmp.Compare(p.Tier, q.Tier), cmp.Compare(p.Cost, q.Cost), -cmp.Compare(p.Weight, q.Weight))
}

const roundingTolerance = 1e-6

// fits tells whether a task fits a room that may take it.
func (job *WaitingJob) fits(candidate *Candidate) bool {
	return job.Tasks > 0 && job.CPUs <= candidate.CPUs+roundingTolerance && job.GPUs <= candidate.GPUs+roundingTolerance && job.MemoryGB <= candidate.MemoryGB+roundingTolerance &&
		(job.AllowSpot || !candidate.Spot) &&
		(len(job.InstanceTypes) == 0 || slices.Contains(job.InstanceTypes, candidate.InstanceType)) &&
		(job.ZoneSlots == nil || job.ZoneSlots[candidate.Zone] > 0) &&
		!slices.Contains(job.ExcludedWorkers, candidate.Worker) &&
		(candidate.ReservedFor == "" || candidate.ReservedFor == job.Ref || job.Tier < candidate.ReservedTier)
}

// Tuning are the rule's settings that are not the paper's.
type Tuning struct {
	AgingThreshold  time.Duration // tasks waiting longer go first
	NearTie         float64       // products this close leave it to the image
	OnDemandPenalty float64       // what a firm machine costs work that could run on a spot one, in seconds
}

// choice is a room with what it would take next.
type choice struct {
	candidate *Candidate
	job       *WaitingJob // nil: nothing fits
	pick      Pick
	stale     bool
}

// Choose lets each room pick by the rule, the best-suited room first, until
// nothing waiting fits, and returns the picks in that order. It changes the
// offer as it goes.
func (t *Table) Choose(offer Offer, tuning Tuning, now time.Time) []Pick {
	choices := make([]choice, len(offer.Candidates))
	for i := range choices {
		choices[i].candidate = &offer.Candidates[i]
		t.chooseFor(&choices[i], offer.Queues, tuning, now)
	}
	var picks []Pick
	for {
		best := -1
		for i := range choices {
			if choices[i].job != nil && (best < 0 || choices[i].pick.Before(choices[best].pick) < 0) {
				best = i
			}
		}
		if best < 0 {
			return picks
		}
		choice := &choices[best]
		if choice.stale {
			choice.stale = false
			if !choice.job.fits(choice.candidate) {
				t.chooseFor(choice, offer.Queues, tuning, now)
				continue
			}
		}
		candidate, job := choice.candidate, choice.job
		picks = append(picks, choice.pick)
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
		for i := range choices {
			choices[i].stale = true
		}
		t.chooseFor(choice, offer.Queues, tuning, now)
	}
}

// chooseFor finds what a room takes next.
func (t *Table) chooseFor(choice *choice, queues []Queue, tuning Tuning, now time.Time) {
	choice.job, choice.stale = nil, false
	candidate := choice.candidate
	var heads []QueueHead
	var jobs []*WaitingJob
	for i := range queues {
		queue := &queues[i]
		first := slices.IndexFunc(queue.Jobs, func(job WaitingJob) bool { return job.fits(candidate) })
		if first < 0 {
			continue
		}
		job := &queue.Jobs[first]
		heads = append(heads, QueueHead{
			Type: queue.Type, Tier: job.Tier, Age: job.Age,
			Weight:   t.Weight(queue.Unfinished, Arm{queue.Type, candidate.InstanceType}, now),
			HasImage: slices.Contains(candidate.Images, job.Image),
		})
		jobs = append(jobs, job)
	}
	i := SelectQueue(heads, tuning.AgingThreshold, tuning.NearTie)
	if i < 0 {
		return
	}
	choice.job = jobs[i]
	choice.pick = Pick{Worker: candidate.Worker, Ref: choice.job.Ref, Tier: heads[i].Tier, Weight: heads[i].Weight, Cost: choice.job.cost(candidate, tuning)}
}

// pullSeconds is how long the room's machine would fetch until the task can start.
// Fetches share the rate.
func (job *WaitingJob) pullSeconds(candidate *Candidate) float64 {
	switch {
	case candidate.PullGBPerSecond <= 0 || slices.Contains(candidate.Images, job.Image):
		return 0
	case slices.Contains(candidate.PullingImages, job.Image):
		return candidate.PullingGB / candidate.PullGBPerSecond
	}
	return (candidate.PullingGB + job.ImageGB) / candidate.PullGBPerSecond
}

// cost says how well a room suits a job: the lower the better.
func (job *WaitingJob) cost(candidate *Candidate, tuning Tuning) float64 {
	leftCPUs := candidate.CPUs - job.CPUs
	cost := 0.0
	if candidate.TotalCPUs > 0 {
		cost += 0.1 * leftCPUs / candidate.TotalCPUs
	}
	pull := job.pullSeconds(candidate)
	if !job.Service {
		if job.AllowSpot && !candidate.Spot {
			cost += tuning.OnDemandPenalty
		}
		return cost + pull
	}
	// Replicas fill small machines first: large tasks have no use for them.
	// Up to the time their users name each second of fetch weighs; past it the
	// start is late and it weighs little.
	cost += 0.01*candidate.TotalCPUs + 0.5*min(pull, job.StartWithinSeconds) + 0.05*pull
	if pull > job.StartWithinSeconds {
		cost++
		// The start is late in any case. Where the zone has no machine with
		// the image and room to spare, make this one it: for those to come.
		if !slices.Contains(job.WarmZones, candidate.Zone) && job.CPUs > 0 {
			cost -= min(1, leftCPUs/(8*job.CPUs))
		}
	}
	return cost
}
