package placement

import (
	"math"
	"testing"
	"time"
)

var t0 = time.Unix(1000, 0)

func params() Params { return Params{Horizon: 512, Bonus: 0.05, RunBound: 8, Tick: 10 * time.Second} }

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestTable checks figures worked by hand with γ = 1 - 8 ln 512 / 512.
func TestTable(t *testing.T) {
	const ln512 = 6.238324625039508
	gamma := 1 - 8*ln512/512
	a := Arm{"sweep", "big"}
	type finish struct {
		at  time.Duration // when
		run time.Duration // how long it ran
	}
	for _, tc := range []struct {
		name     string
		finishes []finish
		at       time.Duration
		n, est   float64
	}{
		{"nothing finished: 0/0 is 0", nil, 0, 0, 0},
		{"one tick", []finish{{0, 10 * time.Second}}, 0, 1, 1},
		{"shorter than a tick counts as one", []finish{{0, time.Second}}, 0, 1, 1},
		{"three ticks weigh γ²", []finish{{0, 30 * time.Second}}, 0, gamma * gamma, 1.0 / 3},
		{"two ticks, then discounted for five", []finish{{0, 20 * time.Second}}, 50 * time.Second,
			math.Pow(gamma, 6), 0.5},
		{"a part of a tick discounts nothing", []finish{{0, 10 * time.Second}}, 9 * time.Second, 1, 1},
		{"old and new", []finish{{0, 10 * time.Second}, {20 * time.Second, 20 * time.Second}}, 20 * time.Second,
			gamma*gamma + gamma, (gamma*gamma + gamma) / (gamma*gamma + 2*gamma)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable(params(), t0)
			for _, f := range tc.finishes {
				table.Finish(a, f.run, t0.Add(f.at))
			}
			now := t0.Add(tc.at)
			bonus := 1.0
			if tc.n > 0 {
				bonus = min(1, 0.05*8*math.Sqrt(ln512/tc.n))
			}
			if got := table.Explore(a, now); !near(got, bonus) {
				t.Errorf("bonus %v, want %v", got, bonus)
			}
			if got := table.Estimate(a, now); !near(got, tc.est) {
				t.Errorf("estimate %v, want %v", got, tc.est)
			}
			if got, want := table.Weight(7, a, now), 7*(tc.est+bonus); !near(got, want) {
				t.Errorf("weight %v, want %v", got, want)
			}
		})
	}
}

// TestPaperBonusSaturates: with the paper's c1 = 4 the bonus stays at its cap for any number of
// finishes seen here, so that counts alone would steer.
func TestPaperBonusSaturates(t *testing.T) {
	p := params()
	p.Bonus = 4
	table := NewTable(p, t0)
	a := Arm{"sweep", "big"}
	for range 100 {
		table.Finish(a, 10*time.Second, t0)
	}
	if got := table.Explore(a, t0); got != 1 {
		t.Errorf("bonus %v, want the cap", got)
	}
}

// TestFastTypeWins: a type that finishes fast is preferred to one of equal count.
func TestFastTypeWins(t *testing.T) {
	table := NewTable(params(), t0)
	for range 20 {
		table.Finish(Arm{"fast", "big"}, 10*time.Second, t0)
		table.Finish(Arm{"slow", "big"}, 80*time.Second, t0)
	}
	f, s := table.Weight(10, Arm{"fast", "big"}, t0), table.Weight(10, Arm{"slow", "big"}, t0)
	if f <= s {
		t.Errorf("fast %v, slow %v", f, s)
	}
}

func TestTrim(t *testing.T) {
	table := NewTable(params(), t0)
	table.Finish(Arm{"a", "b"}, 10*time.Second, t0)
	table.Trim(t0.Add(time.Hour))
	if n := len(table.Rates(t0.Add(time.Hour))); n != 0 {
		t.Errorf("%d arms left of a type long gone", n)
	}
}
