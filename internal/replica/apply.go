package replica

import (
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Apply applies committed operations to the leader's replica. revision is the store revision
// up to which the leader has watched the jobs, or 0 if the operations do not come from that
// watch.
func (r *Replica) Apply(revision uint64, operations ...wire.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head.Revision = max(r.head.Revision, revision)
	txn := r.tree.Txn()
	for _, operation := range operations {
		key := operation.Put + operation.Delete
		if !IsReplicated(key) {
			continue
		}
		entry := Entry{Key: key}
		if operation.Put != "" {
			entry.Data = operation.Value
		}
		if !r.applyLocked(txn, entry) {
			continue
		}
		r.head.Seq++
		r.recent = append(r.recent, sequencedEntry{r.head.Seq, entry})
	}
	r.tree = txn.Commit()
	r.pruneOwnWritesLocked()
	if count := len(r.recent); count > maxRecentChanges {
		r.recent = append([]sequencedEntry(nil), r.recent[count-maxRecentChanges/2:]...)
	}
}

// applyLocked applies one entry and reports whether it changed the tree. The caller holds
// r.mu.
func (r *Replica) applyLocked(txn *iradix.Txn[[]byte], entry Entry) bool {
	if entry.Data == nil {
		old, existed := txn.Delete([]byte(entry.Key))
		if existed {
			r.bytes -= len(entry.Key) + len(old)
		}
		return existed
	}
	if strings.HasPrefix(entry.Key, ledger.EndedPrefix) {
		if _, exists := txn.Get([]byte(entry.Key)); exists {
			return false // the end of a job is final
		}
		if r.bytes > r.maxBytesForEnds {
			r.droppedEnds++
			return false
		}
	}
	old, existed := txn.Insert([]byte(entry.Key), entry.Data)
	if existed && string(old) == string(entry.Data) {
		return false
	}
	if existed {
		r.bytes -= len(entry.Key) + len(old)
	}
	r.bytes += len(entry.Key) + len(entry.Data)
	return true
}

// RecordOwnWrites records operations that this controller committed itself at a revision. If
// the store loses them before the leader replicates them, no other controller has a copy.
func (r *Replica) RecordOwnWrites(revision uint64, operations ...wire.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ownWrites) >= maxRecentChanges {
		return
	}
	for _, operation := range operations {
		if operation.Put != "" && IsReplicated(operation.Put) {
			r.ownWrites[operation.Put] = ownWrite{operation.Value, revision}
		}
		delete(r.ownWrites, operation.Delete)
	}
}

// pruneOwnWritesLocked drops the own writes that the leader has seen: those that it has
// replicated, and those of live jobs and claims up to the revision that it has watched. The
// leader does not watch ended jobs. The caller holds r.mu.
func (r *Replica) pruneOwnWritesLocked() {
	for key, write := range r.ownWrites {
		_, replicated := r.tree.Get([]byte(key))
		watched := write.revision <= r.head.Revision && !strings.HasPrefix(key, ledger.EndedPrefix)
		if replicated || watched {
			delete(r.ownWrites, key)
		}
	}
}
