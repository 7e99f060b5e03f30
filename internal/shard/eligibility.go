package shard

import (
	"slices"
	"time"
)

// storeRefusesAfter is for how long the store has not answered when it counts as refusing
// a controller.
func (o *Owner) storeRefusesAfter() time.Duration { return 5 * o.config.HeartbeatInterval() / 4 }

// EligibleOwners returns the controllers that may own a shard, given the present owners:
// this one, and the connected peers that are neither isolated from workers nor refused by
// a store that serves others. A peer that comes back waits a little, so that workers do
// not move to and fro.
func (o *Owner) EligibleOwners(current []string) []string {
	eligible := []string{o.config.Name}
	for name, status := range o.links.Peers() {
		stable := len(current) == 0 || slices.Contains(current, name) ||
			o.now().Sub(status.LiveSince) > 2*o.config.HeartbeatInterval()
		served := status.StoreSilence < o.storeRefusesAfter() || o.sinceStoreAnswer() > o.config.HeartbeatInterval()/2
		if status.Live && stable && !status.Reachability.Isolated && served {
			eligible = append(eligible, name)
		}
	}
	slices.Sort(eligible)
	return eligible
}

// StoreRefuses reports whether the store has not answered this controller for long.
func (o *Owner) StoreRefuses() bool { return o.sinceStoreAnswer() >= o.storeRefusesAfter() }

// StoreServesPeerOnly reports whether the store refuses this controller while it serves a
// connected peer, and names such a peer. When all are refused it is an outage of the
// store instead, which must be waited out.
func (o *Owner) StoreServesPeerOnly() (peerName string, ok bool) {
	if !o.StoreRefuses() {
		return "", false
	}
	for name, status := range o.links.Peers() {
		// Every controller asks the store at least twice in a heartbeat interval, so that
		// one that is served shows a fresh answer before long, and no other can.
		if status.Live && status.StoreSilence < o.config.HeartbeatInterval()/3 {
			return name, true
		}
	}
	return "", false
}

// isStoreOutage reports whether the store refuses all controllers, as far as this one can
// know.
func (o *Owner) isStoreOutage() bool {
	_, onlyHere := o.StoreServesPeerOnly()
	return o.StoreRefuses() && !onlyHere
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
