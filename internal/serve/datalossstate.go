package serve

import (
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/wire"
)

// dataLossState implements intake.DataLossState with the controller's components.
type dataLossState struct{ *controller }

// Fence implements intake.DataLossState.
func (state dataLossState) Fence() ([]wire.Compare, dataloss.Phase, error) {
	return state.dataLoss.Fence(state.elector.LegacyLeader())
}

// SuspectDataLoss implements intake.DataLossState.
func (state dataLossState) SuspectDataLoss(reason string) { state.dataLoss.Suspect(reason) }

// RecheckStore implements intake.DataLossState.
func (state dataLossState) RecheckStore() { state.dataLoss.Recheck() }

// DataLost implements intake.DataLossState.
func (state dataLossState) DataLost() bool { return state.dataLoss.Current().DataLost }

// NeverInitialized implements intake.DataLossState.
func (state dataLossState) NeverInitialized() bool {
	return !state.dataLoss.Suspicion().Active && state.dataLoss.Current().ID == "" && state.replica.Empty()
}

// JustStarted implements intake.DataLossState.
func (state dataLossState) JustStarted() bool {
	return time.Since(state.startedAt) < 2*state.settings.HeartbeatInterval() && !state.ReplicaCurrent()
}

// ReplicaCurrent implements intake.DataLossState.
func (state dataLossState) ReplicaCurrent() bool {
	if state.elector.LegacyLeader() {
		return true // leaders of versions before 0.5 send no replicas
	}
	if state.replica.Head().Incarnation != state.dataLoss.Current().ID {
		return false
	}
	isLeader := state.elector.Leader() == state.settings.Name
	return isLeader || state.replica.HeardLeaderWithin(2*state.settings.HeartbeatInterval())
}
