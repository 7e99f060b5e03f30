package fleet

import "testing"

func TestScaleOutAheadStopsAtQuotaLimits(t *testing.T) {
	planner := newTestPlanner(t, "never")
	demand := Demand{ScaleAheadCores: 24, TaskShapes: []TaskShape{{Cores: 1}}}
	instances := []Instance{{InstanceType: "l"}, {InstanceType: "s"}}
	requests := planner.Plan(testInstanceTypes(), instances, demand, now).ScaleOut
	if len(requests) != 2 || requests[0].Count != 1 {
		t.Errorf("requests %+v, want two, the first for one instance", requests)
	}
	instances = append(instances, Instance{InstanceType: "s"})
	requests = planner.Plan(testInstanceTypes(), instances, demand, now).ScaleOut
	if len(requests) != 0 {
		t.Errorf("requests %+v beyond the quota limit, want none", requests)
	}
}
