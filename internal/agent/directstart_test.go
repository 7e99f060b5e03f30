package agent

import (
	"strings"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Guards against heartbeats over the protocol's limit while no epoch can be raised to forget exited attempts.
func TestHeldExitsFitHeartbeat(t *testing.T) {
	heartbeat := wire.Heartbeat{Worker: "i-000001"}
	for i := range maxDirectStarts {
		task := ledger.Task{JobID: "req-" + strings.Repeat("9", 40), Index: 1<<20 + i}
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task: task.String(), Attempt: 1 << 62, Phase: wire.TaskExited, ExitReason: wire.ExitUnknownTask,
		})
	}
	if size := encodedSize(heartbeat); size > MaxBatchBytes/2 {
		t.Errorf("%d exited attempts take %d bytes, want at most %d", maxDirectStarts, size, MaxBatchBytes/2)
	}
}

// Guards against a direct start that counts as done with although a copy of it can still be executed.
func TestDirectStartIsRecordedUntilFenced(t *testing.T) {
	attempt := Attempt{ledger.Task{JobID: "req-1"}, 4}
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name   string
		epoch  uint64 // of the direct start
		change func(*Worker)
		want   bool
	}{
		{"command answered", 7, func(worker *Worker) { worker.CommandInFlight = false }, true},
		{"the start's epoch seen", 8, func(worker *Worker) { worker.RecordSeenEpoch(8, now) }, true},
		{"a higher epoch seen", 7, func(worker *Worker) { worker.RecordSeenEpoch(8, now) }, false},
		{"new incarnation", 7, func(worker *Worker) { worker.BeginIncarnation(2, time.Time{}) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worker := NewWorker("i-1")
			worker.Incarnation, worker.SeenEpoch = 1, 7
			claim := newClaim(&ledger.Job{ID: "req-1"}, 1, committed)[0]
			worker.Commands(map[ledger.Task]*ledger.Claim{claim.Task(): claim}, tc.epoch, false)
			tc.change(worker)
			if got := worker.MayStartAgain(attempt, tc.epoch); got != tc.want {
				t.Errorf("the direct start may start the attempt again: %v, want %v", got, tc.want)
			}
			if worker.MayStartAgain(attempt, tc.epoch+1) {
				t.Error("a worker that knows a higher epoch executes the start")
			}
		})
	}
}
