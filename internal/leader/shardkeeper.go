package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"rillflow/internal/agent"
	"rillflow/internal/election"
	"rillflow/internal/placement"
	"rillflow/internal/retry"
)

// Shards gives access to the controllers that own shards of the workers, this one included.
type Shards interface {
	// Pick asks a shard owner to pick tasks for the workers of an offer.
	Pick(ctx context.Context, owner string, offer placement.Offer) ([]placement.Pick, error)
	// Learn records how long a task ran on a worker of this controller's own shard.
	Learn(sample agent.RuntimeSample)
	// EligibleOwners returns the controllers that may own a shard now, given the current owners.
	EligibleOwners(owners []string) []string
	// StoreServesPeerOnly reports whether the store refuses this controller but serves a peer,
	// and returns the name of that peer.
	StoreServesPeerOnly() (string, bool)
	// StoreRefuses reports whether the store has not answered this controller for a long time.
	StoreRefuses() bool
	// WorkersReachNoPeer reports whether peers are connected and none of them receives requests
	// of workers either.
	WorkersReachNoPeer() bool
}

// errNoSuccessor ends a term that has stepped down when no other controller took over in time.
var errNoSuccessor = errors.New("leader: stepped down, and no other controller leads")

// shardKeeper keeps the epoch and the shard map up to date, and ends the term when another
// controller leads or should lead. Its loops are raiseEpochs and watchShardOwners. It changes the
// shard owners of workers under mu; the epoch is state of the leadership.
type shardKeeper struct {
	*termScope
	registry *workerRegistry
}

// raiseEpochs raises the epoch on request: to fence off commands that may still arrive, or to divide
// the workers among other shard owners.
func (k *shardKeeper) raiseEpochs(ctx context.Context) error {
	for {
		var reason string
		select {
		case <-ctx.Done():
			return ctx.Err()
		case reason = <-k.epochSignal:
		}
		err := k.leadership.RaiseEpoch(ctx, k.shards.EligibleOwners(k.leadership.ShardMap().Owners))
		if errors.Is(err, election.ErrDeposed) {
			return err
		}
		if err == nil {
			k.epochRaised(reason)
		} else { // it is requested again
			k.log.Info("epoch not raised", "epoch", k.leadership.Epoch(), "reason", reason, "err", err)
		}
		// At most once per heartbeat interval: each new epoch makes every worker report.
		if !retry.Sleep(ctx, k.settings.HeartbeatInterval()) {
			return ctx.Err()
		}
	}
}

// epochRaised records a new epoch, and which controllers answer the workers under it.
func (k *shardKeeper) epochRaised(reason string) {
	k.epochRaises.add(reason)
	k.mu.Lock()
	defer k.mu.Unlock()
	shardMap := k.leadership.ShardMap()
	k.log.Info("epoch raised", "epoch", shardMap.Epoch, "reason", reason)
	for _, worker := range k.workers {
		k.registry.assignOwner(worker, shardMap)
	}
}

// watchShardOwners requests a new shard map when the eligible owners change, and steps down when
// the store refuses this controller but serves a peer. A term that has stepped down continues
// until its successor is known or, if there is none, until the store has been available for a
// quarter of a worker lease, in which another controller could have been elected.
func (k *shardKeeper) watchShardOwners(ctx context.Context) error {
	refusedAt := k.startedAt
	for retry.Sleep(ctx, k.monitorInterval()) {
		now := k.now()
		latest := k.elector.ShardMap()
		if latest.Epoch > k.leadership.Epoch() && latest.Leader != k.settings.Name {
			return fmt.Errorf("%w: %s leads under epoch %d", election.ErrDeposed, latest.Leader, latest.Epoch)
		}
		if k.shards.StoreRefuses() {
			refusedAt = now
		}
		if since, ok := k.leadership.SteppedDown(); ok {
			if now.Sub(since) > k.successorTimeout() && now.Sub(refusedAt) > k.successorTimeout() {
				return errNoSuccessor
			}
			continue
		}
		if peer, servesPeerOnly := k.shards.StoreServesPeerOnly(); servesPeerOnly {
			k.elector.StepDown(k.successorTimeout(), "the store serves "+peer+" but not this controller")
			continue
		}
		// A raise of the epoch without a response may have been applied late: shard owners and
		// workers then know the higher epoch, and this leader would reject the workers'
		// heartbeats.
		owners := k.leadership.ShardMap().Owners
		switch {
		case !slices.Equal(owners, k.shards.EligibleOwners(owners)):
			k.requestEpoch(epochForShardOwners)
		case k.elector.ShardMap().Epoch > k.leadership.Epoch():
			k.requestEpoch(epochForLateRaise)
		}
	}
	return ctx.Err()
}
