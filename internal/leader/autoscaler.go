package leader

import (
	"context"
	"errors"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/dataloss"
	"rillflow/internal/fleet"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// Limits of the requests to the cloud.
const (
	maxReleaseNames     = 100 // names in a release, by the protocol
	maxRequestsPerRound = 32  // requests for instances before the instance list is read again
	requestsPerInterval = 4   // share of the request budget: one round in the time of so many requests
)

// autoscaler requests and releases instances.
//
// Its loop is runAutoscaler; the failure monitor has it release instances. Its state is guarded by
// mu, which is not held while the cloud is asked. What to scale is the planner's decision;
// the autoscaler shows it the fleet and the demand, and carries its plan out. It must not act
// while another controller may lead.
type autoscaler struct {
	*termScope
	registry  *workerRegistry
	failures  *failureMonitor
	faults    *faultTracker
	drainer   *drainer
	scheduler *scheduler

	planner          *fleet.Planner
	scaledAheadTeams map[string]bool // teams whose work is scaled out ahead of need
}

// runAutoscaler keeps the fleet: it reads the instance list, releases what is idle, and
// requests what is needed.
func (a *autoscaler) runAutoscaler(ctx context.Context) error {
	budgeted := time.Duration(float64(time.Second) * requestsPerInterval / a.settings.Facts.Cloud.RPS)
	interval := max(a.settings.HeartbeatInterval()/2, budgeted)
	for round := 0; ; round++ {
		if !a.leadership.LeaseHeld(a.now()) {
			if !retry.Sleep(ctx, interval) {
				return ctx.Err()
			}
			continue
		}
		if round%2 == 0 {
			if list, err := a.cloud.ListInstances(ctx); err == nil {
				a.mu.Lock()
				a.mergeInstanceList(list)
				a.mu.Unlock()
			} else {
				a.log.Debug("list instances failed", "err", err)
			}
		}
		a.scale(ctx)
		if !retry.Sleep(ctx, interval) {
			return ctx.Err()
		}
	}
}

// scale releases what is idle, drains what is too much, and requests
// what is needed, one request after the other: how much each brings shows only
// in its answer.
func (a *autoscaler) scale(ctx context.Context) {
	for requests := 0; requests < maxRequestsPerRound && a.leadership.LeaseHeld(a.now()); requests++ {
		a.mu.Lock()
		now := a.now()
		plan := a.plan(now)
		idle := a.markIdleReleased(plan, now)
		a.drainer.drainWorkers(plan, now)
		a.mu.Unlock()
		if len(idle) > 0 {
			a.releaseInstances(ctx, idle)
		}
		if len(plan.ScaleOut) == 0 || a.memoryFull() {
			return // more workers than there is memory for are of no use
		}
		request := plan.ScaleOut[0]
		names, err := a.cloud.RequestInstances(ctx, request)
		a.mu.Lock()
		a.recordScaleOut(request, names, err)
		a.mu.Unlock()
	}
}

// plan asks the planner what to do. The plan is empty while the fleet is not known: what an
// earlier leader requested shows within a heartbeat interval.
func (a *autoscaler) plan(now time.Time) fleet.Plan {
	instanceTypes := a.instanceTypes.InstanceTypes()
	fleetKnown := a.leadership.Incarnation().Phase == dataloss.PhaseProvisional ||
		now.Sub(a.startedAt) > a.settings.HeartbeatInterval()
	if instanceTypes == nil || !fleetKnown {
		return fleet.Plan{}
	}
	instances := a.planInstances(now)
	return a.planner.Plan(instanceTypes, instances, a.demand(instances, now), now)
}

// markIdleReleased marks the instances that the plan releases, and returns their names; not
// those of workers that were given a task since they were looked at.
func (a *autoscaler) markIdleReleased(plan fleet.Plan, now time.Time) []string {
	var idle []string
	for _, name := range plan.Release {
		if len(a.jobs.ClaimsOnWorker(name)) == 0 {
			idle = append(idle, name)
			a.noteRelease(name, releaseIdle, now)
		}
	}
	idle = idle[:min(len(idle), maxReleaseNames)]
	for _, name := range idle {
		a.released[name] = time.Time{} // no new tasks from here on
	}
	return idle
}

// recordScaleOut takes in the answer to a request for instances.
func (a *autoscaler) recordScaleOut(request wire.ScaleOutRequest, names []string, err error) {
	now := a.now()
	if err != nil && !errors.Is(err, fleet.ErrNoCapacity) {
		a.log.Debug("scale out failed", "request", request.RequestID, "err", err)
	}
	a.planner.RecordAnswer(request, len(names), now)
	if len(names) > 0 {
		a.log.Info("scaled out", "instance_type", request.InstanceType, "zone", request.Zone, "spot", request.Spot,
			"requested", request.Count, "granted", len(names), "workers", names)
	}
	for _, name := range names {
		if _, ok := a.instances[name]; !ok {
			a.instances[name] = wire.Instance{
				Name: name, InstanceType: request.InstanceType, Zone: request.Zone, Spot: request.Spot,
				Phase: wire.InstanceStarting,
			}
		}
		worker := a.registry.worker(name)
		worker.InstanceType, worker.Spot = request.InstanceType, request.Spot
		a.registry.setZone(worker, request.Zone)
		worker.RequestedAt = now
	}
}

// noteRelease logs why an instance is about to be released. Callers hold mu.
func (a *autoscaler) noteRelease(name, reason string, now time.Time) {
	a.log.Info("releasing", "worker", name, "reason", reason, "claims", len(a.jobs.ClaimsOnWorker(name)))
	a.auditLog.enqueue(now, audit.Entry{Action: audit.Released, Subject: name, Reason: reason})
}

// releaseInstances releases instances. The answer is proof that what was on them is gone, and
// frees their claims.
func (a *autoscaler) releaseInstances(ctx context.Context, names []string) {
	err := a.cloud.ReleaseInstances(ctx, names)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.log.Info("release failed", "workers", len(names), "err", err)
		return
	}
	now := a.now()
	for _, name := range names {
		a.released[name] = now
		if worker := a.workers[name]; worker != nil {
			a.planner.RecordRelease(fleet.Instance{
				InstanceType: worker.InstanceType, Zone: worker.Zone, Spot: worker.Spot,
			})
		}
		for _, claim := range a.jobs.ClaimsOnWorker(name) {
			a.freeClaim(claim, freedReleased)
		}
		if worker := a.workers[name]; worker != nil {
			a.removeWorker(worker)
			worker.WakeSender() // ends its command loop
		}
		delete(a.instances, name)
	}
	notify(a.scheduleSignal)
	notify(a.writeSignal)
}

// mergeInstanceList takes in the cloud's list of instances. It lags, so what is missing from
// it is not thereby gone.
func (a *autoscaler) mergeInstanceList(list []wire.Instance) {
	now := a.now()
	listLag := time.Duration(a.settings.Facts.Cloud.ListLagSeconds * float64(time.Second))
	present := make(map[string]bool, len(list))
	for _, instance := range list {
		present[instance.Name] = true
		releasedAt := a.released[instance.Name]
		if !releasedAt.IsZero() && now.Sub(releasedAt) < 3*listLag+a.settings.HeartbeatInterval() {
			continue // the list is behind
		}
		a.instances[instance.Name] = instance
		worker := a.registry.worker(instance.Name)
		if worker.RequestedAt.IsZero() {
			worker.RequestedAt = now.Add(-time.Duration(instance.AgeSeconds * float64(time.Second)))
		}
		if worker.LastHeartbeat.IsZero() {
			worker.InstanceType, worker.Spot = instance.InstanceType, instance.Spot
			a.registry.setZone(worker, instance.Zone)
		}
		if instance.Phase == wire.InstanceRunning && worker.ListedRunningAt.IsZero() {
			worker.ListedRunningAt = now
		}
	}
	for name, releasedAt := range a.released {
		if !releasedAt.IsZero() && !present[name] && now.Sub(releasedAt) > 4*listLag+a.settings.WorkerLease() {
			delete(a.released, name)
		}
	}
}
