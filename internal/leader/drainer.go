package leader

import (
	"slices"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/audit"
	"rillflow/internal/fleet"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Limits on how many tasks of services are moved at once, and the weight of run time estimates.
const (
	minMoves         = 4  // tasks moved at once in a small fleet
	workersPerMove   = 32 // a large fleet moves one task at once per this many workers
	priorSampleCount = 2  // the submitter's estimate weighs as much as this many finished tasks
)

// drainer moves tasks off workers that the cloud is about to reclaim or that the autoscaler
// drains.
//
// The failure monitor and the autoscaler call it with mu held. It stops tasks and wakes
// the command loops of their workers; it frees no claim and releases no instance.
type drainer struct {
	*termScope
	scheduler *scheduler
}

// drainReclaimed stops the tasks on workers with a termination notice that will not finish before
// the instance is reclaimed. They save their progress and restart elsewhere now, instead of only
// after the loss of the worker is detected.
func (d *drainer) drainReclaimed(now time.Time) {
	for _, worker := range d.workersByName {
		if worker.ReclaimAt.IsZero() || worker.ReclaimAt.Before(now) {
			continue
		}
		secondsLeft := worker.ReclaimAt.Sub(now).Seconds()
		for _, claim := range d.jobs.ClaimsOnWorker(worker.Name) {
			if !stoppable(claim) || claim.Job.Spec.Kind == wire.KindService ||
				d.remainingSeconds(claim, now) <= secondsLeft {
				continue
			}
			claim.Stop(stopReclaimed)
			d.auditLog.enqueueTask(now, audit.Stopped, claim, stopReclaimed, "")
			worker.WakeSender()
			d.log.Debug("task drained", "task", claim.Task(), "worker", worker.Name, "left_s", secondsLeft)
		}
	}
}

// stoppable reports whether a task can be stopped on its own and restarted elsewhere.
func stoppable(claim *ledger.Claim) bool {
	return !claim.Finished && !claim.Stopping && claim.Committed && !claim.Job.Cancelled && !claim.Job.IsGang()
}

// remainingSeconds returns how much longer a task is expected to run.
func (d *drainer) remainingSeconds(claim *ledger.Claim, now time.Time) float64 {
	remaining := expectedSeconds(claim.Job)
	if !claim.RunningSince.IsZero() {
		remaining -= now.Sub(claim.RunningSince).Seconds()
	}
	return max(remaining, 0)
}

// expectedSeconds returns the expected run time of a job's tasks: the submitter's estimate,
// averaged with the run times of the finished tasks.
func expectedSeconds(job *ledger.Job) float64 {
	return (priorSampleCount*job.Spec.ExpectedSeconds + job.RunSeconds.Sum) /
		float64(priorSampleCount+job.RunSeconds.Count)
}

// drainWorkers marks the workers that the plan drains and moves tasks of services off all draining
// workers. It moves a few at a time, each to a worker where it starts at once, so that a service
// loses little capacity, and only briefly.
func (d *drainer) drainWorkers(plan fleet.Plan, now time.Time) {
	for _, name := range plan.Drain {
		if worker := d.workers[name]; worker != nil {
			d.log.Info("draining", "worker", name, "claims", len(d.jobs.ClaimsOnWorker(name)))
			worker.Draining = true
		}
	}
	var candidates []*candidate
	moved := make(map[string]bool)
	for _, worker := range d.workersByName {
		if !worker.Draining {
			continue
		}
		if d.drainCancelled(plan, worker) {
			worker.Draining = false
			notify(d.scheduleSignal)
			continue
		}
		if candidates == nil {
			candidates = d.scheduler.candidates(now)
		}
		d.moveServices(worker, candidates, moved, plan.ReuseDrained, now)
	}
}

// drainCancelled reports whether the plan cancels the draining of a worker.
func (d *drainer) drainCancelled(plan fleet.Plan, worker *agent.Worker) bool {
	return plan.CancelDrains || slices.Contains(plan.CancelDrainZones, worker.Zone) ||
		plan.ReuseDrained && !d.runsServices(worker)
}

// moveServices stops tasks of services on a draining worker for which another worker has capacity.
// It stops no task of the jobs in moved, and adds the jobs of the stopped tasks to it, so that each
// job has at most one task moved at a time. With smallerOnly, only smaller workers qualify.
func (d *drainer) moveServices(
	worker *agent.Worker, candidates []*candidate, moved map[string]bool, smallerOnly bool, now time.Time,
) {
	maxMoves := max(minMoves, len(d.workersByName)/workersPerMove)
	for _, claim := range d.jobs.ClaimsOnWorker(worker.Name) {
		job := claim.Job
		if len(moved) >= maxMoves || moved[job.ID] || claim.Stopping || !d.hasRunLongEnough(claim, now) ||
			job.Spec.Kind != wire.KindService || job.ClaimedTasks() < job.Spec.TaskCount {
			continue
		}
		target := d.findReplacement(claim, candidates, smallerOnly)
		if target == nil {
			continue
		}
		target.allocate(job)
		moved[job.ID] = true
		claim.Stop(stopDrained)
		d.auditLog.enqueueTask(now, audit.Stopped, claim, stopDrained, "")
		worker.WakeSender()
	}
}

// findReplacement returns another worker with free capacity for a task of a service, or nil. The
// worker must have the image, so that the task is back within some 30 ms; pulling the image would
// take a second.
//
// With smallerOnly, only workers with fewer CPUs than the present one qualify: the others would not
// reduce the capacity of the fleet.
func (d *drainer) findReplacement(claim *ledger.Claim, candidates []*candidate, smallerOnly bool) *candidate {
	job := claim.Job
	currentCores := 0.0
	if worker := d.workers[claim.Worker]; worker != nil {
		if instanceType := d.instanceTypes.InstanceTypes()[worker.InstanceType]; instanceType != nil {
			currentCores = instanceType.CPUs
		}
	}
	for _, target := range candidates {
		worker := target.worker
		if worker.Name == claim.Worker || worker.Draining || !target.fits(job) || !worker.HasImage(job.Spec.Image) ||
			smallerOnly && target.instanceType.CPUs >= currentCores {
			continue
		}
		headroom := d.jobs.ZoneHeadroom(job, worker.Zone)
		if worker.Zone == claim.Zone {
			headroom++ // stopping the task frees its own slot
		}
		if headroom > 0 {
			return target
		}
	}
	return nil
}

// serviceTasksMovable reports whether all tasks of services on a worker can move to other workers.
// If so, it allocates their resources on the candidates; otherwise it leaves the candidates unchanged.
func (d *drainer) serviceTasksMovable(worker *agent.Worker, candidates []*candidate, now time.Time) bool {
	var undo []func()
	for _, claim := range d.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Job.Spec.Kind != wire.KindService {
			continue
		}
		var target *candidate
		if d.hasRunLongEnough(claim, now) {
			target = d.findReplacement(claim, candidates, !d.settings.NeverScalesAhead())
		}
		if target == nil {
			for _, restore := range undo {
				restore()
			}
			return false
		}
		target.allocate(claim.Job)
		undo = append(undo, func() { target.deallocate(claim.Job) })
	}
	return true
}

// runsServices reports whether any task of a service is claimed on a worker.
func (d *drainer) runsServices(worker *agent.Worker) bool {
	for _, claim := range d.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Job.Spec.Kind == wire.KindService {
			return true
		}
	}
	return false
}

// hasRunLongEnough reports whether a task has run long enough to be moved: to its users, a task
// stopped soon after its start is as good as never started.
func (d *drainer) hasRunLongEnough(claim *ledger.Claim, now time.Time) bool {
	return !claim.RunningSince.IsZero() && now.Sub(claim.RunningSince) > 2*d.settings.WorkerLease()
}
