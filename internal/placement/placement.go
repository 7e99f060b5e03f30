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
	JobType      string `json:"Type"`
	InstanceType string `json:"Machine"`
}

type armStats struct {
	n, phi       float64
	discountedAt int64 // the tick n and phi were last discounted to
}

// Table holds what was learned from reported finishes.
type Table struct {
	params Params
	gamma  float64
	start  time.Time
	arms   map[Arm]*armStats
}

// NewTable makes an empty table whose ticks count from start.
func NewTable(p Params, start time.Time) *Table {
	return &Table{params: p, gamma: p.Gamma(), start: start, arms: make(map[Arm]*armStats)}
}

// ticks converts a time to the table's tick count.
func (t *Table) ticks(now time.Time) int64 {
	return max(0, int64(now.Sub(t.start)/t.params.Tick))
}

// discount brings a cell up to now. Both figures shrink by γ each tick; doing
// it on use gives the same figures as doing it on every tick.
func (t *Table) discount(stats *armStats, now time.Time) {
	if tick := t.ticks(now); tick > stats.discountedAt {
		factor := math.Pow(t.gamma, float64(tick-stats.discountedAt))
		stats.n *= factor
		stats.phi *= factor
		stats.discountedAt = tick
	}
}

// Finish learns from one finished task. M, its run time in ticks, is at least
// one as in the paper, which keeps the estimate at 1 or below.
func (t *Table) Finish(arm Arm, run time.Duration, now time.Time) {
	stats := t.arms[arm]
	if stats == nil {
		stats = &armStats{discountedAt: t.ticks(now)}
		t.arms[arm] = stats
	}
	t.discount(stats, now)
	ticks := max(1, float64(run)/float64(t.params.Tick))
	weight := math.Pow(t.gamma, ticks-1)
	stats.n += weight
	stats.phi += weight * ticks
}

// Estimate is N over φ, with 0/0 as 0.
func (t *Table) Estimate(arm Arm, now time.Time) float64 {
	stats := t.arms[arm]
	if stats == nil || stats.phi == 0 {
		return 0
	}
	return stats.n / stats.phi // both are discounted alike
}

// Explore is the bonus, min(1, c1 U sqrt(ln g / N)); it is 1 for N = 0.
func (t *Table) Explore(arm Arm, now time.Time) float64 {
	stats := t.arms[arm]
	if stats == nil {
		return 1
	}
	t.discount(stats, now)
	if stats.n == 0 {
		return 1
	}
	return min(1, t.params.Bonus*t.params.RunBound*math.Sqrt(math.Log(t.params.Horizon)/stats.n))
}

// Weight is the product the rule maximises: unfinished count times the
// optimistic rate.
func (t *Table) Weight(unfinished int, arm Arm, now time.Time) float64 {
	return float64(unfinished) * (t.Estimate(arm, now) + t.Explore(arm, now))
}

// Trim forgets arms of which nothing worth keeping is left, so that the table
// stays bounded however many types come and go.
func (t *Table) Trim(now time.Time) {
	for arm, stats := range t.arms {
		t.discount(stats, now)
		if stats.n < 1e-3 {
			delete(t.arms, arm)
		}
	}
}

// RateRow is one arm as an operator sees it.
type RateRow struct {
	Arm      Arm     `json:"Arm"`
	N        float64 `json:"N"`
	Estimate float64 `json:"Estimate"`
	Bonus    float64 `json:"Bonus"`
}

// Rates lists the table.
func (t *Table) Rates(now time.Time) []RateRow {
	var rows []RateRow
	for arm, stats := range t.arms {
		t.discount(stats, now)
		rows = append(rows, RateRow{arm, stats.n, t.Estimate(arm, now), t.Explore(arm, now)})
	}
	return rows
}

// QueueHead is a waiting type whose next task fits a room.
type QueueHead struct {
	Type     string
	Tier     int           // lower goes first: guarantee, then rank
	Age      time.Duration // how long its oldest task waits
	Weight   float64
	HasImage bool // the host has the image
}

// SelectQueue chooses among candidates: the lowest tier; in it aged ones, oldest
// first; else the greatest weight, an image on the host deciding among
// weights within nearTie of the greatest. It returns -1 for no candidates.
func SelectQueue(heads []QueueHead, agingThreshold time.Duration, nearTie float64) int {
	best := -1
	for i, head := range heads {
		if best < 0 || precedes(head, heads[best], agingThreshold) {
			best = i
		}
	}
	if best < 0 || heads[best].HasImage || heads[best].Age >= agingThreshold {
		return best
	}
	top := heads[best]
	for i, head := range heads {
		if head.Tier == top.Tier && head.HasImage && head.Weight >= top.Weight*(1-nearTie) &&
			(!heads[best].HasImage || head.Weight > heads[best].Weight) {
			best = i
		}
	}
	return best
}

func precedes(a, b QueueHead, agingThreshold time.Duration) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	agedA, agedB := a.Age >= agingThreshold, b.Age >= agingThreshold
	if agedA != agedB {
		return agedA
	}
	if agedA {
		return a.Age > b.Age
	}
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return a.Type < b.Type
}
