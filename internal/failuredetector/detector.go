// Package failuredetector tells who is at fault when machines are not heard: a machine
// that is silent alone has most likely stopped, but when a zone, or all that one
// controller answers, or everything falls silent together, it is the way to them
// that is cut, and what runs there runs on. It is pure.
package failuredetector

import "time"

// Observation is a machine that was up when it was last heard of.
type Observation struct {
	Zone       string
	ShardOwner string // the controller that answers it
	Spot       bool
	SilentFor  time.Duration // since anything came from it, or could have
}

// Fault is what a machine's silence is put down to.
type Fault int

// Faults, the narrowest first.
const (
	FaultWorker      Fault = iota // the machine itself
	FaultSpotReclaim              // the cloud takes spot machines of its zone back
	FaultShardOwner               // the controller that answers it hears nobody
	FaultZone                     // its zone is cut off
	FaultObserver                 // this controller hears nobody at all
)

// String names the fault for the log.
func (f Fault) String() string {
	return [...]string{"machine", "wave", "part", "zone", "observer"}[f]
}

// minSuspected is how many machines must be silent together before anything but
// themselves is suspected.
const minSuspected = 3

// groupCount is how many of a group are up and how many of them are silent.
type groupCount struct{ up, suspected int }

func (c *groupCount) add(suspected bool) {
	c.up++
	if suspected {
		c.suspected++
	}
}

// mostlySuspected tells whether most of a group are silent.
func (c *groupCount) mostlySuspected() bool {
	return c.suspected >= minSuspected && 2*c.suspected > c.up
}

// groupKey names a group.
type groupKey struct {
	fault Fault
	name  string
}

// Detector keeps which groups have fallen silent, since when, and until when that
// is believed: those of a group that come back do so one after the other, and
// the rest must not be taken for dead on that account. It is not safe for
// concurrent use.
type Detector struct {
	suspectAfter  time.Duration // silence of more than one late report
	recoveryGrace time.Duration // how long a group is given to come back whole
	outages       map[groupKey]*outageState
}

// outageState is one time of silence.
type outageState struct {
	since, excusedUntil time.Time
	active              bool
}

// New makes a watch. missed is from which silence on a host counts as
// silent, settle how long a group that is heard again is still excused.
func New(suspectAfter, recoveryGrace time.Duration) *Detector {
	return &Detector{suspectAfter: suspectAfter, recoveryGrace: recoveryGrace, outages: make(map[groupKey]*outageState)}
}

// Suspected tells whether a host has missed a report.
func (d *Detector) Suspected(observation Observation) bool {
	return observation.SilentFor > d.suspectAfter
}

// Observe judges all machines that are up, at a time.
func (d *Detector) Observe(observations []Observation, now time.Time) {
	groups := make(map[groupKey]*groupCount)
	group := func(f Fault, name string) *groupCount {
		k := groupKey{f, name}
		if groups[k] == nil {
			groups[k] = new(groupCount)
		}
		return groups[k]
	}
	onDemand, spot := make(map[string]*groupCount), make(map[string]*groupCount)
	for _, observation := range observations {
		suspected := d.Suspected(observation)
		group(FaultZone, observation.Zone).add(suspected)
		group(FaultShardOwner, observation.ShardOwner).add(suspected)
		kind := onDemand
		if observation.Spot {
			kind = spot
		}
		if kind[observation.Zone] == nil {
			kind[observation.Zone] = new(groupCount)
		}
		kind[observation.Zone].add(suspected)
	}
	fell := make(map[groupKey]bool)
	zones, all := 0, true
	for k, c := range groups {
		if k.fault == FaultZone {
			if f, s := onDemand[k.name], spot[k.name]; f != nil && s != nil && f.up >= minSuspected && !f.mostlySuspected() && s.mostlySuspected() {
				fell[groupKey{FaultSpotReclaim, k.name}] = true // a cut would silence both kinds
				all = false
				continue
			}
		}
		switch {
		case c.mostlySuspected():
			fell[k] = true
			if k.fault == FaultZone {
				zones++
			}
		case c.up >= minSuspected:
			all = false
		}
	}
	if all && zones > 0 {
		fell[groupKey{fault: FaultObserver}] = true
	}
	for k := range fell {
		s := d.outages[k]
		if s == nil {
			s = &outageState{since: now}
			d.outages[k] = s
		}
		s.excusedUntil, s.active = now.Add(d.recoveryGrace), true
	}
	for k, s := range d.outages {
		if fell[k] {
			continue
		}
		s.active = false
		if now.After(s.excusedUntil) {
			delete(d.outages, k)
		}
	}
}

// FaultOf is what a host's silence is put down to, and since when.
func (d *Detector) FaultOf(observation Observation) (Fault, time.Time) {
	for _, k := range []groupKey{{fault: FaultObserver}, {FaultZone, observation.Zone}, {FaultShardOwner, observation.ShardOwner}, {FaultSpotReclaim, observation.Zone}} {
		if k.fault == FaultSpotReclaim && !observation.Spot {
			continue
		}
		if s := d.outages[k]; s != nil {
			return k.fault, s.since
		}
	}
	return FaultWorker, time.Time{}
}

// Outage is a group of machines that is silent, or was until lately.
type Outage struct {
	Fault  Fault
	Name   string // of the zone or controller
	Since  time.Time
	Active bool // still
}

// Outages lists what has fallen silent.
func (d *Detector) Outages() []Outage {
	var outages []Outage
	for k, s := range d.outages {
		outages = append(outages, Outage{k.fault, k.name, s.since, s.active})
	}
	return outages
}
