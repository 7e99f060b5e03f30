package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/placement"
	"rillflow/internal/wire"
)

// plan has freed rooms filled whenever something changed.
func (r *reign) plan(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.plans:
		}
		for r.pass(ctx) {
		}
		// Reports come in flocks: one pass serves several.
		if !sleep(ctx, r.set.Report()/256) {
			return ctx.Err()
		}
	}
}

// maxJobs bounds the jobs of a type in one offer; the rest follow when these
// are placed.
const maxJobs = 64

// queue is a type with waiting tasks.
type queue struct {
	name  string
	count int // unfinished tasks of the type
	jobs  []*ledger.Job
}

// room is what is free on a host.
type room struct {
	h                 *agent.Host
	t                 *wire.MachineType
	cores, accel, ram float64
	held              *ledger.Job // kept for this one until it fits
}

// pass offers each part's rooms to its owner, and claims what the owners pick.
// It reports whether another pass may find more.
func (r *reign) pass(ctx context.Context) bool {
	r.mu.Lock()
	now := r.now()
	queues := r.queues(now)
	if len(queues) == 0 {
		r.mu.Unlock()
		return false
	}
	rooms := r.rooms(now)
	n := r.gangs(queues, rooms, now)
	r.hold(queues, rooms, now)
	offers := r.offers(queues, rooms, now)
	r.mu.Unlock()

	picks := r.ask(ctx, offers)

	r.mu.Lock()
	defer r.mu.Unlock()
	byName := make(map[string]*room, len(rooms))
	for _, m := range r.rooms(r.now()) { // reports came in meanwhile
		byName[m.h.Name] = m
	}
	passed := false
	for _, p := range picks {
		j, m := r.led.Job(p.Ref), byName[p.Host]
		if j == nil || m == nil || !m.fits(j) {
			continue
		}
		if r.tier(j) != p.Tier {
			passed = true // its team's guarantee is used up: others may come first
			continue
		}
		if r.take(m, j) {
			n++
		}
	}
	if n > 0 {
		kick(r.flushes)
	}
	if !passed {
		left := make([]*room, 0, len(byName))
		for _, m := range rooms {
			if now := byName[m.h.Name]; now != nil {
				left = append(left, now)
			}
		}
		r.preempt(queues, left, r.now())
	}
	return n > 0 && passed
}

// ask has the owners pick, all at once. An owner that does not answer soon has
// its rooms offered again with the next pass.
func (r *reign) ask(ctx context.Context, offers map[string]*placement.Offer) []placement.Picked {
	ctx, cancel := context.WithTimeout(ctx, r.set.Report()/12)
	defer cancel()
	var mu sync.Mutex
	var all []placement.Picked
	var wg sync.WaitGroup
	for node, o := range offers {
		wg.Go(func() {
			ps, err := r.parts.Pick(ctx, node, *o)
			if err != nil {
				r.log.Debug("picks", "owner", node, "err", err)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, ps...)
		})
	}
	wg.Wait()
	slices.SortStableFunc(all, placement.Picked.Before)
	return all
}

// offers makes the offer for each part: its rooms that something fits, and the
// types that wait.
func (r *reign) offers(queues []*queue, rooms []*room, now time.Time) map[string]*placement.Offer {
	var qs []placement.Queue
	for _, q := range queues {
		pq := placement.Queue{Type: q.name, Count: q.count}
		for _, j := range q.jobs {
			if w := r.waiting(j, rooms, now); w.Tasks > 0 && len(pq.Jobs) < maxJobs {
				pq.Jobs = append(pq.Jobs, w)
			}
		}
		if len(pq.Jobs) > 0 {
			qs = append(qs, pq)
		}
	}
	offers := make(map[string]*placement.Offer)
	parts := r.term.Map()
	for _, m := range rooms {
		if !slices.ContainsFunc(queues, func(q *queue) bool { return r.first(m, q) != nil }) {
			continue
		}
		owner := parts.Owner(m.h.Name)
		if offers[owner] == nil {
			offers[owner] = &placement.Offer{Queues: cloneQueues(qs)}
		}
		pr := placement.Room{
			Host: m.h.Name, Flavor: m.h.Flavor, Zone: m.h.Zone, Loaners: m.h.Loaners,
			Cores: m.cores, Accel: m.accel, RAM: m.ram, Total: m.t.Cores, Pull: m.t.PullRate,
		}
		for _, im := range m.h.Images {
			if im.Coming {
				pr.Coming = append(pr.Coming, im.Bundle)
				pr.ComingGB += im.GB
			} else {
				pr.Images = append(pr.Images, im.Bundle)
			}
		}
		if m.held != nil {
			pr.Held, pr.HeldTier = m.held.Ref, r.tier(m.held)
		}
		offers[owner].Rooms = append(offers[owner].Rooms, pr)
	}
	return offers
}

// cloneQueues copies what picking changes: each owner picks as if alone, and
// the ledger confirms the best of all picks.
func cloneQueues(qs []placement.Queue) []placement.Queue {
	out := slices.Clone(qs)
	for i := range out {
		out[i].Jobs = slices.Clone(out[i].Jobs)
		for k := range out[i].Jobs {
			out[i].Jobs[k].Zones = maps.Clone(out[i].Jobs[k].Zones)
		}
	}
	return out
}

// waiting describes a job to the owners.
func (r *reign) waiting(j *ledger.Job, rooms []*room, now time.Time) placement.Waiting {
	s := &j.Spec
	w := placement.Waiting{
		Ref: j.Ref, Tasks: j.WaitingTasks(), Tier: r.tier(j), Age: now.Sub(j.WaitingSince),
		Cores: s.Cores, Accel: s.Accel, RAM: s.RAM, Bundle: s.Bundle, SizeGB: s.SizeGB,
		Standing: s.Shape == wire.Standing, Loaners: s.Loaners, Flavors: s.Flavors,
		Avoid: slices.Sorted(maps.Keys(j.FailedOn)),
	}
	w.Within = r.within(j)
	if w.Standing {
		for _, m := range rooms {
			if m.h.HasImage(s.Bundle) && m.fits(j) && !slices.Contains(w.Warm, m.h.Zone) {
				w.Warm = append(w.Warm, m.h.Zone)
			}
		}
	}
	if j.Gang() {
		w.Tasks = 0 // the leader starts gangs itself, whole
	}
	w.Tasks = min(w.Tasks, r.led.Headroom(j))
	if s.Locale != "" || s.Scatter || s.SamePlace {
		w.Zones = make(map[string]int)
		for _, m := range rooms {
			w.Zones[m.h.Zone] = r.led.ZoneRoom(j, m.h.Zone)
		}
	}
	return w
}

// take claims the job's next task for a room.
func (r *reign) take(m *room, j *ledger.Job) bool {
	c, err := r.led.Claim(j, m.h.Name, m.h.Tenure, m.h.Zone)
	if err != nil {
		return false
	}
	m.h.Idle = time.Time{}
	m.h.Fetches(j.Spec.Bundle, j.Spec.SizeGB)
	r.log.Debug("claim", "task", c.Task(), "try", c.Try, "host", c.Host)
	m.cores -= j.Spec.Cores
	m.accel -= j.Spec.Accel
	m.ram -= j.Spec.RAM
	return true
}

// queues groups waiting jobs by type, each in the order its tasks go.
func (r *reign) queues(now time.Time) []*queue {
	byName := make(map[string]*queue)
	for _, j := range r.led.Jobs() {
		if j.Withdrawn || j.Finished {
			continue
		}
		name := r.typeOf(j)
		q := byName[name]
		if q == nil {
			q = &queue{name: name}
			byName[name] = q
		}
		q.count += j.Unfinished()
		if j.WaitingTasks() > 0 && !now.Before(j.RetryAt) {
			q.jobs = append(q.jobs, j)
		}
	}
	var qs []*queue
	for _, q := range byName {
		if len(q.jobs) == 0 {
			continue
		}
		order := make(map[*ledger.Job]urgency, len(q.jobs))
		for _, j := range q.jobs {
			order[j] = r.urgency(j, now)
		}
		slices.SortFunc(q.jobs, func(a, b *ledger.Job) int {
			return cmp.Or(order[a].compare(order[b]), a.At.Compare(b.At), cmp.Compare(a.Ref, b.Ref))
		})
		qs = append(qs, q)
	}
	slices.SortFunc(qs, func(a, b *queue) int { return cmp.Compare(a.name, b.name) })
	return qs
}

// within is how soon a job's users want its tasks started, in seconds; 0 if they
// name no time.
func (r *reign) within(j *ledger.Job) float64 {
	for _, o := range r.set.Facts.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class {
			return o.WithinS
		}
	}
	return 0
}

// urgency orders jobs within a type.
type urgency struct {
	stage int     // how many of the times its users named have become out of reach
	work  float64 // core-seconds left
}

// urgency looks at the times by which the job's users want it: its deadline,
// and the objectives of its class. A time that can no longer be met is past
// helping, so those that still can go first; among them the job with the least
// work left, for then the most jobs are in time when there is not room for all.
func (r *reign) urgency(j *ledger.Job, now time.Time) urgency {
	u := urgency{work: float64(j.Unfinished()) * max(j.Spec.Cores, 1) * max(j.Spec.ExpectS, 1)}
	done := now.Sub(j.At).Seconds() + j.Spec.ExpectS
	for _, o := range r.set.Facts.Objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		switch {
		case o.Kind == "finished" && done > o.WithinS,
			o.Kind == "deadline" && j.Spec.DueS > 0 && done > j.Spec.DueS*max(o.Times, 1):
			u.stage++
		}
	}
	return u
}

func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.stage, v.stage), cmp.Compare(u.work, v.work))
}

// usable tells whether a host may take new tasks.
func (r *reign) usable(h *agent.Host, now time.Time) bool {
	_, leaving := r.gone[h.Name]
	return !leaving && r.alive(h, now) && h.WarnAt.IsZero() && !h.Draining && !now.Before(h.Sulking) && !r.badHost(h)
}

func (r *reign) rooms(now time.Time) []*room {
	types := r.types.Types()
	var rooms []*room
	for _, h := range r.sortedHosts() {
		t := types[h.Flavor]
		if t == nil || !r.usable(h, now) {
			continue
		}
		m := &room{h: h, t: t, cores: t.Cores, accel: t.Accel, ram: t.RAM}
		claims := r.led.OnHost(h.Name)
		for _, c := range claims {
			if c.Over {
				continue
			}
			m.cores -= c.Job.Spec.Cores
			m.accel -= c.Job.Spec.Accel
			m.ram -= c.Job.Spec.RAM
		}
		stray := false
		for t, mem := range h.Members {
			if c := claims[t]; (c == nil || c.Try != mem.Try) && mem.Phase != wire.Ended {
				stray = true // takes room that no claim tells of
			}
		}
		if !stray {
			rooms = append(rooms, m)
		}
	}
	return rooms
}

const slack = 1e-6

// first is the type's first job whose next task fits the room.
func (r *reign) first(m *room, q *queue) *ledger.Job {
	for _, j := range q.jobs {
		if !j.Gang() && m.fits(j) && r.led.May(j, m.h.Zone) == nil {
			return j
		}
	}
	return nil
}

// fits tells whether a task of a job fits what is free.
func (m *room) fits(j *ledger.Job) bool {
	return within(&j.Spec, m.cores, m.accel, m.ram) && m.allowed(j)
}

// couldFit tells whether a task of a job would fit the machine were it empty.
func (m *room) couldFit(j *ledger.Job) bool {
	return within(&j.Spec, m.t.Cores, m.t.Accel, m.t.RAM) && m.allowed(j)
}

func within(s *wire.Job, cores, accel, ram float64) bool {
	return s.Cores <= cores+slack && s.Accel <= accel+slack && s.RAM <= ram+slack
}

// allowed tells whether a job may be on the room's machine at all.
func (m *room) allowed(j *ledger.Job) bool {
	s := &j.Spec
	return (s.Loaners || !m.h.Loaners) && (s.Locale == "" || s.Locale == m.h.Zone) &&
		(len(s.Flavors) == 0 || slices.Contains(s.Flavors, m.h.Flavor)) && !j.FailedOn[m.h.Name]
}

// tier orders jobs: what is within a guarantee before what is borrowed, and in
// each by rank.
func (r *reign) tier(j *ledger.Job) int {
	if r.led.Guaranteed(j) {
		return rankOf(j.Spec.Rank)
	}
	return rankOf("idle") + 1 + rankOf(j.Spec.Rank)
}

// rankOf orders ranks.
func rankOf(rank string) int {
	switch rank {
	case "production":
		return 0
	case "urgent":
		return 1
	case "standard":
		return 2
	}
	return 3
}
