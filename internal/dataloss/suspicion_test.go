package dataloss

import (
	"log/slog"
	"testing"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

func newTestDetector() *Detector {
	store := kvstore.New(kvstore.Options{Addr: "none:1", RequestsPerSecond: 1, Timeout: time.Second})
	return NewDetector(store, nil, slog.New(slog.DiscardHandler))
}

// step is an event that a detector processes.
type step func(d *Detector)

// snapshot is the response to a list of the keys.
func snapshot(items []wire.KeyValue) step {
	return func(d *Detector) { d.replaceAll(items, time.Now()) }
}

// lateSnapshot is the response to a list that was requested before the given steps.
func lateSnapshot(items []wire.KeyValue, meanwhile ...step) step {
	return func(d *Detector) {
		requestedAt := time.Now()
		for _, apply := range meanwhile {
			apply(d)
		}
		d.replaceAll(items, requestedAt)
	}
}

func suspect(d *Detector) { d.Suspect("x") }

func peerSuspects(incarnationID string) step {
	return func(d *Detector) {
		d.ObservePeer("p", Suspicion{Active: true, IncarnationID: incarnationID, Reason: "x"})
	}
}

func begun(incarnation Incarnation) step {
	return func(d *Detector) { d.IncarnationBegun(incarnation) }
}

// Which events raise and clear a suspicion, and whether requests are allowed meanwhile.
func TestDataLossSuspected(t *testing.T) {
	a, b := keyValues("history/id/A", complete), keyValues("history/id/B", recovering)
	c := keyValues("history/id/C", `{"phase":"rebuild","lost":true,"epoch":9}`)
	begunA := begun(Incarnation{ID: "A", Revision: 4, InitialPhase: PhaseProvisional, Epoch: 8})
	begunB := begun(Incarnation{ID: "B", Revision: 4, InitialPhase: PhaseRecovering, Epoch: 8})
	for _, tc := range []struct {
		name           string
		steps          []step
		wantSuspected  bool
		legacyLeader   bool
		wantCompares   int
		wantFenceError bool // Fence fails
	}{
		{"no keys read yet", nil, false, false, 0, true},
		{"no incarnation, no leader", []step{snapshot(nil)}, false, false, 0, true},
		{"no incarnation, leader of an earlier version", []step{snapshot(nil)}, false, true, 0, false},
		{"current incarnation", []step{snapshot(a)}, false, false, 1, false},
		{"key missing", []step{snapshot(a), snapshot(nil)}, true, false, 0, true},
		{"key missing, then a new incarnation", []step{snapshot(a), snapshot(nil), snapshot(b)}, false, false, 1, false},
		{"suspected, same incarnation read again", []step{snapshot(a), suspect, snapshot(a)}, true, false, 0, true},
		{"suspected, then a new incarnation", []step{snapshot(a), suspect, snapshot(b)}, false, false, 1, false},
		{"earlier incarnation reappears", []step{snapshot(b), snapshot(a)}, true, false, 0, true},
		{"earlier incarnation reappears, then a new one", []step{snapshot(b), snapshot(a), snapshot(c)},
			false, false, 1, false},
		{"peer suspects the same incarnation", []step{snapshot(a), peerSuspects("A")}, true, false, 0, true},
		{"peer suspects another incarnation", []step{snapshot(a), peerSuspects("B")}, false, false, 1, false},
		{"list requested before this controller created the incarnation", []step{lateSnapshot(nil, begunA)},
			false, false, 1, false},
		{"list requested before a later list", []step{lateSnapshot(nil, snapshot(a))},
			false, false, 1, false},
		{"suspected, then this controller creates a new incarnation", []step{snapshot(a), suspect, begunB},
			false, false, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newTestDetector()
			for _, apply := range tc.steps {
				apply(d)
			}
			suspected := d.Suspicion().Active
			compares, _, err := d.Fence(tc.legacyLeader)
			if suspected != tc.wantSuspected || len(compares) != tc.wantCompares || (err != nil) != tc.wantFenceError {
				t.Errorf("got suspected %v, compares %v, error %v; want %v, %d compares, error: %v",
					suspected, compares, err, tc.wantSuspected, tc.wantCompares, tc.wantFenceError)
			}
		})
	}
}

// A peer with another current incarnation causes this controller to read the keys again,
// since a watch that starts at a later revision does not report the change.
func TestPeerWithAnotherIncarnation(t *testing.T) {
	d := newTestDetector()
	d.replaceAll(keyValues("history/id/A", complete), time.Now())
	d.ObservePeer("p", Suspicion{IncarnationID: "B"})
	select {
	case <-d.recheck:
	default:
		t.Error("no reload requested after a peer reported another incarnation")
	}
}
