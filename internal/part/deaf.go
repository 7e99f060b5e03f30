package part

import (
	"slices"
	"sync"
	"time"

	"rillflow/internal/peer"
)

// ears note how well this node hears workers.
type ears struct {
	mu     sync.Mutex
	heard  time.Time // the last request of a worker, whatever came of it
	bucket time.Time // when the present count began
	now    int       // requests since then
	before int       // in the lease before
	joined time.Time // an owner since
	rest   time.Time // deaf until then
	times  int       // found deaf in a row
	fresh  time.Time // when last a peer had just heard a worker
	since  time.Time // since when that is so again and again
}

// Heard notes that a worker made itself heard here.
func (p *Part) Heard() {
	now := p.now()
	p.ears.mu.Lock()
	defer p.ears.mu.Unlock()
	p.ears.heard = now
	if now.Sub(p.ears.bucket) > p.set.Lease() {
		p.ears.bucket, p.ears.before, p.ears.now = now, p.ears.now, 0
	}
	p.ears.now++
}

// Times in report intervals, and a number of workers, by which a node finds that it
// is cut off from workers.
const (
	deafAfter = 1.75 // silence, of those that report here
	freshly   = 0.5  // a peer that heard one so lately is not
	lapse     = 2.5  // peers that heard none for so long begin anew
	crowd     = 4    // fewer may well be silent together
)

// Hearing tells how well this node hears workers. It finds itself deaf when those
// that reported here are silent though workers reach a peer, and is so for a lease,
// twice as long each time: an owner that hears none has its part given to others
// well before the workers' leases are over, and then cannot tell whether it would.
func (p *Part) Hearing() peer.Hearing {
	now, report := p.now(), float64(p.set.Report())
	owner := slices.Contains(p.known().Owners, p.set.Node)
	e := &p.ears
	e.mu.Lock()
	defer e.mu.Unlock()
	fresh, others := p.elsewhere(now)
	if !owner {
		e.joined = time.Time{}
	} else if e.joined.IsZero() {
		e.joined = now
	}
	many := float64(max(e.now, e.before)) >= crowd*float64(p.set.Lease())/report
	quiet := float64(min(now.Sub(e.heard), now.Sub(e.joined)))
	switch {
	case now.Before(e.rest):
	case owner && fresh && min(quiet, float64(others)) > deafAfter*report && (many || e.times > 0):
		e.rest = now.Add(p.set.Lease() << min(e.times, 4))
		e.times++
	case owner && quiet < report && now.Sub(e.joined) > p.set.Lease():
		e.times = 0
	}
	age := now.Sub(e.heard)
	if e.heard.IsZero() {
		age = p.set.Lease()
	}
	return peer.Hearing{Age: age, Deaf: now.Before(e.rest)}
}

// elsewhere tells whether a peer heard a worker just now, and for how long workers have
// been reaching peers: where all were silent, those of one node are heard again a little
// ahead of those of the next, which is not deaf for that. Run it with the lock held.
func (p *Part) elsewhere(now time.Time) (fresh bool, long time.Duration) {
	e, report := &p.ears, float64(p.set.Report())
	for _, s := range p.links.Peers() {
		fresh = fresh || s.Live && s.HearingKnown && float64(s.Hearing.Age) < freshly*report
	}
	if fresh {
		if float64(now.Sub(e.fresh)) > lapse*report {
			e.since = now
		}
		e.fresh = now
	}
	return fresh, now.Sub(e.since)
}

// PeersHearNoWorkers tells whether peers are linked, and none of them has been hearing workers
// either: where all workers are cut off, it is no fault of this node's.
func (p *Part) PeersHearNoWorkers() bool {
	linked := false
	for _, s := range p.links.Peers() {
		if s.Live && !s.HearingKnown {
			return false
		}
		linked = linked || s.Live
	}
	p.ears.mu.Lock()
	defer p.ears.mu.Unlock()
	fresh, long := p.elsewhere(p.now())
	return linked && (!fresh || float64(long) < deafAfter*float64(p.set.Report()))
}

// Deaf tells whether this node is cut off from workers that reach others.
func (p *Part) Deaf() bool { return p.Hearing().Deaf }
