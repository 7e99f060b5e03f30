package withdrawn

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

const within = 40 * time.Second

// clock is a time that only the test moves.
type clock struct{ now time.Time }

func notices(c *clock, refused *bool, max int) *Notices {
	return New(Options{Within: within, Max: max, Peers: []string{"a", "b"}, Refused: func() bool { return *refused }, Now: func() time.Time { return c.now }})
}

// A notice is kept while what it stops may still be there or come, and never pushed out.
func TestKept(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	n := notices(c, &refused, 2)
	if !n.Add("", "req-1", "req-2") || n.Add("", "req-3") || !n.Add("a", "req-2") {
		t.Fatal("room for two, and for none pushed out")
	}
	c.now = c.now.Add(within + time.Second)
	if n.Add("", "req-3") {
		t.Error("dropped as soon as its tasks are gone: a late command may start one yet")
	}
	refused = true
	c.now = c.now.Add(10 * within)
	if n.Add("", "req-3") {
		t.Error("dropped in an outage")
	}
	refused = false
	if c.now = c.now.Add(within); !n.Add("", "req-3") || slices.Contains(n.All(), "req-1") || !slices.Equal(n.All(), []string{"req-3"}) {
		t.Errorf("kept for good: %v", n.All())
	}
}

func TestStops(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	n := notices(c, &refused, 8)
	rep := &wire.Heartbeat{Tasks: []wire.TaskStatus{
		{Task: "req-1/0", Attempt: 1, Phase: wire.PhaseRunning}, {Task: "req-1/1", Attempt: 2, Phase: wire.TaskFetching}, {Task: "req-1/2", Attempt: 1, Phase: wire.TaskExited},
		{Task: "req-10/0", Attempt: 1, Phase: wire.PhaseRunning},
	}}
	given := []wire.Command{{Action: wire.ActionStop, Task: "req-1/0", Attempt: 1}, {Action: wire.ActionStart, Task: "req-1/3", Attempt: 1}, {Action: wire.ActionStart, Task: "req-10/1", Attempt: 1}, {Action: wire.ActionForget, Task: "req-1/2", Attempt: 1}}
	if got := n.Stops(rep, slices.Clone(given)); !slices.Equal(got, given) {
		t.Errorf("%v, with nothing withdrawn", got)
	}
	n.Add("", "req-1")
	want := []wire.Command{given[0], given[2], given[3], {Action: wire.ActionStop, Task: "req-1/1", Attempt: 2}}
	if got := n.Stops(rep, slices.Clone(given)); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// A process that has just begun knows all only from one that knows all.
func TestSettled(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	old := notices(c, &refused, 8)
	c.now = c.now.Add(within + time.Second)
	old.Add("", "req-1")
	young, next := notices(c, &refused, 8), notices(c, &refused, 8)
	no := own{}
	if young.Take(&Note{From: "a", All: true}, no); young.Settled() {
		t.Error("settled by one that is not")
	}
	if young.Take(&Note{From: "a", Refs: []string{"req-2"}, Settled: true}, no); young.Settled() {
		t.Error("settled by a part of what there is")
	}
	a := old.Take(&Note{From: "b", All: true}, no)
	if !a.Settled || !slices.Equal(a.Refs, []string{"req-1"}) {
		t.Errorf("%+v", a)
	}
	next.Inherit("a", a.Refs...)
	if a = next.Take(&Note{From: "b", All: true}, no); !next.Settled() || !a.Settled {
		t.Error("not settled by one that is")
	}
	c.now = c.now.Add(within + time.Second)
	if !young.Settled() {
		t.Error("not settled by having been there")
	}
}

// What a peer knows ends with its process, which may have been replaced unseen.
func TestPeerForgets(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	n := notices(c, &refused, 8)
	n.Add("a", "req-1")
	n.Add("", "req-2")
	n.knows("a", []string{"req-2"})
	if u := n.unknown("a"); len(u) != 0 {
		t.Errorf("unknown %v", u)
	}
	n.begins("a")
	if u := n.unknown("a"); !slices.Equal(u, []string{"req-1", "req-2"}) || len(n.unknown("b")) != 2 {
		t.Errorf("unknown %v", u)
	}
}

// link stands in for the way to the peers.
type link map[string]struct {
	Ack
	err error
}

func (l link) Note(_ context.Context, p string, _ *Note) (Ack, error) { return l[p].Ack, l[p].err }

func TestTell(t *testing.T) {
	down, knows, leads, full := errors.New("down"), Ack{Taken: true}, Ack{Taken: true, Leads: true}, Ack{}
	type peers = link
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
		{"the leader is too old to be told", false, peers{"a": {Ack{}, down}, "b": {Ack{}, ErrOld}}, "b", true, 1},
		{"all others are", false, peers{"a": {Ack{}, ErrOld}, "b": {Ack{}, ErrOld}}, "", true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, refused, reads := &clock{time.Unix(1e9, 0)}, false, 0
			n := notices(c, &refused, 8)
			te := &Teller{Node: "me", Notices: n, Link: tc.peers, Own: own{t, n, tc.self, true}, Leader: func(context.Context) (string, error) {
				reads++
				if tc.leader == "" {
					return "", down
				}
				return tc.leader, nil
			}}
			if err := te.Tell(t.Context(), "req-1"); (err == nil) != tc.ok || err != nil && !errors.Is(err, ErrUntold) || reads != tc.reads {
				t.Errorf("%v, after %d reads", err, reads)
			}
			for p, l := range tc.peers {
				if got := !slices.Contains(n.unknown(p), "req-1"); got != (l.err == nil && l.Taken) {
					t.Errorf("%s is taken to know: %v", p, got)
				}
			}
		})
	}
}

// own is this node, as a leader or not.
type own struct {
	t       *testing.T
	n       *Notices
	leads   bool
	settled bool
}

func (o own) Heed() bool {
	if o.n != nil && !slices.Contains(o.n.All(), "req-1") {
		o.t.Error("asked whether it leads ahead of the notice")
	}
	return o.leads
}

func (o own) Settled(...string) bool { return o.settled }

// asked is a way to a leader whose launches are settled once it was asked so often.
type asked struct{ left atomic.Int64 }

func (a *asked) Note(context.Context, string, *Note) (Ack, error) {
	return Ack{Taken: a.left.Add(-1) < 0, Leads: true}, nil
}

// A user is told once no launch is under way, of the leader's here or elsewhere, and no
// longer waited for than the user waits.
func TestTellWaitsForLaunches(t *testing.T) {
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
				n, leader := notices(c, &refused, 8), &asked{}
				leader.left.Store(2 * tc.times) // there are two peers
				te := &Teller{Node: "me", Notices: n, Link: leader, Own: own{t, n, tc.self, !tc.self}, Pause: 10 * time.Millisecond,
					Leader: func(context.Context) (string, error) {
						t.Error("the state service is asked")
						return "a", nil
					}}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				began := time.Now()
				err := te.Tell(ctx, "req-1")
				if (err == nil) != tc.ok || err != nil && !errors.Is(err, ErrUntold) {
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
func TestTakeWhileLaunching(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	n := notices(c, &refused, 8)
	if a := n.Take(&Note{From: "a", Refs: []string{"req-1"}}, own{leads: true}); a.Taken || !a.Leads {
		t.Errorf("%+v", a)
	}
	if !slices.Equal(n.All(), []string{"req-1"}) {
		t.Error("not taken in")
	}
	if a := n.Take(&Note{From: "a", Refs: []string{"req-1"}, All: true}, own{leads: true}); !a.Taken {
		t.Error("what is compared on a new connection waits")
	}
}

func FuzzMessages(f *testing.F) {
	n, a := Note{"me", []string{"req-1", ""}, true, false}, Ack{true, false, true, []string{"req-2"}}
	f.Add(n.Encode())
	f.Add(a.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := DecodeNote(b); err == nil {
			if m, err := DecodeNote(n.Encode()); err != nil || !reflect.DeepEqual(m, n) {
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

// far is a way to a peer that answers with what it knows.
type far struct {
	*Notices
	sent int
}

func (f *far) Note(_ context.Context, _ string, n *Note) (Ack, error) {
	f.sent++
	return f.Take(n, own{settled: true}), nil
}

// On a new connection each tells the other all; after that a peer is told what it lacks and
// nothing else, and a node that has forgotten asks until it hears from one that has not.
func TestCompare(t *testing.T) {
	c, refused := &clock{time.Unix(1e9, 0)}, false
	peer, here := &far{Notices: notices(c, &refused, 8)}, notices(c, &refused, 8)
	te := &Teller{Node: "me", Notices: here, Link: peer}
	here.Add("", "req-1")
	peer.Add("", "req-2")
	te.Reached(t.Context(), "a")
	for _, n := range []*Notices{here, peer.Notices} {
		if !slices.Equal(n.All(), []string{"req-1", "req-2"}) || n.Settled() {
			t.Errorf("knows %v, settled %v", n.All(), n.Settled())
		}
	}
	if te.Linked(t.Context(), "a"); peer.sent != 2 || here.Settled() {
		t.Errorf("asked %d times, settled %v", peer.sent, here.Settled())
	}
	peer.Inherit("", "req-3")
	if te.Linked(t.Context(), "a"); !here.Settled() || len(here.All()) != 3 {
		t.Errorf("settled %v, knows %v", here.Settled(), here.All())
	}
	if te.Linked(t.Context(), "a"); peer.sent != 3 {
		t.Errorf("told %d times with no news", peer.sent)
	}
	here.Add("", "req-4")
	if te.Linked(t.Context(), "a"); peer.sent != 4 || !slices.Contains(peer.All(), "req-4") {
		t.Errorf("told %d times, the peer knows %v", peer.sent, peer.All())
	}
}
