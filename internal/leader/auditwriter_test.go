package leader

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rillflow/internal/audit"
	"rillflow/internal/keyring"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// newTestAuditWriter returns an audit writer with one sealing key.
func newTestAuditWriter(t *testing.T) *auditWriter {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ring")
	if err := os.WriteFile(path, []byte("1 "+strings.Repeat("ab", keyring.Size)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	keys, err := keyring.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return newAuditWriter(keys, "n", slog.New(slog.DiscardHandler))
}

// taskEntry returns an entry about one task of a job.
func taskEntry(jobID string, index int, reason string) audit.Entry {
	return audit.Entry{Action: audit.Freed, Subject: jobID, Reason: reason, Tasks: []audit.Task{{Index: index, Attempt: 1, Worker: "h0"}}}
}

// Consecutive entries about tasks of one job are merged, unless the last one is in flight or full.
func TestAuditQueueMerges(t *testing.T) {
	writer := newTestAuditWriter(t)
	writer.enqueue(now, taskEntry("req-1", 0, "halted"))
	writer.enqueue(now, taskEntry("req-1", 1, "halted"))
	writer.enqueue(now, taskEntry("req-1", 2, "failed"))
	writer.enqueue(now, taskEntry("req-2", 0, "failed"))
	if len(writer.queue) != 3 || len(writer.queue[0].Tasks) != 2 {
		t.Fatalf("got queue %+v, want 3 entries, the first with 2 tasks", writer.queue)
	}
	writer.inFlightCount = 3
	writer.enqueue(now, taskEntry("req-2", 1, "failed"))
	if len(writer.queue) != 4 {
		t.Error("entry was merged with one in flight")
	}
	for i := range maxTasksPerEntry {
		writer.enqueue(now, taskEntry("req-2", 2+i, "failed"))
	}
	if len(writer.queue) != 5 || len(writer.queue[3].Tasks) != maxTasksPerEntry {
		t.Errorf("got %d entries, the fourth with %d tasks; want 5 entries, the fourth with %d tasks",
			len(writer.queue), len(writer.queue[3].Tasks), maxTasksPerEntry)
	}
}

// A full queue counts the entries that it drops, and the batch that empties the queue records the
// count.
func TestAuditQueueIsBounded(t *testing.T) {
	writer := newTestAuditWriter(t)
	for range maxQueuedEntries + 7 {
		writer.enqueue(now, audit.Entry{Action: audit.Released, Subject: "h0"})
	}
	if len(writer.queue) != maxQueuedEntries || writer.droppedCount != 7 {
		t.Fatalf("got %d entries, %d dropped; want %d, 7", len(writer.queue), writer.droppedCount, maxQueuedEntries)
	}
	params := blockParams{epoch: 3, now: now, limits: txnLimits{operations: 16, valueBytes: 16 << 10}}
	for batches := 1; ; batches++ {
		batch := &auditedBatch{Batch: &ledger.Batch{}}
		if err := writer.attachBlocks(batch, params); err != nil {
			t.Fatal(err)
		}
		if len(batch.blocks) == 0 || batch.queuedCount != maxEntriesPerBatch {
			t.Fatalf("batch %d: got %d blocks with %d queued entries, want at least one block with %d",
				batches, len(batch.blocks), batch.queuedCount, maxEntriesPerBatch)
		}
		writer.batchCommitted(batch, now)
		if len(writer.queue) > 0 && writer.droppedCount != 7 || batches > maxQueuedEntries/maxEntriesPerBatch {
			t.Fatalf("batch %d: got %d entries left, %d dropped; want 7 dropped and at most %d batches",
				batches, len(writer.queue), writer.droppedCount, maxQueuedEntries/maxEntriesPerBatch)
		}
		if len(writer.queue) == 0 {
			break
		}
	}
	if writer.droppedCount != 0 || writer.head.Seq == 0 {
		t.Errorf("got %d dropped entries unreported, head %v; want none, and a block written", writer.droppedCount, writer.head)
	}
}

// A batch that was not applied leaves no trace in the log: its jobs and claims are unaudited again,
// and queued entries about these claims are removed. Entries about other jobs stay queued.
func TestFailedAuditBatchIsReverted(t *testing.T) {
	leader := newTestTerm(t)
	leader.auditLog = newTestAuditWriter(t)
	job := leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, TaskCount: 1, CPUs: 1})
	claim, err := leader.jobs.Claim(job, "h0", 1, "a")
	if err != nil {
		t.Fatal(err)
	}
	limits := txnLimits{operations: 16, valueBytes: 16 << 10}
	batchLimits := ledger.BatchLimits{MaxOperations: 16, MaxBytes: maxTxnBytes, MaxValueBytes: limits.valueBytes}
	leader.auditLog.limitBatch(&batchLimits)
	batch := &auditedBatch{Batch: leader.jobs.NextBatch(batchLimits, now)}
	if err := leader.auditLog.attachBlocks(batch, blockParams{epoch: 3, now: now, limits: limits}); err != nil {
		t.Fatal(err)
	}
	if !job.Audited || !claim.Audited || len(batch.blocks) != 1 {
		t.Fatalf("got job audited %v, claim audited %v, %d blocks; want true, true, 1",
			job.Audited, claim.Audited, len(batch.blocks))
	}
	leader.auditLog.enqueueTask(now, audit.Freed, claim, "halted", "")
	leader.auditLog.enqueue(now, taskEntry("req-2", 0, "halted"))
	leader.auditLog.batchFailed(batch)
	if job.Audited || claim.Audited || leader.auditLog.head.Seq != 0 {
		t.Errorf("got job audited %v, claim audited %v, head %v; want false, false, an empty head",
			job.Audited, claim.Audited, leader.auditLog.head)
	}
	if queue := leader.auditLog.queue; len(queue) != 1 || queue[0].Subject != "req-2" {
		t.Errorf("got queue %+v, want only the entry of req-2", queue)
	}
}
