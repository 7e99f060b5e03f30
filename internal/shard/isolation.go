package shard

import (
	"slices"
	"sync"
	"time"

	"rillflow/internal/peer"
)

// isolationDetector note how well this node hears workers.
type isolationDetector struct {
	mu                sync.Mutex
	lastRequest       time.Time // the last request of a worker, whatever came of it
	windowStart       time.Time // when the present count began
	requests          int       // requests since then
	previousRequests  int       // in the lease before
	ownerSince        time.Time // an owner since
	isolatedUntil     time.Time // deaf until then
	timesIsolated     int       // found deaf in a row
	peersReachedAt    time.Time // when last a peer had just heard a worker
	peersReachedSince time.Time // since when that is so again and again
}

// RecordRequest notes that a worker made itself heard here.
func (o *Owner) RecordRequest() {
	now := o.now()
	o.isolation.mu.Lock()
	defer o.isolation.mu.Unlock()
	o.isolation.lastRequest = now
	if now.Sub(o.isolation.windowStart) > o.config.Lease() {
		o.isolation.windowStart, o.isolation.previousRequests, o.isolation.requests = now, o.isolation.requests, 0
	}
	o.isolation.requests++
}

// Times in report intervals, and a number of workers, by which a node finds that it
// is cut off from workers.
const (
	isolatedAfter     = 1.75 // silence, of those that report here
	peerReachedWithin = 0.5  // a peer that heard one so lately is not
	peersReachedLapse = 2.5  // peers that heard none for so long begin anew
	minWorkers        = 4    // fewer may well be silent together
)

// Hearing tells how well this node hears workers. It finds itself deaf when those
// that reported here are silent though workers reach a peer, and is so for a lease,
// twice as long each time: an owner that hears none has its part given to others
// well before the workers' leases are over, and then cannot tell whether it would.
func (o *Owner) Hearing() peer.Hearing {
	now, interval := o.now(), float64(o.config.Report())
	isOwner := slices.Contains(o.shardMap().Owners, o.config.Node)
	isolation := &o.isolation
	isolation.mu.Lock()
	defer isolation.mu.Unlock()
	peersReached, peersReachedFor := o.peersReachedLocked(now)
	if !isOwner {
		isolation.ownerSince = time.Time{}
	} else if isolation.ownerSince.IsZero() {
		isolation.ownerSince = now
	}
	enoughWorkers := float64(max(isolation.requests, isolation.previousRequests)) >= minWorkers*float64(o.config.Lease())/interval
	silentFor := float64(min(now.Sub(isolation.lastRequest), now.Sub(isolation.ownerSince)))
	switch {
	case now.Before(isolation.isolatedUntil):
	case isOwner && peersReached && min(silentFor, float64(peersReachedFor)) > isolatedAfter*interval && (enoughWorkers || isolation.timesIsolated > 0):
		isolation.isolatedUntil = now.Add(o.config.Lease() << min(isolation.timesIsolated, 4))
		isolation.timesIsolated++
	case isOwner && silentFor < interval && now.Sub(isolation.ownerSince) > o.config.Lease():
		isolation.timesIsolated = 0
	}
	age := now.Sub(isolation.lastRequest)
	if isolation.lastRequest.IsZero() {
		age = o.config.Lease()
	}
	return peer.Hearing{Age: age, Deaf: now.Before(isolation.isolatedUntil)}
}

// peersReachedLocked tells whether a peer heard a worker just now, and for how long workers have
// been reaching peers: where all were silent, those of one node are heard again a little
// ahead of those of the next, which is not deaf for that. Run it with the lock held.
func (o *Owner) peersReachedLocked(now time.Time) (reached bool, reachedFor time.Duration) {
	isolation, interval := &o.isolation, float64(o.config.Report())
	for _, status := range o.links.Peers() {
		reached = reached || status.Live && status.HearingKnown && float64(status.Hearing.Age) < peerReachedWithin*interval
	}
	if reached {
		if float64(now.Sub(isolation.peersReachedAt)) > peersReachedLapse*interval {
			isolation.peersReachedSince = now
		}
		isolation.peersReachedAt = now
	}
	return reached, now.Sub(isolation.peersReachedSince)
}

// PeersHearNoWorkers tells whether peers are linked, and none of them has been hearing workers
// either: where all workers are cut off, it is no fault of this node's.
func (o *Owner) PeersHearNoWorkers() bool {
	linked := false
	for _, s := range o.links.Peers() {
		if s.Live && !s.HearingKnown {
			return false
		}
		linked = linked || s.Live
	}
	o.isolation.mu.Lock()
	defer o.isolation.mu.Unlock()
	fresh, long := o.peersReachedLocked(o.now())
	return linked && (!fresh || float64(long) < isolatedAfter*float64(o.config.Report()))
}

// IsIsolated tells whether this node is cut off from workers that reach others.
func (o *Owner) IsIsolated() bool { return o.Hearing().Deaf }
