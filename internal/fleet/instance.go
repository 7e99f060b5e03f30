package fleet

import (
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// slowBootRatio is the longest that instances take to boot as a rule, as a ratio to the boot time
// that the catalogue gives for their type.
const slowBootRatio = 1.6

// Instance is a rented instance as the planner sees it.
type Instance struct {
	Name         string
	InstanceType string
	Zone         string
	Spot         bool
	Up           bool      // its worker sends heartbeats
	Booting      bool      // its worker sends none, and the cloud does not list it as running
	IdleSince    time.Time // since when no task is on it; zero: busy or not up
	Releasing    bool      // it is to be released whatever the demand
	Partitioned  bool      // it is cut off from the controllers: not counted on, but not released

	RequestedAt  time.Time // when it was requested, as far as is known
	Draining     bool      // it takes no new tasks, and is released once empty
	Replicas     int       // replicas of services on it
	ReplicaCores float64   // cores that replicas take of it
	// CanMoveReplicas reports whether every replica on it has a place on another instance that has
	// its image, and reserves these places. It looks at every worker's free capacity, so it is
	// asked only of an instance that would be drained.
	CanMoveReplicas func() bool
}

// bootOverdue reports whether an instance takes so long to boot that it may never come up: it is
// not counted on, and another takes its place.
func (i Instance) bootOverdue(instanceType *wire.InstanceType, now time.Time) bool {
	bootTime := settings.Seconds(instanceType.BootSeconds)
	return i.Booting && float64(now.Sub(i.RequestedAt)) > slowBootRatio*float64(bootTime)
}

// pricePerCore returns the price of an instance for each of its cores and hour.
func (i Instance) pricePerCore(instanceType *wire.InstanceType) float64 {
	if i.Spot {
		return instanceType.SpotPricePerHour / instanceType.CPUs
	}
	return instanceType.PricePerHour / instanceType.CPUs
}
