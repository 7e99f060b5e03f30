package leader

import (
	"context"
	"errors"
	"testing"

	"rillflow/internal/placement"
)

// partitionedOwners is a Shards in which one shard owner is unreachable.
type partitionedOwners struct {
	noopShards
	unreachable     string
	requestedOwners []string
}

func (p *partitionedOwners) Pick(_ context.Context, owner string, offer placement.Offer) ([]placement.Pick, error) {
	p.requestedOwners = append(p.requestedOwners, owner)
	if owner == p.unreachable {
		return nil, errors.New("not connected")
	}
	var picks []placement.Pick
	for _, target := range offer.Candidates {
		picks = append(picks, placement.Pick{Worker: target.Worker, JobID: "req-1"})
	}
	return picks, nil
}

// TestPicksWhenOwnerUnreachable guards against workers that stay idle while their shard owner is
// unreachable: the leader must pick for them until the shard map has a new owner.
func TestPicksWhenOwnerUnreachable(t *testing.T) {
	leader := newTestTerm(t)
	owners := &partitionedOwners{unreachable: "far"}
	leader.shards = owners
	picks := leader.scheduler.offers.requestPicks(t.Context(), map[string]*placement.Offer{
		"far": {Candidates: []placement.Candidate{{Worker: "h0"}, {Worker: "h1"}}},
	})
	if len(picks) != 2 || len(owners.requestedOwners) != 2 || owners.requestedOwners[1] != leader.settings.Name {
		t.Errorf("got %d picks, requested from %v; want 2 picks, requested from far, then %s",
			len(picks), owners.requestedOwners, leader.settings.Name)
	}
}
