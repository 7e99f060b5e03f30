package leader

import (
	"slices"
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
func (t *leaderTerm) silentFor(worker *agent.Worker, now time.Time) time.Duration {
	last := t.startedAt
	for _, seen := range []time.Time{worker.LastHeartbeat, worker.ListedRunningAt, worker.ShardOwnerSince} {
		if seen.After(last) {
			last = seen
		}
	}
	silent := now.Sub(last)
	if worker.LastUpdate.After(last) && silent <= t.leaseOverAfter() {
		return now.Sub(worker.LastUpdate)
	}
	return silent
}

// observeSilence judges who is at fault for what is not heard.
func (t *leaderTerm) observeSilence(now time.Time) {
	observations := make([]failuredetector.Observation, 0, len(t.workersByName))
	for _, worker := range t.workersByName {
		if _, leaving := t.released[worker.Name]; leaving || t.instances[worker.Name].Phase == wire.InstanceFailed || worker.LastHeartbeat.IsZero() && worker.ListedRunningAt.IsZero() {
			continue
		}
		observations = append(observations, t.observation(worker, now))
	}
	before := len(t.detector.Outages())
	t.detector.Observe(observations, now)
	if groups := t.detector.Outages(); len(groups) != before {
		for _, group := range groups {
			t.log.Info("silence", "fault", group.Fault, "name", group.Name, "since_s", now.Sub(group.Since).Seconds(), "still", group.Active)
		}
	}
}

func (t *leaderTerm) observation(worker *agent.Worker, now time.Time) failuredetector.Observation {
	return failuredetector.Observation{Zone: worker.Zone, ShardOwner: worker.ShardOwner, Spot: worker.Spot, SilentFor: t.silentFor(worker, now)}
}

// NoWorkersOfOwn tells whether this controller leads, and no machine of its own part is up: that it
// hears none then says nothing of its own hearing.
func (r *Runner) NoWorkersOfOwn() bool {
	term := r.current.Load()
	if term == nil {
		return false
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	return !slices.ContainsFunc(term.workersByName, func(worker *agent.Worker) bool {
		_, leaving := term.released[worker.Name]
		return worker.ShardOwner == term.settings.Node && !leaving && !worker.LastHeartbeat.IsZero()
	})
}

// unreachable tells whether a silent host is more likely behind a cut than dead: it is
// neither returned nor counted on until that has lasted for longer than cuts do.
func (t *leaderTerm) unreachable(worker *agent.Worker, now time.Time) bool {
	observation := t.observation(worker, now)
	if !t.detector.Suspected(observation) {
		return false
	}
	fault, since := t.detector.FaultOf(observation)
	return fault >= failuredetector.FaultShardOwner && now.Sub(since) < time.Duration(t.settings.Operator.Fleet.Patience*float64(t.settings.Lease()))
}

// leaseOverAfter is after which time without an answer a lease is over by any clock.
func (t *leaderTerm) leaseOverAfter() time.Duration {
	return t.settings.Lease() + t.settings.Lease()/500 + t.settings.Report()/3
}

// likelyExpired tells whether a host behind a cut has most likely ended its tasks: no
// controller is in its zone to answer it, and it was last heard a lease ago. That
// is no proof where another controller owns it, but its return is.
func (t *leaderTerm) likelyExpired(worker *agent.Worker, now time.Time) bool {
	return !t.settings.Covered(worker.Zone) && t.silentFor(worker, now) > t.leaseOverAfter()
}
