package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/election"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// While there are always urgent changes to write, the others still have their turn.
func TestIdleWritesHaveTheirTurn(t *testing.T) {
	leader := newTestTerm(t)
	leader.leadership = &fakeLeadership{election.ShardMap{Epoch: 1}}
	at := now
	leader.now = func() time.Time { return at }
	leader.settings.Facts.Store = settings.StoreLimits{WriteRPS: 1000, TxnOps: 4, ValueKB: 16}
	leader.store = kvstore.New(kvstore.Options{
		RequestsPerSecond: 1000, Limits: kvstore.Limits{WritesPerSecond: 1000, MaxValueBytes: 16 << 10},
	})
	finishing := leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, TaskCount: 9, CPUs: 1})
	claim := func(job *ledger.Job) *ledger.Claim {
		claimed, err := leader.jobs.Claim(job, "h0", 1, "a")
		if err != nil {
			t.Fatal(err)
		}
		return claimed
	}
	finished := claim(finishing)
	commit := func() []string {
		batch, err := leader.claimWriter.nextAuditedBatch()
		if err != nil {
			t.Fatalf("no batch: %v", err)
		}
		leader.jobs.BatchCommitted(batch.Batch, 5)
		return batch.JobIDs()
	}
	commit()
	leader.jobs.Finish(finished)
	first := 0
	for i := range 20 {
		urgent := leader.addTestJob(fmt.Sprint("req-1", i), wire.Job{Kind: wire.KindArray, TaskCount: 1, CPUs: 0.1})
		claim(urgent)
		at = at.Add(leader.settings.HeartbeatInterval() / 8)
		if refs := commit(); refs[0] == "req-1" {
			first = i
			break
		}
	}
	if first == 0 {
		t.Error("a finish is never written, or before what is urgent")
	}
}
