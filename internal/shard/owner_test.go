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

// fakeLinks stands in for the links to other nodes.
type fakeLinks struct {
	answer          peer.BeatAnswer
	err             error
	peers           map[string]peer.Status
	askedController string
}

func (l *fakeLinks) Beat(_ context.Context, node string, _ *wire.Heartbeat) (peer.BeatAnswer, error) {
	l.askedController = node
	return l.answer, l.err
}

func (l *fakeLinks) Pick(context.Context, string, *placement.Offer) ([]placement.Pick, error) {
	return nil, errors.New("not asked for")
}

func (l *fakeLinks) Peers() map[string]peer.Status { return l.peers }

// fakeLeader stands in for this node's own term.
type fakeLeader struct{ err error }

func (l fakeLeader) Heartbeat(context.Context, *wire.Heartbeat) (wire.CommandBatch, []agent.RuntimeSample, error) {
	return wire.CommandBatch{Epoch: 7}, nil, l.err
}

func newTestOwner(t *testing.T, shardMap election.ShardMap, sinceStoreAnswer time.Duration, l *fakeLinks) *Owner {
	t.Helper()
	operator, err := settings.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	config := &settings.Settings{Node: "me", Operator: operator, Facts: settings.Facts{Workers: settings.Workers{ReportS: 4, LeaseS: 40}}}
	cancellations := cancellation.New(cancellation.Options{StopDeadline: time.Minute, Capacity: 8, StoreUnavailable: func() bool { return false }, Now: func() time.Time { return testTime }})
	p := New(config, func() election.ShardMap { return shardMap }, func() time.Duration { return sinceStoreAnswer }, cancellations, func() time.Time { return testTime })
	p.SetPeerLinks(l)
	return p
}

func TestHeartbeat(t *testing.T) {
	mine, theirs := []string{"me"}, []string{"other"}
	for _, tc := range []struct {
		name    string
		m       election.ShardMap
		seen    uint64 // the worker's epoch
		links   fakeLinks
		leader  fakeLeader
		epoch   uint64 // of the answer; 0: refused
		steward string
	}{
		{"the leader's own host", election.ShardMap{Epoch: 7, Leader: "me", Owners: mine}, 7, fakeLinks{}, fakeLeader{}, 7, ""},
		{"the term is over", election.ShardMap{Epoch: 7, Leader: "me", Owners: mine}, 7, fakeLinks{}, fakeLeader{errors.New("no")}, 0, ""},
		{"another's host", election.ShardMap{Epoch: 7, Leader: "me", Owners: theirs}, 7, fakeLinks{}, fakeLeader{}, 0, "other"},
		{"no map yet", election.ShardMap{}, 0, fakeLinks{}, fakeLeader{}, 0, ""},
		{"a worker that knows more", election.ShardMap{Epoch: 7, Leader: "me", Owners: mine}, 8, fakeLinks{}, fakeLeader{}, 0, ""},
		{"passed on", election.ShardMap{Epoch: 7, Leader: "boss", Owners: mine}, 7, fakeLinks{answer: peer.BeatAnswer{OK: true, Orders: wire.CommandBatch{Epoch: 9}}}, fakeLeader{}, 9, ""},
		{"the leader may not answer", election.ShardMap{Epoch: 7, Leader: "boss", Owners: mine}, 7, fakeLinks{}, fakeLeader{}, 0, ""},
		{"the leader cannot be asked: the tasks run on", election.ShardMap{Epoch: 7, Leader: "boss", Owners: mine}, 7, fakeLinks{err: peer.ErrDown}, fakeLeader{}, 7, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newTestOwner(t, tc.m, 0, &tc.links)
			out, err := p.Heartbeat(t.Context(), &wire.Heartbeat{Worker: "i-1", Epoch: tc.seen}, tc.leader)
			if out.Epoch != tc.epoch || (err == nil) != (tc.epoch > 0) {
				t.Errorf("epoch %d, %v", out.Epoch, err)
			}
			if e, ok := AsNotOwner(err); err != nil && (!ok || e.RedirectTarget != tc.steward) {
				t.Errorf("sent to %v, want %q", err, tc.steward)
			}
			if len(out.Commands) > 0 {
				t.Error("orders of nobody's making")
			}
		})
	}
}

// In an outage of the state service tasks run on though nobody can lead; but a node that
// forgot what users were told of, or is refused alone, answers nothing by itself.
func TestHeartbeatDuringStoreOutage(t *testing.T) {
	no, yes := errors.New("no"), peer.Status{Live: true}
	served := map[string]peer.Status{"boss": {Live: true, Ping: peer.Ping{StateAge: 0}}}
	yes.StateAge = time.Minute
	down := map[string]peer.Status{"boss": yes}
	for _, tc := range []struct {
		name    string
		leader  string
		settled bool
		links   fakeLinks
		epoch   uint64
	}{
		{"the leader gave up", "boss", true, fakeLinks{peers: down}, 7},
		{"this node led, and gave up", "me", true, fakeLinks{peers: down}, 7},
		{"the leader is out of reach", "boss", true, fakeLinks{err: peer.ErrDown}, 7},
		{"refused alone", "boss", true, fakeLinks{peers: served}, 0},
		{"refused alone, and led", "me", true, fakeLinks{peers: served}, 0},
		{"just begun, the leader gave up", "boss", false, fakeLinks{peers: down}, 0},
		{"just begun, the leader is out of reach", "boss", false, fakeLinks{err: peer.ErrDown}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newTestOwner(t, election.ShardMap{Epoch: 7, Leader: tc.leader, Owners: []string{"me"}}, time.Minute, &tc.links)
			if tc.settled {
				p.cancellations.AddComplete("")
			}
			p.cancellations.Add("", "req-1")
			out, err := p.Heartbeat(t.Context(), &wire.Heartbeat{Worker: "i-1", Epoch: 7, Tasks: []wire.TaskStatus{{Task: "req-1/0", Attempt: 2, Phase: wire.PhaseRunning}, {Task: "req-2/0", Attempt: 1, Phase: wire.PhaseRunning}}}, fakeLeader{no})
			if out.Epoch != tc.epoch || (err == nil) != (tc.epoch > 0) {
				t.Fatalf("epoch %d, %v", out.Epoch, err)
			}
			if want := []wire.Command{{Action: wire.ActionStop, Task: "req-1/0", Attempt: 2}}; err == nil && !slices.Equal(out.Commands, want) {
				t.Errorf("orders %v, want %v", out.Commands, want)
			}
		})
	}
}

// One node refused by the state service hands over; all refused sit it out.
func TestEligibleOwners(t *testing.T) {
	status := func(age, since time.Duration, live bool) peer.Status {
		return peer.Status{Ping: peer.Ping{StateAge: age}, Live: live, Since: testTime.Add(-since)}
	}
	for _, tc := range []struct {
		name  string
		stale time.Duration
		peers map[string]peer.Status
		have  []string
		fit   []string
		alone bool
	}{
		{"all is well", 0, map[string]peer.Status{"a": status(0, time.Hour, true)}, []string{"a", "me"}, []string{"a", "me"}, false},
		{"a peer is refused", 0, map[string]peer.Status{"a": status(9*time.Second, time.Hour, true)}, []string{"a", "me"}, []string{"me"}, false},
		{"only this node is", 9 * time.Second, map[string]peer.Status{"a": status(0, time.Hour, true)}, []string{"a", "me"}, []string{"a", "me"}, true},
		{"all are: an outage", 9 * time.Second, map[string]peer.Status{"a": status(9*time.Second, time.Hour, true)}, []string{"a", "me"}, []string{"a", "me"}, false},
		{"refused, and the peer is gone", 9 * time.Second, map[string]peer.Status{"a": status(0, time.Hour, false)}, []string{"a", "me"}, []string{"me"}, false},
		{"a peer that just came waits", 0, map[string]peer.Status{"a": status(0, time.Second, true)}, []string{"me"}, []string{"me"}, false},
		{"but not for a first map", 0, map[string]peer.Status{"a": status(0, time.Second, true)}, nil, []string{"a", "me"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newTestOwner(t, election.ShardMap{}, tc.stale, &fakeLinks{peers: tc.peers})
			if got := p.EligibleOwners(tc.have); !slices.Equal(got, tc.fit) {
				t.Errorf("fit %v, want %v", got, tc.fit)
			}
			if _, alone := p.StoreServesPeerOnly(); alone != tc.alone {
				t.Errorf("alone: %v", alone)
			}
		})
	}
}
