package leader

import (
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/election"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// What a heartbeat proves of a cancelled task that it does not name, where messages may come
// late or twice: nothing if it is older than the last one, or of an earlier incarnation of the
// worker, or while a start command sent earlier may yet arrive. Freed too soon, the task runs
// beside another or past its end.
func TestHeartbeatWithoutTask(t *testing.T) {
	commandInFlight := func(worker *agent.Worker, _ *ledger.Claim) { worker.CommandInFlight = true }
	startedUnder := func(epoch uint64) func(*agent.Worker, *ledger.Claim) {
		return func(_ *agent.Worker, claim *ledger.Claim) { claim.StartEpoch = epoch }
	}
	for _, tc := range []struct {
		name     string
		sequence uint64
		change   func(worker *agent.Worker, claim *ledger.Claim)
		freed    bool
	}{
		{"news, and no start command can arrive any more", 11, nil, true},
		{"a late copy", 9, nil, false},
		{"the last one once more", 10, nil, false},
		{"a command is in flight", 11, commandInFlight, false},
		{"it was started under the epoch that the worker shows", 11, startedUnder(7), false},
		{"it was started under a later one", 11, startedUnder(8), false},
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
			if tc.change != nil {
				tc.change(worker, claim)
			}
			leader.heartbeats.applyHeartbeat(&wire.Heartbeat{
				Worker: "h0", InstanceType: "m", Zone: worker.Zone, Incarnation: 1, Sequence: tc.sequence, Epoch: 7,
			})
			if freed := len(leader.jobs.ClaimsOnWorker("h0")) == 0; freed != tc.freed {
				t.Errorf("freed: %v", freed)
			}
		})
	}
}

// A heartbeat that comes after newer ones, a late copy perhaps, is answered, for the answer may
// renew the lease; but it tells nothing of how the worker is by now. Taken for a sign of life it
// kept a dead worker's tasks waiting for as long as copies came.
func TestLateHeartbeatIsNoSignOfLife(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		incarnation, sequence uint64
		heard                 bool
	}{
		{"news", 2, 11, true},
		{"a late copy", 2, 9, false},
		{"of an earlier incarnation", 1, 40, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.leadership = &fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}
			leader.ready, leader.ctx = make(chan struct{}), t.Context()
			close(leader.ready)
			worker := leader.workers["h0"]
			worker.Incarnation, worker.Sequence, worker.SeenEpoch = 2, 10, 7
			before := now.Add(-20 * time.Second)
			worker.LastHeartbeat, worker.LastAnswered, worker.LastUpdate = before, before, before
			leader.heartbeats.lastHeartbeat = before
			_, _, err := runnerOf(leader).Heartbeat(t.Context(), &wire.Heartbeat{
				Worker: "h0", InstanceType: "m", Zone: worker.Zone,
				Incarnation: tc.incarnation, Sequence: tc.sequence, Epoch: 7,
			})
			if err != nil {
				t.Fatal(err)
			}
			heard := worker.LastHeartbeat.Equal(now) && leader.heartbeats.lastHeartbeat.Equal(now) &&
				worker.LastUpdate.Equal(now)
			if renewed := leader.leaseRenewed(worker, now); heard != tc.heard || heard != renewed {
				t.Errorf("heard %v, updated %v, renewed %v", worker.LastHeartbeat, worker.LastUpdate, renewed)
			}
			if !worker.LastAnswered.Equal(now) {
				t.Error("the answer is not counted: it may have renewed the lease")
			}
		})
	}
}

// sampleCounter counts the run times that shard owners are told of.
type sampleCounter struct {
	idleOwners
	samples *int
}

func (c sampleCounter) Learn(agent.RuntimeSample) { *c.samples++ }

// A result that was kept from an earlier attempt comes back at once: the task is done, and
// nothing is learned of how long it runs.
func TestCheckpointedResultIsNotMeasured(t *testing.T) {
	for _, tc := range []struct {
		name    string
		ran     bool // it was seen running
		samples int
	}{{"seen running", true, 1}, {"kept", false, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			leader, samples := newTestTerm(t), 0
			leader.heartbeats.latencies, leader.shards = newLatencies(), sampleCounter{samples: &samples}
			leader.leadership = &fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}
			job := leader.addTestJob("req-1", wire.Job{Class: "f", Kind: wire.KindArray, TaskCount: 2, CPUs: 2})
			claim := leader.runTestTask(t, job, "h0", time.Minute)
			if !tc.ran {
				claim.RunningSince = time.Time{}
			}
			done := wire.TaskStatus{
				Task: "req-1/0", Attempt: claim.Attempt, Phase: wire.TaskExited, ExitReason: wire.ExitDone,
			}
			leader.heartbeats.applyHeartbeat(&wire.Heartbeat{
				Worker: "h0", InstanceType: "m", Zone: "a", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{done},
			})
			if samples != tc.samples || job.RunSeconds.Count != tc.samples || job.DoneTasks() != 1 {
				t.Errorf("learned %d, %d; %d done", samples, job.RunSeconds.Count, job.DoneTasks())
			}
		})
	}
}
