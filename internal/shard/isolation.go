package shard

import (
	"slices"
	"sync"
	"time"

	"rillflow/internal/peer"
	"rillflow/internal/settings"
)

// Durations in heartbeat intervals, and a number of workers, by which a controller finds
// that it is isolated from workers.
const (
	isolatedAfter     = 1.75 // silence of workers that used to report here
	peerReachedWithin = 0.5  // a peer that heard a worker so lately is reached by workers
	peersReachedLapse = 2.5  // after peers heard no worker for so long the measurement restarts
	minWorkers        = 4    // fewer may well be silent at the same time
)

// maxIsolationDoublings limits how often the time for which a controller counts as
// isolated is doubled.
const maxIsolationDoublings = 4

// isolationDetector tells whether workers reach this controller. Its lock is held while
// the links are asked about the peers.
type isolationDetector struct {
	config *settings.Settings

	mu               sync.Mutex
	lastRequest      time.Time // of any worker, whatever the answer
	windowStart      time.Time // windows are a lease long
	requests         int       // in this window
	previousRequests int       // in the window before

	ownerSince    time.Time // zero: this controller owns no shard
	isolatedUntil time.Time
	timesIsolated int // in a row

	peersReachedAt    time.Time // when a peer was last found to have just heard a worker
	peersReachedSince time.Time // since when that has been so without a lapse
}

// RecordRequest records that a worker reached this controller.
func (o *Owner) RecordRequest() { o.isolation.recordRequest(o.now()) }

// WorkerReachability returns how well workers reach this controller, for the peers. It counts as
// isolated when the workers that used to report here are silent though workers reach a
// peer, and stays so for a lease, twice as long each time: an isolated owner loses its
// shard well before its workers' leases expire, and then cannot find out whether it would
// hear them again.
func (o *Owner) WorkerReachability() peer.Reachability {
	now := o.now()
	isOwner := slices.Contains(o.shardMap().Owners, o.config.Name)
	return o.isolation.reachability(now, isOwner, o.links)
}

// IsIsolated reports whether this controller is cut off from workers that reach others.
func (o *Owner) IsIsolated() bool { return o.WorkerReachability().Isolated }

// PeersHearNoWorkers reports whether peers are connected and none of them has been hearing
// workers either. Where all workers are cut off, this controller is not at fault.
func (o *Owner) PeersHearNoWorkers() bool {
	connected := false
	for _, status := range o.links.Peers() {
		if status.Live && !status.ReachabilityKnown {
			return false
		}
		connected = connected || status.Live
	}
	return !o.isolation.workersReachPeers(o.now, o.links) && connected
}

func (d *isolationDetector) recordRequest(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRequest = now
	if now.Sub(d.windowStart) > d.config.WorkerLease() {
		d.windowStart, d.previousRequests, d.requests = now, d.requests, 0
	}
	d.requests++
}

func (d *isolationDetector) reachability(now time.Time, isOwner bool, links PeerLinks) peer.Reachability {
	d.mu.Lock()
	defer d.mu.Unlock()
	reached, reachedFor := d.peersReachedLocked(now, links)
	switch {
	case !isOwner:
		d.ownerSince = time.Time{}
	case d.ownerSince.IsZero():
		d.ownerSince = now
	}
	interval, lease := float64(d.config.HeartbeatInterval()), d.config.WorkerLease()
	silentFor := min(now.Sub(d.lastRequest), now.Sub(d.ownerSince))
	silentAlone := reached && float64(min(silentFor, reachedFor)) > isolatedAfter*interval
	switch {
	case now.Before(d.isolatedUntil):
	case isOwner && silentAlone && (d.hasEnoughWorkersLocked() || d.timesIsolated > 0):
		d.isolatedUntil = now.Add(lease << min(d.timesIsolated, maxIsolationDoublings))
		d.timesIsolated++
	case isOwner && float64(silentFor) < interval && now.Sub(d.ownerSince) > lease:
		d.timesIsolated = 0
	}
	age := now.Sub(d.lastRequest)
	if d.lastRequest.IsZero() {
		age = lease
	}
	return peer.Reachability{SinceHeartbeat: age, Isolated: now.Before(d.isolatedUntil)}
}

// hasEnoughWorkersLocked reports whether so many workers report here that their common
// silence tells something. The caller holds d.mu.
func (d *isolationDetector) hasEnoughWorkersLocked() bool {
	heartbeatsPerLease := float64(d.config.WorkerLease()) / float64(d.config.HeartbeatInterval())
	return float64(max(d.requests, d.previousRequests)) >= minWorkers*heartbeatsPerLease
}

// workersReachPeers reports whether workers have been reaching peers for long enough to
// tell this controller apart from them.
func (d *isolationDetector) workersReachPeers(clock func() time.Time, links PeerLinks) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	reached, reachedFor := d.peersReachedLocked(clock(), links)
	return reached && float64(reachedFor) >= isolatedAfter*float64(d.config.HeartbeatInterval())
}

// peersReachedLocked reports whether a peer has just heard a worker, and for how long that
// has been so: when all controllers were cut off, workers reach one of them again a little
// before the next, which is not isolated for that. The caller holds d.mu.
func (d *isolationDetector) peersReachedLocked(
	now time.Time, links PeerLinks,
) (reached bool, reachedFor time.Duration) {
	interval := float64(d.config.HeartbeatInterval())
	for _, status := range links.Peers() {
		justHeard := float64(status.Reachability.SinceHeartbeat) < peerReachedWithin*interval
		reached = reached || status.Live && status.ReachabilityKnown && justHeard
	}
	if reached {
		if float64(now.Sub(d.peersReachedAt)) > peersReachedLapse*interval {
			d.peersReachedSince = now
		}
		d.peersReachedAt = now
	}
	return reached, now.Sub(d.peersReachedSince)
}
