package replica

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"rillflow/internal/wire"
)

func put(k, v string) wire.Operation { return wire.Operation{Put: k, Value: []byte(v)} }

func show(t *Tree) string {
	s := ""
	t.Root().Walk(func(k, v []byte) bool { s += string(k) + "=" + string(v) + " "; return false })
	return s
}

// lossyPeer is a link to one follower that loses messages, or their answers, and sends all
// through the binary form.
type lossyPeer struct {
	t    *rapid.T
	to   *Replica
	lose func() int // 0: neither, 1: the message, 2: the answer
}

var errLost = errors.New("lost")

func (l *lossyPeer) Followers() []string { return []string{"f"} }

func (l *lossyPeer) Push(_ context.Context, _ string, p *Push) (Ack, error) {
	lost := l.lose()
	if lost == 1 {
		return Ack{}, errLost
	}
	got, err := DecodePush(p.Encode())
	if err != nil {
		l.t.Fatal(err)
	}
	a := l.to.Receive(&got)
	if lost == 2 {
		return Ack{}, errLost
	}
	return DecodeAck(a.Encode())
}

func (l *lossyPeer) FetchPage(_ context.Context, _ string, a PageRequest) (Page, error) {
	ask, err := DecodePageRequest(a.Encode())
	if err != nil {
		l.t.Fatal(err)
	}
	p := l.to.ReadPage(ask)
	return DecodePage(p.Encode())
}

// replicateOnce is what a feed does at a tick.
func replicateOnce(leader *Replica, peer *lossyPeer, acknowledged *Head) {
	p, whole := leader.nextPush(*acknowledged)
	var a Ack
	var err error
	if whole {
		a, err = leader.pushWhole(context.Background(), peer, "f")
	} else {
		a, err = peer.Push(context.Background(), "f", &p)
	}
	if *acknowledged = a.Head; err != nil {
		*acknowledged = Head{}
	}
}

// A follower holds what the leader held at some moment, and after two messages that come
// through, what it holds; an end that was told once is never untold, by whatever leader
// of the same history.
func TestFollowerReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := New(1<<20, nil), New(1<<20, nil)
		leader.StartLeading("h", 1, 1, New(0, nil).tree)
		l := &lossyPeer{t: t, to: follower, lose: func() int { return rapid.IntRange(0, 3).Draw(t, "lose") }}
		var has Head
		moments := map[string]bool{"": true}
		ends := map[string]bool{}
		note := func() { tree, _ := leader.Tree(); moments[show(tree)] = true }
		note()
		epoch := uint64(1)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			k := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			switch rapid.IntRange(0, 6).Draw(t, "do") {
			case 0, 1:
				leader.Apply(uint64(i), put("j/"+k, fmt.Sprint(i)))
			case 2:
				leader.Apply(uint64(i), wire.Operation{Delete: "j/" + k}, put("d/"+k, fmt.Sprint(i)))
				ends["d/"+k] = true
			case 3:
				epoch++
				tree, _ := leader.Tree()
				leader.StartLeading("h", epoch, uint64(i), tree)
			default:
				replicateOnce(leader, l, &has)
			}
			note()
			if tree, _ := follower.Tree(); !moments[show(tree)] {
				t.Fatalf("the follower holds %s", show(tree))
			}
		}
		l.lose = func() int { return 0 }
		replicateOnce(leader, l, &has)
		replicateOnce(leader, l, &has)
		want, _ := leader.Tree()
		if got, _ := follower.Tree(); show(got) != show(want) {
			t.Fatalf("got %s, want %s", show(got), show(want))
		}
		for k := range ends {
			if _, ok := follower.Get(k); !ok {
				t.Fatalf("%s is not known", k)
			}
		}
	})
}

// What a node remembers beside the leader's copy: what it stored itself until the leader
// tells of it, ends until they are told, and an earlier history until this one is whole.
func TestReplicaMemory(t *testing.T) {
	leader, c := New(1<<20, nil), New(1<<20, nil)
	leader.StartLeading("h1", 1, 1, New(0, nil).tree)
	l := &lossyPeer{to: c, lose: func() int { return 0 }}
	var has Head
	replicateOnce(leader, l, &has)
	c.RecordOwnWrites(5, put("j/a", "1"))
	c.RecordOwnWrites(6, put("d/b", "end"), wire.Operation{Delete: "j/b"})
	if !c.KnowsJob("a") || !c.KnowsJob("b") || c.KnowsJob("x") {
		t.Error("what the node stored itself")
	}
	leader.Apply(5, put("j/a", "1"))
	leader.Apply(9)
	replicateOnce(leader, l, &has)
	if len(c.ownWrites) != 1 || !c.KnowsJob("b") {
		t.Errorf("an end that was not told: %v", c.ownWrites)
	}
	leader.Apply(9, put("d/b", "other"))
	replicateOnce(leader, l, &has)
	if len(c.ownWrites) != 0 {
		t.Errorf("told ends are kept twice: %v", c.ownWrites)
	}
	leader.Apply(10, put("d/b", "third"))
	if v, _ := leader.Get("d/b"); string(v) != "other" {
		t.Errorf("an end became %s", v)
	}
	// The next leader of the same history has just begun, and knows of no end yet.
	next := New(1<<20, nil)
	next.StartLeading("h1", 2, 10, New(0, nil).tree)
	has = Head{}
	replicateOnce(next, l, &has)
	if v, ok := c.Get("d/b"); !ok || string(v) != "other" {
		t.Errorf("an end that was told is forgotten: %s", v)
	}
	// Another leader puts another history together, from less.
	later := New(1<<20, nil)
	later.StartLeading("h2", 3, 1, New(0, nil).tree)
	has = Head{}
	replicateOnce(later, l, &has)
	if !c.KnowsJob("b") || c.Head().Incarnation != "h2" || len(c.Sources()) != 2 {
		t.Error("the earlier history is forgotten before this one is whole")
	}
	got, missing := Collect(t.Context(), l, []string{"f"})
	if len(missing) != 0 || len(got) != 2 {
		t.Fatalf("%d accounts, missing %v", len(got), missing)
	}
	if _, ok := got[1].Get([]byte("d/b")); !ok {
		t.Error("a peer is not told of the earlier history")
	}
	// An earlier leader is not followed any more.
	leader.Apply(12, put("j/late", "1"))
	has = Head{}
	replicateOnce(leader, l, &has)
	if c.KnowsJob("late") {
		t.Error("a leader that was replaced is followed")
	}
	c.MarkComplete("h2")
	if c.KnowsJob("b") || len(c.Sources()) != 1 {
		t.Error("the earlier history is kept for ever")
	}
}

// Ends have a bound in bytes, what is alive has none.
func TestEndsAreBounded(t *testing.T) {
	c := New(100, nil)
	for i := range 50 {
		c.Apply(1, put(fmt.Sprintf("d/%02d", i), "0123456789"), put(fmt.Sprintf("j/%02d", i), "x"))
	}
	keys, bytes, short := c.Usage()
	if keys-50 > 20 || short == 0 || !c.KnowsJob("49") {
		t.Errorf("%d keys, %d bytes, %d without room", keys, bytes, short)
	}
}

// A large copy goes in pages, and comes whole.
func TestWholeReplicaInPages(t *testing.T) {
	c, f := New(1<<30, nil), New(1<<30, nil)
	big := string(make([]byte, 40<<10))
	c.StartLeading("h", 1, 1, New(0, nil).tree)
	for i := range 30 {
		c.Apply(1, put(fmt.Sprintf("j/%02d", i), big))
	}
	pushes := 0
	l := &lossyPeer{to: f, lose: func() int { pushes++; return 0 }}
	var has Head
	replicateOnce(c, l, &has)
	got, missing := Collect(t.Context(), l, []string{"f"})
	if a, _ := f.Tree(); pushes < 4 || a.Len() != 30 || len(missing) != 0 || got[0].Len() != 30 {
		t.Errorf("%d messages, %d keys, missing %v", pushes, a.Len(), missing)
	}
}

// No payload, however malformed, does more than fail.
func FuzzMessages(f *testing.F) {
	p := Push{Head: Head{Incarnation: "h", Epoch: 1, Seq: 2}, Whole: true, First: true, Entries: []Entry{{"j/a", []byte("1")}, {Key: "j/b"}}}
	f.Add(p.Encode())
	a := PageRequest{After: "j/", Source: 1}
	f.Add(a.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if p, err := DecodePush(b); err == nil {
			New(1<<20, nil).Receive(&p)
		}
		if a, err := DecodePageRequest(b); err == nil {
			New(1<<20, nil).ReadPage(a)
		}
		DecodeAck(b)
		DecodePage(b)
	})
}
