package replica

import (
	"context"
	"time"
)

// maxIdleTicks is after how many ticks without news a follower is sent an empty push: a
// follower that hears nothing cannot tell whether it misses something.
const maxIdleTicks = 6

// Peers are the other controllers.
type Peers interface {
	// Followers returns the peers to which the replica can be sent now.
	Followers() []string
	// Push sends a part of the replica and returns the follower's answer.
	Push(ctx context.Context, controller string, push *Push) (Ack, error)
	// FetchPage asks a peer for a page of what it remembers.
	FetchPage(ctx context.Context, controller string, request PageRequest) (Page, error)
}

// follower is what the leader knows of a controller that it replicates to.
type follower struct {
	controller       string
	acknowledged     Head // zero: not known
	everAcknowledged bool
	idleTicks        int
}

// Replicate sends this controller's replica to a follower until ctx ends. It sends changes
// at each interval, if there are any.
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

// replicateOnce sends a follower what it lacks.
func (r *Replica) replicateOnce(ctx context.Context, peers Peers, f *follower) {
	push, needsFull := r.nextPush(f.acknowledged)
	if f.acknowledged.Epoch > push.Epoch {
		// It follows a later leader. Should that one's term be over, the next answer says so.
		f.acknowledged = Head{}
		return
	}
	var ack Ack
	var err error
	switch {
	case needsFull:
		ack, err = r.pushFull(ctx, peers, f.controller)
	case f.skipsTick(&push):
		return
	default:
		ack, err = peers.Push(ctx, f.controller, &push)
	}
	if err != nil {
		f.acknowledged = Head{} // what the follower has is not known
		return
	}
	f.acknowledged, f.everAcknowledged = ack.Head, true
}

// skipsTick reports whether there is no need to send a push at this tick.
func (f *follower) skipsTick(push *Push) bool {
	f.idleTicks++
	nothingNew := len(push.Entries) == 0 && push.Revision == f.acknowledged.Revision
	if f.everAcknowledged && nothingNew && f.idleTicks < maxIdleTicks {
		return true
	}
	f.idleTicks = 0
	return false
}

// nextPush returns the changes that a follower lacks. needsFull means that they are no
// longer kept, or do not lead there, so that it needs a full replica.
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
		if size += len(change.Key) + len(change.Data); size > pageBytes {
			break
		}
	}
	return push, false
}

// pushFull sends a full replica, page by page.
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
