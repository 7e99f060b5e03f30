package shard

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/cancellation"
	"rillflow/internal/election"
	"rillflow/internal/peer"
	"rillflow/internal/placement"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

var testTime = time.Unix(500, 0)

// fakeLinks are the links to the other controllers.
type fakeLinks struct {
	answer peer.HeartbeatAnswer
	err    error
	peers  map[string]peer.Status
}

func (l *fakeLinks) ForwardHeartbeat(context.Context, string, *wire.Heartbeat) (peer.HeartbeatAnswer, error) {
	return l.answer, l.err
}

func (l *fakeLinks) Pick(context.Context, string, *placement.Offer) ([]placement.Pick, error) {
	return nil, errors.New("not asked for")
}

func (l *fakeLinks) Peers() map[string]peer.Status { return l.peers }

// fakeLeader is the leader runtime of this controller.
type fakeLeader struct{ err error }

func (l fakeLeader) Heartbeat(context.Context, *wire.Heartbeat) (wire.CommandBatch, []agent.RuntimeSample, error) {
	return wire.CommandBatch{Epoch: 7}, nil, l.err
}

func newTestOwner(t *testing.T, shardMap election.ShardMap, sinceStoreAnswer time.Duration, links *fakeLinks) *Owner {
	t.Helper()
	operator, err := settings.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	facts := settings.Facts{Workers: settings.WorkerTimings{HeartbeatSeconds: 4, LeaseSeconds: 40}}
	config := &settings.Settings{Name: "me", Operator: operator, Facts: facts}
	now := func() time.Time { return testTime }
	cancellations := cancellation.New(cancellation.Options{
		StopDeadline: time.Minute, Capacity: 8, StoreUnavailable: func() bool { return false }, Now: now,
	})
	owner := New(
		config, func() election.ShardMap { return shardMap }, func() time.Duration { return sinceStoreAnswer },
		cancellations, now,
	)
	owner.SetPeerLinks(links)
	return owner
}

// A heartbeat is answered by the leader, through the owner of the worker's shard alone.
func TestHeartbeat(t *testing.T) {
	mine := election.ShardMap{Epoch: 7, Leader: "me", Owners: []string{"me"}}
	theirs := election.ShardMap{Epoch: 7, Leader: "me", Owners: []string{"other"}}
	remote := election.ShardMap{Epoch: 7, Leader: "boss", Owners: []string{"me"}}
	passedOn := peer.HeartbeatAnswer{OK: true, Commands: wire.CommandBatch{Epoch: 9}}
	for _, tc := range []struct {
		name     string
		shardMap election.ShardMap
		seen     uint64 // the worker's epoch
		links    fakeLinks
		leader   fakeLeader
		epoch    uint64 // of the answer; 0: refused
		redirect string
	}{
		{"the leader's own worker", mine, 7, fakeLinks{}, fakeLeader{}, 7, ""},
		{"the term is over", mine, 7, fakeLinks{}, fakeLeader{errors.New("no")}, 0, ""},
		{"another's worker", theirs, 7, fakeLinks{}, fakeLeader{}, 0, "other"},
		{"no map yet", election.ShardMap{}, 0, fakeLinks{}, fakeLeader{}, 0, ""},
		{"a worker that knows more", mine, 8, fakeLinks{}, fakeLeader{}, 0, ""},
		{"passed on", remote, 7, fakeLinks{answer: passedOn}, fakeLeader{}, 9, ""},
		{"the leader may not answer", remote, 7, fakeLinks{}, fakeLeader{}, 0, ""},
		{"the leader cannot be asked: the tasks run on", remote, 7, fakeLinks{err: peer.ErrDown}, fakeLeader{}, 7, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			owner := newTestOwner(t, tc.shardMap, 0, &tc.links)
			batch, err := owner.Heartbeat(t.Context(), &wire.Heartbeat{Worker: "i-1", Epoch: tc.seen}, tc.leader)
			if batch.Epoch != tc.epoch || (err == nil) != (tc.epoch > 0) {
				t.Errorf("epoch %d, %v", batch.Epoch, err)
			}
			var notOwner *NotOwnerError
			if err != nil && (!errors.As(err, &notOwner) || notOwner.RedirectTarget != tc.redirect) {
				t.Errorf("sent to %v, want %q", err, tc.redirect)
			}
			if len(batch.Commands) > 0 {
				t.Error("commands that nobody gave")
			}
		})
	}
}

// In an outage of the store tasks run on though nobody can lead. But a controller that has
// lost the cancellations that users were told of, or that is refused alone, answers nothing
// by itself.
func TestHeartbeatDuringStoreOutage(t *testing.T) {
	no, refused := errors.New("no"), peer.Status{Live: true}
	served := map[string]peer.Status{"boss": {Live: true, Ping: peer.Ping{StoreSilence: 0}}}
	refused.StoreSilence = time.Minute
	down := map[string]peer.Status{"boss": refused}
	for _, tc := range []struct {
		name   string
		leader string
		synced bool // its cancellations are
		links  fakeLinks
		epoch  uint64 // of the answer; 0: refused
	}{
		{"the leader stepped down", "boss", true, fakeLinks{peers: down}, 7},
		{"this controller led, and stepped down", "me", true, fakeLinks{peers: down}, 7},
		{"the leader is out of reach", "boss", true, fakeLinks{err: peer.ErrDown}, 7},
		{"refused alone", "boss", true, fakeLinks{peers: served}, 0},
		{"refused alone, and led", "me", true, fakeLinks{peers: served}, 0},
		{"just started, the leader stepped down", "boss", false, fakeLinks{peers: down}, 0},
		{"just started, the leader is out of reach", "boss", false, fakeLinks{err: peer.ErrDown}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			shardMap := election.ShardMap{Epoch: 7, Leader: tc.leader, Owners: []string{"me"}}
			owner := newTestOwner(t, shardMap, time.Minute, &tc.links)
			if tc.synced {
				owner.cancellations.AddComplete("")
			}
			owner.cancellations.Add("", "req-1")
			heartbeat := &wire.Heartbeat{Worker: "i-1", Epoch: 7, Tasks: []wire.TaskStatus{
				{Task: "req-1/0", Attempt: 2, Phase: wire.TaskRunning},
				{Task: "req-2/0", Attempt: 1, Phase: wire.TaskRunning},
			}}
			batch, err := owner.Heartbeat(t.Context(), heartbeat, fakeLeader{no})
			if batch.Epoch != tc.epoch || (err == nil) != (tc.epoch > 0) {
				t.Fatalf("epoch %d, %v", batch.Epoch, err)
			}
			want := []wire.Command{{Action: wire.ActionStop, Task: "req-1/0", Attempt: 2}}
			if err == nil && !slices.Equal(batch.Commands, want) {
				t.Errorf("commands %v, want %v", batch.Commands, want)
			}
		})
	}
}

// A controller that the store refuses alone hands its shard over. If all are refused they
// wait.
func TestEligibleOwners(t *testing.T) {
	// a is the one peer, with the time since the store answered it and since it is live.
	a := func(age, since time.Duration, live bool) map[string]peer.Status {
		status := peer.Status{Ping: peer.Ping{StoreSilence: age}, Live: live, LiveSince: testTime.Add(-since)}
		return map[string]peer.Status{"a": status}
	}
	both, alone := []string{"a", "me"}, []string{"me"}
	for _, tc := range []struct {
		name     string
		stale    time.Duration // since the store answered
		peers    map[string]peer.Status
		current  []string
		eligible []string
		peerOnly bool // the store serves the peer only
	}{
		{"all is well", 0, a(0, time.Hour, true), both, both, false},
		{"a peer is refused", 0, a(9*time.Second, time.Hour, true), both, alone, false},
		{"only this controller is", 9 * time.Second, a(0, time.Hour, true), both, both, true},
		{"all are: an outage", 9 * time.Second, a(9*time.Second, time.Hour, true), both, both, false},
		{"refused, and the peer is gone", 9 * time.Second, a(0, time.Hour, false), both, alone, false},
		{"a peer that just came waits", 0, a(0, time.Second, true), alone, alone, false},
		{"but not for a first map", 0, a(0, time.Second, true), nil, both, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			owner := newTestOwner(t, election.ShardMap{}, tc.stale, &fakeLinks{peers: tc.peers})
			if got := owner.EligibleOwners(tc.current); !slices.Equal(got, tc.eligible) {
				t.Errorf("eligible %v, want %v", got, tc.eligible)
			}
			if _, peerOnly := owner.StoreServesPeerOnly(); peerOnly != tc.peerOnly {
				t.Errorf("the store serves the peer only: %v", peerOnly)
			}
		})
	}
}
