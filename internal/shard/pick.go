package shard

import (
	"context"

	"rillflow/internal/agent"
	"rillflow/internal/placement"
)

// finishesPerTrim is the number of finished tasks between two trims of the placement table.
const finishesPerTrim = 256

// Learn adds the run time of a finished task to the shard's placement table.
func (o *Owner) Learn(sample agent.RuntimeSample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	arm := placement.Arm{JobType: sample.JobType, InstanceType: sample.InstanceType}
	o.table.RecordFinish(arm, sample.Duration, o.now())
	if o.finishes++; o.finishes%finishesPerTrim == 0 {
		o.table.Trim(o.now())
	}
}

// Pick returns the picks of a shard's owner, this controller or a peer, for offered capacity.
func (o *Owner) Pick(ctx context.Context, controller string, offer placement.Offer) ([]placement.Pick, error) {
	if controller == o.config.Name {
		return o.PickLocal(offer), nil
	}
	return o.links.Pick(ctx, controller, &offer)
}

// PickLocal picks tasks for offered capacity of this controller's shard.
func (o *Owner) PickLocal(offer placement.Offer) []placement.Pick {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Choose(offer, o.tuning, o.now())
}

// Rates returns the service rates learned by the placement table, for the status page.
func (o *Owner) Rates() []placement.RateRow {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Rates(o.now())
}
