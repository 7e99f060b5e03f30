package fleet

import (
	"cmp"
	"fmt"
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
	Idle    time.Time // since when nothing is on it; zero: busy or not up
	Leaving bool      // it is to go whatever the need
}

// Need is the work on hand, in cores.
type Need struct {
	Steady  float64 // work that may not run on spot machines
	Passing float64 // work that may
	Waiting float64 // the part of either that waits now
	Tasks   []Shape // shapes of tasks on hand
}

// Shape is what a task takes and where it may run.
type Shape struct {
	Cores, Accel, RAM float64
	Flavors           []string
	Zone              string
	Loaners           bool
}

// Fits tells whether a task fits an empty machine of a type.
func (s Shape) Fits(t *wire.MachineType) bool {
	return s.Cores <= t.Cores && s.Accel <= t.Accel && s.RAM <= t.RAM &&
		(len(s.Flavors) == 0 || slices.Contains(s.Flavors, t.Label))
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
	steady  float64
	last    time.Time
	began   time.Time
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
func (p *Planner) Answered(r wire.Rent, got int, now time.Time) {
	o := offer{r.Flavor, r.Locale, r.Loaners}
	if got >= r.HowMany {
		delete(p.refused, o)
		return
	}
	f := p.refused[o]
	f.times = min(f.times+1, 4)
	f.until = now.Add(p.set.Report() * time.Duration(1<<f.times))
	p.refused[o] = f
}

// Plan gives the requests to make and the machines to return.
func (p *Planner) Plan(types map[string]*wire.MachineType, ms []Machine, need Need, now time.Time) (rents []wire.Rent, leave []string) {
	if p.set.Frugal() {
		return p.frugal(types, ms, need, now)
	}
	if len(need.Tasks) == 0 {
		for _, m := range ms {
			if t := types[m.Flavor]; t != nil && p.idle(m, t, now) {
				leave = append(leave, m.Name)
			}
		}
	}
	return p.ample(types, ms, need, now), leave
}

// idle tells whether a machine has had nothing to do for long enough.
func (p *Planner) idle(m Machine, t *wire.MachineType, now time.Time) bool {
	return !m.Leaving && !m.Idle.IsZero() &&
		now.Sub(m.Idle) >= time.Duration(p.set.Operator.Fleet.Idle*float64(settings.Seconds(t.ReadyS)))
}

// offers lists what can be rented now and would serve some task, cheapest core
// first.
func (p *Planner) offers(types map[string]*wire.MachineType, loaners bool, need Need, now time.Time) []offer {
	var os []offer
	for _, t := range types {
		if t.Cores <= 0 || !slices.ContainsFunc(need.Tasks, func(s Shape) bool { return s.Fits(t) && (s.Loaners || !loaners) }) {
			continue
		}
		for _, z := range t.Locales {
			if o := (offer{t.Label, z, loaners}); !now.Before(p.refused[o].until) {
				os = append(os, o)
			}
		}
	}
	price := func(o offer) float64 {
		t := types[o.flavor]
		if loaners {
			return t.SpotPrice / t.Cores
		}
		return t.Rate / t.Cores
	}
	slices.SortFunc(os, func(a, b offer) int {
		return cmp.Or(cmp.Compare(price(a), price(b)), cmp.Compare(a.flavor, b.flavor), cmp.Compare(a.zone, b.zone))
	})
	return os
}

// ample rents ahead of need, up to what the teams may ever use: nobody prices
// it.
func (p *Planner) ample(types map[string]*wire.MachineType, ms []Machine, need Need, now time.Time) []wire.Rent {
	limit := 0.0
	for _, t := range p.set.Facts.Teams {
		limit += t.CPUsMax
	}
	for _, m := range ms {
		if t := types[m.Flavor]; t != nil && !m.Leaving {
			limit -= t.Cores
		}
	}
	var rents []wire.Rent
	for _, loaners := range []bool{false, true} {
		for _, o := range p.offers(types, loaners, need, now) {
			n := min(50, int(limit/types[o.flavor].Cores))
			if n <= 0 {
				continue
			}
			rents = append(rents, wire.Rent{Ask: p.Ask(), Flavor: o.flavor, Locale: o.zone, Loaners: loaners, HowMany: n})
		}
	}
	return rents
}

// frugal rents for the work on hand and a spare share, on spot machines where
// the work may, and returns what stands idle.
func (p *Planner) frugal(types map[string]*wire.MachineType, ms []Machine, need Need, now time.Time) ([]wire.Rent, []string) {
	p.smooth(need, now)
	spare := 1 + p.set.Operator.Fleet.Spare
	steady := need.Steady * spare
	passing := max(need.Passing, p.passing) * spare

	var firm, spot float64
	perZone := make(map[string]float64)
	for _, m := range ms {
		t := types[m.Flavor]
		if t == nil || m.Leaving {
			continue
		}
		if m.Loaners {
			spot += t.Cores
		} else {
			firm += t.Cores
			perZone[m.Zone] += t.Cores
		}
	}

	var rents []wire.Rent
	if lack := steady - firm; lack > 0 {
		os := p.offers(types, false, need, now)
		// Spread over zones: the zone with the least goes first.
		slices.SortStableFunc(os, func(a, b offer) int { return cmp.Compare(perZone[a.zone], perZone[b.zone]) })
		rents = p.fill(rents, os, types, lack, false)
	}
	if lack := passing - spot - max(0, firm-steady); lack > 0 {
		os := p.offers(types, true, need, now)
		if len(os) == 0 && need.Waiting > 0 {
			rents = p.fill(rents, p.offers(types, false, need, now), types, min(lack, need.Waiting), false)
		} else {
			rents = p.fill(rents, os, types, lack, true)
		}
	}

	var leave []string
	idle := slices.DeleteFunc(slices.Clone(ms), func(m Machine) bool {
		t := types[m.Flavor]
		return t == nil || !p.idle(m, t, now)
	})
	// The dearest core goes first.
	price := func(m Machine) float64 {
		t := types[m.Flavor]
		if m.Loaners {
			return t.SpotPrice / t.Cores
		}
		return t.Rate / t.Cores
	}
	slices.SortFunc(idle, func(a, b Machine) int {
		return cmp.Or(-cmp.Compare(price(a), price(b)), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range idle {
		c := types[m.Flavor].Cores
		total := firm + spot - c
		if total < steady+passing || (!m.Loaners && firm-c < steady) {
			continue
		}
		if m.Loaners {
			spot -= c
		} else {
			firm -= c
		}
		leave = append(leave, m.Name)
	}
	return rents, leave
}

// smooth follows the need over a few boots, so that machines are not returned
// in a lull and rented again at once.
func (p *Planner) smooth(need Need, now time.Time) {
	if p.last.IsZero() {
		p.last = now
	}
	w := 1 - math.Exp(-now.Sub(p.last).Seconds()/(4*p.set.Lease().Seconds()))
	p.last = now
	p.passing += w * (need.Passing - p.passing)
	p.steady += w * (need.Steady - p.steady)
}

// fill asks for so many cores over the offers, in their order.
func (p *Planner) fill(rents []wire.Rent, os []offer, types map[string]*wire.MachineType, cores float64, loaners bool) []wire.Rent {
	for _, o := range os {
		if cores <= 0 {
			break
		}
		n := min(50, int(math.Ceil(cores/types[o.flavor].Cores)))
		rents = append(rents, wire.Rent{Ask: p.Ask(), Flavor: o.flavor, Locale: o.zone, Loaners: loaners, HowMany: n})
		cores -= float64(n) * types[o.flavor].Cores
	}
	return rents
}
