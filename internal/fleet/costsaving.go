package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"rillflow/internal/settings"
)

const (
	// maxFullSpareJobs is the largest number of jobs for which the full spare share is kept.
	maxFullSpareJobs = 64
	// minDrainAge is the least age of an instance that may be drained, in boot times of its type.
	minDrainAge = 3
)

// costSavingPass plans for the current work and a spare share, on spot instances where the work may
// run on them, and releases idle instances. Surplus instances are drained, the highest price per
// core first: otherwise a few replicas on each would keep all of them.
type costSavingPass struct {
	*pass

	// The required cores, spare share included.
	neededOnDemandCores float64
	neededSpotCores     float64
	// scaleInMarginCores are kept beyond neededOnDemandCores. They exceed neededSpotCores, as a
	// drained instance may be needed again before a new one is up.
	scaleInMarginCores float64

	// The available capacity, without instances that are being released or overdue to boot.
	onDemandCores     float64
	spotCores         float64
	drainingCores     float64
	drainingInstances int
	onDemandByZone    map[string]float64 // cores
	freeForReplicas   zoneCores          // on-demand cores not taken by replicas
	supplies          []*constrainedSupply
}

// newCostSavingPass returns a pass with the required cores for the demand.
func newCostSavingPass(current *pass) *costSavingPass {
	planner, demand := current.planner, current.demand
	planner.smooth(demand, current.now)
	spare := 1 + planner.settings.Operator.Fleet.SpareCapacity
	neededSpotCores := max(demand.UrgentCores, planner.smoothedSpotCores) * spare
	neededSpotShare := 0.0
	if demand.SpotCores > 0 {
		neededSpotShare = min(1, neededSpotCores/demand.SpotCores)
	}
	return &costSavingPass{
		pass: current,
		neededOnDemandCores: demand.OnDemandCores +
			max(demand.LargestServiceCores, planner.spareShare(demand.OnDemandJobs)*demand.OnDemandCores),
		neededSpotCores:    neededSpotCores,
		scaleInMarginCores: spare * neededSpotCores,
		onDemandByZone:     make(map[string]float64),
		freeForReplicas:    make(zoneCores),
		supplies:           current.constrainedSupplies(neededSpotShare),
	}
}

// run plans in this order: requests for work that only some offerings can serve, cancelled drains,
// requests for other missing capacity and, only if none is missing, instances to release and drain.
func (c *costSavingPass) run() Plan {
	c.countCapacity()
	c.scaleOutZoneBound()
	c.scaleOutConstrained(c.supplies)
	availableCores := c.spotCores + max(0, c.onDemandCores-c.neededOnDemandCores) // for work that may run on spot
	if (c.onDemandCores < c.neededOnDemandCores || availableCores < c.neededSpotCores) && c.drainingCores > 0 {
		c.plan.CancelDrains = true // draining instances are usable at once, new ones have to boot
		return c.plan
	}
	c.scaleOutOnDemand()
	if zone, shortfall := c.failoverShortfall(); shortfall > 0 {
		c.scaleOutElsewhere(zone, shortfall)
	}
	c.scaleOutSpot(availableCores)
	c.scaleOutWithoutRoom()
	if !c.plan.CancelDrains {
		c.scaleIn()
	}
	return c.plan
}

// countCapacity adds up the available capacity, and releases draining instances that are idle.
func (c *costSavingPass) countCapacity() {
	for _, instance := range c.instances {
		instanceType := c.types[instance.InstanceType]
		if instanceType == nil || instance.Releasing || instance.bootOverdue(instanceType, c.now) {
			continue
		}
		switch {
		case instance.Draining:
			c.drainingInstances++
			c.drainingCores += instanceType.CPUs
			if !instance.IdleSince.IsZero() {
				c.plan.Release = append(c.plan.Release, instance.Name)
			}
		case instance.Spot:
			c.spotCores += instanceType.CPUs
		default:
			c.onDemandCores += instanceType.CPUs
			c.onDemandByZone[instance.Zone] += instanceType.CPUs
			c.freeForReplicas[instance.Zone] += instanceType.CPUs - instance.ReplicaCores
		}
	}
}

// scaleOutZoneBound requests instances for waiting work that only one zone may run. The cores
// missing there are subtracted from neededOnDemandCores: instances in other zones are of no use to
// such work, and must not be requested or kept for it.
func (c *costSavingPass) scaleOutZoneBound() {
	totalShortfall := 0.0
	for _, zone := range slices.Sorted(maps.Keys(c.demand.ZoneBoundCores)) {
		shortfall := c.demand.ZoneBoundCores[zone] - c.freeForReplicas[zone]
		if shortfall <= 0 {
			continue
		}
		totalShortfall += shortfall
		inZone := slices.DeleteFunc(c.offerings(false), func(offered offering) bool { return offered.zone != zone })
		c.requestCores(inZone, shortfall)
		c.plan.CancelDrainZones = append(c.plan.CancelDrainZones, zone)
	}
	c.neededOnDemandCores -= totalShortfall
}

// scaleOutOnDemand requests the missing on-demand instances, in the zones with the fewest cores
// first. If none are missing, it requests what a service spread over zones needs outside the
// largest zone.
func (c *costSavingPass) scaleOutOnDemand() {
	if shortfall := c.neededOnDemandCores - c.onDemandCores; shortfall > 0 {
		offerings := c.offerings(false)
		slices.SortStableFunc(offerings, func(a, b offering) int {
			return cmp.Compare(c.onDemandByZone[a.zone], c.onDemandByZone[b.zone])
		})
		c.requestCores(offerings, shortfall)
		c.plan.CancelDrains = true
		return
	}
	if largest, second := c.freeForReplicas.largestTwo(); second < c.demand.SecondZoneCores {
		c.scaleOutElsewhere(largest, c.demand.SecondZoneCores-second)
	}
}

// scaleOutElsewhere requests on-demand instances outside a zone and cancels the drains there.
// Instances in the zone itself do not help.
func (c *costSavingPass) scaleOutElsewhere(zone string, cores float64) {
	elsewhere := slices.DeleteFunc(c.offerings(false), func(offered offering) bool { return offered.zone == zone })
	c.requestCores(elsewhere, cores)
	for other := range c.onDemandByZone {
		if other != zone && !slices.Contains(c.plan.CancelDrainZones, other) {
			c.plan.CancelDrainZones = append(c.plan.CancelDrainZones, other)
		}
	}
}

// scaleOutSpot requests the missing spot instances. If none can be requested, it requests on-demand
// ones, but only for the queued urgent work that exceeds the available cores: those take on the
// rest in about the time that an instance needs to boot.
func (c *costSavingPass) scaleOutSpot(availableCores float64) {
	shortfall := c.neededSpotCores - availableCores
	if shortfall <= 0 {
		return
	}
	if offerings := c.offerings(true); len(offerings) > 0 {
		c.requestCores(offerings, shortfall)
	} else if urgentShortfall := min(c.demand.QueuedCores, c.demand.UrgentCores) - availableCores; urgentShortfall > 0 {
		c.requestCores(c.offerings(false), min(shortfall, urgentShortfall))
	}
	c.plan.CancelDrains = true
}

// scaleIn releases surplus instances that are idle, and drains surplus ones that are busy.
func (c *costSavingPass) scaleIn() {
	candidates := c.scaleInCandidates()
	drainLimit := maxDraining(len(candidates))
	for _, instance := range candidates {
		instanceType := c.types[instance.InstanceType]
		idle := c.idleLongEnough(instance, instanceType)
		mustKeep := c.mustKeep(instance, instanceType.CPUs) || c.hasOnlyRoom(instance)
		if mustKeep || !idle && !c.drainable(instance, drainLimit) {
			continue
		}
		for _, supply := range c.supplies {
			if supply.includes(instance) {
				supply.cores -= instanceType.CPUs
			}
		}
		if instance.Spot {
			c.spotCores -= instanceType.CPUs
		} else {
			c.onDemandCores -= instanceType.CPUs
			c.freeForReplicas[instance.Zone] -= instanceType.CPUs
		}
		if idle {
			c.plan.Release = append(c.plan.Release, instance.Name)
		} else {
			c.plan.Drain = append(c.plan.Drain, instance.Name)
			c.drainingInstances++
		}
	}
}

// scaleInCandidates returns the instances that are up and neither draining nor to be released: the
// highest price per core first, then the fewest replicas to move.
func (c *costSavingPass) scaleInCandidates() []Instance {
	candidates := slices.DeleteFunc(slices.Clone(c.instances), func(instance Instance) bool {
		return c.types[instance.InstanceType] == nil || instance.Releasing || instance.Draining || !instance.Up
	})
	slices.SortFunc(candidates, func(a, b Instance) int {
		priceA, priceB := a.pricePerCore(c.types[a.InstanceType]), b.pricePerCore(c.types[b.InstanceType])
		return cmp.Or(-cmp.Compare(priceA, priceB), cmp.Compare(a.Replicas, b.Replicas), cmp.Compare(a.Name, b.Name))
	})
	return candidates
}

// mustKeep reports whether the capacity without an instance would be too small: in total, on-demand,
// in a second zone, for the replicas of a lost zone, or for tasks that only some offerings can serve.
func (c *costSavingPass) mustKeep(instance Instance, cores float64) bool {
	if c.onDemandCores+c.spotCores-cores < c.neededOnDemandCores+c.scaleInMarginCores {
		return true
	}
	for _, supply := range c.supplies {
		if supply.includes(instance) && supply.cores-cores < supply.neededCores {
			return true
		}
	}
	if instance.Spot {
		return false
	}
	return c.onDemandCores-cores < c.neededOnDemandCores ||
		c.freeForReplicas.leavesSecondShort(instance.Zone, cores, c.demand.SecondZoneCores) ||
		releaseWorsensShortfall(c.planner.settings, c.demand.FailoverCores, c.freeForReplicas, instance, cores)
}

// drainable reports whether a busy instance may be drained now. CanMoveReplicas is called last, as
// it reserves places for the replicas.
func (c *costSavingPass) drainable(instance Instance, drainLimit int) bool {
	minAge := minDrainAge * settings.Seconds(c.types[instance.InstanceType].BootSeconds)
	return c.drainingInstances < drainLimit && c.now.Sub(instance.RequestedAt) >= minAge &&
		(instance.Replicas == 0 || instance.CanMoveReplicas())
}

// failoverShortfall calls the function of the same name with the demand and capacity of this pass.
func (c *costSavingPass) failoverShortfall() (zone string, shortfall float64) {
	return failoverShortfall(c.planner.settings, c.demand.FailoverCores, c.freeForReplicas)
}

// spareShare returns the share of the current on-demand work that is kept as spare capacity. The
// relative variation of the total falls with the square root of the number of jobs, and so does
// the share.
func (p *Planner) spareShare(jobs int) float64 {
	return p.settings.Operator.Fleet.SpareCapacity * min(1, math.Sqrt(maxFullSpareJobs/float64(max(jobs, 1))))
}

// smooth updates the moving average of the demand for spot cores. Its time constant, the worker
// lease, is a few boot times long, so that instances are not released in a lull and requested again
// at once.
func (p *Planner) smooth(demand Demand, now time.Time) {
	if p.smoothedAt.IsZero() {
		p.smoothedAt = now
	}
	weight := 1 - math.Exp(-now.Sub(p.smoothedAt).Seconds()/p.settings.WorkerLease().Seconds())
	p.smoothedAt = now
	p.smoothedSpotCores += weight * (demand.SpotCores - p.smoothedSpotCores)
}
