package election

import (
	"context"
	"crypto/rand"
	"fmt"

	"rillflow/internal/dataloss"
	"rillflow/internal/wire"
)

// incarnationPlan is the store incarnation that a candidate is to lead in, together with the
// compares and operations that its campaign transaction needs for it.
type incarnationPlan struct {
	incarnation dataloss.IncarnationState
	compares    []wire.Compare
	operations  []wire.Operation // begin a new incarnation; empty if the present one continues
}

// beginsIncarnation reports whether the term begins a new incarnation.
func (p incarnationPlan) beginsIncarnation() bool { return len(p.operations) > 0 }

// chooseIncarnation reads the store's incarnation and decides whether a new leader continues
// it or begins another. stored is the shard map in the store, epoch the one to campaign with.
func (e *Elector) chooseIncarnation(
	ctx context.Context, stored ShardMap, epoch uint64,
) (incarnationPlan, error) {
	present, err := dataloss.Read(ctx, e.store)
	if err != nil {
		return incarnationPlan{}, err
	}
	suspected := e.dataLossSuspected(present)
	compare, exists := present.Compare()
	if exists && !suspected && stored.Epoch >= e.highestEpoch() {
		return incarnationPlan{incarnation: present, compares: []wire.Compare{compare}}, nil
	}
	next := e.newIncarnation(stored, epoch, exists || suspected)
	create, err := next.CreateOperation()
	if err != nil {
		return incarnationPlan{}, fmt.Errorf("election: begin store incarnation: %w", err)
	}
	plan := incarnationPlan{
		incarnation: dataloss.IncarnationState{Incarnation: next, Phase: next.InitialPhase},
		operations:  []wire.Operation{create},
	}
	if exists {
		plan.compares = append(plan.compares, compare)
		plan.operations = append(plan.operations, present.DeleteOperation())
	}
	return plan, nil
}

// dataLossSuspected reports whether data of the present incarnation may have been lost: this
// controller suspects this incarnation, or the store no longer holds any, or it holds an
// older one than the controller last saw.
func (e *Elector) dataLossSuspected(present dataloss.IncarnationState) bool {
	suspicion := e.detector.Suspicion()
	known := e.detector.Current()
	switch {
	case present.ID == "" && known.ID != "":
		return true
	case present.ID != known.ID && present.Epoch < known.Epoch:
		return true
	}
	return suspicion.Active && (present.ID == "" || suspicion.IncarnationID == present.ID)
}

// newIncarnation returns a new incarnation that begins at an epoch. Data counts as lost
// unless the store looks new, or its shard map was written by a version without incarnations
// (before 0.5).
func (e *Elector) newIncarnation(stored ShardMap, epoch uint64, lost bool) dataloss.Incarnation {
	next := dataloss.Incarnation{
		ID:           rand.Text(),
		InitialPhase: dataloss.PhaseRecovering,
		DataLost:     true,
		Epoch:        epoch,
	}
	switch {
	case lost || stored.Incarnation != "" || e.highestEpoch() > stored.Epoch:
	case stored.Epoch > 0:
		next.InitialPhase, next.DataLost = dataloss.PhaseComplete, false
	case e.remembersIncarnation():
	default:
		next.InitialPhase, next.DataLost = dataloss.PhaseProvisional, false
	}
	return next
}
