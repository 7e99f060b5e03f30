package dataloss

import (
	"log/slog"
	"testing"
	"time"

	"rillflow/internal/kvstore"
)

func newTestDetector() *Detector {
	store := kvstore.New(kvstore.Options{Addr: "none:1", RequestsPerSecond: 1, Timeout: time.Second})
	return NewDetector(store, nil, slog.New(slog.DiscardHandler))
}

// When a suspicion begins, when it is over, and what may be done meanwhile.
func TestDataLossSuspected(t *testing.T) {
	a, b := keyValues("history/id/A", complete), keyValues("history/id/B", recovering)
	c := keyValues("history/id/C", `{"phase":"rebuild","lost":true,"epoch":9}`)
	for _, tc := range []struct {
		name         string
		run          func(d *Detector)
		suspected    bool
		legacyLeader bool
		compares     int
		fails        bool
	}{
		{"nothing read yet", func(*Detector) {}, false, false, 0, true},
		{"none, and nobody leads", func(d *Detector) { d.replaceAll(nil, time.Now()) }, false, false, 0, true},
		{"none, by a leader of an earlier version", func(d *Detector) {
			d.replaceAll(nil, time.Now())
		}, false, true, 0, false},
		{"unchanged", func(d *Detector) { d.replaceAll(a, time.Now()) }, false, false, 1, false},
		{"its key is gone", func(d *Detector) {
			d.replaceAll(a, time.Now())
			d.replaceAll(nil, time.Now())
		}, true, false, 0, true},
		{"another began", func(d *Detector) {
			d.replaceAll(a, time.Now())
			d.replaceAll(nil, time.Now())
			d.replaceAll(b, time.Now())
		}, false, false, 1, false},
		{"suspected until another begins", func(d *Detector) {
			d.replaceAll(a, time.Now())
			d.Suspect("x")
			d.replaceAll(a, time.Now())
		}, true, false, 0, true},
		{"suspected, and another began", func(d *Detector) {
			d.replaceAll(a, time.Now())
			d.Suspect("x")
			d.replaceAll(b, time.Now())
		}, false, false, 1, false},
		{"an earlier one is back", func(d *Detector) {
			d.replaceAll(b, time.Now())
			d.replaceAll(a, time.Now())
		}, true, false, 0, true},
		{"an earlier one is back, then a new one", func(d *Detector) {
			d.replaceAll(b, time.Now())
			d.replaceAll(a, time.Now())
			d.replaceAll(c, time.Now())
		}, false, false, 1, false},
		{"a peer suspects the same", func(d *Detector) {
			d.replaceAll(a, time.Now())
			d.ObservePeer("p", Suspicion{Active: true, IncarnationID: "A", Reason: "x"})
		}, true, false, 0, true},
		{"a peer suspects another", func(d *Detector) {
			d.replaceAll(a, time.Now())
			d.ObservePeer("p", Suspicion{Active: true, IncarnationID: "B", Reason: "x"})
		}, false, false, 1, false},
		{"a response was on its way when this controller began it", func(d *Detector) {
			askedAt := time.Now()
			d.IncarnationBegun(Incarnation{ID: "A", Revision: 4, InitialPhase: PhaseProvisional, Epoch: 8})
			d.replaceAll(nil, askedAt)
		}, false, false, 1, false},
		{"a response was on its way when a later one came", func(d *Detector) {
			askedAt := time.Now()
			d.replaceAll(a, time.Now())
			d.replaceAll(nil, askedAt)
		}, false, false, 1, false},
		{"this controller began another itself", func(d *Detector) {
			d.replaceAll(a, time.Now())
			d.Suspect("x")
			d.IncarnationBegun(Incarnation{ID: "B", Revision: 4, InitialPhase: PhaseRecovering, Epoch: 8})
		}, false, false, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newTestDetector()
			tc.run(d)
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
