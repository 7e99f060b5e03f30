// Package failuredetector decides what the silence of workers is attributed to. A worker
// that is silent alone has most likely failed. When most of a zone, most of what one
// controller answers, or everything is silent at once, the network is cut instead, and
// the tasks there run on.
//
// A [Detector] owns the record of present and recent outages. The leader's runtime calls
// it under its own lock, with the observations and the time of each round. The package
// reads no clock, does no I/O, and must not decide what follows from a fault: the leader
// does.
package failuredetector

import "time"

// Observation is what the leader knows of one worker that was up when last heard from.
type Observation struct {
	Zone       string
	ShardOwner string        // the controller that answers its heartbeats
	Spot       bool          // it is a spot instance
	SilentFor  time.Duration // since anything came from it, or could have come
}

// Fault is what a worker's silence is attributed to.
type Fault int

// Faults, from the narrowest to the widest.
const (
	FaultWorker      Fault = iota // the worker itself
	FaultSpotReclaim              // the cloud reclaims the spot instances of its zone
	FaultShardOwner               // the controller that answers it hears no workers
	FaultZone                     // its zone is cut off
	FaultObserver                 // this controller hears no workers at all
)

// String returns the fault's name in log messages.
func (f Fault) String() string {
	return [...]string{"worker", "spot_reclaim", "shard_owner", "zone", "observer"}[f]
}

// Outage is a group of workers that is silent, or was until lately.
type Outage struct {
	Fault  Fault
	Name   string // of the zone or controller
	Since  time.Time
	Active bool // the group is still silent
}

// Detector records which groups of workers are silent, since when, and until when their
// silence is excused: the workers of a group that recovers are heard again one after the
// other, and the last of them must not be taken for failed on that account. It is not
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

// New returns a detector without outages. A worker is suspected when silent for longer
// than suspectAfter, which must exceed one late heartbeat. A group that is heard again
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

// update begins, extends and ends outages.
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

// FaultOf returns the widest fault that explains a worker's silence, and since when its
// group is silent. The time is zero for [FaultWorker].
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

// Outages lists the present and recent outages, in no particular order.
func (d *Detector) Outages() []Outage {
	var outages []Outage
	for key, outage := range d.outages {
		outages = append(outages, Outage{Fault: key.fault, Name: key.name, Since: outage.since, Active: outage.active})
	}
	return outages
}
