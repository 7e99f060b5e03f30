package agent

import (
	"fmt"
	"strings"
	"testing"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// commandsTest is a worker in incarnation 1 that has seen epoch 7, and the commands it gets. They
// are written with the verbs of the protocol.
type commandsTest struct {
	name              string
	claims            []*ledger.Claim
	tasks             []reportedTask
	change            func(*Worker)
	inHeartbeatAnswer bool
	want              string
}

type reportedTask struct {
	task    string
	attempt uint64
	phase   string
}

// newClaim returns a claim for the fourth attempt of a job's first task.
func newClaim(job *ledger.Job, incarnation uint64, changes ...func(*ledger.Claim)) []*ledger.Claim {
	claim := &ledger.Claim{ClaimRecord: ledger.ClaimRecord{Incarnation: incarnation, Attempt: 4}, Job: job}
	for _, change := range changes {
		change(claim)
	}
	return []*ledger.Claim{claim}
}

func committed(claim *ledger.Claim)   { claim.Committed = true }
func unconfirmed(claim *ledger.Claim) { claim.Unconfirmed = true }
func startSent(claim *ledger.Claim)   { claim.StartSent = true }
func finished(claim *ledger.Claim)    { claim.Finished = true }

func TestCommands(t *testing.T) {
	live, cancelled := &ledger.Job{ID: "req-1"}, &ledger.Job{ID: "req-2", Cancelled: true}
	running, ended := []reportedTask{{"req-1/0", 4, "running"}}, []reportedTask{{"req-1/0", 4, "ended"}}
	unclaimed := []reportedTask{{"req-9/1", 2, "running"}}
	for _, tc := range []commandsTest{
		{"start what is claimed", newClaim(live, 1, committed), nil, nil, false, "launch req-1/0 4"},
		{"never before the claim is durable", newClaim(live, 1), nil, nil, true, ""},
		{"not what may be lost with the store's data", newClaim(live, 1, committed, unconfirmed), nil, nil, true, ""},
		{"an orphaned task is left alone", nil, unclaimed, func(worker *Worker) {
			for task, status := range worker.Tasks {
				status.Orphaned = true
				worker.Tasks[task] = status
			}
		}, true, ""},
		{"not in another incarnation", newClaim(live, 2, committed), nil, nil, true, ""},
		{"not what it has", newClaim(live, 1, committed), running, nil, true, ""},
		{
			"stop what is cancelled",
			newClaim(cancelled, 1, committed), []reportedTask{{"req-2/0", 4, "running"}}, nil, true, "stop req-2/0 4",
		},
		{
			"stop what a start on its way may begin",
			newClaim(cancelled, 1, committed, startSent), nil, nil, true, "stop req-2/0 4",
		},
		{"stop what nobody claimed", nil, unclaimed, nil, true, "stop req-9/1 2"},
		{"forget what has ended", nil, ended, nil, true, "reap req-1/0 4"},
		{"not while its end is not durable", newClaim(live, 1, committed, finished), ended, nil, true, ""},
		{"forget only in answer to a heartbeat", nil, ended, nil, false, ""},
		{"not while a command is under way", nil, ended, func(worker *Worker) { worker.CommandInFlight = true }, true, ""},
		{
			"not while a lost command may still come",
			nil, ended, func(worker *Worker) { worker.UnresolvedEpoch = 7 }, true, "",
		},
		{
			"once the worker has seen a later epoch",
			nil, ended, func(worker *Worker) { worker.UnresolvedEpoch = 6 }, true, "reap req-1/0 4",
		},
		{
			"another attempt of a claimed task is stopped first",
			newClaim(live, 1, committed), []reportedTask{{"req-1/0", 3, "running"}}, nil, true,
			"stop req-1/0 3, launch req-1/0 4",
		},
	} {
		t.Run(tc.name, tc.run)
	}
}

func (tc commandsTest) run(t *testing.T) {
	worker := NewWorker("i-1")
	worker.Incarnation, worker.SeenEpoch = 1, 7
	claims := make(map[ledger.Task]*ledger.Claim)
	for _, claim := range tc.claims {
		claims[claim.Task()] = claim
	}
	for _, reported := range tc.tasks {
		task, _ := ledger.ParseTask(reported.task)
		worker.Tasks[task] = TaskStatus{Attempt: reported.attempt, Phase: reported.phase}
	}
	if tc.change != nil {
		tc.change(worker)
	}
	var got []string
	for _, command := range worker.Commands(claims, 7, tc.inHeartbeatAnswer) {
		got = append(got, fmt.Sprintf("%s %s %d", command.Action, command.Task, command.Attempt))
		if command.Action == wire.ActionStart && (!tc.claims[0].StartSent || tc.claims[0].StartEpoch != 7) {
			t.Error("a start was sent without being noted")
		}
	}
	if text := strings.Join(got, ", "); text != tc.want {
		t.Errorf("got %q, want %q", text, tc.want)
	}
}
