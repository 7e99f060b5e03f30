// Package lead elects the leader. The leader holds a key on a grant of the
// state service; each leadership has an epoch above all earlier ones, which
// fences the commands of those before it, and every write of a leader guards
// its key.
package lead

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	"rillflow/internal/history"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// Keys of the state service.
const (
	leaderKey = "lead"
	epochKey  = "epoch"
)

type leaderValue struct {
	Node  string `json:"node"`
	Epoch uint64 `json:"epoch"`
}

// Map says who acts under an epoch: who leads, and among whom the hosts are
// parted.
type Map struct {
	Epoch  uint64   `json:"n"`
	Leader string   `json:"leader"`
	Parts  []string `json:"parts"`
	// Near says that whoever wrote the map reckons with any node in Parts
	// answering the hosts of its own zone, whoever owns them. Versions before
	// 0.3 neither write nor heed it; nor does a ping carry it.
	Near bool `json:"near,omitempty"`
	// History is the id of the history that the map was written in. Versions before
	// 0.5 neither write nor heed it; nor does a ping carry it.
	History string `json:"history,omitempty"`
}

// Owner is the node that answers a host's reports, by rendezvous hashing: when
// a node comes or goes, only the hosts that it gains or loses move.
func (m Map) Owner(host string) string {
	best, top := "", uint64(0)
	for _, n := range m.Parts {
		h := fnv.New64a()
		h.Write([]byte(n))
		h.Write([]byte{0})
		h.Write([]byte(host))
		// FNV alone leaves like names alike in the high bits: mix them.
		v := h.Sum64()
		v ^= v >> 33
		v *= 0xff51afd7ed558ccd
		v ^= v >> 33
		if best == "" || v > top || v == top && n < best {
			best, top = n, v
		}
	}
	return best
}

// ErrDeposed says that the leadership is over.
var ErrDeposed = errors.New("lead: deposed")

// Term is one leadership.
type Term struct {
	First uint64 // the epoch it began with

	hist   history.View // that it belongs to, as it was at the start
	before Map          // the latest map known when it began
	st     *state.Client
	stamp  uint64 // of the leader key
	ticket uint64

	el         *Elector
	mu         sync.Mutex
	now        Map
	epochStamp uint64
	until      time.Time // the grant lasts until then at least
	resigned   time.Time // the grant is kept no more since then; zero: it is
}

// SteppedDown is since when the term only waits for the next one, if it does.
func (t *Term) SteppedDown() (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resigned, !t.resigned.IsZero()
}

// give notes that the grant is kept no more. Nothing is sure from then on.
func (t *Term) give() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resigned, t.until = time.Now(), time.Time{}
}

// LeaseHeld tells whether nobody else can lead at present. What the state service
// cannot fence, above all returning machines, is done only while it holds: a
// leader cut off from the state service would otherwise return machines that
// work for the next one.
func (t *Term) LeaseHeld(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.until)
}

// lasts notes that the grant was given or extended by a request sent at a time.
// A clock may run fast by one part in 2,000; a grant never ends early.
func (t *Term) lasts(sent time.Time, life time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.resigned.IsZero() {
		return
	}
	t.until = sent.Add(life - life/500)
}

// Epoch is the term's present epoch.
func (t *Term) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now.Epoch
}

// ShardMap is the term's present part map.
func (t *Term) ShardMap() Map {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now
}

// Compares are the conditions that every write of the leader carries: that it leads, and
// that the history is the one that it leads in. The second is needed where data was
// lost, since a stamp of the leader's key may come again.
func (t *Term) Compares() []wire.Compare {
	gs := []wire.Compare{{Key: leaderKey, ModRevision: t.stamp}}
	if g, ok := t.hist.Guard(); ok {
		gs = append(gs, g)
	}
	return gs
}

// Deposed tells whether failed guards say that the leadership is over.
func Deposed(failed []string) bool {
	for _, f := range failed {
		if f == leaderKey {
			return true
		}
	}
	return false
}

// Incarnation is the history that the term belongs to, as it was when the term began.
func (t *Term) Incarnation() history.View { return t.hist }

// PreviousMap is the latest map that this node knew before the term.
func (t *Term) PreviousMap() Map { return t.before }

// AdvancePhase takes the term's history to a phase.
func (t *Term) AdvancePhase(ctx context.Context, p history.Phase) error {
	c, err := t.hist.Step(p)
	if err != nil {
		return err
	}
	_, failed, err := t.st.Commit(ctx, wire.Txn{Compares: t.Compares(), Operations: []wire.Operation{c}})
	if err != nil {
		return err
	}
	return t.CheckCompares(failed)
}

// CheckCompares tells whether failed guards say that the leadership is over: another leads, or
// the history is another.
func (t *Term) CheckCompares(failed []string) error {
	gone := history.Failed(failed)
	if gone {
		t.el.hist.Check()
	}
	switch {
	case Deposed(failed):
		return ErrDeposed
	case gone:
		return history.ErrGone
	}
	return nil
}

// RaiseEpoch moves the term to the next epoch, with the hosts parted among the nodes
// given, so that workers that see it refuse whatever was sent before.
func (t *Term) RaiseEpoch(ctx context.Context, parts []string) error {
	t.mu.Lock()
	next, stamp := Map{Epoch: t.now.Epoch + 1, Leader: t.now.Leader, Parts: parts, Near: true, History: t.hist.ID}, t.epochStamp
	t.mu.Unlock()
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	gen, failed, err := t.st.Commit(ctx, wire.Txn{
		Compares:   append(t.Compares(), wire.Compare{Key: epochKey, ModRevision: stamp}),
		Operations: []wire.Operation{{Put: epochKey, Value: data}},
	})
	if err != nil {
		return err
	}
	if err := t.CheckCompares(failed); err != nil {
		return err
	}
	if len(failed) > 0 {
		// An earlier raise whose answer was lost did go through.
		it, err := t.st.Get(ctx, epochKey)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(it.Value, &next); err != nil {
			return err
		}
		gen = it.ModRevision
	}
	t.mu.Lock()
	t.now, t.epochStamp = next, gen
	t.mu.Unlock()
	t.el.Learn(next)
	return nil
}

// Elector runs for leader and follows who leads.
type Elector struct {
	st    *state.Client
	node  string
	life  time.Duration
	parts func() []string // whom to part the hosts among
	hist  *history.Keeper
	knows func() bool // whether this node remembers an earlier history
	log   *slog.Logger

	mu     sync.Mutex
	leader string
	known  Map
	stored bool      // known was read from the state service
	shown  uint64    // the highest epoch that a worker has shown
	rest   time.Time // not a candidate before this
	resign context.CancelCauseFunc
	yield  context.CancelFunc
	// What the leader key says, whether the history is doubted, and since when both
	// are as they are.
	stale   leaderValue
	doubted bool
	since   time.Time
}

// Deps are what an Elector works with.
type Deps struct {
	State   *state.Client
	Node    string
	Life    time.Duration   // of a grant
	Parts   func() []string // whom a new leader parts the hosts among
	History *history.Keeper
	Knows   func() bool // whether this node remembers an earlier history
	Log     *slog.Logger
}

// New makes an elector.
func New(d Deps) *Elector {
	return &Elector{st: d.State, node: d.Node, life: d.Life, parts: d.Parts, hist: d.History, knows: d.Knows, log: d.Log}
}

// Old tells whether whoever leads is of a version that keeps no history.
func (e *Elector) Old() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stored && e.known.Epoch > 0 && e.known.History == ""
}

// Shown notes an epoch that a worker has seen. A leader's is to be above it.
func (e *Elector) Shown(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch < maxEpoch {
		e.shown = max(e.shown, epoch)
	}
}

// maxEpoch bounds what is believed of an epoch that somebody shows: above it, none could
// be given out that rises for long.
const maxEpoch = 1 << 62

// floor is the highest epoch that is known to have been given out.
func (e *Elector) floor() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.known.Epoch, e.shown)
}

// Known is the latest map that this node knows of.
func (e *Elector) Known() Map {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// Learn takes in a map, from the state service or a peer; an older one than is
// known changes nothing.
func (e *Elector) Learn(m Map) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Epoch == e.known.Epoch && m.Near {
		e.known.Near, e.known.History = true, m.History // a ping brought the rest first
	}
	if m.Epoch > e.known.Epoch {
		e.known, e.stored = m, false
		e.log.Info("part map", "epoch", m.Epoch, "leader", m.Leader, "parts", m.Parts)
	}
}

// Follow keeps to the latest map in the state service until ctx ends.
func (e *Elector) Follow(ctx context.Context) error {
	var after uint64
	for try := 0; ctx.Err() == nil; {
		var err error
		if after == 0 {
			var it wire.KeyValue
			if it, err = e.st.Get(ctx, epochKey); err == nil {
				_, err = e.learn(it.Value)
				after = it.ModRevision
			}
		} else {
			var log wire.WatchResponse
			if log, err = e.st.Watch(ctx, epochKey, after, 4*e.life); err == nil {
				after = max(after, log.Revision)
				for _, c := range log.Events {
					if c.Put == epochKey {
						_, bad := e.learn(c.Value)
						err = errors.Join(err, bad)
					}
				}
			} else if errors.Is(err, state.ErrCompacted) {
				after = 0
			}
		}
		if err != nil {
			state.Backoff(ctx, try, e.life/16, e.life/2)
			try++
			continue
		}
		try = 0
	}
	return ctx.Err()
}

// learn takes in a map as it is stored.
func (e *Elector) learn(data []byte) (m Map, err error) {
	if err := json.Unmarshal(data, &m); err != nil {
		return Map{}, err
	}
	e.Learn(m)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stored = e.stored || m.Epoch == e.known.Epoch
	return m, nil
}

// Stored is the map that the state service holds; of epoch 0 if none.
func (e *Elector) Stored(ctx context.Context) (Map, error) {
	it, err := e.st.Get(ctx, epochKey)
	switch {
	case errors.Is(err, state.ErrNotFound):
		return Map{}, nil
	case err != nil:
		return Map{}, err
	}
	return e.learn(it.Value)
}

// Leader is the node that leads, as far as this one knows, or "".
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

func (e *Elector) setLeader(node string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != node {
		e.leader = node
		e.log.Info("leader", "node", node)
	}
}

// Resign gives the leadership up to whoever is next, and does not seek it again for a
// while: its grant is kept no more. The term goes on until there is a next, which cannot
// be while the state service answers nobody: somebody has to answer the workers meanwhile
// and to see that what users withdrew is gone.
func (e *Elector) Resign(rest time.Duration, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rest = time.Now().Add(rest)
	if e.yield != nil {
		e.log.Info("resigned", "why", why)
		e.yield()
		e.yield = nil
	}
}

// Distrust ends the leadership, if this node has it: the state service may have lost
// data. It may be sought again at once.
func (e *Elector) Distrust(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resign != nil {
		e.resign(fmt.Errorf("%w: %s", history.ErrGone, why))
	}
}

// Run follows the leader key and runs for leader whenever there is none. serve
// is called for each term and must return soon after its context ends.
func (e *Elector) Run(ctx context.Context, serve func(context.Context, *Term) error) error {
	for try := 0; ctx.Err() == nil; {
		term, after, err := e.look(ctx)
		switch {
		case err != nil:
			e.log.Debug("election", "err", err)
			state.Backoff(ctx, try, e.life/16, e.life/2)
			try++
		case term != nil:
			try = 0
			e.term(ctx, term, serve)
		default:
			try = 0
			// The key goes when its grant ends: watch for that.
			if _, err := e.st.Watch(ctx, leaderKey, after, e.life); err != nil {
				state.Backoff(ctx, 0, e.life/16, e.life/2)
			}
		}
	}
	return ctx.Err()
}

// look reads who leads, and takes the lead if nobody does.
func (e *Elector) look(ctx context.Context) (*Term, uint64, error) {
	it, err := e.st.Get(ctx, leaderKey)
	if err == nil {
		var v leaderValue
		if err := json.Unmarshal(it.Value, &v); err != nil {
			e.log.Error("the leader's key cannot be read", "err", err)
			e.hist.Doubt("the leader's key cannot be read")
		}
		if e.leftover(v) {
			return nil, 0, e.oust(ctx, it)
		}
		if v.Node == e.node {
			// Left by this node's last run: let it end by itself.
			e.setLeader("")
		} else {
			e.setLeader(v.Node)
		}
		return nil, it.ModRevision, nil
	}
	if !errors.Is(err, state.ErrNotFound) {
		return nil, 0, err
	}
	e.setLeader("")
	e.mu.Lock()
	rest := time.Until(e.rest)
	e.mu.Unlock()
	if rest > 0 {
		state.Backoff(ctx, 0, min(rest, e.life/4), e.life)
		return nil, 0, errors.New("resting")
	}
	return e.take(ctx)
}

// leftover tells whether the leader key is of a history that was lost, so that nobody
// leads by it: it came back with what was restored, and its grant may never end. Either
// its epoch lies below one that is known, or the history is doubted and for several
// grants' time it has said the same of a node that does not lead.
func (e *Elector) leftover(v leaderValue) bool {
	_, _, doubted := e.hist.Doubted()
	e.mu.Lock()
	defer e.mu.Unlock()
	if v != e.stale || doubted != e.doubted || e.since.IsZero() {
		e.stale, e.doubted, e.since = v, doubted, time.Now()
	}
	same := time.Since(e.since)
	switch {
	case v.Epoch < max(e.known.Epoch, e.shown):
		// Between an old leader's end and the next one's start nothing is wrong.
		return same > e.life && (doubted || e.known.Leader != v.Node)
	case doubted || v.Node == e.node:
		return same > 2*e.life
	}
	return false
}

// oust removes a leader key that nobody leads by.
func (e *Elector) oust(ctx context.Context, it wire.KeyValue) error {
	e.log.Warn("removing a leader key that nobody leads by", "value", string(it.Value))
	_, _, err := e.st.Commit(ctx, wire.Txn{
		Compares:   []wire.Compare{{Key: leaderKey, ModRevision: it.ModRevision}},
		Operations: []wire.Operation{{Delete: leaderKey}},
	})
	return errors.Join(err, errors.New("lead: the key of an earlier leader"))
}

// chronicle reads the history and tells what a new leader makes of it: the one it is to
// lead in, and the changes that begin it where it is another.
func (e *Elector) chronicle(ctx context.Context, stored Map, epoch uint64) (history.View, []wire.Compare, []wire.Operation, error) {
	v, err := history.Read(ctx, e.st)
	if err != nil {
		return v, nil, nil, err
	}
	id, _, doubted := e.hist.Doubted()
	doubted = doubted && (v.ID == "" || id == v.ID)
	if known := e.hist.Current(); v.ID == "" && known.ID != "" || v.ID != known.ID && v.Epoch < known.Epoch {
		doubted = true
	}
	g, has := v.Guard()
	if has && !doubted && stored.Epoch >= e.floor() {
		return v, []wire.Compare{g}, nil, nil
	}
	next := history.View{Marker: history.Marker{ID: rand.Text(), Born: history.Rebuild, Lost: true, Epoch: epoch}}
	switch {
	case has || doubted || stored.History != "" || e.floor() > stored.Epoch:
	case stored.Epoch > 0:
		// All was written by versions that keep no history.
		next.Born, next.Lost = history.Whole, false
	case e.knows():
	default:
		next.Born, next.Lost = history.Open, false
	}
	next.Phase = next.Born
	put, err := next.Put()
	changes := []wire.Operation{put}
	var guards []wire.Compare
	if has {
		guards, changes = append(guards, g), append(changes, v.Remove())
	}
	return next, guards, changes, err
}

func (e *Elector) take(ctx context.Context) (*Term, uint64, error) {
	var ev Map
	var stamp uint64
	it, err := e.st.Get(ctx, epochKey)
	if err == nil {
		stamp = it.ModRevision
		if err := json.Unmarshal(it.Value, &ev); err != nil {
			e.log.Error("the epoch's key cannot be read", "err", err)
			e.hist.Doubt("the epoch's key cannot be read")
		}
	}
	if err != nil && !errors.Is(err, state.ErrNotFound) {
		return nil, 0, err
	}
	epoch := max(ev.Epoch, e.floor()) + 1
	if it.ModRevision == 0 {
		// Nothing is stored: all may have been lost, and what workers have seen is yet
		// to be heard. Epochs never rise by one a second for long, so the time of day
		// lies above any that was given out.
		epoch = max(epoch, uint64(time.Now().Unix()))
	}
	hist, guards, changes, err := e.chronicle(ctx, ev, epoch)
	if err != nil {
		return nil, 0, err
	}
	sent := time.Now()
	ticket, err := e.st.GrantLease(ctx, e.life)
	if err != nil {
		return nil, 0, err
	}
	next := Map{Epoch: epoch, Leader: e.node, Parts: e.parts(), Near: true, History: hist.ID}
	lv, err1 := json.Marshal(leaderValue{e.node, next.Epoch})
	nv, err2 := json.Marshal(next)
	if err := errors.Join(err1, err2); err != nil {
		return nil, 0, err
	}
	gen, failed, err := e.st.Commit(ctx, wire.Txn{
		Compares:   append(guards, wire.Compare{Key: leaderKey}, wire.Compare{Key: epochKey, ModRevision: stamp}),
		Operations: append(changes, wire.Operation{Put: leaderKey, Value: lv, LeaseID: ticket}, wire.Operation{Put: epochKey, Value: nv}),
	})
	if err == nil && len(failed) == 0 {
		if len(changes) > 0 {
			hist.Stamp = gen
			e.log.Info("a history begins", "id", hist.ID, "phase", hist.Phase, "epoch", next.Epoch)
			e.hist.Replaced(hist.Marker)
		}
		before := e.Known()
		e.Learn(next)
		t := &Term{First: next.Epoch, hist: hist, before: before, st: e.st, el: e, stamp: gen, ticket: ticket, now: next, epochStamp: gen}
		t.lasts(sent, e.life)
		return t, 0, nil
	}
	if err == nil {
		err = errors.New("lead: another was first")
	}
	// Should the commit have gone through after all, ending its grant takes
	// the key away again; the epoch it used up is never used again.
	e.st.RevokeLease(ctx, ticket)
	return nil, 0, err
}

// term serves one leadership until its grant ends.
func (e *Elector) term(ctx context.Context, t *Term, serve func(context.Context, *Term) error) {
	tctx, cancel := context.WithCancelCause(ctx)
	e.mu.Lock()
	e.resign = cancel
	var kept context.Context // for as long as the grant is kept up
	kept, e.yield = context.WithCancel(tctx)
	e.mu.Unlock()
	e.setLeader(e.node)
	e.log.Info("leading", "epoch", t.First)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cancel(serve(tctx, t))
	}()
	go e.renew(kept, t, cancel)
	<-kept.Done()
	if tctx.Err() == nil {
		t.give()
		e.setLeader("")
		e.revoke(ctx, t) // the next need not wait for the grant's end
	}
	<-tctx.Done()
	<-done
	e.setLeader("")
	e.mu.Lock()
	e.resign, e.yield = nil, nil
	e.mu.Unlock()
	e.log.Info("no longer leading", "epoch", t.First, "why", context.Cause(tctx))
	if _, gave := t.SteppedDown(); !gave {
		e.revoke(ctx, t)
	}
}

// revoke ends a term's grant, if the state service answers at all.
func (e *Elector) revoke(ctx context.Context, t *Term) {
	rctx, stop := context.WithTimeout(context.WithoutCancel(ctx), e.life/2)
	defer stop()
	e.st.RevokeLease(rctx, t.ticket)
}

// renew extends the grant. Refusals are endured: in an outage nobody else can
// lead either, and after it every grant has its full time again.
func (e *Elector) renew(ctx context.Context, t *Term, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(e.life / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		sent := time.Now()
		err := e.st.RenewLease(ctx, t.ticket)
		if errors.Is(err, state.ErrNotFound) {
			cancel(fmt.Errorf("%w: the grant ended", ErrDeposed))
			return
		}
		if err == nil {
			t.lasts(sent, e.life)
		}
	}
}
