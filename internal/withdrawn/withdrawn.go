// Package withdrawn keeps a promise: once a user was told that a job is withdrawn, its
// tasks are gone in time, whatever becomes of the state service. So before a user is told,
// every controller that may still answer a worker knows of it, or one that leads has taken
// it upon itself. To stop a task of a withdrawn job harms nobody and needs no leadership.
package withdrawn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rillflow/internal/wire"
)

// Options are what Notices are kept by.
type Options struct {
	Within  time.Duration // in which the tasks of a withdrawn job must be gone
	Max     int           // notices at most
	Peers   []string
	Refused func() bool // whether the state service has not answered for long
	Now     func() time.Time
}

// Notices are the withdrawals that were committed lately, as far as this node knows.
type Notices struct {
	opt   Options
	began time.Time

	mu     sync.Mutex
	m      map[string]*notice
	heir   bool // of one that is not young
	pruned time.Time
}

type notice struct {
	at    time.Time
	known map[string]bool // peers that are known to know
}

// New makes an empty set of notices.
func New(o Options) *Notices { return &Notices{opt: o, began: o.Now(), m: make(map[string]*notice)} }

// Capacity is how many jobs can be withdrawn while a notice is kept, at so many changes
// a second of the state service: each takes two, and all controllers share them.
func Capacity(writeRPS float64, within time.Duration) int {
	return int(writeRPS / 2 * keep * within.Seconds())
}

// keep is for how long a notice is kept, as a ratio to the time in which the tasks must
// be gone.
const keep = 2

// Add notes jobs whose withdrawal is committed, and tells whether there was room. from is
// the peer that told of them, or "".
func (n *Notices) Add(from string, refs ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.add(from, refs)
}

// add is Add with the lock held.
func (n *Notices) add(from string, refs []string) bool {
	n.prune()
	for _, ref := range refs {
		e := n.m[ref]
		if e == nil {
			if len(n.m) >= n.opt.Max {
				return false
			}
			e = &notice{at: n.opt.Now(), known: make(map[string]bool)}
			n.m[ref] = e
		}
		if from != "" {
			e.known[from] = true
		}
	}
	return true
}

// prune drops what has served its time. Nothing is dropped while the state service does
// not answer: a command that is held up may still start what only this notice stops.
// Run it with the lock held.
func (n *Notices) prune() {
	now := n.opt.Now()
	if now.Sub(n.pruned) < n.opt.Within/8 || n.opt.Refused() {
		return
	}
	n.pruned = now
	for ref, e := range n.m {
		if now.Sub(e.at) > keep*n.opt.Within {
			delete(n.m, ref)
		}
	}
}

// All are the jobs that are known to be withdrawn, by name.
func (n *Notices) All() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.prune()
	out := make([]string, 0, len(n.m))
	for ref := range n.m {
		out = append(out, ref)
	}
	slices.Sort(out)
	return out
}

// unknown are the jobs that a peer is not known to know, by name.
func (n *Notices) unknown(peer string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for ref, e := range n.m {
		if !e.known[peer] {
			out = append(out, ref)
		}
	}
	slices.Sort(out)
	return out
}

// knows notes that a peer knows of jobs.
func (n *Notices) knows(peer string, refs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ref := range refs {
		if e := n.m[ref]; e != nil {
			e.known[peer] = true
		}
	}
}

// begins notes a new connection to a peer: its process may be another, which knows
// nothing.
func (n *Notices) begins(peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.m {
		delete(e.known, peer)
	}
}

// Settled tells whether this node knows of every withdrawal that users were told of and
// whose tasks may still be there, those told of by a leader that has taken them upon
// itself aside: it has been there since, or has it from one that was. A process that has
// just begun has forgotten what it was told.
func (n *Notices) Settled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heir || n.opt.Now().Sub(n.began) > n.opt.Within
}

// Inherit takes over all that a settled peer knows, or, from "", all that a new leader
// found whose tasks may be left. It tells whether there was room.
func (n *Notices) Inherit(from string, refs ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	taken := n.add(from, refs)
	n.heir = n.heir || taken
	return taken
}

// Stops adds to the orders for a worker those that end tasks of withdrawn jobs on it.
func (n *Notices) Stops(rep *wire.Heartbeat, orders []wire.Command) []wire.Command {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.m) == 0 {
		return orders
	}
	for _, m := range rep.Tasks {
		if !n.has(m.Task) || m.Phase == wire.TaskExited ||
			slices.ContainsFunc(orders, func(o wire.Command) bool {
				return o.Action == wire.ActionStop && o.Task == m.Task && o.Attempt == m.Attempt
			}) {
			continue
		}
		orders = append(orders, wire.Command{Action: wire.ActionStop, Task: m.Task, Attempt: m.Attempt})
	}
	// An order that was made before the notice came starts nothing after it.
	return slices.DeleteFunc(orders, func(o wire.Command) bool { return o.Action == wire.ActionStart && n.has(o.Task) })
}

// has tells whether a task is of a job that is known to be withdrawn. Run it with the lock
// held.
func (n *Notices) has(member string) bool {
	ref, _, _ := strings.Cut(member, "/")
	return n.m[ref] != nil
}
