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
func (t *leaderTerm) isOrphan(task ledger.Task) bool {
	if view := t.leadership.Incarnation(); !view.DataLost && view.Phase != dataloss.PhaseProvisional || t.jobs.Job(task.JobRef) != nil {
		return false // a history that has just begun may be a loss that is yet to show
	}
	orphan := t.orphanedJobs[task.JobRef]
	if orphan == nil && len(t.orphanedJobs) < maxOrphanedJobs {
		orphan = &orphanedJob{}
		t.orphanedJobs[task.JobRef] = orphan
	}
	return orphan == nil || !orphan.ended
}

// resolveOrphans finds out what became of jobs that only machines know.
func (t *leaderTerm) resolveOrphans(ctx context.Context) error {
	for sleep(ctx, t.settings.Report()/2) {
		t.mu.Lock()
		var unresolved []string
		for ref, orphan := range t.orphanedJobs {
			if !orphan.ended {
				unresolved = append(unresolved, ref)
			}
		}
		t.reserveForOrphans()
		t.mu.Unlock()
		slices.Sort(unresolved)
		for _, ref := range unresolved[:min(len(unresolved), maxEndingLookups)] {
			_, err := t.store.Get(ctx, ledger.EndedKey(ref))
			if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
				break
			}
			if err != nil {
				if _, ok := t.replica.Get(ledger.EndedKey(ref)); !ok {
					continue
				}
			}
			t.mu.Lock()
			if orphan := t.orphanedJobs[ref]; orphan != nil { // else it was submitted again meanwhile
				orphan.ended = true
			}
			t.eachTaskOf(ref, func(worker *agent.Worker, task ledger.Task, status agent.TaskStatus) {
				status.Orphaned = false
				worker.Tasks[task] = status
				worker.WakeSender()
			})
			t.mu.Unlock()
		}
	}
	return ctx.Err()
}

// eachTaskOf goes through the tasks of a job on all machines.
func (t *leaderTerm) eachTaskOf(ref string, visit func(worker *agent.Worker, task ledger.Task, status agent.TaskStatus)) {
	for _, worker := range t.workersByName {
		for task, status := range worker.Tasks {
			if task.JobRef == ref {
				visit(worker, task, status)
			}
		}
	}
}

// reserveForOrphans counts what tasks of unknown jobs may take against every team's limit: all
// that their machines have beside what is claimed.
func (t *leaderTerm) reserveForOrphans() {
	var cores, accel float64
	for _, worker := range t.workersByName {
		instanceType := t.instanceTypes.InstanceTypes()[worker.InstanceType]
		if instanceType == nil || !t.hasOrphan(worker) {
			continue
		}
		used := t.jobs.UsedOnWorker(worker.Name)
		cores += max(0, instanceType.CPUs-used.Cores)
		accel += max(0, instanceType.GPUs-used.Accelerators)
	}
	t.jobs.Reserve(cores, accel)
}

// hasOrphan tells whether a host has a task of an unknown job.
func (t *leaderTerm) hasOrphan(worker *agent.Worker) bool {
	for _, status := range worker.Tasks {
		if status.Orphaned && status.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// adoptOrphans claims the tasks of a job that was submitted again, where machines have them.
func (t *leaderTerm) adoptOrphans(ref string) {
	if t.orphanedJobs[ref] == nil {
		return
	}
	delete(t.orphanedJobs, ref)
	job, now, adopted := t.jobs.Job(ref), t.now(), 0
	t.eachTaskOf(ref, func(worker *agent.Worker, task ledger.Task, status agent.TaskStatus) {
		if !status.Orphaned {
			return
		}
		status.Orphaned = false
		worker.Tasks[task] = status
		if status.Phase == wire.TaskExited && status.EndCause != wire.ExitDone {
			return
		}
		claim := t.jobs.AdoptOrphan(job, task.Index, ledger.ClaimRecord{Worker: worker.Name, Incarnation: worker.Incarnation, Attempt: status.Attempt, Zone: worker.Zone}, t.firstEpoch-1)
		if claim == nil {
			return
		}
		adopted++
		switch status.Phase {
		case wire.PhaseRunning:
			claim.RunningSince = status.Since
		case wire.TaskExited:
			t.taskEnded(claim, worker, status.EndCause, now)
		}
	})
	t.log.Info("known again", "job", ref, "tasks", adopted)
	t.reserveForOrphans()
}

// runningOrphans counts the tasks of an unknown job that run, if there is a trace of it.
func (t *leaderTerm) runningOrphans(ref string) (running int, ok bool) {
	orphan := t.orphanedJobs[ref]
	if orphan == nil || orphan.ended {
		return 0, false
	}
	t.eachTaskOf(ref, func(_ *agent.Worker, _ ledger.Task, status agent.TaskStatus) {
		if status.Phase == wire.PhaseRunning {
			running++
		}
	})
	return running, true
}
