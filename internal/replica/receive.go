package replica

import (
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/ledger"
)

// incomingTree is a full replica being received page by page.
type incomingTree struct {
	head Head
	txn  *iradix.Txn[[]byte]
}

// Receive applies a push of the leader and returns the resulting position. A push of a leader
// with an earlier epoch is ignored.
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

// receivePageLocked adds a page to the incoming replica, which replaces the current one when
// its last page arrives. The caller holds r.mu.
func (r *Replica) receivePageLocked(push *Push) {
	if push.First {
		r.incoming = &incomingTree{head: push.Head, txn: iradix.New[[]byte]().Txn()}
	}
	if r.incoming == nil || r.incoming.head != push.Head {
		r.incoming = nil // an earlier page was lost, or the leader has restarted the transfer
		return
	}
	for _, entry := range push.Entries {
		r.incoming.txn.Insert([]byte(entry.Key), entry.Data)
	}
	if !push.Last {
		return
	}
	if push.Incarnation == r.head.Incarnation {
		r.mergeEndsLocked(r.incoming.txn)
	}
	r.retainAsPreviousLocked(push.Incarnation)
	r.leading, r.head, r.lastPushAt = false, push.Head, time.Now()
	r.replaceTreeLocked(r.incoming.txn.Commit())
	r.recent, r.incoming = nil, nil
	r.pruneOwnWritesLocked()
}

// receiveChangesLocked applies changes that directly follow the replica's position. The
// caller holds r.mu.
func (r *Replica) receiveChangesLocked(push *Push) {
	txn := r.tree.Txn()
	for _, entry := range push.Entries {
		r.applyLocked(txn, entry)
	}
	r.tree = txn.Commit()
	r.head.Seq, r.head.Revision = push.Seq, max(r.head.Revision, push.Revision)
	r.lastPushAt = time.Now()
	r.pruneOwnWritesLocked()
}

// mergeEndsLocked adds this replica's ended jobs to a full replica of the same incarnation,
// whose leader may have started with fewer of them. The caller holds r.mu.
func (r *Replica) mergeEndsLocked(txn *iradix.Txn[[]byte]) {
	r.tree.Root().WalkPrefix([]byte(ledger.EndedPrefix), func(key, value []byte) bool {
		if _, ok := txn.Get(key); !ok {
			txn.Insert(key, value)
		}
		return false
	})
}
