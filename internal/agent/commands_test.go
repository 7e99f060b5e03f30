package agent

import (
	"fmt"
	"strings"
	"testing"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// commandsTest is a case for a worker in incarnation 1 that has seen epoch 7. The wanted commands
// are written with the protocol's action names.
type commandsTest struct {
	name              string
	claims            []*ledger.Claim
	tasks             []reportedTask
	changeWorker      func(*Worker)
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

// directStart records a direct start of an attempt of req-1/0 under an epoch.
func directStart(attempt, epoch uint64) func(*Worker) {
	return func(worker *Worker) { worker.DirectStarts[Attempt{ledger.Task{JobID: "req-1"}, attempt}] = epoch }
}

func manyDirectStarts(worker *Worker) {
	for i := range maxDirectStarts {
		worker.DirectStarts[Attempt{ledger.Task{JobID: "req-8", Index: i}, 1}] = 7
	}
}

func TestCommands(t *testing.T) {
	live, cancelled := &ledger.Job{ID: "req-1"}, &ledger.Job{ID: "req-2", Cancelled: true}
	running, ended := []reportedTask{{"req-1/0", 4, "running"}}, []reportedTask{{"req-1/0", 4, "ended"}}
	unclaimed := []reportedTask{{"req-9/1", 2, "running"}}
	for _, tc := range []commandsTest{
		{"start of a claimed task", newClaim(live, 1, committed), nil, nil, false, "launch req-1/0 4"},
		{"no start before the claim is durable", newClaim(live, 1), nil, nil, true, ""},
		{"no start of an unconfirmed claim", newClaim(live, 1, committed, unconfirmed), nil, nil, true, ""},
		{"no stop of an orphaned task", nil, unclaimed, func(worker *Worker) {
			for task, status := range worker.Tasks {
				status.Orphaned = true
				worker.Tasks[task] = status
			}
		}, true, ""},
		{"no start in another incarnation", newClaim(live, 2, committed), nil, nil, true, ""},
		{"no start of a running task", newClaim(live, 1, committed), running, nil, true, ""},
		{
			"stop of a cancelled job's task",
			newClaim(cancelled, 1, committed), []reportedTask{{"req-2/0", 4, "running"}}, nil, true, "stop req-2/0 4",
		},
		{
			"stop of a cancelled job's task whose start may still arrive",
			newClaim(cancelled, 1, committed, startSent), nil, nil, true, "stop req-2/0 4",
		},
		{"stop of an unclaimed task", nil, unclaimed, nil, true, "stop req-9/1 2"},
		{"forget of an ended task", nil, ended, nil, true, "reap req-1/0 4"},
		{"no forget before the end is durable", newClaim(live, 1, committed, finished), ended, nil, true, ""},
		{"no forget in a direct command", nil, ended, nil, false, ""},
		{"no forget with a command in flight", nil, ended, func(worker *Worker) { worker.CommandInFlight = true }, true, ""},
		{"no forget while a copy of the direct start may arrive", nil, ended, directStart(4, 7), true, ""},
		{"no forget while the freed claim may be stored", nil, ended, func(worker *Worker) {
			worker.ClaimMayBeStored = func(task ledger.Task) bool { return task == ledger.Task{JobID: "req-1"} }
		}, true, ""},
		{"forget once the answer's epoch is above the direct start's", nil, ended, directStart(4, 6), true, "reap req-1/0 4"},
		{"forget beside the direct start of another attempt", nil, ended, directStart(5, 7), true, "reap req-1/0 4"},
		{"no direct start beside many others", newClaim(live, 1, committed), nil, manyDirectStarts, false, ""},
		{"start in an answer beside many direct ones", newClaim(live, 1, committed), nil, manyDirectStarts, true, "launch req-1/0 4"},
		{
			"stop of another attempt before the start",
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
	if tc.changeWorker != nil {
		tc.changeWorker(worker)
	}
	var got []string
	for _, command := range worker.Commands(claims, 7, tc.inHeartbeatAnswer) {
		got = append(got, fmt.Sprintf("%s %s %d", command.Action, command.Task, command.Attempt))
		if command.Action == wire.ActionStart && (!tc.claims[0].StartSent || tc.claims[0].StartEpoch != 7) {
			t.Errorf("claim of a started task has StartSent %v, StartEpoch %d, want true, 7",
				tc.claims[0].StartSent, tc.claims[0].StartEpoch)
		}
	}
	if text := strings.Join(got, ", "); text != tc.want {
		t.Errorf("got commands %q, want %q", text, tc.want)
	}
}
