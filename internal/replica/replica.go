// Package replica keeps, in each controller's memory, a copy of what the state service
// holds of jobs and claims. The leader's is fed by what it reads and commits; those of
// the others by the leader, over the link. Should the state service lose data, they are
// what the history is put together from.
package replica

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Entry is a key as it is stored.
type Entry struct {
	Key  string
	Data []byte // nil: the key was removed
}

// Tree is what a copy holds at one moment. It never changes, so it can be read while
// the copy goes on.
type Tree = iradix.Tree[[]byte]

// Head says which history a copy is of, and how far it has come.
type Head struct {
	Incarnation string `json:"History"`
	Epoch       uint64 `json:"Epoch"` // of the leader that it comes from
	Seq         uint64 `json:"Seq"`   // changes of that leader's copy that are in it
	Revision    uint64 `json:"Gen"`   // generation that the leader had followed the jobs to
	Keys        int    `json:"Keys"`
}

// sequencedEntry is one in the log of changes, by which other copies are kept up.
type sequencedEntry struct {
	seq uint64
	Entry
}

// Replica is this node's copy.
type Replica struct {
	log             *slog.Logger
	maxBytesForEnds int // bytes of ends at most

	mu                  sync.Mutex
	head                Head
	tree                *Tree
	bytes               int
	droppedEnds         int // ends that there was no room for
	recent              []sequencedEntry
	previous            *Tree // of an earlier history, until the present one is whole
	ownWrites           map[string]ownWrite
	incoming            *incomingTree // a whole copy that is on its way
	leading             bool          // this node feeds it
	lastPush            time.Time     // from the leader, of this copy
	completeIncarnation string        // the last history that was known to be whole
}

// ownWrite is what this node stored itself and the leader has yet to tell of.
type ownWrite struct {
	data     []byte
	revision uint64
}

// Bounds of what is kept for other copies to catch up.
const maxRecent = 8192

// New makes an empty copy that keeps at most so many bytes of jobs' ends. What is
// alive is always kept: its amount is bounded by what is accepted.
func New(maxBytesForEnds int, log *slog.Logger) *Replica {
	return &Replica{log: log, maxBytesForEnds: maxBytesForEnds, tree: iradix.New[[]byte](), ownWrites: make(map[string]ownWrite)}
}

// Head tells how far the copy has come.
func (r *Replica) Head() Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := r.head
	head.Keys = r.tree.Len()
	return head
}

// Usage is what the copy takes: keys, bytes, and the ends that it had no room for.
func (r *Replica) Usage() (keys, bytes, droppedEnds int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tree.Len(), r.bytes, r.droppedEnds
}

// Tree is what the copy holds now.
func (r *Replica) Tree() (*Tree, Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tree, r.head
}

// Sources are all that this node remembers, the present history first: its copy, what
// it stored itself since, and the copy of an earlier history.
func (r *Replica) Sources() []*Tree {
	r.mu.Lock()
	defer r.mu.Unlock()
	tree := r.tree
	if len(r.ownWrites) > 0 {
		txn := tree.Txn()
		for key, write := range r.ownWrites {
			txn.Insert([]byte(key), write.data)
		}
		tree = txn.Commit()
	}
	sources := []*Tree{tree}
	if r.previous != nil {
		sources = append(sources, r.previous)
	}
	return sources
}

// Empty tells whether this node remembers nothing.
func (r *Replica) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tree.Len() == 0 && r.previous == nil && len(r.ownWrites) == 0
}

// Get finds a key, in the present copy or the earlier one.
func (r *Replica) Get(key string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if write, ok := r.ownWrites[key]; ok {
		return write.data, true
	}
	if value, ok := r.tree.Get([]byte(key)); ok {
		return value, true
	}
	if r.previous != nil {
		return r.previous.Get([]byte(key))
	}
	return nil, false
}

// KnowsJob tells whether a job was ever accepted, as far as this node remembers.
func (r *Replica) KnowsJob(jobID string) bool {
	if _, ok := r.Get(ledger.LiveKey(jobID)); ok {
		return true
	}
	_, ok := r.Get(ledger.EndedKey(jobID))
	return ok
}

// LoadPrevious has the copy begin with what is kept elsewhere, as of an earlier history.
func (r *Replica) LoadPrevious(tree *Tree) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tree.Len() == 0 && r.previous == nil {
		r.previous = tree
	}
}

// StartLeading makes this node's copy the one that others follow: it holds what the leader has
// put together.
func (r *Replica) StartLeading(incarnation string, epoch, revision uint64, tree *Tree) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setAsideLocked(incarnation)
	r.leading, r.incoming = true, nil
	r.head = Head{Incarnation: incarnation, Epoch: epoch, Seq: 1, Revision: revision}
	r.recent = nil
	r.replaceTreeLocked(tree)
}

// setAsideLocked sets the copy of another history aside. Run it with the lock held.
func (r *Replica) setAsideLocked(incarnation string) {
	if r.head.Incarnation == incarnation || r.tree.Len() == 0 && len(r.ownWrites) == 0 {
		return
	}
	txn := r.tree.Txn()
	if r.previous != nil {
		// Of several earlier ones, later ones say more of what both know.
		txn = r.previous.Txn()
		r.tree.Root().Walk(func(key []byte, value []byte) bool { txn.Insert(key, value); return false })
	}
	for key, write := range r.ownWrites {
		txn.Insert([]byte(key), write.data)
	}
	clear(r.ownWrites)
	r.previous = txn.Commit()
}

// MarkComplete drops what is remembered of earlier histories: the present one is whole.
func (r *Replica) MarkComplete(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head.Incarnation == incarnation && r.incoming == nil {
		r.previous, r.completeIncarnation = nil, incarnation
	}
}

func (r *Replica) replaceTreeLocked(tree *Tree) {
	r.tree, r.bytes = tree, 0
	tree.Root().Walk(func(key []byte, value []byte) bool { r.bytes += len(key) + len(value); return false })
}

// HeardLeaderWithin tells whether the leader told of the copy within a time.
func (r *Replica) HeardLeaderWithin(within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastPush.IsZero() && time.Since(r.lastPush) < within
}

// HoldsAllLaunches tells whether this node led last and its copy holds all that was ever launched:
// the history that it led in was whole.
func (r *Replica) HoldsAllLaunches() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leading && r.completeIncarnation == r.head.Incarnation
}

// Apply notes changes that the leader knows to be stored, and to which generation it
// has followed the jobs; 0 if it tells nothing of that.
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

// applyLocked makes one change, and reports whether anything came of it.
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
			return false // an end is final
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

// IsReplicated tells whether copies hold a key.
func IsReplicated(key string) bool {
	for _, prefix := range []string{ledger.LivePrefix, ledger.ChunkPrefix, ledger.EndedPrefix} {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// RecordOwnWrites notes what this node stored itself at a generation: should the state service lose
// it before the leader tells of it, nobody else knows.
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

// pruneOwnWritesLocked forgets what the leader knows of by now: jobs that it followed, and ends once it
// tells of them, for it does not follow those. Run it with the lock held.
func (r *Replica) pruneOwnWritesLocked() {
	for key, write := range r.ownWrites {
		_, replicated := r.tree.Get([]byte(key))
		if replicated || write.revision <= r.head.Revision && !strings.HasPrefix(key, ledger.EndedPrefix) {
			delete(r.ownWrites, key)
		}
	}
}

// retainEndsLocked adds ends that are known to a whole copy of the same history: its leader may
// have begun with less. Run it with the lock held.
func (r *Replica) retainEndsLocked(txn *iradix.Txn[[]byte]) {
	r.tree.Root().WalkPrefix([]byte(ledger.EndedPrefix), func(key, value []byte) bool {
		if _, ok := txn.Get(key); !ok {
			txn.Insert(key, value)
		}
		return false
	})
}
