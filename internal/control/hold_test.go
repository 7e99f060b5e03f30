package control

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// After a loss nothing is placed before what is alive is stored and every machine that
// may have a task was heard; later, only what came since, unless this node knows all.
func TestHolding(t *testing.T) {
	const first = 7
	began := time.Unix(1000, 0)
	set := &settings.Settings{Facts: settings.Facts{Workers: settings.Workers{ReportS: 3, LeaseS: 30}, Cloud: settings.Cloud{ListLagS: 5}}}
	heard := func(epoch uint64) *agent.Worker {
		h := agent.NewWorker("i-1")
		h.LastHeartbeat, h.SeenEpoch = began.Add(time.Second), epoch
		return h
	}
	for _, tc := range []struct {
		name     string
		back     *restore
		host     *agent.Worker
		at       time.Duration
		holding  bool
		withheld bool // a job of before the loss
	}{
		{"nothing was lost", nil, agent.NewWorker("i-1"), 0, false, false},
		{"only ends are written", &restore{}, agent.NewWorker("i-1"), 0, false, false},
		{"not stored yet", &restore{all: true, exact: true}, heard(first), 12 * time.Second, true, true},
		{"a machine was not heard", &restore{all: true, exact: true, durable: began}, agent.NewWorker("i-1"), 12 * time.Second, true, true},
		{"heard, but an earlier leader may still order it", &restore{all: true, exact: true, durable: began}, heard(first - 1), 12 * time.Second, true, true},
		{"all heard, and all is remembered", &restore{all: true, exact: true, durable: began}, heard(first), 2 * time.Second, false, false},
		{"all heard, but the list may lack one", &restore{all: true, durable: began}, heard(first), 9 * time.Second, true, true},
		{"all heard, and the list is up to date", &restore{all: true, durable: began}, heard(first), 11 * time.Second, false, false},
		{"one is never heard, all is remembered", &restore{all: true, exact: true, durable: began}, agent.NewWorker("i-1"), 34 * time.Second, false, false},
		{"one is never heard, and not all is remembered", &restore{all: true, durable: began}, agent.NewWorker("i-1"), 34 * time.Second, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &reign{
				Control: &Control{set: set, log: slog.New(slog.NewTextHandler(io.Discard, nil))}, first: first, began: began, back: tc.back,
				led: ledger.New("w", nil), hosts: map[string]*agent.Worker{}, gone: map[string]time.Time{}, listed: map[string]wire.Instance{"i-1": {Name: "i-1", Phase: wire.PhaseRunning}},
			}
			r.enter(tc.host)
			if got := r.holding(began.Add(tc.at)); got != tc.holding {
				t.Errorf("holding: %v", got)
			}
			old := r.led.Add("r", ledger.Record{Job: wire.Job{ID: "r", TaskCount: 1}, AtMS: began.Add(time.Second).UnixMilli()}, 1)
			// Accepted by a node whose clock is behind: what counts is that it was seen to come.
			late := r.led.Add("s", ledger.Record{Job: wire.Job{ID: "s", TaskCount: 1}, AtMS: began.Add(-time.Second).UnixMilli()}, 1)
			late.Arrive(began.Add(time.Second))
			if r.withheld(old) != tc.withheld || r.withheld(late) {
				t.Errorf("withheld: %v, %v", r.withheld(old), r.withheld(late))
			}
		})
	}
}
