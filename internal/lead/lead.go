// Package lead elects the leader. The leader holds a key on a grant of the
// state service; each leadership has an epoch above all earlier ones, which
// fences the commands of those before it, and every write of a leader guards
// its key.
package lead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

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

type epochValue struct {
	N uint64 `json:"n"`
}

// ErrDeposed says that the leadership is over.
var ErrDeposed = errors.New("lead: deposed")

// Term is one leadership.
type Term struct {
	First uint64 // the epoch it began with

	st     *state.Client
	stamp  uint64 // of the leader key
	ticket uint64

	mu         sync.Mutex
	epoch      uint64
	epochStamp uint64
	until      time.Time // the grant lasts until then at least
}

// Sure tells whether nobody else can lead at present. What the state service
// cannot fence, above all returning machines, is done only while it holds: a
// leader cut off from the state service would otherwise return machines that
// work for the next one.
func (t *Term) Sure(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.until)
}

// lasts notes that the grant was given or extended by a request sent at a time.
// A clock may run fast by one part in 2,000; a grant never ends early.
func (t *Term) lasts(sent time.Time, life time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = sent.Add(life - life/500)
}

// Epoch is the term's present epoch.
func (t *Term) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// Guard is the condition that every write of the leader carries.
func (t *Term) Guard() wire.Guard { return wire.Guard{Path: leaderKey, Stamp: t.stamp} }

// Deposed tells whether failed guards say that the leadership is over.
func Deposed(failed []string) bool {
	for _, f := range failed {
		if f == leaderKey {
			return true
		}
	}
	return false
}

// Raise moves the term to the next epoch, so that workers that see it refuse
// whatever was sent before.
func (t *Term) Raise(ctx context.Context) error {
	t.mu.Lock()
	n, stamp := t.epoch+1, t.epochStamp
	t.mu.Unlock()
	data, err := json.Marshal(epochValue{n})
	if err != nil {
		return err
	}
	gen, failed, err := t.st.Commit(ctx, wire.Commit{
		Guards: []wire.Guard{t.Guard(), {Path: epochKey, Stamp: stamp}},
		Apply:  []wire.Change{{Put: epochKey, Data: data}},
	})
	if err != nil {
		return err
	}
	if Deposed(failed) {
		return ErrDeposed
	}
	if len(failed) > 0 {
		// An earlier raise whose answer was lost did go through.
		it, err := t.st.Get(ctx, epochKey)
		if err != nil {
			return err
		}
		var v epochValue
		if err := json.Unmarshal(it.Data, &v); err != nil {
			return err
		}
		n, gen = v.N, it.Stamp
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch, t.epochStamp = n, gen
	return nil
}

// Elector runs for leader and follows who leads.
type Elector struct {
	st   *state.Client
	node string
	life time.Duration
	log  *slog.Logger

	mu     sync.Mutex
	leader string
	rest   time.Time // not a candidate before this
	resign context.CancelCauseFunc
}

// New makes an elector whose grants live as long as given.
func New(st *state.Client, node string, life time.Duration, log *slog.Logger) *Elector {
	return &Elector{st: st, node: node, life: life, log: log}
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

// Resign gives the leadership up and does not seek it again for a while.
func (e *Elector) Resign(rest time.Duration, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rest = time.Now().Add(rest)
	if e.resign != nil {
		e.resign(fmt.Errorf("resigned: %s", why))
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
		if err := json.Unmarshal(it.Data, &v); err != nil {
			return nil, 0, err
		}
		if v.Node == e.node {
			// Left by this node's last run: let it end by itself.
			e.setLeader("")
		} else {
			e.setLeader(v.Node)
		}
		return nil, it.Stamp, nil
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

func (e *Elector) take(ctx context.Context) (*Term, uint64, error) {
	var ev epochValue
	var stamp uint64
	it, err := e.st.Get(ctx, epochKey)
	if err == nil {
		stamp = it.Stamp
		err = json.Unmarshal(it.Data, &ev)
	}
	if err != nil && !errors.Is(err, state.ErrNotFound) {
		return nil, 0, err
	}
	sent := time.Now()
	ticket, err := e.st.NewGrant(ctx, e.life)
	if err != nil {
		return nil, 0, err
	}
	n := ev.N + 1
	lv, err1 := json.Marshal(leaderValue{e.node, n})
	nv, err2 := json.Marshal(epochValue{n})
	if err := errors.Join(err1, err2); err != nil {
		return nil, 0, err
	}
	gen, failed, err := e.st.Commit(ctx, wire.Commit{
		Guards: []wire.Guard{{Path: leaderKey}, {Path: epochKey, Stamp: stamp}},
		Apply:  []wire.Change{{Put: leaderKey, Data: lv, Ticket: ticket}, {Put: epochKey, Data: nv}},
	})
	if err == nil && len(failed) == 0 {
		t := &Term{First: n, st: e.st, stamp: gen, ticket: ticket, epoch: n, epochStamp: gen}
		t.lasts(sent, e.life)
		return t, 0, nil
	}
	if err == nil {
		err = errors.New("lead: another was first")
	}
	// Should the commit have gone through after all, ending its grant takes
	// the key away again; the epoch it used up is never used again.
	e.st.Revoke(ctx, ticket)
	return nil, 0, err
}

// term serves one leadership until its grant ends.
func (e *Elector) term(ctx context.Context, t *Term, serve func(context.Context, *Term) error) {
	tctx, cancel := context.WithCancelCause(ctx)
	e.mu.Lock()
	e.resign = cancel
	e.mu.Unlock()
	e.setLeader(e.node)
	e.log.Info("leading", "epoch", t.First)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cancel(serve(tctx, t))
	}()
	go e.renew(tctx, t, cancel)
	<-tctx.Done()
	<-done
	e.setLeader("")
	e.mu.Lock()
	e.resign = nil
	e.mu.Unlock()
	e.log.Info("no longer leading", "epoch", t.First, "why", context.Cause(tctx))
	rctx, stop := context.WithTimeout(context.WithoutCancel(ctx), e.life/2)
	defer stop()
	e.st.Revoke(rctx, t.ticket)
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
		err := e.st.Extend(ctx, t.ticket)
		if errors.Is(err, state.ErrNotFound) {
			cancel(fmt.Errorf("%w: the grant ended", ErrDeposed))
			return
		}
		if err == nil {
			t.lasts(sent, e.life)
		}
	}
}
