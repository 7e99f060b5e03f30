package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// maxPendingSamples bounds the run times of a worker that are kept for its shard owner.
const maxPendingSamples = 64

// heartbeatReconciler compares the tasks that workers report with the claims of the job table: it
// records starts and ends of tasks, and frees a claim once a heartbeat proves that its task neither
// runs nor can still be started.
//
// Runner.Heartbeat calls it for heartbeats, the commander for responses to commands and polls.
// Its methods, answer excepted, are called with mu held. It must not renew a lease: only
// Runner.Heartbeat answers a heartbeat.
type heartbeatReconciler struct {
	*termScope
	registry  *workerRegistry
	faults    *faultTracker
	scheduler *scheduler
	recovery  *dataRecovery
	orphans   *orphanTracker

	lastHeartbeat time.Time // of any worker
	latencies     *latencies
}

// answer processes a heartbeat, and returns the commands for its worker and the run times that
// the owner of the worker's shard has not received yet. The response may renew the worker's lease.
func (h *heartbeatReconciler) answer(
	heartbeat *wire.Heartbeat,
) (wire.CommandBatch, []agent.RuntimeSample, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	epoch := h.leadership.Epoch()
	if heartbeat.Epoch > epoch || h.ctx.Err() != nil {
		// The worker has seen a later leader. It would discard a successful response (HTTP 200)
		// and stay with this controller while its lease expires.
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	worker := h.applyHeartbeat(heartbeat)
	if worker == nil {
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	now := h.now()
	if worker.LastHeartbeat.IsZero() && !worker.RequestedAt.IsZero() {
		h.log.Info("worker up", "worker", worker.Name, "instance_type", worker.InstanceType, "zone", worker.Zone,
			"since_requested_s", now.Sub(worker.RequestedAt).Seconds())
	}
	// Any response may renew the lease. But a heartbeat received after newer ones, such as a
	// delayed duplicate, does not prove that the worker is alive now.
	worker.LastAnswered = now
	commands := wire.CommandBatch{Epoch: epoch, Commands: []wire.Command{}}
	if worker.Incarnation == heartbeat.Incarnation && worker.Sequence == heartbeat.Sequence {
		worker.LastHeartbeat, h.lastHeartbeat = now, now
		if !h.dataLossSuspected() {
			due := worker.Commands(h.jobs.ClaimsOnWorker(worker.Name), epoch, true)
			commands.Commands = append(commands.Commands, due...)
			h.logCommands(worker, commands, pathAnswer)
			h.requestFencing(worker, now)
		}
	}
	samples := worker.PendingSamples
	worker.PendingSamples = nil
	return commands, samples, nil
}

// applyHeartbeat updates the state of a worker from a heartbeat, unless it is out of date. It
// returns nil for a heartbeat without a worker name or of a released instance, which must be a
// delayed message.
func (h *heartbeatReconciler) applyHeartbeat(heartbeat *wire.Heartbeat) *agent.Worker {
	if releasedAt := h.released[heartbeat.Worker]; !releasedAt.IsZero() || heartbeat.Worker == "" {
		return nil
	}
	worker := h.registry.worker(heartbeat.Worker)
	if !worker.IsNewer(heartbeat) {
		return worker
	}
	now := h.now()
	mayBecomeUsable := worker.HasUnclaimedTask || !h.scheduler.acceptsTasks(worker, now)
	usedBefore := h.jobs.UsedOnWorker(worker.Name)
	h.updateWorker(worker, heartbeat, now)
	h.reconcileTasks(worker, heartbeat, now)
	worker.IdleSince = idleSince(worker, len(h.jobs.ClaimsOnWorker(worker.Name)), now)
	if !h.jobs.NothingToWrite() {
		notify(h.writeSignal)
	}
	// Most heartbeats free no capacity, so a scheduling pass for each would be wasted.
	if mayBecomeUsable || usedBefore != h.jobs.UsedOnWorker(worker.Name) {
		notify(h.scheduleSignal)
	}
	return worker
}

// updateWorker updates the worker's own state from a heartbeat. A new incarnation has none of the
// tasks of earlier ones, so their claims are freed.
func (h *heartbeatReconciler) updateWorker(worker *agent.Worker, heartbeat *wire.Heartbeat, now time.Time) {
	worker.Address, worker.InstanceType, worker.Spot = heartbeat.Address, heartbeat.InstanceType, heartbeat.Spot
	h.registry.setZone(worker, heartbeat.Zone)
	worker.Sequence, worker.LastUpdate = heartbeat.Sequence, now
	worker.RecordSeenEpoch(heartbeat.Epoch, now)
	worker.ReclaimAt = time.Time{}
	if heartbeat.SpotNoticeSeconds != nil {
		worker.ReclaimAt = now.Add(time.Duration(*heartbeat.SpotNoticeSeconds * float64(time.Second)))
	}
	if heartbeat.Incarnation <= worker.Incarnation {
		return
	}
	if worker.Incarnation > 0 {
		h.log.Info("worker incarnation began", "worker", worker.Name, "incarnation", heartbeat.Incarnation,
			"previous", worker.Incarnation, "epoch", heartbeat.Epoch, "answered_s", secondsSince(worker.LastAnswered, now))
	}
	worker.BeginIncarnation(heartbeat.Incarnation, now)
	for _, claim := range h.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Incarnation < heartbeat.Incarnation {
			h.abandonImagePull(claim, worker)
			h.freeClaim(claim, freedNewIncarnation)
		}
	}
}

// idleSince returns the time since which a worker has had neither unfinished tasks nor claims, zero
// if it has any.
func idleSince(worker *agent.Worker, claims int, now time.Time) time.Time {
	if claims > 0 || worker.HasUnfinishedTask() {
		return time.Time{}
	}
	if worker.IdleSince.IsZero() {
		return now
	}
	return worker.IdleSince
}

// reconcileTasks updates the claims of a worker from the tasks that it reports.
func (h *heartbeatReconciler) reconcileTasks(worker *agent.Worker, heartbeat *wire.Heartbeat, now time.Time) {
	claims := h.jobs.ClaimsOnWorker(worker.Name)
	seen := make(map[ledger.Task]agent.TaskStatus, len(heartbeat.Tasks))
	for _, reported := range heartbeat.Tasks {
		task, ok := ledger.ParseTask(reported.Task)
		if !ok {
			continue
		}
		h.recovery.adoptReported(worker, task, reported)
		claims = h.jobs.ClaimsOnWorker(worker.Name)
		current := h.taskStatus(worker, task, reported, now)
		claim := claims[task]
		if earlier, duplicate := seen[task]; duplicate && !takesPrecedence(current, earlier, claim) {
			continue
		}
		seen[task] = current
		if claim != nil && claim.Attempt == reported.Attempt && !claim.Finished {
			h.reconcileClaim(claim, worker, reported, now)
		}
	}
	worker.Tasks, worker.HasUnclaimedTask = seen, false
	for task, reported := range seen {
		claim := claims[task]
		if (claim == nil || claim.Attempt != reported.Attempt) && reported.Phase != wire.TaskExited {
			worker.HasUnclaimedTask = true
		}
	}
	h.freeUnstarted(worker, claims, seen)
}

// takesPrecedence reports whether an attempt counts rather than an earlier listed one of the same task on the
// same worker: the claimed one does, or else one that has not exited.
func takesPrecedence(attempt, earlier agent.TaskStatus, claim *ledger.Claim) bool {
	if claim != nil && claim.Attempt == earlier.Attempt {
		return false
	}
	isClaimed := claim != nil && claim.Attempt == attempt.Attempt
	return isClaimed || attempt.Phase != wire.TaskExited || earlier.Phase == wire.TaskExited
}

// taskStatus converts a reported task, and sets since when it has been in its phase. An attempt that this term
// has known as a task of a job is no orphan once the job has ended and left the job table.
func (h *heartbeatReconciler) taskStatus(
	worker *agent.Worker, task ledger.Task, reported wire.TaskStatus, now time.Time,
) agent.TaskStatus {
	current := agent.TaskStatus{
		Attempt: reported.Attempt, Phase: reported.Phase, EndCause: reported.ExitReason, Since: now,
	}
	previous, ok := worker.Tasks[task]
	wasReported := ok && previous.Attempt == reported.Attempt
	if wasReported && previous.Phase == reported.Phase {
		current.Since = previous.Since
	}
	_, wasStarted := worker.DirectStarts[agent.Attempt{Task: task, Number: reported.Attempt}]
	isKnown := wasStarted || wasReported && !previous.Orphaned
	current.Orphaned = !isKnown && h.orphans.isOrphan(task)
	return current
}

// reconcileClaim records that the task of a claim is running or has ended.
func (h *heartbeatReconciler) reconcileClaim(
	claim *ledger.Claim, worker *agent.Worker, reported wire.TaskStatus, now time.Time,
) {
	switch reported.Phase {
	case wire.TaskRunning:
		if claim.RunningSince.IsZero() {
			claim.RunningSince = now
			h.taskStarted(claim, worker, now)
		}
	case wire.TaskExited:
		h.taskEnded(claim, worker, reported.ExitReason, now)
	}
}

// freeUnstarted frees the claims whose tasks are no longer wanted and are not on the worker. Such
// a claim is freed only once no start command can reach the worker any more: none is in flight,
// and the worker has seen a higher epoch than any start command carried.
func (h *heartbeatReconciler) freeUnstarted(
	worker *agent.Worker, claims map[ledger.Task]*ledger.Claim, seen map[ledger.Task]agent.TaskStatus,
) {
	for task, claim := range claims {
		if !isPresent(seen, task, claim) && isUnwanted(claim) &&
			!worker.CommandInFlight && worker.SeenEpoch > claim.StartEpoch {
			h.freeClaim(claim, freedNeverStarted)
		}
	}
}

// isPresent reports whether the attempt of a claim is among the tasks of its worker.
func isPresent(tasks map[ledger.Task]agent.TaskStatus, task ledger.Task, claim *ledger.Claim) bool {
	status, ok := tasks[task]
	return ok && status.Attempt == claim.Attempt
}

// isUnwanted reports whether a claim is to be freed once it is proven that its task does not run.
func isUnwanted(claim *ledger.Claim) bool {
	return claim.Job.Cancelled || claim.Stopping || claim.Unconfirmed
}

// maxExitAgeLeases is the time after which an exited attempt is to be forgotten, in worker leases.
// A shorter one makes all workers report a higher epoch more often, a longer one lengthens their
// heartbeats.
const maxExitAgeLeases = 4

// requestFencing requests a higher epoch if a worker has to see one.
func (h *heartbeatReconciler) requestFencing(worker *agent.Worker, now time.Time) {
	if reason := h.fencingReason(worker, now); reason != "" {
		h.requestEpoch(reason)
	}
}

// fencingReason returns why a worker has to see a higher epoch than the current one: to prove that a
// task was never started, or to forget attempts that a copy of a direct start could start again. It
// returns "" if the worker has to see none.
func (h *heartbeatReconciler) fencingReason(worker *agent.Worker, now time.Time) string {
	epoch := h.leadership.Epoch()
	if worker.SeenEpoch < epoch {
		return "" // the answer to its heartbeat carries the current epoch
	}
	for task, claim := range h.jobs.ClaimsOnWorker(worker.Name) {
		if !isPresent(worker.Tasks, task, claim) && isUnwanted(claim) && worker.SeenEpoch <= claim.StartEpoch {
			return epochForUnstartedClaim
		}
	}
	if len(worker.DirectStarts) >= agent.ManyDirectStarts {
		return epochForManyStarts
	}
	if held, oldest := worker.HeldExits(epoch); held > 0 && now.Sub(oldest) > maxExitAgeLeases*h.settings.WorkerLease() {
		return epochForOldExit
	}
	return ""
}
