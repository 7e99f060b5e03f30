package shard

import (
	"slices"
	"sync"
	"time"

	"rillflow/internal/peer"
	"rillflow/internal/settings"
)

// Thresholds for detecting that a controller is isolated from workers. Durations are in
// heartbeat intervals.
const (
	isolatedAfterIntervals     = 1.75 // duration of the silence of workers that used to send heartbeats here
	peerReachedWithinIntervals = 0.5  // maximum age of a peer's last heartbeat from a worker
	peersReachedLapseIntervals = 2.5  // a longer gap without heartbeats at peers restarts peersReachedSince
	minWorkers                 = 4    // fewer may well be silent at the same time
)

// maxIsolationDoublings limits how often the duration of an isolation is doubled.
const maxIsolationDoublings = 4

// isolationDetector detects whether workers fail to reach this controller. Its lock is held
// during calls of PeerLinks.Peers.
type isolationDetector struct {
	config *settings.Settings

	mu               sync.Mutex
	lastRequest      time.Time // of any worker, answered or not
	windowStart      time.Time // each window lasts a worker lease
	requests         int       // in the current window
	previousRequests int       // in the previous window

	ownerSince            time.Time // zero: this controller owns no shard
	isolatedUntil         time.Time
	consecutiveIsolations int

	peersReachedAt    time.Time // when a peer last had a recent heartbeat of a worker
	peersReachedSince time.Time // start of the period in which that has held without a lapse
}

// RecordRequest records that a worker reached this controller.
func (o *Owner) RecordRequest() { o.isolation.recordRequest(o.now()) }

// WorkerReachability returns whether workers reach this controller, to be sent to its peers.
// The controller counts as isolated if the workers that used to send it heartbeats are silent
// while workers reach a peer. It stays isolated for a worker lease, and twice as long each
// consecutive time: an isolated owner loses its shard well before its workers' leases
// expire, and then cannot detect whether they could reach it again.
func (o *Owner) WorkerReachability() peer.Reachability {
	now := o.now()
	isOwner := slices.Contains(o.shardMap().Owners, o.config.Name)
	return o.isolation.reachability(now, isOwner, o.links)
}

// IsIsolated reports whether workers that reach other controllers do not reach this one.
func (o *Owner) IsIsolated() bool { return o.WorkerReachability().Isolated }

// WorkersReachNoPeer reports whether peers are connected and none of them receives
// heartbeats of workers. All workers are then cut off, and this controller is not at fault.
func (o *Owner) WorkersReachNoPeer() bool {
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
	onlyHereSilent := reached && float64(min(silentFor, reachedFor)) > isolatedAfterIntervals*interval
	switch {
	case now.Before(d.isolatedUntil):
	case isOwner && onlyHereSilent && (d.hasEnoughWorkersLocked() || d.consecutiveIsolations > 0):
		d.isolatedUntil = now.Add(lease << min(d.consecutiveIsolations, maxIsolationDoublings))
		d.consecutiveIsolations++
	case isOwner && float64(silentFor) < interval && now.Sub(d.ownerSince) > lease:
		d.consecutiveIsolations = 0
	}
	age := now.Sub(d.lastRequest)
	if d.lastRequest.IsZero() {
		age = lease
	}
	return peer.Reachability{SinceHeartbeat: age, Isolated: now.Before(d.isolatedUntil)}
}

// hasEnoughWorkersLocked reports whether enough workers send heartbeats here for their
// simultaneous silence to be significant. The caller holds d.mu.
func (d *isolationDetector) hasEnoughWorkersLocked() bool {
	heartbeatsPerLease := float64(d.config.WorkerLease()) / float64(d.config.HeartbeatInterval())
	return float64(max(d.requests, d.previousRequests)) >= minWorkers*heartbeatsPerLease
}

// workersReachPeers reports whether workers have been reaching peers for as long as silence
// must last here before it counts as isolation.
func (d *isolationDetector) workersReachPeers(clock func() time.Time, links PeerLinks) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	reached, reachedFor := d.peersReachedLocked(clock(), links)
	return reached && float64(reachedFor) >= isolatedAfterIntervals*float64(d.config.HeartbeatInterval())
}

// peersReachedLocked reports whether a peer has a recent heartbeat of a worker, and for how
// long that has held. The duration matters when a partition between the workers and all
// controllers ends: workers reach one of them slightly before the others, which are not
// isolated in between. The caller holds d.mu.
func (d *isolationDetector) peersReachedLocked(
	now time.Time, links PeerLinks,
) (reached bool, reachedFor time.Duration) {
	interval := float64(d.config.HeartbeatInterval())
	for _, status := range links.Peers() {
		heardRecently := float64(status.Reachability.SinceHeartbeat) < peerReachedWithinIntervals*interval
		reached = reached || status.Live && status.ReachabilityKnown && heardRecently
	}
	if reached {
		if float64(now.Sub(d.peersReachedAt)) > peersReachedLapseIntervals*interval {
			d.peersReachedSince = now
		}
		d.peersReachedAt = now
	}
	return reached, now.Sub(d.peersReachedSince)
}
