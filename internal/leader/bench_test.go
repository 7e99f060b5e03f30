package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/election"
	"rillflow/internal/ledger"
	"rillflow/internal/placement"
	"rillflow/internal/wire"
)

// placementRuleOwner picks by the placement rule, as a shard owner does.
type placementRuleOwner struct {
	noopShards
	table *placement.Table
}

func (o placementRuleOwner) Pick(_ context.Context, _ string, offer placement.Offer) ([]placement.Pick, error) {
	return o.table.Choose(offer, placement.Tuning{AgingThreshold: 2 * time.Minute, NearTie: 0.1}, now), nil
}

// newBenchTerm returns a leader term with idle workers of 8 CPUs and twice as many tasks as fit them,
// in jobs of 40 tasks and of four types.
func newBenchTerm(b *testing.B, workers int) *leaderTerm {
	b.Helper()
	leader := newTestTerm(b)
	leader.leadership = &fakeLeadership{election.ShardMap{Epoch: 1, Leader: "n", Owners: []string{"n"}}}
	params := placement.Params{Horizon: 512, Bonus: 0.05, RunBound: 8, Tick: 12 * time.Second}
	leader.shards = placementRuleOwner{table: placement.NewTable(params, now)}
	team := &leader.settings.Facts.Teams[0]
	team.CPUs, team.CPUsMax = 1e6, 1e6
	leader.jobs = ledger.New("w", leader.settings.Facts.Teams)
	for i := range workers {
		worker := agent.NewWorker(fmt.Sprintf("i-%06d", i))
		worker.InstanceType, worker.Zone, worker.Incarnation = "m", []string{"a", "b"}[i%2], 1
		worker.LastHeartbeat, worker.SeenEpoch = now, 1
		leader.addWorker(worker)
	}
	for i := range workers * 8 * 2 / 40 {
		leader.addTestJob(fmt.Sprintf("req-%06d", i), wire.Job{
			Class: fmt.Sprint("class-", i%4), Kind: wire.KindArray, Priority: wire.Priorities()[i%3], TaskCount: 40,
			CPUs: 1, MemoryGB: 1, Image: fmt.Sprint("image-", i%4), ImageGB: 1, ExpectedSeconds: 60,
		})
	}
	return leader
}

// BenchmarkSchedulingPass measures one scheduling pass over idle workers.
func BenchmarkSchedulingPass(b *testing.B) {
	for _, workers := range []int{50, 500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				leader := newBenchTerm(b, workers)
				b.StartTimer()
				leader.scheduler.pass(b.Context())
				b.StopTimer()
				if claimed := len(leader.jobs.ClaimedWorkers()); claimed < workers {
					b.Fatalf("%d of %d workers have tasks", claimed, workers)
				}
				b.StartTimer()
			}
		})
	}
}
