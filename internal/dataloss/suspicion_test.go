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

// step is something that a detector gets to know.
type step func(d *Detector)

// snapshot is the step that the store answers a list of its keys.
func snapshot(items []wire.KeyValue) step {
	return func(d *Detector) { d.replaceAll(items, time.Now()) }
}

// lateSnapshot is an answer that was on its way while the steps were taken.
func lateSnapshot(items []wire.KeyValue, meanwhile ...step) step {
	return func(d *Detector) {
		askedAt := time.Now()
		for _, do := range meanwhile {
			do(d)
		}
		d.replaceAll(items, askedAt)
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

// When a suspicion begins, when it is over, and what may be done meanwhile.
func TestDataLossSuspected(t *testing.T) {
	a, b := keyValues("history/id/A", complete), keyValues("history/id/B", recovering)
	c := keyValues("history/id/C", `{"phase":"rebuild","lost":true,"epoch":9}`)
	begunA := begun(Incarnation{ID: "A", Revision: 4, InitialPhase: PhaseProvisional, Epoch: 8})
	begunB := begun(Incarnation{ID: "B", Revision: 4, InitialPhase: PhaseRecovering, Epoch: 8})
	for _, tc := range []struct {
		name         string
		steps        []step
		suspected    bool
		legacyLeader bool
		compares     int
		fails        bool
	}{
		{"nothing read yet", nil, false, false, 0, true},
		{"none, and nobody leads", []step{snapshot(nil)}, false, false, 0, true},
		{"none, by a leader of an earlier version", []step{snapshot(nil)}, false, true, 0, false},
		{"unchanged", []step{snapshot(a)}, false, false, 1, false},
		{"its key is gone", []step{snapshot(a), snapshot(nil)}, true, false, 0, true},
		{"another began", []step{snapshot(a), snapshot(nil), snapshot(b)}, false, false, 1, false},
		{"suspected until another begins", []step{snapshot(a), suspect, snapshot(a)}, true, false, 0, true},
		{"suspected, and another began", []step{snapshot(a), suspect, snapshot(b)}, false, false, 1, false},
		{"an earlier one is back", []step{snapshot(b), snapshot(a)}, true, false, 0, true},
		{"an earlier one is back, then a new one", []step{snapshot(b), snapshot(a), snapshot(c)}, false, false, 1, false},
		{"a peer suspects the same", []step{snapshot(a), peerSuspects("A")}, true, false, 0, true},
		{"a peer suspects another", []step{snapshot(a), peerSuspects("B")}, false, false, 1, false},
		{"a response was on its way when this controller began it", []step{lateSnapshot(nil, begunA)},
			false, false, 1, false},
		{"a response was on its way when a later one came", []step{lateSnapshot(nil, snapshot(a))},
			false, false, 1, false},
		{"this controller began another itself", []step{snapshot(a), suspect, begunB}, false, false, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newTestDetector()
			for _, do := range tc.steps {
				do(d)
			}
			suspected := d.Suspicion().Active
			compares, _, err := d.Fence(tc.legacyLeader)
			if suspected != tc.suspected || len(compares) != tc.compares || (err != nil) != tc.fails {
				t.Errorf("suspected %v, compares %v, %v", suspected, compares, err)
			}
		})
	}
}

// A peer that goes by another incarnation has this controller look again: a watch that
// begins after a revision long passed does not tell.
func TestPeerWithAnotherIncarnation(t *testing.T) {
	d := newTestDetector()
	d.replaceAll(keyValues("history/id/A", complete), time.Now())
	d.ObservePeer("p", Suspicion{IncarnationID: "B"})
	select {
	case <-d.recheck:
	default:
		t.Error("the incarnation is not read again")
	}
}
