package failuredetector

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testTime = time.Unix(7000, 0)

const testSuspectAfter, testRecoveryGrace = 4 * time.Second, 30 * time.Second

// observations returns count workers spread over three zones and three shard owners, half of
// them spot instances. Those selected by isSilent are silent.
func observations(count int, isSilent func(i int, observation Observation) bool) []Observation {
	workers := make([]Observation, count)
	for i := range workers {
		observation := Observation{Zone: string(rune('a' + i%3)), ShardOwner: string(rune('x' + i/3%3)), Spot: i/9%2 == 1}
		if isSilent(i, observation) {
			observation.SilentFor = 2 * testSuspectAfter
		}
		workers[i] = observation
	}
	return workers
}

// The silence of workers is attributed to the widest group that is mostly silent.
func TestFaultOf(t *testing.T) {
	inZone := func(_ int, worker Observation) bool { return worker.Zone == "b" }
	for _, tc := range []struct {
		name     string
		count    int
		isSilent func(i int, worker Observation) bool
		want     map[Fault]bool // faults of the silent workers
	}{
		{"a single worker", 90, func(i int, _ Observation) bool { return i == 7 }, map[Fault]bool{FaultWorker: true}},
		{
			"a seventh of all workers, in all groups", 90,
			func(i int, _ Observation) bool { return i%7 == 0 }, map[Fault]bool{FaultWorker: true},
		},
		{"all of a zone", 90, inZone, map[Fault]bool{FaultZone: true}},
		{
			"most of a zone", 90,
			func(i int, worker Observation) bool { return worker.Zone == "b" && i%5 != 0 },
			map[Fault]bool{FaultZone: true},
		},
		{
			"all workers of a shard owner", 90,
			func(_ int, worker Observation) bool { return worker.ShardOwner == "y" },
			map[Fault]bool{FaultShardOwner: true},
		},
		{"all workers", 90, func(int, Observation) bool { return true }, map[Fault]bool{FaultObserver: true}},
		{
			"the spot workers of a zone", 90,
			func(_ int, worker Observation) bool { return worker.Spot && worker.Zone == "c" },
			map[Fault]bool{FaultSpotReclaim: true},
		},
		{
			"a zone and single workers elsewhere", 90,
			func(i int, worker Observation) bool { return worker.Zone == "b" || i%13 == 0 },
			map[Fault]bool{FaultZone: true, FaultWorker: true},
		},
		{"a zone of two workers is not conclusive", 6, inZone, map[Fault]bool{FaultWorker: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			detector := New(testSuspectAfter, testRecoveryGrace)
			workers := observations(tc.count, tc.isSilent)
			detector.Observe(workers, testTime)
			got := make(map[Fault]bool)
			for _, worker := range workers {
				if worker.SilentFor > testSuspectAfter {
					fault, _ := detector.FaultOf(worker)
					got[fault] = true
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(tc.want) {
				t.Errorf("got faults %v, want %v", got, tc.want)
			}
		})
	}
}

// When a partition ends, heartbeats resume one worker after the other. The last workers must
// not be regarded as failed because most of their zone is heard again.
func TestLateWorkersAreExcusedAfterPartition(t *testing.T) {
	detector := New(testSuspectAfter, testRecoveryGrace)
	last := Observation{Zone: "b", ShardOwner: "x", SilentFor: time.Minute}
	partitioned := observations(90, func(_ int, worker Observation) bool { return worker.Zone == "b" })
	detector.Observe(append(partitioned, last), testTime)
	recovered := append(observations(90, func(int, Observation) bool { return false }), last)
	detector.Observe(recovered, testTime.Add(testRecoveryGrace))
	if fault, since := detector.FaultOf(last); fault != FaultZone || !since.Equal(testTime) {
		t.Errorf("got fault %v since %v, want zone since the first round", fault, since)
	}
	detector.Observe(recovered, testTime.Add(testRecoveryGrace+time.Second))
	if fault, _ := detector.FaultOf(last); fault != FaultWorker {
		t.Errorf("got fault %v after the recovery grace, want worker", fault)
	}
}

// A fault wider than a spot reclaim requires that most workers of its group are silent, and a
// worker in a mostly silent zone is not at fault itself.
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
			for _, group := range []string{"zone " + worker.Zone, "owner " + worker.ShardOwner, kind + worker.Zone} {
				up[group]++
				if worker.SilentFor > testSuspectAfter {
					suspected[group]++
				}
			}
		}
		detector := New(testSuspectAfter, testRecoveryGrace)
		detector.Observe(workers, testTime)
		for _, worker := range workers {
			fault, _ := detector.FaultOf(worker)
			faultGroup := map[Fault]string{
				FaultZone: "zone " + worker.Zone, FaultShardOwner: "owner " + worker.ShardOwner,
			}[fault]
			if fault == FaultObserver {
				checkObserverFault(t, up, suspected)
				continue
			}
			if fault >= FaultShardOwner &&
				(suspected[faultGroup] < minSuspected || 2*suspected[faultGroup] <= up[faultGroup]) {
				t.Fatalf("got fault %v with only %d of %d workers silent", fault, suspected[faultGroup], up[faultGroup])
			}
			// In a mostly silent zone a worker is at fault only if spot instances are being
			// reclaimed, in which case on-demand workers are mostly heard.
			mostlySilent := func(group string) bool {
				return suspected[group] >= minSuspected && 2*suspected[group] > up[group]
			}
			zone, onDemand := "zone "+worker.Zone, "on-demand "+worker.Zone
			if fault == FaultWorker && mostlySilent(zone) && (up[onDemand] < minSuspected || mostlySilent(onDemand)) {
				t.Fatalf("got fault worker in a mostly silent zone")
			}
		}
	})
}

// checkObserverFault fails the test unless most workers of a zone are silent, and of no zone or shard owner most
// are heard: then this controller's own connection explains the silence.
func checkObserverFault(t *rapid.T, up, suspected map[string]int) {
	zoneSilent := false
	for group, workers := range up {
		isZone, isOwner := strings.HasPrefix(group, "zone "), strings.HasPrefix(group, "owner ")
		zoneSilent = zoneSilent || isZone && suspected[group] >= minSuspected && 2*suspected[group] > workers
		if heard := workers - suspected[group]; (isZone || isOwner) && heard >= minSuspected && 2*heard > workers {
			t.Fatalf("got fault observer, but %d of %d workers of %s are heard", heard, workers, group)
		}
	}
	if !zoneSilent {
		t.Fatalf("got fault observer, but no zone is mostly silent: %v of %v", suspected, up)
	}
}

// TestMain sets a fixed seed, so that the property tests draw the same cases in every run.
// The flags -rapid.seed and -rapid.checks select others.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("7")
	}
	os.Exit(m.Run())
}
