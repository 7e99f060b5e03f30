package leader

import (
	"slices"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// roundingTolerance forgives the rounding of sums of decimal amounts.
const roundingTolerance = 1e-6

// resources is an amount of what tasks take of a worker.
type resources struct {
	cpus, gpus, memoryGB float64
}

// fit reports whether the amount is enough for a task of the job.
func (r resources) fit(spec *wire.Job) bool {
	return spec.CPUs <= r.cpus+roundingTolerance &&
		spec.GPUs <= r.gpus+roundingTolerance &&
		spec.MemoryGB <= r.memoryGB+roundingTolerance
}

// slots is how many tasks of the job the amount is enough for, up to all of them.
func (r resources) slots(spec *wire.Job) int {
	count := spec.TaskCount
	for _, of := range [...]struct{ free, needed float64 }{
		{r.cpus, spec.CPUs}, {r.gpus, spec.GPUs}, {r.memoryGB, spec.MemoryGB},
	} {
		if of.needed > 0 {
			count = min(count, int((of.free+roundingTolerance)/of.needed))
		}
	}
	return count
}

// plus is the amount with that of one task of the job added.
func (r resources) plus(spec *wire.Job) resources {
	return resources{r.cpus + spec.CPUs, r.gpus + spec.GPUs, r.memoryGB + spec.MemoryGB}
}

// minus is the amount with that of one task of the job taken away.
func (r resources) minus(spec *wire.Job) resources {
	return resources{r.cpus - spec.CPUs, r.gpus - spec.GPUs, r.memoryGB - spec.MemoryGB}
}

// candidate is a worker with its free capacity, as a scheduling pass or the autoscaler
// counts it down while it places tasks. It is made anew for each and guarded by the term's
// lock; changing it changes no claim.
type candidate struct {
	worker       *agent.Worker
	instanceType *wire.InstanceType
	free         resources
	reservedFor  *ledger.Job // the free capacity is kept for this job until it fits
}

// newCandidate makes a candidate of a worker whose claims use an amount.
func newCandidate(worker *agent.Worker, instanceType *wire.InstanceType, used ledger.Resources) *candidate {
	return &candidate{worker: worker, instanceType: instanceType, free: resources{
		cpus:     instanceType.CPUs - used.CPUs,
		gpus:     instanceType.GPUs - used.GPUs,
		memoryGB: instanceType.MemoryGB - used.MemoryGB,
	}}
}

// capacity is what the worker has when empty.
func (c *candidate) capacity() resources {
	return resources{c.instanceType.CPUs, c.instanceType.GPUs, c.instanceType.MemoryGB}
}

// allocate takes the resources of one task of a job off the free capacity.
func (c *candidate) allocate(job *ledger.Job) { c.free = c.free.minus(&job.Spec) }

// deallocate gives back what allocate took.
func (c *candidate) deallocate(job *ledger.Job) { c.free = c.free.plus(&job.Spec) }

// fits reports whether a task of a job fits the free capacity and may go there.
func (c *candidate) fits(job *ledger.Job) bool { return c.free.fit(&job.Spec) && c.allows(job) }

// fitsWhenEmpty reports whether a task of a job would fit the worker were it empty.
func (c *candidate) fitsWhenEmpty(job *ledger.Job) bool {
	return c.capacity().fit(&job.Spec) && c.allows(job)
}

// allows reports whether a job may run on the worker at all: spot or on-demand, its zone, its
// instance types, and not where it failed before.
func (c *candidate) allows(job *ledger.Job) bool {
	spec := &job.Spec
	return (spec.AllowSpot || !c.worker.Spot) &&
		(spec.Zone == "" || spec.Zone == c.worker.Zone) &&
		(len(spec.InstanceTypes) == 0 || slices.Contains(spec.InstanceTypes, c.worker.InstanceType)) &&
		!job.FailedOn[c.worker.Name]
}

// pullSeconds is how long the worker would pull the job's image.
func (c *candidate) pullSeconds(job *ledger.Job) float64 {
	if c.instanceType.ImagePullGBPerSecond <= 0 || c.worker.HasImage(job.Spec.Image) {
		return 0
	}
	return job.Spec.ImageGB / c.instanceType.ImagePullGBPerSecond
}

// candidateIndex holds what describing the jobs of a pass asks of all candidates, looked up
// once.
type candidateIndex struct {
	candidates  []*candidate
	zones       []string
	withImage   map[string][]*candidate // by image
	moreWaiting bool                    // some waiting tasks were left out of the offers
}

func newCandidateIndex(candidates []*candidate) *candidateIndex {
	index := &candidateIndex{
		candidates: candidates,
		zones:      zonesOf(candidates),
		withImage:  make(map[string][]*candidate),
	}
	for _, target := range candidates {
		for _, image := range target.worker.Images {
			if !image.Pulling {
				index.withImage[image.Name] = append(index.withImage[image.Name], target)
			}
		}
	}
	return index
}

// zonesOf are the candidates' zones in the order in which they come.
func zonesOf(candidates []*candidate) []string {
	var zones []string
	for _, target := range candidates {
		if !slices.Contains(zones, target.worker.Zone) {
			zones = append(zones, target.worker.Zone)
		}
	}
	return zones
}

// onDemandSlots is how many tasks of a job the on-demand workers have free capacity for.
func (x *candidateIndex) onDemandSlots(job *ledger.Job) int {
	slots := 0
	for _, target := range x.candidates {
		if !target.worker.Spot && target.fits(job) {
			slots += target.free.slots(&job.Spec)
		}
	}
	return slots
}

// warmZones are the zones in which a worker has the job's image and fits one more task.
func (x *candidateIndex) warmZones(job *ledger.Job) []string {
	var zones []string
	for _, target := range x.withImage[job.Spec.Image] {
		if !slices.Contains(zones, target.worker.Zone) && target.fits(job) {
			zones = append(zones, target.worker.Zone)
		}
	}
	return zones
}
