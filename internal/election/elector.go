// Package election elects the leader. The leader holds a key on a grant of the
// state service; each leadership has an epoch above all earlier ones, which
// fences the commands of those before it, and every write of a leader guards
// its key.
package election

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

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// Keys of the state service.
const (
	leaderKey = "lead"
	epochKey  = "epoch"
)

type leaderRecord struct {
	Controller string `json:"node"`
	Epoch      uint64 `json:"epoch"`
}

// ShardMap says who acts under an epoch: who leads, and among whom the hosts are
// parted.
type ShardMap struct {
	Epoch  uint64   `json:"n"`
	Leader string   `json:"leader"`
	Owners []string `json:"parts"`
	// ZoneFallback says that whoever wrote the map reckons with any node in Parts
	// answering the hosts of its own zone, whoever owns them. Versions before
	// 0.3 neither write nor heed it; nor does a ping carry it.
	ZoneFallback bool `json:"near,omitempty"`
	// Incarnation is the id of the history that the map was written in. Versions before
	// 0.5 neither write nor heed it; nor does a ping carry it.
	Incarnation string `json:"history,omitempty"`
}

// Owner is the node that answers a host's reports, by rendezvous hashing: when
// a node comes or goes, only the hosts that it gains or loses move.
func (m ShardMap) Owner(host string) string {
	best, top := "", uint64(0)
	for _, n := range m.Owners {
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
	FirstEpoch uint64 // the epoch it began with

	incarnation    dataloss.IncarnationState // that it belongs to, as it was at the start
	previousMap    ShardMap                  // the latest map known when it began
	store          *kvstore.Client
	leaderRevision uint64 // of the leader key
	leaseID        uint64

	elector        *Elector
	mu             sync.Mutex
	shardMap       ShardMap
	epochRevision  uint64
	leaseHeldUntil time.Time // the grant lasts until then at least
	steppedDownAt  time.Time // the grant is kept no more since then; zero: it is
}

// SteppedDown is since when the term only waits for the next one, if it does.
func (t *Term) SteppedDown() (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.steppedDownAt, !t.steppedDownAt.IsZero()
}

// markSteppedDown notes that the grant is kept no more. Nothing is sure from then on.
func (t *Term) markSteppedDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steppedDownAt, t.leaseHeldUntil = time.Now(), time.Time{}
}

// LeaseHeld tells whether nobody else can lead at present. What the state service
// cannot fence, above all returning machines, is done only while it holds: a
// leader cut off from the state service would otherwise return machines that
// work for the next one.
func (t *Term) LeaseHeld(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.leaseHeldUntil)
}

// leaseRenewed notes that the grant was given or extended by a request sent at a time.
// A clock may run fast by one part in 2,000; a grant never ends early.
func (t *Term) leaseRenewed(sent time.Time, life time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.steppedDownAt.IsZero() {
		return
	}
	t.leaseHeldUntil = sent.Add(life - life/500)
}

// Epoch is the term's present epoch.
func (t *Term) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shardMap.Epoch
}

// ShardMap is the term's present part map.
func (t *Term) ShardMap() ShardMap {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shardMap
}

// Compares are the conditions that every write of the leader carries: that it leads, and
// that the history is the one that it leads in. The second is needed where data was
// lost, since a stamp of the leader's key may come again.
func (t *Term) Compares() []wire.Compare {
	gs := []wire.Compare{{Key: leaderKey, ModRevision: t.leaderRevision}}
	if g, ok := t.incarnation.Compare(); ok {
		gs = append(gs, g)
	}
	return gs
}

// LeaderCompareFailed tells whether failed guards say that the leadership is over.
func LeaderCompareFailed(failed []string) bool {
	for _, f := range failed {
		if f == leaderKey {
			return true
		}
	}
	return false
}

// Incarnation is the history that the term belongs to, as it was when the term began.
func (t *Term) Incarnation() dataloss.IncarnationState { return t.incarnation }

// PreviousMap is the latest map that this node knew before the term.
func (t *Term) PreviousMap() ShardMap { return t.previousMap }

// AdvancePhase takes the term's history to a phase.
func (t *Term) AdvancePhase(ctx context.Context, p dataloss.Phase) error {
	c, err := t.incarnation.PhaseOperation(p)
	if err != nil {
		return err
	}
	_, failed, err := t.store.Commit(ctx, wire.Txn{Compares: t.Compares(), Operations: []wire.Operation{c}})
	if err != nil {
		return err
	}
	return t.CheckCompares(failed)
}

// CheckCompares tells whether failed guards say that the leadership is over: another leads, or
// the history is another.
func (t *Term) CheckCompares(failed []string) error {
	gone := dataloss.CompareFailed(failed)
	if gone {
		t.elector.detector.Recheck()
	}
	switch {
	case LeaderCompareFailed(failed):
		return ErrDeposed
	case gone:
		return dataloss.ErrIncarnationReplaced
	}
	return nil
}

// RaiseEpoch moves the term to the next epoch, with the hosts parted among the nodes
// given, so that workers that see it refuse whatever was sent before.
func (t *Term) RaiseEpoch(ctx context.Context, parts []string) error {
	t.mu.Lock()
	next, stamp := ShardMap{Epoch: t.shardMap.Epoch + 1, Leader: t.shardMap.Leader, Owners: parts, ZoneFallback: true, Incarnation: t.incarnation.ID}, t.epochRevision
	t.mu.Unlock()
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	gen, failed, err := t.store.Commit(ctx, wire.Txn{
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
		it, err := t.store.Get(ctx, epochKey)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(it.Value, &next); err != nil {
			return err
		}
		gen = it.ModRevision
	}
	t.mu.Lock()
	t.shardMap, t.epochRevision = next, gen
	t.mu.Unlock()
	t.elector.LearnShardMap(next)
	return nil
}

// Elector runs for leader and follows who leads.
type Elector struct {
	store                *kvstore.Client
	controller           string
	leaseDuration        time.Duration
	shardOwners          func() []string // whom to part the hosts among
	detector             *dataloss.Detector
	remembersIncarnation func() bool // whether this node remembers an earlier history
	log                  *slog.Logger

	mu             sync.Mutex
	leader         string
	shardMap       ShardMap
	shardMapStored bool      // known was read from the state service
	observedEpoch  uint64    // the highest epoch that a worker has shown
	campaignAfter  time.Time // not a candidate before this
	endTerm        context.CancelCauseFunc
	stopRenewal    context.CancelFunc
	// What the leader key says, whether the history is doubted, and since when both
	// are as they are.
	observedLeader    leaderRecord
	observedSuspicion bool
	observedSince     time.Time
}

// Options are what an Elector works with.
type Options struct {
	Store                *kvstore.Client
	Controller           string
	LeaseDuration        time.Duration   // of a grant
	ShardOwners          func() []string // whom a new leader parts the hosts among
	Detector             *dataloss.Detector
	RemembersIncarnation func() bool // whether this node remembers an earlier history
	Log                  *slog.Logger
}

// New makes an elector.
func New(options Options) *Elector {
	return &Elector{store: options.Store, controller: options.Controller, leaseDuration: options.LeaseDuration, shardOwners: options.ShardOwners, detector: options.Detector, remembersIncarnation: options.RemembersIncarnation, log: options.Log}
}

// LegacyLeader tells whether whoever leads is of a version that keeps no history.
func (e *Elector) LegacyLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shardMapStored && e.shardMap.Epoch > 0 && e.shardMap.Incarnation == ""
}

// ObserveEpoch notes an epoch that a worker has seen. A leader's is to be above it.
func (e *Elector) ObserveEpoch(epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch < maxCredibleEpoch {
		e.observedEpoch = max(e.observedEpoch, epoch)
	}
}

// maxCredibleEpoch bounds what is believed of an epoch that somebody shows: above it, none could
// be given out that rises for long.
const maxCredibleEpoch = 1 << 62

// highestEpoch is the highest epoch that is known to have been given out.
func (e *Elector) highestEpoch() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.shardMap.Epoch, e.observedEpoch)
}

// ShardMap is the latest map that this node knows of.
func (e *Elector) ShardMap() ShardMap {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shardMap
}

// LearnShardMap takes in a map, from the state service or a peer; an older one than is
// known changes nothing.
func (e *Elector) LearnShardMap(m ShardMap) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Epoch == e.shardMap.Epoch && m.ZoneFallback {
		e.shardMap.ZoneFallback, e.shardMap.Incarnation = true, m.Incarnation // a ping brought the rest first
	}
	if m.Epoch > e.shardMap.Epoch {
		e.shardMap, e.shardMapStored = m, false
		e.log.Info("part map", "epoch", m.Epoch, "leader", m.Leader, "parts", m.Owners)
	}
}

// WatchShardMap keeps to the latest map in the state service until ctx ends.
func (e *Elector) WatchShardMap(ctx context.Context) error {
	var after uint64
	for try := 0; ctx.Err() == nil; {
		var err error
		if after == 0 {
			var it wire.KeyValue
			if it, err = e.store.Get(ctx, epochKey); err == nil {
				_, err = e.learnStored(it.Value)
				after = it.ModRevision
			}
		} else {
			var log wire.WatchResponse
			if log, err = e.store.Watch(ctx, epochKey, after, 4*e.leaseDuration); err == nil {
				after = max(after, log.Revision)
				for _, c := range log.Events {
					if c.Put == epochKey {
						_, bad := e.learnStored(c.Value)
						err = errors.Join(err, bad)
					}
				}
			} else if errors.Is(err, kvstore.ErrCompacted) {
				after = 0
			}
		}
		if err != nil {
			kvstore.Backoff(ctx, try, e.leaseDuration/16, e.leaseDuration/2)
			try++
			continue
		}
		try = 0
	}
	return ctx.Err()
}

// learnStored takes in a map as it is stored.
func (e *Elector) learnStored(data []byte) (m ShardMap, err error) {
	if err := json.Unmarshal(data, &m); err != nil {
		return ShardMap{}, err
	}
	e.LearnShardMap(m)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shardMapStored = e.shardMapStored || m.Epoch == e.shardMap.Epoch
	return m, nil
}

// ReadShardMap is the map that the state service holds; of epoch 0 if none.
func (e *Elector) ReadShardMap(ctx context.Context) (ShardMap, error) {
	it, err := e.store.Get(ctx, epochKey)
	switch {
	case errors.Is(err, kvstore.ErrNotFound):
		return ShardMap{}, nil
	case err != nil:
		return ShardMap{}, err
	}
	return e.learnStored(it.Value)
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

// StepDown gives the leadership up to whoever is next, and does not seek it again for a
// while: its grant is kept no more. The term goes on until there is a next, which cannot
// be while the state service answers nobody: somebody has to answer the workers meanwhile
// and to see that what users withdrew is gone.
func (e *Elector) StepDown(rest time.Duration, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.campaignAfter = time.Now().Add(rest)
	if e.stopRenewal != nil {
		e.log.Info("resigned", "why", why)
		e.stopRenewal()
		e.stopRenewal = nil
	}
}

// EndTermForDataLoss ends the leadership, if this node has it: the state service may have lost
// data. It may be sought again at once.
func (e *Elector) EndTermForDataLoss(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endTerm != nil {
		e.endTerm(fmt.Errorf("%w: %s", dataloss.ErrIncarnationReplaced, why))
	}
}

// Run follows the leader key and runs for leader whenever there is none. serve
// is called for each term and must return soon after its context ends.
func (e *Elector) Run(ctx context.Context, serve func(context.Context, *Term) error) error {
	for try := 0; ctx.Err() == nil; {
		term, after, err := e.observeOrCampaign(ctx)
		switch {
		case err != nil:
			e.log.Debug("election", "err", err)
			kvstore.Backoff(ctx, try, e.leaseDuration/16, e.leaseDuration/2)
			try++
		case term != nil:
			try = 0
			e.serveTerm(ctx, term, serve)
		default:
			try = 0
			// The key goes when its grant ends: watch for that.
			if _, err := e.store.Watch(ctx, leaderKey, after, e.leaseDuration); err != nil {
				kvstore.Backoff(ctx, 0, e.leaseDuration/16, e.leaseDuration/2)
			}
		}
	}
	return ctx.Err()
}

// observeOrCampaign reads who leads, and takes the lead if nobody does.
func (e *Elector) observeOrCampaign(ctx context.Context) (*Term, uint64, error) {
	it, err := e.store.Get(ctx, leaderKey)
	if err == nil {
		var v leaderRecord
		if err := json.Unmarshal(it.Value, &v); err != nil {
			e.log.Error("the leader's key cannot be read", "err", err)
			e.detector.Suspect("the leader's key cannot be read")
		}
		if e.isStaleLeader(v) {
			return nil, 0, e.removeStaleLeader(ctx, it)
		}
		if v.Controller == e.controller {
			// Left by this node's last run: let it end by itself.
			e.setLeader("")
		} else {
			e.setLeader(v.Controller)
		}
		return nil, it.ModRevision, nil
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return nil, 0, err
	}
	e.setLeader("")
	e.mu.Lock()
	rest := time.Until(e.campaignAfter)
	e.mu.Unlock()
	if rest > 0 {
		kvstore.Backoff(ctx, 0, min(rest, e.leaseDuration/4), e.leaseDuration)
		return nil, 0, errors.New("resting")
	}
	return e.campaign(ctx)
}

// isStaleLeader tells whether the leader key is of a history that was lost, so that nobody
// leads by it: it came back with what was restored, and its grant may never end. Either
// its epoch lies below one that is known, or the history is doubted and for several
// grants' time it has said the same of a node that does not lead.
func (e *Elector) isStaleLeader(v leaderRecord) bool {
	_, _, doubted := e.detector.Suspected()
	e.mu.Lock()
	defer e.mu.Unlock()
	if v != e.observedLeader || doubted != e.observedSuspicion || e.observedSince.IsZero() {
		e.observedLeader, e.observedSuspicion, e.observedSince = v, doubted, time.Now()
	}
	same := time.Since(e.observedSince)
	switch {
	case v.Epoch < max(e.shardMap.Epoch, e.observedEpoch):
		// Between an old leader's end and the next one's start nothing is wrong.
		return same > e.leaseDuration && (doubted || e.shardMap.Leader != v.Controller)
	case doubted || v.Controller == e.controller:
		return same > 2*e.leaseDuration
	}
	return false
}

// removeStaleLeader removes a leader key that nobody leads by.
func (e *Elector) removeStaleLeader(ctx context.Context, it wire.KeyValue) error {
	e.log.Warn("removing a leader key that nobody leads by", "value", string(it.Value))
	_, _, err := e.store.Commit(ctx, wire.Txn{
		Compares:   []wire.Compare{{Key: leaderKey, ModRevision: it.ModRevision}},
		Operations: []wire.Operation{{Delete: leaderKey}},
	})
	return errors.Join(err, errors.New("lead: the key of an earlier leader"))
}

// chooseIncarnation reads the history and tells what a new leader makes of it: the one it is to
// lead in, and the changes that begin it where it is another.
func (e *Elector) chooseIncarnation(ctx context.Context, stored ShardMap, epoch uint64) (dataloss.IncarnationState, []wire.Compare, []wire.Operation, error) {
	v, err := dataloss.Read(ctx, e.store)
	if err != nil {
		return v, nil, nil, err
	}
	id, _, doubted := e.detector.Suspected()
	doubted = doubted && (v.ID == "" || id == v.ID)
	if known := e.detector.Current(); v.ID == "" && known.ID != "" || v.ID != known.ID && v.Epoch < known.Epoch {
		doubted = true
	}
	g, has := v.Compare()
	if has && !doubted && stored.Epoch >= e.highestEpoch() {
		return v, []wire.Compare{g}, nil, nil
	}
	next := dataloss.IncarnationState{Incarnation: dataloss.Incarnation{ID: rand.Text(), InitialPhase: dataloss.PhaseRecovering, DataLost: true, Epoch: epoch}}
	switch {
	case has || doubted || stored.Incarnation != "" || e.highestEpoch() > stored.Epoch:
	case stored.Epoch > 0:
		// All was written by versions that keep no history.
		next.InitialPhase, next.DataLost = dataloss.PhaseComplete, false
	case e.remembersIncarnation():
	default:
		next.InitialPhase, next.DataLost = dataloss.PhaseProvisional, false
	}
	next.Phase = next.InitialPhase
	put, err := next.CreateOperation()
	changes := []wire.Operation{put}
	var guards []wire.Compare
	if has {
		guards, changes = append(guards, g), append(changes, v.DeleteOperation())
	}
	return next, guards, changes, err
}

func (e *Elector) campaign(ctx context.Context) (*Term, uint64, error) {
	var ev ShardMap
	var stamp uint64
	it, err := e.store.Get(ctx, epochKey)
	if err == nil {
		stamp = it.ModRevision
		if err := json.Unmarshal(it.Value, &ev); err != nil {
			e.log.Error("the epoch's key cannot be read", "err", err)
			e.detector.Suspect("the epoch's key cannot be read")
		}
	}
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return nil, 0, err
	}
	epoch := max(ev.Epoch, e.highestEpoch()) + 1
	if it.ModRevision == 0 {
		// Nothing is stored: all may have been lost, and what workers have seen is yet
		// to be heard. Epochs never rise by one a second for long, so the time of day
		// lies above any that was given out.
		epoch = max(epoch, uint64(time.Now().Unix()))
	}
	hist, guards, changes, err := e.chooseIncarnation(ctx, ev, epoch)
	if err != nil {
		return nil, 0, err
	}
	sent := time.Now()
	ticket, err := e.store.GrantLease(ctx, e.leaseDuration)
	if err != nil {
		return nil, 0, err
	}
	next := ShardMap{Epoch: epoch, Leader: e.controller, Owners: e.shardOwners(), ZoneFallback: true, Incarnation: hist.ID}
	lv, err1 := json.Marshal(leaderRecord{e.controller, next.Epoch})
	nv, err2 := json.Marshal(next)
	if err := errors.Join(err1, err2); err != nil {
		return nil, 0, err
	}
	gen, failed, err := e.store.Commit(ctx, wire.Txn{
		Compares:   append(guards, wire.Compare{Key: leaderKey}, wire.Compare{Key: epochKey, ModRevision: stamp}),
		Operations: append(changes, wire.Operation{Put: leaderKey, Value: lv, LeaseID: ticket}, wire.Operation{Put: epochKey, Value: nv}),
	})
	if err == nil && len(failed) == 0 {
		if len(changes) > 0 {
			hist.Revision = gen
			e.log.Info("a history begins", "id", hist.ID, "phase", hist.Phase, "epoch", next.Epoch)
			e.detector.IncarnationBegun(hist.Incarnation)
		}
		before := e.ShardMap()
		e.LearnShardMap(next)
		t := &Term{FirstEpoch: next.Epoch, incarnation: hist, previousMap: before, store: e.store, elector: e, leaderRevision: gen, leaseID: ticket, shardMap: next, epochRevision: gen}
		t.leaseRenewed(sent, e.leaseDuration)
		return t, 0, nil
	}
	if err == nil {
		err = errors.New("lead: another was first")
	}
	// Should the commit have gone through after all, ending its grant takes
	// the key away again; the epoch it used up is never used again.
	e.store.RevokeLease(ctx, ticket)
	return nil, 0, err
}

// serveTerm serves one leadership until its grant ends.
func (e *Elector) serveTerm(ctx context.Context, t *Term, serve func(context.Context, *Term) error) {
	tctx, cancel := context.WithCancelCause(ctx)
	e.mu.Lock()
	e.endTerm = cancel
	var kept context.Context // for as long as the grant is kept up
	kept, e.stopRenewal = context.WithCancel(tctx)
	e.mu.Unlock()
	e.setLeader(e.controller)
	e.log.Info("leading", "epoch", t.FirstEpoch)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cancel(serve(tctx, t))
	}()
	go e.renewLease(kept, t, cancel)
	<-kept.Done()
	if tctx.Err() == nil {
		t.markSteppedDown()
		e.setLeader("")
		e.revokeLease(ctx, t) // the next need not wait for the grant's end
	}
	<-tctx.Done()
	<-done
	e.setLeader("")
	e.mu.Lock()
	e.endTerm, e.stopRenewal = nil, nil
	e.mu.Unlock()
	e.log.Info("no longer leading", "epoch", t.FirstEpoch, "why", context.Cause(tctx))
	if _, gave := t.SteppedDown(); !gave {
		e.revokeLease(ctx, t)
	}
}

// revokeLease ends a term's grant, if the state service answers at all.
func (e *Elector) revokeLease(ctx context.Context, t *Term) {
	rctx, stop := context.WithTimeout(context.WithoutCancel(ctx), e.leaseDuration/2)
	defer stop()
	e.store.RevokeLease(rctx, t.leaseID)
}

// renewLease extends the grant. Refusals are endured: in an outage nobody else can
// lead either, and after it every grant has its full time again.
func (e *Elector) renewLease(ctx context.Context, t *Term, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(e.leaseDuration / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		sent := time.Now()
		err := e.store.RenewLease(ctx, t.leaseID)
		if errors.Is(err, kvstore.ErrNotFound) {
			cancel(fmt.Errorf("%w: the grant ended", ErrDeposed))
			return
		}
		if err == nil {
			t.leaseRenewed(sent, e.leaseDuration)
		}
	}
}
