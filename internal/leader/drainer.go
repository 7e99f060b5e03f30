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

// Bounds of how many tasks of services are moved at once.
const (
	minMoves         = 4
	workersPerMove   = 32 // one more move at once for so many workers
	priorSampleCount = 2  // finished tasks that the submitter's expected run time is worth
)

// drainer moves tasks off workers that are to go: those that the cloud is about to reclaim,
// and those that the autoscaler wants to empty.
//
// The failure monitor and the autoscaler call it with mu held. It stops tasks and wakes
// their workers' senders; it frees no claim and releases no instance.
type drainer struct {
	*termScope
	scheduler *scheduler
}

// drainReclaimed stops tasks on workers that the cloud is about to reclaim, where they
// will not be done by then: they save what they can and start again elsewhere
// now, and not only once the worker has been found to be gone.
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
			claim.Stopping = true
			d.auditLog.enqueueTask(now, audit.Stopped, claim, stopReclaimed, "")
			worker.WakeSender()
			d.log.Debug("task drained", "task", claim.Task(), "worker", worker.Name, "left_s", secondsLeft)
		}
	}
}

// stoppable tells whether a task can be stopped by itself and started again elsewhere.
func stoppable(claim *ledger.Claim) bool {
	return !claim.Finished && !claim.Stopping && claim.Committed && !claim.Job.Cancelled && !claim.Job.IsGang()
}

// remainingSeconds is how much longer a task is expected to run.
func (d *drainer) remainingSeconds(claim *ledger.Claim, now time.Time) float64 {
	run := expectedSeconds(claim.Job)
	if !claim.RunningSince.IsZero() {
		run -= now.Sub(claim.RunningSince).Seconds()
	}
	return max(run, 0)
}

// expectedSeconds is how long a task of a job runs: as its submitter expects, corrected by
// those that are done.
func expectedSeconds(job *ledger.Job) float64 {
	return (priorSampleCount*job.Spec.ExpectedSeconds + job.RunSeconds.Sum) /
		float64(priorSampleCount+job.RunSeconds.Count)
}

// drainWorkers marks workers that are to empty, and moves tasks of services off them, a few at
// a time and each to a worker where it starts at once, so that little of the service
// is gone and only for a moment.
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

// drainCancelled tells whether a draining worker is wanted after all.
func (d *drainer) drainCancelled(plan fleet.Plan, worker *agent.Worker) bool {
	return plan.CancelDrains || slices.Contains(plan.CancelDrainZones, worker.Zone) ||
		plan.ReuseDrained && !d.runsServices(worker)
}

// moveServices stops tasks of services on a draining worker that find a place elsewhere, at
// most one of each job in moved, to which it adds them. Where smaller is set only a smaller
// worker will do.
func (d *drainer) moveServices(
	worker *agent.Worker, candidates []*candidate, moved map[string]bool, smaller bool, now time.Time,
) {
	maxMoves := max(minMoves, len(d.workersByName)/workersPerMove)
	for _, claim := range d.jobs.ClaimsOnWorker(worker.Name) {
		job := claim.Job
		if len(moved) >= maxMoves || moved[job.ID] || claim.Stopping || !d.hasRunLongEnough(claim, now) ||
			job.Spec.Kind != wire.KindService || job.ClaimedTasks() < job.Spec.TaskCount {
			continue
		}
		target := d.findReplacement(claim, candidates, smaller)
		if target == nil {
			continue
		}
		target.allocate(job)
		moved[job.ID] = true
		claim.Stopping = true
		d.auditLog.enqueueTask(now, audit.Stopped, claim, stopDrained, "")
		worker.WakeSender()
	}
}

// findReplacement finds a task of a service a place on another worker that has its image,
// where it is back within some 30 ms. A fetch would take it away for a second.
//
// Where it is moved to free capacity, only a smaller worker will do.
func (d *drainer) findReplacement(claim *ledger.Claim, candidates []*candidate, smaller bool) *candidate {
	job := claim.Job
	currentCores := 0.0
	if worker := d.workers[claim.Worker]; worker != nil {
		if instanceType := d.instanceTypes.InstanceTypes()[worker.InstanceType]; instanceType != nil {
			currentCores = instanceType.CPUs
		}
	}
	for _, candidate := range candidates {
		worker := candidate.worker
		if worker.Name == claim.Worker || worker.Draining || !candidate.fits(job) || !worker.HasImage(job.Spec.Image) ||
			smaller && candidate.instanceType.CPUs >= currentCores {
			continue
		}
		headroom := d.jobs.ZoneHeadroom(job, worker.Zone)
		if worker.Zone == claim.Zone {
			headroom++ // its own place comes free
		}
		if headroom > 0 {
			return candidate
		}
	}
	return nil
}

// replicasMovable tells whether every task of a service on a worker has a place elsewhere, and
// takes the places from the candidates. What it took is given back if one has none.
func (d *drainer) replicasMovable(worker *agent.Worker, candidates []*candidate, now time.Time) bool {
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

// runsServices tells whether any task of a service is claimed on a worker.
func (d *drainer) runsServices(worker *agent.Worker) bool {
	for _, claim := range d.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Job.Spec.Kind == wire.KindService {
			return true
		}
	}
	return false
}

// hasRunLongEnough tells whether a task has run long enough to be moved: one stopped
// soon after its start was as good as never started to its users.
func (d *drainer) hasRunLongEnough(claim *ledger.Claim, now time.Time) bool {
	return !claim.RunningSince.IsZero() && now.Sub(claim.RunningSince) > 2*d.settings.WorkerLease()
}
