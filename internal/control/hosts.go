package control

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/audit"
	"rillflow/internal/ledger"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// ErrNotLeading: this controller may not act for the others.
var ErrNotLeading = errors.New("control: not leading")

// Beat takes in a worker's report and answers with its orders.
//
// What the host's tasks taught is returned too, if another node owns it.
func (c *Control) Beat(ctx context.Context, rep *wire.Heartbeat) (wire.CommandBatch, []agent.RuntimeSample, error) {
	r := c.cur.Load()
	if r == nil {
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	t := time.NewTimer(c.set.Report() / 2)
	defer t.Stop()
	select {
	case <-r.ready:
	case <-t.C:
		return wire.CommandBatch{}, nil, ErrNotLeading
	case <-ctx.Done():
		return wire.CommandBatch{}, nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch := r.term.Epoch()
	if rep.Epoch > epoch || r.ctx.Err() != nil {
		// The worker knows a later leader. A 200 would be dropped and hold
		// the worker here while its lease runs out.
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	h := r.report(rep)
	if h == nil {
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	now := r.now()
	if h.LastHeartbeat.IsZero() && !h.RequestedAt.IsZero() {
		r.log.Info("up", "host", h.Name, "flavor", h.InstanceType, "zone", h.Zone, "since_asked_s", now.Sub(h.RequestedAt).Seconds())
	}
	// Whatever is answered may renew the lease. But a report that comes after newer ones,
	// a late copy perhaps, tells nothing of how the machine is by now.
	h.LastAnswered = now
	out := wire.CommandBatch{Epoch: epoch, Commands: []wire.Command{}}
	if h.Incarnation == rep.Incarnation && h.Sequence == rep.Sequence {
		h.LastHeartbeat, r.heard = now, now
		if !r.doubted() {
			out.Commands = append(out.Commands, h.Commands(r.led.OnHost(h.Name), epoch, true)...)
			r.fence(h)
		}
	}
	learned := h.PendingSamples
	h.PendingSamples = nil
	return out, learned, nil
}

// host finds or makes a host.
func (r *reign) host(name string) *agent.Worker {
	h := r.hosts[name]
	if h == nil {
		h = agent.NewWorker(name)
		r.own(h, r.term.Map())
		r.enter(h)
		r.group.Go(func() error { return r.send(r.ctx, h) })
	}
	return h
}

// zoned notes a host's zone.
func (r *reign) zoned(h *agent.Worker, zone string) {
	if h.Zone != zone {
		h.Zone, h.SoleOwnerEpoch = zone, 0
		r.own(h, r.term.Map())
	}
}

// enter and leave keep the hosts and their order.
func (r *reign) enter(h *agent.Worker) {
	r.hosts[h.Name] = h
	i, _ := slices.BinarySearchFunc(r.sorted, h.Name, byName)
	r.sorted = slices.Insert(r.sorted, i, h)
}

func (r *reign) leave(h *agent.Worker) {
	delete(r.hosts, h.Name)
	if i, ok := slices.BinarySearchFunc(r.sorted, h.Name, byName); ok {
		r.sorted = slices.Delete(r.sorted, i, i+1)
	}
}

func byName(h *agent.Worker, name string) int { return strings.Compare(h.Name, name) }

// report takes in what a worker says, if it is news. It returns nil for a
// machine that was returned to the cloud: a late message from the past.
func (r *reign) report(rep *wire.Heartbeat) *agent.Worker {
	if at := r.gone[rep.Worker]; !at.IsZero() || rep.Worker == "" {
		return nil
	}
	h := r.host(rep.Worker)
	if !h.IsNewer(rep) {
		return h
	}
	now := r.now()
	news := h.HasUnclaimedTask || !r.usable(h, now) // it may be of use from now on
	used := r.led.Used(h.Name)
	h.Address, h.InstanceType, h.Spot = rep.Address, rep.InstanceType, rep.Spot
	r.zoned(h, rep.Zone)
	h.Sequence, h.LastUpdate = rep.Sequence, now
	if rep.Epoch > h.SeenEpoch {
		h.SeenEpoch, h.EpochSeenAt = rep.Epoch, now
	}
	if h.SeenEpoch > h.UnresolvedEpoch {
		h.UnresolvedEpoch = 0
	}
	h.ReclaimAt = time.Time{}
	if rep.SpotNoticeSeconds != nil {
		h.ReclaimAt = now.Add(time.Duration(*rep.SpotNoticeSeconds * float64(time.Second)))
	}
	if rep.Incarnation > h.Incarnation {
		h.Incarnation = rep.Incarnation
		h.Tasks = make(map[ledger.Task]agent.TaskStatus)
		h.UnresolvedEpoch = 0 // commands carry the tenure: none of the old ones is executed now
		for _, c := range r.led.OnHost(h.Name) {
			if c.Tenure < rep.Incarnation {
				r.abandon(c, h)
				r.lost(c, "new tenure")
			}
		}
	}
	r.members(h, rep, now)
	h.IdleSince = idleSince(h, len(r.led.OnHost(h.Name)), now)
	if !r.led.Empty() {
		kick(r.flushes)
	}
	// Most reports free no room: a pass for each would be for nothing.
	if news || used != r.led.Used(h.Name) {
		kick(r.plans)
	}
	return h
}

func idleSince(h *agent.Worker, claims int, now time.Time) time.Time {
	if claims > 0 || len(h.Tasks) > 0 {
		return time.Time{}
	}
	if h.IdleSince.IsZero() {
		return now
	}
	return h.IdleSince
}

// members compares a report's tasks with the claims.
func (r *reign) members(h *agent.Worker, rep *wire.Heartbeat, now time.Time) {
	claims := r.led.OnHost(h.Name)
	seen := make(map[ledger.Task]agent.TaskStatus, len(rep.Tasks))
	for _, m := range rep.Tasks {
		t, ok := ledger.ParseTask(m.Task)
		if !ok {
			continue
		}
		r.settle(h, t, m)
		claims = r.led.OnHost(h.Name)
		mem := agent.TaskStatus{Attempt: m.Attempt, Phase: m.Phase, EndCause: m.ExitReason, Since: now, Orphaned: r.stray(t)}
		if old, ok := h.Tasks[t]; ok && old.Attempt == m.Attempt && old.Phase == m.Phase {
			mem.Since = old.Since
		}
		c := claims[t]
		if have, twice := seen[t]; twice && c != nil && have.Attempt == c.Try {
			continue // of two tries on the machine the claimed one counts
		}
		seen[t] = mem
		if c == nil || c.Try != m.Attempt || c.Over {
			continue
		}
		switch m.Phase {
		case wire.PhaseRunning:
			if c.Running.IsZero() {
				c.Running = now
				r.started(c, h, now)
			}
		case wire.TaskExited:
			r.ended(c, h, m.ExitReason, now)
		}
	}
	h.Tasks, h.HasUnclaimedTask = seen, false
	for t, m := range seen {
		if c := claims[t]; (c == nil || c.Try != m.Attempt) && m.Phase != wire.TaskExited {
			h.HasUnclaimedTask = true
		}
	}
	// A withdrawn job's task that the worker does not have is gone once no
	// launch can reach the worker any more: it has seen a higher epoch than
	// any launch carried.
	for t, c := range claims {
		if _, there := seen[t]; !there && (c.Job.Withdrawn || c.Stopping || c.Unsure) && !h.CommandInFlight && h.SeenEpoch > c.SentEpoch {
			r.lost(c, "no launch can reach the machine")
		}
	}
}

// started notes that a task runs: its machine has the image.
func (r *reign) started(c *ledger.Held, h *agent.Worker, now time.Time) {
	cache := 0.0
	if t := r.types.InstanceTypes()[h.InstanceType]; t != nil {
		cache = t.DiskGB
	}
	h.RecordImageUse(c.Job.Spec.Image, c.Job.Spec.ImageGB, cache)
	r.took.observe(c, now)
	r.log.Debug("started", "task", c.Task(), "host", h.Name, "wait_s", now.Sub(c.Job.WaitingSince).Seconds())
}

// abandon notes that a task went before it ran; with the last that waited for
// its image the fetch goes too.
func (r *reign) abandon(c *ledger.Held, h *agent.Worker) {
	for _, o := range r.led.OnHost(h.Name) {
		if o != c && o.Job.Spec.Image == c.Job.Spec.Image {
			return
		}
	}
	h.RecordPullAbandoned(c.Job.Spec.Image)
}

// ended deals with a claimed task that its worker reports as ended.
func (r *reign) ended(c *ledger.Held, h *agent.Worker, cause string, now time.Time) {
	j := c.Job
	if c.Running.IsZero() {
		r.abandon(c, h)
	}
	r.log.Debug("ended", "task", c.Task(), "host", h.Name, "cause", cause)
	if j.Withdrawn {
		r.lost(c, "ended, withdrawn")
		return
	}
	if j.Gang() && cause != wire.ExitDone {
		// The others cannot go on without it: they start again together.
		for _, o := range r.led.HeldBy(j) {
			if o != c && !o.Over {
				o.Stopping = true
				r.rec.task(now, audit.Stopped, o, "a member of the gang ended", "")
				if host := r.hosts[o.Host]; host != nil {
					host.WakeSender()
				}
			}
		}
	}
	switch cause {
	case wire.ExitDone:
		if j.Spec.Kind == wire.KindService {
			r.lost(c, "ended")
			return
		}
		h.FailedJobs = nil
		j.Fails = 0
		// Only tasks that were seen running teach: a result that was kept
		// from an earlier try comes back at once and says nothing.
		if !c.Running.IsZero() {
			j.Ran.Sum += now.Sub(c.Running).Seconds()
			j.Ran.N++
			f := agent.RuntimeSample{JobType: r.typeOf(j), InstanceType: h.InstanceType, Duration: now.Sub(c.Running)}
			if r.term.Map().Owner(h.Name) == r.set.Node {
				r.parts.Learn(f)
			} else if len(h.PendingSamples) < 64 {
				h.PendingSamples = append(h.PendingSamples, f)
			}
		}
		r.led.Finish(c)
	case wire.ExitFailed:
		r.lost(c, "failed")
		r.failed(j, h, now)
	case wire.ExitNoCapacity:
		r.lost(c, "refused: no room")
		h.StartBackoffUntil = now.Add(r.set.Report())
	case wire.ExitDuplicate, wire.ExitUnknownTask:
		r.lost(c, "refused: "+cause)
		j.Fails++
		j.RetryAt = now.Add(r.pause(j.Fails))
	default: // halted
		r.lost(c, "halted")
	}
}

// failed counts a failure against the machine and the job. A job that fails on
// several machines and finishes nowhere is at fault itself, and is held back;
// a machine is at fault when jobs fail there that do not fail elsewhere.
func (r *reign) failed(j *ledger.Job, h *agent.Worker, now time.Time) {
	if j.FailedOn == nil {
		j.FailedOn = make(map[string]bool)
	}
	j.FailedOn[h.Name] = true
	j.Fails++
	if h.LastFailure = now; len(h.FailedJobs) < 16 {
		h.FailedJobs = append(h.FailedJobs, j.Ref)
	}
	r.log.Info("task failed", "job", j.Ref, "host", h.Name, "job_fails", j.Fails, "host_fails", len(h.FailedJobs))
	if r.badJob(j) {
		j.RetryAt = now.Add(r.pause(j.Fails))
	}
	if len(j.FailedOn) > 16 {
		clear(j.FailedOn)
	}
}

// pause is how long a job waits after so many failures in a row.
func (r *reign) pause(fails int) time.Duration {
	return min(r.set.Report()/2<<min(fails, 6), 2*r.set.Lease())
}

func (r *reign) badJob(j *ledger.Job) bool {
	if j.Done() > 0 {
		return false
	}
	n := 0
	for name := range j.FailedOn {
		if h := r.hosts[name]; h == nil || !r.badHost(h) {
			n++
		}
	}
	return n >= 2
}

// badHost tells whether a machine fails what it starts: two failures or more
// since its last success, of jobs that are not known to fail everywhere.
func (r *reign) badHost(h *agent.Worker) bool {
	n := 0
	for _, ref := range h.FailedJobs {
		if j := r.led.Job(ref); j == nil || j.Done() > 0 || len(j.FailedOn) < 3 {
			n++
		}
	}
	return n >= 2
}

// shunned tells whether a machine that fails what it starts is not to be tried for now. One
// that is not returned, because most do or for what runs on there, is tried again once in
// a lease: it may be well by then, and only a success shows that.
func (r *reign) shunned(h *agent.Worker, now time.Time) bool {
	return r.badHost(h) && now.Sub(h.LastFailure) < r.set.Lease()
}

// lost frees a claim on proof that its task is gone.
func (r *reign) lost(c *ledger.Held, why string) {
	r.log.Debug("task lost", "task", c.Task(), "host", c.Host, "why", why)
	now := r.now()
	r.rec.task(now, audit.Lost, c, why, "")
	r.led.Free(c, now)
}

// fence asks for a higher epoch when a host waits for one.
func (r *reign) fence(h *agent.Worker) {
	wait := h.UnresolvedEpoch != 0 && len(h.Tasks) > 0
	for t, c := range r.led.OnHost(h.Name) {
		if _, there := h.Tasks[t]; !there && (c.Job.Withdrawn || c.Stopping || c.Unsure) {
			wait = wait || h.SeenEpoch <= c.SentEpoch
		}
	}
	if wait && h.SeenEpoch >= r.term.Epoch() {
		kick(r.raises)
	}
}

// send commands one host directly whenever it is nudged, so that nothing waits
// for its next beat.
func (r *reign) send(ctx context.Context, h *agent.Worker) error {
	for try := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.Wake:
		}
		r.mu.Lock()
		if r.hosts[h.Name] != h {
			r.mu.Unlock()
			return nil
		}
		epoch := r.term.Epoch()
		known := h.Incarnation > 0 && h.Address != ""
		var orders []wire.Command
		if known && !r.doubted() {
			orders = h.Commands(r.led.OnHost(h.Name), epoch, false)
		}
		tenure, addr, asked := h.Incarnation, h.Address, h.LastHeartbeat
		h.CommandInFlight = known && len(orders) > 0
		r.mu.Unlock()
		if !known || len(orders) == 0 {
			continue
		}
		rep, refused, err := r.direct.Send(ctx, addr, wire.CommandBatch{Epoch: epoch, Incarnation: tenure, Commands: orders})
		r.mu.Lock()
		h.CommandInFlight = false
		if err != nil && !errors.Is(err, agent.ErrNotSent) {
			h.UnresolvedEpoch = max(h.UnresolvedEpoch, epoch)
		}
		if rep != nil {
			r.report(rep)
		}
		quiet := h.LastHeartbeat.Equal(asked)
		r.mu.Unlock()
		if err == nil && !refused {
			try = 0
			continue
		}
		// A host that does not take commands gets them with its next beat.
		r.log.Debug("direct command", "host", h.Name, "refused", refused, "err", err)
		if quiet {
			state.Backoff(ctx, try, r.set.Report()/8, r.set.Report())
			try = min(try+1, 8)
		}
	}
}

// alive tells whether a host's report was answered lately. Nothing else renews its lease:
// one that answers direct commands, and reaches no controller, loses whatever it is given.
func (r *reign) alive(h *agent.Worker, now time.Time) bool {
	return !h.LastHeartbeat.IsZero() && now.Sub(h.LastHeartbeat) < 5*r.set.Report()/2
}

// typeOf is the type of a job for the placement rule.
func (r *reign) typeOf(j *ledger.Job) string {
	var s []byte
	for _, f := range r.set.Operator.Placement.Fields() {
		switch f {
		case "class":
			s = append(s, j.Spec.Class...)
		case "owner":
			s = append(s, j.Spec.Team...)
		case "bundle":
			s = append(s, j.Spec.Image...)
		case "rank":
			s = append(s, j.Spec.Priority...)
		case "shape":
			s = append(s, j.Spec.Kind...)
		}
		s = append(s, '|')
	}
	return string(s)
}
