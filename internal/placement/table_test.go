package placement

import (
	"math"
	"testing"
	"time"
)

var testStart = time.Unix(1000, 0)

func testParams() Params {
	return Params{Horizon: 512, Bonus: 0.05, RunBound: 8, Tick: 10 * time.Second}
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestTableStatistics checks the statistics against values calculated by hand with
// γ = 1 - 8 ln 512 / 512.
func TestTableStatistics(t *testing.T) {
	const ln512 = 6.238324625039508
	gamma := 1 - 8*ln512/512
	arm := Arm{"sweep", "big"}
	type finish struct {
		at      time.Duration // since the table's start
		runTime time.Duration
	}
	for _, tc := range []struct {
		name                       string
		finishes                   []finish
		at                         time.Duration
		wantFinishes, wantEstimate float64
	}{
		{"no finished tasks: 0/0 is 0", nil, 0, 0, 0},
		{"one tick", []finish{{0, 10 * time.Second}}, 0, 1, 1},
		{"shorter than a tick counts as one", []finish{{0, time.Second}}, 0, 1, 1},
		{"three ticks have weight γ²", []finish{{0, 30 * time.Second}}, 0, gamma * gamma, 1.0 / 3},
		{"two ticks, then discounted for five", []finish{{0, 20 * time.Second}}, 50 * time.Second,
			math.Pow(gamma, 6), 0.5},
		{"part of a tick is not discounted", []finish{{0, 10 * time.Second}}, 9 * time.Second, 1, 1},
		{"old and new finished tasks",
			[]finish{{0, 10 * time.Second}, {20 * time.Second, 20 * time.Second}}, 20 * time.Second,
			gamma*gamma + gamma, (gamma*gamma + gamma) / (gamma*gamma + 2*gamma)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable(testParams(), testStart)
			for _, finished := range tc.finishes {
				table.RecordFinish(arm, finished.runTime, testStart.Add(finished.at))
			}
			now := testStart.Add(tc.at)
			bonus := 1.0
			if tc.wantFinishes > 0 {
				bonus = min(1, 0.05*8*math.Sqrt(ln512/tc.wantFinishes))
			}
			if got := table.ExplorationBonus(arm, now); !approxEqual(got, bonus) {
				t.Errorf("got bonus %v, want %v", got, bonus)
			}
			if got := table.Estimate(arm, now); !approxEqual(got, tc.wantEstimate) {
				t.Errorf("got estimate %v, want %v", got, tc.wantEstimate)
			}
			if got, want := table.Weight(7, arm, now), 7*(tc.wantEstimate+bonus); !approxEqual(got, want) {
				t.Errorf("got weight %v, want %v", got, want)
			}
		})
	}
}

// With the paper's c1 = 4 the exploration bonus stays at its cap for any number of finished
// tasks that occurs here, so that the number of unfinished tasks alone would decide.
func TestPaperBonusSaturates(t *testing.T) {
	params := testParams()
	params.Bonus = 4
	table := NewTable(params, testStart)
	arm := Arm{"sweep", "big"}
	for range 100 {
		table.RecordFinish(arm, 10*time.Second, testStart)
	}
	if got := table.ExplorationBonus(arm, testStart); got != 1 {
		t.Errorf("got bonus %v, want the cap of 1", got)
	}
}

// Of two job types with equal numbers of unfinished tasks, the one whose tasks finish faster
// has the greater weight.
func TestFasterTypeIsPreferred(t *testing.T) {
	table := NewTable(testParams(), testStart)
	for range 20 {
		table.RecordFinish(Arm{"fast", "big"}, 10*time.Second, testStart)
		table.RecordFinish(Arm{"slow", "big"}, 80*time.Second, testStart)
	}
	fast, slow := table.Weight(10, Arm{"fast", "big"}, testStart), table.Weight(10, Arm{"slow", "big"}, testStart)
	if fast <= slow {
		t.Errorf("got weights fast %v, slow %v, want fast above slow", fast, slow)
	}
}

func TestTrim(t *testing.T) {
	table := NewTable(testParams(), testStart)
	table.RecordFinish(Arm{"a", "b"}, 10*time.Second, testStart)
	table.Trim(testStart.Add(time.Hour))
	if count := len(table.Rates(testStart.Add(time.Hour))); count != 0 {
		t.Errorf("got %d arms an hour after the last finished task, want none", count)
	}
}
