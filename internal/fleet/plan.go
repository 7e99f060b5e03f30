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

// Machine is a rented machine as the plan sees it.
type Machine struct {
	Name    string
	Flavor  string
	Zone    string
	Loaners bool
	Up      bool      // its worker reports
	Booting bool      // neither does it, nor is it listed as running
	Idle    time.Time // since when nothing is on it; zero: busy or not up
	Leaving bool      // it is to go whatever the need
	CutOff  bool      // it is behind a cut: not counted on, but not returned

	Asked    time.Time // when it was rented, as far as is known
	Draining bool      // it takes no new tasks, and goes once empty
	Replicas int
	Taken    float64 // cores that replicas take of it
	// Movable tells whether every replica on it has a warm place elsewhere,
	// and keeps the places. It looks at every room, so it is asked only of a
	// machine that would be drained.
	Movable func() bool
}

// Need is the work on hand, in cores.
type Need struct {
	Steady     float64            // work that may not run on spot machines
	Passing    float64            // work that may
	Queue      float64            // the part of it that waits now
	Paced      float64            // the part of it that must run at once to be in time
	Largest    float64            // the largest service on hand: the next one may be like it
	Spread     float64            // what the largest one that is spread may not have in one zone
	Only       map[string]float64 // waiting work that no other zone may take
	Exposed    map[string]float64 // what replicas take of a zone and others would take
	SteadyJobs int
	Ahead      float64 // limits of the teams whose work is rented ahead for
	Tasks      []Shape // shapes of tasks on hand
	Waiting    []Shape // of tasks that may run anywhere and wait within their teams' limits
}

// Shape is what a task takes and where it may run.
type Shape struct {
	Cores, Accel, RAM float64
	Flavors           []string
	Zone              string
	Loaners           bool
	Weight            float64 // cores of such tasks on hand
}

// Fits tells whether a task fits an empty machine of a type.
func (s Shape) Fits(t *wire.InstanceType) bool {
	return s.Cores <= t.CPUs && s.Accel <= t.GPUs && s.RAM <= t.MemoryGB &&
		(len(s.Flavors) == 0 || slices.Contains(s.Flavors, t.Name))
}

// holds is how many tasks an empty machine of a type holds.
func (s Shape) holds(t *wire.InstanceType) float64 {
	n := math.Inf(1)
	for _, q := range [][2]float64{{t.CPUs, s.Cores}, {t.GPUs, s.Accel}, {t.MemoryGB, s.RAM}} {
		if q[1] > 0 {
			n = min(n, math.Floor(q[0]/q[1]+1e-6))
		}
	}
	return n
}

// usable is the share of a type's cores that the tasks on hand can use, each
// shape alone and by its weight.
func (n Need) usable(t *wire.InstanceType, loaners bool) float64 {
	sum, weight := 0.0, 0.0
	for _, s := range n.Tasks {
		if s.Loaners != loaners {
			continue
		}
		weight += s.Weight
		if s.Fits(t) && s.Cores > 0 {
			sum += s.Weight * s.holds(t) * s.Cores / t.CPUs
		}
	}
	if weight == 0 || sum == 0 {
		return 1
	}
	return sum / weight
}

// offer is a type, zone and kind that can be rented.
type offer struct {
	flavor, zone string
	loaners      bool
}

type refusal struct {
	until time.Time
	times int
}

// Planner decides what to rent and what to return.
type Planner struct {
	set     *settings.Settings
	epoch   uint64
	asks    int
	refused map[offer]refusal
	passing float64 // smoothed need
	last    time.Time
}

// NewPlanner makes a planner; the epoch keeps its request names unique.
func NewPlanner(set *settings.Settings, epoch uint64) *Planner {
	return &Planner{set: set, epoch: epoch, refused: make(map[offer]refusal)}
}

// Ask names a request. The epoch is this leader's alone, so no name is ever
// used twice.
func (p *Planner) Ask() string {
	p.asks++
	return fmt.Sprintf("%s-%d-%d", p.set.Node, p.epoch, p.asks)
}

// Answered notes how a request went.
func (p *Planner) Answered(r wire.ScaleOutRequest, got int, now time.Time) {
	o := offer{r.InstanceType, r.Zone, r.Spot}
	if got >= r.Count {
		delete(p.refused, o)
		return
	}
	f := p.refused[o]
	f.times = min(f.times+1, 4)
	f.until = now.Add(p.set.Report() * time.Duration(1<<f.times))
	p.refused[o] = f
}

// Returned notes that a machine was returned: another like it may be had now.
func (p *Planner) Returned(m Machine) {
	delete(p.refused, offer{m.Flavor, m.Zone, m.Loaners})
}

// Plan is what to do about the fleet.
type Plan struct {
	Rents []wire.ScaleOutRequest
	Leave []string // machines to return
	Drain []string // machines that take no new tasks from now on
	Keep  bool     // machines draining are needed after all
	Wide  []string // zones in which they are, though not elsewhere
	Freed bool     // machines draining are needed again once their replicas are gone
}

// Plan decides what to rent and what to return.
func (p *Planner) Plan(types map[string]*wire.InstanceType, ms []Machine, need Need, now time.Time) Plan {
	ms = slices.DeleteFunc(slices.Clone(ms), func(m Machine) bool { return m.CutOff })
	if need.Ahead == 0 && p.set.Frugal() {
		return p.frugal(types, ms, need, now)
	}
	plan := Plan{Rents: p.ample(types, ms, need, now), Drain: p.crowded(types, ms, need), Freed: true}
	if len(need.Tasks) == 0 {
		for _, m := range ms {
			if t := types[m.Flavor]; t != nil && p.idle(m, t, now) {
				plan.Leave = append(plan.Leave, m.Name)
			}
		}
	}
	return plan
}

// idle tells whether a machine has had nothing to do for long enough.
func (p *Planner) idle(m Machine, t *wire.InstanceType, now time.Time) bool {
	return !m.Leaving && !m.Idle.IsZero() &&
		now.Sub(m.Idle) >= time.Duration(p.set.Operator.Fleet.Idle*float64(settings.Seconds(t.BootSeconds)))
}

// offers lists what can be rented now and would serve some task, the cheapest
// first by the cores that the tasks on hand can use.
func (p *Planner) offers(types map[string]*wire.InstanceType, loaners bool, need Need, now time.Time) []offer {
	var os []offer
	for _, t := range types {
		if t.CPUs <= 0 || !slices.ContainsFunc(need.Tasks, func(s Shape) bool { return s.Fits(t) && (s.Loaners || !loaners) }) {
			continue
		}
		for _, z := range t.Zones {
			if o := (offer{t.Name, z, loaners}); !now.Before(p.refused[o].until) {
				os = append(os, o)
			}
		}
	}
	price := func(o offer) float64 {
		t := types[o.flavor]
		rate := t.PricePerHour
		if loaners {
			rate = t.SpotPricePerHour
		}
		return rate / (t.CPUs * need.usable(t, loaners))
	}
	slices.SortFunc(os, func(a, b offer) int {
		return cmp.Or(cmp.Compare(price(a), price(b)), cmp.Compare(a.flavor, b.flavor), cmp.Compare(a.zone, b.zone))
	})
	return os
}

// ample rents ahead of need, up to what the teams may ever use whose work is
// worth it, and for the rest of the work on hand.
func (p *Planner) ample(types map[string]*wire.InstanceType, ms []Machine, need Need, now time.Time) []wire.ScaleOutRequest {
	limit := need.Ahead + (need.Steady+need.Passing)*(1+p.set.Operator.Fleet.Spare)
	for _, m := range ms {
		if t := types[m.Flavor]; t != nil && !m.Leaving {
			limit -= t.CPUs
		}
	}
	var rents []wire.ScaleOutRequest
	for _, loaners := range []bool{false, true} {
		for _, o := range p.offers(types, loaners, need, now) {
			n := min(50, int(limit/types[o.flavor].CPUs))
			if n <= 0 {
				continue
			}
			rents = append(rents, wire.ScaleOutRequest{RequestID: p.Ask(), InstanceType: o.flavor, Zone: o.zone, Spot: loaners, Count: n})
		}
	}
	return rents
}

// crowded are machines that a few replicas keep from tasks that wait: with those
// moved to smaller machines, which such tasks do not fit, there is room for more of
// them. Those that give up the least for it go first, a few at a time.
func (p *Planner) crowded(types map[string]*wire.InstanceType, ms []Machine, need Need) []string {
	type gain struct {
		m     *Machine
		price float64 // replicas' cores moved for each task more
	}
	var gains []gain
	draining := 0
	for i := range ms {
		m := &ms[i]
		t := types[m.Flavor]
		if m.Draining {
			draining++
		}
		if t == nil || !m.Up || m.Leaving || m.Draining || m.Replicas == 0 {
			continue
		}
		for _, s := range need.Waiting {
			if !s.Fits(t) || s.Cores <= 0 {
				continue
			}
			if n := s.holds(t) - math.Floor((t.CPUs-m.Taken)/s.Cores+1e-6); n >= 1 {
				gains = append(gains, gain{m, m.Taken / n})
				break
			}
		}
	}
	slices.SortFunc(gains, func(a, b gain) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.m.Name, b.m.Name))
	})
	var out []string
	few := max(2, len(ms)/32)
	for _, g := range gains {
		if draining+len(out) >= few {
			break
		}
		if g.m.Movable() {
			out = append(out, g.m.Name)
		}
	}
	return out
}

// frugal rents for the work on hand and a spare share, on spot machines where
// the work may, and returns what stands idle. Machines that are more than the
// need are drained, the dearest core first, since a few replicas on each would
// otherwise keep them all.
func (p *Planner) frugal(types map[string]*wire.InstanceType, ms []Machine, need Need, now time.Time) (plan Plan) {
	p.smooth(need, now)
	spare := 1 + p.set.Operator.Fleet.Spare
	steady := need.Steady + max(need.Largest, p.spare(need.SteadyJobs)*need.Steady)
	passing := max(need.Paced, p.passing) * spare
	// What is drained may be wanted again before another is up: let go of it
	// only when well above the need.
	ebb := spare * passing

	var firm, spot, ebbing float64
	perZone := make(map[string]float64)
	free := make(zones) // firm room that replicas could have
	draining := 0
	for _, m := range ms {
		t := types[m.Flavor]
		if t == nil || m.Leaving || p.overdue(m, t, now) {
			continue
		}
		if m.Draining {
			draining++
			ebbing += t.CPUs
			if !m.Idle.IsZero() {
				plan.Leave = append(plan.Leave, m.Name)
			}
			continue
		}
		if m.Loaners {
			spot += t.CPUs
		} else {
			firm += t.CPUs
			perZone[m.Zone] += t.CPUs
			free[m.Zone] += t.CPUs - m.Taken
		}
	}

	steady -= p.confined(&plan, types, need, free, now)
	room := spot + max(0, firm-steady) // for passing work
	if (firm < steady || room < passing) && ebbing > 0 {
		plan.Keep = true // what drains is at hand at once
		return plan
	}
	if lack := steady - firm; lack > 0 {
		os := p.offers(types, false, need, now)
		// Spread over zones: the zone with the least goes first.
		slices.SortStableFunc(os, func(a, b offer) int { return cmp.Compare(perZone[a.zone], perZone[b.zone]) })
		plan.Rents = p.fill(plan.Rents, os, types, lack, false)
		plan.Keep = true
	} else if top, second := free.best(); second < need.Spread {
		plan.elsewhere(p, types, need, now, perZone, top, need.Spread-second)
	}
	if zone, lack := p.exposed(need.Exposed, free); lack > 0 {
		plan.elsewhere(p, types, need, now, perZone, zone, lack)
	}
	if lack := passing - room; lack > 0 {
		os := p.offers(types, true, need, now)
		if len(os) > 0 {
			plan.Rents = p.fill(plan.Rents, os, types, lack, true)
		} else if over := min(need.Queue, need.Paced) - room; over > 0 {
			// Firm machines for such work only when the queue is longer than
			// what the room there is takes on in about a boot's time, and
			// would be late.
			plan.Rents = p.fill(plan.Rents, p.offers(types, false, need, now), types, min(lack, over), false)
		}
		plan.Keep = true
	}
	if plan.Keep {
		return plan
	}

	price := func(m Machine) float64 {
		t := types[m.Flavor]
		if m.Loaners {
			return t.SpotPricePerHour / t.CPUs
		}
		return t.PricePerHour / t.CPUs
	}
	over := slices.DeleteFunc(slices.Clone(ms), func(m Machine) bool {
		t := types[m.Flavor]
		return t == nil || m.Leaving || m.Draining || !m.Up
	})
	slices.SortFunc(over, func(a, b Machine) int {
		return cmp.Or(-cmp.Compare(price(a), price(b)), cmp.Compare(a.Replicas, b.Replicas), cmp.Compare(a.Name, b.Name))
	})
	few := max(2, len(over)/32) // draining at once
	for _, m := range over {
		t := types[m.Flavor]
		idle := p.idle(m, t, now)
		if firm+spot-t.CPUs < steady+ebb || !m.Loaners && (firm-t.CPUs < steady || free.pinches(m.Zone, t.CPUs, need.Spread)) ||
			!m.Loaners && p.bares(need.Exposed, free, m, t.CPUs) ||
			!idle && (draining >= few || now.Sub(m.Asked) < 3*settings.Seconds(t.BootSeconds) || m.Replicas > 0 && !m.Movable()) {
			continue
		}
		if m.Loaners {
			spot -= t.CPUs
		} else {
			firm -= t.CPUs
			free[m.Zone] -= t.CPUs
		}
		if idle {
			plan.Leave = append(plan.Leave, m.Name)
		} else {
			plan.Drain = append(plan.Drain, m.Name)
			draining++
		}
	}
	return plan
}

// confined rents where work waits that no other zone may take. It returns how much of it
// there is no room for as yet: machines elsewhere are of no use to it, and are not to be
// kept or rented for it.
func (p *Planner) confined(plan *Plan, types map[string]*wire.InstanceType, need Need, free zones, now time.Time) (lacks float64) {
	for _, z := range slices.Sorted(maps.Keys(need.Only)) {
		lack := need.Only[z] - free[z]
		if lack <= 0 {
			continue
		}
		lacks += lack
		os := slices.DeleteFunc(p.offers(types, false, need, now), func(o offer) bool { return o.zone != z })
		plan.Rents = p.fill(plan.Rents, os, types, lack, false)
		plan.Wide = append(plan.Wide, z)
	}
	return lacks
}

// elsewhere rents firm machines outside a zone, where what drains is needed too. Those of
// the zone itself are no help.
func (plan *Plan) elsewhere(p *Planner, types map[string]*wire.InstanceType, need Need, now time.Time, firm map[string]float64, zone string, lack float64) {
	os := slices.DeleteFunc(p.offers(types, false, need, now), func(o offer) bool { return o.zone == zone })
	plan.Rents = p.fill(plan.Rents, os, types, lack, false)
	for z := range firm {
		if z != zone && !slices.Contains(plan.Wide, z) {
			plan.Wide = append(plan.Wide, z)
		}
	}
}

// exposed is the zone whose loss would leave the most replicas without room, and
// how much they would lack. What may not be elsewhere, since its job has all that is
// allowed there, needs none. A zone with a controller goes on behind a cut: what
// lacks room then is new, and a part of the room will do. What passes on firm
// machines gives its room to replicas, so that the room kept is not idle.
func (p *Planner) exposed(taken, free zones) (zone string, lack float64) {
	total := 0.0
	for _, f := range free {
		total += f
	}
	for _, z := range slices.Sorted(maps.Keys(taken)) {
		share := p.set.Operator.Fleet.Headroom
		if p.set.Covered(z) {
			share *= held
		}
		if l := share*taken[z] - (total - free[z]); l > lack {
			zone, lack = z, l
		}
	}
	return zone, lack
}

// held is the part of a zone's headroom that is kept where a controller holds it.
const held = 0.3

// bares tells whether the loss of a zone would leave replicas without room, or more of
// them, once a machine is gone, its own replicas moved to others. Where they lack room in
// any case, since a zone has no more machines to give, machines that are of no help there
// are not kept for it.
func (p *Planner) bares(taken, free zones, m Machine, cores float64) bool {
	_, before := p.exposed(taken, free)
	free[m.Zone] -= cores
	_, lack := p.exposed(taken, free)
	free[m.Zone] += cores
	return lack > before
}

// zones are amounts by zone.
type zones map[string]float64

// best is the zone with the most, and how much the next has.
func (z zones) best() (top string, second float64) {
	names := slices.SortedFunc(maps.Keys(z), func(a, b string) int { return cmp.Or(-cmp.Compare(z[a], z[b]), cmp.Compare(a, b)) })
	switch len(names) {
	case 0:
		return "", 0
	case 1:
		return names[0], 0
	}
	return names[0], z[names[1]]
}

// pinches tells whether the next-best zone has too little once one has so much less,
// and less than it has now.
func (z zones) pinches(zone string, less, need float64) bool {
	_, before := z.best()
	z[zone] -= less
	_, second := z.best()
	z[zone] += less
	return second < min(need, before)
}

// overdue tells whether a machine takes so long to boot that it may never come
// up: it is not counted on, and another takes its place.
func (p *Planner) overdue(m Machine, t *wire.InstanceType, now time.Time) bool {
	return m.Booting && float64(now.Sub(m.Asked)) > slowBoot*float64(settings.Seconds(t.BootSeconds))
}

// slowBoot is how long machines take to boot at most as a rule, as a ratio to
// ready_s.
const slowBoot = 1.6

// spare is the share of the work on hand that is kept warm beyond it. The more
// jobs there are, the more evenly they come and go: the share falls with the
// square root of their number.
func (p *Planner) spare(jobs int) float64 {
	return p.set.Operator.Fleet.Spare * min(1, math.Sqrt(fewJobs/float64(max(jobs, 1))))
}

// fewJobs is up to how many jobs the whole spare share is kept.
const fewJobs = 64

// smooth follows the need over a few boots, so that machines are not returned
// in a lull and rented again at once.
func (p *Planner) smooth(need Need, now time.Time) {
	if p.last.IsZero() {
		p.last = now
	}
	w := 1 - math.Exp(-now.Sub(p.last).Seconds()/p.set.Lease().Seconds())
	p.last = now
	p.passing += w * (need.Passing - p.passing)
}

// fill asks for so many cores over the offers, in their order.
func (p *Planner) fill(rents []wire.ScaleOutRequest, os []offer, types map[string]*wire.InstanceType, cores float64, loaners bool) []wire.ScaleOutRequest {
	for _, o := range os {
		if cores <= 0 {
			break
		}
		n := min(50, int(math.Ceil(cores/types[o.flavor].CPUs)))
		rents = append(rents, wire.ScaleOutRequest{RequestID: p.Ask(), InstanceType: o.flavor, Zone: o.zone, Spot: loaners, Count: n})
		cores -= float64(n) * types[o.flavor].CPUs
	}
	return rents
}
