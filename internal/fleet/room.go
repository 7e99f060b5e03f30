package fleet

import (
	"cmp"
	"slices"

	"rillflow/internal/wire"
)

// WaitingShape is a task shape of which a task waits that its team's quota limit allows.
type WaitingShape struct {
	TaskShape
	Zones []string // in which one of its tasks may start now
}

// hasRoomOn reports whether an instance has room for a task of the shape beside the service replicas on
// it, in every resource. Other tasks do not count: they end.
func (s TaskShape) hasRoomOn(instance Instance, instanceType *wire.InstanceType) bool {
	return s.Fits(instanceType) && (s.SpotAllowed || !instance.Spot) &&
		s.Cores+instance.ReplicaCores <= instanceType.CPUs+fitTolerance &&
		s.GPUs+instance.ReplicaGPUs <= instanceType.GPUs+fitTolerance &&
		s.MemoryGB+instance.ReplicaMemoryGB <= instanceType.MemoryGB+fitTolerance
}

// hasRoomOn is TaskShape.hasRoomOn, for an instance on which a task of the shape may start now.
func (s WaitingShape) hasRoomOn(instance Instance, instanceType *wire.InstanceType) bool {
	_, isExcluded := slices.BinarySearch(s.ExcludedInstances, instance.Name)
	return !isExcluded && slices.Contains(s.Zones, instance.Zone) && s.TaskShape.hasRoomOn(instance, instanceType)
}

// roomFor reports whether any instance accepted by filter has room for a waiting shape.
func (p *pass) roomFor(shape WaitingShape, filter func(Instance) bool) bool {
	return slices.ContainsFunc(p.instances, func(instance Instance) bool {
		instanceType := p.types[instance.InstanceType]
		return p.isCapacity(instance, instanceType) && filter(instance) && shape.hasRoomOn(instance, instanceType)
	})
}

// isRequestedFor reports whether the plan requests an instance that fits a waiting shape.
func (p *pass) isRequestedFor(shape WaitingShape) bool {
	return slices.ContainsFunc(p.plan.ScaleOut, func(request wire.ScaleOutRequest) bool {
		instance := Instance{InstanceType: request.InstanceType, Zone: request.Zone, Spot: request.Spot}
		return shape.hasRoomOn(instance, p.types[request.InstanceType])
	})
}

// scaleOutWithoutRoom requests an instance for each waiting shape for which no instance has room beside
// its replicas, which stay, however many cores are free elsewhere. An instance that is up or
// booting with room for one task serves all of the shape, one after the other. If a draining instance
// has room, it cancels the drains instead.
func (p *pass) scaleOutWithoutRoom() {
	for _, shape := range p.demand.WaitingShapesAnywhere {
		switch {
		case p.roomFor(shape, func(instance Instance) bool { return !instance.Draining }), p.isRequestedFor(shape):
		case p.roomFor(shape, func(instance Instance) bool { return instance.Draining }):
			p.plan.CancelDrains = p.plan.CancelDrains || !p.plan.ReuseDrained
		default:
			if offered, ok := p.cheapestFor(shape); ok {
				p.request(offered, 1)
			}
		}
	}
}

// cheapestFor returns the offering with the lowest price of an instance among those that fit a waiting
// shape and are not in backoff, a spot one if there is any that the tasks may run on.
func (p *pass) cheapestFor(shape WaitingShape) (cheapest offering, found bool) {
	for _, spot := range []bool{true, false} {
		fitting := slices.DeleteFunc(p.offerings(spot), func(offered offering) bool {
			instance := Instance{InstanceType: offered.instanceType, Zone: offered.zone, Spot: spot}
			return !shape.hasRoomOn(instance, p.types[offered.instanceType])
		})
		if len(fitting) > 0 {
			return slices.MinFunc(fitting, func(a, b offering) int { return cmp.Compare(p.price(a), p.price(b)) }), true
		}
	}
	return offering{}, false
}

// hasOnlyRoom reports whether an instance alone, without those that the plan removes, has room for some
// waiting shape.
func (p *pass) hasOnlyRoom(instance Instance) bool {
	isOther := func(other Instance) bool {
		return other.Name != instance.Name && !other.Draining &&
			!slices.Contains(p.plan.Release, other.Name) && !slices.Contains(p.plan.Drain, other.Name)
	}
	return slices.ContainsFunc(p.demand.WaitingShapesAnywhere, func(shape WaitingShape) bool {
		return shape.hasRoomOn(instance, p.types[instance.InstanceType]) && !p.roomFor(shape, isOther)
	})
}
