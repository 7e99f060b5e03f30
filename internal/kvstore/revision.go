package kvstore

import "sync"

// revisionFloor is the latest revision that the store is known to have reached. The store is
// linearizable: a response never has an earlier revision than any response that was received before
// its request was sent. If one does, the store has lost data, and a new incarnation starts.
type revisionFloor struct {
	mu               sync.Mutex
	position         position
	onRollback       func(known, got uint64)
	incarnationEnded chan struct{} // closed when the present incarnation ends
}

// position is a revision of one incarnation of the store. The incarnation number is local to this
// process.
type position struct {
	revision    uint64
	incarnation uint64
}

// OnRollback sets a function that is called when the store's revision goes back: when a response has
// an earlier revision than was known when its request was sent. It is called once per rollback, by
// the goroutine that made the request, and must not block.
func (c *Client) OnRollback(callback func(known, got uint64)) {
	c.revision.mu.Lock()
	defer c.revision.mu.Unlock()
	c.revision.onRollback = callback
}

// Revision returns the latest revision known and the number of its incarnation.
func (c *Client) Revision() (revision, incarnation uint64) {
	latest := c.revision.latest()
	return latest.revision, latest.incarnation
}

// ObserveRevision records a revision that the store has reached in its present incarnation, as
// reported by another controller.
func (c *Client) ObserveRevision(revision uint64) {
	_, incarnation := c.Revision()
	c.revision.raise(position{revision, incarnation})
}

// StartIncarnation records that the store's data was replaced. The revisions alone may not show it:
// by the next request, the new incarnation may have passed the last revision of the earlier one.
func (c *Client) StartIncarnation() {
	c.revision.mu.Lock()
	defer c.revision.mu.Unlock()
	c.revision.startIncarnation(0)
}

// latest returns the latest position known.
func (f *revisionFloor) latest() position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// raise records a position that the store has certainly reached. A position of an earlier
// incarnation is ignored.
func (f *revisionFloor) raise(reached position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reached.incarnation == f.position.incarnation {
		f.position.revision = max(f.position.revision, reached.revision)
	}
}

// startIncarnation starts a new incarnation at a revision. It must be called with mu held.
func (f *revisionFloor) startIncarnation(revision uint64) {
	f.position = position{revision: revision, incarnation: f.position.incarnation + 1}
	close(f.incarnationEnded)
	f.incarnationEnded = make(chan struct{})
}

// observe records the revision of a response, given the position known when its request was sent. An
// response to a request sent in an earlier incarnation is ignored: it may describe the lost data.
func (f *revisionFloor) observe(revision uint64, knownAtSend position) {
	if revision == 0 {
		return
	}
	f.mu.Lock()
	if knownAtSend.incarnation != f.position.incarnation || revision >= knownAtSend.revision {
		if knownAtSend.incarnation == f.position.incarnation {
			f.position.revision = max(f.position.revision, revision)
		}
		f.mu.Unlock()
		return
	}
	f.startIncarnation(revision)
	onRollback := f.onRollback
	f.mu.Unlock()
	if onRollback != nil {
		onRollback(knownAtSend.revision, revision)
	}
}
