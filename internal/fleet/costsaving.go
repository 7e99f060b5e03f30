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
}

// newCostSavingPass returns a pass with the required cores for the demand.
func newCostSavingPass(current *pass) *costSavingPass {
	planner, demand := current.planner, current.demand
	planner.smooth(demand, current.now)
	spare := 1 + planner.settings.Operator.Fleet.SpareCapacity
	neededSpotCores := max(demand.UrgentCores, planner.smoothedSpotCores) * spare
	return &costSavingPass{
		pass: current,
		neededOnDemandCores: demand.OnDemandCores +
			max(demand.LargestServiceCores, planner.spareShare(demand.OnDemandJobs)*demand.OnDemandCores),
		neededSpotCores:    neededSpotCores,
		scaleInMarginCores: spare * neededSpotCores,
		onDemandByZone:     make(map[string]float64),
		freeForReplicas:    make(zoneCores),
	}
}

// run plans in this order: requests for work bound to a zone, cancelled drains, requests for other
// missing capacity and, only if none is missing, instances to release and drain.
func (f *costSavingPass) run() Plan {
	f.countCapacity()
	f.scaleOutZoneBound()
	availableCores := f.spotCores + max(0, f.onDemandCores-f.neededOnDemandCores) // for work that may run on spot
	if (f.onDemandCores < f.neededOnDemandCores || availableCores < f.neededSpotCores) && f.drainingCores > 0 {
		f.plan.CancelDrains = true // draining instances are usable at once, new ones have to boot
		return f.plan
	}
	f.scaleOutOnDemand()
	if zone, shortfall := f.failoverShortfall(); shortfall > 0 {
		f.scaleOutElsewhere(zone, shortfall)
	}
	f.scaleOutSpot(availableCores)
	if !f.plan.CancelDrains {
		f.scaleIn()
	}
	return f.plan
}

// countCapacity adds up the available capacity, and releases draining instances that are idle.
func (f *costSavingPass) countCapacity() {
	for _, instance := range f.instances {
		instanceType := f.types[instance.InstanceType]
		if instanceType == nil || instance.Releasing || instance.bootOverdue(instanceType, f.now) {
			continue
		}
		switch {
		case instance.Draining:
			f.drainingInstances++
			f.drainingCores += instanceType.CPUs
			if !instance.IdleSince.IsZero() {
				f.plan.Release = append(f.plan.Release, instance.Name)
			}
		case instance.Spot:
			f.spotCores += instanceType.CPUs
		default:
			f.onDemandCores += instanceType.CPUs
			f.onDemandByZone[instance.Zone] += instanceType.CPUs
			f.freeForReplicas[instance.Zone] += instanceType.CPUs - instance.ReplicaCores
		}
	}
}

// scaleOutZoneBound requests instances for waiting work that only one zone may run. The cores
// missing there are subtracted from neededOnDemandCores: instances in other zones are of no use to
// such work, and must not be requested or kept for it.
func (f *costSavingPass) scaleOutZoneBound() {
	totalShortfall := 0.0
	for _, zone := range slices.Sorted(maps.Keys(f.demand.ZoneBoundCores)) {
		shortfall := f.demand.ZoneBoundCores[zone] - f.freeForReplicas[zone]
		if shortfall <= 0 {
			continue
		}
		totalShortfall += shortfall
		inZone := slices.DeleteFunc(f.offerings(false), func(offered offering) bool { return offered.zone != zone })
		f.requestCores(inZone, shortfall)
		f.plan.CancelDrainZones = append(f.plan.CancelDrainZones, zone)
	}
	f.neededOnDemandCores -= totalShortfall
}

// scaleOutOnDemand requests the missing on-demand instances, in the zones with the fewest cores
// first. If none are missing, it requests what a service spread over zones needs outside the
// largest zone.
func (f *costSavingPass) scaleOutOnDemand() {
	if shortfall := f.neededOnDemandCores - f.onDemandCores; shortfall > 0 {
		offerings := f.offerings(false)
		slices.SortStableFunc(offerings, func(a, b offering) int {
			return cmp.Compare(f.onDemandByZone[a.zone], f.onDemandByZone[b.zone])
		})
		f.requestCores(offerings, shortfall)
		f.plan.CancelDrains = true
		return
	}
	if largest, second := f.freeForReplicas.largestTwo(); second < f.demand.SecondZoneCores {
		f.scaleOutElsewhere(largest, f.demand.SecondZoneCores-second)
	}
}

// scaleOutElsewhere requests on-demand instances outside a zone and cancels the drains there.
// Instances in the zone itself do not help.
func (f *costSavingPass) scaleOutElsewhere(zone string, cores float64) {
	elsewhere := slices.DeleteFunc(f.offerings(false), func(offered offering) bool { return offered.zone == zone })
	f.requestCores(elsewhere, cores)
	for other := range f.onDemandByZone {
		if other != zone && !slices.Contains(f.plan.CancelDrainZones, other) {
			f.plan.CancelDrainZones = append(f.plan.CancelDrainZones, other)
		}
	}
}

// scaleOutSpot requests the missing spot instances. If none can be requested, it requests on-demand
// ones, but only for the queued urgent work that exceeds the available cores: those take on the
// rest in about the time that an instance needs to boot.
func (f *costSavingPass) scaleOutSpot(availableCores float64) {
	shortfall := f.neededSpotCores - availableCores
	if shortfall <= 0 {
		return
	}
	if offerings := f.offerings(true); len(offerings) > 0 {
		f.requestCores(offerings, shortfall)
	} else if urgentShortfall := min(f.demand.QueuedCores, f.demand.UrgentCores) - availableCores; urgentShortfall > 0 {
		f.requestCores(f.offerings(false), min(shortfall, urgentShortfall))
	}
	f.plan.CancelDrains = true
}

// scaleIn releases surplus instances that are idle, and drains surplus ones that are busy.
func (f *costSavingPass) scaleIn() {
	candidates := f.scaleInCandidates()
	drainLimit := maxDraining(len(candidates))
	for _, instance := range candidates {
		instanceType := f.types[instance.InstanceType]
		idle := f.idleLongEnough(instance, instanceType)
		if f.mustKeep(instance, instanceType.CPUs) || !idle && !f.drainable(instance, drainLimit) {
			continue
		}
		if instance.Spot {
			f.spotCores -= instanceType.CPUs
		} else {
			f.onDemandCores -= instanceType.CPUs
			f.freeForReplicas[instance.Zone] -= instanceType.CPUs
		}
		if idle {
			f.plan.Release = append(f.plan.Release, instance.Name)
		} else {
			f.plan.Drain = append(f.plan.Drain, instance.Name)
			f.drainingInstances++
		}
	}
}

// scaleInCandidates returns the instances that are up and neither draining nor to be released: the
// highest price per core first, then the fewest replicas to move.
func (f *costSavingPass) scaleInCandidates() []Instance {
	candidates := slices.DeleteFunc(slices.Clone(f.instances), func(instance Instance) bool {
		return f.types[instance.InstanceType] == nil || instance.Releasing || instance.Draining || !instance.Up
	})
	slices.SortFunc(candidates, func(a, b Instance) int {
		priceA, priceB := a.pricePerCore(f.types[a.InstanceType]), b.pricePerCore(f.types[b.InstanceType])
		return cmp.Or(-cmp.Compare(priceA, priceB), cmp.Compare(a.Replicas, b.Replicas), cmp.Compare(a.Name, b.Name))
	})
	return candidates
}

// mustKeep reports whether the capacity without an instance would be too small: in total, on-demand,
// in a second zone, or for the replicas of a lost zone.
func (f *costSavingPass) mustKeep(instance Instance, cores float64) bool {
	if f.onDemandCores+f.spotCores-cores < f.neededOnDemandCores+f.scaleInMarginCores {
		return true
	}
	if instance.Spot {
		return false
	}
	return f.onDemandCores-cores < f.neededOnDemandCores ||
		f.freeForReplicas.leavesSecondShort(instance.Zone, cores, f.demand.SecondZoneCores) ||
		releaseWorsensShortfall(f.planner.settings, f.demand.FailoverCores, f.freeForReplicas, instance, cores)
}

// drainable reports whether a busy instance may be drained now. CanMoveReplicas is called last, as
// it reserves places for the replicas.
func (f *costSavingPass) drainable(instance Instance, drainLimit int) bool {
	minAge := minDrainAge * settings.Seconds(f.types[instance.InstanceType].BootSeconds)
	return f.drainingInstances < drainLimit && f.now.Sub(instance.RequestedAt) >= minAge &&
		(instance.Replicas == 0 || instance.CanMoveReplicas())
}

// failoverShortfall calls the function of the same name with the demand and capacity of this pass.
func (f *costSavingPass) failoverShortfall() (zone string, shortfall float64) {
	return failoverShortfall(f.planner.settings, f.demand.FailoverCores, f.freeForReplicas)
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
