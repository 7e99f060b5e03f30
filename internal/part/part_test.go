package part

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/lead"
	"rillflow/internal/peer"
	"rillflow/internal/placement"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
	"rillflow/internal/withdrawn"
)

var now = time.Unix(500, 0)

// links stands in for the links to other nodes.
type links struct {
	answer peer.BeatAnswer
	err    error
	peers  map[string]peer.Status
	asked  string
}

func (l *links) Beat(_ context.Context, node string, _ *wire.Heartbeat) (peer.BeatAnswer, error) {
	l.asked = node
	return l.answer, l.err
}

func (l *links) Pick(context.Context, string, *placement.Offer) ([]placement.Picked, error) {
	return nil, errors.New("not asked for")
}

func (l *links) Peers() map[string]peer.Status { return l.peers }

// leader stands in for this node's own term.
type leader struct{ err error }

func (l leader) Heartbeat(context.Context, *wire.Heartbeat) (wire.CommandBatch, []agent.RuntimeSample, error) {
	return wire.CommandBatch{Epoch: 7}, nil, l.err
}

func part(t *testing.T, m lead.ShardMap, stale time.Duration, l *links) *Part {
	t.Helper()
	op, err := settings.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	set := &settings.Settings{Node: "me", Operator: op, Facts: settings.Facts{Workers: settings.Workers{ReportS: 4, LeaseS: 40}}}
	gone := withdrawn.New(withdrawn.Options{StopDeadline: time.Minute, Capacity: 8, StoreUnavailable: func() bool { return false }, Now: func() time.Time { return now }})
	p := New(set, func() lead.ShardMap { return m }, func() time.Duration { return stale }, gone, func() time.Time { return now })
	p.Link(l)
	return p
}

func TestBeat(t *testing.T) {
	mine, theirs := []string{"me"}, []string{"other"}
	for _, tc := range []struct {
		name    string
		m       lead.ShardMap
		seen    uint64 // the worker's epoch
		links   links
		leader  leader
		epoch   uint64 // of the answer; 0: refused
		steward string
	}{
		{"the leader's own host", lead.ShardMap{Epoch: 7, Leader: "me", Owners: mine}, 7, links{}, leader{}, 7, ""},
		{"the term is over", lead.ShardMap{Epoch: 7, Leader: "me", Owners: mine}, 7, links{}, leader{errors.New("no")}, 0, ""},
		{"another's host", lead.ShardMap{Epoch: 7, Leader: "me", Owners: theirs}, 7, links{}, leader{}, 0, "other"},
		{"no map yet", lead.ShardMap{}, 0, links{}, leader{}, 0, ""},
		{"a worker that knows more", lead.ShardMap{Epoch: 7, Leader: "me", Owners: mine}, 8, links{}, leader{}, 0, ""},
		{"passed on", lead.ShardMap{Epoch: 7, Leader: "boss", Owners: mine}, 7, links{answer: peer.BeatAnswer{OK: true, Orders: wire.CommandBatch{Epoch: 9}}}, leader{}, 9, ""},
		{"the leader may not answer", lead.ShardMap{Epoch: 7, Leader: "boss", Owners: mine}, 7, links{}, leader{}, 0, ""},
		{"the leader cannot be asked: the tasks run on", lead.ShardMap{Epoch: 7, Leader: "boss", Owners: mine}, 7, links{err: peer.ErrDown}, leader{}, 7, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := part(t, tc.m, 0, &tc.links)
			out, err := p.Beat(t.Context(), &wire.Heartbeat{Worker: "i-1", Epoch: tc.seen}, tc.leader)
			if out.Epoch != tc.epoch || (err == nil) != (tc.epoch > 0) {
				t.Errorf("epoch %d, %v", out.Epoch, err)
			}
			if e, ok := AsNotOwner(err); err != nil && (!ok || e.Steward != tc.steward) {
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
func TestBeatInOutage(t *testing.T) {
	no, yes := errors.New("no"), peer.Status{Live: true}
	served := map[string]peer.Status{"boss": {Live: true, Ping: peer.Ping{StateAge: 0}}}
	yes.StateAge = time.Minute
	down := map[string]peer.Status{"boss": yes}
	for _, tc := range []struct {
		name    string
		leader  string
		settled bool
		links   links
		epoch   uint64
	}{
		{"the leader gave up", "boss", true, links{peers: down}, 7},
		{"this node led, and gave up", "me", true, links{peers: down}, 7},
		{"the leader is out of reach", "boss", true, links{err: peer.ErrDown}, 7},
		{"refused alone", "boss", true, links{peers: served}, 0},
		{"refused alone, and led", "me", true, links{peers: served}, 0},
		{"just begun, the leader gave up", "boss", false, links{peers: down}, 0},
		{"just begun, the leader is out of reach", "boss", false, links{err: peer.ErrDown}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := part(t, lead.ShardMap{Epoch: 7, Leader: tc.leader, Owners: []string{"me"}}, time.Minute, &tc.links)
			if tc.settled {
				p.gone.AddComplete("")
			}
			p.gone.Add("", "req-1")
			out, err := p.Beat(t.Context(), &wire.Heartbeat{Worker: "i-1", Epoch: 7, Tasks: []wire.TaskStatus{{Task: "req-1/0", Attempt: 2, Phase: wire.PhaseRunning}, {Task: "req-2/0", Attempt: 1, Phase: wire.PhaseRunning}}}, leader{no})
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
func TestRefusals(t *testing.T) {
	status := func(age, since time.Duration, live bool) peer.Status {
		return peer.Status{Ping: peer.Ping{StateAge: age}, Live: live, Since: now.Add(-since)}
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
			p := part(t, lead.ShardMap{}, tc.stale, &links{peers: tc.peers})
			if got := p.EligibleOwners(tc.have); !slices.Equal(got, tc.fit) {
				t.Errorf("fit %v, want %v", got, tc.fit)
			}
			if _, alone := p.StoreServesPeerOnly(); alone != tc.alone {
				t.Errorf("alone: %v", alone)
			}
		})
	}
}
