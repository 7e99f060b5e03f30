package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/failuredetector"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// missedHeartbeatRatio is the silence after which a heartbeat counts as missed, as a ratio to the
// heartbeat interval, which varies by a quarter.
const missedHeartbeatRatio = 1.3

// newFailureDetector returns the detector that attributes silence to workers, zones or controllers.
func newFailureDetector(config *settings.Settings) *failuredetector.Detector {
	interval := float64(config.HeartbeatInterval())
	return failuredetector.New(time.Duration(missedHeartbeatRatio*interval), config.WorkerLease())
}

// silentFor returns how long a worker that should send heartbeats has been silent. Time before this
// term, before the end of the worker's boot and before the last change of its shard owner does not
// count, because no heartbeat could arrive then. An answer to a direct command shows that the worker
// is up, but counts for no longer than a lease: only an answered heartbeat renews the lease, so the
// worker's tasks have ended by then.
func (m *failureMonitor) silentFor(worker *agent.Worker, now time.Time) time.Duration {
	lastSeen := m.startedAt
	for _, seenAt := range []time.Time{worker.LastHeartbeat, worker.ListedRunningAt, worker.ShardOwnerSince} {
		if seenAt.After(lastSeen) {
			lastSeen = seenAt
		}
	}
	silence := now.Sub(lastSeen)
	if worker.LastUpdate.After(lastSeen) && silence <= m.leaseExpiryTimeout() {
		return now.Sub(worker.LastUpdate)
	}
	return silence
}

// observeSilence passes the silence of all workers to the failure detector and logs new outages.
func (m *failureMonitor) observeSilence(now time.Time) {
	observations := make([]failuredetector.Observation, 0, len(m.workersByName))
	for _, worker := range m.workersByName {
		_, releasing := m.released[worker.Name]
		neverSeen := worker.LastHeartbeat.IsZero() && worker.ListedRunningAt.IsZero()
		if releasing || m.instances[worker.Name].Phase == wire.InstanceFailed || neverSeen {
			continue
		}
		observations = append(observations, m.observation(worker, now))
	}
	outagesBefore := len(m.detector.Outages())
	m.detector.Observe(observations, now)
	outages := m.detector.Outages()
	if len(outages) == outagesBefore {
		return
	}
	for _, outage := range outages {
		m.log.Info("outage", "fault", outage.Fault, "name", outage.Name,
			"since_s", now.Sub(outage.Since).Seconds(), "active", outage.Active)
	}
}

// observation returns the failure detector's input for a worker.
func (m *failureMonitor) observation(worker *agent.Worker, now time.Time) failuredetector.Observation {
	return failuredetector.Observation{
		Zone: worker.Zone, ShardOwner: worker.ShardOwner, Spot: worker.Spot, SilentFor: m.silentFor(worker, now),
	}
}

// unreachable reports whether a silent worker is more likely partitioned than dead. Until the
// worker's outage has lasted for longer than partitions usually do, its instance is not released, and
// does not count as available capacity either.
func (m *failureMonitor) unreachable(worker *agent.Worker, now time.Time) bool {
	observation := m.observation(worker, now)
	if !m.detector.Suspected(observation) {
		return false
	}
	fault, since := m.detector.FaultOf(observation)
	grace := time.Duration(m.settings.Operator.Fleet.GroupOutageGrace * float64(m.settings.WorkerLease()))
	return fault >= failuredetector.FaultShardOwner && now.Sub(since) < grace
}

// likelyExpired reports whether an unreachable worker has most likely ended its tasks: no controller
// in its zone can answer it, and it has been silent for more than a lease. If another controller
// owns it, this is no proof, but the release of its instance is.
func (m *failureMonitor) likelyExpired(worker *agent.Worker, now time.Time) bool {
	return !m.settings.HasControllerInZone(worker.Zone) && m.silentFor(worker, now) > m.leaseExpiryTimeout()
}
