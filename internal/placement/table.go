package placement

import (
	"math"
	"time"
)

// Params are the open parameters of the paper's rule.
type Params struct {
	Horizon  float64       // g; the larger, the slower finishes are forgotten
	Bonus    float64       // c1, the factor of the exploration bonus
	RunBound float64       // U, the bound on a task's run time, in ticks
	Tick     time.Duration // the length of one of the paper's time slots
}

// Gamma is γ, the discount per tick: 1 - 8 ln g / g.
func (p Params) Gamma() float64 { return 1 - 8*math.Log(p.Horizon)/p.Horizon }

// Arm is a job type on an instance type, the unit that service rates are learned for.
type Arm struct {
	JobType      string `json:"Type"`
	InstanceType string `json:"Machine"`
}

// armStats are an arm's discounted sums: n is N, the number of finishes, and phi is φ, the
// ticks that they ran.
type armStats struct {
	n, phi       float64
	discountedAt int64 // the tick that n and phi were last discounted to
}

// forgottenBelow is the discounted number of finishes under which an arm is dropped: its
// exploration bonus has long been back at the cap.
const forgottenBelow = 1e-3

// Table holds the service rates learned from finished tasks. It is not safe for concurrent
// use; also the methods that only read discount the sums on the way.
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

// discount brings an arm's sums up to now. Both shrink by γ each tick; doing so on use
// gives the same figures as doing it on every tick.
func (t *Table) discount(stats *armStats, now time.Time) {
	if tick := t.ticks(now); tick > stats.discountedAt {
		factor := math.Pow(t.gamma, float64(tick-stats.discountedAt))
		stats.n *= factor
		stats.phi *= factor
		stats.discountedAt = tick
	}
}

// Finish learns from one finished task. M, its run time in ticks, is at least one as in
// the paper, which keeps the estimate at 1 or below.
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

// Estimate is N/φ, the estimated service rate in tasks per tick, with 0/0 as 0.
func (t *Table) Estimate(arm Arm, now time.Time) float64 {
	stats := t.arms[arm]
	if stats == nil || stats.phi == 0 {
		return 0
	}
	return stats.n / stats.phi // both are discounted alike
}

// Explore is the exploration bonus, min(1, c1 U sqrt(ln g / N)); it is 1 for N = 0.
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

// Weight is the product that the rule maximises: the number of unfinished tasks (the
// paper's queue length Q) times the optimistic service rate, estimate plus bonus.
func (t *Table) Weight(unfinished int, arm Arm, now time.Time) float64 {
	return float64(unfinished) * (t.Estimate(arm, now) + t.Explore(arm, now))
}

// Trim forgets arms of which nothing worth keeping is left, so that the table stays
// bounded however many job types come and go.
func (t *Table) Trim(now time.Time) {
	for arm, stats := range t.arms {
		t.discount(stats, now)
		if stats.n < forgottenBelow {
			delete(t.arms, arm)
		}
	}
}

// RateRow is one arm as the status page shows it.
type RateRow struct {
	Arm      Arm     `json:"Arm"`
	N        float64 `json:"N"`
	Estimate float64 `json:"Estimate"`
	Bonus    float64 `json:"Bonus"`
}

// Rates lists the table in no particular order.
func (t *Table) Rates(now time.Time) []RateRow {
	var rows []RateRow
	for arm, stats := range t.arms {
		t.discount(stats, now)
		rows = append(rows, RateRow{arm, stats.n, t.Estimate(arm, now), t.Explore(arm, now)})
	}
	return rows
}
