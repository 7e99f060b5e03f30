package placement

import (
	"cmp"
	"slices"
	"time"
)

// Offer is a part's free rooms with the types that wait for room. The leader
// makes it, since its ledger knows what is free; the part's owner picks.
type Offer struct {
	Rooms  []Room
	Queues []Queue
}

// Room is what is free on a machine.
type Room struct {
	Host              string
	Flavor            string
	Zone              string
	Loaners           bool
	Cores, Accel, RAM float64
	Total             float64  // the machine's cores
	Pull              float64  // image fetch rate, GB/s
	Images            []string // fetched
	Coming            []string // being fetched
	ComingGB          float64
	Held              string // kept for this job until it fits
	HeldTier          int
}

// Queue is a type with waiting tasks.
type Queue struct {
	Type  string
	Count int // unfinished tasks of the type
	Jobs  []Waiting
}

// Waiting is a job with waiting tasks, in the order they go within the type.
type Waiting struct {
	Ref               string
	Tasks             int // that wait and may be claimed now
	Tier              int
	Age               time.Duration
	Cores, Accel, RAM float64
	Bundle            string
	SizeGB            float64
	Standing          bool
	Loaners           bool
	Flavors           []string
	Zones             map[string]int // how many tasks each zone may take; nil: any
	Avoid             []string       // hosts where it failed
	Within            float64        // seconds in which its users want it started; 0: none stated
	Warm              []string       // zones where a machine has its image and room
}

// Picked is one pick, a bid until the ledger confirms it.
type Picked struct {
	Host   string
	Ref    string
	Tier   int
	Cost   float64
	Weight float64
}

// Before orders picks over all rooms: by tier, then by how well room and job
// suit each other, then by the rule's product.
func (p Picked) Before(q Picked) int {
	return cmp.Or(cmp.Compare(p.Tier, q.Tier), cmp.Compare(p.Cost, q.Cost), -cmp.Compare(p.Weight, q.Weight))
}

const slack = 1e-6

// fits tells whether a task fits a room that may take it.
func (w *Waiting) fits(r *Room) bool {
	return w.Tasks > 0 && w.Cores <= r.Cores+slack && w.Accel <= r.Accel+slack && w.RAM <= r.RAM+slack &&
		(w.Loaners || !r.Loaners) &&
		(len(w.Flavors) == 0 || slices.Contains(w.Flavors, r.Flavor)) &&
		(w.Zones == nil || w.Zones[r.Zone] > 0) &&
		!slices.Contains(w.Avoid, r.Host) &&
		(r.Held == "" || r.Held == w.Ref || w.Tier < r.HeldTier)
}

// Tuning are the rule's settings that are not the paper's.
type Tuning struct {
	Aged    time.Duration // tasks waiting longer go first
	NearTie float64       // products this close leave it to the image
	Firm    float64       // what a firm machine costs work that could run on a spot one, in seconds
}

// choice is a room with what it would take next.
type choice struct {
	room  *Room
	job   *Waiting // nil: nothing fits
	pick  Picked
	stale bool
}

// Choose lets each room pick by the rule, the best-suited room first, until
// nothing waiting fits, and returns the picks in that order. It changes the
// offer as it goes.
func (t *Table) Choose(o Offer, tune Tuning, now time.Time) []Picked {
	cs := make([]choice, len(o.Rooms))
	for i := range cs {
		cs[i].room = &o.Rooms[i]
		t.choose(&cs[i], o.Queues, tune, now)
	}
	var out []Picked
	for {
		best := -1
		for i := range cs {
			if cs[i].job != nil && (best < 0 || cs[i].pick.Before(cs[best].pick) < 0) {
				best = i
			}
		}
		if best < 0 {
			return out
		}
		c := &cs[best]
		if c.stale {
			c.stale = false
			if !c.job.fits(c.room) {
				t.choose(c, o.Queues, tune, now)
				continue
			}
		}
		r, w := c.room, c.job
		out = append(out, c.pick)
		w.Tasks--
		if w.Zones != nil {
			w.Zones[r.Zone]--
		}
		r.Cores -= w.Cores
		r.Accel -= w.Accel
		r.RAM -= w.RAM
		if !slices.Contains(r.Images, w.Bundle) && !slices.Contains(r.Coming, w.Bundle) {
			r.Coming = append(r.Coming, w.Bundle)
			r.ComingGB += w.SizeGB
		}
		for i := range cs {
			cs[i].stale = true
		}
		t.choose(c, o.Queues, tune, now)
	}
}

// choose finds what a room takes next.
func (t *Table) choose(c *choice, queues []Queue, tune Tuning, now time.Time) {
	c.job, c.stale = nil, false
	r := c.room
	var cands []Candidate
	var jobs []*Waiting
	for i := range queues {
		q := &queues[i]
		k := slices.IndexFunc(q.Jobs, func(w Waiting) bool { return w.fits(r) })
		if k < 0 {
			continue
		}
		w := &q.Jobs[k]
		cands = append(cands, Candidate{
			Type: q.Type, Tier: w.Tier, Age: w.Age,
			Weight: t.Weight(q.Count, Arm{q.Type, r.Flavor}, now),
			Image:  slices.Contains(r.Images, w.Bundle),
		})
		jobs = append(jobs, w)
	}
	i := Pick(cands, tune.Aged, tune.NearTie)
	if i < 0 {
		return
	}
	c.job = jobs[i]
	c.pick = Picked{Host: r.Host, Ref: c.job.Ref, Tier: cands[i].Tier, Weight: cands[i].Weight, Cost: c.job.cost(r, tune)}
}

// fetch is how long the room's machine would fetch until the task can start.
// Fetches share the rate.
func (w *Waiting) fetch(r *Room) float64 {
	switch {
	case r.Pull <= 0 || slices.Contains(r.Images, w.Bundle):
		return 0
	case slices.Contains(r.Coming, w.Bundle):
		return r.ComingGB / r.Pull
	}
	return (r.ComingGB + w.SizeGB) / r.Pull
}

// cost says how well a room suits a job: the lower the better.
func (w *Waiting) cost(r *Room, tune Tuning) float64 {
	left := r.Cores - w.Cores
	c := 0.0
	if r.Total > 0 {
		c += 0.1 * left / r.Total
	}
	fetch := w.fetch(r)
	if !w.Standing {
		if w.Loaners && !r.Loaners {
			c += tune.Firm
		}
		return c + fetch
	}
	// Replicas fill small machines first: large tasks have no use for them.
	// Up to the time their users name each second of fetch weighs; past it the
	// start is late and it weighs little.
	c += 0.01*r.Total + 0.5*min(fetch, w.Within) + 0.05*fetch
	if fetch > w.Within {
		c++
		// The start is late in any case. Where the zone has no machine with
		// the image and room to spare, make this one it: for those to come.
		if !slices.Contains(w.Warm, r.Zone) && w.Cores > 0 {
			c -= min(1, left/(8*w.Cores))
		}
	}
	return c
}
