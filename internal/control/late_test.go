package control

import (
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// What a report proves of a withdrawn task that it does not name, where messages may come
// late or twice: nothing if it is older than the last one, or of the machine's last life,
// or while a launch sent earlier may yet arrive. Freed too soon, the task runs beside
// another or past its end.
func TestReportWithoutTheTask(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tick  uint64
		tweak func(h *agent.Host, c *ledger.Held)
		freed bool
	}{
		{"news, and no launch can arrive any more", 11, nil, true},
		{"a late copy", 9, nil, false},
		{"the last one once more", 10, nil, false},
		{"a command is under way", 11, func(h *agent.Host, _ *ledger.Held) { h.InFlight = true }, false},
		{"it was launched under the epoch that the worker shows", 11, func(_ *agent.Host, c *ledger.Held) { c.SentEpoch = 7 }, false},
		{"it was launched under a later one", 11, func(_ *agent.Host, c *ledger.Held) { c.SentEpoch = 8 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := term(t)
			r.took = newLatencies()
			h := r.hosts["h0"]
			h.Tick, h.Epoch = 10, 7
			j := r.add("req-1", wire.Job{Class: "f", Members: 1, Cores: 2})
			c := r.run(t, j, "h0", time.Second)
			c.Sent, c.SentEpoch = true, 6
			r.led.Withdraw("req-1")
			if tc.tweak != nil {
				tc.tweak(h, c)
			}
			r.report(&wire.Report{Host: "h0", Flavor: "m", Locale: h.Zone, Tenure: 1, Tick: tc.tick, Epoch: 7})
			if freed := len(r.led.OnHost("h0")) == 0; freed != tc.freed {
				t.Errorf("freed: %v", freed)
			}
		})
	}
}
