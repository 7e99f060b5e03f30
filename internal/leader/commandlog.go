package leader

import (
	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// How commands are given to a worker, in logs.
const (
	pathDirect = "direct"
	pathAnswer = "answer" // to a heartbeat
)

// logCommands logs the commands for a worker, with the reason why each is allowed. Callers hold mu.
func (s *termScope) logCommands(worker *agent.Worker, batch wire.CommandBatch, path string) {
	if len(batch.Commands) == 0 {
		return
	}
	claims := s.jobs.ClaimsOnWorker(worker.Name)
	for _, command := range batch.Commands {
		task, _ := ledger.ParseTask(command.Task)
		s.log.Info("command given", "action", commandNames[command.Action], "task", command.Task,
			"attempt", command.Attempt, "worker", worker.Name, "incarnation", worker.Incarnation,
			"epoch", batch.Epoch, "path", path, "reason", commandReason(command, claims[task]))
	}
}

// commandNames are the names of the commands in logs.
var commandNames = map[string]string{
	wire.ActionStart: "start", wire.ActionStop: "stop", wire.ActionForget: "forget",
}

// commandReason returns why a command is given for a task. claim is the claim of the task on the
// worker, nil if there is none.
func commandReason(command wire.Command, claim *ledger.Claim) string {
	switch {
	case command.Action == wire.ActionForget:
		return "no claim, and no start of it can arrive any more"
	case claim == nil || claim.Attempt != command.Attempt:
		return "no claim"
	case command.Action == wire.ActionStart:
		return "claim committed"
	case claim.Job.Cancelled:
		return "job cancelled"
	case claim.Stopping:
		return claim.StopReason
	}
	return "task ended"
}
