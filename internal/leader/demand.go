package leader

import (
	"fmt"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/fleet"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// planInstances shows the fleet to the planner.
func (a *autoscaler) planInstances(now time.Time) []fleet.Instance {
	instances := make([]fleet.Instance, 0, len(a.workers))
	var candidates []*candidate // shared, so that no place is counted for two workers
	for _, worker := range a.workersByName {
		if worker.InstanceType == "" {
			continue
		}
		instance := a.planInstance(worker, now)
		instance.CanMoveReplicas = func() bool {
			if candidates == nil {
				candidates = a.scheduler.candidates(now)
			}
			return a.drainer.replicasMovable(worker, candidates, now)
		}
		instances = append(instances, instance)
	}
	return instances
}

// planInstance shows one worker to the planner.
func (a *autoscaler) planInstance(worker *agent.Worker, now time.Time) fleet.Instance {
	_, leaving := a.released[worker.Name]
	claims := a.jobs.ClaimsOnWorker(worker.Name)
	instance := fleet.Instance{
		Name:         worker.Name,
		InstanceType: worker.InstanceType,
		Zone:         worker.Zone,
		Spot:         worker.Spot,
		Up:           !worker.LastHeartbeat.IsZero(),
		Booting:      worker.LastHeartbeat.IsZero() && worker.ListedRunningAt.IsZero(),
		Releasing:    leaving || !worker.ReclaimAt.IsZero() || a.faults.workerFaulty(worker),
		Draining:     worker.Draining,
		RequestedAt:  worker.RequestedAt,
		Partitioned:  a.failures.unreachable(worker, now),
	}
	for _, claim := range claims {
		if claim.Job.Spec.Kind == wire.KindService {
			instance.Replicas++
			instance.ReplicaCores += claim.Job.Spec.CPUs
		}
	}
	if instance.Up && len(worker.Tasks) == 0 && len(claims) == 0 {
		instance.IdleSince = worker.IdleSince
	}
	return instance
}

// demandSum adds up the work on hand.
type demandSum struct {
	fleet.Demand
	spotCores     map[string]float64 // of unfinished tasks that may run on spot instances, by team
	pacedCores    map[string]float64 // of these, as many as must run at once to be in time
	shapeIndex    map[string]int     // of a task shape in TaskShapes
	waitingShapes map[int]bool       // shapes in WaitingShapes
}

// demand sums up the work on hand, with what runs on unreachable workers left out.
func (a *autoscaler) demand(instances []fleet.Instance, now time.Time) fleet.Demand {
	sum := &demandSum{
		Demand:     fleet.Demand{ZoneBoundCores: make(map[string]float64), FailoverCores: make(map[string]float64)},
		spotCores:  make(map[string]float64),
		pacedCores: make(map[string]float64),
		shapeIndex: make(map[string]int), waitingShapes: make(map[int]bool),
	}
	unreachable := a.unreachableTasks(instances)
	a.noteScaledAheadTeams()
	zones := a.instanceTypes.Zones()
	for _, job := range a.jobs.Jobs() {
		if job.Cancelled || job.Finished || !job.DependenciesMet() {
			continue
		}
		cores := job.Spec.CPUs * float64(job.UnfinishedTasks()-unreachable[job])
		a.addJobDemand(sum, job, cores, zones, now)
		waiting := job.Spec.AllowSpot && min(job.WaitingTasks(), a.jobs.QuotaHeadroom(job)) > 0
		sum.addShape(&job.Spec, cores, waiting)
	}
	for team := range a.scaledAheadTeams {
		sum.ScaleAheadCores += a.jobs.Team(team).CPUsMax
	}
	for team, cores := range sum.spotCores {
		sum.SpotCores += min(cores, a.jobs.Team(team).CPUsMax)
		sum.UrgentCores += min(sum.pacedCores[team], a.jobs.Team(team).CPUsMax)
	}
	return sum.Demand
}

// unreachableTasks counts by job the tasks on unreachable workers. They cannot run elsewhere
// as yet. A task of a service that no controller keeps alive there will have to, so there is
// to be capacity for it: it is not counted.
func (a *autoscaler) unreachableTasks(instances []fleet.Instance) map[*ledger.Job]int {
	tasks := make(map[*ledger.Job]int)
	for _, instance := range instances {
		if !instance.Partitioned {
			continue
		}
		for _, claim := range a.jobs.ClaimsOnWorker(instance.Name) {
			if claim.Job.Spec.Kind != wire.KindService || a.settings.HasControllerInZone(instance.Zone) {
				tasks[claim.Job]++
			}
		}
	}
	return tasks
}

// noteScaledAheadTeams notes the teams whose work is scaled out ahead of need, for the rest of
// the term.
func (a *autoscaler) noteScaledAheadTeams() {
	for _, job := range a.jobs.Jobs() {
		if !job.Cancelled && !job.Finished && job.DependenciesMet() && a.settings.ScalesAhead(job.Spec.Class) {
			a.scaledAheadTeams[job.Spec.Team] = true
		}
	}
}

// addJobDemand adds the cores that a job's tasks want, by what they may run on.
func (a *autoscaler) addJobDemand(
	sum *demandSum, job *ledger.Job, cores float64, zones []string, now time.Time,
) {
	spec := &job.Spec
	switch {
	case a.scaledAheadTeams[spec.Team]: // up to the team's limit, whatever is on hand
	case spec.AllowSpot:
		sum.spotCores[spec.Team] += cores
		sum.pacedCores[spec.Team] += cores * a.requiredConcurrency(job, now)
		sum.QueuedCores += spec.CPUs * float64(min(job.WaitingTasks(), a.jobs.QuotaHeadroom(job)))
	default:
		sum.OnDemandCores += cores
		sum.OnDemandJobs++
		if spec.SpreadZones {
			sum.SecondZoneCores = max(sum.SecondZoneCores, spec.CPUs*float64(spec.TaskCount/2))
		}
		a.addZoneDemand(&sum.Demand, job, zones)
		sum.LargestServiceCores = max(sum.LargestServiceCores, cores)
	}
}

// addShape adds the tasks of a job to the shapes of the work on hand, and to those that wait
// for spot instances if some of them do.
func (s *demandSum) addShape(spec *wire.Job, cores float64, waiting bool) {
	key := fmt.Sprint(spec.CPUs, spec.GPUs, spec.MemoryGB, spec.InstanceTypes, spec.Zone, spec.AllowSpot)
	index, ok := s.shapeIndex[key]
	if !ok {
		index = len(s.TaskShapes)
		s.shapeIndex[key] = index
		s.TaskShapes = append(s.TaskShapes, fleet.TaskShape{
			Cores: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB,
			InstanceTypes: spec.InstanceTypes, SpotAllowed: spec.AllowSpot,
		})
	}
	s.TaskShapes[index].Weight += cores
	if waiting && !s.waitingShapes[index] {
		s.waitingShapes[index] = true
		s.WaitingShapes = append(s.WaitingShapes, s.TaskShapes[index])
	}
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

// deadlineSafety is the ratio by which the time to a deadline is to exceed a task's run time
// for two rounds: run times are estimates, and the longest task of a job ends it.
const deadlineSafety = 2

// requiredConcurrency is the share of a job's unfinished tasks that must run at once for it to
// be in time: all of them, or fewer where its time allows for more than one round.
func (a *autoscaler) requiredConcurrency(job *ledger.Job, now time.Time) float64 {
	remaining := a.scheduler.ranking.secondsToDeadline(job, now)
	if remaining > deadlineSafety*job.Spec.ExpectedSeconds {
		return deadlineSafety * job.Spec.ExpectedSeconds / remaining
	}
	return 1
}
