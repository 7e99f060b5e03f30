package replica

import (
	"context"
	"time"
)

// maxIdleTicks is the number of ticks without changes after which a follower is sent an empty
// push: without any push it cannot tell whether it lacks changes.
const maxIdleTicks = 6

// Peers are the other controllers.
type Peers interface {
	// Followers returns the peers that can receive the replica now.
	Followers() []string
	// Push sends a part of the replica and returns the follower's answer.
	Push(ctx context.Context, controller string, push *Push) (Ack, error)
	// FetchPage fetches a page of the records that a peer holds.
	FetchPage(ctx context.Context, controller string, request PageRequest) (Page, error)
}

// follower is the replication state of one controller that the leader replicates to.
type follower struct {
	controller       string
	acknowledged     Head // position of its replica; zero: unknown
	everAcknowledged bool
	idleTicks        int
}

// Replicate replicates this controller's replica to a follower until ctx ends. At each
// interval it sends the changes since the last one, if there are any.
func (r *Replica) Replicate(ctx context.Context, peers Peers, controller string, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for f := (&follower{controller: controller}); ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.replicateOnce(ctx, peers, f)
		}
	}
}

// replicateOnce sends a follower the changes that it lacks, or a full replica.
func (r *Replica) replicateOnce(ctx context.Context, peers Peers, f *follower) {
	push, needsFull := r.nextPush(f.acknowledged)
	if f.acknowledged.Epoch > push.Epoch {
		// It follows a later leader. The next answer shows if that has changed.
		f.acknowledged = Head{}
		return
	}
	var ack Ack
	var err error
	switch {
	case needsFull:
		ack, err = r.pushFull(ctx, peers, f.controller)
	case f.shouldSkipTick(&push):
		return
	default:
		ack, err = peers.Push(ctx, f.controller, &push)
	}
	if err != nil {
		f.acknowledged = Head{} // the follower's position is unknown
		return
	}
	f.acknowledged, f.everAcknowledged = ack.Head, true
}

// shouldSkipTick reports whether no push needs to be sent at this tick.
func (f *follower) shouldSkipTick(push *Push) bool {
	f.idleTicks++
	unchanged := len(push.Entries) == 0 && push.Revision == f.acknowledged.Revision
	if f.everAcknowledged && unchanged && f.idleTicks < maxIdleTicks {
		return true
	}
	f.idleTicks = 0
	return false
}

// nextPush returns the changes that a follower lacks. needsFull means that the follower needs
// a full replica, because the changes are no longer kept or its replica has diverged.
func (r *Replica) nextPush(acknowledged Head) (push Push, needsFull bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	push = Push{Head: r.head, From: acknowledged.Seq}
	if acknowledged.Epoch != r.head.Epoch || acknowledged.Incarnation != r.head.Incarnation ||
		acknowledged.Seq > r.head.Seq {
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
		if size += len(change.Key) + len(change.Data); size > maxPageBytes {
			break
		}
	}
	return push, false
}

// pushFull sends a full replica to a follower, page by page.
func (r *Replica) pushFull(ctx context.Context, peers Peers, controller string) (Ack, error) {
	tree, head := r.Tree()
	push := Push{Head: head, Full: true, First: true, From: head.Seq}
	for after := ""; ; push.First = false {
		push.Entries, after = readPage(tree, after)
		push.Last = after == ""
		ack, err := peers.Push(ctx, controller, &push)
		if err != nil || push.Last {
			return ack, err
		}
	}
}
