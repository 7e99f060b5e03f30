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

func planner(t *testing.T, thrift string) *Planner {
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

func TestFrugal(t *testing.T) {
	service := Shape{Cores: 2, RAM: 2}
	array := Shape{Cores: 4, RAM: 4, Loaners: true}
	old := now.Add(-time.Hour)
	for _, tc := range []struct {
		name string
		ms   []Machine
		need Need
		ask  string // first request: flavor, zone, kind
		n    int
		out  []string // machines to return or drain
	}{
		{"nothing to do, nothing rented", nil, Need{}, "", 0, nil},
		{"replicas want firm machines, the cheapest core", nil, Need{Steady: 6, Tasks: []Shape{service}}, "s a firm", 2, nil},
		{"the zone with the least goes first", []Machine{{Flavor: "s", Zone: "a"}}, Need{Steady: 8, Tasks: []Shape{service}}, "s b firm", 1, nil},
		{"arrays run on spot", nil, Need{Passing: 8, Paced: 8, Tasks: []Shape{array}}, "s a spot", 2, nil},
		{"only types that a task fits", nil, Need{Passing: 8, Paced: 8, Tasks: []Shape{{Cores: 8, Loaners: true}}}, "l a spot", 1, nil},
		{"only what must run at once, at first", nil, Need{Passing: 16, Paced: 8, Tasks: []Shape{array}}, "s a spot", 2, nil},
		{"machines that boot count", []Machine{{Flavor: "l", Loaners: true}}, Need{Passing: 8, Paced: 8, Tasks: []Shape{array}}, "", 0, nil},
		{"one that boots for too long does not", []Machine{{Flavor: "l", Loaners: true, Booting: true, Asked: now.Add(-40 * time.Second)}}, Need{Passing: 8, Paced: 8, Tasks: []Shape{array}}, "s a spot", 2, nil},
		{"one that may still come up in time does", []Machine{{Flavor: "l", Loaners: true, Booting: true, Asked: now.Add(-30 * time.Second)}}, Need{Passing: 8, Paced: 8, Tasks: []Shape{array}}, "", 0, nil},
		{"a spread service needs room in a second zone", []Machine{{Flavor: "l", Zone: "a"}}, Need{Steady: 4, Spread: 2, Tasks: []Shape{service}}, "s b firm", 1, nil},
		{"what replicas take there is no room", []Machine{{Flavor: "l", Zone: "a"}, {Flavor: "s", Zone: "b", Taken: 4}}, Need{Steady: 8, Spread: 2, Tasks: []Shape{service}}, "s b firm", 1, nil},
		{"the second zone's room stays", []Machine{
			{Name: "x", Flavor: "l", Zone: "a", Up: true, Idle: old, Asked: old}, {Name: "y", Flavor: "s", Zone: "b", Up: true, Idle: old, Asked: old},
		}, Need{Steady: 2, Spread: 2, Tasks: []Shape{service}}, "", 0, nil},
		// A zone that has no more to give kept all idle machines of the others.
		{"what the second zone lacks keeps nothing elsewhere", []Machine{
			{Name: "x", Flavor: "l", Zone: "a", Up: true, Idle: old, Asked: old}, {Flavor: "l", Zone: "a", Up: true, Taken: 2, Replicas: 1, Asked: old, Movable: func() bool { return false }},
			{Flavor: "s", Zone: "b", Up: true, Taken: 4, Replicas: 2, Asked: old, Movable: func() bool { return false }},
		}, Need{Steady: 6, Spread: 2, Tasks: []Shape{service}}, "s b firm", 1, []string{"x"}},
		{"what only one zone may take is rented there", []Machine{{Flavor: "l", Zone: "a"}}, Need{Steady: 8, Only: map[string]float64{"b": 4}, Tasks: []Shape{service}}, "s b firm", 1, nil},
		{"and not elsewhere", []Machine{{Flavor: "s", Zone: "b", Taken: 4}}, Need{Steady: 8, Only: map[string]float64{"b": 4}, Tasks: []Shape{service}}, "s b firm", 1, nil},
		{"nor is anything kept elsewhere for it", []Machine{
			{Name: "x", Flavor: "l", Zone: "a", Up: true, Idle: old, Asked: old}, {Flavor: "s", Zone: "b", Up: true, Taken: 4, Replicas: 2, Asked: old, Movable: func() bool { return false }},
			{Flavor: "l", Zone: "a", Up: true, Taken: 2, Replicas: 1, Asked: old, Movable: func() bool { return false }},
		}, Need{Steady: 22, Only: map[string]float64{"b": 16}, Tasks: []Shape{service}}, "s b firm", 4, []string{"x"}},
		{"room elsewhere for what a lost zone leaves", []Machine{{Flavor: "l", Zone: "a", Taken: 4}}, Need{Steady: 4, Exposed: map[string]float64{"a": 4}, Tasks: []Shape{service}}, "s b firm", 1, nil},
		{"none for what may not be elsewhere", []Machine{{Flavor: "l", Zone: "a", Taken: 4}}, Need{Steady: 4, Tasks: []Shape{service}}, "", 0, nil},
		{"idle machines go", []Machine{{Name: "x", Flavor: "s", Loaners: true, Up: true, Idle: old, Asked: old}}, Need{}, "", 0, []string{"x"}},
		{"not in the first moments", []Machine{{Name: "x", Flavor: "s", Loaners: true, Up: true, Idle: now.Add(-time.Second), Asked: now.Add(-time.Second)}}, Need{}, "", 0, nil},
		{"the dearest core goes first", []Machine{
			{Name: "x", Flavor: "s", Up: true, Idle: old, Asked: old}, {Name: "y", Flavor: "l", Up: true, Idle: old, Asked: old},
		}, Need{Steady: 2, Largest: 2, Tasks: []Shape{service}}, "", 0, []string{"y"}},
		{"a machine with replicas is drained only if they have a place", []Machine{
			{Name: "x", Flavor: "s", Up: true, Asked: old, Replicas: 1, Movable: func() bool { return true }}, {Name: "y", Flavor: "l", Up: true, Asked: old, Replicas: 1, Movable: func() bool { return false }},
		}, Need{Steady: 2, Tasks: []Shape{service}}, "", 0, []string{"x"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan := planner(t, "always").Plan(types(), tc.ms, tc.need, now)
			ask, n := "", 0
			if len(plan.Rents) > 0 {
				r := plan.Rents[0]
				ask, n = r.InstanceType+" "+r.Zone+map[bool]string{true: " spot", false: " firm"}[r.Spot], r.Count
			}
			if ask != tc.ask || n != tc.n {
				t.Errorf("asks %d of %q, want %d of %q", n, ask, tc.n, tc.ask)
			}
			out := append(plan.Leave, plan.Drain...)
			if len(out) != len(tc.out) || len(out) > 0 && out[0] != tc.out[0] {
				t.Errorf("lets go of %v, want %v", out, tc.out)
			}
		})
	}
}

func TestAmpleStopsAtTheTeamsLimits(t *testing.T) {
	p := planner(t, "never")
	need := Need{Ahead: 24, Tasks: []Shape{{Cores: 1}}}
	if rents := p.Plan(types(), []Machine{{Flavor: "l"}, {Flavor: "s"}}, need, now).Rents; len(rents) != 2 || rents[0].Count != 1 {
		t.Errorf("asks %+v", rents)
	}
	if rents := p.Plan(types(), []Machine{{Flavor: "l"}, {Flavor: "s"}, {Flavor: "s"}}, need, now).Rents; len(rents) != 0 {
		t.Errorf("asks %+v past the limit", rents)
	}
}

// A type that was refused is left alone for a while, longer each time, and no
// request name is used twice.
func TestRefusals(t *testing.T) {
	p := planner(t, "always")
	need := Need{Passing: 4, Paced: 4, Tasks: []Shape{{Cores: 4, Loaners: true}}}
	seen := map[string]bool{}
	var last wire.ScaleOutRequest
	for i := range 3 {
		rents := p.Plan(types(), nil, need, now).Rents
		if len(rents) == 0 {
			break
		}
		r := rents[0]
		if seen[r.RequestID] || r.InstanceType+r.Zone == last.InstanceType+last.Zone {
			t.Fatalf("try %d asks again for %+v", i, r)
		}
		seen[r.RequestID], last = true, r
		p.Answered(r, 0, now)
	}
	if len(seen) != 3 {
		t.Errorf("%d requests, want one for each type and zone", len(seen))
	}
	p.Returned(Machine{Flavor: last.InstanceType, Zone: last.Zone, Loaners: true})
	if rents := p.Plan(types(), nil, need, now).Rents; len(rents) != 1 || rents[0].InstanceType != last.InstanceType {
		t.Errorf("after one was returned: %+v", rents)
	}
}

// Many services even out: they need a smaller spare share than a few.
func TestSpareFallsWithManyJobs(t *testing.T) {
	op, err := settings.ParseOperator([]byte("<rillflow><fleet><spare>0.2</spare></fleet></rillflow>"))
	if err != nil {
		t.Fatal(err)
	}
	p := NewPlanner(&settings.Settings{Operator: op}, 1)
	for jobs, want := range map[int]float64{0: 0.2, 10: 0.2, 64: 0.2, 256: 0.1, 1024: 0.05} {
		if got := p.spare(jobs); got != want {
			t.Errorf("%d jobs: %v, want %v", jobs, got, want)
		}
	}
}
