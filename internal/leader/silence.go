package leader

import (
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/failuredetector"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// missedHeartbeatRatio is from which silence a machine has missed a report, as a ratio
// to the interval, which varies by a quarter.
const missedHeartbeatRatio = 1.3

func newFailureDetector(config *settings.Settings) *failuredetector.Detector {
	return failuredetector.New(time.Duration(missedHeartbeatRatio*float64(config.Report())), config.Lease())
}

// silentFor is for how long a host that should be heard was not. It has had no way
// to be heard before this term began, its boot was over, or its owner took over. What it
// answers to direct commands tells that it is up, but not for longer than a lease: then
// whatever it had is gone, since only an answered report renews the lease.
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

// observeSilence judges who is at fault for what is not heard.
func (m *failureMonitor) observeSilence(now time.Time) {
	observations := make([]failuredetector.Observation, 0, len(m.workersByName))
	for _, worker := range m.workersByName {
		if _, leaving := m.released[worker.Name]; leaving || m.instances[worker.Name].Phase == wire.InstanceFailed || worker.LastHeartbeat.IsZero() && worker.ListedRunningAt.IsZero() {
			continue
		}
		observations = append(observations, m.observation(worker, now))
	}
	before := len(m.detector.Outages())
	m.detector.Observe(observations, now)
	if groups := m.detector.Outages(); len(groups) != before {
		for _, group := range groups {
			m.log.Info("silence", "fault", group.Fault, "name", group.Name, "since_s", now.Sub(group.Since).Seconds(), "still", group.Active)
		}
	}
}

func (m *failureMonitor) observation(worker *agent.Worker, now time.Time) failuredetector.Observation {
	return failuredetector.Observation{Zone: worker.Zone, ShardOwner: worker.ShardOwner, Spot: worker.Spot, SilentFor: m.silentFor(worker, now)}
}

// unreachable tells whether a silent host is more likely behind a cut than dead: it is
// neither returned nor counted on until that has lasted for longer than cuts do.
func (m *failureMonitor) unreachable(worker *agent.Worker, now time.Time) bool {
	observation := m.observation(worker, now)
	if !m.detector.Suspected(observation) {
		return false
	}
	fault, since := m.detector.FaultOf(observation)
	return fault >= failuredetector.FaultShardOwner && now.Sub(since) < time.Duration(m.settings.Operator.Fleet.Patience*float64(m.settings.Lease()))
}

// likelyExpired tells whether a host behind a cut has most likely ended its tasks: no
// controller is in its zone to answer it, and it was last heard a lease ago. That
// is no proof where another controller owns it, but its return is.
func (m *failureMonitor) likelyExpired(worker *agent.Worker, now time.Time) bool {
	return !m.settings.Covered(worker.Zone) && m.silentFor(worker, now) > m.leaseOverAfter()
}
