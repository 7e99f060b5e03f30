// Package shard implements the shard owner. The shard map of the leader assigns each worker
// to the shard of one controller. That controller answers the worker's heartbeats, records
// the run times of its finished tasks, and picks tasks when the leader offers free capacity
// of the shard.
//
// An [Owner] owns the placement table of its shard and the detector of isolation from its
// workers, each with a lock of its own; both exist in memory only. The server calls it for
// each heartbeat; the leader's runtime queries it for the state of the peers and of the
// key-value store as seen by this controller.
//
// The package must not start a task or renew a lease by its own decision, with one
// exception: while no controller can lead, it lets running tasks continue under the current
// epoch.
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
	// ForwardHeartbeat forwards a heartbeat to the leader on another controller.
	ForwardHeartbeat(ctx context.Context, controller string, heartbeat *wire.Heartbeat) (peer.HeartbeatAnswer, error)
	// Pick requests another shard owner's picks for free capacity of its shard.
	Pick(ctx context.Context, controller string, offer *placement.Offer) ([]placement.Pick, error)
	// Peers returns the status of each peer, by name.
	Peers() map[string]peer.Status
}

// Owner is the shard owner of this controller. It is safe for concurrent use.
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
	finishes int // recorded so far
}

// New returns the owner of this controller's shard. shardMap returns the latest shard map
// that this controller has, sinceStoreAnswer the time since the key-value store last
// answered it. SetPeerLinks must be called before any other method.
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

// SetPeerLinks sets the links to the peers. New does not take them because creating the links
// requires the owner.
func (o *Owner) SetPeerLinks(links PeerLinks) { o.links = links }
