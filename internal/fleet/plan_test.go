package fleet

import (
	"testing"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

var now = time.Unix(1000, 0)

func types() map[string]*wire.InstanceType {
	return map[string]*wire.InstanceType{
		"s": {Name: "s", CPUs: 4, MemoryGB: 8, PricePerHour: 0.2, SpotPricePerHour: 0.1, BootSeconds: 20, Zones: []string{"a", "b"}},
		"l": {Name: "l", CPUs: 16, MemoryGB: 64, PricePerHour: 1.6, SpotPricePerHour: 0.8, BootSeconds: 20, Zones: []string{"a"}},
	}
}

func newTestPlanner(t *testing.T, thrift string) *Planner {
	t.Helper()
	op, err := settings.ParseOperator([]byte("<rillflow><fleet><thrift>" + thrift + "</thrift><spare>0</spare></fleet></rillflow>"))
	if err != nil {
		t.Fatal(err)
	}
	return NewPlanner(&settings.Settings{Node: "n", Operator: op, Facts: settings.Facts{
		Teams:   []settings.Team{{Name: "t", CPUsMax: 24}},
		Workers: settings.Workers{ReportS: 3, LeaseS: 30},
	}}, 5)
}

func TestPlanFrugal(t *testing.T) {
	service := TaskShape{Cores: 2, RAM: 2}
	array := TaskShape{Cores: 4, RAM: 4, SpotAllowed: true}
	old := now.Add(-time.Hour)
	for _, tc := range []struct {
		name string
		ms   []Instance
		need Demand
		ask  string // first request: flavor, zone, kind
		n    int
		out  []string // machines to return or drain
	}{
		{"nothing to do, nothing rented", nil, Demand{}, "", 0, nil},
		{"replicas want firm machines, the cheapest core", nil, Demand{OnDemandCores: 6, TaskShapes: []TaskShape{service}}, "s a firm", 2, nil},
		{"the zone with the least goes first", []Instance{{InstanceType: "s", Zone: "a"}}, Demand{OnDemandCores: 8, TaskShapes: []TaskShape{service}}, "s b firm", 1, nil},
		{"arrays run on spot", nil, Demand{SpotCores: 8, UrgentCores: 8, TaskShapes: []TaskShape{array}}, "s a spot", 2, nil},
		{"only types that a task fits", nil, Demand{SpotCores: 8, UrgentCores: 8, TaskShapes: []TaskShape{{Cores: 8, SpotAllowed: true}}}, "l a spot", 1, nil},
		{"only what must run at once, at first", nil, Demand{SpotCores: 16, UrgentCores: 8, TaskShapes: []TaskShape{array}}, "s a spot", 2, nil},
		{"machines that boot count", []Instance{{InstanceType: "l", Spot: true}}, Demand{SpotCores: 8, UrgentCores: 8, TaskShapes: []TaskShape{array}}, "", 0, nil},
		{"one that boots for too long does not", []Instance{{InstanceType: "l", Spot: true, Booting: true, RequestedAt: now.Add(-40 * time.Second)}}, Demand{SpotCores: 8, UrgentCores: 8, TaskShapes: []TaskShape{array}}, "s a spot", 2, nil},
		{"one that may still come up in time does", []Instance{{InstanceType: "l", Spot: true, Booting: true, RequestedAt: now.Add(-30 * time.Second)}}, Demand{SpotCores: 8, UrgentCores: 8, TaskShapes: []TaskShape{array}}, "", 0, nil},
		{"a spread service needs room in a second zone", []Instance{{InstanceType: "l", Zone: "a"}}, Demand{OnDemandCores: 4, SecondZoneCores: 2, TaskShapes: []TaskShape{service}}, "s b firm", 1, nil},
		{"what replicas take there is no room", []Instance{{InstanceType: "l", Zone: "a"}, {InstanceType: "s", Zone: "b", ReplicaCores: 4}}, Demand{OnDemandCores: 8, SecondZoneCores: 2, TaskShapes: []TaskShape{service}}, "s b firm", 1, nil},
		{"the second zone's room stays", []Instance{
			{Name: "x", InstanceType: "l", Zone: "a", Up: true, IdleSince: old, RequestedAt: old}, {Name: "y", InstanceType: "s", Zone: "b", Up: true, IdleSince: old, RequestedAt: old},
		}, Demand{OnDemandCores: 2, SecondZoneCores: 2, TaskShapes: []TaskShape{service}}, "", 0, nil},
		// A zone that has no more to give kept all idle machines of the others.
		{"what the second zone lacks keeps nothing elsewhere", []Instance{
			{Name: "x", InstanceType: "l", Zone: "a", Up: true, IdleSince: old, RequestedAt: old}, {InstanceType: "l", Zone: "a", Up: true, ReplicaCores: 2, Replicas: 1, RequestedAt: old, CanMoveReplicas: func() bool { return false }},
			{InstanceType: "s", Zone: "b", Up: true, ReplicaCores: 4, Replicas: 2, RequestedAt: old, CanMoveReplicas: func() bool { return false }},
		}, Demand{OnDemandCores: 6, SecondZoneCores: 2, TaskShapes: []TaskShape{service}}, "s b firm", 1, []string{"x"}},
		{"what only one zone may take is rented there", []Instance{{InstanceType: "l", Zone: "a"}}, Demand{OnDemandCores: 8, ZoneBoundCores: map[string]float64{"b": 4}, TaskShapes: []TaskShape{service}}, "s b firm", 1, nil},
		{"and not elsewhere", []Instance{{InstanceType: "s", Zone: "b", ReplicaCores: 4}}, Demand{OnDemandCores: 8, ZoneBoundCores: map[string]float64{"b": 4}, TaskShapes: []TaskShape{service}}, "s b firm", 1, nil},
		{"nor is anything kept elsewhere for it", []Instance{
			{Name: "x", InstanceType: "l", Zone: "a", Up: true, IdleSince: old, RequestedAt: old}, {InstanceType: "s", Zone: "b", Up: true, ReplicaCores: 4, Replicas: 2, RequestedAt: old, CanMoveReplicas: func() bool { return false }},
			{InstanceType: "l", Zone: "a", Up: true, ReplicaCores: 2, Replicas: 1, RequestedAt: old, CanMoveReplicas: func() bool { return false }},
		}, Demand{OnDemandCores: 22, ZoneBoundCores: map[string]float64{"b": 16}, TaskShapes: []TaskShape{service}}, "s b firm", 4, []string{"x"}},
		{"room elsewhere for what a lost zone leaves", []Instance{{InstanceType: "l", Zone: "a", ReplicaCores: 4}}, Demand{OnDemandCores: 4, FailoverCores: map[string]float64{"a": 4}, TaskShapes: []TaskShape{service}}, "s b firm", 1, nil},
		{"none for what may not be elsewhere", []Instance{{InstanceType: "l", Zone: "a", ReplicaCores: 4}}, Demand{OnDemandCores: 4, TaskShapes: []TaskShape{service}}, "", 0, nil},
		{"idle machines go", []Instance{{Name: "x", InstanceType: "s", Spot: true, Up: true, IdleSince: old, RequestedAt: old}}, Demand{}, "", 0, []string{"x"}},
		{"not in the first moments", []Instance{{Name: "x", InstanceType: "s", Spot: true, Up: true, IdleSince: now.Add(-time.Second), RequestedAt: now.Add(-time.Second)}}, Demand{}, "", 0, nil},
		{"the dearest core goes first", []Instance{
			{Name: "x", InstanceType: "s", Up: true, IdleSince: old, RequestedAt: old}, {Name: "y", InstanceType: "l", Up: true, IdleSince: old, RequestedAt: old},
		}, Demand{OnDemandCores: 2, LargestServiceCores: 2, TaskShapes: []TaskShape{service}}, "", 0, []string{"y"}},
		{"a machine with replicas is drained only if they have a place", []Instance{
			{Name: "x", InstanceType: "s", Up: true, RequestedAt: old, Replicas: 1, CanMoveReplicas: func() bool { return true }}, {Name: "y", InstanceType: "l", Up: true, RequestedAt: old, Replicas: 1, CanMoveReplicas: func() bool { return false }},
		}, Demand{OnDemandCores: 2, TaskShapes: []TaskShape{service}}, "", 0, []string{"x"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan := newTestPlanner(t, "always").Plan(types(), tc.ms, tc.need, now)
			ask, n := "", 0
			if len(plan.ScaleOut) > 0 {
				r := plan.ScaleOut[0]
				ask, n = r.InstanceType+" "+r.Zone+map[bool]string{true: " spot", false: " firm"}[r.Spot], r.Count
			}
			if ask != tc.ask || n != tc.n {
				t.Errorf("asks %d of %q, want %d of %q", n, ask, tc.n, tc.ask)
			}
			out := append(plan.Release, plan.Drain...)
			if len(out) != len(tc.out) || len(out) > 0 && out[0] != tc.out[0] {
				t.Errorf("lets go of %v, want %v", out, tc.out)
			}
		})
	}
}

func TestScaleOutAheadStopsAtQuotaLimits(t *testing.T) {
	p := newTestPlanner(t, "never")
	need := Demand{ScaleAheadCores: 24, TaskShapes: []TaskShape{{Cores: 1}}}
	if rents := p.Plan(types(), []Instance{{InstanceType: "l"}, {InstanceType: "s"}}, need, now).ScaleOut; len(rents) != 2 || rents[0].Count != 1 {
		t.Errorf("asks %+v", rents)
	}
	if rents := p.Plan(types(), []Instance{{InstanceType: "l"}, {InstanceType: "s"}, {InstanceType: "s"}}, need, now).ScaleOut; len(rents) != 0 {
		t.Errorf("asks %+v past the limit", rents)
	}
}

// A type that was refused is left alone for a while, longer each time, and no
// request name is used twice.
func TestRefusedOfferings(t *testing.T) {
	p := newTestPlanner(t, "always")
	need := Demand{SpotCores: 4, UrgentCores: 4, TaskShapes: []TaskShape{{Cores: 4, SpotAllowed: true}}}
	seen := map[string]bool{}
	var last wire.ScaleOutRequest
	for i := range 3 {
		rents := p.Plan(types(), nil, need, now).ScaleOut
		if len(rents) == 0 {
			break
		}
		r := rents[0]
		if seen[r.RequestID] || r.InstanceType+r.Zone == last.InstanceType+last.Zone {
			t.Fatalf("try %d asks again for %+v", i, r)
		}
		seen[r.RequestID], last = true, r
		p.RecordAnswer(r, 0, now)
	}
	if len(seen) != 3 {
		t.Errorf("%d requests, want one for each type and zone", len(seen))
	}
	p.RecordRelease(Instance{InstanceType: last.InstanceType, Zone: last.Zone, Spot: true})
	if rents := p.Plan(types(), nil, need, now).ScaleOut; len(rents) != 1 || rents[0].InstanceType != last.InstanceType {
		t.Errorf("after one was returned: %+v", rents)
	}
}

// Many services even out: they need a smaller spare share than a few.
func TestSpareShareFallsWithManyJobs(t *testing.T) {
	op, err := settings.ParseOperator([]byte("<rillflow><fleet><spare>0.2</spare></fleet></rillflow>"))
	if err != nil {
		t.Fatal(err)
	}
	p := NewPlanner(&settings.Settings{Operator: op}, 1)
	for jobs, want := range map[int]float64{0: 0.2, 10: 0.2, 64: 0.2, 256: 0.1, 1024: 0.05} {
		if got := p.spareShare(jobs); got != want {
			t.Errorf("%d jobs: %v, want %v", jobs, got, want)
		}
	}
}
