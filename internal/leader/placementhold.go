package leader

import (
	"context"
	"errors"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// awaitOrphanReports waits for the machines that may have tasks of jobs that nobody remembers: no
// longer than their leases last.
func (r *dataRecovery) awaitOrphanReports(ctx context.Context) error {
	for r.progress.full {
		r.mu.Lock()
		reported := r.allWorkersReported(r.now())
		r.mu.Unlock()
		if reported {
			return nil
		}
		if !sleep(ctx, r.settings.Report()/4) {
			return ctx.Err()
		}
	}
	return nil
}

// ErrWorkersUnreported: nothing is known of a job, but not all machines that may have its tasks were
// heard in this term.
var ErrWorkersUnreported = errors.New("control: not all machines were heard")

// allWorkersReported tells whether all machines that may have tasks were heard in this term, or their
// leases are over: what only machines know is known by then.
func (r *dataRecovery) allWorkersReported(now time.Time) bool {
	elapsed := now.Sub(r.startedAt)
	return elapsed > r.settings.Lease()+r.settings.Report() ||
		elapsed > max(settings.Seconds(2*r.settings.Facts.Cloud.ListLagS), r.settings.Report()) && len(r.unreportedWorkers()) == 0
}

// awaitEarlierEpochs waits until everybody who might know of an earlier history was heard: all
// machines that are up, or a lease. A worker that has seen an epoch ends it at once.
func (r *dataRecovery) awaitEarlierEpochs(ctx context.Context) error {
	for sleep(ctx, r.settings.Report()/2) {
		r.mu.Lock()
		now := r.now()
		done := now.Sub(r.startedAt) > r.settings.Lease() || len(r.instances) > 0 && now.Sub(r.startedAt) > r.settings.Report() && len(r.unreportedWorkers()) == 0
		r.mu.Unlock()
		if done {
			return nil
		}
	}
	return ctx.Err()
}

// unreportedWorkers are machines that are up, or have claims, and that have not come to this
// leader yet: whatever they have may still be ordered by an earlier one.
func (r *dataRecovery) unreportedWorkers() []string {
	var names []string
	for _, worker := range r.workersByName {
		if !r.released[worker.Name].IsZero() {
			continue
		}
		instance, listed := r.instances[worker.Name]
		up := listed && instance.Phase == wire.PhaseRunning || len(r.jobs.ClaimsOnWorker(worker.Name)) > 0
		if up && (worker.LastHeartbeat.IsZero() && worker.LastUpdate.IsZero() || worker.SeenEpoch < r.firstEpoch) {
			names = append(names, worker.Name)
		}
	}
	return names
}

// placementOnHold tells whether nothing may be placed yet: some machine may have a task that
// nobody remembers. For a job that came after the loss no such task can be.
func (r *dataRecovery) placementOnHold(now time.Time) bool {
	progress := r.progress
	if progress == nil || !progress.full || !progress.placementResumedAt.IsZero() {
		return false
	}
	if progress.durableAt.IsZero() {
		return true
	}
	listLag := settings.Seconds(2 * r.settings.Facts.Cloud.ListLagS)
	elapsed := now.Sub(r.startedAt)
	if elapsed < r.settings.Lease()+r.settings.Report() {
		if !progress.exact && elapsed < listLag || len(r.unreportedWorkers()) > 0 {
			return true
		}
	}
	unreported := r.unreportedWorkers()
	if len(unreported) > 0 && !progress.exact {
		return false // see withheld
	}
	progress.placementResumedAt = now
	r.log.Info("placing again", "after_s", elapsed.Seconds(), "unheard", len(unreported))
	return false
}

// jobOnHold tells whether a job's tasks may be on a machine that has not been heard
// since data was lost, though nobody remembers them.
func (r *dataRecovery) jobOnHold(job *ledger.Job) bool {
	progress := r.progress
	return progress != nil && progress.full && progress.placementResumedAt.IsZero() && !job.ArrivalSeen
}

// adoptReported takes in a report where claims are of a history that was lost: what the
// machine shows is there, whatever is remembered of it.
func (r *dataRecovery) adoptReported(worker *agent.Worker, task ledger.Task, status wire.TaskStatus) {
	job := r.jobs.Job(task.JobRef)
	if job == nil {
		return
	}
	claim := r.jobs.ClaimsOnWorker(worker.Name)[task]
	if claim != nil && claim.Attempt == status.Attempt {
		claim.Unconfirmed = false
		return
	}
	if r.progress == nil || !r.progress.full || status.Phase == wire.TaskExited && status.ExitReason != wire.ExitDone {
		return
	}
	if claim := r.jobs.AdoptOrphan(job, task.Index, ledger.ClaimRecord{Worker: worker.Name, Incarnation: worker.Incarnation, Attempt: status.Attempt, Zone: worker.Zone}, r.firstEpoch-1); claim != nil {
		r.log.Info("known from its machine", "task", task, "try", status.Attempt, "host", worker.Name, "phase", status.Phase)
	}
}
