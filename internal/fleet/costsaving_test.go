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

// costSavingCase is a demand, the current instances and the plan wanted for them.
type costSavingCase struct {
	name        string
	instances   []Instance
	demand      Demand
	wantRequest string   // type, zone and kind of the first request; empty: none
	wantCount   int      // instances in the first request
	wantRemoved []string // released or drained
}

func (tc costSavingCase) run(t *testing.T) {
	plan := newTestPlanner(t, "always").Plan(testInstanceTypes(), tc.instances, tc.demand, now)
	request, count := "", 0
	if len(plan.ScaleOut) > 0 {
		first := plan.ScaleOut[0]
		kind := map[bool]string{true: "spot", false: "on-demand"}[first.Spot]
		request, count = first.InstanceType+" "+first.Zone+" "+kind, first.Count
	}
	if request != tc.wantRequest || count != tc.wantCount {
		t.Errorf("requests %d of %q, want %d of %q", count, request, tc.wantCount, tc.wantRequest)
	}
	removed := append(plan.Release, plan.Drain...)
	if len(removed) != len(tc.wantRemoved) || len(removed) > 0 && removed[0] != tc.wantRemoved[0] {
		t.Errorf("releases or drains %v, want %v", removed, tc.wantRemoved)
	}
}

// serviceDemand returns the demand of a service that may not run on spot instances.
func serviceDemand(cores float64) Demand {
	return Demand{OnDemandCores: cores, TaskShapes: []TaskShape{serviceShape}}
}

// spreadDemand returns the demand of a service that needs some of its cores in a second zone.
func spreadDemand(cores, secondZoneCores float64) Demand {
	demand := serviceDemand(cores)
	demand.SecondZoneCores = secondZoneCores
	return demand
}

// zoneBoundDemand returns the demand of services, some of whose cores wait for zone b only.
func zoneBoundDemand(cores, zoneBCores float64) Demand {
	demand := serviceDemand(cores)
	demand.ZoneBoundCores = map[string]float64{"b": zoneBCores}
	return demand
}

// arrayDemand returns the demand of arrays that may run on spot instances.
func arrayDemand(cores, urgentCores float64) Demand {
	return Demand{SpotCores: cores, UrgentCores: urgentCores, TaskShapes: []TaskShape{arrayShape}}
}

// idleInstance returns an on-demand instance whose idle timeout has passed.
func idleInstance(name, instanceType, zone string) Instance {
	return Instance{
		Name: name, InstanceType: instanceType, Zone: zone, Up: true, IdleSince: longAgo, RequestedAt: longAgo,
	}
}

// busyInstance returns an on-demand instance with replicas, which can move elsewhere if movable.
func busyInstance(name, instanceType, zone string, replicas int, replicaCores float64, movable bool) Instance {
	return Instance{
		Name: name, InstanceType: instanceType, Zone: zone, Up: true, RequestedAt: longAgo,
		Replicas: replicas, ReplicaCores: replicaCores, CanMoveReplicas: func() bool { return movable },
	}
}

// bootingSpot returns a large spot instance that was requested age ago and is still booting.
func bootingSpot(age time.Duration) Instance {
	return Instance{InstanceType: "l", Spot: true, Booting: true, RequestedAt: now.Add(-age)}
}

func TestCostSavingScaleOut(t *testing.T) {
	largeShape := TaskShape{Cores: 8, SpotAllowed: true}
	for _, tc := range []costSavingCase{
		{"no demand, no instances", nil, Demand{}, "", 0, nil},
		{"services get on-demand instances with the cheapest cores", nil, serviceDemand(6), "s a on-demand", 2, nil},
		{"zone with the fewest cores first", []Instance{{InstanceType: "s", Zone: "a"}},
			serviceDemand(8), "s b on-demand", 1, nil},
		{"arrays get spot instances", nil, arrayDemand(8, 8), "s a spot", 2, nil},
		{"only types that a task fits", nil,
			Demand{SpotCores: 8, UrgentCores: 8, TaskShapes: []TaskShape{largeShape}}, "l a spot", 1, nil},
		{"urgent work only at first", nil, arrayDemand(16, 8), "s a spot", 2, nil},
		{"booting instance counts", []Instance{{InstanceType: "l", Spot: true}}, arrayDemand(8, 8), "", 0, nil},
		{"instance overdue to boot does not count", []Instance{bootingSpot(40 * time.Second)},
			arrayDemand(8, 8), "s a spot", 2, nil},
		{"instance that boots slowly but may still come up counts", []Instance{bootingSpot(30 * time.Second)},
			arrayDemand(8, 8), "", 0, nil},
	} {
		t.Run(tc.name, tc.run)
	}
}

func TestCostSavingZones(t *testing.T) {
	failover := serviceDemand(4)
	failover.FailoverCores = map[string]float64{"a": 4}
	for _, tc := range []costSavingCase{
		{"a spread service needs capacity in a second zone", []Instance{{InstanceType: "l", Zone: "a"}},
			spreadDemand(4, 2), "s b on-demand", 1, nil},
		{"cores taken by replicas in the second zone are not free", []Instance{
			{InstanceType: "l", Zone: "a"},
			{InstanceType: "s", Zone: "b", ReplicaCores: 4},
		}, spreadDemand(8, 2), "s b on-demand", 1, nil},
		{"the second zone's capacity stays", []Instance{
			idleInstance("x", "l", "a"),
			idleInstance("y", "s", "b"),
		}, spreadDemand(2, 2), "", 0, nil},
		// A second zone without further capacity once kept all idle instances of the other zones.
		{"a shortfall in the second zone keeps no instance elsewhere", []Instance{
			idleInstance("x", "l", "a"),
			busyInstance("", "l", "a", 1, 2, false),
			busyInstance("", "s", "b", 2, 4, false),
		}, spreadDemand(6, 2), "s b on-demand", 1, []string{"x"}},
		{"zone-bound work gets an instance in its zone", []Instance{{InstanceType: "l", Zone: "a"}},
			zoneBoundDemand(8, 4), "s b on-demand", 1, nil},
		{"zone-bound work gets no instance elsewhere", []Instance{{InstanceType: "s", Zone: "b", ReplicaCores: 4}},
			zoneBoundDemand(8, 4), "s b on-demand", 1, nil},
		{"zone-bound work keeps no instance elsewhere", []Instance{
			idleInstance("x", "l", "a"),
			busyInstance("", "s", "b", 2, 4, false),
			busyInstance("", "l", "a", 1, 2, false),
		}, zoneBoundDemand(22, 16), "s b on-demand", 4, []string{"x"}},
		{"capacity elsewhere for the replicas of a lost zone", []Instance{
			{InstanceType: "l", Zone: "a", ReplicaCores: 4},
		}, failover, "s b on-demand", 1, nil},
		{"no failover capacity for replicas that may not move", []Instance{{InstanceType: "l", Zone: "a", ReplicaCores: 4}},
			serviceDemand(4), "", 0, nil},
	} {
		t.Run(tc.name, tc.run)
	}
}

func TestCostSavingScaleIn(t *testing.T) {
	idleSpot := func(since time.Time) Instance {
		return Instance{Name: "x", InstanceType: "s", Spot: true, Up: true, IdleSince: since, RequestedAt: since}
	}
	for _, tc := range []costSavingCase{
		{"idle instances are released", []Instance{idleSpot(longAgo)}, Demand{}, "", 0, []string{"x"}},
		{"instances idle for a short time are kept", []Instance{idleSpot(now.Add(-time.Second))}, Demand{}, "", 0, nil},
		{"highest price per core first", []Instance{
			idleInstance("x", "s", ""),
			idleInstance("y", "l", ""),
		}, Demand{OnDemandCores: 2, LargestServiceCores: 2, TaskShapes: []TaskShape{serviceShape}}, "", 0, []string{"y"}},
		{"an instance is drained only if its replicas can move", []Instance{
			busyInstance("x", "s", "", 1, 0, true),
			busyInstance("y", "l", "", 1, 0, false),
		}, serviceDemand(2), "", 0, []string{"x"}},
	} {
		t.Run(tc.name, tc.run)
	}
}

// Guards against tasks that wait for good because cores that cannot run them count as their supply.
func TestConstrainedTasksHaveTheirOwnSupply(t *testing.T) {
	large := TaskShape{Cores: 8, MemoryGB: 8, SpotAllowed: true, Team: "t", Weight: 8}
	typeBound := TaskShape{Cores: 1, InstanceTypes: []string{"l"}, Team: "t", Weight: 1}
	failedOnX := TaskShape{Cores: 1, InstanceTypes: []string{"l"}, ExcludedInstances: []string{"x"}, Team: "t", Weight: 1}
	zoneBound := TaskShape{Cores: 1, Zone: "b", SpotAllowed: true, Team: "t", Weight: 1}
	with := func(weight float64, shape TaskShape) Demand {
		shape.Weight = weight
		demand := Demand{TaskShapes: []TaskShape{arrayShape, shape}, TeamLimits: map[string]float64{"t": 24}}
		if demand.OnDemandCores = weight; shape.SpotAllowed {
			demand.OnDemandCores, demand.SpotCores, demand.UrgentCores = 0, weight, weight
		}
		return demand
	}
	plenty := []Instance{
		{InstanceType: "s", Zone: "a"}, {InstanceType: "s", Zone: "a"}, {InstanceType: "s", Zone: "a"},
		{InstanceType: "s", Zone: "a", Spot: true}, {InstanceType: "s", Zone: "a", Spot: true},
	}
	in := func(instances ...Instance) []Instance { return append(instances, plenty...) }
	for _, tc := range []costSavingCase{
		{"too large for the instances that are up", plenty, with(8, large), "l a spot", 1, nil},
		{"bound to a type of which none is up", plenty, with(1, typeBound), "l a on-demand", 1, nil},
		{"bound to a zone in which none is up", plenty, with(1, zoneBound), "s b spot", 1, nil},
		{"an instance that fits is up", in(Instance{InstanceType: "l", Zone: "a"}), with(1, typeBound), "", 0, nil},
		{"the only instance that fits is excluded", in(Instance{Name: "x", InstanceType: "l", Zone: "a"}),
			with(1, failedOnX), "l a on-demand", 1, nil},
		{"another instance beside the excluded one", in(Instance{Name: "x", InstanceType: "l", Zone: "a"},
			Instance{Name: "y", InstanceType: "l", Zone: "a"}), with(1, failedOnX), "", 0, nil},
		{"a spot instance is no supply for tasks that may not run there",
			in(Instance{InstanceType: "l", Zone: "a", Spot: true}), with(1, typeBound), "l a on-demand", 1, nil},
		{"an instance that is released is no supply",
			in(Instance{InstanceType: "l", Zone: "a", Releasing: true}), with(1, typeBound), "l a on-demand", 1, nil},
		{"a draining instance is used again", in(Instance{InstanceType: "l", Zone: "a", Draining: true}),
			with(1, typeBound), "", 0, nil},
		{"no more than the team's limit", plenty, with(80, large), "l a spot", 2, nil},
		{"the last instance that fits is kept", in(idleInstance("x", "l", "a")), with(1, typeBound), "", 0, nil},
		{"one that no task needs is released", in(idleInstance("x", "l", "a")), Demand{}, "", 0, []string{"x"}},
	} {
		t.Run(tc.name, tc.run)
	}
	t.Run("scaled ahead of demand", func(t *testing.T) {
		demand := with(1, typeBound)
		demand.ScaleAheadCores = 16
		plan := newTestPlanner(t, "never").Plan(testInstanceTypes(), plenty, demand, now)
		if len(plan.ScaleOut) != 1 || plan.ScaleOut[0].InstanceType != "l" || plan.ScaleOut[0].Spot {
			t.Errorf("got requests %+v, want one for an on-demand instance of type l", plan.ScaleOut)
		}
	})
}

// Guards against needless spare capacity: the demand of many services varies less than that of a few.
func TestSpareShareFallsWithManyJobs(t *testing.T) {
	operator, err := settings.ParseOperator([]byte("<rillflow><fleet><spare>0.2</spare></fleet></rillflow>"))
	if err != nil {
		t.Fatal(err)
	}
	planner := NewPlanner(&settings.Settings{Operator: operator}, 1)
	for jobs, want := range map[int]float64{0: 0.2, 10: 0.2, 64: 0.2, 256: 0.1, 1024: 0.05} {
		if got := planner.spareShare(jobs); got != want {
			t.Errorf("spare share for %d jobs: got %v, want %v", jobs, got, want)
		}
	}
}
