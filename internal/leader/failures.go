package leader

import (
	"context"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/failuredetector"
	"rillflow/internal/ledger"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// Limits of the failure monitor.
const (
	minWorkersForIsolation = 4 // with fewer workers, their silence does not show that this controller is isolated
	bootTimeoutRatio       = 4 // boot timeout, as a multiple of the boot time of the instance type
)

// failureMonitor detects expired leases and workers that are failed, silent or unreachable. It frees
// claims only where a lease has expired by every clock; on any other suspicion it has the instance
// released, and the cloud's response proves that the tasks have ended.
//
// Its loops are runMonitor and runReleases. The autoscaler calls unreachable. Its state is guarded by
// mu.
type failureMonitor struct {
	*termScope
	commander     *commander
	heartbeats    *heartbeatReconciler
	faults        *faultTracker
	drainer       *drainer
	autoscaler    *autoscaler
	cancellations *cancellations

	detector *failuredetector.Detector

	resumedAt time.Time // when runReleases last found that this process had stood still
}

// runMonitor periodically handles what no message triggers: cancelled tasks, expired leases,
// termination notices, the isolation of this controller, and polls of workers that are late with a
// heartbeat or have not reported to this leader.
func (m *failureMonitor) runMonitor(ctx context.Context) error {
	ticker := time.NewTicker(m.monitorInterval())
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
			m.elector.StepDown(m.settings.WorkerLease(), "no worker is heard")
		}
		for _, worker := range pollable {
			m.group.Go(func() error { m.commander.pollWorker(ctx, worker); return nil })
		}
	}
}

// expireLeases frees the claims of workers whose lease has expired by every clock: the worker has
// reported an epoch since which only this controller may answer it, and that heartbeat, the last answer
// and the first sign of the worker's incarnation are more than a lease ago by the slowest clock. Before it
// reported that epoch, another controller may have renewed its lease under an earlier one: a shard owner
// on the worker's side of a partition does so, and the worker learns the epoch only from a poll after the
// partition.
func (m *failureMonitor) expireLeases(now time.Time) {
	for _, worker := range m.workers {
		isAnsweredHereOnly := worker.SoleOwnerEpoch != 0 && worker.SeenEpoch >= worker.SoleOwnerEpoch
		if worker.LastHeartbeat.IsZero() || !isAnsweredHereOnly ||
			now.Sub(worker.LatestLeaseStart()) < m.leaseExpiryTimeout() {
			continue
		}
		m.freeExpired(worker, now)
	}
}

// freeExpired frees the claims of a worker whose lease has expired. A later incarnation than the one
// that reported has a lease of its own.
func (m *failureMonitor) freeExpired(worker *agent.Worker, now time.Time) {
	freed := 0
	for _, claim := range m.jobs.ClaimsOnWorker(worker.Name) {
		if claim.Incarnation <= worker.Incarnation {
			m.freeClaim(claim, freedLeaseExpired)
			freed++
		}
	}
	if freed > 0 {
		m.log.Info("worker lease expired", "worker", worker.Name, "incarnation", worker.Incarnation,
			"epoch", worker.SeenEpoch, "claims", freed, "answered_s", secondsSince(worker.LastAnswered, now),
			"incarnation_seen_s", secondsSince(worker.IncarnationSeenAt, now),
			"epoch_seen_s", secondsSince(worker.EpochSeenAt, now))
	}
}

// isolated reports whether this controller, rather than the workers, is likely cut off: no worker
// has sent a heartbeat for two intervals, although there are several. It is not considered isolated
// if its peers receive no heartbeats either, since another leader would be no better off.
func (m *failureMonitor) isolated(now time.Time) bool {
	if len(m.settings.Peers) == 0 || m.heartbeats.lastHeartbeat.IsZero() {
		return false
	}
	reportingWorkers := 0
	for _, worker := range m.workers {
		if !worker.LastHeartbeat.IsZero() {
			reportingWorkers++
		}
	}
	return reportingWorkers >= minWorkersForIsolation &&
		now.Sub(m.heartbeats.lastHeartbeat) > 2*m.settings.HeartbeatInterval() &&
		!m.shards.WorkersReachNoPeer()
}

// runReleases releases faulty instances. It is a loop of its own because the tasks of a dead worker
// wait for the release, and scaling out can take many requests. While this leader may have been
// replaced, it releases only instances on which a cancelled task would outlive its cancellation
// deadline: that ends tasks and cannot start any.
func (m *failureMonitor) runReleases(ctx context.Context) error {
	for asleepSince := m.now(); retry.Sleep(ctx, m.monitorInterval()); asleepSince = m.now() {
		m.mu.Lock()
		names, leaseHeld := m.nextReleases(asleepSince, m.now())
		m.mu.Unlock()
		if len(names) > 0 && (!leaseHeld || m.leadership.LeaseHeld(m.now())) {
			m.autoscaler.releaseInstances(ctx, names)
		}
	}
	return ctx.Err()
}

// nextReleases marks the instances that are to be released now, and returns their names and whether this
// leader cannot have been replaced. If it may have been while this process stood still, the tasks that it knows
// may have ended, and others run in their place: it releases none until it had a heartbeat interval to
// learn of a successor. asleepSince is when the loop went to sleep for monitorInterval. Callers hold mu.
func (m *failureMonitor) nextReleases(asleepSince, now time.Time) (names []string, leaseHeld bool) {
	if now.Sub(asleepSince) > m.monitorInterval()+m.settings.HeartbeatInterval() {
		m.resumedAt = now
	}
	leaseHeld = m.leadership.LeaseHeld(now)
	switch {
	case leaseHeld:
		names = m.faultyWorkers(now)
	case now.Sub(m.resumedAt) >= m.settings.HeartbeatInterval():
		names = m.cancellations.overdueWorkers(now)
	}
	for _, name := range names {
		if m.released[name].IsZero() {
			m.released[name] = time.Time{} // the worker gets no new tasks from here on
		}
	}
	return names, leaseHeld
}

// faultyWorkers returns the workers whose instances are to be released, as many as one request may name:
// failed and silent ones, those that do not come up, and those that fail their tasks.
func (m *failureMonitor) faultyWorkers(now time.Time) []string {
	instanceTypes := m.instanceTypes.InstanceTypes()
	m.observeSilence(now)
	var names []string
	for _, worker := range m.workersByName {
		reason := m.releaseReason(worker, instanceTypes[worker.InstanceType], now)
		if reason == "" || len(names) == maxReleaseNames {
			continue
		}
		if reason != releaseUnanswered {
			m.autoscaler.logRelease(worker.Name, reason, now)
		}
		names = append(names, worker.Name)
	}
	return names
}

// releaseReason returns why a worker's instance is to be released, or "" if it is not.
func (m *failureMonitor) releaseReason(worker *agent.Worker, instanceType *wire.InstanceType, now time.Time) string {
	instance, listed := m.instances[worker.Name]
	claims := m.jobs.ClaimsOnWorker(worker.Name)
	releasedAt, releasing := m.released[worker.Name]
	switch {
	case releasing && releasedAt.IsZero():
		return releaseUnanswered
	case listed && instance.Phase == wire.InstanceFailed:
		return releaseFailed
	case m.cancellations.hasOverdueTask(worker, now):
		return releaseOverdueTask
	case m.unreachable(worker, now):
		if len(claims) > 0 && m.likelyExpired(worker, now) {
			return releaseExpired
		}
	case m.exceedsSilenceLimit(worker, now),
		worker.LastHeartbeat.IsZero() && !listed && len(claims) > 0 && now.Sub(m.startedAt) > m.settings.WorkerLease():
		return releaseSilent
	case listed && instance.Phase == wire.InstanceStarting && len(claims) == 0 && bootTimedOut(worker, instanceType, now):
		return releaseNeverUp
	case m.faults.workerFaulty(worker) && !m.faults.mostWorkersFaulty() && !m.lastHealthyOfType(worker):
		// A service that runs there keeps running; only new tasks fail.
		if !m.runsService(claims, now) {
			return releaseFailsTasks
		}
	}
	return ""
}

// lastHealthyOfType reports whether no other worker of the same instance type is up and healthy.
// The cloud may have no replacement, and some tasks may fit no other type, so the last worker of a
// type is not released for failing tasks; it is given tasks again once per lease.
func (m *failureMonitor) lastHealthyOfType(worker *agent.Worker) bool {
	for _, other := range m.workers {
		_, releasing := m.released[other.Name]
		if other != worker && other.InstanceType == worker.InstanceType && !releasing &&
			!other.LastHeartbeat.IsZero() && !m.faults.workerFaulty(other) {
			return false
		}
	}
	return true
}

// exceedsSilenceLimit reports whether a worker that was up has been silent for longer than the
// limit. The limit is shorter for a worker whose termination notice has expired, because its
// silence leaves less doubt.
func (m *failureMonitor) exceedsSilenceLimit(worker *agent.Worker, now time.Time) bool {
	silenceLimit := time.Duration(m.settings.Operator.Fleet.FailureTimeout * float64(m.settings.HeartbeatInterval()))
	wasUp := !worker.LastHeartbeat.IsZero() || !worker.ListedRunningAt.IsZero()
	reclaimed := !worker.ReclaimAt.IsZero() && now.After(worker.ReclaimAt)
	return wasUp && m.silentFor(worker, now) > silenceLimit ||
		reclaimed && m.silentFor(worker, now) > m.heartbeatTimeout()
}

// bootTimedOut reports whether an instance has taken several times the boot time of its type
// without coming up.
func bootTimedOut(worker *agent.Worker, instanceType *wire.InstanceType, now time.Time) bool {
	if !worker.LastHeartbeat.IsZero() || !worker.ListedRunningAt.IsZero() ||
		instanceType == nil || worker.RequestedAt.IsZero() {
		return false
	}
	bootTime := time.Duration(instanceType.BootSeconds * float64(time.Second))
	return now.Sub(worker.RequestedAt) > bootTimeoutRatio*bootTime
}

// runsService reports whether any task of a service has run for more than a lease.
func (m *failureMonitor) runsService(claims map[ledger.Task]*ledger.Claim, now time.Time) bool {
	for _, claim := range claims {
		if claim.Job.Spec.Kind == wire.KindService && !claim.RunningSince.IsZero() &&
			now.Sub(claim.RunningSince) > m.settings.WorkerLease() {
			return true
		}
	}
	return false
}
