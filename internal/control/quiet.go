package control

import (
	"slices"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/settings"
	"rillflow/internal/silence"
	"rillflow/internal/wire"
)

// missedReport is from which silence a machine has missed a report, as a ratio
// to the interval, which varies by a quarter.
const missedReport = 1.3

func newQuiet(set *settings.Settings) *silence.Watch {
	return silence.NewWatch(time.Duration(missedReport*float64(set.Report())), set.Lease())
}

// quietFor is for how long a host that should be heard was not. It has had no way
// to be heard before this term began, its boot was over, or its owner took over. What it
// answers to direct commands tells that it is up, but not for longer than a lease: then
// whatever it had is gone, since only an answered report renews the lease.
func (r *reign) quietFor(h *agent.Worker, now time.Time) time.Duration {
	last := r.began
	for _, t := range []time.Time{h.LastHeartbeat, h.ListedRunningAt, h.ShardOwnerSince} {
		if t.After(last) {
			last = t
		}
	}
	mute := now.Sub(last)
	if h.LastUpdate.After(last) && mute <= r.leaseOver() {
		return now.Sub(h.LastUpdate)
	}
	return mute
}

// listen judges who is at fault for what is not heard.
func (r *reign) listen(now time.Time) {
	hosts := make([]silence.Host, 0, len(r.sorted))
	for _, h := range r.sorted {
		if _, leaving := r.gone[h.Name]; leaving || r.listed[h.Name].Phase == wire.InstanceFailed || h.LastHeartbeat.IsZero() && h.ListedRunningAt.IsZero() {
			continue
		}
		hosts = append(hosts, r.voice(h, now))
	}
	before := len(r.quiet.Groups())
	r.quiet.Look(hosts, now)
	if gs := r.quiet.Groups(); len(gs) != before {
		for _, g := range gs {
			r.log.Info("silence", "fault", g.Fault, "name", g.Name, "since_s", now.Sub(g.Since).Seconds(), "still", g.Silent)
		}
	}
}

func (r *reign) voice(h *agent.Worker, now time.Time) silence.Host {
	return silence.Host{Zone: h.Zone, Owner: h.ShardOwner, Loaners: h.Spot, Quiet: r.quietFor(h, now)}
}

// Bare tells whether this controller leads, and no machine of its own part is up: that it
// hears none then says nothing of its own hearing.
func (c *Control) Bare() bool {
	r := c.cur.Load()
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.sorted, func(h *agent.Worker) bool {
		_, leaving := r.gone[h.Name]
		return h.ShardOwner == r.set.Node && !leaving && !h.LastHeartbeat.IsZero()
	})
}

// cutOff tells whether a silent host is more likely behind a cut than dead: it is
// neither returned nor counted on until that has lasted for longer than cuts do.
func (r *reign) cutOff(h *agent.Worker, now time.Time) bool {
	v := r.voice(h, now)
	if !r.quiet.Silent(v) {
		return false
	}
	fault, since := r.quiet.Fault(v)
	return fault >= silence.Part && now.Sub(since) < time.Duration(r.set.Operator.Fleet.Patience*float64(r.set.Lease()))
}

// leaseOver is after which time without an answer a lease is over by any clock.
func (r *reign) leaseOver() time.Duration {
	return r.set.Lease() + r.set.Lease()/500 + r.set.Report()/3
}

// deserted tells whether a host behind a cut has most likely ended its tasks: no
// controller is in its zone to answer it, and it was last heard a lease ago. That
// is no proof where another controller owns it, but its return is.
func (r *reign) deserted(h *agent.Worker, now time.Time) bool {
	return !r.set.Covered(h.Zone) && r.quietFor(h, now) > r.leaseOver()
}
