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
func (t *leaderTerm) awaitOrphanReports(ctx context.Context) error {
	for t.progress.full {
		t.mu.Lock()
		reported := t.allWorkersReported(t.now())
		t.mu.Unlock()
		if reported {
			return nil
		}
		if !sleep(ctx, t.settings.Report()/4) {
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
func (t *leaderTerm) allWorkersReported(now time.Time) bool {
	elapsed := now.Sub(t.startedAt)
	return elapsed > t.settings.Lease()+t.settings.Report() ||
		elapsed > max(settings.Seconds(2*t.settings.Facts.Cloud.ListLagS), t.settings.Report()) && len(t.unreportedWorkers()) == 0
}

// awaitEarlierEpochs waits until everybody who might know of an earlier history was heard: all
// machines that are up, or a lease. A worker that has seen an epoch ends it at once.
func (t *leaderTerm) awaitEarlierEpochs(ctx context.Context) error {
	for sleep(ctx, t.settings.Report()/2) {
		t.mu.Lock()
		now := t.now()
		done := now.Sub(t.startedAt) > t.settings.Lease() || len(t.instances) > 0 && now.Sub(t.startedAt) > t.settings.Report() && len(t.unreportedWorkers()) == 0
		t.mu.Unlock()
		if done {
			return nil
		}
	}
	return ctx.Err()
}

// unreportedWorkers are machines that are up, or have claims, and that have not come to this
// leader yet: whatever they have may still be ordered by an earlier one.
func (t *leaderTerm) unreportedWorkers() []string {
	var names []string
	for _, worker := range t.workersByName {
		if !t.released[worker.Name].IsZero() {
			continue
		}
		instance, listed := t.instances[worker.Name]
		up := listed && instance.Phase == wire.PhaseRunning || len(t.jobs.ClaimsOnWorker(worker.Name)) > 0
		if up && (worker.LastHeartbeat.IsZero() && worker.LastUpdate.IsZero() || worker.SeenEpoch < t.firstEpoch) {
			names = append(names, worker.Name)
		}
	}
	return names
}

// placementOnHold tells whether nothing may be placed yet: some machine may have a task that
// nobody remembers. For a job that came after the loss no such task can be.
func (t *leaderTerm) placementOnHold(now time.Time) bool {
	progress := t.progress
	if progress == nil || !progress.full || !progress.placementResumedAt.IsZero() {
		return false
	}
	if progress.durableAt.IsZero() {
		return true
	}
	listLag := settings.Seconds(2 * t.settings.Facts.Cloud.ListLagS)
	elapsed := now.Sub(t.startedAt)
	if elapsed < t.settings.Lease()+t.settings.Report() {
		if !progress.exact && elapsed < listLag || len(t.unreportedWorkers()) > 0 {
			return true
		}
	}
	unreported := t.unreportedWorkers()
	if len(unreported) > 0 && !progress.exact {
		return false // see withheld
	}
	progress.placementResumedAt = now
	t.log.Info("placing again", "after_s", elapsed.Seconds(), "unheard", len(unreported))
	return false
}

// jobOnHold tells whether a job's tasks may be on a machine that has not been heard
// since data was lost, though nobody remembers them.
func (t *leaderTerm) jobOnHold(job *ledger.Job) bool {
	progress := t.progress
	return progress != nil && progress.full && progress.placementResumedAt.IsZero() && !job.ArrivalSeen
}

// adoptReported takes in a report where claims are of a history that was lost: what the
// machine shows is there, whatever is remembered of it.
func (t *leaderTerm) adoptReported(worker *agent.Worker, task ledger.Task, status wire.TaskStatus) {
	job := t.jobs.Job(task.JobRef)
	if job == nil {
		return
	}
	claim := t.jobs.ClaimsOnWorker(worker.Name)[task]
	if claim != nil && claim.Attempt == status.Attempt {
		claim.Unconfirmed = false
		return
	}
	if t.progress == nil || !t.progress.full || status.Phase == wire.TaskExited && status.ExitReason != wire.ExitDone {
		return
	}
	if claim := t.jobs.AdoptOrphan(job, task.Index, ledger.ClaimRecord{Worker: worker.Name, Incarnation: worker.Incarnation, Attempt: status.Attempt, Zone: worker.Zone}, t.firstEpoch-1); claim != nil {
		t.log.Info("known from its machine", "task", task, "try", status.Attempt, "host", worker.Name, "phase", status.Phase)
	}
}
