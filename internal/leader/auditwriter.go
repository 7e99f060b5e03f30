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

// auditWriter appends to the audit log: it records the leader's decisions in blocks that are
// committed with its transactions. The auditWriter is nil if no audit log is written; its methods
// then do nothing.
//
// Decisions that take effect by a transaction (claims, ends, cancellations) are recorded in that
// transaction. Other events (stops, releases, freed claims) are queued, and are written with the
// next transaction or soon after in one of their own. Queued entries precede the others in a
// block, so a task is never claimed again before the log records why it was free.
//
// All components of a term queue entries. The claim writer and the propagator write blocks, one
// of them at a time: the holder of the slot, from acquire to release, owns head and lastKey and
// may have a transaction in flight. The other state is guarded by mu, which may be taken while
// the slot is held, never the other way round. The auditWriter itself reads only the newest block
// from the store, when the term begins.
type auditWriter struct {
	keys       *keyring.Ring
	controller string // name of this controller, for the blocks that it writes
	log        *slog.Logger

	slot    chan struct{} // holds a token while no block is being written
	head    audit.Head    // the newest block
	lastKey uint32        // number of the key that the newest block is sealed with

	queue         []audit.Entry
	inFlightCount int                     // number of leading queue entries in a transaction in flight
	queuedSince   time.Time               // when the queue's first entry was queued
	droppedCount  int                     // number of entries dropped and not reported yet
	pending       map[string]pendingEntry // by key in the store
}

// pendingEntry holds entries that another controller wrote to the store for the leader to append.
type pendingEntry struct {
	revision uint64
	entries  []audit.Entry
}

// Bounds of queued entries and blocks. During a long outage of the store the queue fills up; an
// entry then reports how many entries were dropped.
const (
	maxQueuedEntries   = 4096
	maxEntriesPerBatch = 512 // queued entries in one transaction
	maxTasksPerEntry   = 64  // limit on merging queued entries
	bytesPerClaim      = 24  // upper bound of a claim's share of a block's value
	blockOverhead      = 256 // bytes of a block besides its entries
)

func newAuditWriter(keys *keyring.Ring, controller string, log *slog.Logger) *auditWriter {
	a := &auditWriter{
		keys: keys, controller: controller, log: log,
		slot: make(chan struct{}, 1), pending: make(map[string]pendingEntry),
	}
	a.slot <- struct{}{}
	return a
}

// acquire waits for the slot that allows writing blocks, and returns false if ctx ended first. The
// slot is a channel, not a mutex, because it is held during requests to the store and waiting for
// it must be cancellable.
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

// open reads the newest block from the store, and retries until the store answers.
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
		return nil // the log is empty
	}
	if err != nil {
		return err
	}
	return a.resume(item)
}

// resume continues the chain after the newest block in the store. A block that was tampered with
// is not repaired: the chain continues after it, and verifying the chain reveals the fault.
func (a *auditWriter) resume(item wire.KeyValue) error {
	sequence, ok := audit.BlockSeq(item.Key)
	if !ok {
		return fmt.Errorf("leader: resume audit log: invalid block key %q", item.Key)
	}
	raw, err := audit.DecodeValue(item.Value)
	if err == nil {
		a.lastKey, err = a.keyOfBlock(raw)
	}
	if err != nil {
		a.log.Error("newest audit block invalid", "block", sequence, "err", err)
	}
	a.head = audit.Head{Seq: sequence, Hash: keyring.Digest(raw)}
	return nil
}

// keyOfBlock returns the number of the key that a block is sealed with. The error is that of an
// invalid block.
func (a *auditWriter) keyOfBlock(raw []byte) (uint32, error) {
	block, err := audit.Open(raw)
	if err != nil {
		return 0, err
	}
	if err := block.VerifySeal(a.keys); err != nil {
		return 0, err
	}
	return block.KeyID, nil
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
		a.droppedCount++
		return
	}
	if len(a.queue) == 0 {
		a.queuedSince = now
	}
	a.queue = append(a.queue, entry)
}

// mergeWithLast adds the tasks of an entry to the last entry in the queue if both agree in all but
// time and tasks and the last one is not in flight. It reports whether it did.
func (a *auditWriter) mergeWithLast(entry audit.Entry) bool {
	queued := len(a.queue)
	if queued <= a.inFlightCount || len(entry.Tasks) == 0 {
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

// enqueueTask queues an entry about a claim, if the claim is recorded in the log. Callers hold mu.
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

// isDue reports whether queued or pending entries are to be written even if nothing else is:
// pending ones at once, queued ones after wait.
func (a *auditWriter) isDue(now time.Time, wait time.Duration) bool {
	return a != nil && (len(a.queue) > 0 && now.Sub(a.queuedSince) >= wait || len(a.pending) > 0)
}

// needsOwnBatch reports whether the queue would fill at least half of a block, so that it should
// be written in a batch of its own first.
func (a *auditWriter) needsOwnBatch(maxValueBytes int) bool {
	return a != nil && len(a.queue) > 0 &&
		(len(a.queue) >= maxEntriesPerBatch/2 || audit.EstimateSize(a.queue) > maxValueBytes/2)
}

// addPending adds a pending entry that another controller wrote. Callers hold mu.
func (a *auditWriter) addPending(key string, data json.RawMessage, revision uint64) {
	pending, err := audit.ReadPending(a.keys, key, data)
	if err != nil {
		a.log.Error("pending audit entry invalid", "key", key, "err", err)
		unsealed := audit.Entry{At: time.Now(), Action: audit.Unsealed, Subject: key, Reason: err.Error()}
		a.pending[key] = pendingEntry{revision, []audit.Entry{unsealed}}
		return
	}
	a.pending[key] = pendingEntry{revision, pending.Entries}
}

// dropPending handles a failed compare. If the key is that of a pending entry, an earlier leader
// has appended that entry, and dropPending removes it. It reports whether the key is that of a
// pending entry. Callers hold mu.
func (a *auditWriter) dropPending(key string) bool {
	if a == nil || !strings.HasPrefix(key, audit.PendingPrefix) {
		return false
	}
	delete(a.pending, key)
	return true
}
