package leader

import (
	"context"
	"fmt"
	"strings"

	"rillflow/internal/dataloss"
	"rillflow/internal/ledger"
	"rillflow/internal/recovery"
	"rillflow/internal/replica"
	"rillflow/internal/wire"
)

// mergeSources merges the remaining contents of the store with those of all replicas, and passes
// the writes that restore the lost data to the recovery.
func (l *loader) mergeSources(ctx context.Context, phase dataloss.Phase, state *loadedState) (recovery.Result, error) {
	stored, err := l.storeSource(ctx, state)
	if err != nil {
		return recovery.Result{}, err
	}
	progress := &recoveryProgress{full: phase == dataloss.PhaseRecovering}
	progress.exact = progress.full && l.replicaHoldsStartedClaims()
	replicas, missingPeers := l.replicaSources(ctx, progress.full)
	writer := fmt.Sprintf("%s.%d.r", l.settings.Name, l.firstEpoch)
	merged, err := recovery.Merge(append(replicas, stored), writer, l.baseAttempt(), l.store.MaxValueBytes())
	if err != nil {
		return merged, err
	}
	progress.pending, progress.recovered = merged.Writes, merged.Recovered
	progress.missingPeers, progress.damagedKeys = missingPeers, merged.Damaged
	progress.orphanedClaims = merged.OrphanedJobs
	l.recovery.progress = progress
	l.log.Warn("recovering lost data", "phase", phase, "sources", len(replicas)+1, "missing_peers", missingPeers,
		"jobs", merged.Recovered.Jobs, "ends", merged.Recovered.Ends, "claims", merged.Recovered.Claims,
		"writes", len(merged.Writes), "exact", progress.exact, "damaged_keys", merged.Damaged,
		"claims_without_job", merged.OrphanedJobs)
	return merged, nil
}

// replicaHoldsStartedClaims reports whether this controller led when the data was lost, so that its
// replica has every claim for which a start command may have been sent.
func (l *loader) replicaHoldsStartedClaims() bool {
	head, previous := l.replica.Head(), l.leadership.PreviousMap()
	return previous.Leader == l.settings.Name && head.Epoch > 0 && l.replica.HoldsAllLaunches()
}

// storeSource returns the remaining contents of the store.
func (l *loader) storeSource(ctx context.Context, state *loadedState) (recovery.Source, error) {
	ended, _, err := l.storeReader.listAll(ctx, ledger.EndedPrefix)
	if err != nil {
		return recovery.Source{}, err
	}
	source := recovery.Source{FromStore: true}
	for _, items := range [][]wire.KeyValue{state.jobs, state.chunks, ended} {
		for _, item := range items {
			source.Values = append(source.Values,
				recovery.Value{Key: item.Key, Data: item.Value, ModRevision: item.ModRevision})
		}
	}
	return source, nil
}

// replicaSources returns the contents of the replicas of this controller and its peers, and the
// peers that could not be read. Unless the recovery is full, they hold only end records: all other
// data is stored again already.
func (l *loader) replicaSources(ctx context.Context, full bool) (sources []recovery.Source, missingPeers []string) {
	collectCtx, cancel := context.WithTimeout(ctx, l.settings.HeartbeatInterval())
	trees, missingPeers := replica.Collect(collectCtx, l.replicaPeers, l.replicaPeers.Followers())
	cancel()
	for _, tree := range append(l.replica.Sources(), trees...) {
		var source recovery.Source
		tree.Root().Walk(func(key, value []byte) bool {
			if full || strings.HasPrefix(string(key), ledger.EndedPrefix) {
				source.Values = append(source.Values, recovery.Value{Key: string(key), Data: value})
			}
			return false
		})
		sources = append(sources, source)
	}
	return sources, missingPeers
}
