package leader

import (
	"fmt"
	"slices"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/fleet"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// planInstances describes the fleet to the planner.
func (a *autoscaler) planInstances(now time.Time) []fleet.Instance {
	instances := make([]fleet.Instance, 0, len(a.workers))
	var candidates []*candidate // shared, so that free capacity is not counted for two workers
	for _, worker := range a.workersByName {
		if worker.InstanceType == "" {
			continue
		}
		instance := a.planInstance(worker, now)
		instance.CanMoveReplicas = func() bool {
			if candidates == nil {
				candidates = a.scheduler.candidates(now)
			}
			return a.drainer.serviceTasksMovable(worker, candidates, now)
		}
		instances = append(instances, instance)
	}
	return instances
}

// planInstance describes one worker to the planner.
func (a *autoscaler) planInstance(worker *agent.Worker, now time.Time) fleet.Instance {
	_, releasing := a.released[worker.Name]
	claims := a.jobs.ClaimsOnWorker(worker.Name)
	instance := fleet.Instance{
		Name:         worker.Name,
		InstanceType: worker.InstanceType,
		Zone:         worker.Zone,
		Spot:         worker.Spot,
		Up:           !worker.LastHeartbeat.IsZero(),
		Booting:      worker.LastHeartbeat.IsZero() && worker.ListedRunningAt.IsZero(),
		Releasing:    releasing || !worker.ReclaimAt.IsZero() || a.faults.workerFaulty(worker),
		Draining:     worker.Draining,
		RequestedAt:  worker.RequestedAt,
		Partitioned:  a.failures.unreachable(worker, now),
	}
	for _, claim := range claims {
		if claim.Job.Spec.Kind == wire.KindService {
			instance.Replicas++
			instance.ReplicaCores += claim.Job.Spec.CPUs
			instance.ReplicaGPUs += claim.Job.Spec.GPUs
			instance.ReplicaMemoryGB += claim.Job.Spec.MemoryGB
		}
	}
	if instance.Up && !worker.HasUnfinishedTask() && len(claims) == 0 {
		instance.IdleSince = worker.IdleSince
	}
	return instance
}

// demandSum accumulates the demand of all unfinished jobs.
type demandSum struct {
	fleet.Demand
	spotCores     map[string]float64 // of unfinished tasks that may run on spot instances, by team
	urgentCores   map[string]float64 // the part of spotCores that must run at once to meet deadlines
	shapeIndex    map[string]int     // index in TaskShapes by the key of the shape
	waitingShapes map[int]bool       // indexes in TaskShapes of the shapes in WaitingShapes
	// waitingAnywhere has the keys, of shape and zones, of WaitingShapesAnywhere.
	waitingAnywhere map[string]bool
}

// demand sums up the demand of all unfinished jobs, without the tasks on unreachable workers.
func (a *autoscaler) demand(instances []fleet.Instance, now time.Time) fleet.Demand {
	sum := &demandSum{
		Demand: fleet.Demand{
			ZoneBoundCores: make(map[string]float64), FailoverCores: make(map[string]float64),
			TeamLimits: make(map[string]float64),
		},
		spotCores:   make(map[string]float64),
		urgentCores: make(map[string]float64),
		shapeIndex:  make(map[string]int), waitingShapes: make(map[int]bool),
		waitingAnywhere: make(map[string]bool),
	}
	unreachable := a.unreachableTasks(instances)
	a.recordScaledAheadTeams()
	zones := a.instanceTypes.Zones()
	for _, job := range a.jobs.Jobs() {
		if job.Cancelled || job.Finished || !job.DependenciesMet() {
			continue
		}
		cores := job.Spec.CPUs * float64(job.UnfinishedTasks()-unreachable[job])
		a.addJobDemand(sum, job, cores, zones, now)
		waiting := min(job.WaitingTasks(), a.jobs.QuotaHeadroom(job)) > 0
		shape := sum.addShape(&job.Spec, a.excludedInstances(job, now), cores, waiting && job.Spec.AllowSpot)
		if waiting && !a.faults.jobFaulty(job) {
			sum.addWaitingAnywhere(shape, a.openZones(job, zones))
		}
		sum.TeamLimits[job.Spec.Team] = a.jobs.Team(job.Spec.Team).CPUsMax
	}
	for team := range a.scaledAheadTeams {
		sum.ScaleAheadCores += a.jobs.Team(team).CPUsMax
	}
	for team, cores := range sum.spotCores {
		sum.SpotCores += min(cores, a.jobs.Team(team).CPUsMax)
		sum.UrgentCores += min(sum.urgentCores[team], a.jobs.Team(team).CPUsMax)
	}
	return sum.Demand
}

// unreachableTasks counts by job the tasks on unreachable workers, which cannot run elsewhere yet
// and so need no capacity. Tasks of services in zones without a controller are not counted: no
// controller there renews their worker's lease, so they will need capacity elsewhere.
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

// recordScaledAheadTeams records the teams that have work for which instances are requested ahead
// of demand, up to their limits; a team without a limit has instances requested for its jobs only. A
// team stays recorded for the rest of the term.
func (a *autoscaler) recordScaledAheadTeams() {
	for _, job := range a.jobs.Jobs() {
		team := a.jobs.Team(job.Spec.Team)
		if !job.Cancelled && !job.Finished && job.DependenciesMet() && team.HasLimit() &&
			a.settings.ScalesAhead(job.Spec.Class) {
			a.scaledAheadTeams[job.Spec.Team] = true
		}
	}
}

// addJobDemand adds the cores of a job's unfinished tasks to the spot or the on-demand demand.
func (a *autoscaler) addJobDemand(
	sum *demandSum, job *ledger.Job, cores float64, zones []string, now time.Time,
) {
	spec := &job.Spec
	switch {
	case a.scaledAheadTeams[spec.Team]: // demand adds the team's whole quota limit instead
	case spec.AllowSpot:
		sum.spotCores[spec.Team] += cores
		sum.urgentCores[spec.Team] += cores * a.requiredConcurrency(job, now)
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

// excludedInstances returns the names, sorted, of the instances that a job is excluded from now. A job that
// fails wherever it runs gets no others.
func (a *autoscaler) excludedInstances(job *ledger.Job, now time.Time) []string {
	if len(job.FailedOn) == 0 || a.faults.jobFaulty(job) {
		return nil
	}
	return job.ExcludedWorkers(now)
}

// openZones returns the zones in which a task of a job may start now.
func (a *autoscaler) openZones(job *ledger.Job, zones []string) []string {
	return slices.DeleteFunc(slices.Clone(zones), func(zone string) bool { return a.jobs.ZoneHeadroom(job, zone) <= 0 })
}

// addWaitingAnywhere adds a task shape to the waiting shapes of all kinds, once for the same zones.
func (s *demandSum) addWaitingAnywhere(shapeIndex int, zones []string) {
	key := fmt.Sprint(shapeIndex, zones)
	if !s.waitingAnywhere[key] {
		s.waitingAnywhere[key] = true
		shape := fleet.WaitingShape{TaskShape: s.TaskShapes[shapeIndex], Zones: zones}
		s.WaitingShapesAnywhere = append(s.WaitingShapesAnywhere, shape)
	}
}

// addShape adds a job's tasks to the task shapes, and to the waiting shapes if waiting is set. It returns the
// index of their shape.
func (s *demandSum) addShape(spec *wire.Job, excluded []string, cores float64, waiting bool) int {
	key := needsOf(spec)
	if len(excluded) > 0 {
		key += fmt.Sprint("|", excluded)
	}
	index, ok := s.shapeIndex[key]
	if !ok {
		index = len(s.TaskShapes)
		s.shapeIndex[key] = index
		s.TaskShapes = append(s.TaskShapes, fleet.TaskShape{
			Cores: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB,
			InstanceTypes: spec.InstanceTypes, Zone: spec.Zone, SpotAllowed: spec.AllowSpot, Team: spec.Team,
			ExcludedInstances: excluded,
		})
	}
	s.TaskShapes[index].Weight += cores
	if waiting && !s.waitingShapes[index] {
		s.waitingShapes[index] = true
		s.WaitingShapes = append(s.WaitingShapes, s.TaskShapes[index])
	}
	return index
}

// addZoneDemand adds, for each zone, the cores of the job's waiting tasks that only this zone may
// take, and the cores of its tasks there that would move to other zones if the zone were lost.
func (a *autoscaler) addZoneDemand(demand *fleet.Demand, job *ledger.Job, zones []string) {
	totalHeadroom := 0
	for _, zone := range zones {
		totalHeadroom += max(0, a.jobs.ZoneHeadroom(job, zone))
	}
	for _, zone := range zones {
		// The headroom of the other zones that the waiting tasks do not use.
		surplusElsewhere := totalHeadroom - max(0, a.jobs.ZoneHeadroom(job, zone)) - job.WaitingTasks()
		demand.ZoneBoundCores[zone] += job.Spec.CPUs * float64(max(0, -surplusElsewhere))
		demand.FailoverCores[zone] += job.Spec.CPUs * float64(min(job.ClaimsInZone(zone), max(0, surplusElsewhere)))
	}
}

// deadlineSafety is the factor by which run times are extended when planning for a deadline: run
// times are estimates, and a job ends only with its longest task. Tasks run in more than one round
// only where the time to the deadline exceeds the extended run time.
const deadlineSafety = 2

// requiredConcurrency returns the share of a job's unfinished tasks that must run at once to meet
// its deadline: all of them, or fewer where the time allows for more than one round of tasks.
func (a *autoscaler) requiredConcurrency(job *ledger.Job, now time.Time) float64 {
	remaining := a.scheduler.ranking.secondsToDeadline(job, now)
	if remaining > deadlineSafety*job.Spec.ExpectedSeconds {
		return deadlineSafety * job.Spec.ExpectedSeconds / remaining
	}
	return 1
}
