package withdrawn

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"rillflow/internal/codec"
	"rillflow/internal/state"
)

// Note tells a peer of withdrawals.
type Note struct {
	From    string
	Refs    []string
	All     bool // these are all that the sender knows, and it asks for all the peer does
	Settled bool // the sender knows all that matter
}

// Encode gives the note's binary form.
func (n *Note) Encode() []byte {
	var e codec.Encoder
	e.Str(n.From)
	e.Strs(n.Refs)
	e.Bool(n.All)
	e.Bool(n.Settled)
	return e.B
}

// DecodeNote reads a note.
func DecodeNote(b []byte) (n Note, err error) {
	d := codec.Decoder{B: b}
	n = Note{From: d.Str(), Refs: d.Strs(), All: d.Bool(), Settled: d.Bool()}
	return n, d.Done()
}

// Ack answers a note.
type Ack struct {
	Taken   bool // the peer knows now; false: it has no room, or, if it leads, launches are under way
	Leads   bool // and sees to it, as the leader, that the tasks are gone
	Settled bool // the peer knows all that matter
	Refs    []string
}

// Encode gives the answer's binary form.
func (a *Ack) Encode() []byte {
	var e codec.Encoder
	e.Bool(a.Taken)
	e.Bool(a.Leads)
	e.Bool(a.Settled)
	e.Strs(a.Refs)
	return e.B
}

// DecodeAck reads an answer.
func DecodeAck(b []byte) (a Ack, err error) {
	d := codec.Decoder{B: b}
	a = Ack{Taken: d.Bool(), Leads: d.Bool(), Settled: d.Bool(), Refs: d.Strs()}
	return a, d.Done()
}

// Leader is this node while it leads.
type Leader interface {
	// Heed takes in the notices, and tells whether this node leads and has.
	Heed() bool
	// Settled tells whether no launch that it gave may still start a task of the jobs.
	Settled(refs ...string) bool
}

// Take takes in a peer's note. While a launch of the jobs is under way, a leader that
// is asked whether a user may be told says that it knows by Leads alone.
func (n *Notices) Take(t *Note, l Leader) Ack {
	a := Ack{}
	if t.All && t.Settled {
		a.Taken = n.Inherit(t.From, t.Refs...)
	} else {
		a.Taken = n.Add(t.From, t.Refs...)
	}
	if !a.Taken {
		return a
	}
	a.Leads = l.Heed()
	if t.All {
		a.Settled, a.Refs = n.Settled(), n.All()
	} else if a.Leads {
		a.Taken = l.Settled(t.Refs...)
	}
	return a
}

// Link is the way to the other controllers.
type Link interface {
	// Note tells a peer. ErrOld: it is too old to be told.
	Note(ctx context.Context, peer string, n *Note) (Ack, error)
}

// Errors of telling.
var (
	// ErrOld: the peer's version knows of no notices, and is served as before them.
	ErrOld = errors.New("withdrawn: the peer knows no notices")
	// ErrUntold: a controller that may still answer workers does not know.
	ErrUntold = errors.New("withdrawn: not known to all that may keep its tasks")
	// errUnderWay: the leader knows, but a launch that it gave before may still start a
	// task. It soon knows better.
	errUnderWay = fmt.Errorf("%w: a launch is under way", ErrUntold)
)

// Teller sees to it that a withdrawal is known to whoever must know before a user is told.
type Teller struct {
	Node    string
	Notices *Notices
	Link    Link
	Own     Leader
	// Pause is the first of those between asking a leader whether its launches are settled.
	Pause time.Duration
	// Leader reads from the state service who leads now.
	Leader func(ctx context.Context) (string, error)
}

// note tells a peer of withdrawals, and notes that it knows of them if it has taken them.
func (t *Teller) note(ctx context.Context, peer string, n *Note) (Ack, error) {
	n.From = t.Node
	a, err := t.Link.Note(ctx, peer, n)
	if err != nil {
		return Ack{}, err
	}
	if a.Taken {
		t.Notices.knows(peer, n.Refs)
	}
	return a, nil
}

// Reached is run on each new connection to a peer, ahead of all else: its process may be
// another, which knows nothing.
func (t *Teller) Reached(ctx context.Context, peer string) {
	t.Notices.begins(peer)
	t.compare(ctx, peer)
}

// Linked is run again and again while a peer is linked: it is told what it lacks, and asked
// for all it knows by a node that does not know all itself.
func (t *Teller) Linked(ctx context.Context, peer string) {
	if !t.Notices.Settled() {
		t.compare(ctx, peer) // the peer may be by now, a new leader above all
	} else if refs := t.Notices.unknown(peer); len(refs) > 0 {
		t.note(ctx, peer, &Note{Refs: refs})
	}
}

// compare tells a peer all that this node knows, and hears all that the peer does. What
// fails is done again by Linked.
func (t *Teller) compare(ctx context.Context, peer string) {
	a, err := t.note(ctx, peer, &Note{Refs: t.Notices.All(), All: true, Settled: t.Notices.Settled()})
	switch {
	case err != nil, !a.Taken:
	case a.Settled:
		t.Notices.Inherit(peer, a.Refs...)
	default:
		t.Notices.Add(peer, a.Refs...)
	}
}

// Tell has a committed withdrawal known. A nil error means that a user may be told: all
// controllers know, or the one that leads does. That one must be the leader at some time
// after the commit, hence the read: whoever leads later finds the withdrawal when it
// reads what is stored. It sees to machines whose answers do not reach them. For as long as
// ctx lasts, a leader is also given the time to stop what it was about to start.
func (t *Teller) Tell(ctx context.Context, ref string) error {
	if !t.Notices.Add("", ref) {
		return fmt.Errorf("%w: no room", ErrUntold)
	}
	for try := 0; ; try++ {
		err := t.tell(ctx, ref)
		if !errors.Is(err, errUnderWay) || !state.Backoff(ctx, try, t.Pause, 16*t.Pause) {
			return err
		}
	}
}

func (t *Teller) tell(ctx context.Context, ref string) error {
	leads := t.Own.Heed()
	if leads && !t.Own.Settled(ref) {
		return errUnderWay
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	all, held, led := true, false, map[string]bool{t.Node: leads}
	for _, p := range t.Notices.opt.Peers {
		wg.Go(func() {
			a, err := t.note(ctx, p, &Note{Refs: []string{ref}})
			if errors.Is(err, ErrOld) {
				a = Ack{Taken: true, Leads: true} // served as ever
			}
			mu.Lock()
			defer mu.Unlock()
			all = all && a.Taken
			held = held || a.Leads && !a.Taken
			led[p] = a.Taken && a.Leads
		})
	}
	wg.Wait()
	switch {
	case all:
		return nil
	case held:
		return errUnderWay
	}
	leader, err := t.Leader(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUntold, err)
	}
	if !led[leader] {
		return fmt.Errorf("%w: %s leads", ErrUntold, leader)
	}
	return nil
}
