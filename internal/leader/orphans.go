package leader

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// orphanTracker tracks orphans: tasks on workers whose job has no record left, because the record
// was in the lost part of the data. They keep running until the user submits the job again, which
// lets the leader adopt them, or cancels it.
//
// Serve runs its loop, resolveOrphans. The heartbeat reconciler asks it whether a task is an
// orphan, the job watcher has it adopt the tasks of a new job, the status view counts them; all
// hold mu, which guards its state. It must not let a task be stopped whose job may have been
// accepted, and must not hold mu during a request to the store.
type orphanTracker struct {
	*termScope
	heartbeats *heartbeatReconciler

	orphanedJobs map[string]*orphanedJob
}

// orphanedJob is a job that is known only from tasks that workers report.
type orphanedJob struct {
	ended bool // the job has an end record, so its tasks may be ended
}

// maxOrphanedJobs bounds the orphaned jobs that are tracked. The tasks of any others are left
// running too.
const maxOrphanedJobs = 4096

// isOrphan reports whether a task on a worker belongs to a job whose record may have been lost, so
// that it must be left running. Callers hold mu.
func (o *orphanTracker) isOrphan(task ledger.Task) bool {
	incarnation := o.leadership.Incarnation()
	// A provisional incarnation may have begun by a data loss that is not detected yet.
	mayBeLost := incarnation.DataLost || incarnation.Phase == dataloss.PhaseProvisional
	if !mayBeLost || o.jobs.Job(task.JobID) != nil {
		return false
	}
	orphan := o.orphanedJobs[task.JobID]
	if orphan == nil && len(o.orphanedJobs) < maxOrphanedJobs {
		orphan = &orphanedJob{}
		o.orphanedJobs[task.JobID] = orphan
	}
	return orphan == nil || !orphan.ended
}

// resolveOrphans looks up which orphaned jobs have ended.
func (o *orphanTracker) resolveOrphans(ctx context.Context) error {
	for retry.Sleep(ctx, o.settings.HeartbeatInterval()/2) {
		o.mu.Lock()
		o.dropEnded()
		unresolved := o.unresolvedJobs()
		o.reserveForOrphans()
		o.mu.Unlock()
		for _, jobID := range unresolved[:min(len(unresolved), maxEndRecordLookUps)] {
			ended, err := o.hasEnded(ctx, jobID)
			if err != nil {
				break // the store refused the request: continue in the next round
			}
			if ended {
				o.markEnded(jobID)
			}
		}
	}
	return ctx.Err()
}

// dropEnded removes the ended jobs of which no worker reports a task any more, so that they leave room for
// others. Callers hold mu.
func (o *orphanTracker) dropEnded() {
	if len(o.orphanedJobs) == 0 {
		return
	}
	reported := make(map[string]bool)
	for _, worker := range o.workersByName {
		for task := range worker.Tasks {
			reported[task.JobID] = true
		}
	}
	maps.DeleteFunc(o.orphanedJobs, func(jobID string, orphan *orphanedJob) bool {
		return orphan.ended && !reported[jobID]
	})
}

// unresolvedJobs returns the orphaned jobs for which no end record has been found, sorted. Callers
// hold mu.
func (o *orphanTracker) unresolvedJobs() []string {
	var jobIDs []string
	for jobID, orphan := range o.orphanedJobs {
		if !orphan.ended {
			jobIDs = append(jobIDs, jobID)
		}
	}
	slices.Sort(jobIDs)
	return jobIDs
}

// hasEnded reports whether a job has an end record in the store or in the replica, which may hold
// end records that the recovery has not written back yet.
func (o *orphanTracker) hasEnded(ctx context.Context, jobID string) (bool, error) {
	_, err := o.store.Get(ctx, ledger.EndedKey(jobID))
	if errors.Is(err, kvstore.ErrNotFound) {
		_, inReplica := o.replica.Get(ledger.EndedKey(jobID))
		return inReplica, nil
	}
	return err == nil, err
}

// markEnded records that an orphaned job has ended, so that its tasks are stopped on their workers.
func (o *orphanTracker) markEnded(jobID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if orphan := o.orphanedJobs[jobID]; orphan != nil { // nil if the job was submitted again meanwhile
		orphan.ended = true
	}
	o.forEachTask(jobID, func(worker *agent.Worker, task ledger.Task, status agent.TaskStatus) {
		status.Orphaned = false
		worker.Tasks[task] = status
		worker.WakeSender()
	})
}

// forEachTask calls visit for the tasks of a job on all workers. Callers hold mu.
func (o *orphanTracker) forEachTask(jobID string, visit func(*agent.Worker, ledger.Task, agent.TaskStatus)) {
	for _, worker := range o.workersByName {
		for task, status := range worker.Tasks {
			if task.JobID == jobID {
				visit(worker, task, status)
			}
		}
	}
}

// reserveForOrphans counts the resources that orphaned tasks may use against every team's quota
// limit: the teams are unknown, and on each worker with orphans the tasks may use all that is not
// claimed. Callers hold mu.
func (o *orphanTracker) reserveForOrphans() {
	var cpus, gpus float64
	for _, worker := range o.workersByName {
		instanceType := o.instanceTypes.InstanceTypes()[worker.InstanceType]
		if instanceType == nil || !hasOrphan(worker) {
			continue
		}
		used := o.jobs.UsedOnWorker(worker.Name)
		cpus += max(0, instanceType.CPUs-used.CPUs)
		gpus += max(0, instanceType.GPUs-used.GPUs)
	}
	o.jobs.SetReserved(cpus, gpus)
}

// hasOrphan reports whether a worker has an orphaned task that has not exited.
func hasOrphan(worker *agent.Worker) bool {
	for _, status := range worker.Tasks {
		if status.Orphaned && status.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// adoptOrphans claims the orphaned tasks of a job that was submitted again for the workers that
// have them. Callers hold mu.
func (o *orphanTracker) adoptOrphans(jobID string) {
	if o.orphanedJobs[jobID] == nil {
		return
	}
	delete(o.orphanedJobs, jobID)
	now, adopted := o.now(), 0
	o.forEachTask(jobID, func(worker *agent.Worker, task ledger.Task, status agent.TaskStatus) {
		if !status.Orphaned {
			return
		}
		status.Orphaned = false
		worker.Tasks[task] = status
		if o.adoptOrphan(worker, task, status, now) {
			adopted++
		}
	})
	o.log.Info("orphaned tasks adopted", "job", jobID, "tasks", adopted)
	o.reserveForOrphans()
}

// adoptOrphan claims one task for the worker that has it, and reports whether it did. Callers hold
// mu.
func (o *orphanTracker) adoptOrphan(
	worker *agent.Worker, task ledger.Task, status agent.TaskStatus, now time.Time,
) bool {
	if status.Phase == wire.TaskExited && status.EndCause != wire.ExitDone {
		return false // the task has to run again
	}
	claim := o.adoptClaim(o.jobs.Job(task.JobID), task.Index, worker, status.Attempt)
	if claim == nil {
		return false
	}
	switch status.Phase {
	case wire.TaskRunning:
		claim.RunningSince = status.Since
	case wire.TaskExited:
		o.heartbeats.taskEnded(claim, worker, status.EndCause, now)
	}
	return true
}

// runningOrphans counts the running tasks of an orphaned job. tracked reports whether the job is
// an orphaned one that has not ended. Callers hold mu.
func (o *orphanTracker) runningOrphans(jobID string) (running int, tracked bool) {
	orphan := o.orphanedJobs[jobID]
	if orphan == nil || orphan.ended {
		return 0, false
	}
	o.forEachTask(jobID, func(_ *agent.Worker, _ ledger.Task, status agent.TaskStatus) {
		if status.Phase == wire.TaskRunning {
			running++
		}
	})
	return running, true
}
