// Package agent deals with workers: what each last reported, what it is to be
// ordered, and the direct commands sent to it.
package agent

import (
	"slices"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Host is a machine as its worker last reported it.
type Host struct {
	Name    string
	Address string
	Flavor  string
	Zone    string
	Loaners bool

	Tenure  uint64
	Tick    uint64
	Epoch   uint64    // highest the worker says it has seen
	Shown   time.Time // when it first said so
	Asked   time.Time // when it was rented
	Running time.Time // when the list first showed it running
	Heard   time.Time // last beat that was answered and no older than what was known
	Polling bool
	Told    time.Time // last message of its own that was news, to whatever request
	// Answered is when a beat was last answered, an old one included: the answer may
	// renew the worker's lease.
	Answered time.Time
	WarnAt   time.Time // when the cloud takes it away; zero: no notice

	Members map[ledger.Task]Member
	Stray   bool    // a task on it takes room that no claim tells of
	Images  []Image // most recently used first

	// Taint is the epoch of the latest direct command whose fate is unknown.
	// Until the worker has seen a higher one, that command may yet be
	// executed, so nothing is forgotten that it could start again.
	Taint    uint64
	InFlight bool

	// Sole is the epoch since which this leader alone may answer the host; 0
	// while another node may.
	Sole uint64
	// Owner is the controller that answers the host, Moved when it became so.
	Owner string
	Moved time.Time
	// Learned are finishes that the host's owner has yet to be told.
	Learned []Finish

	Draining bool      // takes no new tasks, and goes once empty
	Sulking  time.Time // refused a launch for want of room: not before this
	Errors   []string  // jobs whose tasks failed here since the last success
	Failed   time.Time // when the last did
	Idle     time.Time // since when nothing is on it
	Wake     chan struct{}
}

// Member is a task as a worker reported it.
type Member struct {
	Try   uint64
	Phase string
	Cause string    // of an end
	Since time.Time // first seen in this phase
	Kept  bool      // of a job that was lost, as far as is known: it is left alone
}

// Finish is what one finished task teaches.
type Finish struct {
	Type, Flavor string
	Run          time.Duration
}

// Image is a bundle that a host fetched.
type Image struct {
	Bundle string
	GB     float64
	Coming bool // not fetched yet, as far as is known
}

// NewHost makes a host of which nothing was heard yet.
func NewHost(name string) *Host {
	return &Host{Name: name, Members: make(map[ledger.Task]Member), Wake: make(chan struct{}, 1)}
}

// Nudge wakes the host's sender.
func (h *Host) Nudge() {
	select {
	case h.Wake <- struct{}{}:
	default:
	}
}

// Newer tells whether a report is newer than what is known.
func (h *Host) Newer(r *wire.Heartbeat) bool {
	return r.Incarnation > h.Tenure || r.Incarnation == h.Tenure && r.Sequence > h.Tick
}

// HasImage tells whether the host has an image, as far as its tasks showed.
func (h *Host) HasImage(bundle string) bool {
	return slices.ContainsFunc(h.Images, func(i Image) bool { return i.Bundle == bundle && !i.Coming })
}

// Fetches notes that a task was placed whose image the machine must fetch.
func (h *Host) Fetches(bundle string, gb float64) {
	if !slices.ContainsFunc(h.Images, func(i Image) bool { return i.Bundle == bundle }) {
		h.Images = slices.Insert(h.Images, 0, Image{bundle, gb, true})
	}
}

// Abandons notes that no task waits for an image any more: its fetch is given
// up.
func (h *Host) Abandons(bundle string) {
	h.Images = slices.DeleteFunc(h.Images, func(i Image) bool { return i.Bundle == bundle && i.Coming })
}

// Used notes that a task with an image runs: the machine has the image, and
// drops those longest unused past its cache.
func (h *Host) Used(bundle string, gb, cache float64) {
	h.Images = slices.DeleteFunc(h.Images, func(i Image) bool { return i.Bundle == bundle })
	h.Images = slices.Insert(h.Images, 0, Image{bundle, gb, false})
	sum := 0.0
	for i, im := range h.Images {
		if sum += im.GB; sum > cache && i > 0 {
			h.Images = h.Images[:i]
			return
		}
	}
}

// Orders are the commands that bring a host from what it reported to what the
// claims say. A reap is given only in answer to a beat: a worker has one beat
// in flight, so no launch given in an earlier answer can come after it.
func (h *Host) Orders(claims map[ledger.Task]*ledger.Held, epoch uint64, answer bool) []wire.Command {
	var launches, stops, reaps []wire.Command
	for t, c := range claims {
		m, there := h.Members[t]
		there = there && m.Try == c.Try
		switch {
		case c.Over || c.Tenure != h.Tenure:
		case c.Job.Withdrawn || c.Stopping:
			if m.Phase != wire.TaskExited {
				o := wire.Command{Action: wire.ActionStop, Task: t.String(), Attempt: c.Try}
				if !c.Job.Withdrawn && m.Phase != wire.TaskSaving {
					o.GraceSeconds = c.Job.Spec.CheckpointSaveSeconds // it goes on elsewhere: let it save
				} else if !c.Job.Withdrawn {
					continue
				}
				stops = append(stops, o)
			}
		case !there && c.Committed && !c.Unsure:
			c.Sent, c.SentEpoch = true, epoch
			launches = append(launches, wire.Command{Action: wire.ActionStart, Task: t.String(), Attempt: c.Try})
		}
	}
	for t, m := range h.Members {
		if c := claims[t]; c != nil && c.Try == m.Try || m.Kept {
			continue
		}
		if m.Phase != wire.TaskExited {
			stops = append(stops, wire.Command{Action: wire.ActionStop, Task: t.String(), Attempt: m.Try})
		} else if answer && !h.InFlight && h.Taint < max(h.Epoch, 1) {
			reaps = append(reaps, wire.Command{Action: wire.ActionForget, Task: t.String(), Attempt: m.Try})
		}
	}
	return slices.Concat(stops, reaps, launches)
}
