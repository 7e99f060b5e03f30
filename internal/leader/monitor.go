package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/audit"
	"rillflow/internal/dataloss"
	"rillflow/internal/election"
	"rillflow/internal/fleet"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// monitorLoop looks after what only time brings: leases that run out, hosts that do
// not come over to this leader, orders to be given again.
func (t *leaderTerm) monitorLoop(ctx context.Context) error {
	ticker := time.NewTicker(t.settings.Report() / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		t.mu.Lock()
		now := t.now()
		t.applyCancellations()
		t.expireLeases(now)
		t.drainReclaimed(now)
		isolated := t.isolated(now)
		pollable := t.workersToPoll(now)
		t.mu.Unlock()
		notify(t.scheduleSignal)
		notify(t.writeSignal)
		if isolated {
			t.elector.StepDown(t.settings.Lease(), "no worker is heard")
		}
		for _, worker := range pollable {
			t.group.Go(func() error { t.pollWorker(ctx, worker); return nil })
		}
	}
}

// expireLeases frees the claims of hosts whose lease is surely over: the worker has
// shown an epoch since which nobody else may answer it, and both that and its last
// answer are more than a lease ago by the slowest of clocks. Until it showed the
// epoch, another may have renewed its lease under an earlier one: an owner behind
// the same cut does, and a poll right after the cut brings the epoch.
func (t *leaderTerm) expireLeases(now time.Time) {
	leaseSpan := t.leaseOverAfter()
	for _, worker := range t.workers {
		if worker.LastHeartbeat.IsZero() || worker.SoleOwnerEpoch == 0 || worker.SeenEpoch < worker.SoleOwnerEpoch || now.Sub(worker.LastAnswered) < leaseSpan || now.Sub(worker.EpochSeenAt) < leaseSpan {
			continue
		}
		for _, claim := range t.jobs.ClaimsOnWorker(worker.Name) {
			// A claim of a tenure not yet heard of cannot be.
			if claim.Incarnation <= worker.Incarnation {
				t.freeClaim(claim, "lease over")
			}
		}
	}
}

// isolated tells whether this controller, and not the workers, is cut off: all
// fell silent at about the same time though several there are. Where its peers
// hear none either, another leader would be no better off.
func (t *leaderTerm) isolated(now time.Time) bool {
	if len(t.settings.Members) == 0 || t.lastHeartbeat.IsZero() {
		return false
	}
	heardWorkers := 0
	for _, worker := range t.workers {
		if !worker.LastHeartbeat.IsZero() {
			heardWorkers++
		}
	}
	return heardWorkers >= 4 && now.Sub(t.lastHeartbeat) > 2*t.settings.Report() && !t.shards.PeersHearNoWorkers()
}

// workersToPoll are hosts that are up but have not come to this leader yet, stay
// with a node that no longer owns them, or are late with a report.
func (t *leaderTerm) workersToPoll(now time.Time) []*agent.Worker {
	var pollable []*agent.Worker
	for _, instance := range t.instances {
		if _, isReleased := t.released[instance.Name]; isReleased || instance.Phase != wire.PhaseRunning || instance.Address == "" {
			continue
		}
		worker := t.worker(instance.Name)
		overdue := worker.LastHeartbeat.IsZero() && now.Sub(t.startedAt) > t.settings.Report()/2 ||
			!worker.LastHeartbeat.IsZero() && now.Sub(worker.LastHeartbeat) > 3*t.settings.Report()/2
		if overdue && !worker.Polling && len(pollable) < 16 {
			worker.Polling = true
			worker.Address, worker.InstanceType, worker.Spot = instance.Address, instance.InstanceType, instance.Spot
			t.setZone(worker, instance.Zone)
			pollable = append(pollable, worker)
		}
	}
	return pollable
}

// pollWorker asks a host for its report and shows it this leader's epoch, so that it
// turns from whoever answers it still.
func (t *leaderTerm) pollWorker(ctx context.Context, worker *agent.Worker) {
	t.mu.Lock()
	address := worker.Address
	t.mu.Unlock()
	heartbeat, err := t.workerClient.Status(ctx, address)
	t.mu.Lock()
	worker.Polling = false
	t.mu.Unlock()
	if err != nil {
		return
	}
	t.mu.Lock()
	t.applyHeartbeat(heartbeat)
	t.mu.Unlock()
	if heartbeat.Epoch < t.leadership.Epoch() {
		heartbeat, _, err = t.workerClient.Send(ctx, address, wire.CommandBatch{Epoch: t.leadership.Epoch(), Incarnation: heartbeat.Incarnation, Commands: []wire.Command{}})
		if err == nil {
			t.mu.Lock()
			t.applyHeartbeat(heartbeat)
			t.mu.Unlock()
		}
	}
}

// scaleLoop keeps the fleet: it reads the machine list, returns what is idle, and
// rents what is needed.
func (t *leaderTerm) scaleLoop(ctx context.Context) error {
	interval := max(t.settings.Report()/2, time.Duration(float64(time.Second)*4/t.settings.Facts.Cloud.RPS))
	for round := 0; ; round++ {
		if !t.leadership.LeaseHeld(t.now()) {
			if !sleep(ctx, interval) {
				return ctx.Err()
			}
			continue
		}
		if round%2 == 0 {
			if list, err := t.cloud.ListInstances(ctx); err == nil {
				t.mu.Lock()
				t.mergeInstanceList(list)
				t.mu.Unlock()
			} else {
				t.log.Debug("machine list", "err", err)
			}
		}
		t.scale(ctx)
		if !sleep(ctx, interval) {
			return ctx.Err()
		}
	}
}

// releaseFaultyLoop returns faulty machines. It has a duty of its own: what ran on a dead
// machine waits for its return, and renting can take many requests. Where this leader
// may have been replaced it returns only what a withdrawn task would outlive its time on:
// that ends tasks, and can start none.
func (t *leaderTerm) releaseFaultyLoop(ctx context.Context) error {
	for sleep(ctx, t.settings.Report()/6) {
		t.mu.Lock()
		now := t.now()
		leaseHeld := t.leadership.LeaseHeld(now)
		var names []string
		if leaseHeld {
			names = t.faultyWorkers(now)
		} else {
			names = t.overdueWorkers(now)
		}
		names = names[:min(len(names), maxReleaseNames)]
		for _, name := range names {
			if t.released[name].IsZero() {
				t.released[name] = time.Time{} // no new tasks from here on
			}
		}
		t.mu.Unlock()
		if len(names) > 0 && (!leaseHeld || t.leadership.LeaseHeld(t.now())) {
			t.releaseInstances(ctx, names)
		}
	}
	return ctx.Err()
}

// maxReleaseNames is the protocol's limit on the names in a release.
const maxReleaseNames = 100

// scale returns what is idle, drains what is too much, and rents
// what is needed, one request after the other: how much each brings shows only
// in its answer.
func (t *leaderTerm) scale(ctx context.Context) {
	for requests := 0; requests < 32 && t.leadership.LeaseHeld(t.now()); requests++ {
		t.mu.Lock()
		now := t.now()
		var idle []string
		var plan fleet.Plan
		// What an earlier leader rented shows within a report interval.
		if instanceTypes := t.instanceTypes.InstanceTypes(); instanceTypes != nil && (t.leadership.Incarnation().Phase == dataloss.PhaseProvisional || now.Sub(t.startedAt) > t.settings.Report()) {
			machines := t.planMachines(now)
			plan = t.planner.Plan(instanceTypes, machines, t.demand(machines, now), now)
		}
		for _, name := range plan.Release {
			// Not a host that was given a task since it was looked at.
			if len(t.jobs.ClaimsOnWorker(name)) == 0 {
				idle = append(idle, name)
				t.noteRelease(name, "idle", now)
			}
		}
		idle = idle[:min(len(idle), maxReleaseNames)]
		for _, name := range idle {
			t.released[name] = time.Time{} // no new tasks from here on
		}
		t.drainWorkers(plan, now)
		t.mu.Unlock()
		if len(idle) > 0 {
			t.releaseInstances(ctx, idle)
		}
		if len(plan.ScaleOut) == 0 || t.memoryFull() {
			return // more machines than there is memory for are of no use
		}
		request := plan.ScaleOut[0]
		names, err := t.cloud.RequestInstances(ctx, request)
		t.mu.Lock()
		t.recordScaleOut(request, names, err)
		t.mu.Unlock()
	}
}

// drainWorkers marks machines that are to empty, and moves replicas off them, a few at
// a time and each to a machine where it starts at once, so that little of the service
// is gone and only for a moment.
func (t *leaderTerm) drainWorkers(plan fleet.Plan, now time.Time) {
	for _, name := range plan.Drain {
		if worker := t.workers[name]; worker != nil {
			t.log.Info("draining", "host", name, "claims", len(t.jobs.ClaimsOnWorker(name)))
			worker.Draining = true
		}
	}
	var candidates []*candidate
	moved := make(map[string]bool)
	maxMoves := max(4, len(t.workersByName)/32)
	for _, worker := range t.workersByName {
		if !worker.Draining {
			continue
		}
		if plan.CancelDrains || slices.Contains(plan.CancelDrainZones, worker.Zone) || plan.ReuseDrained && !t.hasReplicas(worker) {
			worker.Draining = false
			notify(t.scheduleSignal)
			continue
		}
		if candidates == nil {
			candidates = t.candidates(now)
		}
		for _, claim := range t.jobs.ClaimsOnWorker(worker.Name) {
			job := claim.Job
			if len(moved) >= maxMoves || moved[job.Ref] || claim.Stopping || !t.hasRunLongEnough(claim, now) || job.Spec.Kind != wire.KindService ||
				job.ClaimedTasks() < job.Spec.TaskCount {
				continue
			}
			target := t.findReplacement(claim, candidates, plan.ReuseDrained)
			if target == nil {
				continue
			}
			target.allocate(job)
			moved[job.Ref] = true
			claim.Stopping = true
			t.auditLog.enqueueTask(now, audit.Stopped, claim, "its machine is drained", "")
			worker.WakeSender()
		}
	}
}

// hasReplicas tells whether any replica is on a host.
func (t *leaderTerm) hasReplicas(worker *agent.Worker) bool {
	for _, claim := range t.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Job.Spec.Kind == wire.KindService {
			return true
		}
	}
	return false
}

// hasRunLongEnough tells whether a task has run long enough to be moved: one stopped
// soon after its start was as good as never started to its users.
func (t *leaderTerm) hasRunLongEnough(claim *ledger.Claim, now time.Time) bool {
	return !claim.RunningSince.IsZero() && now.Sub(claim.RunningSince) > 2*t.settings.Lease()
}

// findReplacement finds a replica a place on another machine that has its image, where
// it is back within some 30 ms. A fetch would take it away for a second.
//
// Where it is moved to make room, only a smaller machine will do.
func (t *leaderTerm) findReplacement(claim *ledger.Claim, candidates []*candidate, smaller bool) *candidate {
	job := claim.Job
	currentCores := 0.0
	if worker := t.workers[claim.Worker]; worker != nil {
		if instanceType := t.instanceTypes.InstanceTypes()[worker.InstanceType]; instanceType != nil {
			currentCores = instanceType.CPUs
		}
	}
	for _, candidate := range candidates {
		if candidate.worker.Name == claim.Worker || candidate.worker.Draining || !candidate.fits(job) || !candidate.worker.HasImage(job.Spec.Image) || smaller && candidate.instanceType.CPUs >= currentCores {
			continue
		}
		free := t.jobs.ZoneHeadroom(job, candidate.worker.Zone)
		if candidate.worker.Zone == claim.Zone {
			free++ // its own place comes free
		}
		if free > 0 {
			return candidate
		}
	}
	return nil
}

func (t *leaderTerm) recordScaleOut(request wire.ScaleOutRequest, names []string, err error) {
	now := t.now()
	if err != nil && !errors.Is(err, fleet.ErrNoCapacity) {
		t.log.Debug("rent", "ask", request.RequestID, "err", err)
	}
	t.planner.RecordAnswer(request, len(names), now)
	if len(names) > 0 {
		t.log.Info("rented", "flavor", request.InstanceType, "zone", request.Zone, "loaners", request.Spot, "asked", request.Count, "got", len(names), "hosts", names)
	}
	for _, name := range names {
		if _, ok := t.instances[name]; !ok {
			t.instances[name] = wire.Instance{Name: name, InstanceType: request.InstanceType, Zone: request.Zone, Spot: request.Spot, Phase: wire.InstanceStarting}
		}
		worker := t.worker(name)
		worker.InstanceType, worker.Spot = request.InstanceType, request.Spot
		t.setZone(worker, request.Zone)
		worker.RequestedAt = now
	}
}

// noteRelease tells why a machine is about to be returned.
func (t *leaderTerm) noteRelease(name, reason string, now time.Time) {
	t.log.Info("returning", "host", name, "why", reason, "claims", len(t.jobs.ClaimsOnWorker(name)))
	t.auditLog.enqueue(now, audit.Entry{Act: audit.Returned, On: name, Why: reason})
}

// releaseInstances returns machines. The answer is proof that what was on them is gone.
func (t *leaderTerm) releaseInstances(ctx context.Context, names []string) {
	err := t.cloud.ReleaseInstances(ctx, names)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.log.Info("release", "hosts", len(names), "err", err)
		return
	}
	now := t.now()
	for _, name := range names {
		t.released[name] = now
		if worker := t.workers[name]; worker != nil {
			t.planner.RecordRelease(fleet.Instance{InstanceType: worker.InstanceType, Zone: worker.Zone, Spot: worker.Spot})
		}
		for _, claim := range t.jobs.ClaimsOnWorker(name) {
			t.freeClaim(claim, "machine returned")
		}
		if worker := t.workers[name]; worker != nil {
			t.removeWorker(worker)
			worker.WakeSender() // ends its sender
		}
		delete(t.instances, name)
	}
	notify(t.scheduleSignal)
	notify(t.writeSignal)
}

// mergeInstanceList takes in the machine list. It lags, so what is missing from it is not
// thereby gone.
func (t *leaderTerm) mergeInstanceList(list []wire.Instance) {
	now := t.now()
	listLag := time.Duration(t.settings.Facts.Cloud.ListLagS * float64(time.Second))
	present := make(map[string]bool, len(list))
	for _, instance := range list {
		present[instance.Name] = true
		if releasedAt, isReleased := t.released[instance.Name]; isReleased && !releasedAt.IsZero() {
			if now.Sub(releasedAt) < 3*listLag+t.settings.Report() {
				continue // the list is behind
			}
		}
		t.instances[instance.Name] = instance
		worker := t.worker(instance.Name)
		if worker.RequestedAt.IsZero() {
			worker.RequestedAt = now.Add(-time.Duration(instance.AgeSeconds * float64(time.Second)))
		}
		if worker.LastHeartbeat.IsZero() {
			worker.InstanceType, worker.Spot = instance.InstanceType, instance.Spot
			t.setZone(worker, instance.Zone)
		}
		if instance.Phase == wire.PhaseRunning && worker.ListedRunningAt.IsZero() {
			worker.ListedRunningAt = now
		}
	}
	for name, releasedAt := range t.released {
		if !releasedAt.IsZero() && !present[name] && now.Sub(releasedAt) > 4*listLag+t.settings.Lease() {
			delete(t.released, name)
		}
	}
}

// faultyWorkers are machines to be returned: failed or silent ones, those that never
// come up, and those that fail what they start.
func (t *leaderTerm) faultyWorkers(now time.Time) []string {
	silenceLimit := time.Duration(t.settings.Operator.Fleet.Silence * float64(t.settings.Report()))
	instanceTypes := t.instanceTypes.InstanceTypes()
	t.observeSilence(now)
	var names []string
	for _, worker := range t.workersByName {
		reason := ""
		instance, listed := t.instances[worker.Name]
		instanceType := instanceTypes[worker.InstanceType]
		claims := t.jobs.ClaimsOnWorker(worker.Name)
		releasedAt, leaving := t.released[worker.Name]
		switch {
		case leaving && releasedAt.IsZero():
			reason = "again" // its release was not answered
		case listed && instance.Phase == wire.InstanceFailed:
			reason = "failed"
		case t.hasOverdueTask(worker, now):
			reason = "withdrawn task"
		case t.unreachable(worker, now):
			if len(claims) > 0 && t.likelyExpired(worker, now) {
				reason = "lease over"
			}
		case (!worker.LastHeartbeat.IsZero() || !worker.ListedRunningAt.IsZero()) && t.silentFor(worker, now) > silenceLimit,
			// The cloud said it would take it: there is less to doubt.
			!worker.ReclaimAt.IsZero() && now.After(worker.ReclaimAt) && t.silentFor(worker, now) > 3*t.settings.Report()/2,
			worker.LastHeartbeat.IsZero() && !listed && len(claims) > 0 && now.Sub(t.startedAt) > t.settings.Lease():
			reason = "silent"
		case worker.LastHeartbeat.IsZero() && worker.ListedRunningAt.IsZero() && listed && instance.Phase == wire.InstanceStarting && len(claims) == 0 &&
			instanceType != nil && !worker.RequestedAt.IsZero() && now.Sub(worker.RequestedAt) > 4*time.Duration(instanceType.BootSeconds*float64(time.Second)):
			reason = "never up"
		case t.workerFaulty(worker) && !t.mostWorkersFaulty():
			reason = "fails tasks"
			for _, claim := range claims {
				if claim.Job.Spec.Kind == wire.KindService && !claim.RunningSince.IsZero() && now.Sub(claim.RunningSince) > t.settings.Lease() {
					reason = "" // what runs there runs on; only new tasks fail
				}
			}
		}
		if reason == "" {
			continue
		}
		if reason != "again" {
			t.noteRelease(worker.Name, reason, now)
		}
		names = append(names, worker.Name)
	}
	return names
}

// mostWorkersFaulty tells whether so many machines fail tasks that the tasks are the
// likelier cause.
func (t *leaderTerm) mostWorkersFaulty() bool {
	faulty, heard := 0, 0
	for _, worker := range t.workers {
		if !worker.LastHeartbeat.IsZero() {
			heard++
			if t.workerFaulty(worker) {
				faulty++
			}
		}
	}
	return faulty*2 > heard
}

// planMachines shows the fleet to the planner.
func (t *leaderTerm) planMachines(now time.Time) []fleet.Instance {
	machines := make([]fleet.Instance, 0, len(t.workers))
	var candidates []*candidate // shared, so that no place is counted for two machines
	for _, worker := range t.workersByName {
		_, leaving := t.released[worker.Name]
		if worker.InstanceType == "" {
			continue
		}
		claims := t.jobs.ClaimsOnWorker(worker.Name)
		machine := fleet.Instance{
			Name: worker.Name, InstanceType: worker.InstanceType, Zone: worker.Zone, Spot: worker.Spot,
			Up: !worker.LastHeartbeat.IsZero(), Booting: worker.LastHeartbeat.IsZero() && worker.ListedRunningAt.IsZero(), Releasing: leaving || !worker.ReclaimAt.IsZero() || t.workerFaulty(worker),
			Draining: worker.Draining, RequestedAt: worker.RequestedAt, Partitioned: t.unreachable(worker, now),
			CanMoveReplicas: func() bool {
				if candidates == nil {
					candidates = t.candidates(now)
				}
				return t.replicasMovable(worker, candidates, now)
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

// replicasMovable tells whether every replica on a host has a place elsewhere, and
// takes the places from the rooms. What it took is given back if one has none.
func (t *leaderTerm) replicasMovable(worker *agent.Worker, candidates []*candidate, now time.Time) bool {
	var undo []func()
	for _, claim := range t.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Job.Spec.Kind != wire.KindService {
			continue
		}
		var target *candidate
		if t.hasRunLongEnough(claim, now) {
			target = t.findReplacement(claim, candidates, !t.settings.Frugal())
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

// demand sums up the work on hand, with what runs on machines behind a cut left out.
func (t *leaderTerm) demand(machines []fleet.Instance, now time.Time) fleet.Demand {
	need := fleet.Demand{ZoneBoundCores: make(map[string]float64), FailoverCores: make(map[string]float64)}
	shapeIndex, waitingShapes := make(map[string]int), make(map[int]bool)
	unreachableTasks := make(map[*ledger.Job]int)
	for _, machine := range machines {
		if !machine.Partitioned {
			continue
		}
		for _, claim := range t.jobs.ClaimsOnWorker(machine.Name) {
			// It cannot run elsewhere as yet. A replica that no controller
			// keeps alive there will have to, so there is to be room for it.
			if claim.Job.Spec.Kind != wire.KindService || t.settings.Covered(machine.Zone) {
				unreachableTasks[claim.Job]++
			}
		}
	}
	for _, job := range t.jobs.Jobs() {
		if !job.Cancelled && !job.Finished && job.DependenciesMet() && t.settings.Ample(job.Spec.Class) {
			t.scaledAheadTeams[job.Spec.Team] = true
		}
	}
	spotCores, pacedCores := make(map[string]float64), make(map[string]float64)
	zones := t.instanceTypes.Zones()
	for _, job := range t.jobs.Jobs() {
		if job.Cancelled || job.Finished || !job.DependenciesMet() {
			continue
		}
		spec := &job.Spec
		cores := spec.CPUs * float64(job.UnfinishedTasks()-unreachableTasks[job])
		switch {
		case t.scaledAheadTeams[spec.Team]: // up to the team's limit, whatever is on hand
		case spec.AllowSpot:
			spotCores[spec.Team] += cores
			pacedCores[spec.Team] += cores * t.requiredConcurrency(job, now)
			need.QueuedCores += spec.CPUs * float64(min(job.WaitingTasks(), t.jobs.QuotaHeadroom(job)))
		default:
			need.OnDemandCores += cores
			need.OnDemandJobs++
			if spec.SpreadZones {
				need.SecondZoneCores = max(need.SecondZoneCores, spec.CPUs*float64(spec.TaskCount/2))
			}
			t.addZoneDemand(&need, job, zones)
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
		if !waitingShapes[index] && spec.AllowSpot && min(job.WaitingTasks(), t.jobs.QuotaHeadroom(job)) > 0 {
			waitingShapes[index] = true
			need.WaitingShapes = append(need.WaitingShapes, need.TaskShapes[index])
		}
	}
	for team := range t.scaledAheadTeams {
		need.ScaleAheadCores += t.jobs.Team(team).CPUsMax
	}
	for team, cores := range spotCores {
		need.SpotCores += min(cores, t.jobs.Team(team).CPUsMax)
		need.UrgentCores += min(pacedCores[team], t.jobs.Team(team).CPUsMax)
	}
	return need
}

// addZoneDemand adds what a job's waiting tasks want of each zone because no other may take
// them, and what it has in each that others would take were the zone lost.
func (t *leaderTerm) addZoneDemand(need *fleet.Demand, job *ledger.Job, zones []string) {
	total := 0
	for _, zone := range zones {
		total += max(0, t.jobs.ZoneHeadroom(job, zone))
	}
	for _, zone := range zones {
		// What the others may take, less what waits.
		others := total - max(0, t.jobs.ZoneHeadroom(job, zone)) - job.WaitingTasks()
		need.ZoneBoundCores[zone] += job.Spec.CPUs * float64(max(0, -others))
		need.FailoverCores[zone] += job.Spec.CPUs * float64(min(job.ClaimsInZone(zone), max(0, others)))
	}
}

// requiredConcurrency is the share of a job's unfinished tasks that must run at once for it to
// be in time: all of them, or fewer where its time allows for more than one
// round. Half of the time left is counted on: run times are estimates, and the
// longest task of a job ends it.
func (t *leaderTerm) requiredConcurrency(job *ledger.Job, now time.Time) float64 {
	if remaining := t.secondsToDeadline(job, now); remaining > 2*job.Spec.ExpectedSeconds {
		return 2 * job.Spec.ExpectedSeconds / remaining
	}
	return 1
}

// watchShardOwners has the hosts parted anew when a node comes or goes, and hands over when
// the state service refuses this node alone. A term that was given up goes on until the
// next one is known, or, should nobody else lead, until a quarter of a lease after the state service
// could have had one.
func (t *leaderTerm) watchShardOwners(ctx context.Context) error {
	refusedAt := t.startedAt
	for sleep(ctx, t.settings.Report()/6) {
		now := t.now()
		if shardMap := t.elector.ShardMap(); shardMap.Epoch > t.leadership.Epoch() && shardMap.Leader != t.settings.Node {
			return fmt.Errorf("%w: %s leads under epoch %d", election.ErrDeposed, shardMap.Leader, shardMap.Epoch)
		}
		if t.shards.StoreRefuses() {
			refusedAt = now
		}
		if since, ok := t.leadership.SteppedDown(); ok {
			if now.Sub(since) > t.settings.Lease()/4 && now.Sub(refusedAt) > t.settings.Lease()/4 {
				return errors.New("control: resigned, and nobody else leads")
			}
			continue
		}
		if peer, alone := t.shards.StoreServesPeerOnly(); alone {
			t.elector.StepDown(t.settings.Lease()/4, "the state service serves "+peer+" but not this node")
			continue
		}
		owners := t.leadership.ShardMap().Owners
		// A raise without an answer may have been carried out late: owners then know
		// its epoch, and so do workers, whose reports this leader would turn away.
		if !slices.Equal(owners, t.shards.EligibleOwners(owners)) || t.elector.ShardMap().Epoch > t.leadership.Epoch() {
			notify(t.epochSignal)
		}
	}
	return ctx.Err()
}
