// Package copies keeps, in each controller's memory, a copy of what the state service
// holds of jobs and claims. The leader's is fed by what it reads and commits; those of
// the others by the leader, over the link. Should the state service lose data, they are
// what the history is put together from.
package copies

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
	History string `json:"History"`
	Epoch   uint64 `json:"Epoch"` // of the leader that it comes from
	Seq     uint64 `json:"Seq"`   // changes of that leader's copy that are in it
	Gen     uint64 `json:"Gen"`   // generation that the leader had followed the jobs to
	Keys    int    `json:"Keys"`
}

// change is one in the log of changes, by which other copies are kept up.
type change struct {
	seq uint64
	Entry
}

// Copy is this node's copy.
type Copy struct {
	log   *slog.Logger
	limit int // bytes of ends at most

	mu    sync.Mutex
	head  Head
	tree  *Tree
	bytes int
	short int // ends that there was no room for
	moves []change
	prior *Tree // of an earlier history, until the present one is whole
	own   map[string]own
	part  *partial  // a whole copy that is on its way
	lead  bool      // this node feeds it
	heard time.Time // from the leader, of this copy
	whole string    // the last history that was known to be whole
}

// own is what this node stored itself and the leader has yet to tell of.
type own struct {
	data []byte
	gen  uint64
}

// Bounds of what is kept for other copies to catch up.
const maxMoves = 8192

// New makes an empty copy that keeps at most so many bytes of jobs' ends. What is
// alive is always kept: its amount is bounded by what is accepted.
func New(limit int, log *slog.Logger) *Copy {
	return &Copy{log: log, limit: limit, tree: iradix.New[[]byte](), own: make(map[string]own)}
}

// Head tells how far the copy has come.
func (c *Copy) Head() Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.head
	h.Keys = c.tree.Len()
	return h
}

// Usage is what the copy takes: keys, bytes, and the ends that it had no room for.
func (c *Copy) Usage() (keys, bytes, short int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tree.Len(), c.bytes, c.short
}

// Tree is what the copy holds now.
func (c *Copy) Tree() (*Tree, Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tree, c.head
}

// Sources are all that this node remembers, the present history first: its copy, what
// it stored itself since, and the copy of an earlier history.
func (c *Copy) Sources() []*Tree {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tree
	if len(c.own) > 0 {
		txn := t.Txn()
		for k, o := range c.own {
			txn.Insert([]byte(k), o.data)
		}
		t = txn.Commit()
	}
	out := []*Tree{t}
	if c.prior != nil {
		out = append(out, c.prior)
	}
	return out
}

// Empty tells whether this node remembers nothing.
func (c *Copy) Empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tree.Len() == 0 && c.prior == nil && len(c.own) == 0
}

// Get finds a key, in the present copy or the earlier one.
func (c *Copy) Get(key string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.own[key]; ok {
		return o.data, true
	}
	if v, ok := c.tree.Get([]byte(key)); ok {
		return v, true
	}
	if c.prior != nil {
		return c.prior.Get([]byte(key))
	}
	return nil, false
}

// Knows tells whether a job was ever accepted, as far as this node remembers.
func (c *Copy) Knows(ref string) bool {
	if _, ok := c.Get(ledger.LiveKey(ref)); ok {
		return true
	}
	_, ok := c.Get(ledger.EndedKey(ref))
	return ok
}

// Recall has the copy begin with what is kept elsewhere, as of an earlier history.
func (c *Copy) Recall(t *Tree) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tree.Len() == 0 && c.prior == nil {
		c.prior = t
	}
}

// Lead makes this node's copy the one that others follow: it holds what the leader has
// put together.
func (c *Copy) Lead(history string, epoch, gen uint64, tree *Tree) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep(history)
	c.lead, c.part = true, nil
	c.head = Head{History: history, Epoch: epoch, Seq: 1, Gen: gen}
	c.moves = nil
	c.swap(tree)
}

// keep sets the copy of another history aside. Run it with the lock held.
func (c *Copy) keep(history string) {
	if c.head.History == history || c.tree.Len() == 0 && len(c.own) == 0 {
		return
	}
	txn := c.tree.Txn()
	if c.prior != nil {
		// Of several earlier ones, later ones say more of what both know.
		txn = c.prior.Txn()
		c.tree.Root().Walk(func(k []byte, v []byte) bool { txn.Insert(k, v); return false })
	}
	for k, o := range c.own {
		txn.Insert([]byte(k), o.data)
	}
	clear(c.own)
	c.prior = txn.Commit()
}

// Settled drops what is remembered of earlier histories: the present one is whole.
func (c *Copy) Settled(history string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.History == history && c.part == nil {
		c.prior, c.whole = nil, history
	}
}

func (c *Copy) swap(t *Tree) {
	c.tree, c.bytes = t, 0
	t.Root().Walk(func(k []byte, v []byte) bool { c.bytes += len(k) + len(v); return false })
}

// Fresh tells whether the leader told of the copy within a time.
func (c *Copy) Fresh(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.heard.IsZero() && time.Since(c.heard) < within
}

// Exact tells whether this node led last and its copy holds all that was ever launched:
// the history that it led in was whole.
func (c *Copy) Exact() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lead && c.whole == c.head.History
}

// Apply notes changes that the leader knows to be stored, and to which generation it
// has followed the jobs; 0 if it tells nothing of that.
func (c *Copy) Apply(gen uint64, changes ...wire.Operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Gen = max(c.head.Gen, gen)
	txn := c.tree.Txn()
	for _, ch := range changes {
		key := ch.Put + ch.Delete
		if !Held(key) {
			continue
		}
		e := Entry{Key: key}
		if ch.Put != "" {
			e.Data = ch.Value
		}
		if !c.set(txn, e) {
			continue
		}
		c.head.Seq++
		c.moves = append(c.moves, change{c.head.Seq, e})
	}
	c.tree = txn.Commit()
	c.prune()
	if n := len(c.moves); n > maxMoves {
		c.moves = append([]change(nil), c.moves[n-maxMoves/2:]...)
	}
}

// set makes one change, and reports whether anything came of it.
func (c *Copy) set(txn *iradix.Txn[[]byte], e Entry) bool {
	if e.Data == nil {
		old, had := txn.Delete([]byte(e.Key))
		if had {
			c.bytes -= len(e.Key) + len(old)
		}
		return had
	}
	if strings.HasPrefix(e.Key, ledger.EndedPrefix) {
		if _, had := txn.Get([]byte(e.Key)); had {
			return false // an end is final
		}
		if c.bytes > c.limit {
			c.short++
			return false
		}
	}
	old, had := txn.Insert([]byte(e.Key), e.Data)
	if had && string(old) == string(e.Data) {
		return false
	}
	if had {
		c.bytes -= len(e.Key) + len(old)
	}
	c.bytes += len(e.Key) + len(e.Data)
	return true
}

// Held tells whether copies hold a key.
func Held(key string) bool {
	for _, p := range []string{ledger.LivePrefix, ledger.ChunkPrefix, ledger.EndedPrefix} {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// Own notes what this node stored itself at a generation: should the state service lose
// it before the leader tells of it, nobody else knows.
func (c *Copy) Own(gen uint64, changes ...wire.Operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.own) >= maxMoves {
		return
	}
	for _, ch := range changes {
		if ch.Put != "" && Held(ch.Put) {
			c.own[ch.Put] = own{ch.Value, gen}
		}
		delete(c.own, ch.Delete)
	}
}

// prune forgets what the leader knows of by now: jobs that it followed, and ends once it
// tells of them, for it does not follow those. Run it with the lock held.
func (c *Copy) prune() {
	for k, o := range c.own {
		_, told := c.tree.Get([]byte(k))
		if told || o.gen <= c.head.Gen && !strings.HasPrefix(k, ledger.EndedPrefix) {
			delete(c.own, k)
		}
	}
}

// retain adds ends that are known to a whole copy of the same history: its leader may
// have begun with less. Run it with the lock held.
func (c *Copy) retain(txn *iradix.Txn[[]byte]) {
	c.tree.Root().WalkPrefix([]byte(ledger.EndedPrefix), func(k, v []byte) bool {
		if _, ok := txn.Get(k); !ok {
			txn.Insert(k, v)
		}
		return false
	})
}
