package peer

import (
	"context"
	"time"
)

// pingLoop exchanges with the peer how both stand, once an interval, until an answer
// fails to come.
func (link *Link) pingLoop(ctx context.Context, handler Handler) {
	versionKnown := link.exchangeVersions(ctx, handler)
	if versionKnown {
		// Ahead of the pings, which tell who leads: a process that has just begun answers
		// workers once it knows that, and must know of cancellations by then.
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

// exchangePing tells the peer how this controller stands and hears how the peer does. It
// reports whether an answer came.
func (link *Link) exchangePing(ctx context.Context, handler Handler) bool {
	own := handler.OwnStatus()
	body, err := link.askWithTimeout(ctx, kindPing, own.encode())
	if err != nil {
		return false
	}
	ping, err := decodePing(body)
	if err != nil {
		return false
	}
	link.recordPing(ping)
	handler.PeerStatus(ping)
	return true
}

func (link *Link) recordPing(ping Ping) {
	link.mu.Lock()
	defer link.mu.Unlock()
	now := time.Now()
	if link.lastAnswer.IsZero() || now.Sub(link.lastAnswer) > unbrokenIntervals*link.pingInterval {
		link.liveSince = now
	}
	link.lastPing, link.lastAnswer = ping, now
}

// exchangeReachability asks how well the peer hears workers, if it is new enough to tell.
func (link *Link) exchangeReachability(ctx context.Context, handler Handler) {
	if !link.atLeastVersion(sinceReachability) {
		return
	}
	own := handler.WorkerReachability()
	body, err := link.askWithTimeout(ctx, kindReachability, own.encode())
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

// exchangeStoreIncarnation tells the peer which incarnation of the store's data this
// controller knows, and hears which one the peer does, if it is new enough.
func (link *Link) exchangeStoreIncarnation(ctx context.Context, handler Handler) {
	if !link.atLeastVersion(sinceReplicas) {
		return
	}
	own := handler.StoreIncarnation()
	body, err := link.askWithTimeout(ctx, kindStoreIncarnation, own.encode())
	if err != nil {
		return
	}
	if known, err := decodeStoreIncarnation(body); err == nil {
		handler.PeerStoreIncarnation(link.peer, known)
	}
}
