package leader

import (
	"context"
	"errors"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/retry"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// ErrWorkersUnreported means that a job is not known, but that not all workers that may run its tasks
// have reported in this term.
var ErrWorkersUnreported = errors.New("leader: not all workers have reported")

// awaitOrphanReports waits until all workers that may run tasks of jobs without a record have
// reported, at most until their leases have expired.
func (r *dataRecovery) awaitOrphanReports(ctx context.Context) error {
	for r.progress.full {
		r.mu.Lock()
		reported := r.allWorkersReported(r.now())
		r.mu.Unlock()
		if reported {
			return nil
		}
		if !retry.Sleep(ctx, r.settings.HeartbeatInterval()/4) {
			return ctx.Err()
		}
	}
	return nil
}

// awaitEarlierEpochs waits until all workers that are up have reported, at most for a lease, so that
// a worker that has seen an epoch of an earlier incarnation of the store is found. Such a worker
// ends the term at once.
func (r *dataRecovery) awaitEarlierEpochs(ctx context.Context) error {
	for retry.Sleep(ctx, r.settings.HeartbeatInterval()/2) {
		r.mu.Lock()
		elapsed := r.now().Sub(r.startedAt)
		done := elapsed > r.settings.WorkerLease() ||
			len(r.instances) > 0 && elapsed > r.settings.HeartbeatInterval() && len(r.unreportedWorkers()) == 0
		r.mu.Unlock()
		if done {
			return nil
		}
	}
	return ctx.Err()
}

// listLag returns how long the cloud may take to list an instance, with a margin.
func (r *dataRecovery) listLag() time.Duration {
	return settings.Seconds(2 * r.settings.Facts.Cloud.ListLagSeconds)
}

// allWorkersReported reports whether all workers that may run tasks have reported in this term, or
// their leases have expired: after that, no unreported task can be running. Callers hold mu.
func (r *dataRecovery) allWorkersReported(now time.Time) bool {
	elapsed := now.Sub(r.startedAt)
	return elapsed > r.settings.WorkerLease()+r.settings.HeartbeatInterval() ||
		elapsed > max(r.listLag(), r.settings.HeartbeatInterval()) && len(r.unreportedWorkers()) == 0
}

// unreportedWorkers returns the workers that are up or have claims, but have not reported under this
// leader's epoch yet: an earlier leader may still command them. Callers hold mu.
func (r *dataRecovery) unreportedWorkers() []string {
	var names []string
	for _, worker := range r.workersByName {
		if !r.released[worker.Name].IsZero() {
			continue
		}
		instance, listed := r.instances[worker.Name]
		expected := listed && instance.Phase == wire.InstanceRunning || len(r.jobs.ClaimsOnWorker(worker.Name)) > 0
		hasReported := !worker.LastHeartbeat.IsZero() || !worker.LastUpdate.IsZero()
		if expected && (!hasReported || worker.SeenEpoch < r.firstEpoch) {
			names = append(names, worker.Name)
		}
	}
	return names
}

// placementOnHold reports whether no task may be placed yet, because data was lost and some worker
// may run a task that no record shows. Jobs that arrived after the loss cannot have such tasks; see
// jobOnHold. The first call that finds that no job has to be held back any more ends the hold
// for the rest of the term. Callers hold mu.
func (r *dataRecovery) placementOnHold(now time.Time) bool {
	progress := r.progress
	if progress == nil || !progress.full || !progress.placementResumedAt.IsZero() {
		return false
	}
	if progress.durableAt.IsZero() {
		return true
	}
	unreported := r.unreportedWorkers()
	elapsed := now.Sub(r.startedAt)
	if elapsed < r.settings.WorkerLease()+r.settings.HeartbeatInterval() {
		if !progress.exact && elapsed < r.listLag() || len(unreported) > 0 {
			return true
		}
	}
	if len(unreported) > 0 && !progress.exact {
		return false // jobOnHold still holds back the jobs from before the loss
	}
	progress.placementResumedAt = now
	r.log.Info("placement resumed", "after_s", elapsed.Seconds(), "unreported", len(unreported))
	return false
}

// jobOnHold reports whether a worker that has not reported since data was lost may run tasks of the
// job that no record shows. Callers hold mu.
func (r *dataRecovery) jobOnHold(job *ledger.Job) bool {
	progress := r.progress
	return progress != nil && progress.full && progress.placementResumedAt.IsZero() && !job.ArrivalSeen
}

// adoptReported restores the claim of a reported task if it may have been lost with the data: a
// worker's heartbeat is valid, whatever the records show. Callers hold mu.
func (r *dataRecovery) adoptReported(worker *agent.Worker, task ledger.Task, status wire.TaskStatus) {
	job := r.jobs.Job(task.JobID)
	if job == nil {
		return
	}
	claim := r.jobs.ClaimsOnWorker(worker.Name)[task]
	if claim != nil && claim.Attempt == status.Attempt {
		claim.Unconfirmed = false
		return
	}
	unfinished := status.Phase == wire.TaskExited && status.ExitReason != wire.ExitDone
	if r.progress == nil || !r.progress.full || unfinished {
		return
	}
	if r.adoptClaim(job, task.Index, worker, status.Attempt) != nil {
		r.log.Info("task adopted from worker",
			"task", task, "attempt", status.Attempt, "worker", worker.Name, "phase", status.Phase)
	}
}
