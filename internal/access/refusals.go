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

// maxPendingRefusals bounds the refusals that wait to be written; the rest are counted.
const maxPendingRefusals = 64

// refusals wait to be written to the audit log. Nothing else is committed for a refusal,
// so they are written a little later, and only so many at a time: nobody can fill the
// log, or use up the store, by being refused.
type refusals struct {
	interval  time.Duration // between two writes
	startedAt int64         // of the process, for keys that no other process uses

	mu      sync.Mutex // guards the rest but inFlight
	pending []audit.Entry
	omitted int    // refused while maxPendingRefusals were pending
	written uint64 // batches

	inFlight *refusalBatch // used by writeRefusals alone
}

// refusalBatch is a batch of refusals that is being written.
type refusalBatch struct {
	key        string
	operations []wire.Operation
	count      int // refusals in it
	omitted    int // counted in it
}

// noteRefusal logs that something was not allowed, and has it audited.
func (authorizer *Authorizer) noteRefusal(caller identity.Caller, request rights.Request, job, reason string) {
	authorizer.log.Info("request refused", "caller", caller.Name, "action", request.Action, "job", job,
		"team", request.Team, "priority", request.Priority, "reason", reason)
	if !authorizer.auditing {
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

// writeBatch writes one batch of the pending refusals. One whose fate is unknown is
// written again just as it was, under the same key: it is written when that is taken.
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
		refusals.inFlight = nil // made again, for the limits in force
	}
	if err != nil {
		return err
	}
	refusals.mu.Lock()
	defer refusals.mu.Unlock()
	refusals.pending = append(refusals.pending[:0], refusals.pending[batch.count:]...)
	refusals.omitted -= batch.omitted
	refusals.written++
	refusals.inFlight = nil
	return nil
}

// sealBatch makes a batch of as many pending refusals as a value holds with room to spare;
// nil where none is pending.
func (authorizer *Authorizer) sealBatch() (*refusalBatch, error) {
	refusals := &authorizer.refusals
	refusals.mu.Lock()
	defer refusals.mu.Unlock()
	batch := &refusalBatch{key: fmt.Sprintf(
		"%s%s.%x.%d", audit.PendingPrefix, authorizer.controller, refusals.startedAt, refusals.written)}
	entries := append([]audit.Entry(nil), refusals.pending...)
	for audit.Size(entries) > authorizer.store.MaxValueBytes()/2 && len(entries) > 1 {
		entries = entries[:len(entries)/2] // the rest takes its turn
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
