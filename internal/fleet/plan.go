package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// Instance is a rented machine as the plan sees it.
type Instance struct {
	Name         string
	InstanceType string
	Zone         string
	Spot         bool
	Up           bool      // its worker reports
	Booting      bool      // neither does it, nor is it listed as running
	IdleSince    time.Time // since when nothing is on it; zero: busy or not up
	Releasing    bool      // it is to go whatever the need
	Partitioned  bool      // it is behind a cut: not counted on, but not returned

	RequestedAt  time.Time // when it was rented, as far as is known
	Draining     bool      // it takes no new tasks, and goes once empty
	Replicas     int
	ReplicaCores float64 // cores that replicas take of it
	// CanMoveReplicas tells whether every replica on it has a warm place elsewhere,
	// and keeps the places. It looks at every room, so it is asked only of a
	// machine that would be drained.
	CanMoveReplicas func() bool
}

// Demand is the work on hand, in cores.
type Demand struct {
	OnDemandCores       float64            // work that may not run on spot machines
	SpotCores           float64            // work that may
	QueuedCores         float64            // the part of it that waits now
	UrgentCores         float64            // the part of it that must run at once to be in time
	LargestServiceCores float64            // the largest service on hand: the next one may be like it
	SecondZoneCores     float64            // what the largest one that is spread may not have in one zone
	ZoneBoundCores      map[string]float64 // waiting work that no other zone may take
	FailoverCores       map[string]float64 // what replicas take of a zone and others would take
	OnDemandJobs        int
	ScaleAheadCores     float64     // limits of the teams whose work is rented ahead for
	TaskShapes          []TaskShape // shapes of tasks on hand
	WaitingShapes       []TaskShape // of tasks that may run anywhere and wait within their teams' limits
}

// TaskShape is what a task takes and where it may run.
type TaskShape struct {
	Cores, Accel, RAM float64
	InstanceTypes     []string
	Zone              string
	SpotAllowed       bool
	Weight            float64 // cores of such tasks on hand
}

// Fits tells whether a task fits an empty machine of a type.
func (s TaskShape) Fits(instanceType *wire.InstanceType) bool {
	return s.Cores <= instanceType.CPUs && s.Accel <= instanceType.GPUs && s.RAM <= instanceType.MemoryGB &&
		(len(s.InstanceTypes) == 0 || slices.Contains(s.InstanceTypes, instanceType.Name))
}

// tasksPerInstance is how many tasks an empty machine of a type holds.
func (s TaskShape) tasksPerInstance(instanceType *wire.InstanceType) float64 {
	count := math.Inf(1)
	for _, resource := range [][2]float64{{instanceType.CPUs, s.Cores}, {instanceType.GPUs, s.Accel}, {instanceType.MemoryGB, s.RAM}} {
		if resource[1] > 0 {
			count = min(count, math.Floor(resource[0]/resource[1]+1e-6))
		}
	}
	return count
}

// usableShare is the share of a type's cores that the tasks on hand can use, each
// shape alone and by its weight.
func (demand Demand) usableShare(instanceType *wire.InstanceType, spot bool) float64 {
	sum, weight := 0.0, 0.0
	for _, shape := range demand.TaskShapes {
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

// offering is a type, zone and kind that can be rented.
type offering struct {
	instanceType, zone string
	spot               bool
}

type refusal struct {
	retryAt time.Time
	count   int
}

// Planner decides what to rent and what to return.
type Planner struct {
	settings          *settings.Settings
	epoch             uint64
	requests          int
	refused           map[offering]refusal
	smoothedSpotCores float64 // smoothed need
	smoothedAt        time.Time
}

// NewPlanner makes a planner; the epoch keeps its request names unique.
func NewPlanner(config *settings.Settings, epoch uint64) *Planner {
	return &Planner{settings: config, epoch: epoch, refused: make(map[offering]refusal)}
}

// NextRequestID names a request. The epoch is this leader's alone, so no name is ever
// used twice.
func (p *Planner) NextRequestID() string {
	p.requests++
	return fmt.Sprintf("%s-%d-%d", p.settings.Node, p.epoch, p.requests)
}

// RecordAnswer notes how a request went.
func (p *Planner) RecordAnswer(request wire.ScaleOutRequest, granted int, now time.Time) {
	offered := offering{request.InstanceType, request.Zone, request.Spot}
	if granted >= request.Count {
		delete(p.refused, offered)
		return
	}
	refused := p.refused[offered]
	refused.count = min(refused.count+1, 4)
	refused.retryAt = now.Add(p.settings.Report() * time.Duration(1<<refused.count))
	p.refused[offered] = refused
}

// RecordRelease notes that a machine was returned: another like it may be had now.
func (p *Planner) RecordRelease(instance Instance) {
	delete(p.refused, offering{instance.InstanceType, instance.Zone, instance.Spot})
}

// Plan is what to do about the fleet.
type Plan struct {
	ScaleOut         []wire.ScaleOutRequest
	Release          []string // machines to return
	Drain            []string // machines that take no new tasks from now on
	CancelDrains     bool     // machines draining are needed after all
	CancelDrainZones []string // zones in which they are, though not elsewhere
	ReuseDrained     bool     // machines draining are needed again once their replicas are gone
}

// Plan decides what to rent and what to return.
func (p *Planner) Plan(types map[string]*wire.InstanceType, instances []Instance, demand Demand, now time.Time) Plan {
	instances = slices.DeleteFunc(slices.Clone(instances), func(instance Instance) bool { return instance.Partitioned })
	if demand.ScaleAheadCores == 0 && p.settings.Frugal() {
		return p.planFrugal(types, instances, demand, now)
	}
	plan := Plan{ScaleOut: p.scaleOutAhead(types, instances, demand, now), Drain: p.blockedByReplicas(types, instances, demand), ReuseDrained: true}
	if len(demand.TaskShapes) == 0 {
		for _, instance := range instances {
			if instanceType := types[instance.InstanceType]; instanceType != nil && p.idleLongEnough(instance, instanceType, now) {
				plan.Release = append(plan.Release, instance.Name)
			}
		}
	}
	return plan
}

// idleLongEnough tells whether a machine has had nothing to do for long enough.
func (p *Planner) idleLongEnough(instance Instance, instanceType *wire.InstanceType, now time.Time) bool {
	return !instance.Releasing && !instance.IdleSince.IsZero() &&
		now.Sub(instance.IdleSince) >= time.Duration(p.settings.Operator.Fleet.Idle*float64(settings.Seconds(instanceType.BootSeconds)))
}

// offerings lists what can be rented now and would serve some task, the cheapest
// first by the cores that the tasks on hand can use.
func (p *Planner) offerings(types map[string]*wire.InstanceType, spot bool, demand Demand, now time.Time) []offering {
	var found []offering
	for _, t := range types {
		if t.CPUs <= 0 || !slices.ContainsFunc(demand.TaskShapes, func(s TaskShape) bool { return s.Fits(t) && (s.SpotAllowed || !spot) }) {
			continue
		}
		for _, z := range t.Zones {
			if o := (offering{t.Name, z, spot}); !now.Before(p.refused[o].retryAt) {
				found = append(found, o)
			}
		}
	}
	price := func(o offering) float64 {
		t := types[o.instanceType]
		rate := t.PricePerHour
		if spot {
			rate = t.SpotPricePerHour
		}
		return rate / (t.CPUs * demand.usableShare(t, spot))
	}
	slices.SortFunc(found, func(a, b offering) int {
		return cmp.Or(cmp.Compare(price(a), price(b)), cmp.Compare(a.instanceType, b.instanceType), cmp.Compare(a.zone, b.zone))
	})
	return found
}

// scaleOutAhead rents ahead of need, up to what the teams may ever use whose work is
// worth it, and for the rest of the work on hand.
func (p *Planner) scaleOutAhead(types map[string]*wire.InstanceType, instances []Instance, demand Demand, now time.Time) []wire.ScaleOutRequest {
	limit := demand.ScaleAheadCores + (demand.OnDemandCores+demand.SpotCores)*(1+p.settings.Operator.Fleet.Spare)
	for _, m := range instances {
		if t := types[m.InstanceType]; t != nil && !m.Releasing {
			limit -= t.CPUs
		}
	}
	var requests []wire.ScaleOutRequest
	for _, spot := range []bool{false, true} {
		for _, o := range p.offerings(types, spot, demand, now) {
			n := min(50, int(limit/types[o.instanceType].CPUs))
			if n <= 0 {
				continue
			}
			requests = append(requests, wire.ScaleOutRequest{RequestID: p.NextRequestID(), InstanceType: o.instanceType, Zone: o.zone, Spot: spot, Count: n})
		}
	}
	return requests
}

// blockedByReplicas are machines that a few replicas keep from tasks that wait: with those
// moved to smaller machines, which such tasks do not fit, there is room for more of
// them. Those that give up the least for it go first, a few at a time.
func (p *Planner) blockedByReplicas(types map[string]*wire.InstanceType, instances []Instance, demand Demand) []string {
	type gain struct {
		m     *Instance
		price float64 // replicas' cores moved for each task more
	}
	var gains []gain
	draining := 0
	for i := range instances {
		m := &instances[i]
		t := types[m.InstanceType]
		if m.Draining {
			draining++
		}
		if t == nil || !m.Up || m.Releasing || m.Draining || m.Replicas == 0 {
			continue
		}
		for _, s := range demand.WaitingShapes {
			if !s.Fits(t) || s.Cores <= 0 {
				continue
			}
			if n := s.tasksPerInstance(t) - math.Floor((t.CPUs-m.ReplicaCores)/s.Cores+1e-6); n >= 1 {
				gains = append(gains, gain{m, m.ReplicaCores / n})
				break
			}
		}
	}
	slices.SortFunc(gains, func(a, b gain) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.m.Name, b.m.Name))
	})
	var names []string
	maxDraining := max(2, len(instances)/32)
	for _, g := range gains {
		if draining+len(names) >= maxDraining {
			break
		}
		if g.m.CanMoveReplicas() {
			names = append(names, g.m.Name)
		}
	}
	return names
}

// planFrugal rents for the work on hand and a spare share, on spot machines where
// the work may, and returns what stands idle. Machines that are more than the
// need are drained, the dearest core first, since a few replicas on each would
// otherwise keep them all.
func (p *Planner) planFrugal(types map[string]*wire.InstanceType, instances []Instance, demand Demand, now time.Time) (plan Plan) {
	p.smooth(demand, now)
	spare := 1 + p.settings.Operator.Fleet.Spare
	onDemandNeed := demand.OnDemandCores + max(demand.LargestServiceCores, p.spareShare(demand.OnDemandJobs)*demand.OnDemandCores)
	spotNeed := max(demand.UrgentCores, p.smoothedSpotCores) * spare
	// What is drained may be wanted again before another is up: let go of it
	// only when well above the need.
	scaleInMargin := spare * spotNeed

	var onDemand, spot, drainingCores float64
	perZone := make(map[string]float64)
	free := make(zoneCores) // firm room that replicas could have
	draining := 0
	for _, m := range instances {
		t := types[m.InstanceType]
		if t == nil || m.Releasing || p.bootOverdue(m, t, now) {
			continue
		}
		if m.Draining {
			draining++
			drainingCores += t.CPUs
			if !m.IdleSince.IsZero() {
				plan.Release = append(plan.Release, m.Name)
			}
			continue
		}
		if m.Spot {
			spot += t.CPUs
		} else {
			onDemand += t.CPUs
			perZone[m.Zone] += t.CPUs
			free[m.Zone] += t.CPUs - m.ReplicaCores
		}
	}

	onDemandNeed -= p.scaleOutZoneBound(&plan, types, demand, free, now)
	available := spot + max(0, onDemand-onDemandNeed) // for passing work
	if (onDemand < onDemandNeed || available < spotNeed) && drainingCores > 0 {
		plan.CancelDrains = true // what drains is at hand at once
		return plan
	}
	if lack := onDemandNeed - onDemand; lack > 0 {
		os := p.offerings(types, false, demand, now)
		// Spread over zones: the zone with the least goes first.
		slices.SortStableFunc(os, func(a, b offering) int { return cmp.Compare(perZone[a.zone], perZone[b.zone]) })
		plan.ScaleOut = p.requestCores(plan.ScaleOut, os, types, lack, false)
		plan.CancelDrains = true
	} else if top, second := free.largestTwo(); second < demand.SecondZoneCores {
		plan.scaleOutElsewhere(p, types, demand, now, perZone, top, demand.SecondZoneCores-second)
	}
	if zone, lack := p.failoverShortfall(demand.FailoverCores, free); lack > 0 {
		plan.scaleOutElsewhere(p, types, demand, now, perZone, zone, lack)
	}
	if lack := spotNeed - available; lack > 0 {
		os := p.offerings(types, true, demand, now)
		if len(os) > 0 {
			plan.ScaleOut = p.requestCores(plan.ScaleOut, os, types, lack, true)
		} else if over := min(demand.QueuedCores, demand.UrgentCores) - available; over > 0 {
			// Firm machines for such work only when the queue is longer than
			// what the room there is takes on in about a boot's time, and
			// would be late.
			plan.ScaleOut = p.requestCores(plan.ScaleOut, p.offerings(types, false, demand, now), types, min(lack, over), false)
		}
		plan.CancelDrains = true
	}
	if plan.CancelDrains {
		return plan
	}

	price := func(m Instance) float64 {
		t := types[m.InstanceType]
		if m.Spot {
			return t.SpotPricePerHour / t.CPUs
		}
		return t.PricePerHour / t.CPUs
	}
	over := slices.DeleteFunc(slices.Clone(instances), func(m Instance) bool {
		t := types[m.InstanceType]
		return t == nil || m.Releasing || m.Draining || !m.Up
	})
	slices.SortFunc(over, func(a, b Instance) int {
		return cmp.Or(-cmp.Compare(price(a), price(b)), cmp.Compare(a.Replicas, b.Replicas), cmp.Compare(a.Name, b.Name))
	})
	maxDraining := max(2, len(over)/32) // draining at once
	for _, m := range over {
		t := types[m.InstanceType]
		idle := p.idleLongEnough(m, t, now)
		if onDemand+spot-t.CPUs < onDemandNeed+scaleInMargin || !m.Spot && (onDemand-t.CPUs < onDemandNeed || free.leavesSecondShort(m.Zone, t.CPUs, demand.SecondZoneCores)) ||
			!m.Spot && p.releaseWorsensShortfall(demand.FailoverCores, free, m, t.CPUs) ||
			!idle && (draining >= maxDraining || now.Sub(m.RequestedAt) < 3*settings.Seconds(t.BootSeconds) || m.Replicas > 0 && !m.CanMoveReplicas()) {
			continue
		}
		if m.Spot {
			spot -= t.CPUs
		} else {
			onDemand -= t.CPUs
			free[m.Zone] -= t.CPUs
		}
		if idle {
			plan.Release = append(plan.Release, m.Name)
		} else {
			plan.Drain = append(plan.Drain, m.Name)
			draining++
		}
	}
	return plan
}

// scaleOutZoneBound rents where work waits that no other zone may take. It returns how much of it
// there is no room for as yet: machines elsewhere are of no use to it, and are not to be
// kept or rented for it.
func (p *Planner) scaleOutZoneBound(plan *Plan, types map[string]*wire.InstanceType, demand Demand, free zoneCores, now time.Time) (shortfall float64) {
	for _, zone := range slices.Sorted(maps.Keys(demand.ZoneBoundCores)) {
		lack := demand.ZoneBoundCores[zone] - free[zone]
		if lack <= 0 {
			continue
		}
		shortfall += lack
		os := slices.DeleteFunc(p.offerings(types, false, demand, now), func(o offering) bool { return o.zone != zone })
		plan.ScaleOut = p.requestCores(plan.ScaleOut, os, types, lack, false)
		plan.CancelDrainZones = append(plan.CancelDrainZones, zone)
	}
	return shortfall
}

// scaleOutElsewhere rents firm machines outside a zone, where what drains is needed too. Those of
// the zone itself are no help.
func (plan *Plan) scaleOutElsewhere(planner *Planner, types map[string]*wire.InstanceType, demand Demand, now time.Time, onDemand map[string]float64, zone string, lack float64) {
	os := slices.DeleteFunc(planner.offerings(types, false, demand, now), func(o offering) bool { return o.zone == zone })
	plan.ScaleOut = planner.requestCores(plan.ScaleOut, os, types, lack, false)
	for z := range onDemand {
		if z != zone && !slices.Contains(plan.CancelDrainZones, z) {
			plan.CancelDrainZones = append(plan.CancelDrainZones, z)
		}
	}
}

// failoverShortfall is the zone whose loss would leave the most replicas without room, and
// how much they would lack. What may not be elsewhere, since its job has all that is
// allowed there, needs none. A zone with a controller goes on behind a cut: what
// lacks room then is new, and a part of the room will do. What passes on firm
// machines gives its room to replicas, so that the room kept is not idle.
func (p *Planner) failoverShortfall(replicaCores, free zoneCores) (zone string, lack float64) {
	total := 0.0
	for _, f := range free {
		total += f
	}
	for _, z := range slices.Sorted(maps.Keys(replicaCores)) {
		share := p.settings.Operator.Fleet.Headroom
		if p.settings.Covered(z) {
			share *= coveredHeadroomShare
		}
		if l := share*replicaCores[z] - (total - free[z]); l > lack {
			zone, lack = z, l
		}
	}
	return zone, lack
}

// coveredHeadroomShare is the part of a zone's headroom that is kept where a controller holds it.
const coveredHeadroomShare = 0.3

// releaseWorsensShortfall tells whether the loss of a zone would leave replicas without room, or more of
// them, once a machine is gone, its own replicas moved to others. Where they lack room in
// any case, since a zone has no more machines to give, machines that are of no help there
// are not kept for it.
func (p *Planner) releaseWorsensShortfall(replicaCores, free zoneCores, instance Instance, cores float64) bool {
	_, before := p.failoverShortfall(replicaCores, free)
	free[instance.Zone] -= cores
	_, after := p.failoverShortfall(replicaCores, free)
	free[instance.Zone] += cores
	return after > before
}

// zoneCores are amounts by zone.
type zoneCores map[string]float64

// largestTwo is the zone with the most, and how much the next has.
func (z zoneCores) largestTwo() (top string, second float64) {
	names := slices.SortedFunc(maps.Keys(z), func(a, b string) int { return cmp.Or(-cmp.Compare(z[a], z[b]), cmp.Compare(a, b)) })
	switch len(names) {
	case 0:
		return "", 0
	case 1:
		return names[0], 0
	}
	return names[0], z[names[1]]
}

// leavesSecondShort tells whether the next-best zone has too little once one has so much less,
// and less than it has now.
func (z zoneCores) leavesSecondShort(zone string, less, need float64) bool {
	_, before := z.largestTwo()
	z[zone] -= less
	_, second := z.largestTwo()
	z[zone] += less
	return second < min(need, before)
}

// bootOverdue tells whether a machine takes so long to boot that it may never come
// up: it is not counted on, and another takes its place.
func (p *Planner) bootOverdue(instance Instance, instanceType *wire.InstanceType, now time.Time) bool {
	return instance.Booting && float64(now.Sub(instance.RequestedAt)) > slowBootRatio*float64(settings.Seconds(instanceType.BootSeconds))
}

// slowBootRatio is how long machines take to boot at most as a rule, as a ratio to
// ready_s.
const slowBootRatio = 1.6

// spareShare is the share of the work on hand that is kept warm beyond it. The more
// jobs there are, the more evenly they come and go: the share falls with the
// square root of their number.
func (p *Planner) spareShare(jobs int) float64 {
	return p.settings.Operator.Fleet.Spare * min(1, math.Sqrt(fullSpareJobs/float64(max(jobs, 1))))
}

// fullSpareJobs is up to how many jobs the whole spare share is kept.
const fullSpareJobs = 64

// smooth follows the need over a few boots, so that machines are not returned
// in a lull and rented again at once.
func (p *Planner) smooth(demand Demand, now time.Time) {
	if p.smoothedAt.IsZero() {
		p.smoothedAt = now
	}
	weight := 1 - math.Exp(-now.Sub(p.smoothedAt).Seconds()/p.settings.Lease().Seconds())
	p.smoothedAt = now
	p.smoothedSpotCores += weight * (demand.SpotCores - p.smoothedSpotCores)
}

// requestCores asks for so many cores over the offers, in their order.
func (p *Planner) requestCores(requests []wire.ScaleOutRequest, offerings []offering, types map[string]*wire.InstanceType, cores float64, spot bool) []wire.ScaleOutRequest {
	for _, o := range offerings {
		if cores <= 0 {
			break
		}
		count := min(50, int(math.Ceil(cores/types[o.instanceType].CPUs)))
		requests = append(requests, wire.ScaleOutRequest{RequestID: p.NextRequestID(), InstanceType: o.instanceType, Zone: o.zone, Spot: spot, Count: count})
		cores -= float64(count) * types[o.instanceType].CPUs
	}
	return requests
}
