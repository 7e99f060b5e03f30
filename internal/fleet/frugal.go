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
	// fullSpareJobs is up to how many jobs the whole spare share is kept.
	fullSpareJobs = 64
	// minAgeBoots is how many of its boot times old an instance must be to be drained.
	minAgeBoots = 3
)

// frugalPass plans for the work on hand and a spare share, on spot instances where the work may run
// on them, and releases what is idle. Instances beyond the need are drained, those with the dearest
// cores first, since a few replicas on each would otherwise keep them all.
type frugalPass struct {
	*pass

	// What is needed.
	onDemandNeed float64
	spotNeed     float64
	// scaleInMargin is what is kept beyond onDemandNeed. It is more than spotNeed: what is drained may
	// be needed again before another instance is up.
	scaleInMargin float64

	// What there is, without instances that are on their way out or late to boot.
	onDemandCores   float64
	spotCores       float64
	drainingCores   float64
	draining        int
	onDemandByZone  map[string]float64
	freeForReplicas zoneCores // on-demand cores that replicas could have
}

// newFrugalPass returns a pass that knows what is needed.
func newFrugalPass(current *pass) *frugalPass {
	planner, demand := current.planner, current.demand
	planner.smooth(demand, current.now)
	spare := 1 + planner.settings.Operator.Fleet.SpareCapacity
	spotNeed := max(demand.UrgentCores, planner.smoothedSpotCores) * spare
	return &frugalPass{
		pass: current,
		onDemandNeed: demand.OnDemandCores +
			max(demand.LargestServiceCores, planner.spareShare(demand.OnDemandJobs)*demand.OnDemandCores),
		spotNeed:        spotNeed,
		scaleInMargin:   spare * spotNeed,
		onDemandByZone:  make(map[string]float64),
		freeForReplicas: make(zoneCores),
	}
}

// run decides in order: work that is bound to a zone, draining instances to take back, capacity to
// request, and, only if none is missing, capacity to let go.
func (f *frugalPass) run() Plan {
	f.countCapacity()
	f.scaleOutZoneBound()
	available := f.spotCores + max(0, f.onDemandCores-f.onDemandNeed) // for work that may run on spot
	if (f.onDemandCores < f.onDemandNeed || available < f.spotNeed) && f.drainingCores > 0 {
		f.plan.CancelDrains = true // they are at hand at once, new ones only after booting
		return f.plan
	}
	f.scaleOutOnDemand()
	if zone, lack := f.failoverShortfall(); lack > 0 {
		f.scaleOutElsewhere(zone, lack)
	}
	f.scaleOutSpot(available)
	if !f.plan.CancelDrains {
		f.scaleIn()
	}
	return f.plan
}

// countCapacity sums up what there is, and releases drained instances that are empty.
func (f *frugalPass) countCapacity() {
	for _, instance := range f.instances {
		instanceType := f.types[instance.InstanceType]
		if instanceType == nil || instance.Releasing || instance.bootOverdue(instanceType, f.now) {
			continue
		}
		switch {
		case instance.Draining:
			f.draining++
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

// scaleOutZoneBound requests instances where work waits that no other zone may take. What is
// missing there no longer counts as needed: instances elsewhere are of no use to such work, and are
// not to be requested or kept for it.
func (f *frugalPass) scaleOutZoneBound() {
	shortfall := 0.0
	for _, zone := range slices.Sorted(maps.Keys(f.demand.ZoneBoundCores)) {
		lack := f.demand.ZoneBoundCores[zone] - f.freeForReplicas[zone]
		if lack <= 0 {
			continue
		}
		shortfall += lack
		inZone := slices.DeleteFunc(f.offerings(false), func(offered offering) bool { return offered.zone != zone })
		f.requestCores(inZone, lack)
		f.plan.CancelDrainZones = append(f.plan.CancelDrainZones, zone)
	}
	f.onDemandNeed -= shortfall
}

// scaleOutOnDemand requests the on-demand instances that are missing, in the zones with the fewest
// cores first, or else what a spread service needs outside the largest zone.
func (f *frugalPass) scaleOutOnDemand() {
	if lack := f.onDemandNeed - f.onDemandCores; lack > 0 {
		offerings := f.offerings(false)
		slices.SortStableFunc(offerings, func(a, b offering) int {
			return cmp.Compare(f.onDemandByZone[a.zone], f.onDemandByZone[b.zone])
		})
		f.requestCores(offerings, lack)
		f.plan.CancelDrains = true
		return
	}
	if largest, second := f.freeForReplicas.largestTwo(); second < f.demand.SecondZoneCores {
		f.scaleOutElsewhere(largest, f.demand.SecondZoneCores-second)
	}
}

// scaleOutElsewhere requests on-demand instances outside a zone, where those that drain are needed
// too. Those of the zone itself do not help.
func (f *frugalPass) scaleOutElsewhere(zone string, cores float64) {
	elsewhere := slices.DeleteFunc(f.offerings(false), func(offered offering) bool { return offered.zone == zone })
	f.requestCores(elsewhere, cores)
	for other := range f.onDemandByZone {
		if other != zone && !slices.Contains(f.plan.CancelDrainZones, other) {
			f.plan.CancelDrainZones = append(f.plan.CancelDrainZones, other)
		}
	}
}

// scaleOutSpot requests the spot instances that are missing beyond what is available. If there are
// none to be had, it requests on-demand ones, though only for urgent work that is queued: for as
// much of it as the available cores would not take on in about the time of a boot.
func (f *frugalPass) scaleOutSpot(available float64) {
	lack := f.spotNeed - available
	if lack <= 0 {
		return
	}
	if offerings := f.offerings(true); len(offerings) > 0 {
		f.requestCores(offerings, lack)
	} else if late := min(f.demand.QueuedCores, f.demand.UrgentCores) - available; late > 0 {
		f.requestCores(f.offerings(false), min(lack, late))
	}
	f.plan.CancelDrains = true
}

// scaleIn releases idle instances beyond the need, and drains busy ones.
func (f *frugalPass) scaleIn() {
	candidates := f.scaleInCandidates()
	limit := maxDraining(len(candidates))
	for _, instance := range candidates {
		instanceType := f.types[instance.InstanceType]
		idle := f.idleLongEnough(instance, instanceType)
		if f.needed(instance, instanceType.CPUs) || !idle && !f.drainable(instance, limit) {
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
			f.draining++
		}
	}
}

// scaleInCandidates returns the instances that are up and not on their way out: the dearest core
// first, then those with the fewest replicas to move.
func (f *frugalPass) scaleInCandidates() []Instance {
	candidates := slices.DeleteFunc(slices.Clone(f.instances), func(instance Instance) bool {
		return f.types[instance.InstanceType] == nil || instance.Releasing || instance.Draining || !instance.Up
	})
	slices.SortFunc(candidates, func(a, b Instance) int {
		priceA, priceB := a.pricePerCore(f.types[a.InstanceType]), b.pricePerCore(f.types[b.InstanceType])
		return cmp.Or(-cmp.Compare(priceA, priceB), cmp.Compare(a.Replicas, b.Replicas), cmp.Compare(a.Name, b.Name))
	})
	return candidates
}

// needed reports whether too little would be left without an instance: cores in all, on-demand
// cores, those in a second zone, or those for the replicas of a lost zone.
func (f *frugalPass) needed(instance Instance, cores float64) bool {
	if f.onDemandCores+f.spotCores-cores < f.onDemandNeed+f.scaleInMargin {
		return true
	}
	if instance.Spot {
		return false
	}
	return f.onDemandCores-cores < f.onDemandNeed ||
		f.freeForReplicas.leavesSecondShort(instance.Zone, cores, f.demand.SecondZoneCores) ||
		releaseWorsensShortfall(f.planner.settings, f.demand.FailoverCores, f.freeForReplicas, instance, cores)
}

// drainable reports whether a busy instance may be drained now. The replicas are asked about last,
// since that reserves places for them.
func (f *frugalPass) drainable(instance Instance, maxDraining int) bool {
	minAge := minAgeBoots * settings.Seconds(f.types[instance.InstanceType].BootSeconds)
	return f.draining < maxDraining && f.now.Sub(instance.RequestedAt) >= minAge &&
		(instance.Replicas == 0 || instance.CanMoveReplicas())
}

// failoverShortfall is failoverShortfall for the demand and capacity of this pass.
func (f *frugalPass) failoverShortfall() (zone string, shortfall float64) {
	return failoverShortfall(f.planner.settings, f.demand.FailoverCores, f.freeForReplicas)
}

// spareShare returns the share of the work on hand that is kept beyond it. The more jobs there are,
// the more evenly they come and go: the share falls with the square root of their number.
func (p *Planner) spareShare(jobs int) float64 {
	return p.settings.Operator.Fleet.SpareCapacity * min(1, math.Sqrt(fullSpareJobs/float64(max(jobs, 1))))
}

// smooth follows the demand for spot cores over the time of a few boots, so that instances are not
// released in a lull and requested again at once.
func (p *Planner) smooth(demand Demand, now time.Time) {
	if p.smoothedAt.IsZero() {
		p.smoothedAt = now
	}
	weight := 1 - math.Exp(-now.Sub(p.smoothedAt).Seconds()/p.settings.WorkerLease().Seconds())
	p.smoothedAt = now
	p.smoothedSpotCores += weight * (demand.SpotCores - p.smoothedSpotCores)
}
