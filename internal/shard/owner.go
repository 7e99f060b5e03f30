// Package shard is the work of a shard owner. The leader assigns each worker to the shard
// of one controller by the shard map. That controller answers the worker's heartbeats,
// learns from its finished tasks, and picks tasks when the leader offers free capacity of
// the shard.
//
// An [Owner] owns the placement table of its shard and the detector that tells whether
// this controller is isolated from its workers, each under a lock of its own; both live
// in memory only. The server calls it for each heartbeat, and the leader's runtime for
// the state of the peers and of the key-value store as seen from here.
//
// It must not start a task or renew a lease by its own decision, but for one case: while
// nobody can lead it lets running tasks continue under the present epoch.
package shard

import (
	"context"
	"sync"
	"time"

	"rillflow/internal/cancellation"
	"rillflow/internal/election"
	"rillflow/internal/peer"
	"rillflow/internal/placement"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// PeerLinks are the links to the other controllers.
type PeerLinks interface {
	// ForwardHeartbeat has the leader, on another controller, answer a heartbeat.
	ForwardHeartbeat(ctx context.Context, controller string, heartbeat *wire.Heartbeat) (peer.HeartbeatAnswer, error)
	// Pick has another shard owner pick tasks for free capacity of its shard.
	Pick(ctx context.Context, controller string, offer *placement.Offer) ([]placement.Pick, error)
	// Peers returns what is known of each peer, by name.
	Peers() map[string]peer.Status
}

// Owner answers for this controller's shard. It is safe for concurrent use.
type Owner struct {
	config           *settings.Settings
	shardMap         func() election.ShardMap
	links            PeerLinks
	sinceStoreAnswer func() time.Duration
	cancellations    *cancellation.Set
	now              func() time.Time
	tuning           placement.Tuning

	isolation isolationDetector

	mu       sync.Mutex // guards table and finishes
	table    *placement.Table
	finishes int // learned so far
}

// New returns the owner of this controller's shard. shardMap returns the latest shard map
// known here, sinceStoreAnswer how long the key-value store has not answered this
// controller. Call SetPeerLinks before any other method.
func New(
	config *settings.Settings,
	shardMap func() election.ShardMap,
	sinceStoreAnswer func() time.Duration,
	cancellations *cancellation.Set,
	now func() time.Time,
) *Owner {
	rule := config.Operator.Placement
	return &Owner{
		config: config, shardMap: shardMap, sinceStoreAnswer: sinceStoreAnswer, cancellations: cancellations, now: now,
		tuning: placement.Tuning{
			AgingThreshold:  time.Duration(rule.WaitAge * float64(config.WorkerLease())),
			NearTie:         rule.NearTie,
			OnDemandPenalty: config.Facts.Workers.HeartbeatSeconds,
		},
		table: placement.NewTable(placement.Params{
			Horizon: rule.Horizon, Bonus: rule.Bonus, RunBound: rule.RunBound,
			Tick: time.Duration(rule.Tick * float64(config.HeartbeatInterval())),
		}, now()),
		isolation: isolationDetector{config: config},
	}
}

// SetPeerLinks sets the links to the peers, which in turn need the owner that they serve.
func (o *Owner) SetPeerLinks(links PeerLinks) { o.links = links }
