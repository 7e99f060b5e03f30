package placement

import (
	"math"
	"testing"
	"time"
)

var t0 = time.Unix(1000, 0)

func params() Params { return Params{Horizon: 512, Bonus: 0.05, RunBound: 8, Tick: 10 * time.Second} }

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Worked by hand with γ = 1 - 8 ln 512 / 512.
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
		{"two ticks, then discounted for five", []finish{{0, 20 * time.Second}}, 50 * time.Second, math.Pow(gamma, 6), 0.5},
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

// With the paper's c1 = 4 the bonus stays at its cap for any number of
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

// A type that finishes fast draws rooms against one of equal count.
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

func TestSelectQueue(t *testing.T) {
	const aged = 30 * time.Second
	for _, tc := range []struct {
		name string
		cs   []QueueHead
		want int
	}{
		{"nothing", nil, -1},
		{"greatest product", []QueueHead{{Type: "a", Weight: 1}, {Type: "b", Weight: 2}}, 1},
		{"equal products: by name, so that it repeats", []QueueHead{{Type: "b", Weight: 1}, {Type: "a", Weight: 1}}, 1},
		{"tier before product", []QueueHead{{Type: "a", Tier: 1, Weight: 9}, {Type: "b", Tier: 0, Weight: 1}}, 1},
		{"aged first", []QueueHead{{Type: "a", Weight: 9}, {Type: "b", Weight: 1, Age: aged}}, 1},
		{"oldest of the aged", []QueueHead{{Type: "a", Weight: 9, Age: aged}, {Type: "b", Age: 2 * aged}}, 1},
		{"age does not lift a tier", []QueueHead{{Type: "a", Tier: 1, Age: 9 * aged}, {Type: "b"}}, 1},
		{"image breaks a near tie", []QueueHead{{Type: "a", Weight: 10}, {Type: "b", Weight: 9.5, HasImage: true}}, 1},
		{"image does not outweigh the rule", []QueueHead{{Type: "a", Weight: 10}, {Type: "b", Weight: 8, HasImage: true}}, 0},
		{"image does not cross tiers", []QueueHead{{Type: "a", Weight: 10}, {Type: "b", Tier: 1, Weight: 10, HasImage: true}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := SelectQueue(tc.cs, aged, 0.1); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}

func TestChoose(t *testing.T) {
	candidate := func(h, zone string, cores float64, images ...string) Candidate {
		return Candidate{Worker: h, InstanceType: "big", Zone: zone, CPUs: cores, TotalCPUs: 8, MemoryGB: 64, PullGBPerSecond: 1, Images: images}
	}
	spot := func(r Candidate) Candidate { r.Spot = true; return r }
	queue := func(typ string, count int, jobs ...WaitingJob) Queue { return Queue{typ, count, jobs} }
	for _, tc := range []struct {
		name  string
		offer Offer
		want  string
	}{
		{"nothing fits", Offer{[]Candidate{candidate("h", "a", 1)}, []Queue{queue("t", 1, WaitingJob{Ref: "x", Tasks: 1, CPUs: 2})}}, ""},
		{"until the room is full", Offer{[]Candidate{candidate("h", "a", 5)}, []Queue{queue("t", 9, WaitingJob{Ref: "x", Tasks: 9, CPUs: 2})}}, "h:x h:x"},
		{"until no task waits", Offer{[]Candidate{candidate("h", "a", 8)}, []Queue{queue("t", 1, WaitingJob{Ref: "x", Tasks: 1, CPUs: 2})}}, "h:x"},
		{"the greater count", Offer{[]Candidate{candidate("h", "a", 2)}, []Queue{queue("t", 2, WaitingJob{Ref: "x", Tasks: 2, CPUs: 2}), queue("u", 3, WaitingJob{Ref: "y", Tasks: 3, CPUs: 2})}}, "h:y"},
		{"the machine with the image", Offer{[]Candidate{candidate("h", "a", 2), candidate("i", "a", 2, "img")}, []Queue{queue("t", 1, WaitingJob{Ref: "x", Tasks: 1, CPUs: 2, Image: "img", ImageGB: 2})}}, "i:x"},
		{"no spot machine for what may not", Offer{[]Candidate{spot(candidate("h", "a", 2))}, []Queue{queue("t", 1, WaitingJob{Ref: "x", Tasks: 1, CPUs: 2})}}, ""},
		{"spot before firm", Offer{[]Candidate{candidate("h", "a", 2), spot(candidate("i", "a", 2))}, []Queue{queue("t", 1, WaitingJob{Ref: "x", Tasks: 1, CPUs: 2, AllowSpot: true})}}, "i:x"},
		{"zones fill up", Offer{[]Candidate{candidate("h", "a", 8), candidate("i", "b", 8)}, []Queue{queue("t", 4, WaitingJob{Ref: "x", Tasks: 4, CPUs: 2, ZoneSlots: map[string]int{"a": 1, "b": 2}})}}, "h:x i:x i:x"},
		{"not where it failed", Offer{[]Candidate{candidate("h", "a", 2)}, []Queue{queue("t", 1, WaitingJob{Ref: "x", Tasks: 1, CPUs: 2, ExcludedWorkers: []string{"h"}})}}, ""},
		{"a held room is for its holder", Offer{[]Candidate{{Worker: "h", CPUs: 2, ReservedFor: "y"}}, []Queue{queue("t", 1, WaitingJob{Ref: "x", Tasks: 1, CPUs: 1})}}, ""},
		{"or for what comes before it", Offer{[]Candidate{{Worker: "h", CPUs: 2, ReservedFor: "y", ReservedTier: 3}}, []Queue{queue("t", 1, WaitingJob{Ref: "x", Tasks: 1, CPUs: 1, Tier: 2})}}, "h:x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := ""
			table := NewTable(params(), t0)
			tune := Tuning{AgingThreshold: time.Minute, NearTie: 0.1, OnDemandPenalty: 3}
			counts := map[string]int{}
			for _, p := range table.Choose(tc.offer, tune, t0) {
				counts[p.Worker+":"+p.Ref]++
			}
			for _, h := range []string{"h", "i"} {
				for _, j := range []string{"x", "y"} {
					for range counts[h+":"+j] {
						got += " " + h + ":" + j
					}
				}
			}
			if got != "" {
				got = got[1:]
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
