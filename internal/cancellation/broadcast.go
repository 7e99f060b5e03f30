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
	// ErrUnsupported means that a peer's version has no cancellation messages.
	ErrUnsupported = errors.New("cancellation: peer does not support cancellation messages")
	// ErrNotAcknowledged means that some controller may still answer workers without
	// knowing of the cancellation, so that the user must not be told yet.
	ErrNotAcknowledged = errors.New("cancellation: not acknowledged by all controllers that may renew leases")
	// errLaunchesUnresolved means that the leader knows, but that a start command it gave
	// earlier may still take effect. It is worth asking again soon.
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

// Broadcaster makes a cancellation known to every controller that must know of it before
// the user is told. Its fields are set once, before its first use.
type Broadcaster struct {
	Controller    string // name of this controller
	Cancellations *Set
	Link          Link
	LocalLeader   Leader
	// InitialBackoff is the first pause before a leader is asked again whether its
	// launches are resolved.
	InitialBackoff time.Duration
	// CurrentLeader reads the name of the current leader from the store.
	CurrentLeader func(ctx context.Context) (string, error)
}

// Broadcast makes a committed cancellation known. When it returns nil the user may be
// told: either all controllers know, or the current leader does. The leader is read from
// the store after the commit, because any later leader finds the cancellation in the
// store itself; it then also stops tasks on workers that no controller's answers reach.
// Until ctx ends Broadcast waits for a leader to resolve what it was about to start. Any
// error is an [ErrNotAcknowledged].
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

// broadcastOnce sends a cancellation to all peers and judges their answers.
func (b *Broadcaster) broadcastOnce(ctx context.Context, jobID string) error {
	isLeader := b.LocalLeader.ApplyCancellations()
	if isLeader && !b.LocalLeader.LaunchesResolved(jobID) {
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

// peerAnswers sums up what the peers answered to one cancellation.
type peerAnswers struct {
	mu                 sync.Mutex // guards all below while answers arrive
	allAccepted        bool
	launchesUnresolved bool            // a leader knows, but has launches under way
	acceptedAsLeader   map[string]bool // by peer
}

func (a *peerAnswers) add(peer string, ack Ack) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allAccepted = a.allAccepted && ack.Accepted
	a.launchesUnresolved = a.launchesUnresolved || ack.IsLeader && !ack.Accepted
	a.acceptedAsLeader[peer] = ack.Accepted && ack.IsLeader
}

// sendToAll sends a cancellation to all peers at once and waits for their answers. A peer
// that cannot be reached counts as one that has not accepted.
func (b *Broadcaster) sendToAll(ctx context.Context, jobID string) *peerAnswers {
	result := &peerAnswers{allAccepted: true, acceptedAsLeader: make(map[string]bool)}
	var wg sync.WaitGroup
	for _, peer := range b.Cancellations.options.Peers {
		wg.Go(func() {
			ack, err := b.send(ctx, peer, &Message{JobIDs: []string{jobID}})
			if errors.Is(err, ErrUnsupported) {
				// Such a peer counts as having accepted: it is served as before these messages existed.
				ack = Ack{Accepted: true, IsLeader: true}
			}
			result.add(peer, ack)
		})
	}
	wg.Wait()
	return result
}

// send sends a message to a peer, and records which cancellations the peer has if it
// accepted them.
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

// PeerConnected synchronizes with a peer on a new connection, ahead of any other message:
// the process behind it may be a new one that knows nothing.
func (b *Broadcaster) PeerConnected(ctx context.Context, peer string) {
	b.Cancellations.forgetAcknowledgements(peer)
	b.exchangeAll(ctx, peer)
}

// SyncPeer is called at regular intervals while a peer is connected. It sends the peer
// what it lacks; a controller that is not synced itself asks for all that the peer knows.
func (b *Broadcaster) SyncPeer(ctx context.Context, peer string) {
	if !b.Cancellations.Synced() {
		b.exchangeAll(ctx, peer) // the peer may be synced by now, above all if it is a new leader
		return
	}
	jobIDs := b.Cancellations.unacknowledgedBy(peer)
	if len(jobIDs) == 0 {
		return
	}
	// What fails is sent again at the next interval, as the peer has not acknowledged it.
	_, _ = b.send(ctx, peer, &Message{JobIDs: jobIDs})
}

// exchangeAll sends a peer all that this controller knows, and adds all that the peer
// knows. SyncPeer repeats what fails.
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
