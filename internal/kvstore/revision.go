package kvstore

import "sync"

// revisionFloor is the latest revision that the store is known to have reached. The store answers
// consistently: no answer is of an earlier revision than one that came before it was asked for. An
// answer that is shows that the store lost data, and begins another incarnation of it.
type revisionFloor struct {
	mu               sync.Mutex
	position         position
	onRollback       func(known, got uint64)
	incarnationEnded chan struct{} // closed when the incarnation ends
}

// position is a revision of one incarnation of the store. The incarnation is counted by this
// process and means nothing to others.
type position struct {
	revision    uint64
	incarnation uint64
}

// OnRollback has a function called when an answer shows that the store's revision went back: to a
// request sent when a later revision was already known. It is called once for each time, by the
// goroutine that made the request, and must not block.
func (c *Client) OnRollback(callback func(known, got uint64)) {
	c.revision.mu.Lock()
	defer c.revision.mu.Unlock()
	c.revision.onRollback = callback
}

// Revision is the latest revision known, and the count of the incarnation that it belongs to.
func (c *Client) Revision() (revision, incarnation uint64) {
	known := c.revision.known()
	return known.revision, known.incarnation
}

// ObserveRevision takes in a revision that another controller knows the store's present
// incarnation to have reached.
func (c *Client) ObserveRevision(revision uint64) {
	_, incarnation := c.Revision()
	c.revision.raise(position{revision, incarnation})
}

// StartIncarnation notes that the store's data was replaced, whatever the revisions say: they may
// have passed the last ones of the earlier incarnation before anybody looked.
func (c *Client) StartIncarnation() {
	c.revision.mu.Lock()
	defer c.revision.mu.Unlock()
	c.revision.startIncarnation(0)
}

// known returns the latest position known.
func (f *revisionFloor) known() position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// raise notes a position that the store has surely reached. One of an earlier incarnation tells
// nothing.
func (f *revisionFloor) raise(reached position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reached.incarnation == f.position.incarnation {
		f.position.revision = max(f.position.revision, reached.revision)
	}
}

// startIncarnation begins another incarnation at a revision. It is called with the lock held.
func (f *revisionFloor) startIncarnation(revision uint64) {
	f.position = position{revision: revision, incarnation: f.position.incarnation + 1}
	close(f.incarnationEnded)
	f.incarnationEnded = make(chan struct{})
}

// observe takes in the revision of an answer, given what was known when its request was sent. An
// answer to what was asked in an earlier incarnation tells nothing: it may be of the data that is
// lost.
func (f *revisionFloor) observe(revision uint64, known position) {
	if revision == 0 {
		return
	}
	f.mu.Lock()
	if known.incarnation != f.position.incarnation || revision >= known.revision {
		if known.incarnation == f.position.incarnation {
			f.position.revision = max(f.position.revision, revision)
		}
		f.mu.Unlock()
		return
	}
	f.startIncarnation(revision)
	onRollback := f.onRollback
	f.mu.Unlock()
	if onRollback != nil {
		onRollback(known.revision, revision)
	}
}
