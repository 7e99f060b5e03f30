// Package dataloss tracks which incarnation of its data the key-value store holds and
// detects possible data loss. Each incarnation has a key of its own, whose name is never
// reused. Every transaction of a controller compares that key, so that a request sent to a
// lost incarnation can never apply to its successor, although the successor assigns the
// same revisions and mod revisions again.
//
// The package owns the keys of the incarnations and of their recovery phase, and this
// controller's suspicion of data loss. Package serve runs a Detector and passes it the
// reports of peers and workers; package election creates incarnations and advances their
// phase; package intake fences users' requests with it. The package must not recover any
// data: the leader does.
package dataloss

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// Divisors of the poll wait that give the first and the longest delay between failed
// requests.
const (
	backoffBaseDivisor  = 64
	backoffLimitDivisor = 8
)

// Detector follows the current incarnation and suspects data loss. One mutex guards its
// state; it is never held during a request to the store.
type Detector struct {
	store     *kvstore.Client
	log       *slog.Logger
	onSuspect func(reason string)
	recheck   chan struct{} // holds an element while a reload is requested

	mu          sync.Mutex // guards all below
	loaded      bool       // the keys have been read at least once
	currentAsOf time.Time  // responses to earlier requests are out of date
	current     IncarnationState
	items       map[string]wire.KeyValue // the stored keys
	suspicion   Suspicion
}

// NewDetector returns a Detector that, among other signs, suspects data loss when the store's
// revisions go back. It calls onSuspect, unless nil, in a goroutine of its own, once for
// each incarnation whose loss it suspects.
func NewDetector(store *kvstore.Client, onSuspect func(reason string), log *slog.Logger) *Detector {
	d := &Detector{
		store:     store,
		log:       log,
		onSuspect: onSuspect,
		recheck:   make(chan struct{}, 1),
		items:     make(map[string]wire.KeyValue),
	}
	store.OnRollback(func(known, received uint64) {
		// Suspect the current incarnation before the response is processed: it may already
		// contain the next incarnation, which is not the suspected one.
		d.Suspect(fmt.Sprintf(reasonRevisionsWentBack, known, received))
	})
	return d
}

// Run follows the current incarnation until ctx ends.
func (d *Detector) Run(ctx context.Context, pollWait time.Duration) error {
	go d.reloadOnRequest(ctx, pollWait)
	return d.store.WatchPrefix(ctx, kvstore.Watcher{
		Prefix:       keyPrefix,
		PollWait:     pollWait,
		BackoffBase:  pollWait / backoffBaseDivisor,
		BackoffLimit: pollWait / backoffLimitDivisor,
		OnSnapshot:   d.replaceAll,
		OnChanges:    func(events []wire.Operation, _ time.Time) { d.apply(events) },
	})
}

// reloadOnRequest reads the incarnation's keys again whenever Recheck requests it: a key
// that was lost together with the store's change log causes no watch event.
func (d *Detector) reloadOnRequest(ctx context.Context, pollWait time.Duration) {
	for attempt := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-d.recheck:
		}
		requestedAt := time.Now()
		items, _, err := d.store.List(ctx, keyPrefix)
		if err != nil {
			retry.Backoff(ctx, attempt, pollWait/backoffBaseDivisor, pollWait/backoffLimitDivisor)
			attempt++
			d.Recheck()
			continue
		}
		attempt = 0
		d.replaceAll(items, requestedAt)
	}
}

// Recheck requests that the incarnation's keys be read again, for example because a compare
// of its key failed.
func (d *Detector) Recheck() {
	select {
	case d.recheck <- struct{}{}:
	default:
	}
}

// replaceAll replaces the keys by the result of a list requested at requestedAt. If the
// current state is newer than the request, the result is dropped and the keys are read
// again: it may lack the key of an incarnation that has begun since.
func (d *Detector) replaceAll(items []wire.KeyValue, requestedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if requestedAt.Before(d.currentAsOf) {
		d.Recheck()
		return
	}
	d.currentAsOf = requestedAt
	clear(d.items)
	for _, item := range items {
		d.items[item.Key] = item
	}
	d.loaded = true
	d.reevaluateLocked()
}

// apply applies watch events to the keys.
func (d *Detector) apply(events []wire.Operation) {
	if len(events) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currentAsOf = time.Now()
	for _, event := range events {
		if event.Put != "" {
			d.items[event.Put] = wire.KeyValue{Key: event.Put, Value: event.Value, ModRevision: event.ModRevision}
		} else {
			delete(d.items, event.Delete)
		}
	}
	d.reevaluateLocked()
}

// IncarnationBegun records an incarnation that this controller created itself, before the
// watch reports it.
func (d *Detector) IncarnationBegun(incarnation Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if incarnation.ID == d.current.ID {
		return
	}
	create, err := incarnation.CreateOperation()
	if err != nil {
		return // an incarnation that cannot be encoded has not been stored either
	}
	d.currentAsOf = time.Now()
	clear(d.items)
	d.items[create.Put] = wire.KeyValue{Key: create.Put, Value: create.Value, ModRevision: incarnation.Revision}
	d.loaded = true
	d.reevaluateLocked()
}

// Current returns the current incarnation as last seen by this controller, or the zero value
// if it has seen none.
func (d *Detector) Current() IncarnationState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// reevaluateLocked determines the current incarnation from the stored keys, and raises or
// clears the suspicion of data loss accordingly. The caller holds d.mu.
func (d *Detector) reevaluateLocked() {
	items := make([]wire.KeyValue, 0, len(d.items))
	for _, item := range d.items {
		items = append(items, item)
	}
	previous, state := d.current, parseState(items)
	if state.ID == "" && previous.ID != "" {
		d.suspectLocked(reasonKeyMissing) // d.current stays: it is the suspected incarnation
		return
	}
	if state.ID != previous.ID || state.Phase != previous.Phase {
		d.log.Info("store incarnation changed",
			"incarnation", state.ID, "phase", state.Phase, "previous", previous.ID)
	}
	d.current = state
	if previous.ID != "" && state.ID != previous.ID {
		d.store.StartIncarnation() // watches must read the new incarnation from the beginning
	}
	switch {
	case state.ID == previous.ID || state.ID == "":
	case state.Epoch < previous.Epoch:
		// The store has gone back to the state before an earlier data loss.
		d.suspectLocked(reasonEarlierIncarnation)
		d.suspicion.IncarnationID = state.ID
	case d.suspicion.Active && state.ID != d.suspicion.IncarnationID:
		d.suspicion.Active, d.suspicion.Reason = false, ""
	}
}
