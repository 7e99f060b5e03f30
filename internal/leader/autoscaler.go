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

// Limits on requests to the cloud API.
const (
	maxReleaseNames     = 100 // instance names per release request, a limit of the protocol
	maxRequestsPerRound = 32  // scale-out requests before the instance list is read again
	requestsPerInterval = 4   // requests that the cloud's rate limit must allow in the interval between rounds
)

// autoscaler requests and releases instances.
//
// Its loop is runAutoscaler; the failure monitor also calls it to release instances. Its state is
// guarded by mu, which is not held during requests to the cloud. The planner decides what to scale;
// the autoscaler passes it the fleet and the demand, and executes its plan. It must not act while
// another controller may lead.
type autoscaler struct {
	*termScope
	registry  *workerRegistry
	failures  *failureMonitor
	faults    *faultTracker
	drainer   *drainer
	scheduler *scheduler

	planner          *fleet.Planner
	scaledAheadTeams map[string]bool // teams for which instances are requested ahead of demand
}

// runAutoscaler adapts the fleet to the demand until ctx ends: it reads the instance list every
// other round, releases idle instances, and requests new ones.
func (a *autoscaler) runAutoscaler(ctx context.Context) error {
	budgetInterval := time.Duration(float64(time.Second) * requestsPerInterval / a.settings.Facts.Cloud.RPS)
	interval := max(a.settings.HeartbeatInterval()/2, budgetInterval)
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

// scale releases idle instances, drains surplus workers, and requests missing instances. It sends
// one request at a time and plans again after each, because the cloud may grant fewer instances
// than requested.
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
			return // this controller has no memory for the state of more workers
		}
		request := plan.ScaleOut[0]
		names, err := a.cloud.RequestInstances(ctx, request)
		a.mu.Lock()
		a.recordScaleOut(request, names, err)
		a.mu.Unlock()
	}
}

// plan returns the planner's plan. It is empty while the fleet is not known: instances requested
// by an earlier leader show up within a heartbeat interval.
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

// markIdleReleased marks the instances that the plan releases, as many as one request may name, and returns
// their names. It skips workers on which a task was claimed since the plan was made.
func (a *autoscaler) markIdleReleased(plan fleet.Plan, now time.Time) []string {
	var idle []string
	for _, name := range plan.Release {
		if len(a.jobs.ClaimsOnWorker(name)) > 0 || len(idle) == maxReleaseNames {
			continue
		}
		idle = append(idle, name)
		a.logRelease(name, releaseIdle, now)
		a.released[name] = time.Time{} // the worker gets no new tasks from here on
	}
	return idle
}

// recordScaleOut records the response to a scale-out request and adds the granted workers.
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

// logRelease logs and audits why an instance is about to be released. Callers hold mu.
func (a *autoscaler) logRelease(name, reason string, now time.Time) {
	a.log.Info("releasing", "worker", name, "reason", reason, "claims", len(a.jobs.ClaimsOnWorker(name)))
	a.auditLog.enqueue(now, audit.Entry{Action: audit.Released, Subject: name, Reason: reason})
}

// releaseInstances releases instances and frees their claims: a successful response proves that
// their tasks have ended.
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

// mergeInstanceList merges the cloud's instance list into the known instances. The list lags, so
// an instance that is missing from it may still exist.
func (a *autoscaler) mergeInstanceList(list []wire.Instance) {
	now := a.now()
	listLag := time.Duration(a.settings.Facts.Cloud.ListLagSeconds * float64(time.Second))
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.Name] = true
		releasedAt := a.released[instance.Name]
		if !releasedAt.IsZero() && now.Sub(releasedAt) < 3*listLag+a.settings.HeartbeatInterval() {
			continue // the list may not reflect the release yet
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
		if !releasedAt.IsZero() && !listed[name] && now.Sub(releasedAt) > 4*listLag+a.settings.WorkerLease() {
			delete(a.released, name)
		}
	}
}
