// Package history tells one history of the state service from another. Each has a key
// of its own under a name that is never used twice. Whatever a controller writes
// guards that key, so what was sent to a history that is lost can never apply to the
// one that came after, though generations and stamps come again.
package history

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// Keys of the state service. Versions before 0.5 neither write nor heed them.
const (
	prefix   = "history/"
	markers  = "history/id/"
	phaseKey = "history/phase"
)

// Phase is how much of what is true a history holds.
type Phase string

// A history passes through these in order. One that began empty without anybody
// knowing better is open at first.
const (
	// Open: nothing tells of an earlier history, but not all who might have been
	// heard. What is not there may have been lost.
	Open Phase = "open"
	// Rebuild: what was lost is being put together. Nothing is taken, and nothing said
	// of jobs but ends that are known.
	Rebuild Phase = "rebuild"
	// Ends: all that is alive is stored again; ends of jobs are still being written.
	Ends Phase = "ends"
	// Whole: what is not there never was.
	Whole Phase = "whole"
)

// Marker is the key of a history.
type Marker struct {
	ID    string
	Stamp uint64
	// Born is its phase at the start, which holds until another is stored.
	Born Phase
	// Lost says that an earlier history was lost, so that machines may have tasks of
	// which nothing is stored.
	Lost bool
	// Epoch is that of the leader that began it, by which a later history is told from
	// an earlier one that came back.
	Epoch uint64
}

type markerValue struct {
	Phase Phase  `json:"phase"`
	Lost  bool   `json:"lost,omitempty"`
	Epoch uint64 `json:"epoch"`
}

type phaseValue struct {
	ID    string `json:"id"`
	Phase Phase  `json:"phase"`
}

// Guard is the condition that a write belongs to this history; the zero marker has
// none.
func (m Marker) Guard() (wire.Compare, bool) {
	return wire.Compare{Key: markers + m.ID, ModRevision: m.Stamp}, m.ID != ""
}

// Put is the change that begins this history.
func (m Marker) Put() (wire.Operation, error) {
	data, err := json.Marshal(markerValue{m.Born, m.Lost, m.Epoch})
	return wire.Operation{Put: markers + m.ID, Value: data}, err
}

// Remove is the change that ends this history.
func (m Marker) Remove() wire.Operation { return wire.Operation{Delete: markers + m.ID} }

// Step is the change that takes this history to a phase.
func (m Marker) Step(p Phase) (wire.Operation, error) {
	data, err := json.Marshal(phaseValue{m.ID, p})
	return wire.Operation{Put: phaseKey, Value: data}, err
}

// Failed tells whether guards that did not hold say that the history is another.
func Failed(failed []string) bool {
	for _, f := range failed {
		if strings.HasPrefix(f, markers) {
			return true
		}
	}
	return false
}

// ErrDoubt says that the state service may have lost data, so that nothing it holds,
// or does not hold, can be relied on yet.
var ErrDoubt = fmt.Errorf("history: the state service may have lost data: %w", state.ErrRefused)

// View is a history as it is stored.
type View struct {
	Marker
	Phase Phase
	// Spare are markers of earlier histories that are still there.
	Spare []Marker
}

// Read reads the history from the state service; the zero view if it has none.
func Read(ctx context.Context, st *state.Client) (View, error) {
	items, _, err := st.List(ctx, prefix)
	if err != nil {
		return View{}, err
	}
	return parse(items), nil
}

func parse(items []wire.KeyValue) View {
	var v View
	var p phaseValue
	for _, it := range items {
		if it.Key == phaseKey {
			if json.Unmarshal(it.Value, &p) != nil {
				p = phaseValue{}
			}
			continue
		}
		id, ok := strings.CutPrefix(it.Key, markers)
		if !ok {
			continue
		}
		m := Marker{ID: id, Stamp: it.ModRevision}
		var mv markerValue
		if json.Unmarshal(it.Value, &mv) != nil {
			mv = markerValue{Phase: Rebuild, Lost: true} // damaged: it says nothing for sure
		}
		m.Born, m.Lost, m.Epoch = mv.Phase, mv.Lost, mv.Epoch
		if v.ID != "" && v.Stamp > m.Stamp {
			v.Spare = append(v.Spare, m)
			continue
		}
		if v.ID != "" {
			v.Spare = append(v.Spare, v.Marker)
		}
		v.Marker = m
	}
	v.Phase = v.Born
	if v.ID != "" && p.ID == v.ID {
		v.Phase = p.Phase
	}
	return v
}

// Keeper keeps to the present history of this node.
type Keeper struct {
	st  *state.Client
	log *slog.Logger

	mu      sync.Mutex
	read    bool      // the state service was asked at least once
	latest  time.Time // what was read before is out of date
	view    View
	items   map[string]wire.KeyValue
	doubted bool
	about   string // id of the history that is doubted
	why     string
	onDoubt func(why string)
	kick    chan struct{}
}

// NewKeeper makes a keeper. From its first doubt of a history on, onDoubt is called,
// once for each.
func NewKeeper(st *state.Client, onDoubt func(why string), log *slog.Logger) *Keeper {
	k := &Keeper{st: st, log: log, items: make(map[string]wire.KeyValue), onDoubt: onDoubt, kick: make(chan struct{}, 1)}
	st.OnRollback(func(seen, got uint64) {
		// At once: the very answer may name the history that came after, which is not
		// the one in doubt.
		k.Doubt(fmt.Sprintf("generations went back from %d to %d", seen, got))
	})
	return k
}

// Run keeps to the history until ctx ends.
func (k *Keeper) Run(ctx context.Context, wait time.Duration) error {
	go k.refresh(ctx, wait)
	return k.st.WatchPrefix(ctx, state.Watcher{
		Prefix: prefix, PollWait: wait, BackoffBase: wait / 64, BackoffLimit: wait / 8,
		OnSnapshot: k.whole,
		OnChanges: func(log []wire.Operation, _ time.Time) {
			if len(log) == 0 {
				return
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			k.latest = time.Now()
			for _, c := range log {
				if c.Put != "" {
					k.items[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, ModRevision: c.ModRevision}
				} else {
					delete(k.items, c.Delete)
				}
			}
			k.settle()
		},
	})
}

// refresh reads the history anew whenever it is asked to: keys that are lost without a
// trace show in no log.
func (k *Keeper) refresh(ctx context.Context, wait time.Duration) {
	for try := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-k.kick:
		}
		asked := time.Now()
		items, _, err := k.st.List(ctx, prefix)
		if err != nil {
			state.Backoff(ctx, try, wait/64, wait/8)
			try++
			k.Check()
			continue
		}
		try = 0
		k.whole(items, asked)
	}
}

// Check has the history read anew: a guard on it did not hold.
func (k *Keeper) Check() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// whole takes in all that is stored, as it was asked for at a time. An answer that was on
// its way while this node learned something later is out of date: it may tell of a history
// that has begun since as if it were gone.
func (k *Keeper) whole(items []wire.KeyValue, asked time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if asked.Before(k.latest) {
		k.Check()
		return
	}
	k.latest = asked
	clear(k.items)
	for _, it := range items {
		k.items[it.Key] = it
	}
	k.read = true
	k.settle()
}

// settle takes in what is stored. Run it with the lock held.
func (k *Keeper) settle() {
	items := make([]wire.KeyValue, 0, len(k.items))
	for _, it := range k.items {
		items = append(items, it)
	}
	v := parse(items)
	was := k.view
	switch {
	case v.ID == "" && was.ID != "":
		k.doubt("the history's key is gone") // the view stays: it is what is doubted
		return
	case v.ID != was.ID || v.Phase != was.Phase:
		k.log.Info("history", "id", v.ID, "phase", v.Phase, "was", was.ID)
	}
	k.view = v
	if was.ID != "" && v.ID != was.ID {
		k.st.StartIncarnation() // what was followed in the last one is to be read anew
	}
	switch {
	case v.ID == was.ID || v.ID == "":
	case v.Epoch < was.Epoch:
		// The state service went back behind a loss before this one.
		k.doubt("an earlier history is back")
		k.about = v.ID
	case k.doubted && v.ID != k.about:
		k.doubted, k.why = false, ""
	}
}

// Doubt notes that the present history may be lost, once.
func (k *Keeper) Doubt(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.doubt(why)
}

func (k *Keeper) doubt(why string) {
	if k.doubted {
		return
	}
	k.doubted, k.about, k.why = true, k.view.ID, why
	k.log.Warn("the state service may have lost data", "history", k.about, "why", why)
	if k.onDoubt != nil {
		go k.onDoubt(why)
	}
}

// Doubted tells whether a history is doubted, which and why.
func (k *Keeper) Doubted() (id, why string, yes bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.about, k.why, k.doubted
}

// Current is the history as this node knows it; the zero view if it knows of none.
func (k *Keeper) Current() View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view
}

// Fence is what a user's request is decided under: the guard that its writes carry,
// and the history's phase. old tells that whoever leads is of a version that keeps no
// history: what it stores is taken as it is.
func (k *Keeper) Fence(old bool) ([]wire.Compare, Phase, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	g, ok := k.view.Guard()
	switch {
	case k.doubted || !k.read:
		return nil, "", ErrDoubt
	case !ok && old:
		return nil, Whole, nil
	case !ok:
		return nil, "", ErrDoubt
	}
	return []wire.Compare{g}, k.view.Phase, nil
}

// Heard takes in what a peer says of the history. A doubt of the very history that
// this node goes by is shared.
func (k *Keeper) Heard(peer, id, why string, doubted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case !k.read:
	case id != k.view.ID:
		// One of the two is behind. The log may not tell: it begins after a generation
		// that the present history had passed before this node looked.
		k.Check()
	case doubted && !k.doubted:
		k.doubt(peer + ": " + why)
	}
}

// Replaced says that this node began another history itself.
func (k *Keeper) Replaced(m Marker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.ID == k.view.ID {
		return
	}
	put, err := m.Put()
	if err != nil {
		return
	}
	k.latest = time.Now()
	clear(k.items)
	k.items[put.Put] = wire.KeyValue{Key: put.Put, Value: put.Value, ModRevision: m.Stamp}
	k.read = true
	k.settle()
}

// ErrGone says that the leadership's history is not the present one.
var ErrGone = errors.New("history: replaced or lost")
