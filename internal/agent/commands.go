package agent

import (
	"slices"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Commands returns the commands that bring a worker from what it reported to what the claims on it
// say: stops first, so that starts find the resources free. It notes on a claim that its start was
// sent.
//
// The worker is told to forget an ended task only in the answer to a heartbeat: it has one
// heartbeat in flight, so no start given in an earlier answer can come after it.
func (w *Worker) Commands(
	claims map[ledger.Task]*ledger.Claim, epoch uint64, inHeartbeatAnswer bool,
) []wire.Command {
	stops, starts := w.claimedCommands(claims, epoch)
	unclaimedStops, forgets := w.unclaimedCommands(claims, inHeartbeatAnswer)
	return slices.Concat(stops, unclaimedStops, forgets, starts)
}

// claimedCommands are the commands for the claims on a worker.
func (w *Worker) claimedCommands(
	claims map[ledger.Task]*ledger.Claim, epoch uint64,
) (stops, starts []wire.Command) {
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
				stop.GraceSeconds = claim.Job.Spec.CheckpointSaveSeconds // it continues elsewhere
				stops = append(stops, stop)
			}
		case !present && claim.Committed && !claim.Unconfirmed:
			claim.StartSent, claim.StartEpoch = true, epoch
			starts = append(starts, command(wire.ActionStart, task, claim.Attempt))
		}
	}
	return stops, starts
}

// unclaimedCommands are the commands for tasks on a worker that no claim is for. Orphaned ones are
// left alone.
func (w *Worker) unclaimedCommands(
	claims map[ledger.Task]*ledger.Claim, inHeartbeatAnswer bool,
) (stops, forgets []wire.Command) {
	mayForget := inHeartbeatAnswer && !w.CommandInFlight && w.UnresolvedEpoch < max(w.SeenEpoch, 1)
	for task, reported := range w.Tasks {
		claim := claims[task]
		switch {
		case claim != nil && claim.Attempt == reported.Attempt, reported.Orphaned:
		case reported.Phase != wire.TaskExited:
			stops = append(stops, command(wire.ActionStop, task, reported.Attempt))
		case mayForget:
			forgets = append(forgets, command(wire.ActionForget, task, reported.Attempt))
		}
	}
	return stops, forgets
}

// command is a command for one attempt of a task.
func command(action string, task ledger.Task, attempt uint64) wire.Command {
	return wire.Command{Action: action, Task: task.String(), Attempt: attempt}
}
