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

// drainer moves tasks off workers that are to go.
type drainer struct {
	*termScope
	scheduler *scheduler
}

// drainReclaimed stops tasks on machines that the cloud is about to take, where they
// will not be done by then: they save what they can and start again elsewhere
// now, and not only once the machine has been found to be gone.
func (d *drainer) drainReclaimed(now time.Time) {
	for _, worker := range d.workersByName {
		if worker.ReclaimAt.IsZero() || worker.ReclaimAt.Before(now) {
			continue
		}
		secondsLeft := worker.ReclaimAt.Sub(now).Seconds()
		for _, claim := range d.jobs.ClaimsOnWorker(worker.Name) {
			if claim.Finished || claim.Stopping || !claim.Committed || claim.Job.Cancelled || claim.Job.IsGang() || claim.Job.Spec.Kind == wire.KindService ||
				d.remainingSeconds(claim, now) <= secondsLeft {
				continue
			}
			claim.Stopping = true
			d.auditLog.enqueueTask(now, audit.Stopped, claim, "the cloud takes the machine", "")
			worker.WakeSender()
			d.log.Debug("evacuated", "task", claim.Task(), "host", worker.Name, "left_s", secondsLeft)
		}
	}
}

// remainingSeconds is how much longer a task is expected to run, in seconds.
func (d *drainer) remainingSeconds(claim *ledger.Claim, now time.Time) float64 {
	run := expectedSeconds(claim.Job)
	if !claim.RunningSince.IsZero() {
		run -= now.Sub(claim.RunningSince).Seconds()
	}
	return max(run, 0)
}

// priorWeight is how many finished tasks an owner's expectation is worth.
const priorWeight = 2

// expectedSeconds is how long a task of a job runs, in seconds: as its owner expects,
// corrected by those that are done.
func expectedSeconds(job *ledger.Job) float64 {
	return (priorWeight*job.Spec.ExpectedSeconds + job.RunSeconds.Sum) / float64(priorWeight+job.RunSeconds.Count)
}

// drainWorkers marks machines that are to empty, and moves replicas off them, a few at
// a time and each to a machine where it starts at once, so that little of the service
// is gone and only for a moment.
func (d *drainer) drainWorkers(plan fleet.Plan, now time.Time) {
	for _, name := range plan.Drain {
		if worker := d.workers[name]; worker != nil {
			d.log.Info("draining", "host", name, "claims", len(d.jobs.ClaimsOnWorker(name)))
			worker.Draining = true
		}
	}
	var candidates []*candidate
	moved := make(map[string]bool)
	maxMoves := max(4, len(d.workersByName)/32)
	for _, worker := range d.workersByName {
		if !worker.Draining {
			continue
		}
		if plan.CancelDrains || slices.Contains(plan.CancelDrainZones, worker.Zone) || plan.ReuseDrained && !d.hasReplicas(worker) {
			worker.Draining = false
			notify(d.scheduleSignal)
			continue
		}
		if candidates == nil {
			candidates = d.scheduler.candidates(now)
		}
		for _, claim := range d.jobs.ClaimsOnWorker(worker.Name) {
			job := claim.Job
			if len(moved) >= maxMoves || moved[job.Ref] || claim.Stopping || !d.hasRunLongEnough(claim, now) || job.Spec.Kind != wire.KindService ||
				job.ClaimedTasks() < job.Spec.TaskCount {
				continue
			}
			target := d.findReplacement(claim, candidates, plan.ReuseDrained)
			if target == nil {
				continue
			}
			target.allocate(job)
			moved[job.Ref] = true
			claim.Stopping = true
			d.auditLog.enqueueTask(now, audit.Stopped, claim, "its machine is drained", "")
			worker.WakeSender()
		}
	}
}

// findReplacement finds a replica a place on another machine that has its image, where
// it is back within some 30 ms. A fetch would take it away for a second.
//
// Where it is moved to make room, only a smaller machine will do.
func (d *drainer) findReplacement(claim *ledger.Claim, candidates []*candidate, smaller bool) *candidate {
	job := claim.Job
	currentCores := 0.0
	if worker := d.workers[claim.Worker]; worker != nil {
		if instanceType := d.instanceTypes.InstanceTypes()[worker.InstanceType]; instanceType != nil {
			currentCores = instanceType.CPUs
		}
	}
	for _, candidate := range candidates {
		if candidate.worker.Name == claim.Worker || candidate.worker.Draining || !candidate.fits(job) || !candidate.worker.HasImage(job.Spec.Image) || smaller && candidate.instanceType.CPUs >= currentCores {
			continue
		}
		free := d.jobs.ZoneHeadroom(job, candidate.worker.Zone)
		if candidate.worker.Zone == claim.Zone {
			free++ // its own place comes free
		}
		if free > 0 {
			return candidate
		}
	}
	return nil
}

// replicasMovable tells whether every replica on a host has a place elsewhere, and
// takes the places from the rooms. What it took is given back if one has none.
func (d *drainer) replicasMovable(worker *agent.Worker, candidates []*candidate, now time.Time) bool {
	var undo []func()
	for _, claim := range d.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Job.Spec.Kind != wire.KindService {
			continue
		}
		var target *candidate
		if d.hasRunLongEnough(claim, now) {
			target = d.findReplacement(claim, candidates, !d.settings.Frugal())
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

// hasReplicas tells whether any replica is on a host.
func (d *drainer) hasReplicas(worker *agent.Worker) bool {
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
	return !claim.RunningSince.IsZero() && now.Sub(claim.RunningSince) > 2*d.settings.Lease()
}
