package leader

import (
	"log/slog"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// logCommands logs the commands for a worker, with the reason of each. Callers hold mu.
func (s *termScope) logCommands(worker *agent.Worker, batch wire.CommandBatch) {
	if len(batch.Commands) == 0 || !s.log.Enabled(s.ctx, slog.LevelDebug) {
		return
	}
	claims := s.jobs.ClaimsOnWorker(worker.Name)
	for _, command := range batch.Commands {
		task, _ := ledger.ParseTask(command.Task)
		s.log.Debug("command given", "action", command.Action, "task", command.Task, "attempt", command.Attempt,
			"worker", worker.Name, "epoch", batch.Epoch, "reason", commandReason(command, claims[task]))
	}
}

// commandReason returns why a command is given for a task. claim is the claim of the task on the
// worker, nil if there is none.
func commandReason(command wire.Command, claim *ledger.Claim) string {
	switch {
	case claim == nil || claim.Attempt != command.Attempt:
		return "no claim"
	case command.Action == wire.ActionStart:
		return "claim committed"
	case claim.Job.Cancelled:
		return "job cancelled"
	case claim.Stopping:
		return "claim to be freed"
	}
	return "task ended"
}
