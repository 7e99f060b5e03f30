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

// ErrWorkersUnreported says that nothing is known of a job, but not all workers that may have its tasks
// have reported in this term.
var ErrWorkersUnreported = errors.New("leader: not all workers have reported")

// awaitOrphanReports waits for the workers that may have tasks of jobs that nobody remembers,
// for no longer than their leases last.
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

// awaitEarlierEpochs waits until everybody was heard who might know of an earlier incarnation
// of the store: all workers that are up, or for a lease. A worker that has seen an epoch of it
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

// listLag is how long the cloud may take to list an instance, with a margin.
func (r *dataRecovery) listLag() time.Duration {
	return settings.Seconds(2 * r.settings.Facts.Cloud.ListLagSeconds)
}

// allWorkersReported tells whether all workers that may have tasks have reported in this term,
// or their leases are over: what only workers know is known by then. Callers hold mu.
func (r *dataRecovery) allWorkersReported(now time.Time) bool {
	elapsed := now.Sub(r.startedAt)
	return elapsed > r.settings.WorkerLease()+r.settings.HeartbeatInterval() ||
		elapsed > max(r.listLag(), r.settings.HeartbeatInterval()) && len(r.unreportedWorkers()) == 0
}

// unreportedWorkers returns the workers that are up, or have claims, and have not come to this
// leader yet: an earlier one may still command them. Callers hold mu.
func (r *dataRecovery) unreportedWorkers() []string {
	var names []string
	for _, worker := range r.workersByName {
		if !r.released[worker.Name].IsZero() {
			continue
		}
		instance, listed := r.instances[worker.Name]
		up := listed && instance.Phase == wire.InstanceRunning || len(r.jobs.ClaimsOnWorker(worker.Name)) > 0
		heard := !worker.LastHeartbeat.IsZero() || !worker.LastUpdate.IsZero()
		if up && (!heard || worker.SeenEpoch < r.firstEpoch) {
			names = append(names, worker.Name)
		}
	}
	return names
}

// placementOnHold tells whether nothing may be placed yet: some worker may have a task that
// nobody remembers. For a job that came after the loss no such task can be; see jobOnHold. The
// hold is lifted for good by the first call that finds it over. Callers hold mu.
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
		return false // jobOnHold still withholds the jobs of before the loss
	}
	progress.placementResumedAt = now
	r.log.Info("placement resumed", "after_s", elapsed.Seconds(), "unreported", len(unreported))
	return false
}

// jobOnHold tells whether a job's tasks may be on a worker that has not reported since data was
// lost, though nobody remembers them. Callers hold mu.
func (r *dataRecovery) jobOnHold(job *ledger.Job) bool {
	progress := r.progress
	return progress != nil && progress.full && progress.placementResumedAt.IsZero() && !job.ArrivalSeen
}

// adoptReported takes in what a worker shows of a task whose claim may have been lost: what the
// worker shows is there, whatever is remembered of it. Callers hold mu.
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
