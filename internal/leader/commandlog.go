package leader

import (
	"fmt"
	"log/slog"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// How commands are given to a worker, in logs.
const (
	pathDirect = "direct"
	pathAnswer = "answer" // to a heartbeat
)

// logCommands logs the commands of one message to a worker, stops with their reasons. A start is given since
// the claim is committed, a forget since there is no claim and no start can arrive any more. Callers hold
// mu.
func (s *termScope) logCommands(worker *agent.Worker, batch wire.CommandBatch, path string) {
	if len(batch.Commands) == 0 || !s.log.Enabled(s.ctx, slog.LevelInfo) {
		return
	}
	claims := s.jobs.ClaimsOnWorker(worker.Name)
	var starts, stops, forgets []string
	for _, command := range batch.Commands {
		attempt := fmt.Sprintf("%s@%d", command.Task, command.Attempt)
		switch command.Action {
		case wire.ActionStart:
			starts = append(starts, attempt)
		case wire.ActionStop:
			task, _ := ledger.ParseTask(command.Task)
			stops = append(stops, attempt+": "+stopReason(command, claims[task]))
		case wire.ActionForget:
			forgets = append(forgets, attempt)
		}
	}
	s.log.Info("commands given", "worker", worker.Name, "incarnation", worker.Incarnation, "epoch", batch.Epoch,
		"path", path, "heard_s", secondsSince(worker.LastHeartbeat, s.now()),
		"starts", starts, "stops", stops, "forgets", forgets)
}

// stopReason returns why a task is stopped. claim is the claim of the task on the worker, nil if there
// is none.
func stopReason(command wire.Command, claim *ledger.Claim) string {
	switch {
	case claim == nil || claim.Attempt != command.Attempt:
		return "no claim"
	case claim.Job.Cancelled:
		return "job cancelled"
	}
	return claim.StopReason
}
