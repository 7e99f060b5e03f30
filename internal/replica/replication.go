package replica

import (
	"context"
	"strings"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// incomingTree is a whole copy on its way.
type incomingTree struct {
	head Head
	txn  *iradix.Txn[[]byte]
}

// Receive takes in what the leader sends. A leader of an earlier epoch is not followed.
func (r *Replica) Receive(push *Push) Ack {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case push.Epoch < r.head.Epoch || r.leading && push.Epoch <= r.head.Epoch:
	case push.Whole && push.First:
		r.incoming = &incomingTree{head: push.Head, txn: iradix.New[[]byte]().Txn()}
		fallthrough
	case push.Whole:
		if r.incoming == nil || r.incoming.head != push.Head {
			r.incoming = nil
			break
		}
		for _, entry := range push.Entries {
			r.incoming.txn.Insert([]byte(entry.Key), entry.Data)
		}
		if push.Last {
			if push.Incarnation == r.head.Incarnation {
				r.retainEndsLocked(r.incoming.txn)
			}
			r.setAsideLocked(push.Incarnation)
			r.leading, r.head, r.lastPush = false, push.Head, time.Now()
			r.replaceTreeLocked(r.incoming.txn.Commit())
			r.recent, r.incoming = nil, nil
			r.pruneOwnWritesLocked()
		}
	case push.Epoch == r.head.Epoch && push.Incarnation == r.head.Incarnation && push.From == r.head.Seq:
		txn := r.tree.Txn()
		for _, entry := range push.Entries {
			r.applyLocked(txn, entry)
		}
		r.tree = txn.Commit()
		r.head.Seq, r.head.Revision, r.lastPush = push.Seq, max(r.head.Revision, push.Revision), time.Now()
		r.pruneOwnWritesLocked()
	}
	return Ack{r.head}
}

// readPage takes entries behind a key until a message is full.
func readPage(tree *Tree, after string) (entries []Entry, next string) {
	iterator := tree.Root().Iterator()
	iterator.SeekLowerBound([]byte(after))
	for size := 0; ; {
		key, value, ok := iterator.Next()
		if !ok {
			return entries, ""
		}
		if string(key) == after {
			continue
		}
		entries = append(entries, Entry{string(key), value})
		if size += len(key) + len(value); size > pageBytes {
			return entries, string(key)
		}
	}
}

// Peers are the nodes that follow.
type Peers interface {
	// Followers are the peers that can be sent a copy now.
	Followers() []string
	// Push sends one, and gives its answer.
	Push(ctx context.Context, node string, p *Push) (Ack, error)
	// FetchPage asks a peer for a page of what it remembers.
	FetchPage(ctx context.Context, node string, a PageRequest) (Page, error)
}

// Replicate sends this node's copy to a follower until ctx ends or it leads no more, as soon
// as there is news but no more often than every so long.
func (r *Replica) Replicate(ctx context.Context, peers Peers, controller string, interval time.Duration) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var acknowledged Head // as the follower said
	idleTicks := 0        // ticks without a message
	for everAcknowledged := false; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		push, needsWhole := r.nextPush(acknowledged)
		if acknowledged.Epoch > push.Epoch {
			acknowledged = Head{} // it follows a later leader; if that is over, it will say so
			continue
		}
		if needsWhole {
			ack, err := r.pushWhole(ctx, peers, controller)
			if err != nil {
				acknowledged = Head{} // what it has is not known
				continue
			}
			acknowledged, everAcknowledged = ack.Head, true
			continue
		}
		if idleTicks++; everAcknowledged && len(push.Entries) == 0 && push.Revision == acknowledged.Revision && idleTicks < maxIdleTicks {
			continue
		}
		idleTicks = 0
		ack, err := peers.Push(ctx, controller, &push)
		if err != nil {
			acknowledged = Head{}
			continue
		}
		acknowledged, everAcknowledged = ack.Head, true
	}
}

// maxIdleTicks is after how many ticks without news a follower is told that there is none: one
// that hears nothing cannot tell what it misses.
const maxIdleTicks = 6

// nextPush is what a follower lacks, or whole if that is more than is remembered.
func (r *Replica) nextPush(acknowledged Head) (push Push, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	push = Push{Head: r.head, From: acknowledged.Seq}
	if acknowledged.Epoch != r.head.Epoch || acknowledged.Incarnation != r.head.Incarnation || acknowledged.Seq > r.head.Seq {
		return push, true
	}
	missing := r.head.Seq - acknowledged.Seq
	if missing > uint64(len(r.recent)) {
		return push, true
	}
	size := 0
	for _, change := range r.recent[len(r.recent)-int(missing):] {
		push.Entries = append(push.Entries, change.Entry)
		push.Seq = change.seq
		if size += len(change.Key) + len(change.Data); size > pageBytes {
			break
		}
	}
	return push, false
}

// pushWhole sends a whole copy.
func (r *Replica) pushWhole(ctx context.Context, peers Peers, controller string) (Ack, error) {
	tree, head := r.Tree()
	push := Push{Head: head, Whole: true, First: true, From: head.Seq}
	for after := ""; ; push.First = false {
		push.Entries, after = readPage(tree, after)
		push.Last = after == ""
		ack, err := peers.Push(ctx, controller, &push)
		if err != nil || push.Last {
			return ack, err
		}
	}
}

// Collect asks the peers given for all they remember. What a peer that cannot be asked
// knows is missing from it; it names those.
func Collect(ctx context.Context, peers Peers, controllers []string) (trees []*Tree, missing []string) {
	type answer struct {
		trees []*Tree
		node  string
		err   error
	}
	answers := make(chan answer, len(controllers))
	for _, controller := range controllers {
		go func() {
			collected, err := collectFrom(ctx, peers, controller)
			answers <- answer{collected, controller, err}
		}()
	}
	for range controllers {
		received := <-answers
		trees = append(trees, received.trees...)
		if received.err != nil {
			missing = append(missing, received.node)
		}
	}
	return trees, missing
}

func collectFrom(ctx context.Context, peers Peers, controller string) (trees []*Tree, err error) {
	txn := iradix.New[[]byte]().Txn()
	for request := (PageRequest{}); ; {
		page, err := peers.FetchPage(ctx, controller, request)
		if err != nil {
			// A part of what it remembers is better than none.
			return append(trees, txn.Commit()), err
		}
		for _, entry := range page.Entries {
			if entry.Data != nil && IsReplicated(entry.Key) {
				txn.Insert([]byte(entry.Key), entry.Data)
			}
		}
		if page.After == "" {
			return append(trees, txn.Commit()), nil
		}
		if page.Source != request.Source {
			trees = append(trees, txn.Commit())
			txn = iradix.New[[]byte]().Txn()
		}
		request = PageRequest{After: strings.TrimPrefix(page.After, "\x00"), Source: page.Source}
	}
}
