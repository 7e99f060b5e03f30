package leader

import (
	"context"
	"slices"
	"time"

	"rillflow/internal/retry"
)

// pushesPerHeartbeat is how many times per heartbeat interval changes are sent to a follower.
const pushesPerHeartbeat = 12

// replicaFeeder sends this controller's replica to its followers.
//
// Serve runs its loop, feedReplicas, which starts a replication for each follower and is the only
// user of its state. It does not take mu: the replica has its own lock.
type replicaFeeder struct {
	*termScope

	cancels map[string]context.CancelFunc // end the replications, by follower
}

// feedReplicas keeps a replication running for every follower.
func (f *replicaFeeder) feedReplicas(ctx context.Context) error {
	for {
		followers := f.replicaPeers.Followers()
		for _, follower := range followers {
			if f.cancels[follower] == nil {
				f.replicate(ctx, follower)
			}
		}
		for follower, cancel := range f.cancels {
			if !slices.Contains(followers, follower) {
				cancel()
				delete(f.cancels, follower)
			}
		}
		if !retry.Sleep(ctx, f.settings.HeartbeatInterval()/2) {
			return ctx.Err()
		}
	}
}

// replicate starts the replication to a follower.
func (f *replicaFeeder) replicate(ctx context.Context, follower string) {
	replicateCtx, cancel := context.WithCancel(ctx)
	f.cancels[follower] = cancel
	interval := f.settings.HeartbeatInterval() / time.Duration(pushesPerHeartbeat)
	f.group.Go(func() error {
		// Replicate returns only when its context ends, which is no failure of the term.
		_ = f.replica.Replicate(replicateCtx, f.replicaPeers, follower, interval)
		return nil
	})
}
