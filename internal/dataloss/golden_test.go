package dataloss

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"rillflow/internal/goldentest"
	"rillflow/internal/wire"
)

// The keys and values that store an incarnation must not change between versions.
func TestGoldenStored(t *testing.T) {
	var out strings.Builder
	incarnation := Incarnation{ID: "ABC", Revision: 5, InitialPhase: PhaseProvisional, DataLost: true, Epoch: 7}
	create, err := incarnation.CreateOperation()
	if err != nil {
		t.Fatal(err)
	}
	out.WriteString(goldentest.JSON(t, create) + "\n" + goldentest.JSON(t, incarnation.DeleteOperation()) + "\n")
	plain, err := Incarnation{ID: "ABC", InitialPhase: PhaseComplete, Epoch: 7}.CreateOperation()
	if err != nil {
		t.Fatal(err)
	}
	out.WriteString(goldentest.JSON(t, plain) + "\n")
	for _, phase := range []Phase{PhaseProvisional, PhaseRecovering, PhaseRestoringResults, PhaseComplete} {
		setPhase, err := incarnation.PhaseOperation(phase)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(goldentest.JSON(t, setPhase) + "\n")
		got := parseState([]wire.KeyValue{
			{Key: create.Put, Value: create.Value, ModRevision: 5},
			{Key: setPhase.Put, Value: setPhase.Value, ModRevision: 6},
		})
		if want := (IncarnationState{Incarnation: incarnation, Phase: phase}); !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v from the stored keys, want %+v", got, want)
		}
	}
	compare, _ := incarnation.Compare()
	fmt.Fprintf(&out, "%s\n%s\n", goldentest.JSON(t, compare), keyPrefix)
	goldentest.Check(t, "stored.txt", out.String())
}
