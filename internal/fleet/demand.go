package fleet

import (
	"math"
	"slices"

	"rillflow/internal/wire"
)

// fitTolerance is added before a number of tasks is rounded down: tasks that fill an instance
// exactly are not to be one fewer by a rounding error, as 0.3/0.1 is just below 3.
const fitTolerance = 1e-6

// Demand is the work on hand, in cores.
type Demand struct {
	OnDemandCores       float64            // work that may not run on spot instances
	SpotCores           float64            // work that may run on spot instances
	QueuedCores         float64            // the part of SpotCores that waits within quota
	UrgentCores         float64            // the part of SpotCores that must run at once to meet its deadline
	LargestServiceCores float64            // the largest service on hand: the next one may be like it
	SecondZoneCores     float64            // what the largest spread service may not have in a single zone
	ZoneBoundCores      map[string]float64 // waiting work by the only zone that may take it
	FailoverCores       map[string]float64 // by zone, what its replicas take that other zones may take over
	OnDemandJobs        int                // jobs that OnDemandCores are of
	ScaleAheadCores     float64            // quota limits of the teams for which instances are requested ahead
	TaskShapes          []TaskShape        // shapes of tasks on hand
	WaitingShapes       []TaskShape        // shapes of tasks that may run on spot instances and wait within quota
}

// TaskShape is what a task takes and where it may run.
type TaskShape struct {
	Cores, GPUs, MemoryGB float64
	InstanceTypes         []string // types it may run on; none: any
	SpotAllowed           bool
	Weight                float64 // cores of such tasks on hand
}

// Fits reports whether a task fits an empty instance of a type.
func (s TaskShape) Fits(instanceType *wire.InstanceType) bool {
	return s.Cores <= instanceType.CPUs && s.GPUs <= instanceType.GPUs && s.MemoryGB <= instanceType.MemoryGB &&
		(len(s.InstanceTypes) == 0 || slices.Contains(s.InstanceTypes, instanceType.Name))
}

// tasksPerInstance returns how many tasks an empty instance of a type holds.
func (s TaskShape) tasksPerInstance(instanceType *wire.InstanceType) float64 {
	count := math.Inf(1)
	for _, resource := range []struct{ capacity, perTask float64 }{
		{instanceType.CPUs, s.Cores},
		{instanceType.GPUs, s.GPUs},
		{instanceType.MemoryGB, s.MemoryGB},
	} {
		if resource.perTask > 0 {
			count = min(count, math.Floor(resource.capacity/resource.perTask+fitTolerance))
		}
	}
	return count
}

// usableShare returns the share of a type's cores that the tasks on hand can use, each shape alone
// and by its weight. A type whose memory runs out first is dearer than its price per core says.
func (d Demand) usableShare(instanceType *wire.InstanceType, spot bool) float64 {
	sum, weight := 0.0, 0.0
	for _, shape := range d.TaskShapes {
		if shape.SpotAllowed != spot {
			continue
		}
		weight += shape.Weight
		if shape.Fits(instanceType) && shape.Cores > 0 {
			sum += shape.Weight * shape.tasksPerInstance(instanceType) * shape.Cores / instanceType.CPUs
		}
	}
	if weight == 0 || sum == 0 {
		return 1
	}
	return sum / weight
}

// anyFits reports whether some task on hand fits an empty instance of a type and may run on it.
func (d Demand) anyFits(instanceType *wire.InstanceType, spot bool) bool {
	return slices.ContainsFunc(d.TaskShapes, func(shape TaskShape) bool {
		return shape.Fits(instanceType) && (shape.SpotAllowed || !spot)
	})
}
