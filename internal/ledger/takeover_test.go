package ledger

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// fakeStore holds keys and values, and applies batches like the key-value store.
type fakeStore map[string]json.RawMessage

func (s fakeStore) apply(batch *Batch) {
	for _, operation := range batch.Operations {
		if operation.Put != "" {
			s[operation.Put] = operation.Value
		} else {
			delete(s, operation.Delete)
		}
	}
}

// writeAll applies and commits batches until the table has nothing to write, and returns the revision
// of the last one.
func (s fakeStore) writeAll(t *testing.T, table *Table, operations int, revision uint64) uint64 {
	t.Helper()
	limits := batchLimits(operations)
	for batch := table.NextBatch(limits, now); batch != nil; batch = table.NextBatch(limits, now) {
		revision++
		for _, operation := range batch.Operations {
			if len(operation.Value) > limits.MaxValueBytes/4 {
				t.Fatalf("a value of %d bytes, want at most %d", len(operation.Value), limits.MaxValueBytes/4)
			}
		}
		s.apply(batch)
		table.BatchCommitted(batch, revision)
	}
	return revision
}

// loadChunks loads the stored chunks as a new leader does.
func (s fakeStore) loadChunks(t *testing.T, table *Table) {
	t.Helper()
	for key, data := range s {
		if strings.HasPrefix(key, EndedPrefix) {
			continue
		}
		if err := table.LoadChunk(key, data, 9, 1); err != nil {
			t.Fatal(err)
		}
	}
	table.FinishLoading()
}

// TestTakeover runs a job through random claims, finishes, freed claims and failed writes. A new
// leader that loads the stored data after any write must find every durable claim, and account for
// each task exactly once.
func TestTakeover(t *testing.T) {
	const tasks = 30
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		store := fakeStore{}
		table := New("w", testTeams())
		record := newJobRecord("b", wire.KindArray, tasks, 1)
		job := table.AddJob("req-1", record, 1)
		for step := uint64(2); table.Job("req-1") != nil && step < 3000; step++ {
			claimOrEndTask(table, job, rnd)
			batch := table.NextBatch(batchLimits(4), now)
			if batch == nil {
				continue
			}
			if rnd.IntN(3) == 0 {
				table.BatchFailed(batch)
				continue
			}
			store.apply(batch)
			table.BatchCommitted(batch, step)
			if store["d/req-1"] != nil {
				continue
			}
			successor := New("n", testTeams())
			loaded := successor.AddJob("req-1", record, 1)
			store.loadChunks(t, successor)
			for _, claim := range table.ClaimsOfJob(job) {
				if !claim.Committed || claim.Finished {
					continue
				}
				got := successor.ClaimsOnWorker(claim.Worker)[claim.Task()]
				if got == nil || got.ClaimRecord != claim.ClaimRecord {
					t.Fatalf("seed %d: the new leader does not find the durable claim of task %d on %s",
						seed, claim.Index, claim.Worker)
				}
			}
			if n := loaded.WaitingTasks() + loaded.ClaimedTasks() + loaded.DoneTasks(); n != tasks {
				t.Fatalf("seed %d: %d tasks waiting, claimed or done, want %d", seed, n, tasks)
			}
		}
		if table.Job("req-1") != nil || len(store) != 1 {
			t.Fatalf("seed %d: the job did not end, or keys other than its end record remain: %v", seed, store)
		}
	}
}

// claimOrEndTask claims a task, or finishes or frees a claimed one.
func claimOrEndTask(table *Table, job *Job, rnd *rand.Rand) {
	held := table.ClaimsOfJob(job)
	if rnd.IntN(2) == 0 && job.WaitingTasks() > 0 {
		table.Claim(job, fmt.Sprint("h", rnd.IntN(4)), 1, "x")
		return
	}
	if len(held) == 0 {
		return
	}
	claim := held[rnd.IntN(len(held))]
	if !claim.Committed || claim.Finished {
		return
	}
	if rnd.IntN(2) == 0 {
		table.Finish(claim)
	} else {
		table.Free(claim, now)
	}
}

// The largest job that the protocol allows must run to its end with small values and batches, and a
// leader that takes over midway must continue from the stored state.
func TestLargestJob(t *testing.T) {
	const (
		tasks          = 100_000
		running        = 500 // tasks at a time, limited by quota
		takeoverRound  = 100
		operationLimit = 16
	)
	teams := []settings.Team{{Name: "a", CPUsMax: running}}
	record := newJobRecord("a", wire.KindArray, tasks, 1)
	record.ChunkTasks = ChunkTasks(16, 16)
	store := fakeStore{}
	table := New("w", teams)
	job := table.AddJob("req-1", record, 1)
	revision := uint64(1)
	for round := 0; table.Job("req-1") != nil; round++ {
		for i := 0; table.CheckClaim(job, "zone") == nil; i++ {
			if _, err := table.Claim(job, fmt.Sprintf("i-%06d", i%50), 1, "zone"); err != nil {
				t.Fatal(err)
			}
		}
		revision = store.writeAll(t, table, operationLimit, revision)
		if round == takeoverRound {
			table = New("x", teams)
			job = table.AddJob("req-1", record, 1)
			store.loadChunks(t, table)
			done, claimed, waiting := job.DoneTasks(), job.ClaimedTasks(), job.WaitingTasks()
			if done != round*running || claimed != running || waiting != tasks-(round+1)*running {
				t.Fatalf("took over %d done, %d claimed, %d waiting; want %d, %d, %d", done, claimed, waiting,
					round*running, running, tasks-(round+1)*running)
			}
		}
		for _, claim := range table.ClaimsOfJob(job) {
			table.Finish(claim)
		}
		revision = store.writeAll(t, table, operationLimit, revision)
		if round > tasks/running {
			t.Fatalf("the job has not ended after %d rounds", round)
		}
	}
	if len(store) != 1 {
		t.Errorf("%d keys of the done job remain, want only its end record", len(store))
	}
}

// A leader may stop between the transaction that ends a job and those that delete the job's other
// chunks. Its successor then finds claims of done tasks in them, and must drop these and delete the
// chunks. End records of version 0.1 do not have the chunk size.
func TestDoneJobWithStoredChunks(t *testing.T) {
	for _, operations := range []int{4, 6} {
		for _, endV01 := range []string{"", `{"phase":"done","tasks":70}`} {
			store := endWithChunksLeft(t, operations)
			end := endV01
			if end == "" {
				end = string(store["d/req-1"])
			}
			successor := New("n", testTeams())
			if err := successor.AddEndedJob("req-1", []byte(end)); err != nil {
				t.Fatal(err)
			}
			store.loadChunks(t, successor)
			if workers := successor.ClaimedWorkers(); len(workers) != 0 {
				t.Errorf("claims on %v, want none", workers)
			}
			store.writeAll(t, successor, operations, 9)
			if len(store) != 1 || len(successor.Jobs()) != 0 {
				t.Errorf("%d keys and %d jobs remain, want only the end record", len(store), len(successor.Jobs()))
			}
		}
	}
}

// endWithChunksLeft returns a store as it is when a leader stops right after the transaction that ends
// a job of several chunks.
func endWithChunksLeft(t *testing.T, operations int) fakeStore {
	t.Helper()
	const tasks = 70
	table := New("w", testTeams())
	record := newJobRecord("b", wire.KindArray, tasks, 1)
	record.ChunkTasks = 16
	job := table.AddJob("req-1", record, 1)
	for i := range tasks {
		if _, err := table.Claim(job, fmt.Sprintf("h%d", i%5), 1, "x"); err != nil {
			t.Fatal(err)
		}
	}
	store := fakeStore{}
	revision := store.writeAll(t, table, operations, 1)
	for _, claim := range table.ClaimsOfJob(job) {
		table.Finish(claim)
	}
	batch := table.NextBatch(batchLimits(operations), now) // ends the job, but does not delete all chunks
	store.apply(batch)
	table.BatchCommitted(batch, revision+1)
	if store["d/req-1"] == nil || len(store) < 2 {
		t.Fatalf("with %d operations per batch no chunks remain, so the test has nothing to check", operations)
	}
	return store
}

// Tasks must not be lost or run again after a takeover if ends of jobs were written while the
// deletion of their chunks was deferred.
func TestTakeoverWithCleanupDeferred(t *testing.T) {
	const jobs, tasks = 4, 20
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		store := fakeStore{}
		table := New("w", testTeams())
		record := newJobRecord("b", wire.KindArray, tasks, 1)
		for i := range jobs {
			table.AddJob(fmt.Sprint("req-", i), record, 1)
		}
		for step := uint64(2); len(table.Jobs()) > 0 && step < 5000; step++ {
			if job := table.Job(fmt.Sprint("req-", rnd.IntN(jobs))); job != nil && !job.Finished && !job.Cancelled {
				claimOrEndTask(table, job, rnd)
			}
			limits := batchLimits(4)
			limits.DeferCleanup = rnd.IntN(4) > 0
			batch := table.NextBatch(limits, now)
			if batch == nil {
				continue
			}
			if rnd.IntN(3) == 0 {
				table.BatchFailed(batch)
				continue
			}
			store.apply(batch)
			table.BatchCommitted(batch, step)
			checkSuccessor(t, seed, store, record, jobs)
		}
		if len(table.Jobs()) != 0 || len(store) != jobs {
			t.Fatalf("seed %d: jobs remain, or keys other than their end records: %v", seed, store)
		}
	}
}

// checkSuccessor checks what a new leader loads from the store: ended jobs must have no claims, and
// each task of the others must be accounted for once.
func checkSuccessor(t *testing.T, seed uint64, store fakeStore, record JobRecord, jobs int) {
	t.Helper()
	successor := New("n", testTeams())
	for i := range jobs {
		jobID := fmt.Sprint("req-", i)
		end, hasEnded := store[EndedKey(jobID)]
		if !hasEnded {
			successor.AddJob(jobID, record, 1)
		} else if err := successor.AddEndedJob(jobID, end); err != nil {
			t.Fatal(err)
		}
	}
	store.loadChunks(t, successor)
	for i := range jobs {
		job := successor.Job(fmt.Sprint("req-", i))
		_, hasEnded := store[EndedKey(fmt.Sprint("req-", i))]
		switch {
		case hasEnded && job != nil && job.ClaimedTasks() != 0:
			t.Fatalf("seed %d: ended job %s has %d claims, want none", seed, job.ID, job.ClaimedTasks())
		case !hasEnded && job.WaitingTasks()+job.ClaimedTasks()+job.DoneTasks() != record.Job.TaskCount:
			t.Fatalf("seed %d: %s does not have each task once waiting, claimed or done", seed, job.ID)
		}
	}
}
