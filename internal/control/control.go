// Package control is the leader's duty: it keeps the ledger and the hosts
// together for the length of a term, and runs the loops that write claims,
// place tasks, command workers and rent machines.
package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rillflow/internal/agent"
	"rillflow/internal/audit"
	"rillflow/internal/copies"
	"rillflow/internal/fleet"
	"rillflow/internal/history"
	"rillflow/internal/keyring"
	"rillflow/internal/lead"
	"rillflow/internal/ledger"
	"rillflow/internal/placement"
	"rillflow/internal/settings"
	"rillflow/internal/silence"
	"rillflow/internal/state"
	"rillflow/internal/wire"
	"rillflow/internal/withdrawn"
)

// Control serves terms, one at a time.
type Control struct {
	set     *settings.Settings
	st      *state.Client
	cloud   *fleet.CloudClient
	direct  *agent.CommandClient
	el      *lead.Elector
	types   *fleet.Catalogue
	parts   Parts
	full    func() bool
	ring    *keyring.Ring
	hist    *history.Keeper
	copies  *copies.Copy
	peers   copies.Peers
	notices *withdrawn.Notices
	log     *slog.Logger
	now     func() time.Time
	cur     atomic.Pointer[reign]
}

// Parts are the owners among whom the hosts are parted, this node included.
type Parts interface {
	// Pick has a part's owner pick for its rooms.
	Pick(ctx context.Context, node string, o placement.Offer) ([]placement.Picked, error)
	// Learn takes a finish on a host of this node's own part.
	Learn(f agent.RuntimeSample)
	// Fit are the nodes that may own a part now, given those that do.
	Fit(have []string) []string
	// Alone tells whether the state service refuses this node but serves a
	// peer, and which.
	Alone() (string, bool)
	// Refused tells whether the state service has not answered for long.
	Refused() bool
	// Unheard tells whether peers are linked, and none of them hears any worker either.
	Unheard() bool
}

// Term is the leadership that a reign rests on.
type Term interface {
	Epoch() uint64
	Map() lead.Map
	Guards() []wire.Compare
	// Over tells whether failed guards say that the leadership is over.
	Over(failed []string) error
	History() history.View
	Before() lead.Map
	Step(ctx context.Context, p history.Phase) error
	Sure(now time.Time) bool
	// Resigned is since when the term only waits for the next one, if it does.
	Resigned() (since time.Time, ok bool)
	Raise(ctx context.Context, parts []string) error
}

// Deps are what a Control works with.
type Deps struct {
	Settings *settings.Settings
	State    *state.Client
	Cloud    *fleet.CloudClient
	Direct   *agent.CommandClient
	Elector  *lead.Elector
	Types    *fleet.Catalogue
	Parts    Parts
	Full     func() bool   // whether memory is short
	Ring     *keyring.Ring // what the audit record is sealed with; nil: none is kept
	History  *history.Keeper
	Copies   *copies.Copy
	Peers    copies.Peers
	Notices  *withdrawn.Notices // jobs whose withdrawal was committed lately
	Log      *slog.Logger
}

// New makes a Control.
func New(d Deps) *Control {
	return &Control{set: d.Settings, st: d.State, cloud: d.Cloud, direct: d.Direct, el: d.Elector, types: d.Types, parts: d.Parts, full: d.Full, ring: d.Ring,
		hist: d.History, copies: d.Copies, peers: d.Peers, notices: d.Notices, log: d.Log, now: time.Now}
}

// reign is the state of one term. Everything below mu is guarded by it.
type reign struct {
	*Control
	term  Term
	first uint64        // the epoch it began with
	ready chan struct{} // closed once the claims are read
	group *errgroup.Group
	ctx   context.Context

	flushes chan struct{}
	plans   chan struct{}
	chains  chan struct{}
	raises  chan struct{}

	mu       sync.Mutex
	led      *ledger.Ledger
	hosts    map[string]*agent.Worker
	sorted   []*agent.Worker      // by name, for decisions that repeat
	gone     map[string]time.Time // released, with when
	rents    *fleet.Planner
	ahead    map[string]bool // teams whose work is rented ahead for
	listed   map[string]wire.Instance
	began    time.Time
	heard    time.Time // last beat of any host
	took     *latencies
	quiet    *silence.Watch
	rec      *record             // nil: no audit record is kept
	tidied   time.Time           // when what nothing waits for was last written, or could have been
	deficits map[string]*deficit // of starved arrays, by type
	back     *restore            // nil: nothing was lost
	traces   map[string]*trace
}

// Serve is one term.
func (c *Control) Serve(ctx context.Context, term *lead.Term) error {
	g, gctx := errgroup.WithContext(ctx)
	r := &reign{
		Control: c, term: term, first: term.First, ready: make(chan struct{}), group: g, ctx: gctx,
		flushes: make(chan struct{}, 1), plans: make(chan struct{}, 1), chains: make(chan struct{}, 1), raises: make(chan struct{}, 1),
		led:    ledger.New(fmt.Sprintf("%s.%d", c.set.Node, term.First), c.set.Facts.Teams),
		hosts:  make(map[string]*agent.Worker),
		gone:   make(map[string]time.Time),
		listed: make(map[string]wire.Instance),
		began:  c.now(),
		took:   newLatencies(),
		rents:  fleet.NewPlanner(c.set, term.First), ahead: make(map[string]bool),
		quiet: newQuiet(c.set), traces: make(map[string]*trace), deficits: make(map[string]*deficit),
	}
	if c.ring != nil {
		r.rec = newRecord(c.ring, c.set.Node, c.log)
	}
	c.cur.Store(r)
	defer c.cur.CompareAndSwap(r, nil)
	gen, err := r.load(gctx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	if err := r.rec.open(gctx, c.st, c.set.Report()); err != nil {
		return fmt.Errorf("audit record: %w", err)
	}
	r.mu.Lock()
	r.rec.note(c.now(), audit.Entry{Act: audit.TookOver, On: c.set.Node, Why: fmt.Sprintf("epoch %d", term.First)})
	if p := term.History().Phase; p == history.Whole || p == history.Open {
		r.notices.Inherit("", r.withdrawn()...)
	}
	r.mu.Unlock()
	close(r.ready)
	r.start(r.tend, r.raise, r.watchParts, r.feed)
	if err := r.regain(gctx); err != nil {
		err = fmt.Errorf("rebuild: %w", err)
		g.Go(func() error { return err }) // ends the others
		return errors.Join(err, g.Wait())
	}
	r.start(
		func(ctx context.Context) error { return r.follow(ctx, gen) },
		r.flush, r.plan, r.chain, r.rent, r.reclaim, r.collect, r.finish, r.scrub, r.resolve,
	)
	kick(r.plans)
	kick(r.chains)
	return g.Wait()
}

// start begins duties.
func (r *reign) start(duties ...func(context.Context) error) {
	for _, duty := range duties {
		r.group.Go(func() error { return duty(r.ctx) })
	}
}

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *reign) addJob(path string, data []byte, stamp uint64) error {
	rec, err := ledger.DecodeRecord(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	r.led.Add(path[len(ledger.LivePrefix):], rec, stamp)
	return nil
}

// follow takes in new and withdrawn jobs as they are committed.
func (r *reign) follow(ctx context.Context, gen uint64) error {
	for try := 0; ctx.Err() == nil; {
		log, err := r.st.Watch(ctx, ledger.LivePrefix, gen, r.set.Lease()/2)
		if errors.Is(err, state.ErrCompacted) {
			return err // a new term reads everything afresh
		}
		if err != nil {
			state.Backoff(ctx, try, r.set.Report()/32, r.set.Report()/4)
			try++
			continue
		}
		try = 0
		gen = max(gen, log.Revision)
		var told []wire.Operation
		var over []string
		r.mu.Lock()
		for _, ch := range log.Events {
			if ch.Put != "" {
				ref := ch.Put[len(ledger.LivePrefix):]
				known := r.led.Job(ref) != nil
				if err := r.addJob(ch.Put, ch.Value, ch.ModRevision); err != nil {
					r.mu.Unlock()
					return r.doubt(err)
				}
				if !known {
					r.led.Job(ref).Arrive(r.now())
				}
				r.adopt(ref)
				told = append(told, ch)
				continue
			}
			// A job about to be done goes from the live keys by this
			// leader's own write; were it withdrawn, that write fails.
			ref := ch.Delete[len(ledger.LivePrefix):]
			if r.untold(ref) {
				over = append(over, ref)
			}
			if j := r.led.Job(ref); j != nil && !j.Finished {
				r.withdraw(ref)
			}
		}
		r.mu.Unlock()
		for _, ref := range over {
			// Most were withdrawn by their users. But a leader that was cut off may hear
			// so of what the next one finished.
			data, err := r.ending(ctx, ref)
			if errors.Is(err, state.ErrNotFound) {
				return r.doubt(fmt.Errorf("job %s is gone without an end", ref))
			}
			if err != nil {
				return err
			}
			told = append(told, ended(ref, data)...)
		}
		r.copies.Apply(log.Revision, told...)
		kick(r.plans)
		kick(r.chains)
	}
	return ctx.Err()
}

// untold tells whether a job left the live keys other than by this leader's own write, and
// the copy lacks its end. That the ledger has it withdrawn says nothing of that: a notice
// may have come ahead of the log.
func (r *reign) untold(ref string) bool {
	tree, _ := r.copies.Tree() // not what this node took itself, which the others lack
	if _, ok := tree.Get([]byte(ledger.EndedKey(ref))); ok {
		return false
	}
	if j := r.led.Job(ref); j != nil {
		return !j.Finished
	}
	_, live := tree.Get([]byte(ledger.LiveKey(ref))) // the ledger forgot it with its last claim
	return live
}

// withdraw notes that a job left the live keys other than by being done.
func (r *reign) withdraw(ref string) {
	j := r.led.Job(ref)
	if j == nil || j.Withdrawn {
		return
	}
	if by := j.Doomed(); by != "" {
		r.log.Info("withdrawn", "job", ref, "claims", j.Active(), "because_of", by)
	} else {
		r.log.Info("withdrawn", "job", ref, "claims", j.Active())
	}
	hosts := make(map[string]bool)
	for _, h := range r.led.HeldBy(j) {
		hosts[h.Host] = true
	}
	j.WithdrawnAt = r.now()
	r.led.Withdraw(ref)
	for h := range hosts {
		if host := r.hosts[h]; host != nil {
			host.WakeSender()
		}
	}
	kick(r.flushes)
	kick(r.chains)
}

// raise moves the epoch on, when a command of unknown fate must be fenced off
// or the hosts are to be parted among others.
func (r *reign) raise(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.raises:
		}
		err := r.term.Raise(ctx, r.parts.Fit(r.term.Map().Parts))
		if errors.Is(err, lead.ErrDeposed) {
			return err
		}
		if err == nil {
			r.mu.Lock()
			m := r.term.Map()
			for _, h := range r.hosts {
				r.own(h, m)
			}
			r.mu.Unlock()
		}
		// At most one in a report interval: each makes every worker report.
		if !sleep(ctx, r.set.Report()) {
			return ctx.Err()
		}
	}
}

// own notes who answers a host, and since which epoch nobody but this node may:
// it owns the host, and no other owner of a part is in the host's zone, where it
// might stand in while the zone is cut off. Run it again once a host's zone is
// known.
func (r *reign) own(h *agent.Worker, m lead.Map) {
	if o := m.Owner(h.Name); o != h.ShardOwner {
		h.ShardOwner, h.ShardOwnerSince = o, r.now()
	}
	switch {
	case h.ShardOwner != r.set.Node || h.Zone == "" || r.set.Near(h.Zone, m.Parts):
		h.SoleOwnerEpoch = 0
	case h.SoleOwnerEpoch == 0:
		h.SoleOwnerEpoch = m.Epoch
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
