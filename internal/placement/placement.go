// Package placement is the rule that decides which job type a freed room
// takes: MaxWeight with discounted UCB. It is pure: the clock is passed in and
// nothing here does I/O.
package placement

import (
	"math"
	"time"
)

// Params are the open parameters of the rule.
type Params struct {
	Horizon  float64       // g(γ)
	Bonus    float64       // c1
	RunBound float64       // U, in ticks
	Tick     time.Duration // paces the discount
}

// Gamma is the discount per tick, 1 - 8 ln g / g.
func (p Params) Gamma() float64 { return 1 - 8*math.Log(p.Horizon)/p.Horizon }

// Arm is a job type on a machine type.
type Arm struct {
	Type    string `json:"Type"`
	Machine string `json:"Machine"`
}

type cell struct {
	n, phi float64
	at     int64 // the tick n and phi were last discounted to
}

// Table holds what was learned from reported finishes.
type Table struct {
	p     Params
	gamma float64
	start time.Time
	cells map[Arm]*cell
}

// NewTable makes an empty table whose ticks count from start.
func NewTable(p Params, start time.Time) *Table {
	return &Table{p: p, gamma: p.Gamma(), start: start, cells: make(map[Arm]*cell)}
}

// ticks converts a time to the table's tick count.
func (t *Table) ticks(now time.Time) int64 {
	return max(0, int64(now.Sub(t.start)/t.p.Tick))
}

// discount brings a cell up to now. Both figures shrink by γ each tick; doing
// it on use gives the same figures as doing it on every tick.
func (t *Table) discount(c *cell, now time.Time) {
	if at := t.ticks(now); at > c.at {
		f := math.Pow(t.gamma, float64(at-c.at))
		c.n *= f
		c.phi *= f
		c.at = at
	}
}

// Finish learns from one finished task. M, its run time in ticks, is at least
// one as in the paper, which keeps the estimate at 1 or below.
func (t *Table) Finish(a Arm, run time.Duration, now time.Time) {
	c := t.cells[a]
	if c == nil {
		c = &cell{at: t.ticks(now)}
		t.cells[a] = c
	}
	t.discount(c, now)
	m := max(1, float64(run)/float64(t.p.Tick))
	w := math.Pow(t.gamma, m-1)
	c.n += w
	c.phi += w * m
}

// Estimate is N over φ, with 0/0 as 0.
func (t *Table) Estimate(a Arm, now time.Time) float64 {
	c := t.cells[a]
	if c == nil || c.phi == 0 {
		return 0
	}
	return c.n / c.phi // both are discounted alike
}

// Explore is the bonus, min(1, c1 U sqrt(ln g / N)); it is 1 for N = 0.
func (t *Table) Explore(a Arm, now time.Time) float64 {
	c := t.cells[a]
	if c == nil {
		return 1
	}
	t.discount(c, now)
	if c.n == 0 {
		return 1
	}
	return min(1, t.p.Bonus*t.p.RunBound*math.Sqrt(math.Log(t.p.Horizon)/c.n))
}

// Weight is the product the rule maximises: unfinished count times the
// optimistic rate.
func (t *Table) Weight(unfinished int, a Arm, now time.Time) float64 {
	return float64(unfinished) * (t.Estimate(a, now) + t.Explore(a, now))
}

// Trim forgets arms of which nothing worth keeping is left, so that the table
// stays bounded however many types come and go.
func (t *Table) Trim(now time.Time) {
	for a, c := range t.cells {
		t.discount(c, now)
		if c.n < 1e-3 {
			delete(t.cells, a)
		}
	}
}

// Row is one arm as an operator sees it.
type Row struct {
	Arm      Arm     `json:"Arm"`
	N        float64 `json:"N"`
	Estimate float64 `json:"Estimate"`
	Bonus    float64 `json:"Bonus"`
}

// Rows lists the table.
func (t *Table) Rows(now time.Time) []Row {
	var rows []Row
	for a, c := range t.cells {
		t.discount(c, now)
		rows = append(rows, Row{a, c.n, t.Estimate(a, now), t.Explore(a, now)})
	}
	return rows
}

// Candidate is a waiting type whose next task fits a room.
type Candidate struct {
	Type   string
	Tier   int           // lower goes first: guarantee, then rank
	Age    time.Duration // how long its oldest task waits
	Weight float64
	Image  bool // the host has the image
}

// Pick chooses among candidates: the lowest tier; in it aged ones, oldest
// first; else the greatest weight, an image on the host deciding among
// weights within nearTie of the greatest. It returns -1 for no candidates.
func Pick(cs []Candidate, aged time.Duration, nearTie float64) int {
	best := -1
	for i, c := range cs {
		if best < 0 || before(c, cs[best], aged) {
			best = i
		}
	}
	if best < 0 || cs[best].Image || cs[best].Age >= aged {
		return best
	}
	top := cs[best]
	for i, c := range cs {
		if c.Tier == top.Tier && c.Image && c.Weight >= top.Weight*(1-nearTie) &&
			(!cs[best].Image || c.Weight > cs[best].Weight) {
			best = i
		}
	}
	return best
}

func before(a, b Candidate, aged time.Duration) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	oldA, oldB := a.Age >= aged, b.Age >= aged
	if oldA != oldB {
		return oldA
	}
	if oldA {
		return a.Age > b.Age
	}
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return a.Type < b.Type
}
