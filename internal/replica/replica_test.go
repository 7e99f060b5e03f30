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

// formatTree returns the keys and values of a tree as text.
func formatTree(tree *Tree) string {
	text := ""
	tree.Root().Walk(func(key, value []byte) bool { text += string(key) + "=" + string(value) + " "; return false })
	return text
}

// lossyPeer is a link to one follower that may lose messages or their answers. It encodes and
// decodes every message.
type lossyPeer struct {
	t        *rapid.T
	follower *Replica
	lose     func() int // 0: nothing is lost, 1: the message, 2: the answer
}

var errLost = errors.New("message lost")

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
	ack := l.follower.Receive(&push)
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
	page := l.follower.ReadPage(request)
	return DecodePage(page.Encode())
}

// pushOnce sends a follower the changes that it lacks, or a full replica, as Replicate does at a
// tick with changes.
func pushOnce(leader *Replica, peer *lossyPeer, acknowledged *Head) {
	push, needsFull := leader.nextPush(*acknowledged)
	var ack Ack
	var err error
	if needsFull {
		ack, err = leader.pushFull(context.Background(), peer, "f")
	} else {
		ack, err = peer.Push(context.Background(), "f", &push)
	}
	if *acknowledged = ack.Head; err != nil {
		*acknowledged = Head{}
	}
}

// Whatever messages are lost, a follower's tree equals a present or past tree of the leader,
// and the present one after two delivered pushes. The replicated end of a job is never lost,
// also when another leader of the same incarnation starts.
func TestFollowerReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := New(1<<20), New(1<<20)
		leader.StartLeading("h", 1, 1, New(0).tree)
		peer := &lossyPeer{t: t, follower: follower, lose: func() int { return rapid.IntRange(0, 3).Draw(t, "lose") }}
		var acknowledged Head
		leaderTrees := map[string]bool{"": true}
		ends := map[string]bool{}
		recordTree := func() { tree, _ := leader.Tree(); leaderTrees[formatTree(tree)] = true }
		recordTree()
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
			recordTree()
			if tree, _ := follower.Tree(); !leaderTrees[formatTree(tree)] {
				t.Fatalf("the follower holds %s, which the leader never held", formatTree(tree))
			}
		}
		peer.lose = func() int { return 0 }
		pushOnce(leader, peer, &acknowledged)
		pushOnce(leader, peer, &acknowledged)
		want, _ := leader.Tree()
		if got, _ := follower.Tree(); formatTree(got) != formatTree(want) {
			t.Fatalf("got %s, want %s", formatTree(got), formatTree(want))
		}
		for key := range ends {
			if _, ok := follower.Get(key); !ok {
				t.Fatalf("the follower lacks the end %s", key)
			}
		}
	})
}

// A controller keeps its own writes until the leader has replicated them, and the tree of an
// earlier incarnation until the current one is complete.
func TestOwnWritesAndPreviousIncarnation(t *testing.T) {
	leader, replica := New(1<<20), New(1<<20)
	leader.StartLeading("h1", 1, 1, New(0).tree)
	peer := &lossyPeer{follower: replica, lose: func() int { return 0 }}
	var acknowledged Head
	pushOnce(leader, peer, &acknowledged)
	replica.RecordOwnWrites(5, put("j/a", "1"))
	replica.RecordOwnWrites(6, put("d/b", "end"), wire.Operation{Delete: "j/b"})
	if !replica.KnowsJob("a") || !replica.KnowsJob("b") || replica.KnowsJob("x") {
		t.Error("KnowsJob does not report exactly the own writes")
	}
	leader.Apply(5, put("j/a", "1"))
	leader.Apply(9)
	pushOnce(leader, peer, &acknowledged)
	if len(replica.ownWrites) != 1 || !replica.KnowsJob("b") {
		t.Errorf("got own writes %v, want only the end, which is not replicated yet",
			replica.ownWrites)
	}
	leader.Apply(9, put("d/b", "other"))
	pushOnce(leader, peer, &acknowledged)
	if len(replica.ownWrites) != 0 {
		t.Errorf("got own writes %v after the end was replicated, want none", replica.ownWrites)
	}
	leader.Apply(10, put("d/b", "third"))
	if v, _ := leader.Get("d/b"); string(v) != "other" {
		t.Errorf("got end %s, want the first one kept", v)
	}
	// The next leader of the same incarnation starts without any ended jobs.
	next := New(1 << 20)
	next.StartLeading("h1", 2, 10, New(0).tree)
	acknowledged = Head{}
	pushOnce(next, peer, &acknowledged)
	if v, ok := replica.Get("d/b"); !ok || string(v) != "other" {
		t.Errorf("got end %s after a change of leaders, want the replicated one", v)
	}
	// Another leader starts another incarnation with an empty tree.
	later := New(1 << 20)
	later.StartLeading("h2", 3, 1, New(0).tree)
	acknowledged = Head{}
	pushOnce(later, peer, &acknowledged)
	if !replica.KnowsJob("b") || replica.Head().Incarnation != "h2" || len(replica.Sources()) != 2 {
		t.Error("the earlier incarnation is dropped before the current one is complete")
	}
	trees, missing := Collect(t.Context(), peer, []string{"f"})
	if len(missing) != 0 || len(trees) != 2 {
		t.Fatalf("got %d sources, missing %v, want 2 and none", len(trees), missing)
	}
	if _, ok := trees[1].Get([]byte("d/b")); !ok {
		t.Error("the earlier incarnation is missing from the collected trees")
	}
	// Pushes of an earlier leader are ignored.
	leader.Apply(12, put("j/late", "1"))
	acknowledged = Head{}
	pushOnce(leader, peer, &acknowledged)
	if replica.KnowsJob("late") {
		t.Error("a push of an earlier leader was applied")
	}
	replica.MarkComplete("h2")
	if replica.KnowsJob("b") || len(replica.Sources()) != 1 {
		t.Error("the earlier incarnation is kept although the current one is complete")
	}
}

// Ended jobs are dropped above the limit on bytes, live jobs are not.
func TestEndsAreBounded(t *testing.T) {
	replica := New(100)
	for i := range 50 {
		replica.Apply(1, put(fmt.Sprintf("d/%02d", i), "0123456789"), put(fmt.Sprintf("j/%02d", i), "x"))
	}
	keys, bytes, dropped := replica.Usage()
	if keys-50 > 20 || dropped == 0 || !replica.KnowsJob("49") {
		t.Errorf("got %d keys, %d bytes, %d ended jobs dropped, want all live jobs and some ends dropped",
			keys, bytes, dropped)
	}
}

// A large replica is sent in several pages and arrives complete, both pushed and collected.
func TestFullReplicaInPages(t *testing.T) {
	leader, follower := New(1<<30), New(1<<30)
	big := string(make([]byte, 40<<10))
	leader.StartLeading("h", 1, 1, New(0).tree)
	for i := range 30 {
		leader.Apply(1, put(fmt.Sprintf("j/%02d", i), big))
	}
	pushes := 0
	peer := &lossyPeer{follower: follower, lose: func() int { pushes++; return 0 }}
	var acknowledged Head
	pushOnce(leader, peer, &acknowledged)
	trees, missing := Collect(t.Context(), peer, []string{"f"})
	if tree, _ := follower.Tree(); pushes < 4 || tree.Len() != 30 || len(missing) != 0 || trees[0].Len() != 30 {
		t.Errorf("got %d messages, %d keys, missing %v, want several messages, 30 keys, none missing",
			pushes, tree.Len(), missing)
	}
}

// Decoding and processing malformed messages must not panic.
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
