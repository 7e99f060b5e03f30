// Package silence tells who is at fault when machines are not heard: a machine
// that is silent alone has most likely stopped, but when a zone, or all that one
// controller answers, or everything falls silent together, it is the way to them
// that is cut, and what runs there runs on. It is pure.
package silence

import "time"

// Host is a machine that was up when it was last heard of.
type Host struct {
	Zone    string
	Owner   string // the controller that answers it
	Loaners bool
	Quiet   time.Duration // since anything came from it, or could have
}

// Fault is what a machine's silence is put down to.
type Fault int

// Faults, the narrowest first.
const (
	Machine  Fault = iota // the machine itself
	Wave                  // the cloud takes spot machines of its zone back
	Part                  // the controller that answers it hears nobody
	Zone                  // its zone is cut off
	Observer              // this controller hears nobody at all
)

// String names the fault for the log.
func (f Fault) String() string {
	return [...]string{"machine", "wave", "part", "zone", "observer"}[f]
}

// few is how many machines must be silent together before anything but
// themselves is suspected.
const few = 3

// count is how many of a group are up and how many of them are silent.
type count struct{ up, quiet int }

func (c *count) add(quiet bool) {
	c.up++
	if quiet {
		c.quiet++
	}
}

// fallen tells whether most of a group are silent.
func (c *count) fallen() bool { return c.quiet >= few && 2*c.quiet > c.up }

// key names a group.
type key struct {
	fault Fault
	name  string
}

// Watch keeps which groups have fallen silent, since when, and until when that
// is believed: those of a group that come back do so one after the other, and
// the rest must not be taken for dead on that account. It is not safe for
// concurrent use.
type Watch struct {
	missed time.Duration // silence of more than one late report
	settle time.Duration // how long a group is given to come back whole
	fallen map[key]*spell
}

// spell is one time of silence.
type spell struct {
	since, until time.Time
	active       bool
}

// NewWatch makes a watch. missed is from which silence on a host counts as
// silent, settle how long a group that is heard again is still excused.
func NewWatch(missed, settle time.Duration) *Watch {
	return &Watch{missed: missed, settle: settle, fallen: make(map[key]*spell)}
}

// Silent tells whether a host has missed a report.
func (w *Watch) Silent(h Host) bool { return h.Quiet > w.missed }

// Look judges all machines that are up, at a time.
func (w *Watch) Look(hosts []Host, now time.Time) {
	groups := make(map[key]*count)
	group := func(f Fault, name string) *count {
		k := key{f, name}
		if groups[k] == nil {
			groups[k] = new(count)
		}
		return groups[k]
	}
	firm, spot := make(map[string]*count), make(map[string]*count)
	for _, h := range hosts {
		quiet := w.Silent(h)
		group(Zone, h.Zone).add(quiet)
		group(Part, h.Owner).add(quiet)
		kind := firm
		if h.Loaners {
			kind = spot
		}
		if kind[h.Zone] == nil {
			kind[h.Zone] = new(count)
		}
		kind[h.Zone].add(quiet)
	}
	fell := make(map[key]bool)
	zones, all := 0, true
	for k, c := range groups {
		if k.fault == Zone {
			if f, s := firm[k.name], spot[k.name]; f != nil && s != nil && f.up >= few && !f.fallen() && s.fallen() {
				fell[key{Wave, k.name}] = true // a cut would silence both kinds
				all = false
				continue
			}
		}
		switch {
		case c.fallen():
			fell[k] = true
			if k.fault == Zone {
				zones++
			}
		case c.up >= few:
			all = false
		}
	}
	if all && zones > 0 {
		fell[key{fault: Observer}] = true
	}
	for k := range fell {
		s := w.fallen[k]
		if s == nil {
			s = &spell{since: now}
			w.fallen[k] = s
		}
		s.until, s.active = now.Add(w.settle), true
	}
	for k, s := range w.fallen {
		if fell[k] {
			continue
		}
		s.active = false
		if now.After(s.until) {
			delete(w.fallen, k)
		}
	}
}

// Fault is what a host's silence is put down to, and since when.
func (w *Watch) Fault(h Host) (Fault, time.Time) {
	for _, k := range []key{{fault: Observer}, {Zone, h.Zone}, {Part, h.Owner}, {Wave, h.Zone}} {
		if k.fault == Wave && !h.Loaners {
			continue
		}
		if s := w.fallen[k]; s != nil {
			return k.fault, s.since
		}
	}
	return Machine, time.Time{}
}

// Group is a group of machines that is silent, or was until lately.
type Group struct {
	Fault  Fault
	Name   string // of the zone or controller
	Since  time.Time
	Silent bool // still
}

// Groups lists what has fallen silent.
func (w *Watch) Groups() []Group {
	var gs []Group
	for k, s := range w.fallen {
		gs = append(gs, Group{k.fault, k.name, s.since, s.active})
	}
	return gs
}
