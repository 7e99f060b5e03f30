// Package replica keeps an in-memory replica of the key-value store's records of jobs,
// claims and ended jobs on each controller. The leader updates its own replica from its
// reads and commits, and replicates it to the other controllers. If the store loses data,
// package recovery reconstructs it from the replicas.
//
// A [Replica] owns the current tree, the tree of an earlier store incarnation until
// recovery from it is complete, and the writes of this controller that the leader has not
// replicated yet, all under one lock. The leader's runtime calls [Replica.StartLeading],
// [Replica.Apply], [Replica.Replicate] and [Collect]; the links to other controllers call
// [Replica.Receive] and [Replica.ReadPage]; the job API and the snapshots read.
//
// The package must not resolve differences between replicas, and it never writes to the
// store.
package replica

import (
	"strings"
	"sync"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/ledger"
)

// Tree is the immutable contents of a replica at one point in time, as values by key. It can
// be read while the replica is updated.
type Tree = iradix.Tree[[]byte]

// Entry is a key with its stored value.
type Entry struct {
	Key  string
	Data []byte // nil: the key was deleted
}

// Head is the position of a replica: its store incarnation, the leader that it follows, and
// the changes that it contains.
type Head struct {
	Incarnation string `json:"History"`
	Epoch       uint64 `json:"Epoch"` // of the leader that it was replicated from
	Seq         uint64 `json:"Seq"`   // sequence number of the last change by that leader
	Revision    uint64 `json:"Gen"`   // store revision up to which the leader had watched the jobs
	Keys        int    `json:"Keys"`
}

// maxRecentChanges limits the number of recent changes that are kept so that followers can
// catch up, and the number of own writes.
const maxRecentChanges = 8192

// replicatedPrefixes are the prefixes of the replicated keys.
var replicatedPrefixes = [...]string{ledger.LivePrefix, ledger.ChunkPrefix, ledger.EndedPrefix}

// IsReplicated reports whether a key belongs to the replicated keys.
func IsReplicated(key string) bool {
	for _, prefix := range replicatedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// sequencedEntry is a recent change with its sequence number.
type sequencedEntry struct {
	seq uint64
	Entry
}

// ownWrite is a value that this controller committed to the store itself.
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
	leading     bool          // this controller leads and updates the replica itself
	incoming    *incomingTree // a full replica being received page by page; nil if none
	lastPushAt  time.Time     // when the last push of the leader was applied

	previous            *Tree  // of earlier incarnations, until the current one is complete
	completeIncarnation string // the last incarnation that became complete
	ownWrites           map[string]ownWrite
}

// New returns an empty replica. It drops further ended jobs while its size exceeds
// maxBytesForEnds. Live jobs and claims are always stored, since intake limits their number.
func New(maxBytesForEnds int) *Replica {
	return &Replica{
		maxBytesForEnds: maxBytesForEnds,
		tree:            iradix.New[[]byte](),
		ownWrites:       make(map[string]ownWrite),
	}
}

// Head returns the position of the replica.
func (r *Replica) Head() Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := r.head
	head.Keys = r.tree.Len()
	return head
}

// Usage returns the size of the replica and the number of ended jobs dropped for lack of room.
func (r *Replica) Usage() (keys, bytes, droppedEnds int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tree.Len(), r.bytes, r.droppedEnds
}

// Tree returns the current tree, without this controller's own writes, and its position.
func (r *Replica) Tree() (*Tree, Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tree, r.head
}

// Sources returns all records that this controller holds: first the current tree with the
// own writes, then the tree of earlier incarnations if there is one.
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

// Empty reports whether this controller holds no records at all.
func (r *Replica) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tree.Len() == 0 && r.previous == nil && len(r.ownWrites) == 0
}

// Get returns the value of a key from the own writes, the current tree or the previous tree,
// in this order.
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

// KnowsJob reports whether this controller holds a record of a live or ended job.
func (r *Replica) KnowsJob(jobID string) bool {
	if _, ok := r.Get(ledger.LiveKey(jobID)); ok {
		return true
	}
	_, ok := r.Get(ledger.EndedKey(jobID))
	return ok
}

// HeardLeaderWithin reports whether a push of the leader was applied within the last duration.
func (r *Replica) HeardLeaderWithin(duration time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastPushAt.IsZero() && time.Since(r.lastPushAt) < duration
}
