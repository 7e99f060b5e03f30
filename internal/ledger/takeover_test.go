package ledger

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// TestTakeover runs a job through random claims, ends, finishes and failed
// writes, and has a new leader read what is stored after each write: it must
// find each durable claim, every durable finish and no task twice.
func TestTakeover(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		s := fakeStore{}
		table := New("w", testTeams())
		record := newJobRecord("b", wire.KindArray, 30, 1)
		job := table.AddJob("req-1", record, 1)
		durable := map[int]ClaimRecord{}
		for step := uint64(2); table.Job("req-1") != nil && step < 3000; step++ {
			switch held := table.ClaimsOfJob(job); {
			case rnd.IntN(2) == 0 && job.WaitingTasks() > 0:
				table.Claim(job, fmt.Sprint("h", rnd.IntN(4)), 1, "x")
			case len(held) > 0:
				if claim := held[rnd.IntN(len(held))]; !claim.Committed || claim.Finished {
				} else if rnd.IntN(2) == 0 {
					table.Finish(claim)
				} else {
					table.Free(claim, now)
				}
			}
			batch := table.NextBatch(batchLimits(4), now)
			if batch == nil {
				continue
			}
			if rnd.IntN(3) == 0 {
				table.BatchFailed(batch)
				continue
			}
			s.apply(batch)
			table.BatchCommitted(batch, step)
			clear(durable)
			for _, claim := range table.ClaimsOfJob(job) {
				if claim.Committed && !claim.Finished {
					durable[claim.Index] = claim.ClaimRecord
				}
			}
			if s["d/req-1"] != nil {
				continue
			}
			n := New("n", testTeams())
			k := n.AddJob("req-1", record, 1)
			for key, data := range s {
				if err := n.LoadChunk(key, data, 5, 1); err != nil {
					t.Fatal(err)
				}
			}
			n.FinishLoading()
			for i, c := range durable {
				if got := n.ClaimsOnWorker(c.Worker)[Task{"req-1", i}]; got == nil || got.ClaimRecord != c {
					t.Fatalf("seed %d: durable claim of task %d on %s is not found", seed, i, c.Worker)
				}
			}
			if n := k.WaitingTasks() + k.ClaimedTasks() + k.DoneTasks(); n != 30 {
				t.Fatalf("seed %d: %d tasks accounted for", seed, n)
			}
		}
		if table.Job("req-1") != nil || len(s) != 1 {
			t.Fatalf("seed %d: the job did not end: %v", seed, s)
		}
	}
}

// The largest job the protocol allows runs to its end in small values and
// batches, and a leader that takes over midway goes on from there.
func TestLargestJob(t *testing.T) {
	const n = 100_000
	teams := []settings.Team{{Name: "a", CPUsMax: 500}}
	record := JobRecord{Job: wire.Job{Team: "a", Kind: wire.KindArray, TaskCount: n, CPUs: 1}, ChunkTasks: ChunkTasks(16, 16)}
	s := fakeStore{}
	table := New("w", teams)
	job := table.AddJob("req-1", record, 1)
	revision := uint64(1)
	flush := func() {
		for batch := table.NextBatch(batchLimits(16), now); batch != nil; batch = table.NextBatch(batchLimits(16), now) {
			revision++
			for _, c := range batch.Operations {
				if len(c.Value) > 16<<10/4 {
					t.Fatalf("a value of %d bytes", len(c.Value))
				}
			}
			s.apply(batch)
			table.BatchCommitted(batch, revision)
		}
	}
	for round := 0; table.Job("req-1") != nil; round++ {
		for i := 0; ; i++ {
			if _, err := table.Claim(job, fmt.Sprintf("i-%06d", i%50), 1, "zone"); err != nil {
				break
			}
		}
		flush()
		if round == 100 {
			table = New("x", teams)
			job = table.AddJob("req-1", record, 1)
			for key, data := range s {
				if err := table.LoadChunk(key, data, revision, 1); err != nil {
					t.Fatal(err)
				}
			}
			table.FinishLoading()
			if job.DoneTasks() != 100*500 || job.ClaimedTasks() != 500 || job.WaitingTasks() != n-101*500 {
				t.Fatalf("took over %d done, %d active, %d waiting", job.DoneTasks(), job.ClaimedTasks(), job.WaitingTasks())
			}
		}
		for _, claim := range table.ClaimsOfJob(job) {
			table.Finish(claim)
		}
		flush()
		if round > n/500 {
			t.Fatal("the job does not end")
		}
	}
	if len(s) != 1 {
		t.Errorf("%d keys are left of a job that is done", len(s))
	}
}

// A leader may end between the transaction in which a job is done and those
// that remove its other chunks. The next one finds claims in them, of tasks that
// are done: it drops them with the chunk. Endings of version 0.1 do not tell the
// size of the chunks.
func TestDoneJobWithStoredChunks(t *testing.T) {
	for _, ops := range []int{4, 6} {
		for _, ending := range []string{"", `{"phase":"done","tasks":70}`} {
			table := New("w", testTeams())
			record := newJobRecord("b", wire.KindArray, 70, 1)
			record.ChunkTasks = 16
			store := fakeStore{}
			job := table.AddJob("req-1", record, 1)
			revision := uint64(1)
			write := func() *Batch {
				batch := table.NextBatch(batchLimits(ops), now)
				if batch != nil {
					revision++
					store.apply(batch)
					table.BatchCommitted(batch, revision)
				}
				return batch
			}
			for i := range 70 {
				if _, err := table.Claim(job, workerName("h%d", i%5), 1, "x"); err != nil {
					t.Fatal(err)
				}
			}
			for write() != nil {
			}
			for _, claim := range table.ClaimsOfJob(job) {
				table.Finish(claim)
			}
			write() // done, and no more
			if store["d/req-1"] == nil || len(store) < 2 {
				t.Fatalf("with %d changes nothing is left to find", ops)
			}
			if ending == "" {
				ending = string(store["d/req-1"])
			}
			successor := New("n", testTeams())
			if err := successor.AddEndedJob("req-1", []byte(ending)); err != nil {
				t.Fatal(err)
			}
			for key, data := range store {
				if key != "d/req-1" {
					if err := successor.LoadChunk(key, data, 9, 1); err != nil {
						t.Fatal(err)
					}
				}
			}
			successor.FinishLoading()
			if workers := successor.ClaimedWorkers(); len(workers) != 0 {
				t.Errorf("claims on %v", workers)
			}
			for batch := successor.NextBatch(batchLimits(ops), now); batch != nil; batch = successor.NextBatch(batchLimits(ops), now) {
				store.apply(batch)
				successor.BatchCommitted(batch, 10)
			}
			if len(store) != 1 || len(successor.Jobs()) != 0 {
				t.Errorf("%d keys are left", len(store))
			}
		}
	}
}
