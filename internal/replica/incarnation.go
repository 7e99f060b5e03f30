package replica

// StartLeading makes this controller's replica the one that others follow. The tree is
// what the new leader has read or reconstructed.
func (r *Replica) StartLeading(incarnation string, epoch, revision uint64, tree *Tree) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setAsideLocked(incarnation)
	r.leading, r.incoming = true, nil
	r.head = Head{Incarnation: incarnation, Epoch: epoch, Seq: 1, Revision: revision}
	r.recent = nil
	r.replaceTreeLocked(tree)
}

// LoadPrevious gives an empty replica a tree of an earlier incarnation, read from
// snapshots.
func (r *Replica) LoadPrevious(tree *Tree) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tree.Len() == 0 && r.previous == nil {
		r.previous = tree
	}
}

// MarkComplete notes that recovery of an incarnation is complete. If it is the present
// one, what is remembered of earlier ones is dropped.
func (r *Replica) MarkComplete(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head.Incarnation == incarnation && r.incoming == nil {
		r.previous, r.completeIncarnation = nil, incarnation
	}
}

// HoldsAllLaunches reports whether this controller was the last leader, of an incarnation
// that was complete: its replica then holds every claim under which a task was started.
func (r *Replica) HoldsAllLaunches() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leading && r.completeIncarnation == r.head.Incarnation
}

// setAsideLocked keeps what is remembered as that of an earlier incarnation, if another
// one begins. The caller holds r.mu.
func (r *Replica) setAsideLocked(incarnation string) {
	if r.head.Incarnation == incarnation || r.tree.Len() == 0 && len(r.ownWrites) == 0 {
		return
	}
	txn := r.tree.Txn()
	if r.previous != nil {
		// Where several earlier incarnations know a key, the later one knows more.
		txn = r.previous.Txn()
		r.tree.Root().Walk(func(key, value []byte) bool { txn.Insert(key, value); return false })
	}
	for key, write := range r.ownWrites {
		txn.Insert([]byte(key), write.data)
	}
	clear(r.ownWrites)
	r.previous = txn.Commit()
}

// replaceTreeLocked puts another tree in place and counts its bytes. The caller holds r.mu.
func (r *Replica) replaceTreeLocked(tree *Tree) {
	r.tree, r.bytes = tree, 0
	tree.Root().Walk(func(key, value []byte) bool { r.bytes += len(key) + len(value); return false })
}
