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
	return New(Options{
		StopDeadline: testStopDeadline, Capacity: capacity, Peers: []string{"a", "b"},
		StoreUnavailable: func() bool { return *storeUnavailable }, Now: func() time.Time { return c.now },
	})
}

// A cancellation is kept while a task that it stops may still run or start, and is never evicted.
func TestSetRetention(t *testing.T) {
	c, storeUnavailable := &clock{time.Unix(1e9, 0)}, false
	set := newTestSet(c, &storeUnavailable, 2)
	if !set.Add("", "req-1", "req-2") || set.Add("", "req-3") || !set.Add("a", "req-2") {
		t.Fatal("want room for two, and no eviction")
	}
	c.now = c.now.Add(testStopDeadline + time.Second)
	if set.Add("", "req-3") {
		t.Error("dropped at the stop deadline: a delayed command may still start a task")
	}
	storeUnavailable = true
	c.now = c.now.Add(10 * testStopDeadline)
	if set.Add("", "req-3") {
		t.Error("dropped during an outage of the store")
	}
	storeUnavailable = false
	c.now = c.now.Add(testStopDeadline)
	if !set.Add("", "req-3") || slices.Contains(set.JobIDs(), "req-1") || !slices.Equal(set.JobIDs(), []string{"req-3"}) {
		t.Errorf("kept for ever: %v", set.JobIDs())
	}
}

// Tasks of cancelled jobs are stopped once, and not started; others are left alone.
func TestAmendCommands(t *testing.T) {
	c, storeUnavailable := &clock{time.Unix(1e9, 0)}, false
	set := newTestSet(c, &storeUnavailable, 8)
	heartbeat := &wire.Heartbeat{Tasks: []wire.TaskStatus{
		{Task: "req-1/0", Attempt: 1, Phase: wire.TaskRunning},
		{Task: "req-1/1", Attempt: 2, Phase: wire.TaskFetching},
		{Task: "req-1/2", Attempt: 1, Phase: wire.TaskExited},
		{Task: "req-10/0", Attempt: 1, Phase: wire.TaskRunning},
	}}
	given := []wire.Command{
		{Action: wire.ActionStop, Task: "req-1/0", Attempt: 1},
		{Action: wire.ActionStart, Task: "req-1/3", Attempt: 1},
		{Action: wire.ActionStart, Task: "req-10/1", Attempt: 1},
		{Action: wire.ActionForget, Task: "req-1/2", Attempt: 1},
	}
	if got := set.AmendCommands(heartbeat, slices.Clone(given)); !slices.Equal(got, given) {
		t.Errorf("%v, with nothing cancelled", got)
	}
	set.Add("", "req-1")
	want := []wire.Command{given[0], given[2], given[3], {Action: wire.ActionStop, Task: "req-1/1", Attempt: 2}}
	if got := set.AmendCommands(heartbeat, slices.Clone(given)); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// A process that has just started is synced only by a peer that is synced.
func TestSynced(t *testing.T) {
	c, storeUnavailable := &clock{time.Unix(1e9, 0)}, false
	old := newTestSet(c, &storeUnavailable, 8)
	c.now = c.now.Add(testStopDeadline + time.Second)
	old.Add("", "req-1")
	young, next := newTestSet(c, &storeUnavailable, 8), newTestSet(c, &storeUnavailable, 8)
	notLeading := fakeLeader{}
	if young.Receive(&Message{From: "a", Full: true}, notLeading); young.Synced() {
		t.Error("synced by a peer that is not")
	}
	if young.Receive(&Message{From: "a", JobIDs: []string{"req-2"}, Synced: true}, notLeading); young.Synced() {
		t.Error("synced by a message that is not full")
	}
	ack := old.Receive(&Message{From: "b", Full: true}, notLeading)
	if !ack.Synced || !slices.Equal(ack.JobIDs, []string{"req-1"}) {
		t.Errorf("%+v", ack)
	}
	next.AddComplete("a", ack.JobIDs...)
	if ack = next.Receive(&Message{From: "b", Full: true}, notLeading); !next.Synced() || !ack.Synced {
		t.Error("not synced by a peer that is")
	}
	c.now = c.now.Add(testStopDeadline + time.Second)
	if !young.Synced() {
		t.Error("not synced after the stop deadline")
	}
}

// What a peer acknowledged is forgotten with the connection: its process may have been replaced.
func TestReconnectedPeerIsUnacknowledged(t *testing.T) {
	c, storeUnavailable := &clock{time.Unix(1e9, 0)}, false
	set := newTestSet(c, &storeUnavailable, 8)
	set.Add("a", "req-1")
	set.Add("", "req-2")
	set.acknowledge("a", []string{"req-2"})
	if u := set.unacknowledgedBy("a"); len(u) != 0 {
		t.Errorf("unacknowledged %v", u)
	}
	set.forgetAcknowledgements("a")
	if u := set.unacknowledgedBy("a"); !slices.Equal(u, []string{"req-1", "req-2"}) {
		t.Errorf("unacknowledged %v", u)
	}
	if u := set.unacknowledgedBy("b"); len(u) != 2 {
		t.Errorf("unacknowledged by the other peer: %v", u)
	}
}

// fakeLink answers for the peers.
type fakeLink map[string]struct {
	Ack
	err error
}

func (l fakeLink) SendCancellations(_ context.Context, p string, _ *Message) (Ack, error) {
	return l[p].Ack, l[p].err
}

// A user may be told once all controllers know, or the current leader does.
func TestBroadcast(t *testing.T) {
	down, knows, leads, full := errors.New("down"), Ack{Accepted: true}, Ack{Accepted: true, IsLeader: true}, Ack{}
	type peers = fakeLink
	for _, tc := range []struct {
		name   string
		self   bool // this controller leads
		peers  peers
		leader string // as the store has it; "": it refuses
		ok     bool
		reads  int
	}{
		{"all know", false, peers{"a": {knows, nil}, "b": {leads, nil}}, "", true, 0},
		{"one is away, the leader knows", false, peers{"a": {Ack{}, down}, "b": {leads, nil}}, "b", true, 1},
		{"one is away, this one leads", true, peers{"a": {Ack{}, down}, "b": {Ack{}, down}}, "me", true, 1},
		{"the leader is away", false, peers{"a": {Ack{}, down}, "b": {knows, nil}}, "a", false, 1},
		{"who knows led, and another does since", false, peers{"a": {Ack{}, down}, "b": {leads, nil}}, "a", false, 1},
		{"the leader has yet to read its job table", false, peers{"a": {Ack{}, down}, "b": {knows, nil}}, "b", false, 1},
		{"this one has", false, peers{"a": {Ack{}, down}, "b": {knows, nil}}, "me", false, 1},
		{"nobody can tell who leads", false, peers{"a": {Ack{}, down}, "b": {leads, nil}}, "", false, 1},
		{"the leader has no room", false, peers{"a": {knows, nil}, "b": {full, nil}}, "b", false, 1},
		{"the leader does not support it", false, peers{"a": {Ack{}, down}, "b": {Ack{}, ErrUnsupported}}, "b", true, 1},
		{"nor does any other", false, peers{"a": {Ack{}, ErrUnsupported}, "b": {Ack{}, ErrUnsupported}}, "", true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, storeUnavailable, reads := &clock{time.Unix(1e9, 0)}, false, 0
			set := newTestSet(c, &storeUnavailable, 8)
			broadcaster := &Broadcaster{
				Controller: "me", Cancellations: set, Link: tc.peers, LocalLeader: fakeLeader{t, set, tc.self, true},
				CurrentLeader: func(context.Context) (string, error) {
					reads++
					if tc.leader == "" {
						return "", down
					}
					return tc.leader, nil
				},
			}
			err := broadcaster.Broadcast(t.Context(), "req-1")
			if (err == nil) != tc.ok || err != nil && !errors.Is(err, ErrNotAcknowledged) || reads != tc.reads {
				t.Errorf("%v, after %d reads", err, reads)
			}
			for name, peer := range tc.peers {
				if got := !slices.Contains(set.unacknowledgedBy(name), "req-1"); got != (peer.err == nil && peer.Accepted) {
					t.Errorf("%s counts as having acknowledged: %v", name, got)
				}
			}
		})
	}
}

// fakeLeader is the leader runtime of this controller, which leads or not.
type fakeLeader struct {
	t                *testing.T
	set              *Set
	isLeader         bool
	launchesResolved bool
}

func (l fakeLeader) ApplyCancellations() bool {
	if l.set != nil && !slices.Contains(l.set.JobIDs(), "req-1") {
		l.t.Error("asked whether it leads before the cancellation was recorded")
	}
	return l.isLeader
}

func (l fakeLeader) LaunchesResolved(...string) bool { return l.launchesResolved }

// resolvingLink leads to a leader whose launches are resolved once it was asked so often.
type resolvingLink struct{ unresolvedAnswers atomic.Int64 }

func (a *resolvingLink) SendCancellations(context.Context, string, *Message) (Ack, error) {
	return Ack{Accepted: a.unresolvedAnswers.Add(-1) < 0, IsLeader: true}, nil
}

// A broadcast waits for the leader's launches to be resolved, here or elsewhere, but no
// longer than the user waits.
func TestBroadcastWaitsForLaunches(t *testing.T) {
	for _, tc := range []struct {
		name  string
		times int64 // that the leader is asked before its launches are resolved
		self  bool  // this controller leads, and its own launches are never resolved
		ok    bool
	}{
		{"none is under way", 0, false, true},
		{"stopped soon", 3, false, true},
		{"not in the user's time", 1 << 30, false, false},
		{"its own", 0, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, storeUnavailable := &clock{time.Unix(1e9, 0)}, false
				set, leader := newTestSet(c, &storeUnavailable, 8), &resolvingLink{}
				leader.unresolvedAnswers.Store(2 * tc.times) // there are two peers
				broadcaster := &Broadcaster{
					Controller: "me", Cancellations: set, Link: leader,
					LocalLeader: fakeLeader{t, set, tc.self, !tc.self}, InitialBackoff: 10 * time.Millisecond,
					CurrentLeader: func(context.Context) (string, error) {
						t.Error("the store is asked")
						return "a", nil
					},
				}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				began := time.Now()
				err := broadcaster.Broadcast(ctx, "req-1")
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

// A leader whose launches are unresolved has recorded the cancellation nevertheless.
func TestReceiveWhileLaunching(t *testing.T) {
	c, storeUnavailable := &clock{time.Unix(1e9, 0)}, false
	set := newTestSet(c, &storeUnavailable, 8)
	ack := set.Receive(&Message{From: "a", JobIDs: []string{"req-1"}}, fakeLeader{isLeader: true})
	if ack.Accepted || !ack.IsLeader {
		t.Errorf("%+v", ack)
	}
	if !slices.Equal(set.JobIDs(), []string{"req-1"}) {
		t.Error("not recorded")
	}
	ack = set.Receive(&Message{From: "a", JobIDs: []string{"req-1"}, Full: true}, fakeLeader{isLeader: true})
	if !ack.Accepted {
		t.Error("a full message waits for launches")
	}
}

// Whatever decodes encodes to the same again.
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

// remoteSet is a peer that answers with what it knows.
type remoteSet struct {
	*Set
	sent int
}

func (f *remoteSet) SendCancellations(_ context.Context, _ string, n *Message) (Ack, error) {
	f.sent++
	return f.Receive(n, fakeLeader{launchesResolved: true}), nil
}

// On a new connection each sends the other all. After that a peer is sent only what it
// lacks, and a controller that is not synced asks until it hears from one that is.
func TestExchangeAll(t *testing.T) {
	c, storeUnavailable := &clock{time.Unix(1e9, 0)}, false
	peer, local := &remoteSet{Set: newTestSet(c, &storeUnavailable, 8)}, newTestSet(c, &storeUnavailable, 8)
	broadcaster := &Broadcaster{Controller: "me", Cancellations: local, Link: peer}
	local.Add("", "req-1")
	peer.Add("", "req-2")
	broadcaster.PeerConnected(t.Context(), "a")
	for _, set := range []*Set{local, peer.Set} {
		if !slices.Equal(set.JobIDs(), []string{"req-1", "req-2"}) || set.Synced() {
			t.Errorf("knows %v, synced %v", set.JobIDs(), set.Synced())
		}
	}
	if broadcaster.SyncPeer(t.Context(), "a"); peer.sent != 2 || local.Synced() {
		t.Errorf("asked %d times, synced %v", peer.sent, local.Synced())
	}
	peer.AddComplete("", "req-3")
	if broadcaster.SyncPeer(t.Context(), "a"); !local.Synced() || len(local.JobIDs()) != 3 {
		t.Errorf("synced %v, knows %v", local.Synced(), local.JobIDs())
	}
	if broadcaster.SyncPeer(t.Context(), "a"); peer.sent != 3 {
		t.Errorf("sent %d times without news", peer.sent)
	}
	local.Add("", "req-4")
	if broadcaster.SyncPeer(t.Context(), "a"); peer.sent != 4 || !slices.Contains(peer.JobIDs(), "req-4") {
		t.Errorf("sent %d times, the peer knows %v", peer.sent, peer.JobIDs())
	}
}
