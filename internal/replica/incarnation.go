package replica

// StartLeading makes this controller's replica the source of replication. The tree holds the
// records that the new leader has read or reconstructed.
func (r *Replica) StartLeading(incarnation string, epoch, revision uint64, tree *Tree) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retainAsPreviousLocked(incarnation)
	r.leading, r.incoming = true, nil
	r.head = Head{Incarnation: incarnation, Epoch: epoch, Seq: 1, Revision: revision}
	r.recent = nil
	r.replaceTreeLocked(tree)
}

// LoadPrevious sets the tree of an earlier incarnation, read from snapshots, unless the
// replica already holds records.
func (r *Replica) LoadPrevious(tree *Tree) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tree.Len() == 0 && r.previous == nil {
		r.previous = tree
	}
}

// MarkComplete records that recovery of an incarnation is complete. If it is the current
// one, the tree of earlier incarnations is dropped.
func (r *Replica) MarkComplete(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head.Incarnation == incarnation && r.incoming == nil {
		r.previous, r.completeIncarnation = nil, incarnation
	}
}

// HoldsAllLaunches reports whether this controller was the last leader, and of a complete
// incarnation. Its replica then holds every claim under which a task was started.
func (r *Replica) HoldsAllLaunches() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leading && r.completeIncarnation == r.head.Incarnation
}

// retainAsPreviousLocked merges the current tree and the own writes into the previous tree if
// the given incarnation is a new one. The caller holds r.mu.
func (r *Replica) retainAsPreviousLocked(incarnation string) {
	if r.head.Incarnation == incarnation || r.tree.Len() == 0 && len(r.ownWrites) == 0 {
		return
	}
	txn := r.tree.Txn()
	if r.previous != nil {
		// If several earlier incarnations hold a key, the value of the latest one prevails.
		txn = r.previous.Txn()
		r.tree.Root().Walk(func(key, value []byte) bool { txn.Insert(key, value); return false })
	}
	for key, write := range r.ownWrites {
		txn.Insert([]byte(key), write.data)
	}
	clear(r.ownWrites)
	r.previous = txn.Commit()
}

// replaceTreeLocked replaces the current tree and counts its bytes. The caller holds r.mu.
func (r *Replica) replaceTreeLocked(tree *Tree) {
	r.tree, r.bytes = tree, 0
	tree.Root().Walk(func(key, value []byte) bool { r.bytes += len(key) + len(value); return false })
}
