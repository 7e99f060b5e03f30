package leader

import (
	"fmt"
	"testing"

	"rillflow/internal/agent"
	"rillflow/internal/dataloss"
	"rillflow/internal/election"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// provisionalLeadership is a leadership in a store incarnation that may have begun by a loss of data.
type provisionalLeadership struct{ fakeLeadership }

func (*provisionalLeadership) Incarnation() dataloss.IncarnationState {
	return dataloss.IncarnationState{Phase: dataloss.PhaseProvisional}
}

// reportExited lets worker h0 report an exited attempt of the first task of a job.
func (t *leaderTerm) reportExited(jobID string, attempt uint64) *agent.Worker {
	worker := t.workers["h0"]
	t.heartbeats.applyHeartbeat(&wire.Heartbeat{
		Worker: "h0", InstanceType: "m", Zone: worker.Zone, Incarnation: 1, Sequence: worker.Sequence + 1, Epoch: 7,
		Tasks: []wire.TaskStatus{{Task: jobID + "/0", Attempt: attempt, Phase: wire.TaskExited, ExitReason: wire.ExitDone}},
	})
	return worker
}

// Guards against exited attempts that are looked up in the store and left with their workers, because their jobs
// have ended and left the job table: a term in a provisional incarnation takes tasks of unknown jobs for orphans.
func TestExitedAttemptOfEndedJobIsNoOrphan(t *testing.T) {
	task := ledger.Task{JobID: "req-1"}
	for _, tc := range []struct {
		name   string
		before func(leader *leaderTerm) // what the term knows of the job
		want   bool
	}{
		{"never known", nil, true},
		{"started directly", func(leader *leaderTerm) {
			leader.workers["h0"].DirectStarts[agent.Attempt{Task: task, Number: 1}] = 7
		}, false},
		{"another attempt started directly", func(leader *leaderTerm) {
			leader.workers["h0"].DirectStarts[agent.Attempt{Task: task, Number: 2}] = 7
		}, true},
		{"reported before as a task of the job", func(leader *leaderTerm) {
			leader.workers["h0"].Tasks[task] = agent.TaskStatus{Attempt: 1, Phase: wire.TaskExited}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.leadership = &provisionalLeadership{fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}}
			if tc.before != nil {
				tc.before(leader)
			}
			worker := leader.reportExited("req-1", 1)
			if got := worker.Tasks[task].Orphaned; got != tc.want || (len(leader.orphans.orphanedJobs) == 1) != tc.want {
				t.Errorf("orphaned: %v, jobs to look up: %d; want an orphan: %v", got, len(leader.orphans.orphanedJobs), tc.want)
			}
		})
	}
}

// Guards against workers that are never told to forget exited tasks once a term has met as many jobs that it did
// not know as it can track, all of them ended long ago.
func TestEndedOrphansLeaveRoom(t *testing.T) {
	leader := newTestTerm(t)
	leader.leadership = &provisionalLeadership{fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}}
	for i := range maxOrphanedJobs {
		leader.reportExited(fmt.Sprintf("req-%06d", i), 1)
		leader.orphans.markEnded(fmt.Sprintf("req-%06d", i))
	}
	worker := leader.reportExited("req-999999", 1)
	leader.orphans.dropEnded()
	leader.reportExited("req-999999", 1)
	for _, jobID := range leader.orphans.unresolvedJobs() {
		leader.orphans.markEnded(jobID) // its end record is found
	}
	if commands := worker.Commands(nil, 8, true); len(commands) != 1 || commands[0].Action != wire.ActionForget {
		t.Errorf("got commands %v, want one that forgets the exited task", commands)
	}
}
