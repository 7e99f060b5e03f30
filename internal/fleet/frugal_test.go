package fleet

import (
	"testing"
	"time"

	"rillflow/internal/settings"
)

var (
	serviceShape = TaskShape{Cores: 2, MemoryGB: 2}
	arrayShape   = TaskShape{Cores: 4, MemoryGB: 4, SpotAllowed: true}

	longAgo = now.Add(-time.Hour)
)

// frugalCase is a demand, the instances there are and what the plan is to be.
type frugalCase struct {
	name      string
	instances []Instance
	demand    Demand
	request   string // the first request: type, zone and kind; empty: none
	count     int    // instances that it asks for
	removed   []string
}

func (tc frugalCase) run(t *testing.T) {
	plan := newTestPlanner(t, "always").Plan(testInstanceTypes(), tc.instances, tc.demand, now)
	request, count := "", 0
	if len(plan.ScaleOut) > 0 {
		first := plan.ScaleOut[0]
		kind := map[bool]string{true: "spot", false: "on-demand"}[first.Spot]
		request, count = first.InstanceType+" "+first.Zone+" "+kind, first.Count
	}
	if request != tc.request || count != tc.count {
		t.Errorf("requests %d of %q, want %d of %q", count, request, tc.count, tc.request)
	}
	removed := append(plan.Release, plan.Drain...)
	if len(removed) != len(tc.removed) || len(removed) > 0 && removed[0] != tc.removed[0] {
		t.Errorf("releases or drains %v, want %v", removed, tc.removed)
	}
}

// serviceDemand is the demand of a service of so many cores that may not run on spot instances.
func serviceDemand(cores float64) Demand {
	return Demand{OnDemandCores: cores, TaskShapes: []TaskShape{serviceShape}}
}

// spreadDemand is the demand of a service that needs so many of its cores in a second zone.
func spreadDemand(cores, secondZone float64) Demand {
	demand := serviceDemand(cores)
	demand.SecondZoneCores = secondZone
	return demand
}

// zoneBoundDemand is the demand of services of which so many cores wait for zone b alone.
func zoneBoundDemand(cores, inZoneB float64) Demand {
	demand := serviceDemand(cores)
	demand.ZoneBoundCores = map[string]float64{"b": inZoneB}
	return demand
}

// arrayDemand is the demand of arrays that may run on spot instances.
func arrayDemand(cores, urgent float64) Demand {
	return Demand{SpotCores: cores, UrgentCores: urgent, TaskShapes: []TaskShape{arrayShape}}
}

// idleInstance is an on-demand instance that has been idle for long.
func idleInstance(name, instanceType, zone string) Instance {
	return Instance{
		Name: name, InstanceType: instanceType, Zone: zone, Up: true, IdleSince: longAgo, RequestedAt: longAgo,
	}
}

// busyInstance is an on-demand instance with replicas, which have a place elsewhere or not.
func busyInstance(name, instanceType, zone string, replicas int, replicaCores float64, movable bool) Instance {
	return Instance{
		Name: name, InstanceType: instanceType, Zone: zone, Up: true, RequestedAt: longAgo,
		Replicas: replicas, ReplicaCores: replicaCores, CanMoveReplicas: func() bool { return movable },
	}
}

// bootingSpot is a large spot instance that has been booting for so long.
func bootingSpot(age time.Duration) Instance {
	return Instance{InstanceType: "l", Spot: true, Booting: true, RequestedAt: now.Add(-age)}
}

func TestFrugalScaleOut(t *testing.T) {
	largeShape := TaskShape{Cores: 8, SpotAllowed: true}
	for _, tc := range []frugalCase{
		{"no demand, no instances", nil, Demand{}, "", 0, nil},
		{"services get on-demand instances, the cheapest core", nil, serviceDemand(6), "s a on-demand", 2, nil},
		{"the zone with the fewest cores first", []Instance{{InstanceType: "s", Zone: "a"}},
			serviceDemand(8), "s b on-demand", 1, nil},
		{"arrays run on spot", nil, arrayDemand(8, 8), "s a spot", 2, nil},
		{"only types that a task fits", nil,
			Demand{SpotCores: 8, UrgentCores: 8, TaskShapes: []TaskShape{largeShape}}, "l a spot", 1, nil},
		{"only what is urgent, at first", nil, arrayDemand(16, 8), "s a spot", 2, nil},
		{"instances that boot count", []Instance{{InstanceType: "l", Spot: true}}, arrayDemand(8, 8), "", 0, nil},
		{"one that boots for too long does not", []Instance{bootingSpot(40 * time.Second)},
			arrayDemand(8, 8), "s a spot", 2, nil},
		{"one that may still come up in time does", []Instance{bootingSpot(30 * time.Second)},
			arrayDemand(8, 8), "", 0, nil},
	} {
		t.Run(tc.name, tc.run)
	}
}

func TestFrugalZones(t *testing.T) {
	failover := serviceDemand(4)
	failover.FailoverCores = map[string]float64{"a": 4}
	for _, tc := range []frugalCase{
		{"a spread service needs capacity in a second zone", []Instance{{InstanceType: "l", Zone: "a"}},
			spreadDemand(4, 2), "s b on-demand", 1, nil},
		{"what replicas take there is not free", []Instance{
			{InstanceType: "l", Zone: "a"},
			{InstanceType: "s", Zone: "b", ReplicaCores: 4},
		}, spreadDemand(8, 2), "s b on-demand", 1, nil},
		{"the second zone's capacity stays", []Instance{
			idleInstance("x", "l", "a"),
			idleInstance("y", "s", "b"),
		}, spreadDemand(2, 2), "", 0, nil},
		// A zone that has no more to give kept all idle instances of the others.
		{"what the second zone lacks keeps nothing elsewhere", []Instance{
			idleInstance("x", "l", "a"),
			busyInstance("", "l", "a", 1, 2, false),
			busyInstance("", "s", "b", 2, 4, false),
		}, spreadDemand(6, 2), "s b on-demand", 1, []string{"x"}},
		{"what only one zone may take is requested there", []Instance{{InstanceType: "l", Zone: "a"}},
			zoneBoundDemand(8, 4), "s b on-demand", 1, nil},
		{"and not elsewhere", []Instance{{InstanceType: "s", Zone: "b", ReplicaCores: 4}},
			zoneBoundDemand(8, 4), "s b on-demand", 1, nil},
		{"nor is anything kept elsewhere for it", []Instance{
			idleInstance("x", "l", "a"),
			busyInstance("", "s", "b", 2, 4, false),
			busyInstance("", "l", "a", 1, 2, false),
		}, zoneBoundDemand(22, 16), "s b on-demand", 4, []string{"x"}},
		{"capacity elsewhere for the replicas of a lost zone", []Instance{
			{InstanceType: "l", Zone: "a", ReplicaCores: 4},
		}, failover, "s b on-demand", 1, nil},
		{"none for what may not be elsewhere", []Instance{{InstanceType: "l", Zone: "a", ReplicaCores: 4}},
			serviceDemand(4), "", 0, nil},
	} {
		t.Run(tc.name, tc.run)
	}
}

func TestFrugalScaleIn(t *testing.T) {
	idleSpot := func(since time.Time) Instance {
		return Instance{Name: "x", InstanceType: "s", Spot: true, Up: true, IdleSince: since, RequestedAt: since}
	}
	for _, tc := range []frugalCase{
		{"idle instances are released", []Instance{idleSpot(longAgo)}, Demand{}, "", 0, []string{"x"}},
		{"not in the first moments", []Instance{idleSpot(now.Add(-time.Second))}, Demand{}, "", 0, nil},
		{"the dearest core first", []Instance{
			idleInstance("x", "s", ""),
			idleInstance("y", "l", ""),
		}, Demand{OnDemandCores: 2, LargestServiceCores: 2, TaskShapes: []TaskShape{serviceShape}}, "", 0, []string{"y"}},
		{"an instance with replicas is drained only if they have a place", []Instance{
			busyInstance("x", "s", "", 1, 0, true),
			busyInstance("y", "l", "", 1, 0, false),
		}, serviceDemand(2), "", 0, []string{"x"}},
	} {
		t.Run(tc.name, tc.run)
	}
}

// Many services even out: they need a smaller spare share than a few.
func TestSpareShareFallsWithManyJobs(t *testing.T) {
	operator, err := settings.ParseOperator([]byte("<rillflow><fleet><spare>0.2</spare></fleet></rillflow>"))
	if err != nil {
		t.Fatal(err)
	}
	planner := NewPlanner(&settings.Settings{Operator: operator}, 1)
	for jobs, want := range map[int]float64{0: 0.2, 10: 0.2, 64: 0.2, 256: 0.1, 1024: 0.05} {
		if got := planner.spareShare(jobs); got != want {
			t.Errorf("%d jobs: %v, want %v", jobs, got, want)
		}
	}
}
