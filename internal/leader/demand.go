package leader

import (
	"fmt"
	"time"

	"rillflow/internal/fleet"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// planMachines shows the fleet to the planner.
func (a *autoscaler) planMachines(now time.Time) []fleet.Instance {
	machines := make([]fleet.Instance, 0, len(a.workers))
	var candidates []*candidate // shared, so that no place is counted for two machines
	for _, worker := range a.workersByName {
		_, leaving := a.released[worker.Name]
		if worker.InstanceType == "" {
			continue
		}
		claims := a.jobs.ClaimsOnWorker(worker.Name)
		machine := fleet.Instance{
			Name: worker.Name, InstanceType: worker.InstanceType, Zone: worker.Zone, Spot: worker.Spot,
			Up: !worker.LastHeartbeat.IsZero(), Booting: worker.LastHeartbeat.IsZero() && worker.ListedRunningAt.IsZero(), Releasing: leaving || !worker.ReclaimAt.IsZero() || a.faults.workerFaulty(worker),
			Draining: worker.Draining, RequestedAt: worker.RequestedAt, Partitioned: a.failures.unreachable(worker, now),
			CanMoveReplicas: func() bool {
				if candidates == nil {
					candidates = a.scheduler.candidates(now)
				}
				return a.drainer.replicasMovable(worker, candidates, now)
			},
		}
		for _, claim := range claims {
			if claim.Job.Spec.Kind == wire.KindService {
				machine.Replicas++
				machine.ReplicaCores += claim.Job.Spec.CPUs
			}
		}
		if machine.Up && len(worker.Tasks) == 0 && len(claims) == 0 {
			machine.IdleSince = worker.IdleSince
		}
		machines = append(machines, machine)
	}
	return machines
}

// demand sums up the work on hand, with what runs on machines behind a cut left out.
func (a *autoscaler) demand(machines []fleet.Instance, now time.Time) fleet.Demand {
	need := fleet.Demand{ZoneBoundCores: make(map[string]float64), FailoverCores: make(map[string]float64)}
	shapeIndex, waitingShapes := make(map[string]int), make(map[int]bool)
	unreachableTasks := make(map[*ledger.Job]int)
	for _, machine := range machines {
		if !machine.Partitioned {
			continue
		}
		for _, claim := range a.jobs.ClaimsOnWorker(machine.Name) {
			// It cannot run elsewhere as yet. A replica that no controller
			// keeps alive there will have to, so there is to be room for it.
			if claim.Job.Spec.Kind != wire.KindService || a.settings.Covered(machine.Zone) {
				unreachableTasks[claim.Job]++
			}
		}
	}
	for _, job := range a.jobs.Jobs() {
		if !job.Cancelled && !job.Finished && job.DependenciesMet() && a.settings.Ample(job.Spec.Class) {
			a.scaledAheadTeams[job.Spec.Team] = true
		}
	}
	spotCores, pacedCores := make(map[string]float64), make(map[string]float64)
	zones := a.instanceTypes.Zones()
	for _, job := range a.jobs.Jobs() {
		if job.Cancelled || job.Finished || !job.DependenciesMet() {
			continue
		}
		spec := &job.Spec
		cores := spec.CPUs * float64(job.UnfinishedTasks()-unreachableTasks[job])
		switch {
		case a.scaledAheadTeams[spec.Team]: // up to the team's limit, whatever is on hand
		case spec.AllowSpot:
			spotCores[spec.Team] += cores
			pacedCores[spec.Team] += cores * a.requiredConcurrency(job, now)
			need.QueuedCores += spec.CPUs * float64(min(job.WaitingTasks(), a.jobs.QuotaHeadroom(job)))
		default:
			need.OnDemandCores += cores
			need.OnDemandJobs++
			if spec.SpreadZones {
				need.SecondZoneCores = max(need.SecondZoneCores, spec.CPUs*float64(spec.TaskCount/2))
			}
			a.addZoneDemand(&need, job, zones)
			need.LargestServiceCores = max(need.LargestServiceCores, cores)
		}
		key := fmt.Sprint(spec.CPUs, spec.GPUs, spec.MemoryGB, spec.InstanceTypes, spec.Zone, spec.AllowSpot)
		index, ok := shapeIndex[key]
		if !ok {
			index = len(need.TaskShapes)
			shapeIndex[key] = index
			need.TaskShapes = append(need.TaskShapes, fleet.TaskShape{Cores: spec.CPUs, Accel: spec.GPUs, RAM: spec.MemoryGB, InstanceTypes: spec.InstanceTypes, Zone: spec.Zone, SpotAllowed: spec.AllowSpot})
		}
		need.TaskShapes[index].Weight += cores
		if !waitingShapes[index] && spec.AllowSpot && min(job.WaitingTasks(), a.jobs.QuotaHeadroom(job)) > 0 {
			waitingShapes[index] = true
			need.WaitingShapes = append(need.WaitingShapes, need.TaskShapes[index])
		}
	}
	for team := range a.scaledAheadTeams {
		need.ScaleAheadCores += a.jobs.Team(team).CPUsMax
	}
	for team, cores := range spotCores {
		need.SpotCores += min(cores, a.jobs.Team(team).CPUsMax)
		need.UrgentCores += min(pacedCores[team], a.jobs.Team(team).CPUsMax)
	}
	return need
}

// addZoneDemand adds what a job's waiting tasks want of each zone because no other may take
// them, and what it has in each that others would take were the zone lost.
func (a *autoscaler) addZoneDemand(need *fleet.Demand, job *ledger.Job, zones []string) {
	total := 0
	for _, zone := range zones {
		total += max(0, a.jobs.ZoneHeadroom(job, zone))
	}
	for _, zone := range zones {
		// What the others may take, less what waits.
		others := total - max(0, a.jobs.ZoneHeadroom(job, zone)) - job.WaitingTasks()
		need.ZoneBoundCores[zone] += job.Spec.CPUs * float64(max(0, -others))
		need.FailoverCores[zone] += job.Spec.CPUs * float64(min(job.ClaimsInZone(zone), max(0, others)))
	}
}

// requiredConcurrency is the share of a job's unfinished tasks that must run at once for it to
// be in time: all of them, or fewer where its time allows for more than one
// round. Half of the time left is counted on: run times are estimates, and the
// longest task of a job ends it.
func (a *autoscaler) requiredConcurrency(job *ledger.Job, now time.Time) float64 {
	if remaining := a.scheduler.ranking.secondsToDeadline(job, now); remaining > 2*job.Spec.ExpectedSeconds {
		return 2 * job.Spec.ExpectedSeconds / remaining
	}
	return 1
}
