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
	return nil, errors.New("unexpected call of Pick")
}

func (l *fakeLinks) Peers() map[string]peer.Status { return l.peers }

// fakeLeader is the leader runtime of this controller. It answers with epoch 7.
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

// A heartbeat is answered by the leader, and only through the owner of the worker's shard.
func TestHeartbeat(t *testing.T) {
	ownShard := election.ShardMap{Epoch: 7, Leader: "me", Owners: []string{"me"}}
	othersShard := election.ShardMap{Epoch: 7, Leader: "me", Owners: []string{"other"}}
	remoteLeader := election.ShardMap{Epoch: 7, Leader: "boss", Owners: []string{"me"}}
	forwarded := peer.HeartbeatAnswer{OK: true, Commands: wire.CommandBatch{Epoch: 9}}
	for _, tc := range []struct {
		name         string
		shardMap     election.ShardMap
		workerEpoch  uint64
		links        fakeLinks
		leader       fakeLeader
		wantEpoch    uint64 // of the answer; 0: refused
		wantRedirect string
	}{
		{"local leader", ownShard, 7, fakeLinks{}, fakeLeader{}, 7, ""},
		{"local leader has stepped down", ownShard, 7, fakeLinks{}, fakeLeader{errors.New("not leading")}, 0, ""},
		{"worker of another shard", othersShard, 7, fakeLinks{}, fakeLeader{}, 0, "other"},
		{"no shard map", election.ShardMap{}, 0, fakeLinks{}, fakeLeader{}, 0, ""},
		{"worker with a later epoch", ownShard, 8, fakeLinks{}, fakeLeader{}, 0, ""},
		{"forwarded to a remote leader", remoteLeader, 7, fakeLinks{answer: forwarded}, fakeLeader{}, 9, ""},
		{"remote leader has stepped down", remoteLeader, 7, fakeLinks{}, fakeLeader{}, 0, ""},
		{"remote leader is unreachable: leases extended", remoteLeader, 7,
			fakeLinks{err: peer.ErrDown}, fakeLeader{}, 7, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			owner := newTestOwner(t, tc.shardMap, 0, &tc.links)
			batch, err := owner.Heartbeat(t.Context(), &wire.Heartbeat{Worker: "i-1", Epoch: tc.workerEpoch}, tc.leader)
			if batch.Epoch != tc.wantEpoch || (err == nil) != (tc.wantEpoch > 0) {
				t.Errorf("got epoch %d, error %v, want epoch %d (0: refused)", batch.Epoch, err, tc.wantEpoch)
			}
			var notOwner *NotOwnerError
			if err != nil && (!errors.As(err, &notOwner) || notOwner.RedirectTarget != tc.wantRedirect) {
				t.Errorf("got error %v, want redirect target %q", err, tc.wantRedirect)
			}
			if len(batch.Commands) > 0 {
				t.Error("the answer contains commands, want none")
			}
		})
	}
}

// During an outage of the store a controller extends leases although no controller can lead.
// It must not if it has lost acknowledged cancellations by a restart, or if the store
// refuses only this controller.
func TestHeartbeatDuringStoreOutage(t *testing.T) {
	errNotLeading, refused := errors.New("not leading"), peer.Status{Live: true}
	servedPeers := map[string]peer.Status{"boss": {Live: true, Ping: peer.Ping{StoreSilence: 0}}}
	refused.StoreSilence = time.Minute
	refusedPeers := map[string]peer.Status{"boss": refused}
	for _, tc := range []struct {
		name      string
		leader    string
		synced    bool // the cancellation set is synced
		links     fakeLinks
		wantEpoch uint64 // of the answer; 0: refused
	}{
		{"remote leader has stepped down", "boss", true, fakeLinks{peers: refusedPeers}, 7},
		{"local leader has stepped down", "me", true, fakeLinks{peers: refusedPeers}, 7},
		{"remote leader is unreachable", "boss", true, fakeLinks{err: peer.ErrDown}, 7},
		{"store serves the remote leader", "boss", true, fakeLinks{peers: servedPeers}, 0},
		{"store serves a peer, local leader has stepped down", "me", true, fakeLinks{peers: servedPeers}, 0},
		{"just started, remote leader has stepped down", "boss", false, fakeLinks{peers: refusedPeers}, 0},
		{"just started, remote leader is unreachable", "boss", false, fakeLinks{err: peer.ErrDown}, 0},
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
			batch, err := owner.Heartbeat(t.Context(), heartbeat, fakeLeader{errNotLeading})
			if batch.Epoch != tc.wantEpoch || (err == nil) != (tc.wantEpoch > 0) {
				t.Fatalf("got epoch %d, error %v, want epoch %d (0: refused)", batch.Epoch, err, tc.wantEpoch)
			}
			want := []wire.Command{{Action: wire.ActionStop, Task: "req-1/0", Attempt: 2}}
			if err == nil && !slices.Equal(batch.Commands, want) {
				t.Errorf("got commands %v, want %v", batch.Commands, want)
			}
		})
	}
}

// A peer refused by a store that serves this controller is not eligible to own a shard, and
// a controller detects that it is itself the refused one. In an outage of the store all
// connected controllers stay eligible.
func TestEligibleOwners(t *testing.T) {
	// peerA returns a single peer a.
	peerA := func(storeSilence, liveFor time.Duration, live bool) map[string]peer.Status {
		status := peer.Status{Ping: peer.Ping{StoreSilence: storeSilence}, Live: live, LiveSince: testTime.Add(-liveFor)}
		return map[string]peer.Status{"a": status}
	}
	both, alone := []string{"a", "me"}, []string{"me"}
	for _, tc := range []struct {
		name             string
		sinceStoreAnswer time.Duration
		peers            map[string]peer.Status
		current          []string
		wantEligible     []string
		wantPeerOnly     bool // the store serves the peer only
	}{
		{"store serves all controllers", 0, peerA(0, time.Hour, true), both, both, false},
		{"store refuses the peer", 0, peerA(9*time.Second, time.Hour, true), both, alone, false},
		{"store refuses this controller", 9 * time.Second, peerA(0, time.Hour, true), both, both, true},
		{"store outage", 9 * time.Second, peerA(9*time.Second, time.Hour, true), both, both, false},
		{"store refuses this controller, peer disconnected", 9 * time.Second,
			peerA(0, time.Hour, false), both, alone, false},
		{"peer has just connected", 0, peerA(0, time.Second, true), alone, alone, false},
		{"peer has just connected, no current owners", 0, peerA(0, time.Second, true), nil, both, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			owner := newTestOwner(t, election.ShardMap{}, tc.sinceStoreAnswer, &fakeLinks{peers: tc.peers})
			if got := owner.EligibleOwners(tc.current); !slices.Equal(got, tc.wantEligible) {
				t.Errorf("got eligible %v, want %v", got, tc.wantEligible)
			}
			if _, peerOnly := owner.StoreServesPeerOnly(); peerOnly != tc.wantPeerOnly {
				t.Errorf("StoreServesPeerOnly: got %v, want %v", peerOnly, tc.wantPeerOnly)
			}
		})
	}
}
