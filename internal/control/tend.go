package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/audit"
	"rillflow/internal/fleet"
	"rillflow/internal/history"
	"rillflow/internal/lead"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// tend looks after what only time brings: leases that run out, hosts that do
// not come over to this leader, orders to be given again.
func (r *reign) tend(ctx context.Context) error {
	tick := time.NewTicker(r.set.Report() / 6)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		r.mu.Lock()
		now := r.now()
		r.heed()
		r.expire(now)
		r.evacuate(now)
		deaf := r.deaf(now)
		poll := r.strangers(now)
		r.mu.Unlock()
		kick(r.plans)
		kick(r.flushes)
		if deaf {
			r.el.Resign(r.set.Lease(), "no worker is heard")
		}
		for _, h := range poll {
			r.group.Go(func() error { r.poll(ctx, h); return nil })
		}
	}
}

// expire frees the claims of hosts whose lease is surely over: the worker has
// shown an epoch since which nobody else may answer it, and both that and its last
// answer are more than a lease ago by the slowest of clocks. Until it showed the
// epoch, another may have renewed its lease under an earlier one: an owner behind
// the same cut does, and a poll right after the cut brings the epoch.
func (r *reign) expire(now time.Time) {
	over := r.leaseOver()
	for _, h := range r.hosts {
		if h.LastHeartbeat.IsZero() || h.SoleOwnerEpoch == 0 || h.SeenEpoch < h.SoleOwnerEpoch || now.Sub(h.LastAnswered) < over || now.Sub(h.EpochSeenAt) < over {
			continue
		}
		for _, c := range r.led.OnHost(h.Name) {
			// A claim of a tenure not yet heard of cannot be.
			if c.Tenure <= h.Incarnation {
				r.lost(c, "lease over")
			}
		}
	}
}

// deaf tells whether this controller, and not the workers, is cut off: all
// fell silent at about the same time though several there are. Where its peers
// hear none either, another leader would be no better off.
func (r *reign) deaf(now time.Time) bool {
	if len(r.set.Members) == 0 || r.heard.IsZero() {
		return false
	}
	up := 0
	for _, h := range r.hosts {
		if !h.LastHeartbeat.IsZero() {
			up++
		}
	}
	return up >= 4 && now.Sub(r.heard) > 2*r.set.Report() && !r.parts.Unheard()
}

// strangers are hosts that are up but have not come to this leader yet, stay
// with a node that no longer owns them, or are late with a report.
func (r *reign) strangers(now time.Time) []*agent.Worker {
	var hs []*agent.Worker
	for _, l := range r.listed {
		if _, gone := r.gone[l.Name]; gone || l.Phase != wire.PhaseRunning || l.Address == "" {
			continue
		}
		h := r.host(l.Name)
		strange := h.LastHeartbeat.IsZero() && now.Sub(r.began) > r.set.Report()/2 ||
			!h.LastHeartbeat.IsZero() && now.Sub(h.LastHeartbeat) > 3*r.set.Report()/2
		if strange && !h.Polling && len(hs) < 16 {
			h.Polling = true
			h.Address, h.InstanceType, h.Spot = l.Address, l.InstanceType, l.Spot
			r.zoned(h, l.Zone)
			hs = append(hs, h)
		}
	}
	return hs
}

// poll asks a host for its report and shows it this leader's epoch, so that it
// turns from whoever answers it still.
func (r *reign) poll(ctx context.Context, h *agent.Worker) {
	r.mu.Lock()
	addr := h.Address
	r.mu.Unlock()
	rep, err := r.direct.Status(ctx, addr)
	r.mu.Lock()
	h.Polling = false
	r.mu.Unlock()
	if err != nil {
		return
	}
	r.mu.Lock()
	r.report(rep)
	r.mu.Unlock()
	if rep.Epoch < r.term.Epoch() {
		rep, _, err = r.direct.Send(ctx, addr, wire.CommandBatch{Epoch: r.term.Epoch(), Incarnation: rep.Incarnation, Commands: []wire.Command{}})
		if err == nil {
			r.mu.Lock()
			r.report(rep)
			r.mu.Unlock()
		}
	}
}

// rent keeps the fleet: it reads the machine list, returns what is idle, and
// rents what is needed.
func (r *reign) rent(ctx context.Context) error {
	every := max(r.set.Report()/2, time.Duration(float64(time.Second)*4/r.set.Facts.Cloud.RPS))
	for n := 0; ; n++ {
		if !r.term.Sure(r.now()) {
			if !sleep(ctx, every) {
				return ctx.Err()
			}
			continue
		}
		if n%2 == 0 {
			if list, err := r.cloud.ListInstances(ctx); err == nil {
				r.mu.Lock()
				r.merge(list)
				r.mu.Unlock()
			} else {
				r.log.Debug("machine list", "err", err)
			}
		}
		r.adjust(ctx)
		if !sleep(ctx, every) {
			return ctx.Err()
		}
	}
}

// reclaim returns faulty machines. It has a duty of its own: what ran on a dead
// machine waits for its return, and renting can take many requests. Where this leader
// may have been replaced it returns only what a withdrawn task would outlive its time on:
// that ends tasks, and can start none.
func (r *reign) reclaim(ctx context.Context) error {
	for sleep(ctx, r.set.Report()/6) {
		r.mu.Lock()
		now := r.now()
		sure := r.term.Sure(now)
		var bad []string
		if sure {
			bad = r.faulty(now)
		} else {
			bad = r.overdue(now)
		}
		bad = bad[:min(len(bad), maxRelease)]
		for _, name := range bad {
			if r.gone[name].IsZero() {
				r.gone[name] = time.Time{} // no new tasks from here on
			}
		}
		r.mu.Unlock()
		if len(bad) > 0 && (!sure || r.term.Sure(r.now())) {
			r.release(ctx, bad)
		}
	}
	return ctx.Err()
}

// maxRelease is the protocol's limit on the names in a release.
const maxRelease = 100

// adjust returns what is idle, drains what is too much, and rents
// what is needed, one request after the other: how much each brings shows only
// in its answer.
func (r *reign) adjust(ctx context.Context) {
	for n := 0; n < 32 && r.term.Sure(r.now()); n++ {
		r.mu.Lock()
		now := r.now()
		var bad []string
		var plan fleet.Plan
		// What an earlier leader rented shows within a report interval.
		if types := r.types.InstanceTypes(); types != nil && (r.term.History().Phase == history.Open || now.Sub(r.began) > r.set.Report()) {
			ms := r.machines(now)
			plan = r.rents.Plan(types, ms, r.need(ms, now), now)
		}
		for _, name := range plan.Release {
			// Not a host that was given a task since it was looked at.
			if len(r.led.OnHost(name)) == 0 {
				bad = append(bad, name)
				r.returning(name, "idle", now)
			}
		}
		bad = bad[:min(len(bad), maxRelease)]
		for _, name := range bad {
			r.gone[name] = time.Time{} // no new tasks from here on
		}
		r.drain(plan, now)
		r.mu.Unlock()
		if len(bad) > 0 {
			r.release(ctx, bad)
		}
		if len(plan.ScaleOut) == 0 || r.full() {
			return // more machines than there is memory for are of no use
		}
		q := plan.ScaleOut[0]
		names, err := r.cloud.RequestInstances(ctx, q)
		r.mu.Lock()
		r.rented(q, names, err)
		r.mu.Unlock()
	}
}

// drain marks machines that are to empty, and moves replicas off them, a few at
// a time and each to a machine where it starts at once, so that little of the service
// is gone and only for a moment.
func (r *reign) drain(plan fleet.Plan, now time.Time) {
	for _, name := range plan.Drain {
		if h := r.hosts[name]; h != nil {
			r.log.Info("draining", "host", name, "claims", len(r.led.OnHost(name)))
			h.Draining = true
		}
	}
	var rooms []*room
	moved := make(map[string]bool)
	few := max(4, len(r.sorted)/32)
	for _, h := range r.sorted {
		if !h.Draining {
			continue
		}
		if plan.CancelDrains || slices.Contains(plan.CancelDrainZones, h.Zone) || plan.ReuseDrained && !r.replicas(h) {
			h.Draining = false
			kick(r.plans)
			continue
		}
		if rooms == nil {
			rooms = r.rooms(now)
		}
		for _, c := range r.led.OnHost(h.Name) {
			j := c.Job
			if len(moved) >= few || moved[j.Ref] || c.Stopping || !r.settled(c, now) || j.Spec.Kind != wire.KindService ||
				j.Active() < j.Spec.TaskCount {
				continue
			}
			m := r.elsewhere(c, rooms, plan.ReuseDrained)
			if m == nil {
				continue
			}
			m.take(j)
			moved[j.Ref] = true
			c.Stopping = true
			r.rec.task(now, audit.Stopped, c, "its machine is drained", "")
			h.WakeSender()
		}
	}
}

// replicas tells whether any replica is on a host.
func (r *reign) replicas(h *agent.Worker) bool {
	for _, c := range r.led.OnHost(h.Name) {
		if c.Job.Spec.Kind == wire.KindService {
			return true
		}
	}
	return false
}

// settled tells whether a task has run long enough to be moved: one stopped
// soon after its start was as good as never started to its users.
func (r *reign) settled(c *ledger.Held, now time.Time) bool {
	return !c.Running.IsZero() && now.Sub(c.Running) > 2*r.set.Lease()
}

// elsewhere finds a replica a place on another machine that has its image, where
// it is back within some 30 ms. A fetch would take it away for a second.
//
// Where it is moved to make room, only a smaller machine will do.
func (r *reign) elsewhere(c *ledger.Held, rooms []*room, smaller bool) *room {
	j := c.Job
	own := 0.0
	if h := r.hosts[c.Host]; h != nil {
		if t := r.types.InstanceTypes()[h.InstanceType]; t != nil {
			own = t.CPUs
		}
	}
	for _, m := range rooms {
		if m.h.Name == c.Host || m.h.Draining || !m.fits(j) || !m.h.HasImage(j.Spec.Image) || smaller && m.t.CPUs >= own {
			continue
		}
		free := r.led.ZoneRoom(j, m.h.Zone)
		if m.h.Zone == c.Zone {
			free++ // its own place comes free
		}
		if free > 0 {
			return m
		}
	}
	return nil
}

func (r *reign) rented(q wire.ScaleOutRequest, names []string, err error) {
	now := r.now()
	if err != nil && !errors.Is(err, fleet.ErrNoCapacity) {
		r.log.Debug("rent", "ask", q.RequestID, "err", err)
	}
	r.rents.RecordAnswer(q, len(names), now)
	if len(names) > 0 {
		r.log.Info("rented", "flavor", q.InstanceType, "zone", q.Zone, "loaners", q.Spot, "asked", q.Count, "got", len(names), "hosts", names)
	}
	for _, n := range names {
		if _, ok := r.listed[n]; !ok {
			r.listed[n] = wire.Instance{Name: n, InstanceType: q.InstanceType, Zone: q.Zone, Spot: q.Spot, Phase: wire.InstanceStarting}
		}
		h := r.host(n)
		h.InstanceType, h.Spot = q.InstanceType, q.Spot
		r.zoned(h, q.Zone)
		h.RequestedAt = now
	}
}

// returning tells why a machine is about to be returned.
func (r *reign) returning(name, why string, now time.Time) {
	r.log.Info("returning", "host", name, "why", why, "claims", len(r.led.OnHost(name)))
	r.rec.note(now, audit.Entry{Act: audit.Returned, On: name, Why: why})
}

// release returns machines. The answer is proof that what was on them is gone.
func (r *reign) release(ctx context.Context, names []string) {
	err := r.cloud.ReleaseInstances(ctx, names)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.log.Info("release", "hosts", len(names), "err", err)
		return
	}
	now := r.now()
	for _, n := range names {
		r.gone[n] = now
		if h := r.hosts[n]; h != nil {
			r.rents.RecordRelease(fleet.Instance{InstanceType: h.InstanceType, Zone: h.Zone, Spot: h.Spot})
		}
		for _, c := range r.led.OnHost(n) {
			r.lost(c, "machine returned")
		}
		if h := r.hosts[n]; h != nil {
			r.leave(h)
			h.WakeSender() // ends its sender
		}
		delete(r.listed, n)
	}
	kick(r.plans)
	kick(r.flushes)
}

// merge takes in the machine list. It lags, so what is missing from it is not
// thereby gone.
func (r *reign) merge(list []wire.Instance) {
	now := r.now()
	lag := time.Duration(r.set.Facts.Cloud.ListLagS * float64(time.Second))
	present := make(map[string]bool, len(list))
	for _, l := range list {
		present[l.Name] = true
		if at, gone := r.gone[l.Name]; gone && !at.IsZero() {
			if now.Sub(at) < 3*lag+r.set.Report() {
				continue // the list is behind
			}
		}
		r.listed[l.Name] = l
		h := r.host(l.Name)
		if h.RequestedAt.IsZero() {
			h.RequestedAt = now.Add(-time.Duration(l.AgeSeconds * float64(time.Second)))
		}
		if h.LastHeartbeat.IsZero() {
			h.InstanceType, h.Spot = l.InstanceType, l.Spot
			r.zoned(h, l.Zone)
		}
		if l.Phase == wire.PhaseRunning && h.ListedRunningAt.IsZero() {
			h.ListedRunningAt = now
		}
	}
	for name, at := range r.gone {
		if !at.IsZero() && !present[name] && now.Sub(at) > 4*lag+r.set.Lease() {
			delete(r.gone, name)
		}
	}
}

// faulty are machines to be returned: failed or silent ones, those that never
// come up, and those that fail what they start.
func (r *reign) faulty(now time.Time) []string {
	silence := time.Duration(r.set.Operator.Fleet.Silence * float64(r.set.Report()))
	types := r.types.InstanceTypes()
	r.listen(now)
	var out []string
	for _, h := range r.sorted {
		why := ""
		l, listed := r.listed[h.Name]
		t := types[h.InstanceType]
		claims := r.led.OnHost(h.Name)
		at, leaving := r.gone[h.Name]
		switch {
		case leaving && at.IsZero():
			why = "again" // its release was not answered
		case listed && l.Phase == wire.InstanceFailed:
			why = "failed"
		case r.outlives(h, now):
			why = "withdrawn task"
		case r.cutOff(h, now):
			if len(claims) > 0 && r.deserted(h, now) {
				why = "lease over"
			}
		case (!h.LastHeartbeat.IsZero() || !h.ListedRunningAt.IsZero()) && r.quietFor(h, now) > silence,
			// The cloud said it would take it: there is less to doubt.
			!h.ReclaimAt.IsZero() && now.After(h.ReclaimAt) && r.quietFor(h, now) > 3*r.set.Report()/2,
			h.LastHeartbeat.IsZero() && !listed && len(claims) > 0 && now.Sub(r.began) > r.set.Lease():
			why = "silent"
		case h.LastHeartbeat.IsZero() && h.ListedRunningAt.IsZero() && listed && l.Phase == wire.InstanceStarting && len(claims) == 0 &&
			t != nil && !h.RequestedAt.IsZero() && now.Sub(h.RequestedAt) > 4*time.Duration(t.BootSeconds*float64(time.Second)):
			why = "never up"
		case r.badHost(h) && !r.mostBad():
			why = "fails tasks"
			for _, c := range claims {
				if c.Job.Spec.Kind == wire.KindService && !c.Running.IsZero() && now.Sub(c.Running) > r.set.Lease() {
					why = "" // what runs there runs on; only new tasks fail
				}
			}
		}
		if why == "" {
			continue
		}
		if why != "again" {
			r.returning(h.Name, why, now)
		}
		out = append(out, h.Name)
	}
	return out
}

// mostBad tells whether so many machines fail tasks that the tasks are the
// likelier cause.
func (r *reign) mostBad() bool {
	bad, up := 0, 0
	for _, h := range r.hosts {
		if !h.LastHeartbeat.IsZero() {
			up++
			if r.badHost(h) {
				bad++
			}
		}
	}
	return bad*2 > up
}

// machines shows the fleet to the planner.
func (r *reign) machines(now time.Time) []fleet.Instance {
	ms := make([]fleet.Instance, 0, len(r.hosts))
	var rooms []*room // shared, so that no place is counted for two machines
	for _, h := range r.sorted {
		_, leaving := r.gone[h.Name]
		if h.InstanceType == "" {
			continue
		}
		claims := r.led.OnHost(h.Name)
		m := fleet.Instance{
			Name: h.Name, InstanceType: h.InstanceType, Zone: h.Zone, Spot: h.Spot,
			Up: !h.LastHeartbeat.IsZero(), Booting: h.LastHeartbeat.IsZero() && h.ListedRunningAt.IsZero(), Releasing: leaving || !h.ReclaimAt.IsZero() || r.badHost(h),
			Draining: h.Draining, RequestedAt: h.RequestedAt, Partitioned: r.cutOff(h, now),
			CanMoveReplicas: func() bool {
				if rooms == nil {
					rooms = r.rooms(now)
				}
				return r.movable(h, rooms, now)
			},
		}
		for _, c := range claims {
			if c.Job.Spec.Kind == wire.KindService {
				m.Replicas++
				m.ReplicaCores += c.Job.Spec.CPUs
			}
		}
		if m.Up && len(h.Tasks) == 0 && len(claims) == 0 {
			m.IdleSince = h.IdleSince
		}
		ms = append(ms, m)
	}
	return ms
}

// movable tells whether every replica on a host has a place elsewhere, and
// takes the places from the rooms. What it took is given back if one has none.
func (r *reign) movable(h *agent.Worker, rooms []*room, now time.Time) bool {
	var undo []func()
	for _, c := range r.led.OnHost(h.Name) {
		if c.Job.Spec.Kind != wire.KindService {
			continue
		}
		var m *room
		if r.settled(c, now) {
			m = r.elsewhere(c, rooms, !r.set.Frugal())
		}
		if m == nil {
			for _, f := range undo {
				f()
			}
			return false
		}
		m.take(c.Job)
		undo = append(undo, func() { m.give(c.Job) })
	}
	return true
}

// need sums up the work on hand, with what runs on machines behind a cut left out.
func (r *reign) need(ms []fleet.Instance, now time.Time) fleet.Demand {
	n := fleet.Demand{ZoneBoundCores: make(map[string]float64), FailoverCores: make(map[string]float64)}
	seen, waits := make(map[string]int), make(map[int]bool)
	cut := make(map[*ledger.Job]int)
	for _, m := range ms {
		if !m.Partitioned {
			continue
		}
		for _, c := range r.led.OnHost(m.Name) {
			// It cannot run elsewhere as yet. A replica that no controller
			// keeps alive there will have to, so there is to be room for it.
			if c.Job.Spec.Kind != wire.KindService || r.set.Covered(m.Zone) {
				cut[c.Job]++
			}
		}
	}
	for _, j := range r.led.Jobs() {
		if !j.Withdrawn && !j.Finished && j.Ready() && r.set.Ample(j.Spec.Class) {
			r.ahead[j.Spec.Team] = true
		}
	}
	passing, paced := make(map[string]float64), make(map[string]float64)
	zones := r.types.Zones()
	for _, j := range r.led.Jobs() {
		if j.Withdrawn || j.Finished || !j.Ready() {
			continue
		}
		s := &j.Spec
		cores := s.CPUs * float64(j.Unfinished()-cut[j])
		switch {
		case r.ahead[s.Team]: // up to the team's limit, whatever is on hand
		case s.AllowSpot:
			passing[s.Team] += cores
			paced[s.Team] += cores * r.pace(j, now)
			n.QueuedCores += s.CPUs * float64(min(j.WaitingTasks(), r.led.Headroom(j)))
		default:
			n.OnDemandCores += cores
			n.OnDemandJobs++
			if s.SpreadZones {
				n.SecondZoneCores = max(n.SecondZoneCores, s.CPUs*float64(s.TaskCount/2))
			}
			r.bounds(&n, j, zones)
			n.LargestServiceCores = max(n.LargestServiceCores, cores)
		}
		key := fmt.Sprint(s.CPUs, s.GPUs, s.MemoryGB, s.InstanceTypes, s.Zone, s.AllowSpot)
		k, ok := seen[key]
		if !ok {
			k = len(n.TaskShapes)
			seen[key] = k
			n.TaskShapes = append(n.TaskShapes, fleet.TaskShape{Cores: s.CPUs, Accel: s.GPUs, RAM: s.MemoryGB, InstanceTypes: s.InstanceTypes, Zone: s.Zone, SpotAllowed: s.AllowSpot})
		}
		n.TaskShapes[k].Weight += cores
		if !waits[k] && s.AllowSpot && min(j.WaitingTasks(), r.led.Headroom(j)) > 0 {
			waits[k] = true
			n.WaitingShapes = append(n.WaitingShapes, n.TaskShapes[k])
		}
	}
	for team := range r.ahead {
		n.ScaleAheadCores += r.led.Team(team).CPUsMax
	}
	for team, cores := range passing {
		n.SpotCores += min(cores, r.led.Team(team).CPUsMax)
		n.UrgentCores += min(paced[team], r.led.Team(team).CPUsMax)
	}
	return n
}

// bounds adds what a job's waiting tasks want of each zone because no other may take
// them, and what it has in each that others would take were the zone lost.
func (r *reign) bounds(n *fleet.Demand, j *ledger.Job, zones []string) {
	all := 0
	for _, z := range zones {
		all += max(0, r.led.ZoneRoom(j, z))
	}
	for _, z := range zones {
		// What the others may take, less what waits.
		others := all - max(0, r.led.ZoneRoom(j, z)) - j.WaitingTasks()
		n.ZoneBoundCores[z] += j.Spec.CPUs * float64(max(0, -others))
		n.FailoverCores[z] += j.Spec.CPUs * float64(min(j.InZone(z), max(0, others)))
	}
}

// pace is the share of a job's unfinished tasks that must run at once for it to
// be in time: all of them, or fewer where its time allows for more than one
// round. Half of the time left is counted on: run times are estimates, and the
// longest task of a job ends it.
func (r *reign) pace(j *ledger.Job, now time.Time) float64 {
	if left := r.left(j, now); left > 2*j.Spec.ExpectedSeconds {
		return 2 * j.Spec.ExpectedSeconds / left
	}
	return 1
}

// watchParts has the hosts parted anew when a node comes or goes, and hands over when
// the state service refuses this node alone. A term that was given up goes on until the
// next one is known, or, should nobody else lead, until a quarter of a lease after the state service
// could have had one.
func (r *reign) watchParts(ctx context.Context) error {
	refused := r.began
	for sleep(ctx, r.set.Report()/6) {
		now := r.now()
		if m := r.el.Known(); m.Epoch > r.term.Epoch() && m.Leader != r.set.Node {
			return fmt.Errorf("%w: %s leads under epoch %d", lead.ErrDeposed, m.Leader, m.Epoch)
		}
		if r.parts.Refused() {
			refused = now
		}
		if since, ok := r.term.Resigned(); ok {
			if now.Sub(since) > r.set.Lease()/4 && now.Sub(refused) > r.set.Lease()/4 {
				return errors.New("control: resigned, and nobody else leads")
			}
			continue
		}
		if node, alone := r.parts.Alone(); alone {
			r.el.Resign(r.set.Lease()/4, "the state service serves "+node+" but not this node")
			continue
		}
		have := r.term.Map().Parts
		// A raise without an answer may have been carried out late: owners then know
		// its epoch, and so do workers, whose reports this leader would turn away.
		if !slices.Equal(have, r.parts.Fit(have)) || r.el.Known().Epoch > r.term.Epoch() {
			kick(r.raises)
		}
	}
	return ctx.Err()
}
