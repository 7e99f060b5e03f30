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

// newTestAuditWriter makes an audit writer with a key.
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

// taskEntry is an entry about one task of a job.
func taskEntry(jobID string, index int, reason string) audit.Entry {
	return audit.Entry{Action: audit.Freed, Subject: jobID, Reason: reason, Tasks: []audit.Task{{Index: index, Attempt: 1, Worker: "h0"}}}
}

// What is told of the tasks of a job together is one entry, unless that is in flight or full.
func TestAuditQueueMerges(t *testing.T) {
	writer := newTestAuditWriter(t)
	writer.enqueue(now, taskEntry("req-1", 0, "halted"))
	writer.enqueue(now, taskEntry("req-1", 1, "halted"))
	writer.enqueue(now, taskEntry("req-1", 2, "failed"))
	writer.enqueue(now, taskEntry("req-2", 0, "failed"))
	if len(writer.queue) != 3 || len(writer.queue[0].Tasks) != 2 {
		t.Fatalf("queue %+v", writer.queue)
	}
	writer.inFlight = 3
	writer.enqueue(now, taskEntry("req-2", 1, "failed"))
	if len(writer.queue) != 4 {
		t.Error("merged with an entry in flight")
	}
	for i := range maxTasksPerEntry {
		writer.enqueue(now, taskEntry("req-2", 2+i, "failed"))
	}
	if len(writer.queue) != 5 || len(writer.queue[3].Tasks) != maxTasksPerEntry {
		t.Errorf("%d entries, the last but one of %d tasks", len(writer.queue), len(writer.queue[3].Tasks))
	}
}

// A full queue counts what it drops, and the next batch that takes all of it tells how much.
func TestAuditQueueIsBounded(t *testing.T) {
	writer := newTestAuditWriter(t)
	for range maxQueuedEntries + 7 {
		writer.enqueue(now, audit.Entry{Action: audit.Released, Subject: "h0"})
	}
	if len(writer.queue) != maxQueuedEntries || writer.dropped != 7 {
		t.Fatalf("%d entries, %d dropped", len(writer.queue), writer.dropped)
	}
	common := blockContext{epoch: 3, now: now, limits: txnLimits{operations: 16, valueBytes: 16 << 10}}
	for batches := 1; ; batches++ {
		batch := &auditedBatch{Batch: &ledger.Batch{}}
		if err := writer.attach(batch, common); err != nil {
			t.Fatal(err)
		}
		if len(batch.blocks) == 0 || batch.queued != maxEntriesPerBatch {
			t.Fatalf("batch %d: %d blocks of %d entries", batches, len(batch.blocks), batch.queued)
		}
		writer.batchCommitted(batch, now)
		if len(writer.queue) > 0 && writer.dropped != 7 || batches > maxQueuedEntries/maxEntriesPerBatch {
			t.Fatalf("batch %d: %d entries left, %d dropped", batches, len(writer.queue), writer.dropped)
		}
		if len(writer.queue) == 0 {
			break
		}
	}
	if writer.dropped != 0 || writer.head.Seq == 0 {
		t.Errorf("%d dropped are not told, head %v", writer.dropped, writer.head)
	}
}

// Of a batch that was not applied nothing is told: its claims are told with the next, and what
// befell them meanwhile is not. What is queued of others stays.
func TestAuditBatchFails(t *testing.T) {
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
	if err := leader.auditLog.attach(batch, blockContext{epoch: 3, now: now, limits: limits}); err != nil {
		t.Fatal(err)
	}
	if !job.Audited || !claim.Audited || len(batch.blocks) != 1 {
		t.Fatalf("told of the job: %v, of the claim: %v, in %d blocks", job.Audited, claim.Audited, len(batch.blocks))
	}
	leader.auditLog.enqueueTask(now, audit.Freed, claim, "halted", "")
	leader.auditLog.enqueue(now, taskEntry("req-2", 0, "halted"))
	leader.auditLog.batchFailed(batch)
	if job.Audited || claim.Audited || leader.auditLog.head.Seq != 0 {
		t.Errorf("told of the job: %v, of the claim: %v, head %v", job.Audited, claim.Audited, leader.auditLog.head)
	}
	if queue := leader.auditLog.queue; len(queue) != 1 || queue[0].Subject != "req-2" {
		t.Errorf("queue %+v", queue)
	}
}
