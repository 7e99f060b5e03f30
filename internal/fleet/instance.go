package fleet

import (
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// slowBootRatio is the ratio of the longest usual boot time to the one in the catalogue.
const slowBootRatio = 1.6

// Instance is the planner's input about one rented instance.
type Instance struct {
	Name         string
	InstanceType string
	Zone         string
	Spot         bool
	Up           bool      // its worker has sent a heartbeat
	Booting      bool      // its worker has sent none, and the cloud has not listed it as running
	IdleSince    time.Time // since when no task is on it; zero: busy or not up
	Releasing    bool      // it will be released whatever the demand
	Partitioned  bool      // cut off from the controllers: not counted as capacity, but not released

	RequestedAt time.Time // when it was requested, by this leader's clock or the age that the cloud lists
	Draining    bool      // it takes no new tasks, and is released once empty
	Replicas    int       // service replicas on it
	// Resources taken by the replicas.
	ReplicaCores, ReplicaGPUs, ReplicaMemoryGB float64
	// CanMoveReplicas reports whether every replica on it has a place on another instance that has
	// its image, and reserves these places. It scans the free capacity of every worker, so it is
	// called only for an instance that would be drained.
	CanMoveReplicas func() bool
}

// bootOverdue reports whether an instance has been booting for so long that it may never come up.
// It then does not count as capacity, so that another is requested in its place.
func (i Instance) bootOverdue(instanceType *wire.InstanceType, now time.Time) bool {
	bootTime := settings.Seconds(instanceType.BootSeconds)
	return i.Booting && float64(now.Sub(i.RequestedAt)) > slowBootRatio*float64(bootTime)
}

// pricePerCore returns the hourly price of an instance per core.
func (i Instance) pricePerCore(instanceType *wire.InstanceType) float64 {
	if i.Spot {
		return instanceType.SpotPricePerHour / instanceType.CPUs
	}
	return instanceType.PricePerHour / instanceType.CPUs
}
