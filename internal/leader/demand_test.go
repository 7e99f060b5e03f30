package leader

import (
	"math"
	"slices"
	"testing"
	"time"

	"rillflow/internal/fleet"
	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// TestZoneDemand checks the cores of a job that only one zone may take, and the cores that would move
// to other zones if a zone were lost, with two zones and with three.
func TestZoneDemand(t *testing.T) {
	type cores = map[string]float64
	ab, abc := []string{"a", "b"}, []string{"a", "b", "c"}
	for _, tc := range []struct {
		name                        string
		job                         wire.Job
		placedOn                    []string // workers that have a task: h0 and h2 in zone a, h1 and h3 in b
		zones                       []string
		wantZoneBound, wantFailover cores
	}{
		{"nothing placed: each zone may take half", wire.Job{TaskCount: 4, SpreadZones: true}, nil, ab,
			cores{"a": 4, "b": 4}, nil},
		{"one zone is at its limit", wire.Job{TaskCount: 4, SpreadZones: true}, []string{"h0", "h2"}, ab,
			cores{"b": 4}, nil},
		{"all placed, both zones at their limits", wire.Job{TaskCount: 4, SpreadZones: true},
			[]string{"h0", "h2", "h1", "h3"}, ab, nil, nil},
		{"one of an odd number may move", wire.Job{TaskCount: 3, SpreadZones: true}, []string{"h0", "h2", "h1"}, ab,
			nil, cores{"a": 2}},
		{"a third zone takes the tasks of a lost one", wire.Job{TaskCount: 4, SpreadZones: true},
			[]string{"h0", "h2", "h1", "h3"}, abc, nil, cores{"a": 4, "b": 4}},
		{"not spread: any zone", wire.Job{TaskCount: 2}, []string{"h0", "h1"}, ab, nil, cores{"a": 2, "b": 2}},
		{"bound to a zone", wire.Job{TaskCount: 2, Zone: "a"}, []string{"h0"}, ab, cores{"a": 2}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			tc.job.Class, tc.job.Kind, tc.job.CPUs = "s", wire.KindService, 2
			job := leader.addTestJob("req-1", tc.job)
			for _, worker := range tc.placedOn {
				leader.runTestTask(t, job, worker, time.Minute)
			}
			demand := fleet.Demand{ZoneBoundCores: cores{}, FailoverCores: cores{}}
			leader.autoscaler.addZoneDemand(&demand, job, tc.zones)
			for _, zone := range tc.zones {
				if demand.ZoneBoundCores[zone] != tc.wantZoneBound[zone] || demand.FailoverCores[zone] != tc.wantFailover[zone] {
					t.Errorf("zone %s: zone-bound cores %v, failover cores %v; want %v and %v", zone,
						demand.ZoneBoundCores[zone], demand.FailoverCores[zone], tc.wantZoneBound[zone], tc.wantFailover[zone])
				}
			}
		})
	}
}

// TestRequiredConcurrency checks that a job with time for several rounds of tasks before its deadline
// requests fewer instances at once.
func TestRequiredConcurrency(t *testing.T) {
	for _, tc := range []struct {
		name  string
		job   wire.Job
		after time.Duration
		want  float64
	}{
		{"no deadline: all at once", wire.Job{Class: "x", ExpectedSeconds: 20}, 0, 1},
		{"time for six rounds, with a safety factor of two",
			wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 80}, 0, 1. / 3},
		{"more at once as time runs out", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 80}, time.Minute,
			2. / 3},
		{"time for one round only", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 80}, 90 * time.Second, 1},
		{"first deadline missed: the next one counts", wire.Job{Class: "f", ExpectedSeconds: 20}, 50 * time.Second, 40. / 70},
		{"all deadlines missed", wire.Job{Class: "f", ExpectedSeconds: 20}, time.Hour, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			job := leader.addTestJob("req-1", tc.job)
			if got := leader.autoscaler.requiredConcurrency(job, now.Add(tc.after)); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a job that waits because the only instance that fits it, on which it failed, counts as its
// supply; and against instances for a job that fails wherever it runs.
func TestExcludedInstancesOfDemand(t *testing.T) {
	for _, tc := range []struct {
		name     string
		failedOn []string
		at       time.Duration
		want     []string
	}{
		{"failed nowhere", nil, 0, nil},
		{"failed on one worker", []string{"h1"}, 0, []string{"h1"}},
		{"excluded no more", []string{"h1"}, 31 * time.Second, nil},
		{"fails on healthy workers", []string{"h1", "h2"}, 0, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			job := leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, TaskCount: 1, CPUs: 1})
			for _, worker := range tc.failedOn {
				leader.faults.countFailure(job, leader.workers[worker], now)
			}
			demand := leader.autoscaler.demand(nil, now.Add(tc.at))
			if got := demand.TaskShapes[0].ExcludedInstances; !slices.Equal(got, tc.want) {
				t.Errorf("got excluded instances %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a whole fleet that is requested for a guest: for a team without a limit, instances are requested
// for its jobs alone, also for a class that the fleet is scaled ahead for.
func TestDemandOfTeamWithoutLimit(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		limit                 float64
		wantAhead, wantDemand float64
	}{
		{"limited", 40, 40, 0},
		{"without a limit", math.Inf(1), 0, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.settings.Operator.Fleet.CostSaving = "never" // every class is scaled ahead for
			leader.jobs = ledger.New("w", []settings.Team{{Name: "t", CPUsMax: tc.limit}})
			leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, TaskCount: 3, CPUs: 2, AllowSpot: true})
			demand := leader.autoscaler.demand(nil, now)
			if demand.ScaleAheadCores != tc.wantAhead || demand.SpotCores != tc.wantDemand {
				t.Errorf("got %v cores ahead of demand and %v for the job, want %v and %v",
					demand.ScaleAheadCores, demand.SpotCores, tc.wantAhead, tc.wantDemand)
			}
		})
	}
}
