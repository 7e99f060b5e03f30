package election

import (
	"slices"
	"testing"

	"rillflow/internal/dataloss"
	"rillflow/internal/wire"
)

// Every write of a leader compares the leader key and the store incarnation. If the store has
// no incarnation, because only versions before 0.5 wrote to it, only the leader key is compared.
func TestTermCompares(t *testing.T) {
	incarnation := dataloss.Incarnation{ID: "A", Revision: 7}
	term := &Term{leaderRevision: 3, incarnation: dataloss.IncarnationState{Incarnation: incarnation}}
	want := []wire.Compare{{Key: leaderKey, ModRevision: 3}, {Key: "history/id/A", ModRevision: 7}}
	if got := term.Compares(); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := (&Term{leaderRevision: 3}).Compares(); !slices.Equal(got, want[:1]) {
		t.Errorf("got %v, want %v", got, want[:1])
	}
}
