// Package part is the duty of a host's owner: it answers the reports of the
// hosts in its part, keeps what their finishes teach, and picks by the rule
// when the leader offers it their free rooms.
package part

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/control"
	"rillflow/internal/lead"
	"rillflow/internal/peer"
	"rillflow/internal/placement"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
	"rillflow/internal/withdrawn"
)

// Leader is the leader's side, on this node while it leads.
type Leader interface {
	Heartbeat(ctx context.Context, r *wire.Heartbeat) (wire.CommandBatch, []agent.RuntimeSample, error)
}

// Links are the links to the other nodes.
type Links interface {
	Beat(ctx context.Context, node string, r *wire.Heartbeat) (peer.BeatAnswer, error)
	Pick(ctx context.Context, node string, o *placement.Offer) ([]placement.Picked, error)
	Peers() map[string]peer.Status
}

// Part is this node's part.
type Part struct {
	set   *settings.Settings
	known func() lead.ShardMap
	links Links
	stale func() time.Duration // since the state service answered here
	gone  *withdrawn.Set
	now   func() time.Time
	tune  placement.Tuning

	ears ears

	mu    sync.Mutex
	table *placement.Table
	fed   int
}

// New makes the part. known tells the latest part map, stale since when the
// state service has not answered, gone what is withdrawn.
func New(set *settings.Settings, known func() lead.ShardMap, stale func() time.Duration, gone *withdrawn.Set, now func() time.Time) *Part {
	op := set.Operator.Placement
	return &Part{
		set: set, known: known, stale: stale, gone: gone, now: now,
		tune: placement.Tuning{
			Aged:    time.Duration(op.WaitAge * float64(set.Lease())),
			NearTie: op.NearTie,
			Firm:    set.Facts.Workers.ReportS,
		},
		table: placement.NewTable(placement.Params{
			Horizon: op.Horizon, Bonus: op.Bonus, RunBound: op.RunBound,
			Tick: time.Duration(op.Tick * float64(set.Report())),
		}, now()),
	}
}

// Link gives the part its links, which in turn need what the part serves.
func (p *Part) Link(l Links) { p.links = l }

// ErrNotOwner: this node may not answer the host. Steward names who may, or is
// empty.
type ErrNotOwner struct{ Steward string }

func (e ErrNotOwner) Error() string { return "part: not the owner; steward " + e.Steward }

// Beat answers a worker's report. Whoever answers, tasks that this node knows to be
// withdrawn are stopped: a leader that the state service refuses may not know.
func (p *Part) Beat(ctx context.Context, r *wire.Heartbeat, leader Leader) (wire.CommandBatch, error) {
	out, err := p.answer(ctx, r, leader)
	if err == nil {
		out.Commands = p.gone.AmendCommands(r, out.Commands)
	}
	return out, err
}

func (p *Part) answer(ctx context.Context, r *wire.Heartbeat, leader Leader) (wire.CommandBatch, error) {
	m := p.known()
	if r.Epoch > m.Epoch {
		// The worker knows more than this node: an answer would be dropped
		// and hold the worker here while its lease runs out.
		return wire.CommandBatch{}, ErrNotOwner{}
	}
	if owner := m.Owner(r.Worker); owner != p.set.Node && !p.standsIn(m, owner, r.Zone) {
		return wire.CommandBatch{}, ErrNotOwner{owner}
	}
	out, asked, err := p.ask(ctx, m.Leader, r, leader)
	if err == nil {
		return out, nil
	}
	// The leader cannot be asked, or it gave the lead up, or has not read its ledger,
	// and the state service refuses all, so that nobody can do so before that is over.
	// The worker's tasks run on, under the epoch that stands: a leader that could hear
	// this host has the map without this node, and its epoch shows in the worker's next
	// report. But for a node that has forgotten what users were told.
	if ctx.Err() != nil || asked && !p.outage() || p.StoreRefuses() && !p.gone.Synced() {
		return wire.CommandBatch{}, ErrNotOwner{}
	}
	if now := p.known(); now.Epoch != m.Epoch {
		return wire.CommandBatch{}, ErrNotOwner{now.Owner(r.Worker)}
	}
	return wire.CommandBatch{Epoch: m.Epoch, Commands: []wire.Command{}}, nil
}

// ask has the leader answer a report, and tells whether it could be asked.
func (p *Part) ask(ctx context.Context, node string, r *wire.Heartbeat, own Leader) (out wire.CommandBatch, asked bool, err error) {
	if node == p.set.Node {
		out, _, err = own.Heartbeat(ctx, r)
		return out, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.set.Report()/3)
	defer cancel()
	a, err := p.links.Beat(ctx, node, r)
	if err != nil {
		return wire.CommandBatch{}, false, err
	}
	if !a.OK {
		return wire.CommandBatch{}, true, control.ErrNotLeading
	}
	for _, f := range a.Learned {
		p.Learn(f)
	}
	return a.Orders, true, nil
}

// outage tells whether the state service refuses all controllers, as far as this one
// can know.
func (p *Part) outage() bool {
	_, alone := p.StoreServesPeerOnly()
	return p.StoreRefuses() && !alone
}

// standsIn tells whether this node answers a host of its own zone in place of its
// owner: the state service refuses this node, so that no new map can reach it, and
// the owner is out of reach. The host's tasks then run on for as long as the zone
// is cut off. Only under a map that lists this node and whose leader reckons with
// this: no lease of such a host is taken to be over meanwhile.
func (p *Part) standsIn(m lead.ShardMap, owner, zone string) bool {
	return m.ZoneFallback && zone != "" && zone == p.set.Zone && slices.Contains(m.Owners, p.set.Node) &&
		p.StoreRefuses() && !p.links.Peers()[owner].Live
}

// Learn takes in a finish.
func (p *Part) Learn(f agent.RuntimeSample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Finish(placement.Arm{Type: f.JobType, Machine: f.InstanceType}, f.Duration, p.now())
	if p.fed++; p.fed%256 == 0 {
		p.table.Trim(p.now())
	}
}

// Choose picks for rooms of this part.
func (p *Part) Choose(o placement.Offer) []placement.Picked {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Choose(o, p.tune, p.now())
}

// Rows shows what was learned.
func (p *Part) Rows() []placement.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Rows(p.now())
}

// Pick has a part's owner pick: this node itself, or a peer.
func (p *Part) Pick(ctx context.Context, node string, o placement.Offer) ([]placement.Picked, error) {
	if node == p.set.Node {
		return p.Choose(o), nil
	}
	return p.links.Pick(ctx, node, &o)
}

// EligibleOwners are the nodes that may own a part: this one, and the peers that are
// linked and that the state service does not refuse while it serves others. A
// node that comes back waits a little, so that hosts do not move to and fro.
func (p *Part) EligibleOwners(have []string) []string {
	fit := []string{p.set.Node}
	for n, s := range p.links.Peers() {
		settled := slices.Contains(have, n) || p.now().Sub(s.Since) > 2*p.set.Report() || len(have) == 0
		if s.Live && settled && !s.Hearing.Deaf && (s.StateAge < refused(p.set) || p.stale() > p.set.Report()/2) {
			fit = append(fit, n)
		}
	}
	slices.Sort(fit)
	return fit
}

// refused is how long without an answer the state service counts as refusing.
func refused(set *settings.Settings) time.Duration { return 5 * set.Report() / 4 }

// StoreServesPeerOnly tells whether the state service refuses this node while it serves a
// linked peer, and names such a peer. When all are refused it is an outage,
// which must be sat out.
func (p *Part) StoreServesPeerOnly() (string, bool) {
	if p.stale() < refused(p.set) {
		return "", false
	}
	for n, s := range p.links.Peers() {
		// Every node asks it at least twice in a report interval, so one
		// that is served shows a fresh answer before long, and one that is
		// not cannot.
		if s.Live && s.StateAge < p.set.Report()/3 {
			return n, true
		}
	}
	return "", false
}

// Linked tells whether any peer is linked.
func (p *Part) Linked() bool {
	for _, s := range p.links.Peers() {
		if s.Live {
			return true
		}
	}
	return false
}

// StoreRefuses tells whether the state service has not answered for long.
func (p *Part) StoreRefuses() bool { return p.stale() >= refused(p.set) }

var _ Leader = (*control.Runner)(nil)

// AsNotOwner takes an ErrNotOwner out of an error.
func AsNotOwner(err error) (ErrNotOwner, bool) {
	var e ErrNotOwner
	ok := errors.As(err, &e)
	return e, ok
}
