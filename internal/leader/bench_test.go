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

// chooser picks by the rule, as the owner of a part does.
type chooser struct {
	idleOwners
	table *placement.Table
}

func (c chooser) Pick(_ context.Context, _ string, o placement.Offer) ([]placement.Pick, error) {
	return c.table.Choose(o, placement.Tuning{AgingThreshold: 2 * time.Minute, NearTie: 0.1}, now), nil
}

// BenchmarkSchedulingPass is one pass of a leader over free hosts of 8 cores and twice
// as many tasks as fit, of four types in jobs of 40.
func BenchmarkSchedulingPass(b *testing.B) {
	for _, hosts := range []int{50, 500} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				r := newTestTerm(b)
				table := placement.NewTable(placement.Params{Horizon: 512, Bonus: 0.05, RunBound: 8, Tick: 12 * time.Second}, now)
				r.leadership, r.shards = &fakeLeadership{election.ShardMap{Epoch: 1, Leader: "n", Owners: []string{"n"}}}, chooser{table: table}
				r.writeSignal, r.heartbeats.latencies = make(chan struct{}, 1), newLatencies()
				r.settings.Facts.Teams[0].CPUs, r.settings.Facts.Teams[0].CPUsMax = 1e6, 1e6
				r.jobs = ledger.New("w", r.settings.Facts.Teams)
				for i := range hosts {
					h := agent.NewWorker(fmt.Sprintf("i-%06d", i))
					h.InstanceType, h.Zone, h.Incarnation, h.LastHeartbeat, h.SeenEpoch = "m", "ab"[i%2:i%2+1], 1, now, 1
					r.addWorker(h)
				}
				for i := range hosts * 8 * 2 / 40 {
					r.addTestJob(fmt.Sprintf("req-%06d", i), wire.Job{
						Class: fmt.Sprint("class-", i%4), Kind: wire.KindArray, Priority: wire.Priorities()[i%3], TaskCount: 40, CPUs: 1, MemoryGB: 1,
						Image: fmt.Sprint("image-", i%4), ImageGB: 1, ExpectedSeconds: 60,
					})
				}
				b.StartTimer()
				r.scheduler.pass(b.Context())
				b.StopTimer()
				if n := len(r.jobs.ClaimedWorkers()); n < hosts {
					b.Fatalf("%d of %d hosts have tasks", n, hosts)
				}
				b.StartTimer()
			}
		})
	}
}
