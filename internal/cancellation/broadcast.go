package cancellation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"rillflow/internal/retry"
)

// Errors of a broadcast.
var (
	// ErrUnsupported means that a peer runs a version without cancellation messages.
	ErrUnsupported = errors.New("cancellation: peer does not support cancellation messages")
	// ErrNotAcknowledged means that a controller without the cancellation may still answer
	// workers, so that the cancellation must not be acknowledged to the user yet.
	ErrNotAcknowledged = errors.New("cancellation: not acknowledged by all controllers that may renew leases")
	// errLaunchesUnresolved means that the leader has the cancellation, but that one of its
	// earlier start commands may still take effect. The broadcast is retried.
	errLaunchesUnresolved = fmt.Errorf("%w: start command of the leader unresolved", ErrNotAcknowledged)
)

// maxBackoffFactor limits the backoff between attempts, as a multiple of the first.
const maxBackoffFactor = 16

// Link sends messages to the other controllers.
type Link interface {
	// SendCancellations sends a message to a peer and returns its answer. The error is
	// [ErrUnsupported] if the peer is too old for such messages.
	SendCancellations(ctx context.Context, peer string, message *Message) (Ack, error)
}

// Broadcaster distributes a cancellation to the controllers that must have it before it is
// acknowledged to the user. Its fields are set once, before its first use.
type Broadcaster struct {
	Controller    string // name of this controller
	Cancellations *Set
	Link          Link
	LocalLeader   Leader
	// InitialBackoff is the first delay before a leader with unresolved launches is asked
	// again.
	InitialBackoff time.Duration
	// CurrentLeader reads the name of the current leader from the store.
	CurrentLeader func(ctx context.Context) (string, error)
}

// Broadcast distributes a committed cancellation. When it returns nil the cancellation may
// be acknowledged to the user, since either all controllers or the current leader have it.
// The leader is read from the store after the commit, because any later leader finds the
// cancellation in the store; the leader also stops tasks on workers that receive no
// answers from any controller. Until ctx ends, Broadcast waits for the leader to resolve
// its pending launches: start commands that may still take effect. Every error wraps
// [ErrNotAcknowledged].
func (b *Broadcaster) Broadcast(ctx context.Context, jobID string) error {
	if !b.Cancellations.Add("", jobID) {
		return fmt.Errorf("broadcast job %s: %w: cancellation set is full", jobID, ErrNotAcknowledged)
	}
	for attempt := 0; ; attempt++ {
		err := b.broadcastOnce(ctx, jobID)
		if err == nil {
			return nil
		}
		if !errors.Is(err, errLaunchesUnresolved) ||
			!retry.Backoff(ctx, attempt, b.InitialBackoff, maxBackoffFactor*b.InitialBackoff) {
			return fmt.Errorf("broadcast job %s: %w", jobID, err)
		}
	}
}

// broadcastOnce sends a cancellation to all peers and returns nil if their answers allow
// its acknowledgement to the user.
func (b *Broadcaster) broadcastOnce(ctx context.Context, jobID string) error {
	isLeader := b.LocalLeader.ApplyCancellations()
	if isLeader && !b.LocalLeader.StartCommandsResolved(jobID) {
		return errLaunchesUnresolved
	}
	answers := b.sendToAll(ctx, jobID)
	switch {
	case answers.allAccepted:
		return nil
	case answers.launchesUnresolved:
		return errLaunchesUnresolved
	}
	leader, err := b.CurrentLeader(ctx)
	if err != nil {
		return fmt.Errorf("%w: read current leader: %w", ErrNotAcknowledged, err)
	}
	if leader == b.Controller && isLeader || answers.acceptedAsLeader[leader] {
		return nil
	}
	return fmt.Errorf("%w: current leader %s has not accepted it", ErrNotAcknowledged, leader)
}

// peerAnswers summarizes the answers of the peers to one cancellation.
type peerAnswers struct {
	mu                 sync.Mutex // guards all below while answers arrive
	allAccepted        bool
	launchesUnresolved bool            // a leader has the cancellation, but has pending launches
	acceptedAsLeader   map[string]bool // by peer
}

func (a *peerAnswers) add(peer string, ack Ack) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allAccepted = a.allAccepted && ack.Accepted
	a.launchesUnresolved = a.launchesUnresolved || ack.IsLeader && !ack.Accepted
	a.acceptedAsLeader[peer] = ack.Accepted && ack.IsLeader
}

// sendToAll sends a cancellation to all peers concurrently and waits for their answers. A
// peer that cannot be reached counts as not having accepted it.
func (b *Broadcaster) sendToAll(ctx context.Context, jobID string) *peerAnswers {
	result := &peerAnswers{allAccepted: true, acceptedAsLeader: make(map[string]bool)}
	var wg sync.WaitGroup
	for _, peer := range b.Cancellations.options.Peers {
		wg.Go(func() {
			ack, err := b.send(ctx, peer, &Message{JobIDs: []string{jobID}})
			if errors.Is(err, ErrUnsupported) {
				// A peer of such a version counts as having accepted, as before these messages existed.
				ack = Ack{Accepted: true, IsLeader: true}
			}
			result.add(peer, ack)
		})
	}
	wg.Wait()
	return result
}

// send sends a message to a peer and, if the peer accepts it, records that the peer has
// the cancellations.
func (b *Broadcaster) send(ctx context.Context, peer string, message *Message) (Ack, error) {
	message.From = b.Controller
	ack, err := b.Link.SendCancellations(ctx, peer, message)
	if err != nil {
		return Ack{}, fmt.Errorf("send cancellations to %s: %w", peer, err)
	}
	if ack.Accepted {
		b.Cancellations.acknowledge(peer, message.JobIDs)
	}
	return ack, nil
}

// PeerConnected synchronizes with a peer on a new connection, ahead of any other message,
// since the peer may have restarted with an empty set.
func (b *Broadcaster) PeerConnected(ctx context.Context, peer string) {
	b.Cancellations.forgetAcknowledgements(peer)
	b.exchangeAll(ctx, peer)
}

// SyncPeer is called at regular intervals while a peer is connected. It sends the
// cancellations that the peer has not acknowledged. If this controller is not synced, it
// exchanges entire sets with the peer instead.
func (b *Broadcaster) SyncPeer(ctx context.Context, peer string) {
	if !b.Cancellations.Synced() {
		b.exchangeAll(ctx, peer) // the peer may have become synced, for example as a new leader
		return
	}
	jobIDs := b.Cancellations.unacknowledgedBy(peer)
	if len(jobIDs) == 0 {
		return
	}
	// If this fails, the cancellations stay unacknowledged and are sent at the next interval.
	_, _ = b.send(ctx, peer, &Message{JobIDs: jobIDs})
}

// exchangeAll sends a peer the entire set and adds the peer's set to it. SyncPeer retries a
// failed exchange.
func (b *Broadcaster) exchangeAll(ctx context.Context, peer string) {
	message := &Message{JobIDs: b.Cancellations.JobIDs(), Full: true, Synced: b.Cancellations.Synced()}
	ack, err := b.send(ctx, peer, message)
	switch {
	case err != nil, !ack.Accepted:
	case ack.Synced:
		b.Cancellations.AddComplete(peer, ack.JobIDs...)
	default:
		b.Cancellations.Add(peer, ack.JobIDs...)
	}
}
