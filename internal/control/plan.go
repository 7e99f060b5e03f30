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
	"rillflow/internal/settings"
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
		if !sleep(ctx, r.set.Report()/64) {
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
	h                 *agent.Worker
	t                 *wire.InstanceType
	cores, accel, ram float64
	held              *ledger.Job // kept for this one until it fits
}

// pass offers each part's rooms to its owner, and claims what the owners pick.
// It reports whether another pass may find more.
func (r *reign) pass(ctx context.Context) bool {
	r.mu.Lock()
	now := r.now()
	if r.holding(now) {
		r.mu.Unlock()
		return false
	}
	queues := r.queues(now)
	if len(queues) == 0 {
		r.mu.Unlock()
		return false
	}
	rooms := r.rooms(now)
	n := r.gangs(queues, rooms, now)
	r.hold(queues, rooms, now)
	look := newSurvey(rooms)
	offers := r.offers(queues, rooms, look, now)
	r.mu.Unlock()

	picks := r.ask(ctx, offers)

	r.mu.Lock()
	defer r.mu.Unlock()
	passed := false
	now = r.now()
	fresh := make(map[string]*room) // reports came in meanwhile
	for _, p := range picks {
		j, m := r.led.Job(p.Ref), fresh[p.Host]
		if m == nil {
			m = r.room(r.hosts[p.Host], now)
			fresh[p.Host] = m
		}
		if j == nil || m == nil || !m.fits(j) {
			continue
		}
		if r.tier(j) != p.Tier {
			passed = true // its team's guarantee is used up: others may come first
			continue
		}
		if r.claim(m, j) {
			n++
		}
	}
	if n > 0 {
		kick(r.flushes)
	}
	if !passed {
		r.preempt(queues, now)
	}
	return n > 0 && (passed || look.more)
}

// ask has the owners pick, all at once. For an owner that does not answer soon the
// leader picks, by the rates that it learned itself.
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
				// Its rooms would stand empty until the map is without it: for two report
				// intervals where two owners are out of reach.
				r.log.Debug("picks", "owner", node, "err", err)
				ps, err = r.parts.Pick(ctx, r.set.Node, *o)
				if err != nil {
					r.log.Debug("picks", "owner", r.set.Node, "err", err)
				}
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
func (r *reign) offers(queues []*queue, rooms []*room, look *survey, now time.Time) map[string]*placement.Offer {
	var qs []placement.Queue
	var jobs []*ledger.Job
	for _, q := range queues {
		pq := placement.Queue{Type: q.name, Count: q.count}
		for _, j := range q.jobs {
			if len(pq.Jobs) == maxJobs {
				break
			}
			if w := r.waiting(j, look, now); w.Tasks > 0 {
				pq.Jobs = append(pq.Jobs, w)
				jobs = append(jobs, j)
			}
		}
		if len(pq.Jobs) > 0 {
			qs = append(qs, pq)
		}
	}
	offers := make(map[string]*placement.Offer)
	if len(jobs) == 0 {
		return offers
	}
	// Most rooms of a full fleet have no room for even the least task.
	least := jobs[0].Spec
	for _, j := range jobs {
		least.CPUs, least.GPUs, least.MemoryGB = min(least.CPUs, j.Spec.CPUs), min(least.GPUs, j.Spec.GPUs), min(least.MemoryGB, j.Spec.MemoryGB)
	}
	parts := r.term.Map()
	for _, m := range rooms {
		if !within(&least, m.cores, m.accel, m.ram) ||
			!slices.ContainsFunc(jobs, func(j *ledger.Job) bool { return m.fits(j) && r.led.May(j, m.h.Zone) == nil }) {
			continue
		}
		owner := parts.Owner(m.h.Name)
		if offers[owner] == nil {
			offers[owner] = &placement.Offer{Queues: cloneQueues(qs)}
		}
		pr := placement.Room{
			Host: m.h.Name, Flavor: m.h.InstanceType, Zone: m.h.Zone, Loaners: m.h.Spot,
			Cores: m.cores, Accel: m.accel, RAM: m.ram, Total: m.t.CPUs, Pull: m.t.ImagePullGBPerSecond,
		}
		for _, im := range m.h.Images {
			if im.Pulling {
				pr.Coming = append(pr.Coming, im.Name)
				pr.ComingGB += im.SizeGB
			} else {
				pr.Images = append(pr.Images, im.Name)
			}
		}
		if m.held != nil {
			pr.Held, pr.HeldTier = m.held.Ref, r.tier(m.held)
		}
		offers[owner].Rooms = append(offers[owner].Rooms, pr)
	}
	return offers
}

// survey is what the jobs of a pass ask of all rooms, looked up once.
type survey struct {
	rooms []*room
	zones []string
	warm  map[string][]*room // rooms that have an image
	more  bool               // some waiting tasks were left out
}

func newSurvey(rooms []*room) *survey {
	v := &survey{rooms: rooms, warm: make(map[string][]*room)}
	for _, m := range rooms {
		if !slices.Contains(v.zones, m.h.Zone) {
			v.zones = append(v.zones, m.h.Zone)
		}
		for _, im := range m.h.Images {
			if !im.Pulling {
				v.warm[im.Name] = append(v.warm[im.Name], m)
			}
		}
	}
	return v
}

// firm is how many tasks of a job the free rooms of firm machines hold.
func (v *survey) firm(j *ledger.Job) int {
	n := 0
	for _, m := range v.rooms {
		if !m.h.Spot && m.fits(j) {
			n += slots(&j.Spec, m.cores, m.accel, m.ram)
		}
	}
	return n
}

// bound tells whether a job had better run on machines that the cloud does not
// take: others wait for it and have a deadline, so that one lost task holds all
// up, and the users name no price.
func (r *reign) bound(j *ledger.Job) bool {
	return !r.set.Frugal() && slices.ContainsFunc(r.lift(j).Due, func(t time.Time) bool { return !t.IsZero() })
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
func (r *reign) waiting(j *ledger.Job, look *survey, now time.Time) placement.Waiting {
	s := &j.Spec
	w := placement.Waiting{
		Ref: j.Ref, Tasks: j.WaitingTasks(), Tier: r.tier(j), Age: now.Sub(j.WaitingSince),
		Cores: s.CPUs, Accel: s.GPUs, RAM: s.MemoryGB, Bundle: s.Image, SizeGB: s.ImageGB,
		Standing: s.Kind == wire.KindService, Loaners: s.AllowSpot, Flavors: s.InstanceTypes,
		Avoid: slices.Sorted(maps.Keys(j.FailedOn)),
	}
	w.Within = r.within(j)
	if s.AllowSpot && r.bound(j) {
		// As many as half the firm room holds go there; what is left is
		// offered anew, until that is too few to be worth a pass.
		if n := look.firm(j) / 2; n > w.Tasks/8 {
			w.Loaners = false
			look.more = look.more || n < w.Tasks
			w.Tasks = min(w.Tasks, n)
		}
	}
	if w.Standing {
		for _, m := range look.warm[s.Image] {
			if !slices.Contains(w.Warm, m.h.Zone) && m.fits(j) {
				w.Warm = append(w.Warm, m.h.Zone)
			}
		}
	}
	if j.Gang() {
		w.Tasks = 0 // the leader starts gangs itself, whole
	}
	w.Tasks = min(w.Tasks, r.led.Headroom(j))
	if s.Zone != "" || s.SpreadZones || s.SingleZone {
		w.Zones = make(map[string]int)
		for _, z := range look.zones {
			w.Zones[z] = r.led.ZoneRoom(j, z)
		}
	}
	return w
}

// claim claims the job's next task for a room.
func (r *reign) claim(m *room, j *ledger.Job) bool {
	c, err := r.led.Claim(j, m.h.Name, m.h.Incarnation, m.h.Zone)
	if err != nil {
		return false
	}
	m.h.IdleSince = time.Time{}
	m.h.RecordPull(j.Spec.Image, j.Spec.ImageGB)
	r.log.Debug("claim", "task", c.Task(), "try", c.Try, "host", c.Host)
	m.take(j)
	r.placed(j)
	return true
}

// take and give account for one task of a job.
func (m *room) take(j *ledger.Job) {
	m.cores -= j.Spec.CPUs
	m.accel -= j.Spec.GPUs
	m.ram -= j.Spec.MemoryGB
}

func (m *room) give(j *ledger.Job) {
	m.cores += j.Spec.CPUs
	m.accel += j.Spec.GPUs
	m.ram += j.Spec.MemoryGB
}

// queues groups waiting jobs by type, each in the order its tasks go.
func (r *reign) queues(now time.Time) []*queue {
	byName := make(map[string]*queue)
	for _, j := range r.led.Jobs() {
		if j.Withdrawn || j.Finished || !j.Ready() {
			continue // what waits for another job is no queue's yet
		}
		if j.Type == "" {
			j.Type = r.typeOf(j)
		}
		q := byName[j.Type]
		if q == nil {
			q = &queue{name: j.Type}
			byName[j.Type] = q
		}
		q.count += j.Unfinished()
		if j.WaitingTasks() > 0 && !now.Before(j.RetryAt) && !r.withheld(j) {
			q.jobs = append(q.jobs, j)
		}
	}
	var qs []*queue
	for _, q := range byName {
		if len(q.jobs) == 0 {
			continue
		}
		r.order(q.jobs, now)
		qs = append(qs, q)
	}
	slices.SortFunc(qs, func(a, b *queue) int { return cmp.Compare(a.name, b.name) })
	return qs
}

// ordered is a job with what it is ordered by.
type ordered struct {
	j       *ledger.Job
	tier    int // teams of one type may stand differently to their guarantees
	u       urgency
	starved bool
}

// ration lets only as many jobs go first for being about to lose a time as there will
// be room for in that moment, the least work first: in a long overload nearly all are
// about to lose one, the largest would go before all others, and most would lose it all
// the same. What there is no room for has lost its time already, but for the clock.
func (r *reign) ration(es []ordered) {
	var last []*ordered
	for i := range es {
		if es[i].u.last {
			last = append(last, &es[i])
		}
	}
	if len(last) < 2 {
		return
	}
	slices.SortFunc(last, func(a, b *ordered) int {
		return cmp.Or(cmp.Compare(a.u.work, b.u.work), cmp.Compare(a.j.Ref, b.j.Ref))
	})
	margin := (r.set.Lease() / 2).Seconds()
	room := make(map[string]float64) // cores by team
	for _, e := range last {
		s := &e.j.Spec
		if _, ok := room[s.Team]; !ok {
			limit, used := r.led.Team(s.Team).CPUsMax, r.led.Usage(s.Team).CPUs
			room[s.Team] = limit - used + used*min(1, margin/max(s.ExpectedSeconds, 1))
		}
		if room[s.Team] <= 0 {
			e.u.last = false
			e.u.stage++
			continue
		}
		room[s.Team] -= float64(e.j.WaitingTasks()) * max(s.CPUs, 1)
	}
}

// order sorts jobs as their tasks go within a type.
func (r *reign) order(jobs []*ledger.Job, now time.Time) {
	es := make([]ordered, len(jobs))
	for i, j := range jobs {
		es[i] = ordered{j, r.tier(j), r.urgency(j, now), r.starved(j, now)}
	}
	r.ration(es)
	r.share(es)
	slices.SortFunc(es, func(a, b ordered) int {
		switch {
		case a.tier != b.tier:
			return cmp.Compare(a.tier, b.tier)
		case a.starved && !b.starved:
			return -1
		case b.starved && !a.starved:
			return 1
		case a.starved:
			return cmp.Or(a.j.WaitingSince.Compare(b.j.WaitingSince), cmp.Compare(a.j.Ref, b.j.Ref))
		}
		return cmp.Or(a.u.compare(b.u), a.j.ReadyAt.Compare(b.j.ReadyAt), cmp.Compare(a.j.Ref, b.j.Ref))
	})
	for i, e := range es {
		jobs[i] = e.j
	}
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
	last  bool    // a time of it is lost unless it starts about now
	stage int     // how many of the times its users named have become out of reach
	work  float64 // core-seconds left
}

// urgency looks at the times by which the job's users want it: its deadline,
// and the objectives of its class. A time that can no longer be met is past
// helping, so those that still can go first; among them the job with the least
// work left, for then the most jobs are in time when there is not room for all.
// But a job goes first when one of its times is about to be lost, before all others
// if it has lost one already: large arrays would otherwise wait for as long as small
// ones keep coming.
func (r *reign) urgency(j *ledger.Job, now time.Time) urgency {
	u := urgency{work: float64(j.Unfinished()) * max(j.Spec.CPUs, 1) * max(j.Spec.ExpectedSeconds, 1)}
	run := settings.Seconds(j.Spec.ExpectedSeconds)
	margin, standing := r.set.Lease()/2, j.Spec.Kind == wire.KindService
	for k, o := range r.set.Facts.Objectives {
		by := r.wanted(k, j)
		start := by.Add(-time.Duration(longest * float64(run))) // at the latest
		if o.Kind == "wait" && o.Class == j.Spec.Class {
			from := j.ReadyAt
			if standing {
				from = j.WaitingSince // one that ran and was lost goes with the new ones
			}
			by = from.Add(settings.Seconds(o.WithinS)).Add(run)
			start = by.Add(-run)
		}
		switch {
		case by.IsZero():
		case now.Add(run).After(by):
			// Of replicas too: late, they start late whenever they do, and where room of a
			// kind is short for good they would keep all others waiting as well.
			u.stage++
		case !standing && now.Add(margin).After(start):
			u.last = true
		}
	}
	return u
}

// wanted is the time by which an objective, given by its number, wants a job
// done; zero if it names none. A deadline counts from the submission and binds
// what the job needs too, all else counts from when the job could start.
func (r *reign) wanted(k int, j *ledger.Job) time.Time {
	o := &r.set.Facts.Objectives[k]
	if o.Kind == "finished" && o.Class == j.Spec.Class {
		return j.ReadyAt.Add(settings.Seconds(o.WithinS))
	}
	return r.lift(j).Due[k]
}

// left is the time until the first that a job can still be done by, in seconds;
// 0 if there is none.
func (r *reign) left(j *ledger.Job, now time.Time) float64 {
	least := 0.0
	for k := range r.set.Facts.Objectives {
		by := r.wanted(k, j)
		if left := by.Sub(now).Seconds(); !by.IsZero() && left >= j.Spec.ExpectedSeconds && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

func (u urgency) compare(v urgency) int {
	switch {
	case u.last != v.last && u.last:
		return -1
	case u.last != v.last:
		return 1
	case u.last:
		return cmp.Or(-cmp.Compare(min(u.stage, 1), min(v.stage, 1)), cmp.Compare(u.work, v.work))
	}
	return cmp.Or(cmp.Compare(u.stage, v.stage), cmp.Compare(u.work, v.work))
}

// usable tells whether a host may take new tasks.
func (r *reign) usable(h *agent.Worker, now time.Time) bool {
	_, leaving := r.gone[h.Name]
	return !leaving && r.alive(h, now) && h.ReclaimAt.IsZero() && !h.Draining && !now.Before(h.StartBackoffUntil) && !r.shunned(h, now)
}

func (r *reign) rooms(now time.Time) []*room {
	rooms := make([]*room, 0, len(r.sorted))
	for _, h := range r.sorted {
		if m := r.room(h, now); m != nil {
			rooms = append(rooms, m)
		}
	}
	return rooms
}

// room is what is free on a host, or nil if it may not take new tasks.
func (r *reign) room(h *agent.Worker, now time.Time) *room {
	if h == nil || h.HasUnclaimedTask || !r.usable(h, now) {
		return nil
	}
	t := r.types.InstanceTypes()[h.InstanceType]
	if t == nil {
		return nil
	}
	u := r.led.Used(h.Name)
	return &room{h: h, t: t, cores: t.CPUs - u.Cores, accel: t.GPUs - u.Accel, ram: t.MemoryGB - u.RAM}
}

const slack = 1e-6

// fits tells whether a task of a job fits what is free.
func (m *room) fits(j *ledger.Job) bool {
	return within(&j.Spec, m.cores, m.accel, m.ram) && m.allowed(j)
}

// couldFit tells whether a task of a job would fit the machine were it empty.
func (m *room) couldFit(j *ledger.Job) bool {
	return within(&j.Spec, m.t.CPUs, m.t.GPUs, m.t.MemoryGB) && m.allowed(j)
}

func within(s *wire.Job, cores, accel, ram float64) bool {
	return s.CPUs <= cores+slack && s.GPUs <= accel+slack && s.MemoryGB <= ram+slack
}

// allowed tells whether a job may be on the room's machine at all.
func (m *room) allowed(j *ledger.Job) bool {
	s := &j.Spec
	return (s.AllowSpot || !m.h.Spot) && (s.Zone == "" || s.Zone == m.h.Zone) &&
		(len(s.InstanceTypes) == 0 || slices.Contains(s.InstanceTypes, m.h.InstanceType)) && !j.FailedOn[m.h.Name]
}

// tier orders jobs: what is within a guarantee before what is borrowed, and in
// each by rank.
func (r *reign) tier(j *ledger.Job) int {
	if r.led.Guaranteed(j) {
		return r.rank(j)
	}
	return rankOf("idle") + 1 + r.rank(j)
}

// named is a rank by its place.
func named(rank int) string { return wire.Priorities()[rank] }

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
