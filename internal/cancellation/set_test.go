package cancellation

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

const testStopDeadline = 40 * time.Second

// clock is a time that only the test moves.
type clock struct{ now time.Time }

func newTestSet(c *clock, storeUnavailable *bool, capacity int) *Set {
	return New(Options{StopDeadline: testStopDeadline, Capacity: capacity, Peers: []string{"a", "b"}, StoreUnavailable: func() bool { return *storeUnavailable }, Now: func() time.Time { return c.now }})
}

// A notice is kept while what it stops may still be there or come, and never pushed out.
func TestSetRetention(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	n := newTestSet(c, &refused, 2)
	if !n.Add("", "req-1", "req-2") || n.Add("", "req-3") || !n.Add("a", "req-2") {
		t.Fatal("room for two, and for none pushed out")
	}
	c.now = c.now.Add(testStopDeadline + time.Second)
	if n.Add("", "req-3") {
		t.Error("dropped as soon as its tasks are gone: a late command may start one yet")
	}
	refused = true
	c.now = c.now.Add(10 * testStopDeadline)
	if n.Add("", "req-3") {
		t.Error("dropped in an outage")
	}
	refused = false
	if c.now = c.now.Add(testStopDeadline); !n.Add("", "req-3") || slices.Contains(n.JobIDs(), "req-1") || !slices.Equal(n.JobIDs(), []string{"req-3"}) {
		t.Errorf("kept for good: %v", n.JobIDs())
	}
}

func TestAmendCommands(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	n := newTestSet(c, &refused, 8)
	rep := &wire.Heartbeat{Tasks: []wire.TaskStatus{
		{Task: "req-1/0", Attempt: 1, Phase: wire.PhaseRunning}, {Task: "req-1/1", Attempt: 2, Phase: wire.TaskFetching}, {Task: "req-1/2", Attempt: 1, Phase: wire.TaskExited},
		{Task: "req-10/0", Attempt: 1, Phase: wire.PhaseRunning},
	}}
	given := []wire.Command{{Action: wire.ActionStop, Task: "req-1/0", Attempt: 1}, {Action: wire.ActionStart, Task: "req-1/3", Attempt: 1}, {Action: wire.ActionStart, Task: "req-10/1", Attempt: 1}, {Action: wire.ActionForget, Task: "req-1/2", Attempt: 1}}
	if got := n.AmendCommands(rep, slices.Clone(given)); !slices.Equal(got, given) {
		t.Errorf("%v, with nothing withdrawn", got)
	}
	n.Add("", "req-1")
	want := []wire.Command{given[0], given[2], given[3], {Action: wire.ActionStop, Task: "req-1/1", Attempt: 2}}
	if got := n.AmendCommands(rep, slices.Clone(given)); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// A process that has just begun knows all only from one that knows all.
func TestSynced(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	old := newTestSet(c, &refused, 8)
	c.now = c.now.Add(testStopDeadline + time.Second)
	old.Add("", "req-1")
	young, next := newTestSet(c, &refused, 8), newTestSet(c, &refused, 8)
	no := fakeLeader{}
	if young.Receive(&Message{From: "a", Full: true}, no); young.Synced() {
		t.Error("settled by one that is not")
	}
	if young.Receive(&Message{From: "a", JobIDs: []string{"req-2"}, Synced: true}, no); young.Synced() {
		t.Error("settled by a part of what there is")
	}
	a := old.Receive(&Message{From: "b", Full: true}, no)
	if !a.Synced || !slices.Equal(a.JobIDs, []string{"req-1"}) {
		t.Errorf("%+v", a)
	}
	next.AddComplete("a", a.JobIDs...)
	if a = next.Receive(&Message{From: "b", Full: true}, no); !next.Synced() || !a.Synced {
		t.Error("not settled by one that is")
	}
	c.now = c.now.Add(testStopDeadline + time.Second)
	if !young.Synced() {
		t.Error("not settled by having been there")
	}
}

// What a peer knows ends with its process, which may have been replaced unseen.
func TestReconnectedPeerIsUnacknowledged(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	n := newTestSet(c, &refused, 8)
	n.Add("a", "req-1")
	n.Add("", "req-2")
	n.acknowledge("a", []string{"req-2"})
	if u := n.unacknowledgedBy("a"); len(u) != 0 {
		t.Errorf("unknown %v", u)
	}
	n.forgetAcknowledgements("a")
	if u := n.unacknowledgedBy("a"); !slices.Equal(u, []string{"req-1", "req-2"}) || len(n.unacknowledgedBy("b")) != 2 {
		t.Errorf("unknown %v", u)
	}
}

// fakeLink stands in for the way to the peers.
type fakeLink map[string]struct {
	Ack
	err error
}

func (l fakeLink) SendCancellations(_ context.Context, p string, _ *Message) (Ack, error) {
	return l[p].Ack, l[p].err
}

func TestBroadcast(t *testing.T) {
	down, knows, leads, full := errors.New("down"), Ack{Accepted: true}, Ack{Accepted: true, IsLeader: true}, Ack{}
	type peers = fakeLink
	for _, tc := range []struct {
		name   string
		self   bool // this node leads
		peers  peers
		leader string // as the state service has it; "": it refuses
		ok     bool
		reads  int
	}{
		{"all know", false, peers{"a": {knows, nil}, "b": {leads, nil}}, "", true, 0},
		{"one is away, the leader knows", false, peers{"a": {Ack{}, down}, "b": {leads, nil}}, "b", true, 1},
		{"one is away, this one leads", true, peers{"a": {Ack{}, down}, "b": {Ack{}, down}}, "me", true, 1},
		{"the leader is away", false, peers{"a": {Ack{}, down}, "b": {knows, nil}}, "a", false, 1},
		{"who knows led, and another does since", false, peers{"a": {Ack{}, down}, "b": {leads, nil}}, "a", false, 1},
		{"the leader has yet to read its ledger", false, peers{"a": {Ack{}, down}, "b": {knows, nil}}, "b", false, 1},
		{"this one has", false, peers{"a": {Ack{}, down}, "b": {knows, nil}}, "me", false, 1},
		{"nobody can tell who leads", false, peers{"a": {Ack{}, down}, "b": {leads, nil}}, "", false, 1},
		{"the leader has no room", false, peers{"a": {knows, nil}, "b": {full, nil}}, "b", false, 1},
		{"the leader is too old to be told", false, peers{"a": {Ack{}, down}, "b": {Ack{}, ErrUnsupported}}, "b", true, 1},
		{"all others are", false, peers{"a": {Ack{}, ErrUnsupported}, "b": {Ack{}, ErrUnsupported}}, "", true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, refused, reads := &clock{time.Unix(1e9, 0)}, false, 0
			n := newTestSet(c, &refused, 8)
			te := &Broadcaster{Controller: "me", Cancellations: n, Link: tc.peers, LocalLeader: fakeLeader{t, n, tc.self, true}, CurrentLeader: func(context.Context) (string, error) {
				reads++
				if tc.leader == "" {
					return "", down
				}
				return tc.leader, nil
			}}
			if err := te.Broadcast(t.Context(), "req-1"); (err == nil) != tc.ok || err != nil && !errors.Is(err, ErrNotAcknowledged) || reads != tc.reads {
				t.Errorf("%v, after %d reads", err, reads)
			}
			for p, l := range tc.peers {
				if got := !slices.Contains(n.unacknowledgedBy(p), "req-1"); got != (l.err == nil && l.Accepted) {
					t.Errorf("%s is taken to know: %v", p, got)
				}
			}
		})
	}
}

// fakeLeader is this node, as a leader or not.
type fakeLeader struct {
	t                *testing.T
	set              *Set
	isLeader         bool
	launchesResolved bool
}

func (o fakeLeader) ApplyCancellations() bool {
	if o.set != nil && !slices.Contains(o.set.JobIDs(), "req-1") {
		o.t.Error("asked whether it leads ahead of the notice")
	}
	return o.isLeader
}

func (o fakeLeader) LaunchesResolved(...string) bool { return o.launchesResolved }

// resolvingLink is a way to a leader whose launches are settled once it was asked so often.
type resolvingLink struct{ unresolvedAnswers atomic.Int64 }

func (a *resolvingLink) SendCancellations(context.Context, string, *Message) (Ack, error) {
	return Ack{Accepted: a.unresolvedAnswers.Add(-1) < 0, IsLeader: true}, nil
}

// A user is told once no launch is under way, of the leader's here or elsewhere, and no
// longer waited for than the user waits.
func TestBroadcastWaitsForLaunches(t *testing.T) {
	for _, tc := range []struct {
		name  string
		times int64 // that the leader is asked before its launches are settled
		self  bool  // this node leads, and its own launches are never settled
		ok    bool
	}{
		{"none is under way", 0, false, true},
		{"stopped soon", 3, false, true},
		{"not in the user's time", 1 << 30, false, false},
		{"its own", 0, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, refused := &clock{time.Unix(1e9, 0)}, false
				n, leader := newTestSet(c, &refused, 8), &resolvingLink{}
				leader.unresolvedAnswers.Store(2 * tc.times) // there are two peers
				te := &Broadcaster{Controller: "me", Cancellations: n, Link: leader, LocalLeader: fakeLeader{t, n, tc.self, !tc.self}, InitialBackoff: 10 * time.Millisecond,
					CurrentLeader: func(context.Context) (string, error) {
						t.Error("the state service is asked")
						return "a", nil
					}}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				began := time.Now()
				err := te.Broadcast(ctx, "req-1")
				if (err == nil) != tc.ok || err != nil && !errors.Is(err, ErrNotAcknowledged) {
					t.Error(err)
				}
				if since := time.Since(began); tc.ok && since > time.Second || !tc.ok && since != 2*time.Second {
					t.Errorf("after %v", since)
				}
			})
		})
	}
}

// A leader whose launches are under way has taken the notice all the same.
func TestReceiveWhileLaunching(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	n := newTestSet(c, &refused, 8)
	if a := n.Receive(&Message{From: "a", JobIDs: []string{"req-1"}}, fakeLeader{isLeader: true}); a.Accepted || !a.IsLeader {
		t.Errorf("%+v", a)
	}
	if !slices.Equal(n.JobIDs(), []string{"req-1"}) {
		t.Error("not taken in")
	}
	if a := n.Receive(&Message{From: "a", JobIDs: []string{"req-1"}, Full: true}, fakeLeader{isLeader: true}); !a.Accepted {
		t.Error("what is compared on a new connection waits")
	}
}

func FuzzMessages(f *testing.F) {
	n, a := Message{"me", []string{"req-1", ""}, true, false}, Ack{true, false, true, []string{"req-2"}}
	f.Add(n.Encode())
	f.Add(a.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := DecodeMessage(b); err == nil {
			if m, err := DecodeMessage(n.Encode()); err != nil || !reflect.DeepEqual(m, n) {
				t.Errorf("%+v, %+v, %v", n, m, err)
			}
		}
		if a, err := DecodeAck(b); err == nil {
			if m, err := DecodeAck(a.Encode()); err != nil || !reflect.DeepEqual(m, a) {
				t.Errorf("%+v, %+v, %v", a, m, err)
			}
		}
	})
}

// remoteSet is a way to a peer that answers with what it knows.
type remoteSet struct {
	*Set
	sent int
}

func (f *remoteSet) SendCancellations(_ context.Context, _ string, n *Message) (Ack, error) {
	f.sent++
	return f.Receive(n, fakeLeader{launchesResolved: true}), nil
}

// On a new connection each tells the other all; after that a peer is told what it lacks and
// nothing else, and a node that has forgotten asks until it hears from one that has not.
func TestExchangeAll(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	peer, here := &remoteSet{Set: newTestSet(c, &refused, 8)}, newTestSet(c, &refused, 8)
	te := &Broadcaster{Controller: "me", Cancellations: here, Link: peer}
	here.Add("", "req-1")
	peer.Add("", "req-2")
	te.PeerConnected(t.Context(), "a")
	for _, n := range []*Set{here, peer.Set} {
		if !slices.Equal(n.JobIDs(), []string{"req-1", "req-2"}) || n.Synced() {
			t.Errorf("knows %v, settled %v", n.JobIDs(), n.Synced())
		}
	}
	if te.SyncPeer(t.Context(), "a"); peer.sent != 2 || here.Synced() {
		t.Errorf("asked %d times, settled %v", peer.sent, here.Synced())
	}
	peer.AddComplete("", "req-3")
	if te.SyncPeer(t.Context(), "a"); !here.Synced() || len(here.JobIDs()) != 3 {
		t.Errorf("settled %v, knows %v", here.Synced(), here.JobIDs())
	}
	if te.SyncPeer(t.Context(), "a"); peer.sent != 3 {
		t.Errorf("told %d times with no news", peer.sent)
	}
	here.Add("", "req-4")
	if te.SyncPeer(t.Context(), "a"); peer.sent != 4 || !slices.Contains(peer.JobIDs(), "req-4") {
		t.Errorf("told %d times, the peer knows %v", peer.sent, peer.JobIDs())
	}
}
