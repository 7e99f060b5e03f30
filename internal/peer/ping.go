package peer

import (
	"context"
	"time"
)

// pingLoop exchanges status with the peer at every ping interval, until a ping fails.
func (link *Link) pingLoop(ctx context.Context, handler Handler) {
	versionKnown := link.exchangeVersions(ctx, handler)
	if versionKnown {
		// Before the first ping, because a ping reports who leads: a controller that has
		// just started answers workers as soon as it knows the leader, and must know the
		// cancellations by then.
		handler.PeerConnected(ctx, link.peer)
	}
	for ctx.Err() == nil {
		if !link.exchangePing(ctx, handler) {
			return
		}
		if !versionKnown {
			if versionKnown = link.exchangeVersions(ctx, handler); versionKnown {
				handler.PeerConnected(ctx, link.peer)
			}
		}
		link.exchangeReachability(ctx, handler)
		link.exchangeStoreIncarnation(ctx, handler)
		handler.PeerSynced(ctx, link.peer)
		timer := time.NewTimer(link.pingInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// exchangePing sends this controller's status and records the peer's. It reports whether
// the peer answered.
func (link *Link) exchangePing(ctx context.Context, handler Handler) bool {
	own := handler.OwnStatus()
	body, err := link.callWithTimeout(ctx, kindPing, own.encode())
	if err != nil {
		return false
	}
	ping, err := decodePing(body)
	if err != nil {
		return false
	}
	link.recordPing(ping)
	handler.ObservePeerStatus(ping)
	return true
}

func (link *Link) recordPing(ping Ping) {
	link.mu.Lock()
	defer link.mu.Unlock()
	now := time.Now()
	if link.lastPingAt.IsZero() || now.Sub(link.lastPingAt) > maxLiveGapIntervals*link.pingInterval {
		link.liveSince = now
	}
	link.lastPing, link.lastPingAt = ping, now
}

// exchangeReachability exchanges with the peer how well workers reach each of the two, if
// its version supports that.
func (link *Link) exchangeReachability(ctx context.Context, handler Handler) {
	if !link.atLeastVersion(minVersionReachability) {
		return
	}
	own := handler.WorkerReachability()
	body, err := link.callWithTimeout(ctx, kindReachability, own.encode())
	if err != nil {
		return
	}
	reachability, err := decodeReachability(body)
	if err != nil {
		return
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	link.reachability, link.reachabilityKnown = reachability, true
}

// exchangeStoreIncarnation exchanges with the peer which incarnation of the store's data
// each of the two knows, if its version supports that.
func (link *Link) exchangeStoreIncarnation(ctx context.Context, handler Handler) {
	if !link.atLeastVersion(minVersionReplicas) {
		return
	}
	own := handler.StoreIncarnation()
	body, err := link.callWithTimeout(ctx, kindStoreIncarnation, own.encode())
	if err != nil {
		return
	}
	if incarnation, err := decodeStoreIncarnation(body); err == nil {
		handler.ObservePeerStoreIncarnation(link.peer, incarnation)
	}
}
