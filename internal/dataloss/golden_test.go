package dataloss

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"rillflow/internal/goldentest"
	"rillflow/internal/wire"
)

// The keys of a history are stored as they are today.
func TestGoldenStored(t *testing.T) {
	var out strings.Builder
	m := Incarnation{ID: "ABC", Revision: 5, InitialPhase: PhaseProvisional, DataLost: true, Epoch: 7}
	put, err := m.CreateOperation()
	if err != nil {
		t.Fatal(err)
	}
	out.WriteString(goldentest.JSON(t, put) + "\n" + goldentest.JSON(t, m.DeleteOperation()) + "\n")
	plain, err := Incarnation{ID: "ABC", InitialPhase: PhaseComplete, Epoch: 7}.CreateOperation()
	if err != nil {
		t.Fatal(err)
	}
	out.WriteString(goldentest.JSON(t, plain) + "\n")
	for _, p := range []Phase{PhaseProvisional, PhaseRecovering, PhaseRestoringResults, PhaseComplete} {
		step, err := m.PhaseOperation(p)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(goldentest.JSON(t, step) + "\n")
		got := parseState([]wire.KeyValue{{Key: put.Put, Value: put.Value, ModRevision: 5}, {Key: step.Put, Value: step.Value, ModRevision: 6}})
		if want := (IncarnationState{Incarnation: m, Phase: p}); !reflect.DeepEqual(got, want) {
			t.Errorf("reads back as %+v", got)
		}
	}
	g, _ := m.Compare()
	fmt.Fprintf(&out, "%s\n%s\n", goldentest.JSON(t, g), keyPrefix)
	goldentest.Check(t, "stored.txt", out.String())
}
