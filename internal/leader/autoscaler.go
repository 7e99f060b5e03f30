package leader

import (
	"context"
	"errors"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/dataloss"
	"rillflow/internal/fleet"
	"rillflow/internal/wire"
)

// autoscaler rents and releases instances.
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

// scaleLoop keeps the fleet: it reads the machine list, returns what is idle, and
// rents what is needed.
func (a *autoscaler) scaleLoop(ctx context.Context) error {
	interval := max(a.settings.Report()/2, time.Duration(float64(time.Second)*4/a.settings.Facts.Cloud.RPS))
	for round := 0; ; round++ {
		if !a.leadership.LeaseHeld(a.now()) {
			if !sleep(ctx, interval) {
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
				a.log.Debug("machine list", "err", err)
			}
		}
		a.scale(ctx)
		if !sleep(ctx, interval) {
			return ctx.Err()
		}
	}
}

// scale returns what is idle, drains what is too much, and rents
// what is needed, one request after the other: how much each brings shows only
// in its answer.
func (a *autoscaler) scale(ctx context.Context) {
	for requests := 0; requests < 32 && a.leadership.LeaseHeld(a.now()); requests++ {
		a.mu.Lock()
		now := a.now()
		var idle []string
		var plan fleet.Plan
		// What an earlier leader rented shows within a report interval.
		if instanceTypes := a.instanceTypes.InstanceTypes(); instanceTypes != nil && (a.leadership.Incarnation().Phase == dataloss.PhaseProvisional || now.Sub(a.startedAt) > a.settings.Report()) {
			machines := a.planMachines(now)
			plan = a.planner.Plan(instanceTypes, machines, a.demand(machines, now), now)
		}
		for _, name := range plan.Release {
			// Not a host that was given a task since it was looked at.
			if len(a.jobs.ClaimsOnWorker(name)) == 0 {
				idle = append(idle, name)
				a.noteRelease(name, "idle", now)
			}
		}
		idle = idle[:min(len(idle), maxReleaseNames)]
		for _, name := range idle {
			a.released[name] = time.Time{} // no new tasks from here on
		}
		a.drainer.drainWorkers(plan, now)
		a.mu.Unlock()
		if len(idle) > 0 {
			a.releaseInstances(ctx, idle)
		}
		if len(plan.ScaleOut) == 0 || a.memoryFull() {
			return // more machines than there is memory for are of no use
		}
		request := plan.ScaleOut[0]
		names, err := a.cloud.RequestInstances(ctx, request)
		a.mu.Lock()
		a.recordScaleOut(request, names, err)
		a.mu.Unlock()
	}
}

// maxReleaseNames is the protocol's limit on the names in a release.
const maxReleaseNames = 100

func (a *autoscaler) recordScaleOut(request wire.ScaleOutRequest, names []string, err error) {
	now := a.now()
	if err != nil && !errors.Is(err, fleet.ErrNoCapacity) {
		a.log.Debug("rent", "ask", request.RequestID, "err", err)
	}
	a.planner.RecordAnswer(request, len(names), now)
	if len(names) > 0 {
		a.log.Info("rented", "flavor", request.InstanceType, "zone", request.Zone, "loaners", request.Spot, "asked", request.Count, "got", len(names), "hosts", names)
	}
	for _, name := range names {
		if _, ok := a.instances[name]; !ok {
			a.instances[name] = wire.Instance{Name: name, InstanceType: request.InstanceType, Zone: request.Zone, Spot: request.Spot, Phase: wire.InstanceStarting}
		}
		worker := a.registry.worker(name)
		worker.InstanceType, worker.Spot = request.InstanceType, request.Spot
		a.registry.setZone(worker, request.Zone)
		worker.RequestedAt = now
	}
}

// noteRelease tells why a machine is about to be returned.
func (a *autoscaler) noteRelease(name, reason string, now time.Time) {
	a.log.Info("returning", "host", name, "why", reason, "claims", len(a.jobs.ClaimsOnWorker(name)))
	a.auditLog.enqueue(now, audit.Entry{Act: audit.Returned, On: name, Why: reason})
}

// releaseInstances returns machines. The answer is proof that what was on them is gone.
func (a *autoscaler) releaseInstances(ctx context.Context, names []string) {
	err := a.cloud.ReleaseInstances(ctx, names)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.log.Info("release", "hosts", len(names), "err", err)
		return
	}
	now := a.now()
	for _, name := range names {
		a.released[name] = now
		if worker := a.workers[name]; worker != nil {
			a.planner.RecordRelease(fleet.Instance{InstanceType: worker.InstanceType, Zone: worker.Zone, Spot: worker.Spot})
		}
		for _, claim := range a.jobs.ClaimsOnWorker(name) {
			a.freeClaim(claim, "machine returned")
		}
		if worker := a.workers[name]; worker != nil {
			a.removeWorker(worker)
			worker.WakeSender() // ends its sender
		}
		delete(a.instances, name)
	}
	notify(a.scheduleSignal)
	notify(a.writeSignal)
}

// mergeInstanceList takes in the machine list. It lags, so what is missing from it is not
// thereby gone.
func (a *autoscaler) mergeInstanceList(list []wire.Instance) {
	now := a.now()
	listLag := time.Duration(a.settings.Facts.Cloud.ListLagS * float64(time.Second))
	present := make(map[string]bool, len(list))
	for _, instance := range list {
		present[instance.Name] = true
		if releasedAt, isReleased := a.released[instance.Name]; isReleased && !releasedAt.IsZero() {
			if now.Sub(releasedAt) < 3*listLag+a.settings.Report() {
				continue // the list is behind
			}
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
		if instance.Phase == wire.PhaseRunning && worker.ListedRunningAt.IsZero() {
			worker.ListedRunningAt = now
		}
	}
	for name, releasedAt := range a.released {
		if !releasedAt.IsZero() && !present[name] && now.Sub(releasedAt) > 4*listLag+a.settings.Lease() {
			delete(a.released, name)
		}
	}
}
