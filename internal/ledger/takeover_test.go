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

// fakeStore applies batches as the key-value store would.
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

// write applies all that the table has to write, and returns the revision of the last batch.
func (s fakeStore) write(t *testing.T, table *Table, operations int, revision uint64) uint64 {
	t.Helper()
	limits := batchLimits(operations)
	for batch := table.NextBatch(limits, now); batch != nil; batch = table.NextBatch(limits, now) {
		revision++
		for _, operation := range batch.Operations {
			if len(operation.Value) > limits.MaxValueBytes/4 {
				t.Fatalf("a value of %d bytes", len(operation.Value))
			}
		}
		s.apply(batch)
		table.BatchCommitted(batch, revision)
	}
	return revision
}

// loadChunks loads the stored chunks as a new leader would.
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

// TestTakeover runs a job through random claims, ends, finishes and failed writes, and has a new
// leader read what is stored after each write: it must find each durable claim, every durable
// finish and no task twice.
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
					t.Fatalf("seed %d: durable claim of task %d on %s is not found", seed, claim.Index, claim.Worker)
				}
			}
			if n := loaded.WaitingTasks() + loaded.ClaimedTasks() + loaded.DoneTasks(); n != tasks {
				t.Fatalf("seed %d: %d tasks accounted for", seed, n)
			}
		}
		if table.Job("req-1") != nil || len(store) != 1 {
			t.Fatalf("seed %d: the job did not end: %v", seed, store)
		}
	}
}

// claimOrEndTask claims a task, or has a claimed one finish or fail.
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

// The largest job the protocol allows runs to its end in small values and batches, and a leader
// that takes over midway goes on from there.
func TestLargestJob(t *testing.T) {
	const (
		tasks          = 100_000
		running        = 500 // at a time, by quota
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
		revision = store.write(t, table, operationLimit, revision)
		if round == takeoverRound {
			table = New("x", teams)
			job = table.AddJob("req-1", record, 1)
			store.loadChunks(t, table)
			done, claimed, waiting := job.DoneTasks(), job.ClaimedTasks(), job.WaitingTasks()
			if done != round*running || claimed != running || waiting != tasks-(round+1)*running {
				t.Fatalf("took over %d done, %d claimed, %d waiting", done, claimed, waiting)
			}
		}
		for _, claim := range table.ClaimsOfJob(job) {
			table.Finish(claim)
		}
		revision = store.write(t, table, operationLimit, revision)
		if round > tasks/running {
			t.Fatal("the job does not end")
		}
	}
	if len(store) != 1 {
		t.Errorf("%d keys are left of a job that is done", len(store))
	}
}

// A leader may end between the transaction in which a job is done and those that delete its other
// chunks. The next one finds claims in them, of tasks that are done: it drops them with the chunk.
// End records of version 0.1 do not tell the size of the chunks.
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
				t.Errorf("claims on %v", workers)
			}
			store.write(t, successor, operations, 9)
			if len(store) != 1 || len(successor.Jobs()) != 0 {
				t.Errorf("%d keys are left", len(store))
			}
		}
	}
}

// endWithChunksLeft is what is stored when a leader ends right after the transaction that ends a
// job of several chunks.
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
	revision := store.write(t, table, operations, 1)
	for _, claim := range table.ClaimsOfJob(job) {
		table.Finish(claim)
	}
	batch := table.NextBatch(batchLimits(operations), now) // done, and no more
	store.apply(batch)
	table.BatchCommitted(batch, revision+1)
	if store["d/req-1"] == nil || len(store) < 2 {
		t.Fatalf("with %d operations nothing is left to find", operations)
	}
	return store
}

// Guards against tasks that are lost or run again after a takeover, where ends were written and
// their chunks were left for later.
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
			t.Fatalf("seed %d: the jobs did not end: %v", seed, store)
		}
	}
}

// checkSuccessor has a new leader load what is stored: ended jobs have no claims, all others each
// task once.
func checkSuccessor(t *testing.T, seed uint64, store fakeStore, record JobRecord, jobs int) {
	t.Helper()
	successor := New("n", testTeams())
	for i := range jobs {
		ref := fmt.Sprint("req-", i)
		end, hasEnded := store[EndedKey(ref)]
		if !hasEnded {
			successor.AddJob(ref, record, 1)
		} else if err := successor.AddEndedJob(ref, end); err != nil {
			t.Fatal(err)
		}
	}
	store.loadChunks(t, successor)
	for i := range jobs {
		job := successor.Job(fmt.Sprint("req-", i))
		_, hasEnded := store[EndedKey(fmt.Sprint("req-", i))]
		switch {
		case hasEnded && job != nil && job.ClaimedTasks() != 0:
			t.Fatalf("seed %d: %s has ended and has %d claims", seed, job.ID, job.ClaimedTasks())
		case !hasEnded && job.WaitingTasks()+job.ClaimedTasks()+job.DoneTasks() != record.Job.TaskCount:
			t.Fatalf("seed %d: not all tasks of %s are accounted for", seed, job.ID)
		}
	}
}
