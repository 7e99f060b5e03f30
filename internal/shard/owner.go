// Package shard is the duty of a host's owner: it answers the reports of the
// hosts in its part, keeps what their finishes teach, and picks by the rule
// when the leader offers it their free rooms.
package shard

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/cancellation"
	"rillflow/internal/election"
	"rillflow/internal/leader"
	"rillflow/internal/peer"
	"rillflow/internal/placement"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// Leader is the leader's side, on this node while it leads.
type Leader interface {
	Heartbeat(ctx context.Context, r *wire.Heartbeat) (wire.CommandBatch, []agent.RuntimeSample, error)
}

// PeerLinks are the links to the other nodes.
type PeerLinks interface {
	Beat(ctx context.Context, node string, r *wire.Heartbeat) (peer.BeatAnswer, error)
	Pick(ctx context.Context, node string, o *placement.Offer) ([]placement.Pick, error)
	Peers() map[string]peer.Status
}

// Owner is this node's part.
type Owner struct {
	config           *settings.Settings
	shardMap         func() election.ShardMap
	links            PeerLinks
	sinceStoreAnswer func() time.Duration // since the state service answered here
	cancellations    *cancellation.Set
	now              func() time.Time
	tuning           placement.Tuning

	isolation isolationDetector

	mu       sync.Mutex
	table    *placement.Table
	finishes int
}

// New makes the part. known tells the latest part map, stale since when the
// state service has not answered, gone what is withdrawn.
func New(config *settings.Settings, shardMap func() election.ShardMap, sinceStoreAnswer func() time.Duration, cancellations *cancellation.Set, now func() time.Time) *Owner {
	placementConfig := config.Operator.Placement
	return &Owner{
		config: config, shardMap: shardMap, sinceStoreAnswer: sinceStoreAnswer, cancellations: cancellations, now: now,
		tuning: placement.Tuning{
			AgingThreshold:  time.Duration(placementConfig.WaitAge * float64(config.Lease())),
			NearTie:         placementConfig.NearTie,
			OnDemandPenalty: config.Facts.Workers.ReportS,
		},
		table: placement.NewTable(placement.Params{
			Horizon: placementConfig.Horizon, Bonus: placementConfig.Bonus, RunBound: placementConfig.RunBound,
			Tick: time.Duration(placementConfig.Tick * float64(config.Report())),
		}, now()),
	}
}

// SetPeerLinks gives the part its links, which in turn need what the part serves.
func (o *Owner) SetPeerLinks(links PeerLinks) { o.links = links }

// NotOwnerError: this node may not answer the host. Steward names who may, or is
// empty.
type NotOwnerError struct{ RedirectTarget string }

func (e NotOwnerError) Error() string { return "part: not the owner; steward " + e.RedirectTarget }

// Heartbeat answers a worker's report. Whoever answers, tasks that this node knows to be
// withdrawn are stopped: a leader that the state service refuses may not know.
func (o *Owner) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat, leader Leader) (wire.CommandBatch, error) {
	commands, err := o.respond(ctx, heartbeat, leader)
	if err == nil {
		commands.Commands = o.cancellations.AmendCommands(heartbeat, commands.Commands)
	}
	return commands, err
}

func (o *Owner) respond(ctx context.Context, heartbeat *wire.Heartbeat, leader Leader) (wire.CommandBatch, error) {
	shardMap := o.shardMap()
	if heartbeat.Epoch > shardMap.Epoch {
		// The worker knows more than this node: an answer would be dropped
		// and hold the worker here while its lease runs out.
		return wire.CommandBatch{}, NotOwnerError{}
	}
	if owner := shardMap.Owner(heartbeat.Worker); owner != o.config.Node && !o.substitutesFor(shardMap, owner, heartbeat.Zone) {
		return wire.CommandBatch{}, NotOwnerError{owner}
	}
	commands, asked, err := o.askLeader(ctx, shardMap.Leader, heartbeat, leader)
	if err == nil {
		return commands, nil
	}
	// The leader cannot be asked, or it gave the lead up, or has not read its ledger,
	// and the state service refuses all, so that nobody can do so before that is over.
	// The worker's tasks run on, under the epoch that stands: a leader that could hear
	// this host has the map without this node, and its epoch shows in the worker's next
	// report. But for a node that has forgotten what users were told.
	if ctx.Err() != nil || asked && !o.isStoreOutage() || o.StoreRefuses() && !o.cancellations.Synced() {
		return wire.CommandBatch{}, NotOwnerError{}
	}
	if current := o.shardMap(); current.Epoch != shardMap.Epoch {
		return wire.CommandBatch{}, NotOwnerError{current.Owner(heartbeat.Worker)}
	}
	return wire.CommandBatch{Epoch: shardMap.Epoch, Commands: []wire.Command{}}, nil
}

// askLeader has the leader answer a report, and tells whether it could be asked.
func (o *Owner) askLeader(ctx context.Context, controller string, heartbeat *wire.Heartbeat, localLeader Leader) (commands wire.CommandBatch, asked bool, err error) {
	if controller == o.config.Node {
		commands, _, err = localLeader.Heartbeat(ctx, heartbeat)
		return commands, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.config.Report()/3)
	defer cancel()
	answer, err := o.links.Beat(ctx, controller, heartbeat)
	if err != nil {
		return wire.CommandBatch{}, false, err
	}
	if !answer.OK {
		return wire.CommandBatch{}, true, leader.ErrNotLeading
	}
	for _, finish := range answer.Learned {
		o.Learn(finish)
	}
	return answer.Orders, true, nil
}

// isStoreOutage tells whether the state service refuses all controllers, as far as this one
// can know.
func (o *Owner) isStoreOutage() bool {
	_, onlyHere := o.StoreServesPeerOnly()
	return o.StoreRefuses() && !onlyHere
}

// substitutesFor tells whether this node answers a host of its own zone in place of its
// owner: the state service refuses this node, so that no new map can reach it, and
// the owner is out of reach. The host's tasks then run on for as long as the zone
// is cut off. Only under a map that lists this node and whose leader reckons with
// this: no lease of such a host is taken to be over meanwhile.
func (o *Owner) substitutesFor(shardMap election.ShardMap, owner, zone string) bool {
	return shardMap.ZoneFallback && zone != "" && zone == o.config.Zone && slices.Contains(shardMap.Owners, o.config.Node) &&
		o.StoreRefuses() && !o.links.Peers()[owner].Live
}

// Learn takes in a finish.
func (o *Owner) Learn(finish agent.RuntimeSample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Finish(placement.Arm{JobType: finish.JobType, InstanceType: finish.InstanceType}, finish.Duration, o.now())
	if o.finishes++; o.finishes%256 == 0 {
		o.table.Trim(o.now())
	}
}

// PickLocal picks for rooms of this part.
func (o *Owner) PickLocal(offer placement.Offer) []placement.Pick {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Choose(offer, o.tuning, o.now())
}

// PlacementRows shows what was learned.
func (o *Owner) PlacementRows() []placement.RateRow {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Rates(o.now())
}

// Pick has a part's owner pick: this node itself, or a peer.
func (o *Owner) Pick(ctx context.Context, controller string, offer placement.Offer) ([]placement.Pick, error) {
	if controller == o.config.Node {
		return o.PickLocal(offer), nil
	}
	return o.links.Pick(ctx, controller, &offer)
}

// EligibleOwners are the nodes that may own a part: this one, and the peers that are
// linked and that the state service does not refuse while it serves others. A
// node that comes back waits a little, so that hosts do not move to and fro.
func (o *Owner) EligibleOwners(have []string) []string {
	fit := []string{o.config.Node}
	for n, s := range o.links.Peers() {
		settled := slices.Contains(have, n) || o.now().Sub(s.Since) > 2*o.config.Report() || len(have) == 0
		if s.Live && settled && !s.Hearing.Deaf && (s.StateAge < storeUnavailableAfter(o.config) || o.sinceStoreAnswer() > o.config.Report()/2) {
			fit = append(fit, n)
		}
	}
	slices.Sort(fit)
	return fit
}

// storeUnavailableAfter is how long without an answer the state service counts as refusing.
func storeUnavailableAfter(config *settings.Settings) time.Duration { return 5 * config.Report() / 4 }

// StoreServesPeerOnly tells whether the state service refuses this node while it serves a
// linked peer, and names such a peer. When all are refused it is an outage,
// which must be sat out.
func (o *Owner) StoreServesPeerOnly() (string, bool) {
	if o.sinceStoreAnswer() < storeUnavailableAfter(o.config) {
		return "", false
	}
	for n, s := range o.links.Peers() {
		// Every node asks it at least twice in a report interval, so one
		// that is served shows a fresh answer before long, and one that is
		// not cannot.
		if s.Live && s.StateAge < o.config.Report()/3 {
			return n, true
		}
	}
	return "", false
}

// HasLivePeer tells whether any peer is linked.
func (o *Owner) HasLivePeer() bool {
	for _, status := range o.links.Peers() {
		if status.Live {
			return true
		}
	}
	return false
}

// StoreRefuses tells whether the state service has not answered for long.
func (o *Owner) StoreRefuses() bool { return o.sinceStoreAnswer() >= storeUnavailableAfter(o.config) }

var _ Leader = (*leader.Runner)(nil)

// AsNotOwner takes an ErrNotOwner out of an error.
func AsNotOwner(err error) (NotOwnerError, bool) {
	var e NotOwnerError
	ok := errors.As(err, &e)
	return e, ok
}
