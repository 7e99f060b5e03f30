package control

import (
	"slices"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/lead"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
	"rillflow/internal/withdrawn"
)

// What a report proves of a withdrawn task that it does not name, where messages may come
// late or twice: nothing if it is older than the last one, or of the machine's last life,
// or while a launch sent earlier may yet arrive. Freed too soon, the task runs beside
// another or past its end.
func TestReportWithoutTheTask(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tick  uint64
		tweak func(h *agent.Worker, c *ledger.Held)
		freed bool
	}{
		{"news, and no launch can arrive any more", 11, nil, true},
		{"a late copy", 9, nil, false},
		{"the last one once more", 10, nil, false},
		{"a command is under way", 11, func(h *agent.Worker, _ *ledger.Held) { h.CommandInFlight = true }, false},
		{"it was launched under the epoch that the worker shows", 11, func(_ *agent.Worker, c *ledger.Held) { c.SentEpoch = 7 }, false},
		{"it was launched under a later one", 11, func(_ *agent.Worker, c *ledger.Held) { c.SentEpoch = 8 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := term(t)
			r.took = newLatencies()
			h := r.hosts["h0"]
			h.Sequence, h.SeenEpoch = 10, 7
			j := r.add("req-1", wire.Job{Class: "f", TaskCount: 1, CPUs: 2})
			c := r.run(t, j, "h0", time.Second)
			c.Sent, c.SentEpoch = true, 6
			r.led.Withdraw("req-1")
			if tc.tweak != nil {
				tc.tweak(h, c)
			}
			r.report(&wire.Heartbeat{Worker: "h0", InstanceType: "m", Zone: h.Zone, Incarnation: 1, Sequence: tc.tick, Epoch: 7})
			if freed := len(r.led.OnHost("h0")) == 0; freed != tc.freed {
				t.Errorf("freed: %v", freed)
			}
		})
	}
}

// What comes after newer reports, a late copy perhaps, is answered, for the answer may
// renew the lease; but it tells nothing of how the machine is by now. Taken for a sign of
// life it kept a dead machine's tasks waiting for as long as copies came.
func TestLateReportIsNoSignOfLife(t *testing.T) {
	for _, tc := range []struct {
		name         string
		tenure, tick uint64
		heard        bool
	}{
		{"news", 2, 11, true},
		{"a late copy", 2, 9, false},
		{"of an earlier session", 1, 40, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := term(t)
			r.term, r.ready, r.ctx = &held{lead.Map{Epoch: 7, Parts: []string{"n"}}}, make(chan struct{}), t.Context()
			close(r.ready)
			r.cur.Store(r)
			h := r.hosts["h0"]
			h.Incarnation, h.Sequence, h.SeenEpoch = 2, 10, 7
			before := now.Add(-20 * time.Second)
			h.LastHeartbeat, h.LastAnswered, h.LastUpdate, r.heard = before, before, before, before
			if _, _, err := r.Beat(t.Context(), &wire.Heartbeat{Worker: "h0", InstanceType: "m", Zone: h.Zone, Incarnation: tc.tenure, Sequence: tc.tick, Epoch: 7}); err != nil {
				t.Fatal(err)
			}
			if got := h.LastHeartbeat.Equal(now) && r.heard.Equal(now) && h.LastUpdate.Equal(now); got != tc.heard || got != r.alive(h, now) {
				t.Errorf("heard %v, told %v, alive %v", h.LastHeartbeat, h.LastUpdate, r.alive(h, now))
			}
			if !h.LastAnswered.Equal(now) {
				t.Error("the answer is not counted: it may have renewed the lease")
			}
		})
	}
}

// A machine on which a withdrawn task may still be when it must be gone is returned, heard
// or not, by whoever led last; what the state service has not told is known from notices.
func TestOverdue(t *testing.T) {
	for _, tc := range []struct {
		name   string
		since  time.Duration // the withdrawal
		over   bool          // its end was seen
		silent bool
		due    bool
	}{
		{"just now", 10 * time.Second, false, false, false},
		{"about to be late, and silent", 45 * time.Second, false, true, true},
		{"about to be late, though heard", 45 * time.Second, false, false, true},
		{"seen to end", 45 * time.Second, true, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := term(t)
			r.took, r.term = newLatencies(), &held{lead.Map{Epoch: 7, Parts: []string{"n"}}}
			r.set.Facts.Workers.CancelS = 50
			j := r.add("req-1", wire.Job{Class: "f", TaskCount: 1, CPUs: 2})
			r.add("req-2", wire.Job{Class: "f", TaskCount: 1, CPUs: 2})
			r.run(t, j, "h0", time.Minute)
			r.run(t, r.led.Job("req-2"), "h1", time.Minute)
			r.notices = withdrawn.New(withdrawn.Options{Within: time.Minute, Max: 8, Refused: func() bool { return false }, Now: r.now})
			r.notices.Add("", "req-1", "req-unknown")
			r.heed()
			if !j.Withdrawn || r.led.Job("req-2").Withdrawn {
				t.Fatal("not withdrawn by the notice")
			}
			if tc.over {
				r.report(&wire.Heartbeat{Worker: "h0", InstanceType: "m", Zone: "a", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{{Task: "req-1/0", Attempt: 1, Phase: wire.TaskExited, ExitReason: wire.ExitStopped}}})
			}
			at := now.Add(tc.since)
			if !tc.silent {
				r.hosts["h0"].LastHeartbeat = at
			}
			r.hosts["h1"].LastHeartbeat = at
			due := slices.Contains(r.overdue(at), "h0")
			if due != tc.due || slices.Contains(r.overdue(at), "h1") {
				t.Errorf("overdue %v", r.overdue(at))
			}
			if tc.due && !slices.Contains(r.faulty(at), "h0") {
				t.Error("not returned by a leader that is sure to lead")
			}
		})
	}
}

// learner counts what is learned.
type learner struct {
	parts
	n *int
}

func (l learner) Learn(agent.RuntimeSample) { *l.n++ }

// A result that was kept from an earlier try comes back at once: the task is done, and
// nothing is learned of how long it runs.
func TestKeptResultTeachesNothing(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ran   bool // it was seen running
		learn int
	}{{"seen running", true, 1}, {"kept", false, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			r, n := term(t), 0
			r.took, r.parts, r.term = newLatencies(), learner{n: &n}, &held{lead.Map{Epoch: 7, Parts: []string{"n"}}}
			j := r.add("req-1", wire.Job{Class: "f", Kind: wire.KindArray, TaskCount: 2, CPUs: 2})
			c := r.run(t, j, "h0", time.Minute)
			if !tc.ran {
				c.Running = time.Time{}
			}
			r.report(&wire.Heartbeat{Worker: "h0", InstanceType: "m", Zone: "a", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{{Task: "req-1/0", Attempt: c.Try, Phase: wire.TaskExited, ExitReason: wire.ExitDone}}})
			if n != tc.learn || j.Ran.N != tc.learn || j.Done() != 1 {
				t.Errorf("learned %d, %d; %d done", n, j.Ran.N, j.Done())
			}
		})
	}
}
