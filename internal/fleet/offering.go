package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rillflow/internal/wire"
)

const (
	maxInstancesPerRequest = 50
	// maxBackoffDoublings bounds the exponential backoff after refusals.
	maxBackoffDoublings = 4
)

// offering is a type, zone and kind of instance that can be requested.
type offering struct {
	instanceType, zone string
	spot               bool
}

// refusal is the backoff state of an offering whose last request was not granted in full.
type refusal struct {
	retryAt time.Time // no request before
	count   int       // consecutive refusals, at most maxBackoffDoublings
}

// RecordAnswer records how many instances the cloud granted for a request. An offering that was not
// granted in full is not requested for a while, longer each time, so that the next cheapest is
// tried instead.
func (p *Planner) RecordAnswer(request wire.ScaleOutRequest, granted int, now time.Time) {
	offered := offering{request.InstanceType, request.Zone, request.Spot}
	if granted >= request.Count {
		delete(p.refused, offered)
		return
	}
	refused := p.refused[offered]
	refused.count = min(refused.count+1, maxBackoffDoublings)
	refused.retryAt = now.Add(p.settings.HeartbeatInterval() * time.Duration(1<<refused.count))
	p.refused[offered] = refused
}

// RecordRelease ends the backoff for the offering of a released instance, as the cloud may now grant
// another one like it.
func (p *Planner) RecordRelease(instance Instance) {
	delete(p.refused, offering{instance.InstanceType, instance.Zone, instance.Spot})
}

// offerings returns the offerings that fit some unfinished task and are not in backoff, the lowest
// price per usable core first.
func (p *pass) offerings(spot bool) []offering {
	var found []offering
	for _, instanceType := range p.types {
		if instanceType.CPUs <= 0 || !p.demand.anyFits(instanceType, spot) {
			continue
		}
		for _, zone := range instanceType.Zones {
			offered := offering{instanceType.Name, zone, spot}
			if !p.now.Before(p.planner.refused[offered].retryAt) {
				found = append(found, offered)
			}
		}
	}
	slices.SortFunc(found, func(a, b offering) int {
		return cmp.Or(cmp.Compare(p.pricePerUsableCore(a), p.pricePerUsableCore(b)),
			cmp.Compare(a.instanceType, b.instanceType), cmp.Compare(a.zone, b.zone))
	})
	return found
}

// pricePerUsableCore returns the hourly price of an offering per core that current tasks can use.
func (p *pass) pricePerUsableCore(offered offering) float64 {
	instanceType := p.types[offered.instanceType]
	return p.price(offered) / (instanceType.CPUs * p.demand.usableShare(instanceType, offered.spot))
}

// price returns the hourly price of an instance of an offering.
func (p *pass) price(offered offering) float64 {
	if offered.spot {
		return p.types[offered.instanceType].SpotPricePerHour
	}
	return p.types[offered.instanceType].PricePerHour
}

// requestCores requests instances of the offerings, in their order, until they add up to the cores.
func (p *pass) requestCores(offerings []offering, cores float64) {
	for _, offered := range offerings {
		if cores <= 0 {
			break
		}
		coresPerInstance := p.types[offered.instanceType].CPUs
		count := min(maxInstancesPerRequest, int(math.Ceil(cores/coresPerInstance)))
		p.request(offered, count)
		cores -= float64(count) * coresPerInstance
	}
}

// request adds a request for instances of an offering to the plan.
func (p *pass) request(offered offering, count int) {
	p.plan.ScaleOut = append(p.plan.ScaleOut, wire.ScaleOutRequest{
		RequestID:    p.planner.NextRequestID(),
		InstanceType: offered.instanceType,
		Zone:         offered.zone,
		Spot:         offered.spot,
		Count:        count,
	})
}
