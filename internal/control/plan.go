package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/placement"
	"rillflow/internal/wire"
)

// plan offers freed rooms to waiting tasks whenever something changed.
func (r *reign) plan(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.plans:
		}
		r.mu.Lock()
		n := r.place(r.now())
		r.mu.Unlock()
		if n > 0 {
			kick(r.flushes)
		}
		// Reports come in flocks: one pass serves several.
		if !sleep(ctx, r.set.Report()/256) {
			return ctx.Err()
		}
	}
}

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
	pick              *ledger.Job // nil: nothing fits
	held              *ledger.Job // kept for this one until it fits
	cand              placement.Candidate
	cost              float64
	stale             bool
}

// place claims tasks for rooms until nothing waiting fits, and returns how
// many.
func (r *reign) place(now time.Time) int {
	queues := r.queues(now)
	if len(queues) == 0 {
		return 0
	}
	rooms := r.rooms(now)
	n := r.gangs(queues, rooms, now)
	r.hold(queues, rooms, now)
	for _, m := range rooms {
		r.choose(m, queues, now)
	}
	for {
		best := -1
		for i, m := range rooms {
			if m.pick != nil && (best < 0 || sooner(m, rooms[best])) {
				best = i
			}
		}
		if best < 0 {
			return n
		}
		m := rooms[best]
		if m.stale || r.led.May(m.pick, m.h.Zone) != nil {
			m.stale = false
			r.choose(m, queues, now)
			continue
		}
		if !r.take(m, m.pick) {
			r.choose(m, queues, now)
			continue
		}
		n++
		// What a claim changes for the other rooms (a guarantee used up, a
		// zone filled) is looked at when their turn comes.
		for _, o := range rooms {
			o.stale = o.stale || o.pick != nil
		}
		m.stale = false
		r.choose(m, queues, now)
	}
}

// take claims the job's next task for a room.
func (r *reign) take(m *room, j *ledger.Job) bool {
	c, err := r.led.Claim(j, m.h.Name, m.h.Tenure, m.h.Zone)
	if err != nil {
		return false
	}
	m.h.Idle = time.Time{}
	m.h.Used(j.Spec.Bundle, j.Spec.SizeGB, m.t.LocalGB)
	r.log.Debug("claim", "task", c.Task(), "try", c.Try, "host", c.Host, "weight", m.cand.Weight)
	m.cores -= j.Spec.Cores
	m.accel -= j.Spec.Accel
	m.ram -= j.Spec.RAM
	return true
}

// sooner tells whether room a goes before room b: by what it would take, then
// by how well it suits it.
func sooner(a, b *room) bool {
	if a.cand.Tier != b.cand.Tier {
		return a.cand.Tier < b.cand.Tier
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.cand.Weight > b.cand.Weight
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
		slices.SortFunc(q.jobs, func(a, b *ledger.Job) int {
			return cmp.Or(due(a).Compare(due(b)), a.At.Compare(b.At), cmp.Compare(a.Ref, b.Ref))
		})
		qs = append(qs, q)
	}
	slices.SortFunc(qs, func(a, b *queue) int { return cmp.Compare(a.name, b.name) })
	return qs
}

// due orders jobs within a type: by deadline, or by age where there is none.
func due(j *ledger.Job) time.Time {
	if j.Spec.DueS > 0 {
		return j.At.Add(time.Duration(j.Spec.DueS * float64(time.Second)))
	}
	return j.At
}

// usable tells whether a host may take new tasks.
func (r *reign) usable(h *agent.Host, now time.Time) bool {
	_, leaving := r.gone[h.Name]
	return !leaving && r.alive(h, now) && h.WarnAt.IsZero() && !now.Before(h.Sulking) && !r.badHost(h)
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

// choose finds what a room takes next, by the rule.
func (r *reign) choose(m *room, queues []*queue, now time.Time) {
	m.pick = nil
	var cands []placement.Candidate
	var jobs []*ledger.Job
	for _, q := range queues {
		j := r.first(m, q)
		if j == nil {
			continue
		}
		tier := r.tier(j)
		if m.held != nil && m.held != j && tier >= r.tier(m.held) {
			continue
		}
		cands = append(cands, placement.Candidate{
			Type: q.name, Tier: tier, Age: now.Sub(j.WaitingSince),
			Weight: r.table.Weight(q.count, placement.Arm{Type: q.name, Machine: m.h.Flavor}, now),
			Image:  m.h.HasImage(j.Spec.Bundle),
		})
		jobs = append(jobs, j)
	}
	op := r.set.Operator.Placement
	i := placement.Pick(cands, time.Duration(op.WaitAge*float64(r.set.Lease())), op.NearTie)
	if i < 0 {
		return
	}
	m.pick, m.cand = jobs[i], cands[i]
	m.cost = r.cost(m, jobs[i])
}

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

// cost says how well a room suits a job, in seconds: the fetch of its image,
// then a firm machine taken by work that could run on a spot one, then room
// left over that is of less use.
func (r *reign) cost(m *room, j *ledger.Job) float64 {
	c := 0.0
	if !m.h.HasImage(j.Spec.Bundle) && m.t.PullRate > 0 {
		c += j.Spec.SizeGB / m.t.PullRate
	}
	if j.Spec.Loaners && !m.h.Loaners {
		c += r.set.Facts.Workers.ReportS
	}
	left := (m.cores - j.Spec.Cores) / m.t.Cores
	if j.Spec.Shape == wire.Standing {
		// Small machines first: large tasks have no use for them.
		return c + 0.1*left + 0.01*m.t.Cores
	}
	return c + 0.1*left
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
