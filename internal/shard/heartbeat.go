package shard

import (
	"context"
	"fmt"
	"slices"

	"rillflow/internal/agent"
	"rillflow/internal/election"
	"rillflow/internal/leader"
	"rillflow/internal/wire"
)

// leaderTimeoutDivisor divides the heartbeat interval to give the timeout of a heartbeat that
// is forwarded to a leader on another controller.
const leaderTimeoutDivisor = 3

// Leader is the leader's runtime on this controller.
type Leader interface {
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (wire.CommandBatch, []agent.RuntimeSample, error)
}

var _ Leader = (*leader.Runner)(nil)

// NotOwnerError means that this controller must not answer a worker.
type NotOwnerError struct {
	Worker         string
	RedirectTarget string // the controller that may answer it; "" if unknown
	Err            error  // why the leader did not answer; nil if it was not asked
}

func (e *NotOwnerError) Error() string {
	text := "shard: not entitled to answer worker " + e.Worker
	if e.RedirectTarget != "" {
		text += ", owner is " + e.RedirectTarget
	}
	if e.Err != nil {
		text += fmt.Sprintf(": %v", e.Err)
	}
	return text
}

// Unwrap returns the reason why the leader did not answer, or nil if it was not asked.
func (e *NotOwnerError) Unwrap() error { return e.Err }

// Heartbeat answers a worker's heartbeat. Its error is a [*NotOwnerError] if this controller
// must not answer. Every answer, also one that a leader made, stops the tasks of jobs in this
// controller's cancellation set: a leader that the store refuses may lack those cancellations.
func (o *Owner) Heartbeat(
	ctx context.Context, heartbeat *wire.Heartbeat, localLeader Leader,
) (wire.CommandBatch, error) {
	batch, err := o.respond(ctx, heartbeat, localLeader)
	if err == nil {
		batch.Commands = o.cancellations.AmendCommands(heartbeat, batch.Commands)
		batch = agent.FitBatch(batch)
	}
	return batch, err
}

// respond forwards a heartbeat to the leader. If no leader answers, it may extend the leases
// of the worker's tasks under the current epoch, without commands.
func (o *Owner) respond(
	ctx context.Context, heartbeat *wire.Heartbeat, localLeader Leader,
) (wire.CommandBatch, error) {
	shardMap := o.shardMap()
	if heartbeat.Epoch > shardMap.Epoch {
		// The worker has seen a later shard map. It would drop this answer and keep sending
		// heartbeats here until its lease expires.
		return wire.CommandBatch{}, &NotOwnerError{Worker: heartbeat.Worker}
	}
	owner := shardMap.Owner(heartbeat.Worker)
	if owner != o.config.Name && !o.substitutesFor(shardMap, owner, heartbeat.Zone) {
		return wire.CommandBatch{}, &NotOwnerError{Worker: heartbeat.Worker, RedirectTarget: owner}
	}
	batch, leaderReached, err := o.askLeader(ctx, shardMap.Leader, heartbeat, localLeader)
	if err == nil {
		return batch, nil
	}
	if ctx.Err() != nil || !o.mayExtendLeases(leaderReached) {
		return wire.CommandBatch{}, &NotOwnerError{Worker: heartbeat.Worker, Err: err}
	}
	if current := o.shardMap(); current.Epoch != shardMap.Epoch {
		redirect := current.Owner(heartbeat.Worker)
		return wire.CommandBatch{}, &NotOwnerError{Worker: heartbeat.Worker, RedirectTarget: redirect, Err: err}
	}
	return wire.CommandBatch{Epoch: shardMap.Epoch, Commands: []wire.Command{}}, nil
}

// askLeader returns the leader's answer to a heartbeat. reached is false if the leader could
// not be reached.
func (o *Owner) askLeader(
	ctx context.Context, controller string, heartbeat *wire.Heartbeat, localLeader Leader,
) (batch wire.CommandBatch, reached bool, err error) {
	if controller == o.config.Name {
		batch, _, err = localLeader.Heartbeat(ctx, heartbeat)
		return batch, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.config.HeartbeatInterval()/leaderTimeoutDivisor)
	defer cancel()
	answer, err := o.links.ForwardHeartbeat(ctx, controller, heartbeat)
	if err != nil {
		return wire.CommandBatch{}, false, fmt.Errorf("ask leader %s: %w", controller, err)
	}
	if !answer.OK {
		return wire.CommandBatch{}, true, fmt.Errorf("ask leader %s: %w", controller, leader.ErrNotLeading)
	}
	for _, sample := range answer.Samples {
		o.Learn(sample)
	}
	return answer.Commands, true, nil
}

// mayExtendLeases reports whether this controller may let tasks continue under the current
// epoch without an answer from the leader. It may if the leader cannot be reached. It also
// may if the leader has stepped down or has not read the job table yet while the store
// refuses all controllers, so that no controller can lead before the outage ends. If a
// leader answers the worker directly, its shard map does not list this controller, and the
// worker's next heartbeat shows the later epoch. While the store refuses it, a controller
// must also have all cancellations that were acknowledged to users.
func (o *Owner) mayExtendLeases(leaderReached bool) bool {
	if leaderReached && !o.isStoreOutage() {
		return false
	}
	return !o.StoreRefuses() || o.cancellations.Synced()
}

// substitutesFor reports whether this controller answers a worker of its own zone in place
// of the shard owner. It does if the store refuses this controller, so that no new shard map
// can reach it, and the owner is unreachable. The worker's tasks then continue for as long
// as the zone is partitioned. The shard map must list this controller and have ZoneFallback
// set, since a leader that sets it does not regard leases in this zone as expired meanwhile.
func (o *Owner) substitutesFor(shardMap election.ShardMap, owner, zone string) bool {
	return shardMap.ZoneFallback && zone != "" && zone == o.config.Zone &&
		slices.Contains(shardMap.Owners, o.config.Name) &&
		o.StoreRefuses() && !o.links.Peers()[owner].Live
}
