package fleet

import (
	"testing"

	"rillflow/internal/wire"
)

// An offering that was refused is left alone for a while, longer each time, and no request ID is
// used twice.
func TestRefusedOfferingsAreNotRequestedAtOnce(t *testing.T) {
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
			t.Fatalf("attempt %d requests again %+v", attempt, request)
		}
		requestIDs[request.RequestID], last = true, request
		planner.RecordAnswer(request, 0, now)
	}
	if len(requestIDs) != 3 {
		t.Errorf("%d requests, want one for each type and zone", len(requestIDs))
	}
	planner.RecordRelease(Instance{InstanceType: last.InstanceType, Zone: last.Zone, Spot: true})
	requests := planner.Plan(testInstanceTypes(), nil, demand, now).ScaleOut
	if len(requests) != 1 || requests[0].InstanceType != last.InstanceType {
		t.Errorf("after a release: %+v", requests)
	}
}
