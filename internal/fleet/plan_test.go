package fleet

import (
	"testing"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

var now = time.Unix(1000, 0)

// testInstanceTypes returns a small type in two zones and a large one with a higher price per core
// in one zone.
func testInstanceTypes() map[string]*wire.InstanceType {
	return map[string]*wire.InstanceType{
		"s": {
			Name: "s", CPUs: 4, MemoryGB: 8, PricePerHour: 0.2, SpotPricePerHour: 0.1, BootSeconds: 20,
			Zones: []string{"a", "b"},
		},
		"l": {
			Name: "l", CPUs: 16, MemoryGB: 64, PricePerHour: 1.6, SpotPricePerHour: 0.8, BootSeconds: 20,
			Zones: []string{"a"},
		},
	}
}

// newTestPlanner returns a planner without spare capacity, with the thrift setting "always" or
// "never".
func newTestPlanner(t *testing.T, thrift string) *Planner {
	t.Helper()
	operator, err := settings.ParseOperator([]byte(
		"<rillflow><fleet><thrift>" + thrift + "</thrift><spare>0</spare></fleet></rillflow>"))
	if err != nil {
		t.Fatal(err)
	}
	return NewPlanner(&settings.Settings{Name: "n", Operator: operator, Facts: settings.Facts{
		Teams:   []settings.Team{{Name: "t", CPUsMax: 24}},
		Workers: settings.WorkerTimings{HeartbeatSeconds: 3, LeaseSeconds: 30},
	}}, 5)
}
