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

// A worker is told to forget a finished task only once the finish is durable.
func TestClaimStaysUntilFinishIsDurable(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindArray, 1, 1), 7)
	claim, _ := table.Claim(job, "h", 1, "x")
	batch := table.NextBatch(batchLimits(16), now)
	if result := table.BatchCommitted(batch, 8); len(result.Claims) != 1 || !claim.Committed {
		t.Fatalf("claims %v", result.Claims)
	}
	table.Finish(claim)
	if table.ClaimsOnWorker("h")[claim.Task()] == nil {
		t.Fatal("the claim went before its finish was durable")
	}
	batch = table.NextBatch(batchLimits(16), now)
	var keys []string
	for _, operation := range batch.Operations {
		keys = append(keys, operation.Put+operation.Delete)
	}
	if got := strings.Join(keys, " "); got != "c/req-1/0 j/req-1 d/req-1" {
		t.Errorf("wrote %s", got)
	}
	if result := table.BatchCommitted(batch, 9); len(result.Finished) != 1 || len(result.Ended) != 1 {
		t.Errorf("result %+v", result)
	}
	if table.ClaimsOnWorker("h") != nil || table.Job("req-1") != nil {
		t.Error("something is left of a job that is done")
	}
}

// A claim never reaches the store once its job is cancelled: the comparison of the live key fails,
// and the claim, whose task was never started, is freed.
func TestCancelBeforeCommit(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindService, 2, 1), 7)
	if _, err := table.Claim(job, "h", 1, "x"); err != nil {
		t.Fatal(err)
	}
	batch := table.NextBatch(batchLimits(16), now)
	if !slices.Contains(batch.Compares, wire.Compare{Key: "j/req-1", ModRevision: 7}) {
		t.Fatal("the write of a claim does not depend on its job being live")
	}
	table.Cancel("req-1")
	if len(table.ClaimsOnWorker("h")) != 1 {
		t.Fatal("the fate of a claim being written is not known yet")
	}
	table.BatchFailed(batch)
	if len(table.ClaimsOnWorker("h")) != 0 || table.Usage("b").CPUs != 0 {
		t.Error("the claim outlived its failed write")
	}
}

// A claim whose task may have been started stands after a cancellation until proof.
func TestCancelAfterStart(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindService, 1, 1), 7)
	claim, _ := table.Claim(job, "h", 1, "x")
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 8)
	claim.StartSent = true
	table.Cancel("req-1")
	if table.Usage("b").CPUs != 1 {
		t.Fatal("a task that may run no longer counts")
	}
	table.Free(claim, now)
	batch := table.NextBatch(batchLimits(16), now)
	if batch == nil || len(batch.Operations) != 1 || batch.Operations[0].Delete != "c/req-1/0" {
		t.Fatalf("batch %+v", batch)
	}
	table.BatchCommitted(batch, 9)
	if table.Job("req-1") != nil {
		t.Error("the job is not forgotten")
	}
}

// A job cancelled after its last task finished but before that was durable leaves nothing behind.
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
		t.Error("something is left")
	}
}

// A batch keeps within its limits, and all claims become durable in the end.
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
			t.Fatalf("%d operations in a batch", len(batch.Operations))
		}
		for _, operation := range batch.Operations {
			if len(operation.Value) > 1<<10 {
				t.Fatalf("a value of %d bytes", len(operation.Value))
			}
		}
		seen += len(table.BatchCommitted(batch, 9).Claims)
	}
	if seen != 1000 {
		t.Errorf("%d claims became durable", seen)
	}
}

// Where not all fits a batch, claims go first: their tasks wait for it.
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
		t.Error("a finish alone is urgent")
	}
	young := table.AddJob("req-2", record, 3)
	if _, err := table.Claim(young, "h1", 1, "a"); err != nil {
		t.Fatal(err)
	}
	if !table.HasUrgentWrites() {
		t.Error("a claim is not urgent")
	}
	if batch := table.NextBatch(batchLimits(1), now); len(batch.JobIDs()) != 1 || batch.JobIDs()[0] != "req-2" {
		t.Errorf("first %v, want the claim", batch.JobIDs())
	}
}

// What others wait for is written first, and alone where only the urgent is asked for: the end of
// a job that others depend on, then claims, then other ends, then plain finishes.
func TestWriteOrder(t *testing.T) {
	table := newDependencyTable("1", "2", "3 1")
	unfinished := newJobRecord("b", wire.KindArray, 3, 1)
	unfinished.ChunkTasks = 4
	table.AddJob("req-4", unfinished, 9)
	held := map[string]*Claim{}
	for _, ref := range []string{"req-4", "req-2", "req-1"} {
		claim, err := table.Claim(table.Job(ref), "h", 1, "x")
		if err != nil {
			t.Fatal(err)
		}
		held[ref] = claim
	}
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 10)
	for _, ref := range []string{"req-4", "req-2", "req-1"} {
		table.Finish(held[ref])
	}
	table.AddJob("req-5", newJobRecord("b", wire.KindArray, 1, 1), 12)
	if _, err := table.Claim(table.Job("req-5"), "h", 1, "x"); err != nil {
		t.Fatal(err)
	}
	idle := batchLimits(3)
	idle.NonUrgentOnly = true
	batch := table.NextBatch(idle, now)
	if got := fmt.Sprint(batch.JobIDs()); got != "[req-4]" {
		t.Errorf("of what nothing waits for, %s is written", got)
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
		t.Errorf("written %v, want the end that others wait for, the claim, the other end, and no plain finish", got)
	}
	if batch := table.NextBatch(batchLimits(3), now); batch == nil || batch.JobIDs()[0] != "req-4" {
		t.Error("the finish is not written in the end")
	}
}

// Guards against ends of jobs that wait for long without anybody seeing it.
func TestWriteBacklogTellsTheOldestEnd(t *testing.T) {
	table := New("w", testTeams())
	var claims []*Claim
	for _, ref := range []string{"req-1", "req-2"} {
		claim, err := table.Claim(table.AddJob(ref, newJobRecord("b", wire.KindArray, 1, 1), 7), "h", 1, "x")
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

// deferredLimits are those of a batch while ends wait.
func deferredLimits(operations int) BatchLimits {
	limits := batchLimits(operations)
	limits.DeferCleanup = true
	return limits
}

// addClaimedJobs adds jobs of one task each, whose claims are stored at revision 8.
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

// batchKeys are the keys that a batch writes, in order.
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

// Guards against ends of jobs that wait behind deletions for which nobody waits: while cleanup is
// deferred an end takes two operations, and the chunk is deleted later, as it was stored.
func TestEndsDoNotWaitForCleanup(t *testing.T) {
	table := New("w", testTeams())
	addClaimedJobs(t, table, 3)
	for i := range 3 {
		table.Finish(table.ClaimsOnWorker("h")[Task{fmt.Sprint("req-", i), 0}])
	}
	batch := table.NextBatch(deferredLimits(5), now)
	if got := batchKeys(batch); got != "j/req-0 d/req-0 j/req-1 d/req-1" {
		t.Errorf("wrote %s", got)
	}
	if result := table.BatchCommitted(batch, 9); len(result.Ended) != 2 || len(result.Finished) != 2 {
		t.Errorf("result %+v", result)
	}
	if len(table.ClaimsOnWorker("h")) != 1 {
		t.Error("a claim of a job that is done is left")
	}
	table.BatchCommitted(table.NextBatch(deferredLimits(5), now), 10)
	if batch := table.NextBatch(deferredLimits(16), now); batch != nil {
		t.Errorf("%s is written though cleanup is deferred", batchKeys(batch))
	}
	if backlog := table.WriteBacklog(); backlog.Cleanup != 3 || backlog.Ends != 0 {
		t.Errorf("backlog %+v, want three chunks to delete", backlog)
	}
	batch = table.NextBatch(batchLimits(16), now)
	if got := batchKeys(batch); got != "c/req-0/0 c/req-1/0 c/req-2/0" {
		t.Errorf("deleted %s", got)
	}
	for _, compare := range batch.Compares {
		if compare.ModRevision != 8 {
			t.Errorf("%s is compared with revision %d, want that of its last write", compare.Key, compare.ModRevision)
		}
	}
	if table.BatchCommitted(batch, 11); len(table.Jobs()) != 0 {
		t.Errorf("%d jobs are left", len(table.Jobs()))
	}
}

// Guards against ends that are passed over again and again: one whose batch failed goes before
// those that came later.
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
