// Package dataloss tells which incarnation of its data the key-value store holds, and
// whether data may have been lost. Each incarnation has a key of its own under a name that
// is never used twice. Whatever a controller writes compares that key, so what was sent to
// an incarnation that is lost can never apply to the one that came after, though revisions
// and mod revisions come again.
//
// The package owns the keys of incarnations and their recovery phase, and this controller's
// suspicion. Package serve runs a Detector and passes it what peers and workers tell;
// package election begins incarnations and moves them from phase to phase; package intake
// decides users' requests under its fence. The package must not recover anything itself:
// that is the leader's work.
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

// Parts of the poll wait that are waited between requests that failed.
const (
	backoffBaseDivisor  = 64
	backoffLimitDivisor = 8
)

// Detector keeps to the present incarnation and suspects data loss. One mutex guards what it
// knows; it is held for no request to the store.
type Detector struct {
	store     *kvstore.Client
	log       *slog.Logger
	onSuspect func(reason string)
	recheck   chan struct{} // holds an element while a reload is asked for

	mu          sync.Mutex // guards what follows
	loaded      bool       // the store was asked at least once
	currentAsOf time.Time  // responses to what was asked before are out of date
	current     IncarnationState
	items       map[string]wire.KeyValue // the stored keys
	suspicion   Suspicion
}

// NewDetector returns a Detector that suspects data loss once the store's revisions go back.
// It calls onSuspect, unless nil, in a goroutine of its own, once for each incarnation whose
// loss it suspects.
func NewDetector(store *kvstore.Client, onSuspect func(reason string), log *slog.Logger) *Detector {
	d := &Detector{
		store:     store,
		log:       log,
		onSuspect: onSuspect,
		recheck:   make(chan struct{}, 1),
		items:     make(map[string]wire.KeyValue),
	}
	store.OnRollback(func(known, received uint64) {
		// At once: the very response may name the incarnation that came after, which is
		// not the one that is suspected.
		d.Suspect(fmt.Sprintf(reasonRevisionsWentBack, known, received))
	})
	return d
}

// Run keeps to the present incarnation until ctx ends.
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

// reloadOnRequest reads the incarnation anew whenever Recheck asks for it: keys that are
// lost without a trace show in no watch.
func (d *Detector) reloadOnRequest(ctx context.Context, pollWait time.Duration) {
	for attempt := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-d.recheck:
		}
		askedAt := time.Now()
		items, _, err := d.store.List(ctx, keyPrefix)
		if err != nil {
			retry.Backoff(ctx, attempt, pollWait/backoffBaseDivisor, pollWait/backoffLimitDivisor)
			attempt++
			d.Recheck()
			continue
		}
		attempt = 0
		d.replaceAll(items, askedAt)
	}
}

// Recheck has the incarnation read anew: a compare of its key failed.
func (d *Detector) Recheck() {
	select {
	case d.recheck <- struct{}{}:
	default:
	}
}

// replaceAll takes in all that is stored, as it was asked for at a time. A response that was
// on its way while this controller learned something later is out of date: it may tell of an
// incarnation that has begun since as if it were gone.
func (d *Detector) replaceAll(items []wire.KeyValue, askedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if askedAt.Before(d.currentAsOf) {
		d.Recheck()
		return
	}
	d.currentAsOf = askedAt
	clear(d.items)
	for _, item := range items {
		d.items[item.Key] = item
	}
	d.loaded = true
	d.reevaluateLocked()
}

// apply takes in changes of the stored keys.
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

// IncarnationBegun notes an incarnation that this controller began itself, ahead of the
// watch that will tell of it.
func (d *Detector) IncarnationBegun(incarnation Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if incarnation.ID == d.current.ID {
		return
	}
	create, err := incarnation.CreateOperation()
	if err != nil {
		return // what could not be encoded was not stored either
	}
	d.currentAsOf = time.Now()
	clear(d.items)
	d.items[create.Put] = wire.KeyValue{Key: create.Put, Value: create.Value, ModRevision: incarnation.Revision}
	d.loaded = true
	d.reevaluateLocked()
}

// Current returns the incarnation as this controller knows it; the zero value if it knows of
// none.
func (d *Detector) Current() IncarnationState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// reevaluateLocked tells from the stored keys which incarnation is the present one, and
// whether data loss is to be suspected, or no longer. The mutex must be held.
func (d *Detector) reevaluateLocked() {
	items := make([]wire.KeyValue, 0, len(d.items))
	for _, item := range d.items {
		items = append(items, item)
	}
	previous, state := d.current, parseState(items)
	if state.ID == "" && previous.ID != "" {
		d.suspectLocked(reasonKeyGone) // d.current stays: it is what is suspected
		return
	}
	if state.ID != previous.ID || state.Phase != previous.Phase {
		d.log.Info("store incarnation changed",
			"incarnation", state.ID, "phase", state.Phase, "previous", previous.ID)
	}
	d.current = state
	if previous.ID != "" && state.ID != previous.ID {
		d.store.StartIncarnation() // what was watched in the last one is to be read anew
	}
	switch {
	case state.ID == previous.ID || state.ID == "":
	case state.Epoch < previous.Epoch:
		// The store went back behind a loss before this one.
		d.suspectLocked(reasonEarlierIncarnation)
		d.suspicion.IncarnationID = state.ID
	case d.suspicion.Active && state.ID != d.suspicion.IncarnationID:
		d.suspicion.Active, d.suspicion.Reason = false, ""
	}
}
