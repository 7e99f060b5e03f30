// Package dataloss tells one history of the state service from another. Each has a key
// of its own under a name that is never used twice. Whatever a controller writes
// guards that key, so what was sent to a history that is lost can never apply to the
// one that came after, though generations and stamps come again.
package dataloss

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// Keys of the state service. Versions before 0.5 neither write nor heed them.
const (
	keyPrefix         = "history/"
	incarnationPrefix = "history/id/"
	phaseKey          = "history/phase"
)

// Phase is how much of what is true a history holds.
type Phase string

// A history passes through these in order. One that began empty without anybody
// knowing better is open at first.
const (
	// PhaseProvisional: nothing tells of an earlier history, but not all who might have been
	// heard. What is not there may have been lost.
	PhaseProvisional Phase = "open"
	// PhaseRecovering: what was lost is being put together. Nothing is taken, and nothing said
	// of jobs but ends that are known.
	PhaseRecovering Phase = "rebuild"
	// PhaseRestoringResults: all that is alive is stored again; ends of jobs are still being written.
	PhaseRestoringResults Phase = "ends"
	// PhaseComplete: what is not there never was.
	PhaseComplete Phase = "whole"
)

// Incarnation is the key of a history.
type Incarnation struct {
	ID       string
	Revision uint64
	// InitialPhase is its phase at the start, which holds until another is stored.
	InitialPhase Phase
	// DataLost says that an earlier history was lost, so that machines may have tasks of
	// which nothing is stored.
	DataLost bool
	// Epoch is that of the leader that began it, by which a later history is told from
	// an earlier one that came back.
	Epoch uint64
}

type incarnationRecord struct {
	Phase    Phase  `json:"phase"`
	DataLost bool   `json:"lost,omitempty"`
	Epoch    uint64 `json:"epoch"`
}

type phaseRecord struct {
	ID    string `json:"id"`
	Phase Phase  `json:"phase"`
}

// Compare is the condition that a write belongs to this history; the zero marker has
// none.
func (i Incarnation) Compare() (wire.Compare, bool) {
	return wire.Compare{Key: incarnationPrefix + i.ID, ModRevision: i.Revision}, i.ID != ""
}

// CreateOperation is the change that begins this history.
func (i Incarnation) CreateOperation() (wire.Operation, error) {
	data, err := json.Marshal(incarnationRecord{i.InitialPhase, i.DataLost, i.Epoch})
	return wire.Operation{Put: incarnationPrefix + i.ID, Value: data}, err
}

// DeleteOperation is the change that ends this history.
func (i Incarnation) DeleteOperation() wire.Operation {
	return wire.Operation{Delete: incarnationPrefix + i.ID}
}

// PhaseOperation is the change that takes this history to a phase.
func (i Incarnation) PhaseOperation(p Phase) (wire.Operation, error) {
	data, err := json.Marshal(phaseRecord{i.ID, p})
	return wire.Operation{Put: phaseKey, Value: data}, err
}

// CompareFailed tells whether guards that did not hold say that the history is another.
func CompareFailed(failed []string) bool {
	for _, f := range failed {
		if strings.HasPrefix(f, incarnationPrefix) {
			return true
		}
	}
	return false
}

// ErrDataLossSuspected says that the state service may have lost data, so that nothing it holds,
// or does not hold, can be relied on yet.
var ErrDataLossSuspected = fmt.Errorf("history: the state service may have lost data: %w", kvstore.ErrRefused)

// IncarnationState is a history as it is stored.
type IncarnationState struct {
	Incarnation
	Phase Phase
	// Superseded are markers of earlier histories that are still there.
	Superseded []Incarnation
}

// Read reads the history from the state service; the zero view if it has none.
func Read(ctx context.Context, st *kvstore.Client) (IncarnationState, error) {
	items, _, err := st.List(ctx, keyPrefix)
	if err != nil {
		return IncarnationState{}, err
	}
	return parseState(items), nil
}

func parseState(items []wire.KeyValue) IncarnationState {
	var v IncarnationState
	var p phaseRecord
	for _, it := range items {
		if it.Key == phaseKey {
			if json.Unmarshal(it.Value, &p) != nil {
				p = phaseRecord{}
			}
			continue
		}
		id, ok := strings.CutPrefix(it.Key, incarnationPrefix)
		if !ok {
			continue
		}
		m := Incarnation{ID: id, Revision: it.ModRevision}
		var mv incarnationRecord
		if json.Unmarshal(it.Value, &mv) != nil {
			mv = incarnationRecord{Phase: PhaseRecovering, DataLost: true} // damaged: it says nothing for sure
		}
		m.InitialPhase, m.DataLost, m.Epoch = mv.Phase, mv.DataLost, mv.Epoch
		if v.ID != "" && v.Revision > m.Revision {
			v.Superseded = append(v.Superseded, m)
			continue
		}
		if v.ID != "" {
			v.Superseded = append(v.Superseded, v.Incarnation)
		}
		v.Incarnation = m
	}
	v.Phase = v.InitialPhase
	if v.ID != "" && p.ID == v.ID {
		v.Phase = p.Phase
	}
	return v
}

// Detector keeps to the present history of this node.
type Detector struct {
	store *kvstore.Client
	log   *slog.Logger

	mu          sync.Mutex
	loaded      bool      // the state service was asked at least once
	currentAsOf time.Time // what was read before is out of date
	current     IncarnationState
	items       map[string]wire.KeyValue
	suspected   bool
	suspectedID string // id of the history that is doubted
	reason      string
	onSuspect   func(why string)
	recheck     chan struct{}
}

// NewDetector makes a keeper. From its first doubt of a history on, onDoubt is called,
// once for each.
func NewDetector(st *kvstore.Client, onDoubt func(why string), log *slog.Logger) *Detector {
	k := &Detector{store: st, log: log, items: make(map[string]wire.KeyValue), onSuspect: onDoubt, recheck: make(chan struct{}, 1)}
	st.OnRollback(func(seen, got uint64) {
		// At once: the very answer may name the history that came after, which is not
		// the one in doubt.
		k.Suspect(fmt.Sprintf("generations went back from %d to %d", seen, got))
	})
	return k
}

// Run keeps to the history until ctx ends.
func (d *Detector) Run(ctx context.Context, wait time.Duration) error {
	go d.reloadOnRequest(ctx, wait)
	return d.store.WatchPrefix(ctx, kvstore.Watcher{
		Prefix: keyPrefix, PollWait: wait, BackoffBase: wait / 64, BackoffLimit: wait / 8,
		OnSnapshot: d.replaceAll,
		OnChanges: func(log []wire.Operation, _ time.Time) {
			if len(log) == 0 {
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.currentAsOf = time.Now()
			for _, c := range log {
				if c.Put != "" {
					d.items[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, ModRevision: c.ModRevision}
				} else {
					delete(d.items, c.Delete)
				}
			}
			d.reevaluate()
		},
	})
}

// reloadOnRequest reads the history anew whenever it is asked to: keys that are lost without a
// trace show in no log.
func (d *Detector) reloadOnRequest(ctx context.Context, wait time.Duration) {
	for try := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-d.recheck:
		}
		asked := time.Now()
		items, _, err := d.store.List(ctx, keyPrefix)
		if err != nil {
			kvstore.Backoff(ctx, try, wait/64, wait/8)
			try++
			d.Recheck()
			continue
		}
		try = 0
		d.replaceAll(items, asked)
	}
}

// Recheck has the history read anew: a guard on it did not hold.
func (d *Detector) Recheck() {
	select {
	case d.recheck <- struct{}{}:
	default:
	}
}

// replaceAll takes in all that is stored, as it was asked for at a time. An answer that was on
// its way while this node learned something later is out of date: it may tell of a history
// that has begun since as if it were gone.
func (d *Detector) replaceAll(items []wire.KeyValue, asked time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if asked.Before(d.currentAsOf) {
		d.Recheck()
		return
	}
	d.currentAsOf = asked
	clear(d.items)
	for _, it := range items {
		d.items[it.Key] = it
	}
	d.loaded = true
	d.reevaluate()
}

// reevaluate takes in what is stored. Run it with the lock held.
func (d *Detector) reevaluate() {
	items := make([]wire.KeyValue, 0, len(d.items))
	for _, it := range d.items {
		items = append(items, it)
	}
	v := parseState(items)
	was := d.current
	switch {
	case v.ID == "" && was.ID != "":
		d.suspectLocked("the history's key is gone") // the view stays: it is what is doubted
		return
	case v.ID != was.ID || v.Phase != was.Phase:
		d.log.Info("history", "id", v.ID, "phase", v.Phase, "was", was.ID)
	}
	d.current = v
	if was.ID != "" && v.ID != was.ID {
		d.store.StartIncarnation() // what was followed in the last one is to be read anew
	}
	switch {
	case v.ID == was.ID || v.ID == "":
	case v.Epoch < was.Epoch:
		// The state service went back behind a loss before this one.
		d.suspectLocked("an earlier history is back")
		d.suspectedID = v.ID
	case d.suspected && v.ID != d.suspectedID:
		d.suspected, d.reason = false, ""
	}
}

// Suspect notes that the present history may be lost, once.
func (d *Detector) Suspect(why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspectLocked(why)
}

func (d *Detector) suspectLocked(why string) {
	if d.suspected {
		return
	}
	d.suspected, d.suspectedID, d.reason = true, d.current.ID, why
	d.log.Warn("the state service may have lost data", "history", d.suspectedID, "why", why)
	if d.onSuspect != nil {
		go d.onSuspect(why)
	}
}

// Suspected tells whether a history is doubted, which and why.
func (d *Detector) Suspected() (id, why string, yes bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspectedID, d.reason, d.suspected
}

// Current is the history as this node knows it; the zero view if it knows of none.
func (d *Detector) Current() IncarnationState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// Fence is what a user's request is decided under: the guard that its writes carry,
// and the history's phase. old tells that whoever leads is of a version that keeps no
// history: what it stores is taken as it is.
func (d *Detector) Fence(old bool) ([]wire.Compare, Phase, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.current.Compare()
	switch {
	case d.suspected || !d.loaded:
		return nil, "", ErrDataLossSuspected
	case !ok && old:
		return nil, PhaseComplete, nil
	case !ok:
		return nil, "", ErrDataLossSuspected
	}
	return []wire.Compare{g}, d.current.Phase, nil
}

// ObservePeer takes in what a peer says of the history. A doubt of the very history that
// this node goes by is shared.
func (d *Detector) ObservePeer(peer, id, why string, doubted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.loaded:
	case id != d.current.ID:
		// One of the two is behind. The log may not tell: it begins after a generation
		// that the present history had passed before this node looked.
		d.Recheck()
	case doubted && !d.suspected:
		d.suspectLocked(peer + ": " + why)
	}
}

// IncarnationBegun says that this node began another history itself.
func (d *Detector) IncarnationBegun(m Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.ID == d.current.ID {
		return
	}
	put, err := m.CreateOperation()
	if err != nil {
		return
	}
	d.currentAsOf = time.Now()
	clear(d.items)
	d.items[put.Put] = wire.KeyValue{Key: put.Put, Value: put.Value, ModRevision: m.Revision}
	d.loaded = true
	d.reevaluate()
}

// ErrIncarnationReplaced says that the leadership's history is not the present one.
var ErrIncarnationReplaced = errors.New("history: replaced or lost")
