package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/audit"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// heartbeatReconciler compares what workers report with the claims of the job table.
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

// applyHeartbeat takes in what a worker says, if it is news. It returns nil for a
// machine that was returned to the cloud: a late message from the past.
func (h *heartbeatReconciler) applyHeartbeat(heartbeat *wire.Heartbeat) *agent.Worker {
	if releasedAt := h.released[heartbeat.Worker]; !releasedAt.IsZero() || heartbeat.Worker == "" {
		return nil
	}
	worker := h.registry.worker(heartbeat.Worker)
	if !worker.IsNewer(heartbeat) {
		return worker
	}
	now := h.now()
	becameUsable := worker.HasUnclaimedTask || !h.scheduler.acceptsTasks(worker, now) // it may be of use from now on
	usedBefore := h.jobs.UsedOnWorker(worker.Name)
	worker.Address, worker.InstanceType, worker.Spot = heartbeat.Address, heartbeat.InstanceType, heartbeat.Spot
	h.registry.setZone(worker, heartbeat.Zone)
	worker.Sequence, worker.LastUpdate = heartbeat.Sequence, now
	if heartbeat.Epoch > worker.SeenEpoch {
		worker.SeenEpoch, worker.EpochSeenAt = heartbeat.Epoch, now
	}
	if worker.SeenEpoch > worker.UnresolvedEpoch {
		worker.UnresolvedEpoch = 0
	}
	worker.ReclaimAt = time.Time{}
	if heartbeat.SpotNoticeSeconds != nil {
		worker.ReclaimAt = now.Add(time.Duration(*heartbeat.SpotNoticeSeconds * float64(time.Second)))
	}
	if heartbeat.Incarnation > worker.Incarnation {
		worker.Incarnation = heartbeat.Incarnation
		worker.Tasks = make(map[ledger.Task]agent.TaskStatus)
		worker.UnresolvedEpoch = 0 // commands carry the tenure: none of the old ones is executed now
		for _, claim := range h.jobs.ClaimsOnWorker(worker.Name) {
			if claim.Incarnation < heartbeat.Incarnation {
				h.dropImageFetch(claim, worker)
				h.freeClaim(claim, "new tenure")
			}
		}
	}
	h.reconcileTasks(worker, heartbeat, now)
	worker.IdleSince = idleSince(worker, len(h.jobs.ClaimsOnWorker(worker.Name)), now)
	if !h.jobs.NothingToWrite() {
		notify(h.writeSignal)
	}
	// Most reports free no room: a pass for each would be for nothing.
	if becameUsable || usedBefore != h.jobs.UsedOnWorker(worker.Name) {
		notify(h.scheduleSignal)
	}
	return worker
}

func idleSince(worker *agent.Worker, claims int, now time.Time) time.Time {
	if claims > 0 || len(worker.Tasks) > 0 {
		return time.Time{}
	}
	if worker.IdleSince.IsZero() {
		return now
	}
	return worker.IdleSince
}

// reconcileTasks compares a report's tasks with the claims.
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
		current := agent.TaskStatus{Attempt: reported.Attempt, Phase: reported.Phase, EndCause: reported.ExitReason, Since: now, Orphaned: h.orphans.isOrphan(task)}
		if previous, ok := worker.Tasks[task]; ok && previous.Attempt == reported.Attempt && previous.Phase == reported.Phase {
			current.Since = previous.Since
		}
		claim := claims[task]
		if earlier, duplicate := seen[task]; duplicate && claim != nil && earlier.Attempt == claim.Attempt {
			continue // of two tries on the machine the claimed one counts
		}
		seen[task] = current
		if claim == nil || claim.Attempt != reported.Attempt || claim.Finished {
			continue
		}
		switch reported.Phase {
		case wire.PhaseRunning:
			if claim.RunningSince.IsZero() {
				claim.RunningSince = now
				h.taskStarted(claim, worker, now)
			}
		case wire.TaskExited:
			h.taskEnded(claim, worker, reported.ExitReason, now)
		}
	}
	worker.Tasks, worker.HasUnclaimedTask = seen, false
	for task, reported := range seen {
		if claim := claims[task]; (claim == nil || claim.Attempt != reported.Attempt) && reported.Phase != wire.TaskExited {
			worker.HasUnclaimedTask = true
		}
	}
	// A withdrawn job's task that the worker does not have is gone once no
	// launch can reach the worker any more: it has seen a higher epoch than
	// any launch carried.
	for task, claim := range claims {
		if _, present := seen[task]; !present && (claim.Job.Cancelled || claim.Stopping || claim.Unconfirmed) && !worker.CommandInFlight && worker.SeenEpoch > claim.StartEpoch {
			h.freeClaim(claim, "no launch can reach the machine")
		}
	}
}

// taskStarted notes that a task runs: its machine has the image.
func (h *heartbeatReconciler) taskStarted(claim *ledger.Claim, worker *agent.Worker, now time.Time) {
	cacheGB := 0.0
	if instanceType := h.instanceTypes.InstanceTypes()[worker.InstanceType]; instanceType != nil {
		cacheGB = instanceType.DiskGB
	}
	worker.RecordImageUse(claim.Job.Spec.Image, claim.Job.Spec.ImageGB, cacheGB)
	h.latencies.recordStart(claim, now)
	h.log.Debug("started", "task", claim.Task(), "host", worker.Name, "wait_s", now.Sub(claim.Job.WaitingSince).Seconds())
}

// dropImageFetch notes that a task went before it ran; with the last that waited for
// its image the fetch goes too.
func (h *heartbeatReconciler) dropImageFetch(claim *ledger.Claim, worker *agent.Worker) {
	for _, other := range h.jobs.ClaimsOnWorker(worker.Name) {
		if other != claim && other.Job.Spec.Image == claim.Job.Spec.Image {
			return
		}
	}
	worker.RecordPullAbandoned(claim.Job.Spec.Image)
}

// taskEnded deals with a claimed task that its worker reports as ended.
func (h *heartbeatReconciler) taskEnded(claim *ledger.Claim, worker *agent.Worker, cause string, now time.Time) {
	job := claim.Job
	if claim.RunningSince.IsZero() {
		h.dropImageFetch(claim, worker)
	}
	h.log.Debug("ended", "task", claim.Task(), "host", worker.Name, "cause", cause)
	if job.Cancelled {
		h.freeClaim(claim, "ended, withdrawn")
		return
	}
	if job.IsGang() && cause != wire.ExitDone {
		// The others cannot go on without it: they start again together.
		for _, other := range h.jobs.ClaimsOfJob(job) {
			if other != claim && !other.Finished {
				other.Stopping = true
				h.auditLog.enqueueTask(now, audit.Stopped, other, "a member of the gang ended", "")
				if peer := h.workers[other.Worker]; peer != nil {
					peer.WakeSender()
				}
			}
		}
	}
	switch cause {
	case wire.ExitDone:
		if job.Spec.Kind == wire.KindService {
			h.freeClaim(claim, "ended")
			return
		}
		worker.FailedJobs = nil
		job.ConsecutiveFailures = 0
		// Only tasks that were seen running teach: a result that was kept
		// from an earlier try comes back at once and says nothing.
		if !claim.RunningSince.IsZero() {
			job.RunSeconds.Sum += now.Sub(claim.RunningSince).Seconds()
			job.RunSeconds.Count++
			finish := agent.RuntimeSample{JobType: h.scheduler.jobType(job), InstanceType: worker.InstanceType, Duration: now.Sub(claim.RunningSince)}
			if h.leadership.ShardMap().Owner(worker.Name) == h.settings.Node {
				h.shards.Learn(finish)
			} else if len(worker.PendingSamples) < 64 {
				worker.PendingSamples = append(worker.PendingSamples, finish)
			}
		}
		h.jobs.Finish(claim)
	case wire.ExitFailed:
		h.freeClaim(claim, "failed")
		h.faults.countFailure(job, worker, now)
	case wire.ExitNoCapacity:
		h.freeClaim(claim, "refused: no room")
		worker.StartBackoffUntil = now.Add(h.settings.Report())
	case wire.ExitDuplicate, wire.ExitUnknownTask:
		h.freeClaim(claim, "refused: "+cause)
		job.ConsecutiveFailures++
		job.RetryAt = now.Add(h.faults.retryDelay(job.ConsecutiveFailures))
	default: // halted
		h.freeClaim(claim, "halted")
	}
}

// requestFencing asks for a higher epoch when a host waits for one.
func (h *heartbeatReconciler) requestFencing(worker *agent.Worker) {
	needed := worker.UnresolvedEpoch != 0 && len(worker.Tasks) > 0
	for task, claim := range h.jobs.ClaimsOnWorker(worker.Name) {
		if _, present := worker.Tasks[task]; !present && (claim.Job.Cancelled || claim.Stopping || claim.Unconfirmed) {
			needed = needed || worker.SeenEpoch <= claim.StartEpoch
		}
	}
	if needed && worker.SeenEpoch >= h.leadership.Epoch() {
		notify(h.epochSignal)
	}
}
