package fleet

import (
	"math"
	"slices"

	"rillflow/internal/wire"
)

// fitTolerance is added before a number of tasks is rounded down. Without it a floating-point error
// costs one task of those that fill an instance exactly, as 0.3/0.1 is just below 3.
const fitTolerance = 1e-6

// Demand is the unfinished work that is ready to run, in cores unless noted otherwise.
type Demand struct {
	OnDemandCores       float64            // work that may not run on spot instances
	SpotCores           float64            // work that may run on spot instances
	QueuedCores         float64            // the part of SpotCores that waits within quota
	UrgentCores         float64            // the part of SpotCores that must run at once to meet its deadline
	LargestServiceCores float64            // the largest current service: the next one may be as large
	SecondZoneCores     float64            // the most that a service spread over zones needs outside its first zone
	ZoneBoundCores      map[string]float64 // waiting work that only one zone may run, by that zone
	FailoverCores       map[string]float64 // by zone, the cores of its replicas that may move to other zones
	OnDemandJobs        int                // number of jobs in OnDemandCores
	ScaleAheadCores     float64            // quota limits of the teams for which instances are requested ahead
	TaskShapes          []TaskShape        // shapes of all unfinished tasks
	WaitingShapes       []TaskShape        // shapes of tasks that may run on spot instances and wait within quota
	TeamLimits          map[string]float64 // quota limits of the teams of TaskShapes
	// WaitingShapesAnywhere are the shapes of all tasks that wait within quota.
	WaitingShapesAnywhere []WaitingShape
}

// TaskShape is the resources that a task takes and the instances that it may run on.
type TaskShape struct {
	Cores, GPUs, MemoryGB float64
	InstanceTypes         []string // types it may run on; empty: any
	Zone                  string   // the only zone that it may run in; empty: any
	SpotAllowed           bool
	// ExcludedInstances are the names, sorted, of the instances on which the tasks may not run now.
	ExcludedInstances []string
	Team              string
	Weight            float64 // total cores of the unfinished tasks of this shape
}

// Fits reports whether a task fits an empty instance of a type.
func (s TaskShape) Fits(instanceType *wire.InstanceType) bool {
	return s.Cores <= instanceType.CPUs && s.GPUs <= instanceType.GPUs && s.MemoryGB <= instanceType.MemoryGB &&
		(len(s.InstanceTypes) == 0 || slices.Contains(s.InstanceTypes, instanceType.Name))
}

// tasksPerInstance returns how many tasks of the shape an empty instance of a type holds.
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

// usableShare returns the share of a type's cores that current tasks can use: the average over the
// shapes, by weight, of an instance filled with that shape alone. A type that runs out of memory
// before cores costs more per usable core than its price per core suggests.
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

// anyFits reports whether some unfinished task fits an empty instance of a type and may run on it.
func (d Demand) anyFits(instanceType *wire.InstanceType, spot bool) bool {
	return slices.ContainsFunc(d.TaskShapes, func(shape TaskShape) bool {
		return shape.Fits(instanceType) && (shape.SpotAllowed || !spot)
	})
}
