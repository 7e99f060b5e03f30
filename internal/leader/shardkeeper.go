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

// Shards are the controllers that share the workers among them, this one included.
type Shards interface {
	// Pick has a shard owner pick tasks for the workers it is offered.
	Pick(ctx context.Context, owner string, offer placement.Offer) ([]placement.Pick, error)
	// Learn takes in how long a task ran on a worker of this controller's own shard.
	Learn(sample agent.RuntimeSample)
	// EligibleOwners are the controllers that may own a shard now, given those that do.
	EligibleOwners(owners []string) []string
	// StoreServesPeerOnly tells whether the store refuses this controller but serves a peer,
	// and which.
	StoreServesPeerOnly() (string, bool)
	// StoreRefuses tells whether the store has not answered for long.
	StoreRefuses() bool
	// PeersHearNoWorkers tells whether peers are linked, and none of them hears any worker either.
	PeersHearNoWorkers() bool
}

// errNoSuccessor ends a term that was given up when no other controller took over.
var errNoSuccessor = errors.New("leader: stepped down, and no other controller leads")

// shardKeeper keeps the epoch and the shard map up to date, and ends the term when another
// controller leads or should. Its loops are raiseEpochs and watchShardOwners. Who owns
// a worker's shard is changed under mu; the epoch is the leadership's.
type shardKeeper struct {
	*termScope
	registry *workerRegistry
}

// raiseEpochs raises the epoch when a command of unknown fate must be fenced off
// or the workers are to be divided among other controllers.
func (k *shardKeeper) raiseEpochs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.epochSignal:
		}
		err := k.leadership.RaiseEpoch(ctx, k.shards.EligibleOwners(k.leadership.ShardMap().Owners))
		if errors.Is(err, election.ErrDeposed) {
			return err
		}
		if err == nil { // else it is asked for again by whoever needs it
			k.mu.Lock()
			shardMap := k.leadership.ShardMap()
			for _, worker := range k.workers {
				k.registry.assignOwner(worker, shardMap)
			}
			k.mu.Unlock()
		}
		// At most once in a heartbeat interval: each makes every worker report.
		if !retry.Sleep(ctx, k.settings.HeartbeatInterval()) {
			return ctx.Err()
		}
	}
}

// watchShardOwners asks for a new shard map when a controller comes or goes, and steps down
// when the store refuses this controller alone. A term that was given up goes on until the
// next one is known or, should nobody else lead, until a quarter of a lease after the store
// could have had one.
func (k *shardKeeper) watchShardOwners(ctx context.Context) error {
	refusedAt := k.startedAt
	for retry.Sleep(ctx, k.monitorInterval()) {
		now := k.now()
		known := k.elector.ShardMap()
		if known.Epoch > k.leadership.Epoch() && known.Leader != k.settings.Name {
			return fmt.Errorf("%w: %s leads under epoch %d", election.ErrDeposed, known.Leader, known.Epoch)
		}
		if k.shards.StoreRefuses() {
			refusedAt = now
		}
		if since, ok := k.leadership.SteppedDown(); ok {
			if now.Sub(since) > k.successorPatience() && now.Sub(refusedAt) > k.successorPatience() {
				return errNoSuccessor
			}
			continue
		}
		if peer, alone := k.shards.StoreServesPeerOnly(); alone {
			k.elector.StepDown(k.successorPatience(), "the store serves "+peer+" but not this controller")
			continue
		}
		// A raise without an answer may have been carried out late: shard owners then know
		// its epoch, and so do workers, whose heartbeats this leader would turn away.
		owners := k.leadership.ShardMap().Owners
		if !slices.Equal(owners, k.shards.EligibleOwners(owners)) ||
			k.elector.ShardMap().Epoch > k.leadership.Epoch() {
			notify(k.epochSignal)
		}
	}
	return ctx.Err()
}
