package leader

import (
	"context"
	"time"

	"rillflow/internal/failuredetector"
	"rillflow/internal/wire"
)

// failureMonitor finds expired leases and failed, silent or unreachable workers.
type failureMonitor struct {
	*termScope
	commander     *commander
	heartbeats    *heartbeatReconciler
	faults        *faultTracker
	drainer       *drainer
	autoscaler    *autoscaler
	cancellations *cancellations

	detector *failuredetector.Detector
}

// monitorLoop looks after what only time brings: leases that run out, hosts that do
// not come over to this leader, orders to be given again.
func (m *failureMonitor) monitorLoop(ctx context.Context) error {
	ticker := time.NewTicker(m.settings.Report() / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		m.mu.Lock()
		now := m.now()
		m.cancellations.applyCancellations()
		m.expireLeases(now)
		m.drainer.drainReclaimed(now)
		isolated := m.isolated(now)
		pollable := m.commander.workersToPoll(now)
		m.mu.Unlock()
		notify(m.scheduleSignal)
		notify(m.writeSignal)
		if isolated {
			m.elector.StepDown(m.settings.Lease(), "no worker is heard")
		}
		for _, worker := range pollable {
			m.group.Go(func() error { m.commander.pollWorker(ctx, worker); return nil })
		}
	}
}

// expireLeases frees the claims of hosts whose lease is surely over: the worker has
// shown an epoch since which nobody else may answer it, and both that and its last
// answer are more than a lease ago by the slowest of clocks. Until it showed the
// epoch, another may have renewed its lease under an earlier one: an owner behind
// the same cut does, and a poll right after the cut brings the epoch.
func (m *failureMonitor) expireLeases(now time.Time) {
	leaseSpan := m.leaseOverAfter()
	for _, worker := range m.workers {
		if worker.LastHeartbeat.IsZero() || worker.SoleOwnerEpoch == 0 || worker.SeenEpoch < worker.SoleOwnerEpoch || now.Sub(worker.LastAnswered) < leaseSpan || now.Sub(worker.EpochSeenAt) < leaseSpan {
			continue
		}
		for _, claim := range m.jobs.ClaimsOnWorker(worker.Name) {
			// A claim of a tenure not yet heard of cannot be.
			if claim.Incarnation <= worker.Incarnation {
				m.freeClaim(claim, "lease over")
			}
		}
	}
}

// isolated tells whether this controller, and not the workers, is cut off: all
// fell silent at about the same time though several there are. Where its peers
// hear none either, another leader would be no better off.
func (m *failureMonitor) isolated(now time.Time) bool {
	if len(m.settings.Members) == 0 || m.heartbeats.lastHeartbeat.IsZero() {
		return false
	}
	heardWorkers := 0
	for _, worker := range m.workers {
		if !worker.LastHeartbeat.IsZero() {
			heardWorkers++
		}
	}
	return heardWorkers >= 4 && now.Sub(m.heartbeats.lastHeartbeat) > 2*m.settings.Report() && !m.shards.PeersHearNoWorkers()
}

// releaseFaultyLoop returns faulty machines. It has a duty of its own: what ran on a dead
// machine waits for its return, and renting can take many requests. Where this leader
// may have been replaced it returns only what a withdrawn task would outlive its time on:
// that ends tasks, and can start none.
func (m *failureMonitor) releaseFaultyLoop(ctx context.Context) error {
	for sleep(ctx, m.settings.Report()/6) {
		m.mu.Lock()
		now := m.now()
		leaseHeld := m.leadership.LeaseHeld(now)
		var names []string
		if leaseHeld {
			names = m.faultyWorkers(now)
		} else {
			names = m.cancellations.overdueWorkers(now)
		}
		names = names[:min(len(names), maxReleaseNames)]
		for _, name := range names {
			if m.released[name].IsZero() {
				m.released[name] = time.Time{} // no new tasks from here on
			}
		}
		m.mu.Unlock()
		if len(names) > 0 && (!leaseHeld || m.leadership.LeaseHeld(m.now())) {
			m.autoscaler.releaseInstances(ctx, names)
		}
	}
	return ctx.Err()
}

// faultyWorkers are machines to be returned: failed or silent ones, those that never
// come up, and those that fail what they start.
func (m *failureMonitor) faultyWorkers(now time.Time) []string {
	silenceLimit := time.Duration(m.settings.Operator.Fleet.Silence * float64(m.settings.Report()))
	instanceTypes := m.instanceTypes.InstanceTypes()
	m.observeSilence(now)
	var names []string
	for _, worker := range m.workersByName {
		reason := ""
		instance, listed := m.instances[worker.Name]
		instanceType := instanceTypes[worker.InstanceType]
		claims := m.jobs.ClaimsOnWorker(worker.Name)
		releasedAt, leaving := m.released[worker.Name]
		switch {
		case leaving && releasedAt.IsZero():
			reason = "again" // its release was not answered
		case listed && instance.Phase == wire.InstanceFailed:
			reason = "failed"
		case m.cancellations.hasOverdueTask(worker, now):
			reason = "withdrawn task"
		case m.unreachable(worker, now):
			if len(claims) > 0 && m.likelyExpired(worker, now) {
				reason = "lease over"
			}
		case (!worker.LastHeartbeat.IsZero() || !worker.ListedRunningAt.IsZero()) && m.silentFor(worker, now) > silenceLimit,
			// The cloud said it would take it: there is less to doubt.
			!worker.ReclaimAt.IsZero() && now.After(worker.ReclaimAt) && m.silentFor(worker, now) > 3*m.settings.Report()/2,
			worker.LastHeartbeat.IsZero() && !listed && len(claims) > 0 && now.Sub(m.startedAt) > m.settings.Lease():
			reason = "silent"
		case worker.LastHeartbeat.IsZero() && worker.ListedRunningAt.IsZero() && listed && instance.Phase == wire.InstanceStarting && len(claims) == 0 &&
			instanceType != nil && !worker.RequestedAt.IsZero() && now.Sub(worker.RequestedAt) > 4*time.Duration(instanceType.BootSeconds*float64(time.Second)):
			reason = "never up"
		case m.faults.workerFaulty(worker) && !m.faults.mostWorkersFaulty():
			reason = "fails tasks"
			for _, claim := range claims {
				if claim.Job.Spec.Kind == wire.KindService && !claim.RunningSince.IsZero() && now.Sub(claim.RunningSince) > m.settings.Lease() {
					reason = "" // what runs there runs on; only new tasks fail
				}
			}
		}
		if reason == "" {
			continue
		}
		if reason != "again" {
			m.autoscaler.noteRelease(worker.Name, reason, now)
		}
		names = append(names, worker.Name)
	}
	return names
}
