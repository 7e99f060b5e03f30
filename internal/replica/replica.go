// Package replica keeps, in the memory of each controller, a replica of what the
// key-value store holds of jobs, claims and ended jobs. The leader feeds its own replica
// from what it reads and commits, and replicates it to the other controllers. Should the
// store lose data, the replicas are what package recovery reconstructs it from.
//
// A [Replica] owns the present tree, the tree of an earlier store incarnation while
// recovery from it is incomplete, and the writes of this controller that the leader has
// yet to replicate, all under one lock. The leader's runtime calls [Replica.StartLeading],
// [Replica.Apply], [Replica.Replicate] and [Collect]; the links to other controllers call
// [Replica.Receive] and [Replica.ReadPage]; the job API and the snapshots read.
//
// It must not decide what is true when replicas differ, and it never writes to the store.
package replica

import (
	"strings"
	"sync"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/ledger"
)

// Tree is what a replica holds at one moment: values by key. It never changes, so that it
// can be read while the replica moves on.
type Tree = iradix.Tree[[]byte]

// Entry is a key with its stored value.
type Entry struct {
	Key  string
	Data []byte // nil: the key was deleted
}

// Head tells which store incarnation a replica belongs to, and how far it has come.
type Head struct {
	Incarnation string `json:"History"`
	Epoch       uint64 `json:"Epoch"` // of the leader that it comes from
	Seq         uint64 `json:"Seq"`   // changes of that leader's replica that it contains
	Revision    uint64 `json:"Gen"`   // of the store, up to which the leader had watched the jobs
	Keys        int    `json:"Keys"`
}

// maxRecent limits the recent changes kept for followers to catch up, and the own writes.
const maxRecent = 8192

// replicatedPrefixes are the prefixes of the keys that replicas hold.
var replicatedPrefixes = [...]string{ledger.LivePrefix, ledger.ChunkPrefix, ledger.EndedPrefix}

// IsReplicated reports whether replicas hold a key.
func IsReplicated(key string) bool {
	for _, prefix := range replicatedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// sequencedEntry is one of the recent changes.
type sequencedEntry struct {
	seq uint64
	Entry
}

// ownWrite is what this controller wrote to the store itself.
type ownWrite struct {
	data     []byte
	revision uint64
}

// Replica is this controller's replica. It is safe for concurrent use.
type Replica struct {
	maxBytesForEnds int

	mu          sync.Mutex // guards all below
	head        Head
	tree        *Tree
	bytes       int // of keys and values in tree
	droppedEnds int // ended jobs for which there was no room
	recent      []sequencedEntry
	leading     bool          // this controller feeds the replica
	incoming    *incomingTree // a full replica of which not all pages have arrived
	lastPush    time.Time     // by the leader, taken into this replica

	previous            *Tree  // of an earlier incarnation, until the present one is complete
	completeIncarnation string // the last one that was known to be complete
	ownWrites           map[string]ownWrite
}

// New returns an empty replica. It accepts no more ended jobs once it takes more than
// maxBytesForEnds. Live jobs and claims are always kept: intake limits their amount.
func New(maxBytesForEnds int) *Replica {
	return &Replica{
		maxBytesForEnds: maxBytesForEnds,
		tree:            iradix.New[[]byte](),
		ownWrites:       make(map[string]ownWrite),
	}
}

// Head returns how far the replica has come.
func (r *Replica) Head() Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := r.head
	head.Keys = r.tree.Len()
	return head
}

// Usage returns the size of the replica, and how many ended jobs it had no room for.
func (r *Replica) Usage() (keys, bytes, droppedEnds int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tree.Len(), r.bytes, r.droppedEnds
}

// Tree returns what the replica holds now, without this controller's own writes.
func (r *Replica) Tree() (*Tree, Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tree, r.head
}

// Sources returns all that this controller remembers, the present incarnation first: the
// replica with the own writes, and the tree of an earlier incarnation if there is one.
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

// Empty reports whether this controller remembers nothing.
func (r *Replica) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tree.Len() == 0 && r.previous == nil && len(r.ownWrites) == 0
}

// Get returns the value of a key, from the own writes, the present tree or the earlier
// one.
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

// KnowsJob reports whether a job was ever accepted, as far as this controller remembers.
func (r *Replica) KnowsJob(jobID string) bool {
	if _, ok := r.Get(ledger.LiveKey(jobID)); ok {
		return true
	}
	_, ok := r.Get(ledger.EndedKey(jobID))
	return ok
}

// HeardLeaderWithin reports whether the leader updated this replica within a duration.
func (r *Replica) HeardLeaderWithin(duration time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastPush.IsZero() && time.Since(r.lastPush) < duration
}
