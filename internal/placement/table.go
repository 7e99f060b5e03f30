package placement

import (
	"math"
	"time"
)

// Params are the parameters of the paper's rule, with the paper's symbols.
type Params struct {
	Horizon  float64       // g; the larger, the longer finished tasks influence the estimates
	Bonus    float64       // c1, the factor of the exploration bonus
	RunBound float64       // U, the bound on a task's run time, in ticks
	Tick     time.Duration // length of one of the paper's time slots
}

// Gamma returns γ, the discount factor per tick: 1 - 8 ln g / g.
func (p Params) Gamma() float64 { return 1 - 8*math.Log(p.Horizon)/p.Horizon }

// Arm is a job type on an instance type. Service rates are learned per arm.
type Arm struct {
	JobType      string `json:"Type"`
	InstanceType string `json:"Machine"`
}

// armStats are the discounted sums of an arm's finished tasks: finishes is N, their number,
// and runTicks is φ, their run time in ticks.
type armStats struct {
	finishes, runTicks float64
	discountedAt       int64 // tick to which both sums were last discounted
}

// minFinishes is the discounted number of finished tasks below which an arm is dropped: its
// exploration bonus has been at the cap again for a long time.
const minFinishes = 1e-3

// Table holds the service rates learned from finished tasks. It is not safe for concurrent
// use, since even methods that return values update the discounted sums.
type Table struct {
	params Params
	gamma  float64
	start  time.Time
	arms   map[Arm]*armStats
}

// NewTable returns an empty table whose ticks count from start.
func NewTable(params Params, start time.Time) *Table {
	return &Table{params: params, gamma: params.Gamma(), start: start, arms: make(map[Arm]*armStats)}
}

// ticks returns the number of ticks from the table's start to a time.
func (t *Table) ticks(now time.Time) int64 {
	return max(0, int64(now.Sub(t.start)/t.params.Tick))
}

// discount applies the factor γ to an arm's sums for each tick up to now. Doing so when the
// sums are used gives the same values as doing so at every tick.
func (t *Table) discount(stats *armStats, now time.Time) {
	if tick := t.ticks(now); tick > stats.discountedAt {
		factor := math.Pow(t.gamma, float64(tick-stats.discountedAt))
		stats.finishes *= factor
		stats.runTicks *= factor
		stats.discountedAt = tick
	}
}

// RecordFinish adds a finished task. Its run time in ticks, M, is at least 1 as in the paper,
// which keeps the estimate at 1 or below.
func (t *Table) RecordFinish(arm Arm, runTime time.Duration, now time.Time) {
	stats := t.arms[arm]
	if stats == nil {
		stats = &armStats{discountedAt: t.ticks(now)}
		t.arms[arm] = stats
	}
	t.discount(stats, now)
	ticks := max(1, float64(runTime)/float64(t.params.Tick))
	weight := math.Pow(t.gamma, ticks-1)
	stats.finishes += weight
	stats.runTicks += weight * ticks
}

// Estimate returns N/φ, the estimated service rate in tasks per tick, with 0/0 as 0.
func (t *Table) Estimate(arm Arm, now time.Time) float64 {
	stats := t.arms[arm]
	if stats == nil || stats.runTicks == 0 {
		return 0
	}
	return stats.finishes / stats.runTicks // both are discounted by the same factor
}

// ExplorationBonus returns min(1, c1 U sqrt(ln g / N)), and 1 for N = 0.
func (t *Table) ExplorationBonus(arm Arm, now time.Time) float64 {
	stats := t.arms[arm]
	if stats == nil {
		return 1
	}
	t.discount(stats, now)
	if stats.finishes == 0 {
		return 1
	}
	return min(1, t.params.Bonus*t.params.RunBound*math.Sqrt(math.Log(t.params.Horizon)/stats.finishes))
}

// Weight returns the product that the rule maximizes: the number of unfinished tasks (the
// paper's queue length Q) times the optimistic service rate, estimate plus bonus.
func (t *Table) Weight(unfinished int, arm Arm, now time.Time) float64 {
	return float64(unfinished) * (t.Estimate(arm, now) + t.ExplorationBonus(arm, now))
}

// Trim drops arms without recent finished tasks, so that the size of the table stays bounded
// when job types are no longer submitted.
func (t *Table) Trim(now time.Time) {
	for arm, stats := range t.arms {
		t.discount(stats, now)
		if stats.finishes < minFinishes {
			delete(t.arms, arm)
		}
	}
}

// RateRow is the status page's row of one arm.
type RateRow struct {
	Arm      Arm     `json:"Arm"`
	Finishes float64 `json:"N"` // discounted
	Estimate float64 `json:"Estimate"`
	Bonus    float64 `json:"Bonus"`
}

// Rates returns a row for each arm, in no particular order.
func (t *Table) Rates(now time.Time) []RateRow {
	var rows []RateRow
	for arm, stats := range t.arms {
		t.discount(stats, now)
		rows = append(rows, RateRow{arm, stats.finishes, t.Estimate(arm, now), t.ExplorationBonus(arm, now)})
	}
	return rows
}
