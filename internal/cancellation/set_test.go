package cancellation

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

const testStopDeadline = 40 * time.Second

// fakeClock is a manually advanced clock.
type fakeClock struct{ now time.Time }

func newTestSet(clock *fakeClock, storeUnavailable *bool, capacity int) *Set {
	return New(Options{
		StopDeadline: testStopDeadline, Capacity: capacity, Peers: []string{"a", "b"},
		StoreUnavailable: func() bool { return *storeUnavailable }, Now: func() time.Time { return clock.now },
	})
}

// A cancellation is retained while a task of its job may still run or start, and is never
// evicted to make room for another one.
func TestSetRetention(t *testing.T) {
	clock, storeUnavailable := &fakeClock{time.Unix(1e9, 0)}, false
	set := newTestSet(clock, &storeUnavailable, 2)
	if !set.Add("", "req-1", "req-2") || set.Add("", "req-3") || !set.Add("a", "req-2") {
		t.Fatal("a set of capacity 2 does not hold exactly the first two jobs")
	}
	clock.now = clock.now.Add(testStopDeadline + time.Second)
	if set.Add("", "req-3") {
		t.Error("entries removed at the stop deadline, although a delayed command may still start a task")
	}
	storeUnavailable = true
	clock.now = clock.now.Add(10 * testStopDeadline)
	if set.Add("", "req-3") {
		t.Error("entries removed while the store is unavailable")
	}
	storeUnavailable = false
	clock.now = clock.now.Add(testStopDeadline)
	if !set.Add("", "req-3") || slices.Contains(set.JobIDs(), "req-1") || !slices.Equal(set.JobIDs(), []string{"req-3"}) {
		t.Errorf("got %v after the retention period, want only req-3", set.JobIDs())
	}
}

// AmendCommands stops each running task of a cancelled job with one command, removes its
// start commands, and leaves commands for other jobs unchanged.
func TestAmendCommands(t *testing.T) {
	clock, storeUnavailable := &fakeClock{time.Unix(1e9, 0)}, false
	set := newTestSet(clock, &storeUnavailable, 8)
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
		t.Errorf("got %v from an empty set, want the commands unchanged", got)
	}
	set.Add("", "req-1")
	want := []wire.Command{given[0], given[2], given[3], {Action: wire.ActionStop, Task: "req-1/1", Attempt: 2}}
	if got := set.AmendCommands(heartbeat, slices.Clone(given)); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A controller that has just started becomes synced by the full message of a synced peer,
// or once the stop deadline has passed.
func TestSynced(t *testing.T) {
	clock, storeUnavailable := &fakeClock{time.Unix(1e9, 0)}, false
	old := newTestSet(clock, &storeUnavailable, 8)
	clock.now = clock.now.Add(testStopDeadline + time.Second)
	old.Add("", "req-1")
	young, next := newTestSet(clock, &storeUnavailable, 8), newTestSet(clock, &storeUnavailable, 8)
	notLeading := fakeLeader{}
	if young.Receive(&Message{From: "a", Full: true}, notLeading); young.Synced() {
		t.Error("synced by a peer that is not synced itself")
	}
	if young.Receive(&Message{From: "a", JobIDs: []string{"req-2"}, Synced: true}, notLeading); young.Synced() {
		t.Error("synced by a message that is not full")
	}
	ack := old.Receive(&Message{From: "b", Full: true}, notLeading)
	if !ack.Synced || !slices.Equal(ack.JobIDs, []string{"req-1"}) {
		t.Errorf("got %+v from a synced peer, want Synced and req-1", ack)
	}
	next.AddComplete("a", ack.JobIDs...)
	if ack = next.Receive(&Message{From: "b", Full: true}, notLeading); !next.Synced() || !ack.Synced {
		t.Error("not synced by a synced peer")
	}
	clock.now = clock.now.Add(testStopDeadline + time.Second)
	if !young.Synced() {
		t.Error("not synced after the stop deadline")
	}
}

// The acknowledgements of a peer are discarded when it reconnects, since it may have
// restarted with an empty set.
func TestReconnectedPeerIsUnacknowledged(t *testing.T) {
	clock, storeUnavailable := &fakeClock{time.Unix(1e9, 0)}, false
	set := newTestSet(clock, &storeUnavailable, 8)
	set.Add("a", "req-1")
	set.Add("", "req-2")
	set.acknowledge("a", []string{"req-2"})
	if jobIDs := set.unacknowledgedBy("a"); len(jobIDs) != 0 {
		t.Errorf("got unacknowledged %v, want none", jobIDs)
	}
	set.forgetAcknowledgements("a")
	if jobIDs := set.unacknowledgedBy("a"); !slices.Equal(jobIDs, []string{"req-1", "req-2"}) {
		t.Errorf("got unacknowledged %v after a reconnection, want req-1 and req-2", jobIDs)
	}
	if jobIDs := set.unacknowledgedBy("b"); len(jobIDs) != 2 {
		t.Errorf("got unacknowledged %v for the other peer, want both jobs", jobIDs)
	}
}

// fakeLink returns a fixed answer or error for each peer.
type fakeLink map[string]struct {
	Ack
	err error
}

func (l fakeLink) SendCancellations(_ context.Context, peer string, _ *Message) (Ack, error) {
	return l[peer].Ack, l[peer].err
}

// A cancellation may be acknowledged to the user once all controllers or the current leader
// have accepted it. The leader is read from the store only if a peer has not accepted.
func TestBroadcast(t *testing.T) {
	down, accepts, leads, setFull := errors.New("down"), Ack{Accepted: true}, Ack{Accepted: true, IsLeader: true}, Ack{}
	type peers = fakeLink
	for _, tc := range []struct {
		name             string
		isLeader         bool // this controller is the leader
		peers            peers
		leader           string // according to the store; "": the read fails
		wantAcknowledged bool
		wantReads        int // of the leader
	}{
		{"all peers accept", false, peers{"a": {accepts, nil}, "b": {leads, nil}}, "", true, 0},
		{"a peer is down, the leader accepts", false, peers{"a": {Ack{}, down}, "b": {leads, nil}}, "b", true, 1},
		{"all peers are down, this controller is the leader", true,
			peers{"a": {Ack{}, down}, "b": {Ack{}, down}}, "me", true, 1},
		{"the leader is down", false, peers{"a": {Ack{}, down}, "b": {accepts, nil}}, "a", false, 1},
		{"the peer that accepted is no longer the leader", false,
			peers{"a": {Ack{}, down}, "b": {leads, nil}}, "a", false, 1},
		{"the leader has not read its job table yet", false,
			peers{"a": {Ack{}, down}, "b": {accepts, nil}}, "b", false, 1},
		{"this controller is the leader and has not read its job table yet", false,
			peers{"a": {Ack{}, down}, "b": {accepts, nil}}, "me", false, 1},
		{"the leader cannot be read", false, peers{"a": {Ack{}, down}, "b": {leads, nil}}, "", false, 1},
		{"the leader's set is full", false, peers{"a": {accepts, nil}, "b": {setFull, nil}}, "b", false, 1},
		{"the leader does not support the message", false,
			peers{"a": {Ack{}, down}, "b": {Ack{}, ErrUnsupported}}, "b", true, 1},
		{"no peer supports the message", false,
			peers{"a": {Ack{}, ErrUnsupported}, "b": {Ack{}, ErrUnsupported}}, "", true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock, storeUnavailable, reads := &fakeClock{time.Unix(1e9, 0)}, false, 0
			set := newTestSet(clock, &storeUnavailable, 8)
			broadcaster := &Broadcaster{
				Controller: "me", Cancellations: set, Link: tc.peers, LocalLeader: fakeLeader{t, set, tc.isLeader, true},
				CurrentLeader: func(context.Context) (string, error) {
					reads++
					if tc.leader == "" {
						return "", down
					}
					return tc.leader, nil
				},
			}
			err := broadcaster.Broadcast(t.Context(), "req-1")
			if (err == nil) != tc.wantAcknowledged || err != nil && !errors.Is(err, ErrNotAcknowledged) ||
				reads != tc.wantReads {
				t.Errorf("got error %v after %d reads of the leader, want acknowledged %v after %d",
					err, reads, tc.wantAcknowledged, tc.wantReads)
			}
			for name, peer := range tc.peers {
				if got := !slices.Contains(set.unacknowledgedBy(name), "req-1"); got != (peer.err == nil && peer.Accepted) {
					t.Errorf("peer %s recorded as having acknowledged: got %v", name, got)
				}
			}
		})
	}
}

// fakeLeader is the leader runtime of this controller with fixed answers.
type fakeLeader struct {
	t                *testing.T
	set              *Set
	isLeader         bool
	launchesResolved bool
}

func (l fakeLeader) ApplyCancellations() bool {
	if l.set != nil && !slices.Contains(l.set.JobIDs(), "req-1") {
		l.t.Error("ApplyCancellations called before the cancellation was recorded")
	}
	return l.isLeader
}

func (l fakeLeader) StartCommandsResolved(...string) bool { return l.launchesResolved }

// resolvingLink is a link to a leader whose launches are resolved after a number of
// answers.
type resolvingLink struct{ unresolvedAnswers atomic.Int64 }

func (l *resolvingLink) SendCancellations(context.Context, string, *Message) (Ack, error) {
	return Ack{Accepted: l.unresolvedAnswers.Add(-1) < 0, IsLeader: true}, nil
}

// A broadcast waits until the launches of the leader, on this controller or a peer, are
// resolved, but no longer than its context allows.
func TestBroadcastWaitsForLaunches(t *testing.T) {
	for _, tc := range []struct {
		name              string
		unresolvedPerPeer int64 // answers of each peer before its launches are resolved
		isLeader          bool  // this controller is the leader, and its launches are never resolved
		wantAcknowledged  bool
	}{
		{"no pending launches", 0, false, true},
		{"resolved after three attempts", 3, false, true},
		{"never resolved", 1 << 30, false, false},
		{"launches of this controller never resolved", 0, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, storeUnavailable := &fakeClock{time.Unix(1e9, 0)}, false
				set, leader := newTestSet(clock, &storeUnavailable, 8), &resolvingLink{}
				leader.unresolvedAnswers.Store(2 * tc.unresolvedPerPeer) // there are two peers
				broadcaster := &Broadcaster{
					Controller: "me", Cancellations: set, Link: leader,
					LocalLeader: fakeLeader{t, set, tc.isLeader, !tc.isLeader}, InitialBackoff: 10 * time.Millisecond,
					CurrentLeader: func(context.Context) (string, error) {
						t.Error("the leader is read from the store")
						return "a", nil
					},
				}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				startedAt := time.Now()
				err := broadcaster.Broadcast(ctx, "req-1")
				if (err == nil) != tc.wantAcknowledged || err != nil && !errors.Is(err, ErrNotAcknowledged) {
					t.Error("got error", err, "and want acknowledged", tc.wantAcknowledged)
				}
				if since := time.Since(startedAt); tc.wantAcknowledged && since > time.Second ||
					!tc.wantAcknowledged && since != 2*time.Second {
					t.Errorf("Broadcast returned after %v, want at most 1s if acknowledged, otherwise 2s", since)
				}
			})
		})
	}
}

// A leader with unresolved launches records a cancellation although it does not accept it.
func TestReceiveWithUnresolvedLaunches(t *testing.T) {
	clock, storeUnavailable := &fakeClock{time.Unix(1e9, 0)}, false
	set := newTestSet(clock, &storeUnavailable, 8)
	ack := set.Receive(&Message{From: "a", JobIDs: []string{"req-1"}}, fakeLeader{isLeader: true})
	if ack.Accepted || !ack.IsLeader {
		t.Errorf("got %+v, want IsLeader without Accepted", ack)
	}
	if !slices.Equal(set.JobIDs(), []string{"req-1"}) {
		t.Error("cancellation not recorded")
	}
	ack = set.Receive(&Message{From: "a", JobIDs: []string{"req-1"}, Full: true}, fakeLeader{isLeader: true})
	if !ack.Accepted {
		t.Error("full message not accepted because of unresolved launches")
	}
}

// Every message that decodes keeps its content when it is encoded and decoded again.
func FuzzMessages(f *testing.F) {
	message, ack := Message{"me", []string{"req-1", ""}, true, false}, Ack{true, false, true, []string{"req-2"}}
	f.Add(message.Encode())
	f.Add(ack.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if message, err := DecodeMessage(b); err == nil {
			if again, err := DecodeMessage(message.Encode()); err != nil || !reflect.DeepEqual(again, message) {
				t.Errorf("want %+v, got %+v, error %v", message, again, err)
			}
		}
		if ack, err := DecodeAck(b); err == nil {
			if again, err := DecodeAck(ack.Encode()); err != nil || !reflect.DeepEqual(again, ack) {
				t.Errorf("want %+v, got %+v, error %v", ack, again, err)
			}
		}
	})
}

// remoteSet is a link to a single peer with a set of its own.
type remoteSet struct {
	*Set
	received int // messages
}

func (r *remoteSet) SendCancellations(_ context.Context, _ string, message *Message) (Ack, error) {
	r.received++
	return r.Receive(message, fakeLeader{launchesResolved: true}), nil
}

// On a new connection two controllers exchange their entire sets. After that a synced
// controller sends only cancellations that the peer lacks, and one that is not synced
// repeats the exchange until a synced peer answers.
func TestExchangeAll(t *testing.T) {
	clock, storeUnavailable := &fakeClock{time.Unix(1e9, 0)}, false
	peer, local := &remoteSet{Set: newTestSet(clock, &storeUnavailable, 8)}, newTestSet(clock, &storeUnavailable, 8)
	broadcaster := &Broadcaster{Controller: "me", Cancellations: local, Link: peer}
	local.Add("", "req-1")
	peer.Add("", "req-2")
	broadcaster.PeerConnected(t.Context(), "a")
	for _, set := range []*Set{local, peer.Set} {
		if !slices.Equal(set.JobIDs(), []string{"req-1", "req-2"}) || set.Synced() {
			t.Errorf("got jobs %v, synced %v, want req-1 and req-2, not synced", set.JobIDs(), set.Synced())
		}
	}
	if broadcaster.SyncPeer(t.Context(), "a"); peer.received != 2 || local.Synced() {
		t.Errorf("got %d messages, synced %v, want 2, not synced", peer.received, local.Synced())
	}
	peer.AddComplete("", "req-3")
	if broadcaster.SyncPeer(t.Context(), "a"); !local.Synced() || len(local.JobIDs()) != 3 {
		t.Errorf("got synced %v, jobs %v, want synced with 3 jobs", local.Synced(), local.JobIDs())
	}
	if broadcaster.SyncPeer(t.Context(), "a"); peer.received != 3 {
		t.Errorf("got %d messages, want 3: nothing is unacknowledged", peer.received)
	}
	local.Add("", "req-4")
	if broadcaster.SyncPeer(t.Context(), "a"); peer.received != 4 || !slices.Contains(peer.JobIDs(), "req-4") {
		t.Errorf("got %d messages, the peer has %v, want 4 messages and req-4", peer.received, peer.JobIDs())
	}
}

// Guards against cancellations that are not confirmed after a restart, because those merged from a peer, which
// are retained once more from then on, leave no room for new ones.
func TestMergedSetLeavesRoomForNewCancellations(t *testing.T) {
	const writeRPS, stopDeadline = 80, time.Minute
	now := time.Unix(1000, 0)
	set := New(Options{
		StopDeadline: stopDeadline, Capacity: Capacity(writeRPS, stopDeadline),
		StoreUnavailable: func() bool { return false }, Now: func() time.Time { return now },
	})
	jobIDs := func(first, count int) (jobIDs []string) {
		for i := range count {
			jobIDs = append(jobIDs, fmt.Sprintf("req-%06d", first+i))
		}
		return jobIDs
	}
	const perSecond = writeRPS / operationsPerCancellation
	const retentionSeconds = int(retentionFactor * stopDeadline / time.Second)
	if !set.AddComplete("host-1", jobIDs(0, perSecond*retentionSeconds)...) {
		t.Fatal("no room for a peer's cancellations")
	}
	for second := range 2 * retentionSeconds {
		now = now.Add(time.Second)
		if !set.Add("", jobIDs((retentionSeconds+second)*perSecond, perSecond)...) {
			t.Fatalf("no room for a new cancellation %d s after the restart", second)
		}
	}
}
