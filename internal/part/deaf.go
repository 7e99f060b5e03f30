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
	crowd     = 4    // fewer may well be silent together
)

// Hearing tells how well this node hears workers. It finds itself deaf when those
// that reported here are silent though workers reach a peer, and is so for a lease,
// twice as long each time: an owner that hears none has its part given to others
// well before the workers' leases are over, and then cannot tell whether it would.
func (p *Part) Hearing() peer.Hearing {
	now, report := p.now(), float64(p.set.Report())
	owner := slices.Contains(p.known().Parts, p.set.Node)
	fresh := false
	for _, s := range p.links.Peers() {
		fresh = fresh || p.fresh(s)
	}
	e := &p.ears
	e.mu.Lock()
	defer e.mu.Unlock()
	if !owner {
		e.joined = time.Time{}
	} else if e.joined.IsZero() {
		e.joined = now
	}
	many := float64(max(e.now, e.before)) >= crowd*float64(p.set.Lease())/report
	quiet := float64(min(now.Sub(e.heard), now.Sub(e.joined)))
	switch {
	case now.Before(e.rest):
	case owner && fresh && quiet > deafAfter*report && (many || e.times > 0):
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

// Unheard tells whether peers are linked, and none of them hears any worker: where all
// workers are cut off, it is no fault of this node's.
func (p *Part) Unheard() bool {
	linked := false
	for _, s := range p.links.Peers() {
		if !s.Live {
			continue
		}
		if linked = true; !s.HearingKnown || p.fresh(s) {
			return false
		}
	}
	return linked
}

// fresh tells whether a linked peer heard a worker just now.
func (p *Part) fresh(s peer.Status) bool {
	return s.Live && s.HearingKnown && float64(s.Hearing.Age) < freshly*float64(p.set.Report())
}

// Deaf tells whether this node is cut off from workers that reach others.
func (p *Part) Deaf() bool { return p.Hearing().Deaf }
