package history

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
	m := Marker{ID: "ABC", Stamp: 5, Born: Open, Lost: true, Epoch: 7}
	put, err := m.Put()
	if err != nil {
		t.Fatal(err)
	}
	out.WriteString(goldentest.JSON(t, put) + "\n" + goldentest.JSON(t, m.Remove()) + "\n")
	plain, err := Marker{ID: "ABC", Born: Whole, Epoch: 7}.Put()
	if err != nil {
		t.Fatal(err)
	}
	out.WriteString(goldentest.JSON(t, plain) + "\n")
	for _, p := range []Phase{Open, Rebuild, Ends, Whole} {
		step, err := m.Step(p)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(goldentest.JSON(t, step) + "\n")
		got := parse([]wire.KeyValue{{Key: put.Put, Value: put.Value, ModRevision: 5}, {Key: step.Put, Value: step.Value, ModRevision: 6}})
		if want := (View{Marker: m, Phase: p}); !reflect.DeepEqual(got, want) {
			t.Errorf("reads back as %+v", got)
		}
	}
	g, _ := m.Guard()
	fmt.Fprintf(&out, "%s\n%s\n", goldentest.JSON(t, g), prefix)
	goldentest.Check(t, "stored.txt", out.String())
}
