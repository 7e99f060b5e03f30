package leader

import (
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/election"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Guards against exited attempts that are never forgotten, and against an epoch that is raised for each.
func TestFencingReason(t *testing.T) {
	exited := func(since time.Duration, startEpoch uint64) func(*agent.Worker, *ledger.Claim) {
		return func(worker *agent.Worker, _ *ledger.Claim) {
			task := ledger.Task{JobID: "req-9"}
			worker.Tasks[task] = agent.TaskStatus{Attempt: 3, Phase: wire.TaskExited, Since: now.Add(-since)}
			worker.DirectStarts[agent.Attempt{Task: task, Number: 3}] = startEpoch
		}
	}
	directStarts := func(count int) func(*agent.Worker, *ledger.Claim) {
		return func(worker *agent.Worker, _ *ledger.Claim) {
			for i := range count {
				worker.DirectStarts[agent.Attempt{Task: ledger.Task{JobID: "req-9", Index: i}, Number: 1}] = 7
			}
		}
	}
	stopping := func(_ *agent.Worker, claim *ledger.Claim) { claim.Stop(stopDrained) }
	const maxAge = maxExitAgeLeases * 30 * time.Second
	for _, tc := range []struct {
		name      string
		seenEpoch uint64
		change    func(worker *agent.Worker, claim *ledger.Claim)
		want      string
	}{
		{"nothing to forget", 7, nil, ""},
		{"exited long ago, its direct start may arrive again", 7, exited(maxAge+time.Second, 7), epochForOldExit},
		{"exited a short time ago", 7, exited(maxAge-time.Second, 7), ""},
		{"exited long ago, its direct start is fenced off", 7, exited(maxAge+time.Second, 6), ""},
		{"the worker has not seen the current epoch", 6, exited(maxAge+time.Second, 6), ""},
		{"many direct starts", 7, directStarts(agent.ManyDirectStarts), epochForManyStarts},
		{"fewer direct starts", 7, directStarts(agent.ManyDirectStarts - 1), ""},
		{"unwanted claim that may still be started", 7, stopping, epochForUnstartedClaim},
		{"unwanted claim beside an exited attempt of its task", 7, func(worker *agent.Worker, claim *ledger.Claim) {
			claim.Stop(stopDrained)
			worker.Tasks[claim.Task()] = agent.TaskStatus{Attempt: claim.Attempt - 1, Phase: wire.TaskExited}
		}, epochForUnstartedClaim},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.leadership = &fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}
			worker := leader.workers["h0"]
			worker.SeenEpoch = tc.seenEpoch
			job := leader.addTestJob("req-1", wire.Job{TaskCount: 1, CPUs: 2})
			claim := leader.runTestTask(t, job, "h0", time.Second)
			claim.StartEpoch = 7
			if tc.change != nil {
				tc.change(worker, claim)
			}
			if got := leader.heartbeats.fencingReason(worker, now); got != tc.want {
				t.Errorf("got reason %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against an unclaimed attempt that is never stopped because a refused one of the same task hides it.
func TestAttemptOfSameTaskTakesPrecedence(t *testing.T) {
	running, refused := agent.TaskStatus{Attempt: 3, Phase: wire.TaskRunning}, agent.TaskStatus{Attempt: 6, Phase: wire.TaskExited}
	for _, tc := range []struct {
		name             string
		attempt, earlier agent.TaskStatus
		claimed          uint64 // attempt
		want             bool
	}{
		{"exited beside running", refused, running, 0, false},
		{"running beside exited", running, refused, 0, true},
		{"claimed and exited beside running", refused, running, 6, true},
		{"running beside claimed and exited", running, refused, 6, false},
		{"both exited", refused, agent.TaskStatus{Attempt: 3, Phase: wire.TaskExited}, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var claim *ledger.Claim
			if tc.claimed != 0 {
				claim = &ledger.Claim{ClaimRecord: ledger.ClaimRecord{Attempt: tc.claimed}}
			}
			if got := takesPrecedence(tc.attempt, tc.earlier, claim); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
