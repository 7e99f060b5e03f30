package shard

import (
	"slices"
	"time"
)

// storeRefusalTimeout returns the time without an answer from the store after which the store
// counts as refusing a controller.
func (o *Owner) storeRefusalTimeout() time.Duration { return 5 * o.config.HeartbeatInterval() / 4 }

// EligibleOwners returns the controllers that may own a shard, given the current owners:
// this one, and the connected peers that are neither isolated from workers nor refused by
// a store that serves others. A peer that reconnects becomes eligible after a delay, so
// that an unstable connection does not move workers back and forth.
func (o *Owner) EligibleOwners(current []string) []string {
	eligible := []string{o.config.Name}
	for name, status := range o.links.Peers() {
		stable := len(current) == 0 || slices.Contains(current, name) ||
			o.now().Sub(status.LiveSince) > 2*o.config.HeartbeatInterval()
		served := status.StoreSilence < o.storeRefusalTimeout() || o.sinceStoreAnswer() > o.config.HeartbeatInterval()/2
		if status.Live && stable && !status.Reachability.Isolated && served {
			eligible = append(eligible, name)
		}
	}
	slices.Sort(eligible)
	return eligible
}

// StoreRefuses reports whether the store has not answered this controller for longer than
// the refusal timeout.
func (o *Owner) StoreRefuses() bool { return o.sinceStoreAnswer() >= o.storeRefusalTimeout() }

// StoreServesPeerOnly reports whether the store refuses this controller while it serves a
// connected peer, and returns the name of such a peer. If the store refuses all
// controllers, it has an outage instead, and the controllers must wait for its end.
func (o *Owner) StoreServesPeerOnly() (peerName string, ok bool) {
	if !o.StoreRefuses() {
		return "", false
	}
	for name, status := range o.links.Peers() {
		// Every controller sends the store at least two requests per heartbeat interval, so
		// only one that is served has a recent answer.
		if status.Live && status.StoreSilence < o.config.HeartbeatInterval()/3 {
			return name, true
		}
	}
	return "", false
}

// isStoreOutage reports whether the store refuses all controllers, as far as this one can
// tell.
func (o *Owner) isStoreOutage() bool {
	_, peerServed := o.StoreServesPeerOnly()
	return o.StoreRefuses() && !peerServed
}

// HasLivePeer reports whether any peer is connected.
func (o *Owner) HasLivePeer() bool {
	for _, status := range o.links.Peers() {
		if status.Live {
			return true
		}
	}
	return false
}
