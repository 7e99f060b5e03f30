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
	minWorkersToJudge = 4 // workers that must fall silent together before this controller blames itself
	bootPatience      = 4 // times the boot time after which an instance is taken to never come up
)

// failureMonitor finds expired leases, and workers that have failed, fallen silent or cannot
// be reached. It frees claims only where a lease is surely over by every clock; whatever else
// it suspects leads to the release of the instance, whose answer is the proof.
//
// Its loops are runMonitor and runReleases. The autoscaler asks which workers are
// unreachable. Its state is guarded by mu.
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

// runMonitor looks after what only time brings: leases that expire, workers that do
// not turn to this leader, commands to be given again.
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

// expireLeases frees the claims of workers whose lease is surely over: the worker has
// shown an epoch since which nobody else may answer it, and both that and its last
// answer are more than a lease ago by the slowest of clocks. Until it showed the
// epoch, another controller may have renewed its lease under an earlier one: a shard owner
// behind the same partition does, and a poll right after the partition brings the epoch.
func (m *failureMonitor) expireLeases(now time.Time) {
	leaseSpan := m.leaseOverAfter()
	for _, worker := range m.workers {
		soleOwner := worker.SoleOwnerEpoch != 0 && worker.SeenEpoch >= worker.SoleOwnerEpoch
		if worker.LastHeartbeat.IsZero() || !soleOwner ||
			now.Sub(worker.LastAnswered) < leaseSpan || now.Sub(worker.EpochSeenAt) < leaseSpan {
			continue
		}
		for _, claim := range m.jobs.ClaimsOnWorker(worker.Name) {
			// A claim of an incarnation that was not heard of yet says nothing of this lease.
			if claim.Incarnation <= worker.Incarnation {
				m.freeClaim(claim, freedLeaseExpired)
			}
		}
	}
}

// isolated tells whether this controller, and not the workers, is cut off: all
// fell silent at about the same time though there are several. Where its peers
// hear none either, another leader would be no better off.
func (m *failureMonitor) isolated(now time.Time) bool {
	if len(m.settings.Peers) == 0 || m.heartbeats.lastHeartbeat.IsZero() {
		return false
	}
	heardWorkers := 0
	for _, worker := range m.workers {
		if !worker.LastHeartbeat.IsZero() {
			heardWorkers++
		}
	}
	return heardWorkers >= minWorkersToJudge && now.Sub(m.heartbeats.lastHeartbeat) > 2*m.settings.HeartbeatInterval() &&
		!m.shards.PeersHearNoWorkers()
}

// runReleases releases faulty instances. It is a loop of its own: what ran on a dead
// worker waits for the release, and scaling out can take many requests. Where this leader
// may have been replaced it releases only instances on which a cancelled task would outlive
// its time: that ends tasks, and can start none.
func (m *failureMonitor) runReleases(ctx context.Context) error {
	for retry.Sleep(ctx, m.monitorInterval()) {
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

// faultyWorkers returns the workers whose instances are to be released: failed or silent ones,
// those that never come up, and those that fail what they start.
func (m *failureMonitor) faultyWorkers(now time.Time) []string {
	instanceTypes := m.instanceTypes.InstanceTypes()
	m.observeSilence(now)
	var names []string
	for _, worker := range m.workersByName {
		reason := m.releaseReason(worker, instanceTypes[worker.InstanceType], now)
		if reason == "" {
			continue
		}
		if reason != releaseUnanswered {
			m.autoscaler.noteRelease(worker.Name, reason, now)
		}
		names = append(names, worker.Name)
	}
	return names
}

// releaseReason tells why a worker's instance is to be released; empty: it is not.
func (m *failureMonitor) releaseReason(worker *agent.Worker, instanceType *wire.InstanceType, now time.Time) string {
	instance, listed := m.instances[worker.Name]
	claims := m.jobs.ClaimsOnWorker(worker.Name)
	releasedAt, leaving := m.released[worker.Name]
	switch {
	case leaving && releasedAt.IsZero():
		return releaseUnanswered
	case listed && instance.Phase == wire.InstanceFailed:
		return releaseFailed
	case m.cancellations.hasOverdueTask(worker, now):
		return releaseOverdueTask
	case m.unreachable(worker, now):
		if len(claims) > 0 && m.likelyExpired(worker, now) {
			return releaseExpired
		}
	case m.silentTooLong(worker, now),
		worker.LastHeartbeat.IsZero() && !listed && len(claims) > 0 && now.Sub(m.startedAt) > m.settings.WorkerLease():
		return releaseSilent
	case listed && instance.Phase == wire.InstanceStarting && len(claims) == 0 && neverUp(worker, instanceType, now):
		return releaseNeverUp
	case m.faults.workerFaulty(worker) && !m.faults.mostWorkersFaulty() && !m.lastOfType(worker):
		// Where a service runs it runs on; only new tasks fail.
		if !m.runsService(claims, now) {
			return releaseFailsTasks
		}
	}
	return ""
}

// lastOfType tells whether no other worker of a worker's instance type is up and well. The cloud
// need not have another, and there may be tasks that fit no other type: a last one that fails tasks
// is tried again once in a lease instead of being released.
func (m *failureMonitor) lastOfType(worker *agent.Worker) bool {
	for _, other := range m.workers {
		_, leaving := m.released[other.Name]
		if other != worker && other.InstanceType == worker.InstanceType && !leaving &&
			!other.LastHeartbeat.IsZero() && !m.faults.workerFaulty(other) {
			return false
		}
	}
	return true
}

// silentTooLong tells whether a worker that was up has been silent for longer than is waited
// for: less where the cloud said that it would take the instance, for there is less to doubt.
func (m *failureMonitor) silentTooLong(worker *agent.Worker, now time.Time) bool {
	silenceLimit := time.Duration(m.settings.Operator.Fleet.FailureTimeout * float64(m.settings.HeartbeatInterval()))
	wasUp := !worker.LastHeartbeat.IsZero() || !worker.ListedRunningAt.IsZero()
	reclaimed := !worker.ReclaimAt.IsZero() && now.After(worker.ReclaimAt)
	return wasUp && m.silentFor(worker, now) > silenceLimit ||
		reclaimed && m.silentFor(worker, now) > m.heartbeatLateAfter()
}

// neverUp tells whether an instance has taken several times as long to boot as its type does.
func neverUp(worker *agent.Worker, instanceType *wire.InstanceType, now time.Time) bool {
	if !worker.LastHeartbeat.IsZero() || !worker.ListedRunningAt.IsZero() ||
		instanceType == nil || worker.RequestedAt.IsZero() {
		return false
	}
	bootTime := time.Duration(instanceType.BootSeconds * float64(time.Second))
	return now.Sub(worker.RequestedAt) > bootPatience*bootTime
}

// runsService tells whether some task of a service has run for more than a lease.
func (m *failureMonitor) runsService(claims map[ledger.Task]*ledger.Claim, now time.Time) bool {
	for _, claim := range claims {
		if claim.Job.Spec.Kind == wire.KindService && !claim.RunningSince.IsZero() &&
			now.Sub(claim.RunningSince) > m.settings.WorkerLease() {
			return true
		}
	}
	return false
}
