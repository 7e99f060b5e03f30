package failuredetector

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(7000, 0)

const testSuspectAfter, testRecoveryGrace = 4 * time.Second, 30 * time.Second

// observations makes workers over zones, shard owners and kinds, of which those are silent
// that the function selects.
func observations(n int, suspected func(i int, observation Observation) bool) []Observation {
	out := make([]Observation, n)
	for i := range out {
		observation := Observation{Zone: string(rune('a' + i%3)), ShardOwner: string(rune('x' + i/3%3)), Spot: i/9%2 == 1}
		if suspected(i, observation) {
			observation.SilentFor = 2 * testSuspectAfter
		}
		out[i] = observation
	}
	return out
}

// The silence of workers is attributed to the widest group that is silent.
func TestFaultOf(t *testing.T) {
	inZone := func(_ int, worker Observation) bool { return worker.Zone == "b" }
	for _, tc := range []struct {
		name   string
		n      int
		silent func(i int, worker Observation) bool
		want   map[Fault]bool // of those that are silent
	}{
		{"one worker", 90, func(i int, _ Observation) bool { return i == 7 }, map[Fault]bool{FaultWorker: true}},
		{
			"a seventh of all, anywhere", 90,
			func(i int, _ Observation) bool { return i%7 == 0 }, map[Fault]bool{FaultWorker: true},
		},
		{"a zone", 90, inZone, map[Fault]bool{FaultZone: true}},
		{
			"most of a zone, as it falls", 90,
			func(i int, worker Observation) bool { return worker.Zone == "b" && i%5 != 0 },
			map[Fault]bool{FaultZone: true},
		},
		{
			"what one controller answers", 90,
			func(_ int, worker Observation) bool { return worker.ShardOwner == "y" },
			map[Fault]bool{FaultShardOwner: true},
		},
		{"everything", 90, func(int, Observation) bool { return true }, map[Fault]bool{FaultObserver: true}},
		{
			"the spot workers of a zone", 90,
			func(_ int, worker Observation) bool { return worker.Spot && worker.Zone == "c" },
			map[Fault]bool{FaultSpotReclaim: true},
		},
		{
			"a zone and workers elsewhere", 90,
			func(i int, worker Observation) bool { return worker.Zone == "b" || i%13 == 0 },
			map[Fault]bool{FaultZone: true, FaultWorker: true},
		},
		{"two of two are no zone", 6, inZone, map[Fault]bool{FaultWorker: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			detector := New(testSuspectAfter, testRecoveryGrace)
			workers := observations(tc.n, tc.silent)
			detector.Observe(workers, now)
			got := make(map[Fault]bool)
			for _, worker := range workers {
				if worker.SilentFor > testSuspectAfter {
					f, _ := detector.FaultOf(worker)
					got[f] = true
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(tc.want) {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

// When a cut ends, workers are heard again one after the other: the last of them are not
// taken for failed because most are back.
func TestLateReturnersAreExcused(t *testing.T) {
	detector := New(testSuspectAfter, testRecoveryGrace)
	last := Observation{Zone: "b", ShardOwner: "x", SilentFor: time.Minute}
	cut := observations(90, func(_ int, worker Observation) bool { return worker.Zone == "b" })
	detector.Observe(append(cut, last), now)
	back := append(observations(90, func(int, Observation) bool { return false }), last)
	detector.Observe(back, now.Add(testRecoveryGrace))
	if f, since := detector.FaultOf(last); f != FaultZone || !since.Equal(now) {
		t.Errorf("%v since %v", f, since)
	}
	detector.Observe(back, now.Add(testRecoveryGrace+time.Second))
	if f, _ := detector.FaultOf(last); f != FaultWorker {
		t.Errorf("still attributed to the %v", f)
	}
}

// No fault is wider than the silence shows, and a worker in a suspected zone is not at
// fault itself.
func TestFaultsMatchObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []Observation
		up, suspected := map[string]int{}, map[string]int{}
		for range rapid.IntRange(0, 60).Draw(t, "workers") {
			worker := Observation{
				Zone:       rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "zone"),
				ShardOwner: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "owner"),
				Spot:       rapid.Bool().Draw(t, "spot"),
				SilentFor:  time.Duration(rapid.IntRange(0, 8).Draw(t, "silent")) * time.Second,
			}
			workers = append(workers, worker)
			kind := map[bool]string{true: "spot ", false: "on-demand "}[worker.Spot]
			for _, k := range []string{"zone " + worker.Zone, "owner " + worker.ShardOwner, kind + worker.Zone} {
				up[k]++
				if worker.SilentFor > testSuspectAfter {
					suspected[k]++
				}
			}
		}
		detector := New(testSuspectAfter, testRecoveryGrace)
		detector.Observe(workers, now)
		for _, worker := range workers {
			f, _ := detector.FaultOf(worker)
			k := map[Fault]string{FaultZone: "zone " + worker.Zone, FaultShardOwner: "owner " + worker.ShardOwner}[f]
			if f >= FaultShardOwner && (suspected[k] < minSuspected || 2*suspected[k] <= up[k]) {
				t.Fatalf("%v at fault with %d of %d silent", f, suspected[k], up[k])
			}
			// In a zone that is mostly silent a worker is at fault only where spot
			// instances are reclaimed: on-demand workers there are mostly heard.
			mostlySilent := func(group string) bool {
				return suspected[group] >= minSuspected && 2*suspected[group] > up[group]
			}
			zone, onDemand := "zone "+worker.Zone, "on-demand "+worker.Zone
			if f == FaultWorker && mostlySilent(zone) && (up[onDemand] < minSuspected || mostlySilent(onDemand)) {
				t.Fatalf("worker at fault in a silent zone")
			}
		}
	})
}

// TestMain has the property tests draw the same cases every time unless told
// otherwise: -rapid.seed and -rapid.checks search further.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("7")
	}
	os.Exit(m.Run())
}
