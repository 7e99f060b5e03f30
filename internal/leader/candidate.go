package leader

import (
	"slices"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// roundingTolerance absorbs floating-point errors in sums of resource amounts.
const roundingTolerance = 1e-6

// resources is an amount of CPUs, GPUs and memory.
type resources struct {
	cpus, gpus, memoryGB float64
}

// fit reports whether one task of the job fits into r.
func (r resources) fit(spec *wire.Job) bool {
	return spec.CPUs <= r.cpus+roundingTolerance &&
		spec.GPUs <= r.gpus+roundingTolerance &&
		spec.MemoryGB <= r.memoryGB+roundingTolerance
}

// slots returns how many tasks of the job fit into r, at most the job's task count.
func (r resources) slots(spec *wire.Job) int {
	count := spec.TaskCount
	for _, resource := range [...]struct{ free, needed float64 }{
		{r.cpus, spec.CPUs}, {r.gpus, spec.GPUs}, {r.memoryGB, spec.MemoryGB},
	} {
		if resource.needed > 0 {
			count = min(count, int((resource.free+roundingTolerance)/resource.needed))
		}
	}
	return count
}

// max returns the greater of r and other for each resource.
func (r resources) max(other resources) resources {
	return resources{max(r.cpus, other.cpus), max(r.gpus, other.gpus), max(r.memoryGB, other.memoryGB)}
}

// plus returns r plus the resources of one task of the job.
func (r resources) plus(spec *wire.Job) resources {
	return resources{r.cpus + spec.CPUs, r.gpus + spec.GPUs, r.memoryGB + spec.MemoryGB}
}

// minus returns r minus the resources of one task of the job.
func (r resources) minus(spec *wire.Job) resources {
	return resources{r.cpus - spec.CPUs, r.gpus - spec.GPUs, r.memoryGB - spec.MemoryGB}
}

// candidate is a worker with its free capacity, which a scheduling pass or the autoscaler reduces
// as it places tasks. Each pass makes its own candidates, guarded by the term's lock; changing one
// changes no claim.
type candidate struct {
	worker       *agent.Worker
	instanceType *wire.InstanceType
	free         resources
	reservedFor  *ledger.Job // the free capacity is reserved for this job until it fits
	madeAt       time.Time
	// besideReplicas is the capacity without what service replicas take; nil until it is first asked for.
	besideReplicas *resources
}

// newCandidate returns a candidate for a worker whose claims use the given resources.
func newCandidate(
	worker *agent.Worker, instanceType *wire.InstanceType, used ledger.Resources, now time.Time,
) *candidate {
	return &candidate{worker: worker, instanceType: instanceType, madeAt: now, free: resources{
		cpus:     instanceType.CPUs - used.CPUs,
		gpus:     instanceType.GPUs - used.GPUs,
		memoryGB: instanceType.MemoryGB - used.MemoryGB,
	}}
}

// capacity returns the total resources of the worker.
func (c *candidate) capacity() resources {
	return resources{c.instanceType.CPUs, c.instanceType.GPUs, c.instanceType.MemoryGB}
}

// capacityBesideReplicas returns the resources of the worker that no service replica takes: they are free once
// the other tasks there have ended.
func (c *candidate) capacityBesideReplicas(table *ledger.Table) resources {
	if c.besideReplicas == nil {
		left := c.capacity()
		for _, claim := range table.ClaimsOnWorker(c.worker.Name) {
			if claim.Job.Spec.Kind == wire.KindService {
				left = left.minus(&claim.Job.Spec)
			}
		}
		c.besideReplicas = &left
	}
	return *c.besideReplicas
}

// fitsBesideReplicas reports whether a task of a job would fit the worker if only its service replicas ran
// there.
func (c *candidate) fitsBesideReplicas(table *ledger.Table, job *ledger.Job) bool {
	return c.capacity().fit(&job.Spec) && c.allows(job) && c.capacityBesideReplicas(table).fit(&job.Spec)
}

// allocate subtracts the resources of one task of a job from the free capacity.
func (c *candidate) allocate(job *ledger.Job) { c.free = c.free.minus(&job.Spec) }

// deallocate reverts allocate.
func (c *candidate) deallocate(job *ledger.Job) { c.free = c.free.plus(&job.Spec) }

// fits reports whether a task of a job fits the free capacity and may run on the worker.
func (c *candidate) fits(job *ledger.Job) bool { return c.free.fit(&job.Spec) && c.allows(job) }

// fitsWhenEmpty reports whether a task of a job would fit the worker if nothing else ran there.
func (c *candidate) fitsWhenEmpty(job *ledger.Job) bool {
	return c.capacity().fit(&job.Spec) && c.allows(job)
}

// allows reports whether a job may run on the worker: its constraints on spot instances, zone and
// instance type hold, and it is not excluded from it because it failed there.
func (c *candidate) allows(job *ledger.Job) bool {
	return c.allowsSpec(&job.Spec) && !job.ExcludedFrom(c.worker.Name, c.madeAt)
}

// allowsSpec reports whether a job's constraints on spot instances, zone and instance type hold.
func (c *candidate) allowsSpec(spec *wire.Job) bool {
	return (spec.AllowSpot || !c.worker.Spot) &&
		(spec.Zone == "" || spec.Zone == c.worker.Zone) &&
		(len(spec.InstanceTypes) == 0 || slices.Contains(spec.InstanceTypes, c.worker.InstanceType))
}

// pullSeconds returns how long the worker would take to pull the job's image.
func (c *candidate) pullSeconds(job *ledger.Job) float64 {
	if c.instanceType.ImagePullGBPerSecond <= 0 || c.worker.HasImage(job.Spec.Image) {
		return 0
	}
	return job.Spec.ImageGB / c.instanceType.ImagePullGBPerSecond
}

// candidateIndex indexes the candidates of a pass by zone and image, so that describing each
// waiting job does not scan all of them.
type candidateIndex struct {
	candidates        []*candidate
	zones             []string
	withImage         map[string][]*candidate // by image
	hasUnofferedTasks bool                    // some waiting tasks were left out of the offers
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

// zonesOf returns the distinct zones of the candidates, in order of first occurrence.
func zonesOf(candidates []*candidate) []string {
	var zones []string
	for _, target := range candidates {
		if !slices.Contains(zones, target.worker.Zone) {
			zones = append(zones, target.worker.Zone)
		}
	}
	return zones
}

// onDemandSlots returns how many tasks of a job fit the free capacity of the on-demand workers.
func (index *candidateIndex) onDemandSlots(job *ledger.Job) int {
	slots := 0
	for _, target := range index.candidates {
		if !target.worker.Spot && target.fits(job) {
			slots += target.free.slots(&job.Spec)
		}
	}
	return slots
}

// warmZones returns the zones in which a worker has the job's image and room for one more task.
func (index *candidateIndex) warmZones(job *ledger.Job) []string {
	var zones []string
	for _, target := range index.withImage[job.Spec.Image] {
		if !slices.Contains(zones, target.worker.Zone) && target.fits(job) {
			zones = append(zones, target.worker.Zone)
		}
	}
	return zones
}
