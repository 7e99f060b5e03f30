package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/keyring"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// auditWriter appends to the audit log: it turns what the leader decides into blocks that are
// committed with the transactions. Where no audit log is kept it is nil, and its methods do
// nothing.
//
// What the store decides (claims, ends, cancellations) is recorded in the very transaction
// that decides it. What happens elsewhere (stops, releases, proofs that a task is gone) is
// queued, and goes out with the next transaction or in one of its own soon after. The queue
// goes first: a task is never claimed again before the log tells why it was free.
//
// The components of a term queue entries. The claim writer and the dependencies write blocks,
// one of them at a time: whoever holds the slot, from acquire to release, owns head and
// lastKey and may have a transaction in flight. The other state is guarded by mu, which may be
// taken while the slot is held, never the other way round. Of the store auditWriter itself only
// reads the newest block, when the term begins.
type auditWriter struct {
	keys       *keyring.Ring
	controller string // its name, for the blocks it writes
	log        *slog.Logger

	slot    chan struct{} // has one token
	head    audit.Head    // the newest block
	lastKey uint32        // the number of the key that it is sealed under

	queue       []audit.Entry
	inFlight    int                     // leading entries of the queue in a transaction in flight
	queuedSince time.Time               // of the queue's first entry
	dropped     int                     // entries that there was no room for
	pending     map[string]pendingEntry // by key
}

// pendingEntry is what another controller left in the store for the leader to append.
type pendingEntry struct {
	revision uint64
	entries  []audit.Entry
}

// Bounds of what waits to be written. While the store is away for long the queue fills up; then
// an entry tells how many are missing.
const (
	maxQueuedEntries   = 4096
	maxEntriesPerBatch = 512 // of the queue, in one transaction
	maxTasksPerEntry   = 64  // that queued entries are merged to
	bytesPerClaim      = 24  // of a value, at most
	blockOverhead      = 256 // bytes of a block beside its entries
)

func newAuditWriter(keys *keyring.Ring, controller string, log *slog.Logger) *auditWriter {
	a := &auditWriter{
		keys: keys, controller: controller, log: log,
		slot: make(chan struct{}, 1), pending: make(map[string]pendingEntry),
	}
	a.slot <- struct{}{}
	return a
}

// acquire waits for the slot in which blocks may be written, and returns false if ctx ended
// first. The slot is held for the length of a request to the store, so that one can give up
// waiting: hence no mutex.
func (a *auditWriter) acquire(ctx context.Context) bool {
	if a == nil {
		return true
	}
	select {
	case <-a.slot:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *auditWriter) release() {
	if a != nil {
		a.slot <- struct{}{}
	}
}

// open finds the newest block, however long that takes.
func (a *auditWriter) open(ctx context.Context, reader *storeReader) error {
	if a == nil {
		return nil
	}
	if !a.acquire(ctx) {
		return ctx.Err()
	}
	defer a.release()
	item, err := reader.first(ctx, audit.BlockPrefix)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil // the log begins
	}
	if err != nil {
		return err
	}
	return a.resume(item)
}

// resume goes on after the newest block in the store. One that was tampered with is not
// mended: the chain goes on behind it, and the fault shows when the chain is verified.
func (a *auditWriter) resume(item wire.KeyValue) error {
	sequence, ok := audit.BlockSeq(item.Key)
	if !ok {
		return fmt.Errorf("leader: resume audit log: invalid block key %q", item.Key)
	}
	raw, err := audit.Raw(item.Value)
	if err == nil {
		a.lastKey, err = a.keyOfBlock(raw)
	}
	if err != nil {
		a.log.Error("newest audit block invalid", "block", sequence, "err", err)
	}
	a.head = audit.Head{Seq: sequence, Hash: keyring.Digest(raw)}
	return nil
}

// keyOfBlock returns the number of the key that a block is sealed under, if it is valid.
func (a *auditWriter) keyOfBlock(raw []byte) (uint32, error) {
	block, err := audit.Open(raw)
	if err != nil {
		return 0, err
	}
	if err := block.VerifySeal(a.keys); err != nil {
		return 0, err
	}
	return block.Key, nil
}

// enqueue queues an entry. Callers hold mu.
func (a *auditWriter) enqueue(now time.Time, entry audit.Entry) {
	if a == nil {
		return
	}
	entry.At = now
	if a.mergeWithLast(entry) {
		return
	}
	if len(a.queue) >= maxQueuedEntries {
		a.dropped++
		return
	}
	if len(a.queue) == 0 {
		a.queuedSince = now
	}
	a.queue = append(a.queue, entry)
}

// mergeWithLast adds the tasks of an entry to the last one in the queue if both tell the same
// of the same job, and it is not in flight.
func (a *auditWriter) mergeWithLast(entry audit.Entry) bool {
	queued := len(a.queue)
	if queued <= a.inFlight || len(entry.Tasks) == 0 {
		return false
	}
	last := &a.queue[queued-1]
	same := last.Action == entry.Action && last.Subject == entry.Subject &&
		last.Purpose == entry.Purpose && last.Reason == entry.Reason
	if !same || len(last.Tasks) >= maxTasksPerEntry {
		return false
	}
	last.Tasks = append(last.Tasks, entry.Tasks...)
	return true
}

// enqueueTask queues an entry about a claim, if the log tells of the claim. Callers
// hold mu.
func (a *auditWriter) enqueueTask(now time.Time, action audit.Action, claim *ledger.Claim, reason, beneficiary string) {
	if a == nil || !claim.Audited {
		return
	}
	a.enqueue(now, audit.Entry{
		Action: action, Subject: claim.Job.ID, Reason: reason, Purpose: beneficiary, Tasks: []audit.Task{auditTask(claim)},
	})
}

func auditTask(claim *ledger.Claim) audit.Task {
	return audit.Task{Index: claim.Index, Attempt: claim.Attempt, Worker: claim.Worker}
}

// isDue tells whether what is queued is to be written though nothing else is.
func (a *auditWriter) isDue(now time.Time, wait time.Duration) bool {
	return a != nil && (len(a.queue) > 0 && now.Sub(a.queuedSince) >= wait || len(a.pending) > 0)
}

// needsOwnBatch tells whether the queue would take most of a block, so that it had better go
// out by itself first.
func (a *auditWriter) needsOwnBatch(maxValueBytes int) bool {
	return a != nil && len(a.queue) > 0 &&
		(len(a.queue) >= maxEntriesPerBatch/2 || audit.Size(a.queue) > maxValueBytes/2)
}

// takePending takes in a pending entry that another controller wrote. Callers hold mu.
func (a *auditWriter) takePending(key string, data json.RawMessage, revision uint64) {
	pending, err := audit.ReadPending(a.keys, key, data)
	if err != nil {
		a.log.Error("pending audit entry invalid", "key", key, "err", err)
		unsealed := audit.Entry{At: time.Now(), Action: audit.Unsealed, Subject: key, Reason: err.Error()}
		a.pending[key] = pendingEntry{revision, []audit.Entry{unsealed}}
		return
	}
	a.pending[key] = pendingEntry{revision, pending.Entries}
}

// dropPending tells whether a compare that failed was of a pending entry, which then is no
// more. Callers hold mu.
func (a *auditWriter) dropPending(key string) bool {
	if a == nil || !strings.HasPrefix(key, audit.PendingPrefix) {
		return false
	}
	delete(a.pending, key)
	return true
}
