package cancellation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"rillflow/internal/codec"
	"rillflow/internal/kvstore"
)

// Message tells a peer of withdrawals.
type Message struct {
	From   string
	JobIDs []string
	Full   bool // these are all that the sender knows, and it asks for all the peer does
	Synced bool // the sender knows all that matter
}

// Encode gives the note's binary form.
func (m *Message) Encode() []byte {
	var e codec.Encoder
	e.Str(m.From)
	e.Strs(m.JobIDs)
	e.Bool(m.Full)
	e.Bool(m.Synced)
	return e.B
}

// DecodeMessage reads a note.
func DecodeMessage(body []byte) (message Message, err error) {
	d := codec.Decoder{B: body}
	message = Message{From: d.Str(), JobIDs: d.Strs(), Full: d.Bool(), Synced: d.Bool()}
	return message, d.Done()
}

// Ack answers a note.
type Ack struct {
	Accepted bool // the peer knows now; false: it has no room, or, if it leads, launches are under way
	IsLeader bool // and sees to it, as the leader, that the tasks are gone
	Synced   bool // the peer knows all that matter
	JobIDs   []string
}

// Encode gives the answer's binary form.
func (a *Ack) Encode() []byte {
	var e codec.Encoder
	e.Bool(a.Accepted)
	e.Bool(a.IsLeader)
	e.Bool(a.Synced)
	e.Strs(a.JobIDs)
	return e.B
}

// DecodeAck reads an answer.
func DecodeAck(body []byte) (ack Ack, err error) {
	d := codec.Decoder{B: body}
	ack = Ack{Accepted: d.Bool(), IsLeader: d.Bool(), Synced: d.Bool(), JobIDs: d.Strs()}
	return ack, d.Done()
}

// Leader is this node while it leads.
type Leader interface {
	// ApplyCancellations takes in the notices, and tells whether this node leads and has.
	ApplyCancellations() bool
	// LaunchesResolved tells whether no launch that it gave may still start a task of the jobs.
	LaunchesResolved(refs ...string) bool
}

// Receive takes in a peer's note. While a launch of the jobs is under way, a leader that
// is asked whether a user may be told says that it knows by Leads alone.
func (s *Set) Receive(message *Message, leader Leader) Ack {
	ack := Ack{}
	if message.Full && message.Synced {
		ack.Accepted = s.AddComplete(message.From, message.JobIDs...)
	} else {
		ack.Accepted = s.Add(message.From, message.JobIDs...)
	}
	if !ack.Accepted {
		return ack
	}
	ack.IsLeader = leader.ApplyCancellations()
	if message.Full {
		ack.Synced, ack.JobIDs = s.Synced(), s.JobIDs()
	} else if ack.IsLeader {
		ack.Accepted = leader.LaunchesResolved(message.JobIDs...)
	}
	return ack
}

// Link is the way to the other controllers.
type Link interface {
	// SendCancellations tells a peer. ErrOld: it is too old to be told.
	SendCancellations(ctx context.Context, peer string, n *Message) (Ack, error)
}

// Errors of telling.
var (
	// ErrUnsupported: the peer's version knows of no notices, and is served as before them.
	ErrUnsupported = errors.New("withdrawn: the peer knows no notices")
	// ErrNotAcknowledged: a controller that may still answer workers does not know.
	ErrNotAcknowledged = errors.New("withdrawn: not known to all that may keep its tasks")
	// errLaunchesUnresolved: the leader knows, but a launch that it gave before may still start a
	// task. It soon knows better.
	errLaunchesUnresolved = fmt.Errorf("%w: a launch is under way", ErrNotAcknowledged)
)

// Broadcaster sees to it that a withdrawal is known to whoever must know before a user is told.
type Broadcaster struct {
	Controller    string
	Cancellations *Set
	Link          Link
	LocalLeader   Leader
	// InitialBackoff is the first of those between asking a leader whether its launches are settled.
	InitialBackoff time.Duration
	// CurrentLeader reads from the state service who leads now.
	CurrentLeader func(ctx context.Context) (string, error)
}

// send tells a peer of withdrawals, and notes that it knows of them if it has taken them.
func (b *Broadcaster) send(ctx context.Context, peer string, message *Message) (Ack, error) {
	message.From = b.Controller
	ack, err := b.Link.SendCancellations(ctx, peer, message)
	if err != nil {
		return Ack{}, err
	}
	if ack.Accepted {
		b.Cancellations.acknowledge(peer, message.JobIDs)
	}
	return ack, nil
}

// PeerConnected is run on each new connection to a peer, ahead of all else: its process may be
// another, which knows nothing.
func (b *Broadcaster) PeerConnected(ctx context.Context, peer string) {
	b.Cancellations.forgetAcknowledgements(peer)
	b.exchangeAll(ctx, peer)
}

// SyncPeer is run again and again while a peer is linked: it is told what it lacks, and asked
// for all it knows by a node that does not know all itself.
func (b *Broadcaster) SyncPeer(ctx context.Context, peer string) {
	if !b.Cancellations.Synced() {
		b.exchangeAll(ctx, peer) // the peer may be by now, a new leader above all
	} else if jobIDs := b.Cancellations.unacknowledgedBy(peer); len(jobIDs) > 0 {
		b.send(ctx, peer, &Message{JobIDs: jobIDs})
	}
}

// exchangeAll tells a peer all that this node knows, and hears all that the peer does. What
// fails is done again by Linked.
func (b *Broadcaster) exchangeAll(ctx context.Context, peer string) {
	ack, err := b.send(ctx, peer, &Message{JobIDs: b.Cancellations.JobIDs(), Full: true, Synced: b.Cancellations.Synced()})
	switch {
	case err != nil, !ack.Accepted:
	case ack.Synced:
		b.Cancellations.AddComplete(peer, ack.JobIDs...)
	default:
		b.Cancellations.Add(peer, ack.JobIDs...)
	}
}

// Broadcast has a committed withdrawal known. A nil error means that a user may be told: all
// controllers know, or the one that leads does. That one must be the leader at some time
// after the commit, hence the read: whoever leads later finds the withdrawal when it
// reads what is stored. It sees to machines whose answers do not reach them. For as long as
// ctx lasts, a leader is also given the time to stop what it was about to start.
func (b *Broadcaster) Broadcast(ctx context.Context, jobID string) error {
	if !b.Cancellations.Add("", jobID) {
		return fmt.Errorf("%w: no room", ErrNotAcknowledged)
	}
	for attempt := 0; ; attempt++ {
		err := b.broadcastOnce(ctx, jobID)
		if !errors.Is(err, errLaunchesUnresolved) || !kvstore.Backoff(ctx, attempt, b.InitialBackoff, 16*b.InitialBackoff) {
			return err
		}
	}
}

func (b *Broadcaster) broadcastOnce(ctx context.Context, jobID string) error {
	isLeader := b.LocalLeader.ApplyCancellations()
	if isLeader && !b.LocalLeader.LaunchesResolved(jobID) {
		return errLaunchesUnresolved
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	allAccepted, launchesUnresolved, acceptedAsLeader := true, false, map[string]bool{b.Controller: isLeader}
	for _, peer := range b.Cancellations.options.Peers {
		wg.Go(func() {
			ack, err := b.send(ctx, peer, &Message{JobIDs: []string{jobID}})
			if errors.Is(err, ErrUnsupported) {
				ack = Ack{Accepted: true, IsLeader: true} // served as ever
			}
			mu.Lock()
			defer mu.Unlock()
			allAccepted = allAccepted && ack.Accepted
			launchesUnresolved = launchesUnresolved || ack.IsLeader && !ack.Accepted
			acceptedAsLeader[peer] = ack.Accepted && ack.IsLeader
		})
	}
	wg.Wait()
	switch {
	case allAccepted:
		return nil
	case launchesUnresolved:
		return errLaunchesUnresolved
	}
	leader, err := b.CurrentLeader(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotAcknowledged, err)
	}
	if !acceptedAsLeader[leader] {
		return fmt.Errorf("%w: %s leads", ErrNotAcknowledged, leader)
	}
	return nil
}
