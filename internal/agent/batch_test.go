package agent

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// encodedBatchSize returns the size of a batch as it is sent, in bytes.
func encodedBatchSize(t *testing.T, batch wire.CommandBatch) int {
	t.Helper()
	encoded, err := json.Marshal(batch)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// Guards against messages over the protocol's limit of 64 KiB, and against commands that are left out
// though they fit.
func TestFitBatch(t *testing.T) {
	// The largest command that the protocol allows.
	largest := wire.Command{
		Action: wire.ActionStart, Task: "req-" + strings.Repeat("9", 40) + "/99999",
		Attempt: math.MaxUint64, GraceSeconds: -math.MaxFloat64,
	}
	exact := func(size int) []wire.Command { // its encoding with epoch and incarnation 1 has the size
		commands := slices.Repeat([]wire.Command{{Action: wire.ActionStart, Task: "req-1/0", Attempt: 1}}, 700)
		batch := wire.CommandBatch{Epoch: 1, Incarnation: 1, Commands: commands}
		for i := 0; encodedBatchSize(t, batch) < size && i < len(commands); i++ {
			padding := min(40, size-encodedBatchSize(t, batch))
			commands[i].Task = "req-1" + strings.Repeat("0", padding) + "/0"
		}
		return commands
	}
	stops := slices.Repeat([]wire.Command{{Action: wire.ActionStop, Task: "req-1/0", Attempt: 1}}, 1500)
	starts := slices.Repeat([]wire.Command{{Action: wire.ActionStart, Task: "req-1/0", Attempt: 1}}, 1500)
	for _, tc := range []struct {
		name     string
		commands []wire.Command
		want     int // commands; -1: as many as fit
	}{
		{"none", []wire.Command{}, 0},
		{"as many of the largest as are sent unmeasured", slices.Repeat([]wire.Command{largest}, maxShortBatch), maxShortBatch},
		{"more of the largest", slices.Repeat([]wire.Command{largest}, 1000), -1},
		{"exactly at the limit", exact(MaxBatchBytes), 700},
		{"one byte past the limit", exact(MaxBatchBytes + 1), 699},
		{"more stops than fit", stops, -1},
		{"starts and then stops", slices.Concat(starts, stops[:700]), -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := FitBatch(wire.CommandBatch{Epoch: 1, Incarnation: 1, Commands: tc.commands})
			if size := encodedBatchSize(t, got); size > MaxBatchBytes {
				t.Errorf("got %d bytes, want at most %d", size, MaxBatchBytes)
			}
			if tc.want >= 0 && len(got.Commands) != tc.want {
				t.Errorf("got %d commands, want %d", len(got.Commands), tc.want)
			}
			if tc.want < 0 {
				got.Commands = append(got.Commands, tc.commands[0])
				if size := encodedBatchSize(t, got); size <= MaxBatchBytes {
					t.Errorf("one more command would fit: %d bytes", size)
				}
				got.Commands = got.Commands[:len(got.Commands)-1]
			}
			isStart := func(command wire.Command) bool { return command.Action == wire.ActionStart }
			stops := slices.DeleteFunc(slices.Clone(tc.commands), isStart)
			gotStops := slices.DeleteFunc(slices.Clone(got.Commands), isStart)
			if len(gotStops) < len(stops) && len(gotStops) < len(got.Commands) {
				t.Errorf("got %d of %d stops, and %d starts", len(gotStops), len(stops), len(got.Commands)-len(gotStops))
			}
		})
	}
}

// Guards against commands that are lost, or claims that count as started, when not all commands fit
// one message: as the worker reports what it has executed, the others follow.
func TestCommandsFollowInLaterMessages(t *testing.T) {
	const tasks = 3000
	worker := NewWorker("i-1")
	worker.Incarnation, worker.SeenEpoch = 1, 7
	claims := make(map[ledger.Task]*ledger.Claim)
	for i := range tasks {
		claim := newClaim(&ledger.Job{ID: "req-000001"}, 1, committed)[0]
		claim.Index = i
		claims[claim.Task()] = claim
		worker.Tasks[ledger.Task{JobID: "req-000002", Index: i}] = TaskStatus{Attempt: 1, Phase: wire.TaskRunning} // unclaimed
	}
	started := make(map[string]bool)
	for messages := 1; len(started) < tasks; messages++ {
		commands := worker.Commands(claims, 7, true)
		if size := encodedBatchSize(t, wire.CommandBatch{Epoch: 7, Incarnation: 1, Commands: commands}); size > MaxBatchBytes {
			t.Fatalf("message %d has %d bytes, want at most %d", messages, size, MaxBatchBytes)
		}
		for _, command := range commands {
			task, _ := ledger.ParseTask(command.Task)
			switch command.Action {
			case wire.ActionStart:
				started[command.Task] = true
				worker.Tasks[task] = TaskStatus{Attempt: command.Attempt, Phase: wire.TaskRunning}
			case wire.ActionStop:
				delete(worker.Tasks, task)
			}
		}
		for _, claim := range claims {
			if claim.StartSent != started[fmt.Sprint(claim.Task())] {
				t.Fatalf("message %d: claim of %s has StartSent %v, start sent: %v", messages, claim.Task(), claim.StartSent, !claim.StartSent)
			}
		}
		if messages > 10 {
			t.Fatalf("%d of %d tasks started after %d messages", len(started), tasks, messages)
		}
	}
}
