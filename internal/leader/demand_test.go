package leader

import (
	"math"
	"testing"
	"time"

	"rillflow/internal/fleet"
	"rillflow/internal/wire"
)

// What of a job waits for one zone alone, and what the other zones would take were one
// lost; both in cores, in two zones and in three.
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
		{"nothing placed: either may take half", wire.Job{TaskCount: 4, SpreadZones: true}, nil, ab,
			cores{"a": 4, "b": 4}, nil},
		{"one zone has all it may", wire.Job{TaskCount: 4, SpreadZones: true}, []string{"h0", "h2"}, ab,
			cores{"b": 4}, nil},
		{"all placed, both full", wire.Job{TaskCount: 4, SpreadZones: true}, []string{"h0", "h2", "h1", "h3"}, ab,
			nil, nil},
		{"of an odd number one may move", wire.Job{TaskCount: 3, SpreadZones: true}, []string{"h0", "h2", "h1"}, ab,
			nil, cores{"a": 2}},
		{"a third zone takes what one loses", wire.Job{TaskCount: 4, SpreadZones: true},
			[]string{"h0", "h2", "h1", "h3"}, abc, nil, cores{"a": 4, "b": 4}},
		{"not spread: anywhere", wire.Job{TaskCount: 2}, []string{"h0", "h1"}, ab, nil, cores{"a": 2, "b": 2}},
		{"its only zone", wire.Job{TaskCount: 2, Zone: "a"}, []string{"h0"}, ab, cores{"a": 2}, nil},
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
					t.Errorf("zone %s: %v wait for it alone, %v of it would move; want %v and %v", zone,
						demand.ZoneBoundCores[zone], demand.FailoverCores[zone], tc.wantZoneBound[zone], tc.wantFailover[zone])
				}
			}
		})
	}
}

// Work with time for several rounds needs fewer instances at once.
func TestRequiredConcurrency(t *testing.T) {
	for _, tc := range []struct {
		name  string
		job   wire.Job
		after time.Duration
		want  float64
	}{
		{"no time stated: all at once", wire.Job{Class: "x", ExpectedSeconds: 20}, 0, 1},
		{"time for two rounds and a half, half of it counted on",
			wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 80}, 0, 1. / 3},
		{"less as it runs out", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 80}, time.Minute, 2. / 3},
		{"none to spare", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 80}, 90 * time.Second, 1},
		{"too late: the next time counts", wire.Job{Class: "f", ExpectedSeconds: 20}, 50 * time.Second, 40. / 70},
		{"all missed", wire.Job{Class: "f", ExpectedSeconds: 20}, time.Hour, 1},
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
