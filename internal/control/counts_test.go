package control

import (
	"errors"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/history"
	"rillflow/internal/wire"
)

// after is a term in a history that begins behind a loss, or in one that does not.
type after struct {
	held
	lost bool
}

func (t *after) History() history.View { return history.View{Marker: history.Marker{Lost: t.lost}} }

// Of a job that is stored nowhere a new leader knows nothing until the machines that have
// its tasks were heard. Told as never accepted in that time, it was forgotten.
func TestCountsOfUnknownJobs(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lost  bool
		since time.Duration
		host  string // as it stands to this leader
		err   error
	}{
		{"nothing was lost", false, 0, "unheard", nil},
		{"lost, and the list may lack machines", true, time.Second, "heard", ErrUnheard},
		{"lost, and one was not heard", true, 15 * time.Second, "unheard", ErrUnheard},
		{"lost, and one may still be ordered by the last leader", true, 15 * time.Second, "earlier", ErrUnheard},
		{"lost, and all were heard", true, 15 * time.Second, "heard", nil},
		{"lost, and what was not heard has no lease left", true, 40 * time.Second, "unheard", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := term(t)
			r.term, r.first, r.began = &after{lost: tc.lost}, 7, now.Add(-tc.since)
			r.set.Facts.Cloud.ListLagS = 5
			for _, h := range r.sorted {
				h.SeenEpoch = 7
			}
			h := agent.NewWorker("h9")
			switch tc.host {
			case "heard":
				h.LastHeartbeat, h.SeenEpoch = now, 7
			case "earlier":
				h.LastHeartbeat, h.SeenEpoch = now, 6
			}
			r.enter(h)
			r.listed = map[string]wire.Instance{"h9": {Name: "h9", Phase: wire.PhaseRunning}}
			r.Control.cur.Store(r)
			if _, known, err := r.Counts("req-9"); known || !errors.Is(err, tc.err) {
				t.Errorf("known %v, %v; want %v", known, err, tc.err)
			}
			if _, known, err := r.Counts(r.add("req-1", wire.Job{Class: "f", TaskCount: 1}).Ref); !known || err != nil {
				t.Errorf("a job in the ledger: known %v, %v", known, err)
			}
			r.traces = map[string]*trace{"req-2": {}}
			if _, known, err := r.Counts("req-2"); !known || err != nil {
				t.Errorf("a job that a machine showed: known %v, %v", known, err)
			}
		})
	}
	if _, _, err := (&Control{}).Counts("req-1"); !errors.Is(err, ErrNotLeading) {
		t.Errorf("no term: %v", err)
	}
}
