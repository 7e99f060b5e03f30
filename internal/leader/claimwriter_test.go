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

// Guards against non-urgent changes that are never written because there are always urgent ones.
func TestNonUrgentWritesAreNotStarved(t *testing.T) {
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
	firstRound := 0 // in which the finish is written
	for i := range 20 {
		urgent := leader.addTestJob(fmt.Sprint("req-1", i), wire.Job{Kind: wire.KindArray, TaskCount: 1, CPUs: 0.1})
		claim(urgent)
		at = at.Add(leader.settings.HeartbeatInterval() / 8)
		if jobIDs := commit(); jobIDs[0] == "req-1" {
			firstRound = i
			break
		}
	}
	if firstRound == 0 {
		t.Error("the finished task was written in round 0, before urgent changes, or not within 20 rounds")
	}
}

// Guards against job ends that wait behind deletions, and against deletions deferred forever.
func TestCleanupIsDeferredWhileEndsWait(t *testing.T) {
	leader := newTestTerm(t)
	at := now
	leader.now = func() time.Time { return at }
	limits := ledger.BatchLimits{MaxOperations: 1 << 20, MaxBytes: 1 << 30, MaxValueBytes: 16 << 10, DeferCleanup: true}
	commit := func() { leader.jobs.BatchCommitted(leader.jobs.NextBatch(limits, at), 5) }
	const chunkTasks = 8 // tasks per chunk of the jobs that addTestJob adds
	finish := func(id string, chunks int) {
		job := leader.addTestJob(id, wire.Job{Kind: wire.KindArray, TaskCount: chunks * chunkTasks, CPUs: 1e-6})
		for range chunks * chunkTasks {
			if _, err := leader.jobs.Claim(job, "h0", 1, "a"); err != nil {
				t.Fatal(err)
			}
		}
		commit()
		for _, claim := range leader.jobs.ClaimsOfJob(job) {
			leader.jobs.Finish(claim)
		}
	}
	for _, tc := range []struct {
		left int // chunks of ended jobs still stored
		want bool
	}{{1, true}, {maxDeferredCleanup - 2, true}, {maxDeferredCleanup, false}} {
		finish(fmt.Sprint("req-", tc.left), tc.left-leader.jobs.WriteBacklog().Cleanup)
		commit()
		waiting := fmt.Sprint("req-waits-", tc.left)
		finish(waiting, 1)
		leader.jobs.BatchFailed(leader.jobs.NextBatch(limits, at))
		if leader.claimWriter.defersCleanup() {
			t.Errorf("with %d chunks left: cleanup is deferred for a job that has just ended", tc.left)
		}
		at = at.Add(leader.claimWriter.maxWriteDelay() + time.Millisecond)
		if got := leader.claimWriter.defersCleanup(); got != tc.want {
			t.Errorf("with %d chunks left: got cleanup deferred %v, want %v", tc.left, got, tc.want)
		}
		leader.jobs.Cancel(waiting)
		at = at.Add(time.Second)
	}
}
