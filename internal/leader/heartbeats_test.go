package leader

import (
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/election"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Guards against freeing a cancelled task too early, which then runs beside another one or past its
// deadline. A heartbeat that lacks the task proves nothing if it is a duplicate or older than the
// latest one, or while a start command sent earlier may still arrive.
func TestHeartbeatLackingCancelledTask(t *testing.T) {
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
		{"newer, no start command can arrive", 11, nil, true},
		{"older than the latest", 9, nil, false},
		{"duplicate of the latest", 10, nil, false},
		{"command in flight", 11, commandInFlight, false},
		{"start command of the epoch that the worker has seen", 11, startedUnder(7), false},
		{"start command of a later epoch", 11, startedUnder(8), false},
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
				t.Errorf("got freed %v, want %v", freed, tc.freed)
			}
		})
	}
}

// Guards against delayed copies of heartbeats that keep a dead worker's tasks from being restarted.
// A heartbeat received after newer ones is answered, and the response may renew the lease, but it
// does not prove that the worker is alive.
func TestStaleHeartbeatDoesNotProveLiveness(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		incarnation, sequence uint64
		alive                 bool // the heartbeat counts as a sign of life
	}{
		{"newer", 2, 11, true},
		{"older than the latest", 2, 9, false},
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
			alive := worker.LastHeartbeat.Equal(now) && leader.heartbeats.lastHeartbeat.Equal(now) &&
				worker.LastUpdate.Equal(now)
			if renewed := leader.leaseRenewed(worker, now); alive != tc.alive || alive != renewed {
				t.Errorf("got last heartbeat %v, last update %v, lease renewed %v; want counted as alive: %v",
					worker.LastHeartbeat, worker.LastUpdate, renewed, tc.alive)
			}
			if !worker.LastAnswered.Equal(now) {
				t.Errorf("got last answered %v, want %v: the response may have renewed the lease", worker.LastAnswered, now)
			}
		})
	}
}

// sampleCounter counts the run times passed to Learn.
type sampleCounter struct {
	noopShards
	samples *int
}

func (c sampleCounter) Learn(agent.RuntimeSample) { *c.samples++ }

// A result kept from an earlier attempt is reported at once: the task is done, but its run time is
// not recorded.
func TestRunTimeOfKeptResultIsNotRecorded(t *testing.T) {
	for _, tc := range []struct {
		name    string
		ran     bool // the task was seen running
		samples int
	}{{"seen running", true, 1}, {"kept result", false, 0}} {
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
				t.Errorf("got %d samples for the shard owner, %d for the job, %d tasks done; want %d, %d, 1",
					samples, job.RunSeconds.Count, job.DoneTasks(), tc.samples, tc.samples)
			}
		})
	}
}

// Guards against starts on a rebooted worker that answers direct commands but reaches no controller.
func TestRebootedWorkerGetsTasksOnceHeard(t *testing.T) {
	leader := newTestTerm(t)
	leader.leadership = &fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}
	leader.ready, leader.ctx = make(chan struct{}), t.Context()
	close(leader.ready)
	worker := leader.workers["h0"]
	worker.Incarnation, worker.Sequence, worker.SeenEpoch = 1, 10, 7
	worker.LastHeartbeat = now.Add(-time.Second)
	rebooted := wire.Heartbeat{Worker: "h0", InstanceType: "m", Zone: worker.Zone, Incarnation: 2, Sequence: 11, Epoch: 7}
	leader.heartbeats.applyHeartbeat(&rebooted)
	if leader.leaseRenewed(worker, now) {
		t.Error("got the lease renewed by a heartbeat of the earlier incarnation")
	}
	rebooted.Sequence++
	if _, _, err := runnerOf(leader).Heartbeat(t.Context(), &rebooted); err != nil {
		t.Fatal(err)
	}
	if !leader.leaseRenewed(worker, now) {
		t.Error("got the lease not renewed after an answered heartbeat")
	}
}
