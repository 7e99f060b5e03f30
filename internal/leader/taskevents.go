package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/audit"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// taskStarted records that a task is running, which shows that its worker has pulled the image.
func (h *heartbeatReconciler) taskStarted(claim *ledger.Claim, worker *agent.Worker, now time.Time) {
	cacheGB := 0.0
	if instanceType := h.instanceTypes.InstanceTypes()[worker.InstanceType]; instanceType != nil {
		cacheGB = instanceType.DiskGB
	}
	worker.RecordImageUse(claim.Job.Spec.Image, claim.Job.Spec.ImageGB, cacheGB)
	h.latencies.recordStart(claim, now)
	h.log.Debug("task started", "task", claim.Task(), "worker", worker.Name,
		"wait_s", now.Sub(claim.Job.WaitingSince).Seconds())
}

// abandonImagePull handles a task that ended before it ran: if no other task on the worker needs
// its image, the worker abandons the pull.
func (h *heartbeatReconciler) abandonImagePull(claim *ledger.Claim, worker *agent.Worker) {
	for _, other := range h.jobs.ClaimsOnWorker(worker.Name) {
		if other != claim && other.Job.Spec.Image == claim.Job.Spec.Image {
			return
		}
	}
	worker.RecordPullAbandoned(claim.Job.Spec.Image)
}

// taskEnded handles a claimed task that its worker reports as ended: it finishes the task, or
// frees the claim so that the task is started again.
func (h *heartbeatReconciler) taskEnded(claim *ledger.Claim, worker *agent.Worker, cause string, now time.Time) {
	job := claim.Job
	if claim.RunningSince.IsZero() {
		h.abandonImagePull(claim, worker)
	}
	h.log.Debug("task ended", "task", claim.Task(), "worker", worker.Name, "cause", cause)
	if job.Cancelled {
		h.freeClaim(claim, freedCancelled)
		return
	}
	if job.IsGang() && cause != wire.ExitDone {
		h.stopRestOfGang(claim, now)
	}
	switch cause {
	case wire.ExitDone:
		h.taskDone(claim, worker, now)
	case wire.ExitFailed:
		h.freeClaim(claim, freedFailed)
		h.faults.countFailure(job, worker, now)
	case wire.ExitNoCapacity:
		h.freeClaim(claim, freedNoCapacity)
		worker.StartBackoffUntil = now.Add(h.settings.HeartbeatInterval())
	case wire.ExitDuplicate, wire.ExitUnknownTask:
		h.freeClaim(claim, freedRefused+cause)
		job.ConsecutiveFailures++
		job.RetryAt = now.Add(h.faults.retryDelay(job.ConsecutiveFailures))
	default: // stopped on command
		h.freeClaim(claim, freedStopped)
	}
}

// stopRestOfGang stops the other tasks of a gang after one of them ended: they cannot continue
// without it, and all are started again together.
func (h *heartbeatReconciler) stopRestOfGang(ended *ledger.Claim, now time.Time) {
	for _, other := range h.jobs.ClaimsOfJob(ended.Job) {
		if other == ended || other.Finished {
			continue
		}
		other.Stop(stopGangEnded)
		h.auditLog.enqueueTask(now, audit.Stopped, other, stopGangEnded, "")
		if worker := h.workers[other.Worker]; worker != nil {
			worker.WakeSender()
		}
	}
}

// taskDone finishes a task that exited successfully. A task of a service is never done: its
// claim is freed so that it is started again.
func (h *heartbeatReconciler) taskDone(claim *ledger.Claim, worker *agent.Worker, now time.Time) {
	job := claim.Job
	if job.Spec.Kind == wire.KindService {
		h.freeClaim(claim, freedEnded)
		return
	}
	worker.FailedJobs = nil
	if claim.RunningSince.After(worker.LastSuccessStartedAt) {
		worker.LastSuccessStartedAt = claim.RunningSince
	}
	job.ConsecutiveFailures = 0
	// Only tasks that were seen running are measured: a result kept from an earlier attempt is
	// reported at once, which says nothing about the run time.
	if !claim.RunningSince.IsZero() {
		h.recordRunTime(claim, worker, now)
	}
	h.jobs.Finish(claim)
}

// recordRunTime records how long a task ran, for its job and for the owner of the worker's shard.
func (h *heartbeatReconciler) recordRunTime(claim *ledger.Claim, worker *agent.Worker, now time.Time) {
	job, ran := claim.Job, now.Sub(claim.RunningSince)
	job.RunSeconds.Sum += ran.Seconds()
	job.RunSeconds.Count++
	sample := agent.RuntimeSample{
		JobType: h.scheduler.jobType(job), InstanceType: worker.InstanceType, Duration: ran,
	}
	if h.leadership.ShardMap().Owner(worker.Name) == h.settings.Name {
		h.shards.Learn(sample)
	} else if len(worker.PendingSamples) < maxPendingSamples {
		worker.PendingSamples = append(worker.PendingSamples, sample)
	}
}
