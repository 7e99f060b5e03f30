package leader

import (
	"context"
	"errors"
	"slices"

	"rillflow/internal/agent"
	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// orphanTracker follows tasks of jobs that no record tells of.
type orphanTracker struct {
	*termScope
	heartbeats *heartbeatReconciler

	orphanedJobs map[string]*orphanedJob
}

// orphanedJob is a job of which nothing is known but that machines have tasks of it: it was
// accepted in a part of the history that was lost. Its tasks run on until its user
// submits it again or withdraws it.
type orphanedJob struct {
	ended bool // it has an end: what is left of it may go
}

// maxOrphanedJobs bounds the traces that are followed; more are kept on their machines all
// the same.
const maxOrphanedJobs = 4096

// isOrphan tells whether a task on a machine is of a job that may have been lost, so that
// it is to be left alone.
func (o *orphanTracker) isOrphan(task ledger.Task) bool {
	if view := o.leadership.Incarnation(); !view.DataLost && view.Phase != dataloss.PhaseProvisional || o.jobs.Job(task.JobRef) != nil {
		return false // a history that has just begun may be a loss that is yet to show
	}
	orphan := o.orphanedJobs[task.JobRef]
	if orphan == nil && len(o.orphanedJobs) < maxOrphanedJobs {
		orphan = &orphanedJob{}
		o.orphanedJobs[task.JobRef] = orphan
	}
	return orphan == nil || !orphan.ended
}

// resolveOrphans finds out what became of jobs that only machines know.
func (o *orphanTracker) resolveOrphans(ctx context.Context) error {
	for sleep(ctx, o.settings.Report()/2) {
		o.mu.Lock()
		var unresolved []string
		for ref, orphan := range o.orphanedJobs {
			if !orphan.ended {
				unresolved = append(unresolved, ref)
			}
		}
		o.reserveForOrphans()
		o.mu.Unlock()
		slices.Sort(unresolved)
		for _, ref := range unresolved[:min(len(unresolved), maxEndingLookups)] {
			_, err := o.store.Get(ctx, ledger.EndedKey(ref))
			if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
				break
			}
			if err != nil {
				if _, ok := o.replica.Get(ledger.EndedKey(ref)); !ok {
					continue
				}
			}
			o.mu.Lock()
			if orphan := o.orphanedJobs[ref]; orphan != nil { // else it was submitted again meanwhile
				orphan.ended = true
			}
			o.eachTaskOf(ref, func(worker *agent.Worker, task ledger.Task, status agent.TaskStatus) {
				status.Orphaned = false
				worker.Tasks[task] = status
				worker.WakeSender()
			})
			o.mu.Unlock()
		}
	}
	return ctx.Err()
}

// eachTaskOf goes through the tasks of a job on all machines.
func (o *orphanTracker) eachTaskOf(ref string, visit func(worker *agent.Worker, task ledger.Task, status agent.TaskStatus)) {
	for _, worker := range o.workersByName {
		for task, status := range worker.Tasks {
			if task.JobRef == ref {
				visit(worker, task, status)
			}
		}
	}
}

// reserveForOrphans counts what tasks of unknown jobs may take against every team's limit: all
// that their machines have beside what is claimed.
func (o *orphanTracker) reserveForOrphans() {
	var cores, accel float64
	for _, worker := range o.workersByName {
		instanceType := o.instanceTypes.InstanceTypes()[worker.InstanceType]
		if instanceType == nil || !o.hasOrphan(worker) {
			continue
		}
		used := o.jobs.UsedOnWorker(worker.Name)
		cores += max(0, instanceType.CPUs-used.CPUs)
		accel += max(0, instanceType.GPUs-used.GPUs)
	}
	o.jobs.Reserve(cores, accel)
}

// hasOrphan tells whether a host has a task of an unknown job.
func (o *orphanTracker) hasOrphan(worker *agent.Worker) bool {
	for _, status := range worker.Tasks {
		if status.Orphaned && status.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// adoptOrphans claims the tasks of a job that was submitted again, where machines have them.
func (o *orphanTracker) adoptOrphans(ref string) {
	if o.orphanedJobs[ref] == nil {
		return
	}
	delete(o.orphanedJobs, ref)
	job, now, adopted := o.jobs.Job(ref), o.now(), 0
	o.eachTaskOf(ref, func(worker *agent.Worker, task ledger.Task, status agent.TaskStatus) {
		if !status.Orphaned {
			return
		}
		status.Orphaned = false
		worker.Tasks[task] = status
		if status.Phase == wire.TaskExited && status.EndCause != wire.ExitDone {
			return
		}
		claim := o.jobs.AdoptOrphan(job, task.Index, ledger.ClaimRecord{Worker: worker.Name, Incarnation: worker.Incarnation, Attempt: status.Attempt, Zone: worker.Zone}, o.firstEpoch-1)
		if claim == nil {
			return
		}
		adopted++
		switch status.Phase {
		case wire.PhaseRunning:
			claim.RunningSince = status.Since
		case wire.TaskExited:
			o.heartbeats.taskEnded(claim, worker, status.EndCause, now)
		}
	})
	o.log.Info("known again", "job", ref, "tasks", adopted)
	o.reserveForOrphans()
}

// runningOrphans counts the tasks of an unknown job that run, if there is a trace of it.
func (o *orphanTracker) runningOrphans(ref string) (running int, ok bool) {
	orphan := o.orphanedJobs[ref]
	if orphan == nil || orphan.ended {
		return 0, false
	}
	o.eachTaskOf(ref, func(_ *agent.Worker, _ ledger.Task, status agent.TaskStatus) {
		if status.Phase == wire.PhaseRunning {
			running++
		}
	})
	return running, true
}
