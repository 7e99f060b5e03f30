package leader

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// auditedBatch is a batch of writes with the audit blocks that record it.
type auditedBatch struct {
	*ledger.Batch
	blocks       []*audit.Block
	queuedCount  int             // number of queue entries that the blocks contain
	droppedCount int             // number of dropped entries that the blocks report
	pendingKeys  []string        // of the pending entries that the blocks contain
	jobs         []*ledger.Job   // whose acceptance the blocks record
	claims       []*ledger.Claim // that the blocks record
}

// blockParams holds what all blocks of a batch share.
type blockParams struct {
	epoch  uint64
	now    time.Time
	limits txnLimits
}

// limitBatch reduces the limits of a batch to leave room for the audit block that records it: the
// block takes one operation, and its value holds a limited number of claims.
func (a *auditWriter) limitBatch(limits *ledger.BatchLimits) {
	limits.MaxOperations = max(limits.MaxOperations-1, minBatchOps)
	limits.AuditBlock = a.head.Seq + 1
	limits.MaxClaims = (limits.MaxValueBytes - blockOverhead) / bytesPerClaim
}

// attachBlocks adds to a batch the blocks that record its decisions, the queued entries and the pending
// entries of other controllers. Callers hold the slot and mu.
func (a *auditWriter) attachBlocks(batch *auditedBatch, params blockParams) error {
	if a == nil {
		return nil
	}
	entries := a.queuedEntries(batch, params.now)
	for _, decision := range batch.Decisions() {
		entries = append(entries, a.decisionEntries(batch, decision, params.now)...)
	}
	for key, pending := range a.pending {
		if len(batch.Operations)+2 > params.limits.operations {
			break // one operation to delete the pending entry, one for its block
		}
		if len(entries) > 0 && audit.EstimateSize(entries)+audit.EstimateSize(pending.entries) > params.limits.valueBytes/2 {
			break
		}
		entries = append(entries, pending.entries...)
		batch.pendingKeys = append(batch.pendingKeys, key)
		batch.Compares = append(batch.Compares, wire.Compare{Key: key, ModRevision: pending.revision})
		batch.Operations = append(batch.Operations, wire.Operation{Delete: key})
	}
	return a.sealBlocks(batch, entries, params)
}

// queuedEntries returns the entries of the queue that are written with a batch, and marks them
// as in flight.
func (a *auditWriter) queuedEntries(batch *auditedBatch, now time.Time) []audit.Entry {
	batch.queuedCount = min(len(a.queue), maxEntriesPerBatch)
	a.inFlightCount = batch.queuedCount
	entries := append([]audit.Entry(nil), a.queue[:batch.queuedCount]...)
	if a.droppedCount > 0 && batch.queuedCount == len(a.queue) {
		batch.droppedCount = a.droppedCount
		entries = append(entries, audit.Entry{At: now, Action: audit.Missed, Reason: strconv.Itoa(a.droppedCount)})
	}
	return entries
}

// decisionEntries returns the entries that record a batch's decision on one job, and marks the
// job and its claims as audited.
func (a *auditWriter) decisionEntries(batch *auditedBatch, decision ledger.Decision, now time.Time) []audit.Entry {
	var entries []audit.Entry
	job := decision.Job
	if !job.Audited {
		entries = append(entries, audit.AcceptedEntry(a.keys, job.Record()))
		batch.jobs = append(batch.jobs, job)
		job.Audited = true
	}
	if len(decision.Claims) > 0 {
		entry := audit.Entry{At: now, Action: audit.Claimed, Subject: job.ID}
		for _, claim := range decision.Claims {
			claim.Audited = true
			batch.claims = append(batch.claims, claim)
			entry.Tasks = append(entry.Tasks, auditTask(claim))
		}
		entries = append(entries, entry)
	}
	if decision.EndsJob {
		entries = append(entries, audit.Entry{At: now, Action: audit.Done, Subject: job.ID})
	}
	return entries
}

// attachCancellations adds blocks to a batch that cancels jobs because a dependency was
// cancelled; the blocks record these cancellations. Callers hold the slot and mu.
func (a *auditWriter) attachCancellations(batch *auditedBatch, jobs []*ledger.Job, params blockParams) error {
	if a == nil {
		return nil
	}
	var entries []audit.Entry
	for _, job := range jobs {
		if !job.Audited {
			entries = append(entries, audit.AcceptedEntry(a.keys, job.Record()))
		}
		entries = append(entries, audit.Entry{
			At: params.now, Action: audit.Cancelled, Subject: job.ID, Reason: "needs " + job.CancelledUpstream(),
		})
	}
	return a.sealBlocks(batch, entries, params)
}

// sealBlocks seals entries in blocks, and adds the writes of these blocks to a batch.
func (a *auditWriter) sealBlocks(batch *auditedBatch, entries []audit.Entry, params blockParams) error {
	head := a.head
	for _, blockEntries := range audit.Split(entries, params.limits.valueBytes-blockOverhead-len(a.controller)) {
		if len(batch.Operations) >= params.limits.operations {
			// With one more operation the store would refuse the whole transaction. This is
			// only reached with worker names of hundreds of bytes.
			a.droppedCount += len(blockEntries)
			continue
		}
		block, err := audit.NewBlock(a.keys, head, a.lastKey, params.epoch, a.controller, params.now, blockEntries)
		if err != nil {
			return err
		}
		head = block.Head()
		batch.blocks = append(batch.blocks, block)
		key := audit.BlockKey(block.Seq)
		batch.Compares = append(batch.Compares, wire.Compare{Key: key})
		batch.Operations = append(batch.Operations, wire.Operation{Put: key, Value: audit.EncodeValue(block.Raw)})
	}
	return nil
}

// batchCommitted updates head, queue and pending entries after a batch was applied. Callers hold
// the slot and mu.
func (a *auditWriter) batchCommitted(batch *auditedBatch, now time.Time) {
	if a == nil {
		return
	}
	a.inFlightCount = 0
	if count := len(batch.blocks); count > 0 {
		newest := batch.blocks[count-1]
		a.head, a.lastKey = newest.Head(), newest.KeyID
	}
	if batch.queuedCount > 0 {
		a.queue = append(a.queue[:0], a.queue[batch.queuedCount:]...)
		a.queuedSince = now
	}
	a.droppedCount -= batch.droppedCount
	for _, key := range batch.pendingKeys {
		delete(a.pending, key)
	}
}

// batchFailed reverts the state after a batch that was certainly not applied: the jobs and claims
// are unaudited again, and its queued entries stay. Callers hold the slot and mu.
func (a *auditWriter) batchFailed(batch *auditedBatch) {
	if a == nil {
		return
	}
	a.inFlightCount = 0
	for _, job := range batch.jobs {
		job.Audited = false
	}
	for _, claim := range batch.claims {
		claim.Audited = false
		a.retract(claim)
	}
}

// retract removes queued entries about a claim that was never committed.
func (a *auditWriter) retract(claim *ledger.Claim) {
	isOfClaim := func(task audit.Task) bool { return task.Index == claim.Index && task.Attempt == claim.Attempt }
	a.queue = slices.DeleteFunc(a.queue, func(entry audit.Entry) bool {
		return entry.Subject == claim.Job.ID && len(entry.Tasks) == 1 && isOfClaim(entry.Tasks[0])
	})
	for i := range a.queue {
		if entry := &a.queue[i]; entry.Subject == claim.Job.ID && len(entry.Tasks) > 1 {
			entry.Tasks = slices.DeleteFunc(entry.Tasks, isOfClaim)
		}
	}
}

// readOutcome reads whether a batch was applied: it was if the store has the first block of the
// batch under its number, for nobody else can have sealed that block.
func (b *auditedBatch) readOutcome(ctx context.Context, store *kvstore.Client) (txnOutcome, error) {
	item, err := store.Get(ctx, audit.BlockKey(b.blocks[0].Seq))
	if errors.Is(err, kvstore.ErrNotFound) {
		return txnOutcome{}, nil
	}
	if err != nil {
		return txnOutcome{}, err
	}
	return txnOutcome{applied: b.blocks[0].EqualsStored(item.Value), revision: item.ModRevision}, nil
}
