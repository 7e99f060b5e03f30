package ledger

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// The claim of a finished task must remain until the finish is durable: only then may its worker be
// told to forget the task.
func TestClaimStaysUntilFinishIsDurable(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindArray, 1, 1), 7)
	claim, _ := table.Claim(job, "h", 1, "x")
	batch := table.NextBatch(batchLimits(16), now)
	if result := table.BatchCommitted(batch, 8); len(result.Claims) != 1 || !claim.Committed {
		t.Fatalf("claims made durable %v, committed %v; want one, true", result.Claims, claim.Committed)
	}
	table.Finish(claim)
	if table.ClaimsOnWorker("h")[claim.Task()] == nil {
		t.Fatal("the claim was removed before its finish was durable")
	}
	batch = table.NextBatch(batchLimits(16), now)
	var keys []string
	for _, operation := range batch.Operations {
		keys = append(keys, operation.Put+operation.Delete)
	}
	if got := strings.Join(keys, " "); got != "c/req-1/0 j/req-1 d/req-1" {
		t.Errorf("wrote %s, want c/req-1/0 j/req-1 d/req-1", got)
	}
	if result := table.BatchCommitted(batch, 9); len(result.Finished) != 1 || len(result.Ended) != 1 {
		t.Errorf("result %+v, want one finish and one end", result)
	}
	if table.ClaimsOnWorker("h") != nil || table.Job("req-1") != nil {
		t.Error("the job or its claim remains after its end is durable")
	}
}

// Guards against a worker that forgets how an attempt ended while the store still has its claim: a new leader
// would start it again, beside the claims that took its place in the team's quota.
func TestFreedClaimMayBeStoredUntilWritten(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindArray, 2, 1), 7)
	claim, _ := table.Claim(job, "h", 1, "x")
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 8)
	check := func(step string, want bool) {
		t.Helper()
		if got := table.MayBeStored(claim.Task()); got != want {
			t.Errorf("%s: may be stored %v, want %v", step, got, want)
		}
	}
	check("claimed", false)
	table.Free(claim, now)
	check("freed", true)
	batch := table.NextBatch(batchLimits(16), now)
	check("written, not answered", true)
	table.BatchFailed(batch)
	check("not committed", true)
	batch = table.NextBatch(batchLimits(16), now)
	table.BatchCommitted(batch, 9)
	check("committed", false)
	for _, task := range []Task{{JobID: "req-1", Index: 1}, {JobID: "req-9"}} {
		if table.MayBeStored(task) {
			t.Errorf("%v: may be stored, although it was never freed", task)
		}
	}
}

// A claim must not become durable once its job is cancelled: the compare of the live key fails the
// batch, and the claim, whose task was never started, is removed.
func TestCancelBeforeCommit(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindService, 2, 1), 7)
	if _, err := table.Claim(job, "h", 1, "x"); err != nil {
		t.Fatal(err)
	}
	batch := table.NextBatch(batchLimits(16), now)
	if !slices.Contains(batch.Compares, wire.Compare{Key: "j/req-1", ModRevision: 7}) {
		t.Fatal("the batch does not compare the job's live key")
	}
	table.Cancel("req-1")
	if len(table.ClaimsOnWorker("h")) != 1 {
		t.Fatal("a claim with a write in flight was removed on cancellation")
	}
	table.BatchFailed(batch)
	if len(table.ClaimsOnWorker("h")) != 0 || table.Usage("b").CPUs != 0 {
		t.Error("the claim of a cancelled job remains after its write failed")
	}
}

// After a cancellation, a claim whose task may have been started must remain until there is proof
// that the task no longer runs.
func TestCancelAfterStart(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindService, 1, 1), 7)
	claim, _ := table.Claim(job, "h", 1, "x")
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 8)
	claim.StartSent = true
	table.Cancel("req-1")
	if table.Usage("b").CPUs != 1 {
		t.Fatal("a task that may still run no longer counts in the quota")
	}
	table.Free(claim, now)
	batch := table.NextBatch(batchLimits(16), now)
	if batch == nil || len(batch.Operations) != 1 || batch.Operations[0].Delete != "c/req-1/0" {
		t.Fatalf("batch %+v, want only the deletion of c/req-1/0", batch)
	}
	table.BatchCommitted(batch, 9)
	if table.Job("req-1") != nil {
		t.Error("the cancelled job remains in the table after its chunk was deleted")
	}
}

// A job that is cancelled after its last task finished, but before that was durable, must be removed
// completely.
func TestCancelWhileFinishing(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindArray, 1, 1), 7)
	claim, _ := table.Claim(job, "h", 1, "x")
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 8)
	table.Finish(claim)
	batch := table.NextBatch(batchLimits(16), now)
	table.BatchFailed(batch)
	table.Cancel("req-1")
	for range 3 {
		if batch := table.NextBatch(batchLimits(16), now); batch != nil {
			table.BatchCommitted(batch, 10)
		}
	}
	if table.Job("req-1") != nil || table.Usage("b").CPUs != 0 {
		t.Error("the job or its quota usage remains")
	}
}

// Batches must keep within their limits, and all claims must become durable in the end.
func TestBatchLimits(t *testing.T) {
	table := New("w", []settings.Team{{Name: "a", CPUsMax: 1e6}})
	job := table.AddJob("req-1", newJobRecord("a", wire.KindArray, 1000, 1), 7)
	for range 1000 {
		table.Claim(job, "host-with-a-name", 1, "zone-with-a-name")
	}
	limits := BatchLimits{MaxOperations: 12, MaxBytes: 8 << 10, MaxValueBytes: 16 << 10}
	seen := 0
	for batch := table.NextBatch(limits, now); batch != nil; batch = table.NextBatch(limits, now) {
		if len(batch.Operations) > limits.MaxOperations {
			t.Fatalf("%d operations in a batch, want at most %d", len(batch.Operations), limits.MaxOperations)
		}
		for _, operation := range batch.Operations {
			if len(operation.Value) > 1<<10 {
				t.Fatalf("a value of %d bytes, want at most 1024", len(operation.Value))
			}
		}
		seen += len(table.BatchCommitted(batch, 9).Claims)
	}
	if seen != 1000 {
		t.Errorf("%d claims became durable, want 1000", seen)
	}
}

// If a batch cannot hold all changes, claims are written before finishes, since tasks wait for them.
func TestClaimsWrittenFirst(t *testing.T) {
	table := New("w", testTeams())
	record := newJobRecord("b", wire.KindArray, 4, 1)
	record.ChunkTasks = 4
	old := table.AddJob("req-1", record, 1)
	claim, err := table.Claim(old, "h1", 1, "a")
	if err != nil {
		t.Fatal(err)
	}
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 2)
	table.Finish(claim)
	if table.HasUrgentWrites() {
		t.Error("a finish without an end counts as urgent")
	}
	young := table.AddJob("req-2", record, 3)
	if _, err := table.Claim(young, "h1", 1, "a"); err != nil {
		t.Fatal(err)
	}
	if !table.HasUrgentWrites() {
		t.Error("a claim does not count as urgent")
	}
	if batch := table.NextBatch(batchLimits(1), now); len(batch.JobIDs()) != 1 || batch.JobIDs()[0] != "req-2" {
		t.Errorf("the first batch writes %v, want the claim of req-2", batch.JobIDs())
	}
}

// Changes are written in order of priority: ends of jobs that others depend on, claims, other ends,
// finishes. An urgent-only batch contains no finishes, and a non-urgent-only batch nothing else.
func TestWriteOrder(t *testing.T) {
	table := newDependencyTable("1", "2", "3 1")
	unfinished := newJobRecord("b", wire.KindArray, 3, 1)
	unfinished.ChunkTasks = 4
	table.AddJob("req-4", unfinished, 9)
	held := map[string]*Claim{}
	for _, jobID := range []string{"req-4", "req-2", "req-1"} {
		claim, err := table.Claim(table.Job(jobID), "h", 1, "x")
		if err != nil {
			t.Fatal(err)
		}
		held[jobID] = claim
	}
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 10)
	for _, jobID := range []string{"req-4", "req-2", "req-1"} {
		table.Finish(held[jobID])
	}
	table.AddJob("req-5", newJobRecord("b", wire.KindArray, 1, 1), 12)
	if _, err := table.Claim(table.Job("req-5"), "h", 1, "x"); err != nil {
		t.Fatal(err)
	}
	nonUrgent := batchLimits(3)
	nonUrgent.NonUrgentOnly = true
	batch := table.NextBatch(nonUrgent, now)
	if got := fmt.Sprint(batch.JobIDs()); got != "[req-4]" {
		t.Errorf("a non-urgent batch writes %s, want [req-4]", got)
	}
	table.BatchFailed(batch)
	var got []string
	urgent := batchLimits(3)
	urgent.UrgentOnly = true
	for table.HasUrgentWrites() {
		batch := table.NextBatch(urgent, now)
		got = append(got, batch.JobIDs()...)
		table.BatchCommitted(batch, 11)
	}
	if fmt.Sprint(got) != "[req-1 req-5 req-2]" {
		t.Errorf("written %v, want the end that others wait for, the claim, the other end, and no finish", got)
	}
	if batch := table.NextBatch(batchLimits(3), now); batch == nil || batch.JobIDs()[0] != "req-4" {
		t.Error("the finish is not written by a batch without restriction")
	}
}

// The write backlog must report since when the oldest end waits, or long delays of ends would go
// unnoticed.
func TestWriteBacklogReportsOldestEnd(t *testing.T) {
	table := New("w", testTeams())
	var claims []*Claim
	for _, jobID := range []string{"req-1", "req-2"} {
		claim, err := table.Claim(table.AddJob(jobID, newJobRecord("b", wire.KindArray, 1, 1), 7), "h", 1, "x")
		if err != nil {
			t.Fatal(err)
		}
		claims = append(claims, claim)
	}
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 8)
	for i, claim := range claims {
		table.Finish(claim)
		table.BatchFailed(table.NextBatch(batchLimits(16), now.Add(time.Duration(1+2*i)*time.Second)))
	}
	if _, err := table.Claim(table.AddJob("req-3", newJobRecord("b", wire.KindArray, 1, 1), 7), "h", 1, "x"); err != nil {
		t.Fatal(err)
	}
	want := WriteBacklog{Claims: 1, Ends: 2, OldestEnd: now.Add(time.Second)}
	if got := table.WriteBacklog(); got != want {
		t.Errorf("backlog %+v, want %+v", got, want)
	}
}

// deferredLimits returns the limits of a batch while cleanup is deferred.
func deferredLimits(operations int) BatchLimits {
	limits := batchLimits(operations)
	limits.DeferCleanup = true
	return limits
}

// addClaimedJobs adds jobs of one task each, with claims committed at revision 8.
func addClaimedJobs(t *testing.T, table *Table, jobs int) {
	t.Helper()
	for i := range jobs {
		job := table.AddJob(fmt.Sprint("req-", i), newJobRecord("b", wire.KindArray, 1, 1), 7)
		if _, err := table.Claim(job, "h", 1, "x"); err != nil {
			t.Fatal(err)
		}
	}
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 8)
}

// batchKeys returns the keys that a batch writes, in order.
func batchKeys(batch *Batch) string {
	if batch == nil {
		return ""
	}
	var keys []string
	for _, operation := range batch.Operations {
		keys = append(keys, operation.Put+operation.Delete)
	}
	return strings.Join(keys, " ")
}

// Ends of jobs must not wait behind the deletion of chunks: while cleanup is deferred an end takes
// two operations, and the stored chunk is deleted later at the revision of its last write.
func TestEndsDoNotWaitForCleanup(t *testing.T) {
	table := New("w", testTeams())
	addClaimedJobs(t, table, 3)
	for i := range 3 {
		table.Finish(table.ClaimsOnWorker("h")[Task{fmt.Sprint("req-", i), 0}])
	}
	batch := table.NextBatch(deferredLimits(5), now)
	if got := batchKeys(batch); got != "j/req-0 d/req-0 j/req-1 d/req-1" {
		t.Errorf("wrote %s, want the ends of req-0 and req-1", got)
	}
	if result := table.BatchCommitted(batch, 9); len(result.Ended) != 2 || len(result.Finished) != 2 {
		t.Errorf("result %+v, want two ends and two finishes", result)
	}
	if len(table.ClaimsOnWorker("h")) != 1 {
		t.Errorf("%d claims on the worker, want only that of req-2", len(table.ClaimsOnWorker("h")))
	}
	table.BatchCommitted(table.NextBatch(deferredLimits(5), now), 10)
	if batch := table.NextBatch(deferredLimits(16), now); batch != nil {
		t.Errorf("%s written though cleanup is deferred", batchKeys(batch))
	}
	if backlog := table.WriteBacklog(); backlog.Cleanup != 3 || backlog.Ends != 0 {
		t.Errorf("backlog %+v, want three chunks to delete", backlog)
	}
	batch = table.NextBatch(batchLimits(16), now)
	if got := batchKeys(batch); got != "c/req-0/0 c/req-1/0 c/req-2/0" {
		t.Errorf("deleted %s, want the chunks of all three jobs", got)
	}
	for _, compare := range batch.Compares {
		if compare.ModRevision != 8 {
			t.Errorf("%s is compared with revision %d, want 8, that of its last write", compare.Key, compare.ModRevision)
		}
	}
	if table.BatchCommitted(batch, 11); len(table.Jobs()) != 0 {
		t.Errorf("%d jobs remain, want none", len(table.Jobs()))
	}
}

// An end whose batch failed must be written before ends that came later, or it could be delayed
// again and again.
func TestEndsAreWrittenOldestFirst(t *testing.T) {
	table := New("w", testTeams())
	addClaimedJobs(t, table, 3)
	for i := range 3 {
		table.Finish(table.ClaimsOnWorker("h")[Task{fmt.Sprint("req-", i), 0}])
		table.BatchFailed(table.NextBatch(batchLimits(3), now.Add(time.Duration(i)*time.Second)))
	}
	var got []string
	for range 3 {
		batch := table.NextBatch(batchLimits(3), now)
		got = append(got, batch.JobIDs()...)
		table.BatchCommitted(batch, 9)
	}
	if fmt.Sprint(got) != "[req-0 req-1 req-2]" {
		t.Errorf("written %v, want the oldest first", got)
	}
}
