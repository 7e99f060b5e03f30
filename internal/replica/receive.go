package replica

import (
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/ledger"
)

// incomingTree is a full replica of which not all pages have arrived.
type incomingTree struct {
	head Head
	txn  *iradix.Txn[[]byte]
}

// Receive takes in what the leader sends. A leader of an earlier epoch is not followed.
func (r *Replica) Receive(push *Push) Ack {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case push.Epoch < r.head.Epoch || r.leading && push.Epoch <= r.head.Epoch:
	case push.Full:
		r.receivePageLocked(push)
	case push.Epoch == r.head.Epoch && push.Incarnation == r.head.Incarnation && push.From == r.head.Seq:
		r.receiveChangesLocked(push)
	}
	return Ack{r.head}
}

// receivePageLocked takes in a page of a full replica, which takes effect with its last
// page. The caller holds r.mu.
func (r *Replica) receivePageLocked(push *Push) {
	if push.First {
		r.incoming = &incomingTree{head: push.Head, txn: iradix.New[[]byte]().Txn()}
	}
	if r.incoming == nil || r.incoming.head != push.Head {
		r.incoming = nil // an earlier page was lost, or the leader has begun anew
		return
	}
	for _, entry := range push.Entries {
		r.incoming.txn.Insert([]byte(entry.Key), entry.Data)
	}
	if !push.Last {
		return
	}
	if push.Incarnation == r.head.Incarnation {
		r.retainEndsLocked(r.incoming.txn)
	}
	r.setAsideLocked(push.Incarnation)
	r.leading, r.head, r.lastPush = false, push.Head, time.Now()
	r.replaceTreeLocked(r.incoming.txn.Commit())
	r.recent, r.incoming = nil, nil
	r.pruneOwnWritesLocked()
}

// receiveChangesLocked takes in changes that follow what the replica has. The caller
// holds r.mu.
func (r *Replica) receiveChangesLocked(push *Push) {
	txn := r.tree.Txn()
	for _, entry := range push.Entries {
		r.applyLocked(txn, entry)
	}
	r.tree = txn.Commit()
	r.head.Seq, r.head.Revision = push.Seq, max(r.head.Revision, push.Revision)
	r.lastPush = time.Now()
	r.pruneOwnWritesLocked()
}

// retainEndsLocked adds the ended jobs that are known here to a full replica of the same
// incarnation: its leader may have started with fewer. The caller holds r.mu.
func (r *Replica) retainEndsLocked(txn *iradix.Txn[[]byte]) {
	r.tree.Root().WalkPrefix([]byte(ledger.EndedPrefix), func(key, value []byte) bool {
		if _, ok := txn.Get(key); !ok {
			txn.Insert(key, value)
		}
		return false
	})
}
