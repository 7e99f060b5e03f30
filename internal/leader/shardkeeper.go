package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"rillflow/internal/agent"
	"rillflow/internal/election"
	"rillflow/internal/placement"
)

// Shards are the controllers that share the workers among them, this one included.
type Shards interface {
	// Pick has a shard owner pick tasks for the workers it is offered.
	Pick(ctx context.Context, node string, o placement.Offer) ([]placement.Pick, error)
	// Learn takes in how long a task ran on a worker of this controller's own shard.
	Learn(f agent.RuntimeSample)
	// EligibleOwners are the controllers that may own a shard now, given those that do.
	EligibleOwners(have []string) []string
	// StoreServesPeerOnly tells whether the store refuses this controller but serves a peer,
	// and which.
	StoreServesPeerOnly() (string, bool)
	// StoreRefuses tells whether the store has not answered for long.
	StoreRefuses() bool
	// PeersHearNoWorkers tells whether peers are linked, and none of them hears any worker either.
	PeersHearNoWorkers() bool
}

// shardKeeper keeps the shard map and the epoch up to date.
type shardKeeper struct {
	*termScope
	registry *workerRegistry
}

// raiseEpochs moves the epoch on, when a command of unknown fate must be fenced off
// or the hosts are to be parted among others.
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
		if err == nil {
			k.mu.Lock()
			shardMap := k.leadership.ShardMap()
			for _, worker := range k.workers {
				k.registry.assignOwner(worker, shardMap)
			}
			k.mu.Unlock()
		}
		// At most one in a report interval: each makes every worker report.
		if !sleep(ctx, k.settings.Report()) {
			return ctx.Err()
		}
	}
}

// watchShardOwners has the hosts parted anew when a node comes or goes, and hands over when
// the state service refuses this node alone. A term that was given up goes on until the
// next one is known, or, should nobody else lead, until a quarter of a lease after the state service
// could have had one.
func (k *shardKeeper) watchShardOwners(ctx context.Context) error {
	refusedAt := k.startedAt
	for sleep(ctx, k.settings.Report()/6) {
		now := k.now()
		if shardMap := k.elector.ShardMap(); shardMap.Epoch > k.leadership.Epoch() && shardMap.Leader != k.settings.Node {
			return fmt.Errorf("%w: %s leads under epoch %d", election.ErrDeposed, shardMap.Leader, shardMap.Epoch)
		}
		if k.shards.StoreRefuses() {
			refusedAt = now
		}
		if since, ok := k.leadership.SteppedDown(); ok {
			if now.Sub(since) > k.settings.Lease()/4 && now.Sub(refusedAt) > k.settings.Lease()/4 {
				return errors.New("control: resigned, and nobody else leads")
			}
			continue
		}
		if peer, alone := k.shards.StoreServesPeerOnly(); alone {
			k.elector.StepDown(k.settings.Lease()/4, "the state service serves "+peer+" but not this node")
			continue
		}
		owners := k.leadership.ShardMap().Owners
		// A raise without an answer may have been carried out late: owners then know
		// its epoch, and so do workers, whose reports this leader would turn away.
		if !slices.Equal(owners, k.shards.EligibleOwners(owners)) || k.elector.ShardMap().Epoch > k.leadership.Epoch() {
			notify(k.epochSignal)
		}
	}
	return ctx.Err()
}
