package replica

import (
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Apply takes in operations that the leader knows to be committed. revision is the one up
// to which it has watched the jobs, or 0 if the operations say nothing of that.
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
	if n := len(r.recent); n > maxRecent {
		r.recent = append([]sequencedEntry(nil), r.recent[n-maxRecent/2:]...)
	}
}

// applyLocked applies one entry and reports whether it changed anything. The caller holds
// r.mu.
func (r *Replica) applyLocked(txn *iradix.Txn[[]byte], entry Entry) bool {
	if entry.Data == nil {
		old, had := txn.Delete([]byte(entry.Key))
		if had {
			r.bytes -= len(entry.Key) + len(old)
		}
		return had
	}
	if strings.HasPrefix(entry.Key, ledger.EndedPrefix) {
		if _, had := txn.Get([]byte(entry.Key)); had {
			return false // the end of a job is final
		}
		if r.bytes > r.maxBytesForEnds {
			r.droppedEnds++
			return false
		}
	}
	old, had := txn.Insert([]byte(entry.Key), entry.Data)
	if had && string(old) == string(entry.Data) {
		return false
	}
	if had {
		r.bytes -= len(entry.Key) + len(old)
	}
	r.bytes += len(entry.Key) + len(entry.Data)
	return true
}

// RecordOwnWrites remembers what this controller committed itself at a revision: if the
// store loses it before the leader replicates it, no other controller knows of it.
func (r *Replica) RecordOwnWrites(revision uint64, operations ...wire.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ownWrites) >= maxRecent {
		return
	}
	for _, operation := range operations {
		if operation.Put != "" && IsReplicated(operation.Put) {
			r.ownWrites[operation.Put] = ownWrite{operation.Value, revision}
		}
		delete(r.ownWrites, operation.Delete)
	}
}

// pruneOwnWritesLocked drops own writes that the leader knows of by now: those that it
// replicated, and those of live jobs up to the revision that it has watched. The leader
// does not watch ended jobs. The caller holds r.mu.
func (r *Replica) pruneOwnWritesLocked() {
	for key, write := range r.ownWrites {
		_, replicated := r.tree.Get([]byte(key))
		watched := write.revision <= r.head.Revision && !strings.HasPrefix(key, ledger.EndedPrefix)
		if replicated || watched {
			delete(r.ownWrites, key)
		}
	}
}
