// Package failuredetector attributes the silence of workers to a fault. A single silent
// worker has most likely failed. If most workers of a zone, most workers of one shard
// owner, or all workers are silent at once, the network is partitioned instead, and their
// tasks continue to run.
//
// A [Detector] owns the record of present and recent outages. The leader's runtime calls
// it under its own lock, with the observations and the time of each round. The package
// reads no clock, does no I/O, and must not decide how to react to a fault: the leader
// does.
package failuredetector

import "time"

// Observation describes one worker that was up when the leader last heard from it.
type Observation struct {
	Zone       string
	ShardOwner string        // the controller that answers its heartbeats
	Spot       bool          // it is a spot instance
	SilentFor  time.Duration // since anything was, or could have been, received from it
}

// Fault is the cause that a worker's silence is attributed to.
type Fault int

// Faults, from the narrowest to the widest.
const (
	FaultWorker      Fault = iota // the worker itself has failed
	FaultSpotReclaim              // the cloud reclaims the spot instances of its zone
	FaultShardOwner               // its shard owner receives no heartbeats
	FaultZone                     // its zone is partitioned
	FaultObserver                 // this controller receives no heartbeats from any worker
)

// String returns the fault's name in log messages.
func (f Fault) String() string {
	return [...]string{"worker", "spot_reclaim", "shard_owner", "zone", "observer"}[f]
}

// Outage is the present or recent silence of a group of workers.
type Outage struct {
	Fault  Fault
	Name   string // of the zone or controller
	Since  time.Time
	Active bool // the group is still silent
}

// Detector records which groups of workers are silent, since when, and until when their
// silence is excused. When a group recovers, its workers' heartbeats resume one after the
// other, and the last of them must not be regarded as failed in the meantime. It is not
// safe for concurrent use.
type Detector struct {
	suspectAfter  time.Duration
	recoveryGrace time.Duration
	outages       map[groupKey]*outageState
}

// groupKey identifies a group of workers by the fault that would silence it.
type groupKey struct {
	fault Fault
	name  string // of the zone or controller
}

// outageState is one outage of a group.
type outageState struct {
	since        time.Time
	excusedUntil time.Time
	active       bool
}

// New returns a detector without outages. A worker is suspected when it has been silent for
// longer than suspectAfter, which must allow for one late heartbeat. A group that recovers
// stays excused for recoveryGrace.
func New(suspectAfter, recoveryGrace time.Duration) *Detector {
	return &Detector{suspectAfter: suspectAfter, recoveryGrace: recoveryGrace, outages: make(map[groupKey]*outageState)}
}

// Suspected reports whether a worker has missed a heartbeat.
func (d *Detector) Suspected(observation Observation) bool {
	return observation.SilentFor > d.suspectAfter
}

// Observe updates the outages from the observations of all workers that are up.
func (d *Detector) Observe(observations []Observation, now time.Time) {
	counts := newGroupCounts()
	for _, observation := range observations {
		counts.add(observation, d.Suspected(observation))
	}
	d.update(counts.suspectedGroups(), now)
}

// update starts, extends and ends outages according to the suspected groups.
func (d *Detector) update(suspected map[groupKey]bool, now time.Time) {
	for key := range suspected {
		outage := d.outages[key]
		if outage == nil {
			outage = &outageState{since: now}
			d.outages[key] = outage
		}
		outage.excusedUntil, outage.active = now.Add(d.recoveryGrace), true
	}
	for key, outage := range d.outages {
		if suspected[key] {
			continue
		}
		outage.active = false
		if now.After(outage.excusedUntil) {
			delete(d.outages, key)
		}
	}
}

// FaultOf returns the widest fault that explains a worker's silence, and the start of its
// group's outage. The time is zero for [FaultWorker].
func (d *Detector) FaultOf(observation Observation) (Fault, time.Time) {
	for _, key := range []groupKey{
		{fault: FaultObserver},
		{FaultZone, observation.Zone},
		{FaultShardOwner, observation.ShardOwner},
		{FaultSpotReclaim, observation.Zone},
	} {
		if key.fault == FaultSpotReclaim && !observation.Spot {
			continue
		}
		if outage := d.outages[key]; outage != nil {
			return key.fault, outage.since
		}
	}
	return FaultWorker, time.Time{}
}

// Outages returns the present and recent outages, in no particular order.
func (d *Detector) Outages() []Outage {
	var outages []Outage
	for key, outage := range d.outages {
		outages = append(outages, Outage{Fault: key.fault, Name: key.name, Since: outage.since, Active: outage.active})
	}
	return outages
}
