package leader

import (
	"slices"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/cancellation"
	"rillflow/internal/election"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// What a report proves of a withdrawn task that it does not name, where messages may come
// late or twice: nothing if it is older than the last one, or of the machine's last life,
// or while a launch sent earlier may yet arrive. Freed too soon, the task runs beside
// another or past its end.
func TestHeartbeatWithoutTask(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tick  uint64
		tweak func(worker *agent.Worker, claim *ledger.Claim)
		freed bool
	}{
		{"news, and no launch can arrive any more", 11, nil, true},
		{"a late copy", 9, nil, false},
		{"the last one once more", 10, nil, false},
		{"a command is under way", 11, func(worker *agent.Worker, _ *ledger.Claim) { worker.CommandInFlight = true }, false},
		{"it was launched under the epoch that the worker shows", 11, func(_ *agent.Worker, claim *ledger.Claim) { claim.StartEpoch = 7 }, false},
		{"it was launched under a later one", 11, func(_ *agent.Worker, claim *ledger.Claim) { claim.StartEpoch = 8 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.heartbeats.latencies = newLatencies()
			worker := leader.workers["h0"]
			worker.Sequence, worker.SeenEpoch = 10, 7
			job := leader.addTestJob("req-1", wire.Job{Class: "f", TaskCount: 1, CPUs: 2})
			claim := leader.runTestTask(t, job, "h0", time.Second)
			claim.StartSent, claim.StartEpoch = true, 6
			leader.jobs.Cancel("req-1")
			if tc.tweak != nil {
				tc.tweak(worker, claim)
			}
			leader.heartbeats.applyHeartbeat(&wire.Heartbeat{Worker: "h0", InstanceType: "m", Zone: worker.Zone, Incarnation: 1, Sequence: tc.tick, Epoch: 7})
			if freed := len(leader.jobs.ClaimsOnWorker("h0")) == 0; freed != tc.freed {
				t.Errorf("freed: %v", freed)
			}
		})
	}
}

// What comes after newer reports, a late copy perhaps, is answered, for the answer may
// renew the lease; but it tells nothing of how the machine is by now. Taken for a sign of
// life it kept a dead machine's tasks waiting for as long as copies came.
func TestLateHeartbeatIsNoSignOfLife(t *testing.T) {
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
			leader := newTestTerm(t)
			leader.leadership, leader.ready, leader.ctx = &fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}, make(chan struct{}), t.Context()
			close(leader.ready)
			worker := leader.workers["h0"]
			worker.Incarnation, worker.Sequence, worker.SeenEpoch = 2, 10, 7
			before := now.Add(-20 * time.Second)
			worker.LastHeartbeat, worker.LastAnswered, worker.LastUpdate, leader.heartbeats.lastHeartbeat = before, before, before, before
			if _, _, err := runnerOf(leader).Heartbeat(t.Context(), &wire.Heartbeat{Worker: "h0", InstanceType: "m", Zone: worker.Zone, Incarnation: tc.tenure, Sequence: tc.tick, Epoch: 7}); err != nil {
				t.Fatal(err)
			}
			if got := worker.LastHeartbeat.Equal(now) && leader.heartbeats.lastHeartbeat.Equal(now) && worker.LastUpdate.Equal(now); got != tc.heard || got != leader.leaseRenewed(worker, now) {
				t.Errorf("heard %v, told %v, alive %v", worker.LastHeartbeat, worker.LastUpdate, leader.leaseRenewed(worker, now))
			}
			if !worker.LastAnswered.Equal(now) {
				t.Error("the answer is not counted: it may have renewed the lease")
			}
		})
	}
}

// A machine on which a withdrawn task may still be when it must be gone is returned, heard
// or not, by whoever led last; what the state service has not told is known from notices.
func TestOverdueWorkers(t *testing.T) {
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
			leader := newTestTerm(t)
			leader.heartbeats.latencies, leader.leadership = newLatencies(), &fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}
			leader.settings.Facts.Workers.CancelS = 50
			job := leader.addTestJob("req-1", wire.Job{Class: "f", TaskCount: 1, CPUs: 2})
			leader.addTestJob("req-2", wire.Job{Class: "f", TaskCount: 1, CPUs: 2})
			leader.runTestTask(t, job, "h0", time.Minute)
			leader.runTestTask(t, leader.jobs.Job("req-2"), "h1", time.Minute)
			leader.recentCancellations = cancellation.New(cancellation.Options{StopDeadline: time.Minute, Capacity: 8, StoreUnavailable: func() bool { return false }, Now: leader.now})
			leader.recentCancellations.Add("", "req-1", "req-unknown")
			leader.cancellations.applyCancellations()
			if !job.Cancelled || leader.jobs.Job("req-2").Cancelled {
				t.Fatal("not withdrawn by the notice")
			}
			if tc.over {
				leader.heartbeats.applyHeartbeat(&wire.Heartbeat{Worker: "h0", InstanceType: "m", Zone: "a", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{{Task: "req-1/0", Attempt: 1, Phase: wire.TaskExited, ExitReason: wire.ExitStopped}}})
			}
			at := now.Add(tc.since)
			if !tc.silent {
				leader.workers["h0"].LastHeartbeat = at
			}
			leader.workers["h1"].LastHeartbeat = at
			due := slices.Contains(leader.cancellations.overdueWorkers(at), "h0")
			if due != tc.due || slices.Contains(leader.cancellations.overdueWorkers(at), "h1") {
				t.Errorf("overdue %v", leader.cancellations.overdueWorkers(at))
			}
			if tc.due && !slices.Contains(leader.failures.faultyWorkers(at), "h0") {
				t.Error("not returned by a leader that is sure to lead")
			}
		})
	}
}

// finishCounter counts what is learned.
type finishCounter struct {
	idleOwners
	finished *int
}

func (c finishCounter) Learn(agent.RuntimeSample) { *c.finished++ }

// A result that was kept from an earlier try comes back at once: the task is done, and
// nothing is learned of how long it runs.
func TestCheckpointedResultIsNotMeasured(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ran   bool // it was seen running
		learn int
	}{{"seen running", true, 1}, {"kept", false, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			leader, n := newTestTerm(t), 0
			leader.heartbeats.latencies, leader.shards, leader.leadership = newLatencies(), finishCounter{finished: &n}, &fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}
			job := leader.addTestJob("req-1", wire.Job{Class: "f", Kind: wire.KindArray, TaskCount: 2, CPUs: 2})
			claim := leader.runTestTask(t, job, "h0", time.Minute)
			if !tc.ran {
				claim.RunningSince = time.Time{}
			}
			leader.heartbeats.applyHeartbeat(&wire.Heartbeat{Worker: "h0", InstanceType: "m", Zone: "a", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{{Task: "req-1/0", Attempt: claim.Attempt, Phase: wire.TaskExited, ExitReason: wire.ExitDone}}})
			if n != tc.learn || job.RunSeconds.Count != tc.learn || job.DoneTasks() != 1 {
				t.Errorf("learned %d, %d; %d done", n, job.RunSeconds.Count, job.DoneTasks())
			}
		})
	}
}
