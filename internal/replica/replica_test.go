package replica

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"rillflow/internal/wire"
)

func put(key, value string) wire.Operation { return wire.Operation{Put: key, Value: []byte(value)} }

// show returns what a tree holds, as text.
func show(tree *Tree) string {
	text := ""
	tree.Root().Walk(func(key, value []byte) bool { text += string(key) + "=" + string(value) + " "; return false })
	return text
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

func (l *lossyPeer) Push(_ context.Context, _ string, sent *Push) (Ack, error) {
	lost := l.lose()
	if lost == 1 {
		return Ack{}, errLost
	}
	push, err := DecodePush(sent.Encode())
	if err != nil {
		l.t.Fatal(err)
	}
	ack := l.to.Receive(&push)
	if lost == 2 {
		return Ack{}, errLost
	}
	return DecodeAck(ack.Encode())
}

func (l *lossyPeer) FetchPage(_ context.Context, _ string, sent PageRequest) (Page, error) {
	request, err := DecodePageRequest(sent.Encode())
	if err != nil {
		l.t.Fatal(err)
	}
	page := l.to.ReadPage(request)
	return DecodePage(page.Encode())
}

// pushOnce sends a follower what it lacks, as Replicate does at a tick with news.
func pushOnce(leader *Replica, peer *lossyPeer, acknowledged *Head) {
	push, full := leader.nextPush(*acknowledged)
	var ack Ack
	var err error
	if full {
		ack, err = leader.pushFull(context.Background(), peer, "f")
	} else {
		ack, err = peer.Push(context.Background(), "f", &push)
	}
	if *acknowledged = ack.Head; err != nil {
		*acknowledged = Head{}
	}
}

// A follower holds what the leader held at some moment, and after two messages that come
// through, what it holds. The end of a job that was replicated once is never forgotten,
// whatever leader of the same incarnation comes.
func TestFollowerReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := New(1<<20), New(1<<20)
		leader.StartLeading("h", 1, 1, New(0).tree)
		peer := &lossyPeer{t: t, to: follower, lose: func() int { return rapid.IntRange(0, 3).Draw(t, "lose") }}
		var acknowledged Head
		moments := map[string]bool{"": true}
		ends := map[string]bool{}
		record := func() { tree, _ := leader.Tree(); moments[show(tree)] = true }
		record()
		epoch := uint64(1)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			switch rapid.IntRange(0, 6).Draw(t, "do") {
			case 0, 1:
				leader.Apply(uint64(i), put("j/"+key, fmt.Sprint(i)))
			case 2:
				leader.Apply(uint64(i), wire.Operation{Delete: "j/" + key}, put("d/"+key, fmt.Sprint(i)))
				ends["d/"+key] = true
			case 3:
				epoch++
				tree, _ := leader.Tree()
				leader.StartLeading("h", epoch, uint64(i), tree)
			default:
				pushOnce(leader, peer, &acknowledged)
			}
			record()
			if tree, _ := follower.Tree(); !moments[show(tree)] {
				t.Fatalf("the follower holds %s", show(tree))
			}
		}
		peer.lose = func() int { return 0 }
		pushOnce(leader, peer, &acknowledged)
		pushOnce(leader, peer, &acknowledged)
		want, _ := leader.Tree()
		if got, _ := follower.Tree(); show(got) != show(want) {
			t.Fatalf("got %s, want %s", show(got), show(want))
		}
		for key := range ends {
			if _, ok := follower.Get(key); !ok {
				t.Fatalf("%s is not known", key)
			}
		}
	})
}

// What a controller remembers beside the leader's replica: its own writes until the leader
// replicates them, and an earlier incarnation until the present one is complete.
func TestReplicaMemory(t *testing.T) {
	leader, replica := New(1<<20), New(1<<20)
	leader.StartLeading("h1", 1, 1, New(0).tree)
	peer := &lossyPeer{to: replica, lose: func() int { return 0 }}
	var acknowledged Head
	pushOnce(leader, peer, &acknowledged)
	replica.RecordOwnWrites(5, put("j/a", "1"))
	replica.RecordOwnWrites(6, put("d/b", "end"), wire.Operation{Delete: "j/b"})
	if !replica.KnowsJob("a") || !replica.KnowsJob("b") || replica.KnowsJob("x") {
		t.Error("own writes are not known")
	}
	leader.Apply(5, put("j/a", "1"))
	leader.Apply(9)
	pushOnce(leader, peer, &acknowledged)
	if len(replica.ownWrites) != 1 || !replica.KnowsJob("b") {
		t.Errorf("own writes after the job was replicated, but not the end: %v", replica.ownWrites)
	}
	leader.Apply(9, put("d/b", "other"))
	pushOnce(leader, peer, &acknowledged)
	if len(replica.ownWrites) != 0 {
		t.Errorf("replicated ends are kept as own writes: %v", replica.ownWrites)
	}
	leader.Apply(10, put("d/b", "third"))
	if v, _ := leader.Get("d/b"); string(v) != "other" {
		t.Errorf("an end became %s", v)
	}
	// The next leader of the same incarnation has just started, and knows of no end yet.
	next := New(1 << 20)
	next.StartLeading("h1", 2, 10, New(0).tree)
	acknowledged = Head{}
	pushOnce(next, peer, &acknowledged)
	if v, ok := replica.Get("d/b"); !ok || string(v) != "other" {
		t.Errorf("an end that was replicated is forgotten: %s", v)
	}
	// Another leader begins another incarnation, with less.
	later := New(1 << 20)
	later.StartLeading("h2", 3, 1, New(0).tree)
	acknowledged = Head{}
	pushOnce(later, peer, &acknowledged)
	if !replica.KnowsJob("b") || replica.Head().Incarnation != "h2" || len(replica.Sources()) != 2 {
		t.Error("the earlier incarnation is forgotten before this one is complete")
	}
	trees, missing := Collect(t.Context(), peer, []string{"f"})
	if len(missing) != 0 || len(trees) != 2 {
		t.Fatalf("%d sources, missing %v", len(trees), missing)
	}
	if _, ok := trees[1].Get([]byte("d/b")); !ok {
		t.Error("a peer is not told of the earlier incarnation")
	}
	// An earlier leader is not followed any more.
	leader.Apply(12, put("j/late", "1"))
	acknowledged = Head{}
	pushOnce(leader, peer, &acknowledged)
	if replica.KnowsJob("late") {
		t.Error("a leader that was replaced is followed")
	}
	replica.MarkComplete("h2")
	if replica.KnowsJob("b") || len(replica.Sources()) != 1 {
		t.Error("the earlier incarnation is kept for ever")
	}
}

// Ended jobs are limited in bytes, live jobs are not.
func TestEndsAreBounded(t *testing.T) {
	replica := New(100)
	for i := range 50 {
		replica.Apply(1, put(fmt.Sprintf("d/%02d", i), "0123456789"), put(fmt.Sprintf("j/%02d", i), "x"))
	}
	keys, bytes, dropped := replica.Usage()
	if keys-50 > 20 || dropped == 0 || !replica.KnowsJob("49") {
		t.Errorf("%d keys, %d bytes, %d dropped", keys, bytes, dropped)
	}
}

// A large replica is sent in pages, and arrives whole.
func TestFullReplicaInPages(t *testing.T) {
	leader, follower := New(1<<30), New(1<<30)
	big := string(make([]byte, 40<<10))
	leader.StartLeading("h", 1, 1, New(0).tree)
	for i := range 30 {
		leader.Apply(1, put(fmt.Sprintf("j/%02d", i), big))
	}
	pushes := 0
	peer := &lossyPeer{to: follower, lose: func() int { pushes++; return 0 }}
	var acknowledged Head
	pushOnce(leader, peer, &acknowledged)
	trees, missing := Collect(t.Context(), peer, []string{"f"})
	if tree, _ := follower.Tree(); pushes < 4 || tree.Len() != 30 || len(missing) != 0 || trees[0].Len() != 30 {
		t.Errorf("%d messages, %d keys, missing %v", pushes, tree.Len(), missing)
	}
}

// No payload, however malformed, does more than fail.
func FuzzMessages(f *testing.F) {
	push := Push{
		Head: Head{Incarnation: "h", Epoch: 1, Seq: 2},
		Full: true, First: true, Entries: []Entry{{"j/a", []byte("1")}, {Key: "j/b"}},
	}
	f.Add(push.Encode())
	request := PageRequest{After: "j/", Source: 1}
	f.Add(request.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if push, err := DecodePush(b); err == nil {
			New(1 << 20).Receive(&push)
		}
		if request, err := DecodePageRequest(b); err == nil {
			New(1 << 20).ReadPage(request)
		}
		DecodeAck(b)
		DecodePage(b)
	})
}
