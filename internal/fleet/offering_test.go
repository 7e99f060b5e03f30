package fleet

import (
	"testing"

	"rillflow/internal/wire"
)

// Guards against repeated requests for a refused offering while others are left, and against
// reused request IDs.
func TestRefusedOfferingsBackOff(t *testing.T) {
	planner := newTestPlanner(t, "always")
	demand := Demand{SpotCores: 4, UrgentCores: 4, TaskShapes: []TaskShape{{Cores: 4, SpotAllowed: true}}}
	requestIDs := map[string]bool{}
	var last wire.ScaleOutRequest
	for attempt := range 3 {
		requests := planner.Plan(testInstanceTypes(), nil, demand, now).ScaleOut
		if len(requests) == 0 {
			break
		}
		request := requests[0]
		if requestIDs[request.RequestID] || request.InstanceType+request.Zone == last.InstanceType+last.Zone {
			t.Fatalf("attempt %d repeats the request ID or the offering: %+v", attempt, request)
		}
		requestIDs[request.RequestID], last = true, request
		planner.RecordAnswer(request, 0, now)
	}
	if len(requestIDs) != 3 {
		t.Errorf("%d requests, want 3, one for each type and zone", len(requestIDs))
	}
	planner.RecordRelease(Instance{InstanceType: last.InstanceType, Zone: last.Zone, Spot: true})
	requests := planner.Plan(testInstanceTypes(), nil, demand, now).ScaleOut
	if len(requests) != 1 || requests[0].InstanceType != last.InstanceType {
		t.Errorf("requests %+v after a release, want one of type %s", requests, last.InstanceType)
	}
}
