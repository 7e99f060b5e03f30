package agent

import (
	"slices"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Commands returns the commands that make a worker's tasks match the claims on it, given its last
// reported state, as many as fit a message. Stops come first, so that the starts find the resources
// free. Each claim whose start is among the commands is marked as StartSent.
//
// A worker would execute the start of an attempt that it has forgotten. It is therefore told to
// forget only in the answer to a heartbeat, of which it has one in flight at most, so that no start
// of an earlier answer arrives afterwards, and only under an epoch above that of the attempt's
// direct starts, which the answer makes it reject, and once the removal of the attempt's claim is stored.
// Once maxDirectStarts direct starts are recorded,
// further starts are given in answers only.
func (w *Worker) Commands(
	claims map[ledger.Task]*ledger.Claim, epoch uint64, inHeartbeatAnswer bool,
) []wire.Command {
	stops, starts, startedClaims := w.claimedCommands(claims)
	unclaimedStops, forgets := w.unclaimedCommands(claims, epoch)
	if !inHeartbeatAnswer {
		forgets = nil
		starts = starts[:min(len(starts), max(0, maxDirectStarts-len(w.DirectStarts)))]
	}
	all := slices.Concat(stops, unclaimedStops, forgets, starts)
	commands := FitBatch(wire.CommandBatch{Epoch: epoch, Incarnation: w.Incarnation, Commands: all}).Commands
	includedStarts := max(0, len(commands)-(len(all)-len(starts))) // starts are left out first
	for _, claim := range startedClaims[:includedStarts] {
		claim.StartSent, claim.StartEpoch = true, epoch
		if !inHeartbeatAnswer {
			w.DirectStarts[Attempt{claim.Task(), claim.Attempt}] = epoch
		}
	}
	return commands
}

// claimedCommands returns the commands for the claims on the worker, and the claims of the starts.
func (w *Worker) claimedCommands(
	claims map[ledger.Task]*ledger.Claim,
) (stops, starts []wire.Command, startedClaims []*ledger.Claim) {
	for task, claim := range claims {
		reported, present := w.Tasks[task]
		present = present && reported.Attempt == claim.Attempt
		switch {
		case claim.Finished || claim.Incarnation != w.Incarnation:
		case claim.Job.Cancelled:
			if reported.Phase != wire.TaskExited {
				stops = append(stops, command(wire.ActionStop, task, claim.Attempt))
			}
		case claim.Stopping:
			if reported.Phase != wire.TaskExited && reported.Phase != wire.TaskSaving {
				stop := command(wire.ActionStop, task, claim.Attempt)
				stop.GraceSeconds = claim.Job.Spec.CheckpointSaveSeconds // the task continues elsewhere
				stops = append(stops, stop)
			}
		case !present && claim.Committed && !claim.Unconfirmed:
			starts = append(starts, command(wire.ActionStart, task, claim.Attempt))
			startedClaims = append(startedClaims, claim)
		}
	}
	return stops, starts, startedClaims
}

// unclaimedCommands returns the commands for reported tasks without a claim for the same attempt.
// It skips orphaned tasks.
func (w *Worker) unclaimedCommands(
	claims map[ledger.Task]*ledger.Claim, epoch uint64,
) (stops, forgets []wire.Command) {
	for task, reported := range w.Tasks {
		claim := claims[task]
		switch {
		case claim != nil && claim.Attempt == reported.Attempt, reported.Orphaned:
		case reported.Phase != wire.TaskExited:
			stops = append(stops, command(wire.ActionStop, task, reported.Attempt))
		case w.ClaimMayBeStored != nil && w.ClaimMayBeStored(task):
		case !w.CommandInFlight && !w.MayStartAgain(Attempt{task, reported.Attempt}, epoch):
			forgets = append(forgets, command(wire.ActionForget, task, reported.Attempt))
		}
	}
	return stops, forgets
}

// command returns a command for one attempt of a task.
func command(action string, task ledger.Task, attempt uint64) wire.Command {
	return wire.Command{Action: action, Task: task.String(), Attempt: attempt}
}
