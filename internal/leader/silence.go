package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/failuredetector"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// missedHeartbeatRatio is the silence from which on a worker has missed a heartbeat, as a ratio
// to the interval, which varies by a quarter.
const missedHeartbeatRatio = 1.3

// newFailureDetector makes the detector that judges who is at fault for silence.
func newFailureDetector(config *settings.Settings) *failuredetector.Detector {
	interval := float64(config.HeartbeatInterval())
	return failuredetector.New(time.Duration(missedHeartbeatRatio*interval), config.WorkerLease())
}

// silentFor is for how long a worker that should be heard was not. It has had no way
// to be heard before this term began, its boot was over, or its owner took over. What it
// answers to direct commands tells that it is up, but not for longer than a lease: then
// whatever it had is gone, since only an answered heartbeat renews the lease.
func (m *failureMonitor) silentFor(worker *agent.Worker, now time.Time) time.Duration {
	last := m.startedAt
	for _, seen := range []time.Time{worker.LastHeartbeat, worker.ListedRunningAt, worker.ShardOwnerSince} {
		if seen.After(last) {
			last = seen
		}
	}
	silent := now.Sub(last)
	if worker.LastUpdate.After(last) && silent <= m.leaseOverAfter() {
		return now.Sub(worker.LastUpdate)
	}
	return silent
}

// observeSilence has the detector judge who is at fault for what is not heard.
func (m *failureMonitor) observeSilence(now time.Time) {
	observations := make([]failuredetector.Observation, 0, len(m.workersByName))
	for _, worker := range m.workersByName {
		_, leaving := m.released[worker.Name]
		neverSeen := worker.LastHeartbeat.IsZero() && worker.ListedRunningAt.IsZero()
		if leaving || m.instances[worker.Name].Phase == wire.InstanceFailed || neverSeen {
			continue
		}
		observations = append(observations, m.observation(worker, now))
	}
	before := len(m.detector.Outages())
	m.detector.Observe(observations, now)
	outages := m.detector.Outages()
	if len(outages) == before {
		return
	}
	for _, outage := range outages {
		m.log.Info("outage", "fault", outage.Fault, "name", outage.Name,
			"since_s", now.Sub(outage.Since).Seconds(), "active", outage.Active)
	}
}

// observation is what the detector is told of a worker.
func (m *failureMonitor) observation(worker *agent.Worker, now time.Time) failuredetector.Observation {
	return failuredetector.Observation{
		Zone: worker.Zone, ShardOwner: worker.ShardOwner, Spot: worker.Spot, SilentFor: m.silentFor(worker, now),
	}
}

// unreachable tells whether a silent worker is more likely behind a partition than dead: its
// instance is neither released nor counted on until that has lasted for longer than
// partitions do.
func (m *failureMonitor) unreachable(worker *agent.Worker, now time.Time) bool {
	observation := m.observation(worker, now)
	if !m.detector.Suspected(observation) {
		return false
	}
	fault, since := m.detector.FaultOf(observation)
	patience := time.Duration(m.settings.Operator.Fleet.GroupOutageGrace * float64(m.settings.WorkerLease()))
	return fault >= failuredetector.FaultShardOwner && now.Sub(since) < patience
}

// likelyExpired tells whether an unreachable worker has most likely ended its tasks: no
// controller is in its zone to answer it, and it was last heard more than a lease ago. That
// is no proof where another controller owns it, but the release of its instance is.
func (m *failureMonitor) likelyExpired(worker *agent.Worker, now time.Time) bool {
	return !m.settings.HasControllerInZone(worker.Zone) && m.silentFor(worker, now) > m.leaseOverAfter()
}
