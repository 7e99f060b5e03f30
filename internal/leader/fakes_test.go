package leader

import (
	"context"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/dataloss"
	"rillflow/internal/election"
	"rillflow/internal/placement"
	"rillflow/internal/wire"
)

// fakeLeadership is an uncontested leadership with a fixed shard map.
type fakeLeadership struct{ shards election.ShardMap }

func (f *fakeLeadership) Epoch() uint64 { return f.shards.Epoch }

func (f *fakeLeadership) ShardMap() election.ShardMap { return f.shards }

func (f *fakeLeadership) Compares() []wire.Compare { return []wire.Compare{{}} }

func (f *fakeLeadership) Incarnation() dataloss.IncarnationState {
	return dataloss.IncarnationState{Phase: dataloss.PhaseComplete}
}

func (f *fakeLeadership) CheckCompares(failed []string) error {
	if election.LeaderCompareFailed(failed) {
		return election.ErrDeposed
	}
	return nil
}

func (f *fakeLeadership) SteppedDown() (time.Time, bool) { return time.Time{}, false }

func (f *fakeLeadership) PreviousMap() election.ShardMap { return election.ShardMap{} }

func (f *fakeLeadership) AdvancePhase(context.Context, dataloss.Phase) error { return nil }

func (f *fakeLeadership) LeaseHeld(time.Time) bool { return true }

func (f *fakeLeadership) RaiseEpoch(context.Context, []string) error { return nil }

// noopShards implements Shards and does nothing.
type noopShards struct{}

func (noopShards) Learn(agent.RuntimeSample) {}

func (noopShards) Pick(context.Context, string, placement.Offer) ([]placement.Pick, error) {
	return nil, nil
}

func (noopShards) EligibleOwners(owners []string) []string { return owners }

func (noopShards) StoreServesPeerOnly() (string, bool) { return "", false }

func (noopShards) StoreRefuses() bool { return false }

func (noopShards) WorkersReachNoPeer() bool { return false }
