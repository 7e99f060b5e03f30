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

// leaderTimeoutFraction divides the heartbeat interval: a leader on another controller is
// given that long to answer.
const leaderTimeoutFraction = 3

// Leader is the leader's runtime on this controller.
type Leader interface {
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (wire.CommandBatch, []agent.RuntimeSample, error)
}

var _ Leader = (*leader.Runner)(nil)

// NotOwnerError means that this controller may not answer a worker.
type NotOwnerError struct {
	Worker         string
	RedirectTarget string // the controller that may, if it is known
	Err            error  // why the leader did not answer, if it was asked
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

// Unwrap returns why the leader did not answer, if it was asked.
func (e *NotOwnerError) Unwrap() error { return e.Err }

// Heartbeat answers a worker's heartbeat. Its error is a [*NotOwnerError] if this
// controller may not. Whoever made the answer, tasks of jobs that are known here to be
// cancelled are stopped: a leader whom the store refuses may not know of them.
func (o *Owner) Heartbeat(
	ctx context.Context, heartbeat *wire.Heartbeat, localLeader Leader,
) (wire.CommandBatch, error) {
	batch, err := o.respond(ctx, heartbeat, localLeader)
	if err == nil {
		batch.Commands = o.cancellations.AmendCommands(heartbeat, batch.Commands)
	}
	return batch, err
}

// respond has the leader answer a heartbeat, or answers it under the present epoch while
// nobody can lead.
func (o *Owner) respond(
	ctx context.Context, heartbeat *wire.Heartbeat, localLeader Leader,
) (wire.CommandBatch, error) {
	shardMap := o.shardMap()
	if heartbeat.Epoch > shardMap.Epoch {
		// The worker has seen a later shard map. It would drop this answer, and keep coming
		// here until its lease expires.
		return wire.CommandBatch{}, &NotOwnerError{Worker: heartbeat.Worker}
	}
	owner := shardMap.Owner(heartbeat.Worker)
	if owner != o.config.Name && !o.substitutesFor(shardMap, owner, heartbeat.Zone) {
		return wire.CommandBatch{}, &NotOwnerError{Worker: heartbeat.Worker, RedirectTarget: owner}
	}
	batch, asked, err := o.askLeader(ctx, shardMap.Leader, heartbeat, localLeader)
	if err == nil {
		return batch, nil
	}
	if ctx.Err() != nil || !o.mayExtend(asked) {
		return wire.CommandBatch{}, &NotOwnerError{Worker: heartbeat.Worker, Err: err}
	}
	if current := o.shardMap(); current.Epoch != shardMap.Epoch {
		redirect := current.Owner(heartbeat.Worker)
		return wire.CommandBatch{}, &NotOwnerError{Worker: heartbeat.Worker, RedirectTarget: redirect, Err: err}
	}
	return wire.CommandBatch{Epoch: shardMap.Epoch, Commands: []wire.Command{}}, nil
}

// askLeader has the leader answer a heartbeat. asked is false if it could not be reached.
func (o *Owner) askLeader(
	ctx context.Context, controller string, heartbeat *wire.Heartbeat, localLeader Leader,
) (batch wire.CommandBatch, asked bool, err error) {
	if controller == o.config.Name {
		batch, _, err = localLeader.Heartbeat(ctx, heartbeat)
		return batch, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.config.HeartbeatInterval()/leaderTimeoutFraction)
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

// mayExtend reports whether this controller may let tasks run on under the present epoch
// though no leader answered: the leader cannot be reached; or it stepped down, or has not
// read the job table yet, and the store refuses all controllers, so that nobody can lead
// before that is over. A leader that hears the worker itself has a map without this
// controller, and its epoch shows in the worker's next heartbeat. During an outage of the
// store a controller must also know all cancellations that users were told of.
func (o *Owner) mayExtend(asked bool) bool {
	if asked && !o.isStoreOutage() {
		return false
	}
	return !o.StoreRefuses() || o.cancellations.Synced()
}

// substitutesFor reports whether this controller answers a worker of its own zone in
// place of the shard owner: the store refuses this controller, so that no new shard map
// can reach it, and the owner is out of reach. The worker's tasks then run on for as long
// as the zone is cut off. That needs a map that lists this controller and whose leader
// allows for it: such a leader takes no lease in this zone for expired meanwhile.
func (o *Owner) substitutesFor(shardMap election.ShardMap, owner, zone string) bool {
	return shardMap.ZoneFallback && zone != "" && zone == o.config.Zone &&
		slices.Contains(shardMap.Owners, o.config.Name) &&
		o.StoreRefuses() && !o.links.Peers()[owner].Live
}
