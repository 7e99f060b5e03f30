package access

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/identity"
	"rillflow/internal/kvstore"
	"rillflow/internal/rights"
	"rillflow/internal/wire"
)

// maxPendingRefusals bounds the refusals that wait to be written; further ones are only counted.
const maxPendingRefusals = 64

// refusals holds the refusals that wait to be written to the audit log. They are written
// later and in bounded batches, so that refused requests can neither fill the log nor use up
// the store's write rate.
type refusals struct {
	interval  time.Duration // between two writes
	startedAt int64         // start of the process in Unix nanoseconds, for unique keys

	mu             sync.Mutex // guards the fields below, except inFlight
	pending        []audit.Entry
	omitted        int    // refusals not recorded because maxPendingRefusals were pending
	batchesWritten uint64 // used in the keys of batches

	inFlight *refusalBatch // used by writeRefusals alone
}

// refusalBatch is a batch of refusals to be written.
type refusalBatch struct {
	key        string
	operations []wire.Operation
	count      int // recorded refusals in the batch
	omitted    int // omitted refusals that its last entry counts
}

// recordRefusal logs a refusal and, if the audit log is on, queues it for the log.
func (authorizer *Authorizer) recordRefusal(caller identity.Caller, request rights.Request, job, reason string) {
	authorizer.log.Info("request refused", "caller", caller.Name, "action", request.Action, "job", job,
		"team", request.Team, "priority", request.Priority, "reason", reason)
	if !authorizer.auditEnabled {
		return
	}
	refusals := &authorizer.refusals
	refusals.mu.Lock()
	defer refusals.mu.Unlock()
	if len(refusals.pending) >= maxPendingRefusals {
		refusals.omitted++
		return
	}
	refusals.pending = append(refusals.pending, audit.Entry{
		At: authorizer.now(), Action: audit.Refused, Actor: caller.Name, Controller: authorizer.controller, Subject: job,
		Purpose: request.Action, Reason: reason, Team: request.Team, Priority: request.Priority,
	})
}

// writeRefusals writes a batch at each interval until ctx ends.
func (authorizer *Authorizer) writeRefusals(ctx context.Context) {
	ticker := time.NewTicker(authorizer.refusals.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := authorizer.writeBatch(ctx); err != nil && ctx.Err() == nil {
			authorizer.log.Debug("refusals not written yet", "err", err)
		}
	}
}

// writeBatch writes one batch of the pending refusals. A batch with unknown outcome is written
// again unchanged under the same key; it counts as written if the key then exists.
func (authorizer *Authorizer) writeBatch(ctx context.Context) error {
	refusals := &authorizer.refusals
	if refusals.inFlight == nil {
		batch, err := authorizer.sealBatch()
		if batch == nil || err != nil {
			return err
		}
		refusals.inFlight = batch
	}
	batch := refusals.inFlight
	_, _, err := authorizer.store.Commit(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: batch.key}}, Operations: batch.operations,
	})
	if errors.Is(err, kvstore.ErrTooLarge) {
		refusals.inFlight = nil // rebuilt for the current limits
	}
	if err != nil {
		return err
	}
	refusals.mu.Lock()
	defer refusals.mu.Unlock()
	refusals.pending = append(refusals.pending[:0], refusals.pending[batch.count:]...)
	refusals.omitted -= batch.omitted
	refusals.batchesWritten++
	refusals.inFlight = nil
	return nil
}

// sealBatch builds a batch from as many pending refusals as fit in half the maximum value size.
// It returns nil if none is pending.
func (authorizer *Authorizer) sealBatch() (*refusalBatch, error) {
	refusals := &authorizer.refusals
	refusals.mu.Lock()
	defer refusals.mu.Unlock()
	batch := &refusalBatch{key: fmt.Sprintf(
		"%s%s.%x.%d", audit.PendingPrefix, authorizer.controller, refusals.startedAt, refusals.batchesWritten)}
	entries := append([]audit.Entry(nil), refusals.pending...)
	for audit.EstimateSize(entries) > authorizer.store.MaxValueBytes()/2 && len(entries) > 1 {
		entries = entries[:len(entries)/2] // the rest goes into later batches
	}
	batch.count = len(entries)
	if batch.count == len(refusals.pending) && refusals.omitted > 0 {
		batch.omitted = refusals.omitted
		entries = append(entries, audit.Entry{
			At: authorizer.now(), Action: audit.Missed, Controller: authorizer.controller,
			Reason: strconv.Itoa(refusals.omitted),
		})
	}
	if len(entries) == 0 {
		return nil, nil
	}
	var err error
	batch.operations, err = authorizer.sealEntries(batch.key, entries)
	return batch, err
}
