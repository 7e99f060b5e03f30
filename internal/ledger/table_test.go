package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

var now = time.Unix(5000, 0)

func batchLimits(ops int) BatchLimits {
	return BatchLimits{MaxOperations: ops, MaxBytes: 40 << 10, MaxValueBytes: 16 << 10}
}

func testTeams() []settings.Team {
	return []settings.Team{{Name: "a", CPUs: 8, CPUsMax: 16}, {Name: "b", CPUs: 100, CPUsMax: 100}}
}

func newJobRecord(team, kind string, tasks int, cores float64) JobRecord {
	return JobRecord{Job: wire.Job{Team: team, Kind: kind, TaskCount: tasks, CPUs: cores}, ChunkTasks: 8}
}

func TestCheckClaim(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rec   JobRecord
		tweak func(*wire.Job)
		zones []string // claims made before
		zone  string
		want  error
	}{
		{"plain", newJobRecord("b", wire.KindArray, 4, 1), nil, nil, "x", nil},
		{"limit reached by one's own claims", newJobRecord("a", wire.KindArray, 9, 4), nil, []string{"x", "x", "y", "y"}, "x", ErrQuotaExceeded},
		{"just within the limit", newJobRecord("a", wire.KindArray, 9, 4), nil, []string{"x", "x", "y"}, "x", nil},
		{"none left", newJobRecord("b", wire.KindArray, 1, 1), nil, []string{"x"}, "x", ErrNoWaitingTask},
		{"unknown team", newJobRecord("c", wire.KindArray, 1, 1), nil, nil, "x", ErrQuotaExceeded},
		{"locale", newJobRecord("b", wire.KindArray, 1, 1), func(job *wire.Job) { job.Zone = "y" }, nil, "x", ErrZoneNotAllowed},
		{"scatter: 5 of 9", newJobRecord("b", wire.KindService, 9, 1), func(job *wire.Job) { job.SpreadZones = true }, []string{"x", "x", "x", "x"}, "x", nil},
		{"scatter: not 6 of 9", newJobRecord("b", wire.KindService, 9, 1), func(job *wire.Job) { job.SpreadZones = true }, []string{"x", "x", "x", "x", "x"}, "x", ErrZoneNotAllowed},
		{"scatter: 1 of 1", newJobRecord("b", wire.KindService, 1, 1), func(job *wire.Job) { job.SpreadZones = true }, nil, "x", nil},
		{"same place", newJobRecord("b", wire.KindArray, 3, 1), func(job *wire.Job) { job.SingleZone = true }, []string{"y"}, "x", ErrZoneNotAllowed},
		{"same place kept", newJobRecord("b", wire.KindArray, 3, 1), func(job *wire.Job) { job.SingleZone = true }, []string{"x"}, "x", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := New("w", testTeams())
			if tc.tweak != nil {
				tc.tweak(&tc.rec.Job)
			}
			job := table.AddJob("req-1", tc.rec, 1)
			for i, zone := range tc.zones {
				if _, err := table.Claim(job, fmt.Sprint("h", i), 1, zone); err != nil {
					t.Fatal(err)
				}
			}
			if err := table.CheckClaim(job, tc.zone); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// A claim whose task's fate is unknown counts in the quota and the spread
// until it is freed.
func TestClaimCountsUntilFreed(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("a", wire.KindArray, 9, 16), 1)
	claim, err := table.Claim(job, "h", 1, "x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Claim(job, "g", 1, "x"); !errors.Is(err, ErrQuotaExceeded) {
		t.Fatalf("second claim: %v", err)
	}
	table.Free(claim, now)
	table.Free(claim, now) // a second proof changes nothing
	if u := table.Usage("a"); u.CPUs != 0 {
		t.Errorf("usage %v after freeing", u)
	}
	again, err := table.Claim(job, "g", 1, "x")
	if err != nil || again.Index != claim.Index || again.Attempt <= claim.Attempt {
		t.Errorf("claimed again as %+v, %v: the try must rise", again, err)
	}
}

// A finish is told to the worker as reapable only once durable.
func TestClaimStaysUntilFinishIsDurable(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindArray, 1, 1), 7)
	claim, _ := table.Claim(job, "h", 1, "x")
	batch := table.NextBatch(batchLimits(16), now)
	if r := table.BatchCommitted(batch, 8); len(r.Claims) != 1 || !claim.Committed {
		t.Fatalf("claims %v", r.Claims)
	}
	table.Finish(claim)
	if table.ClaimsOnWorker("h")[claim.Task()] == nil {
		t.Fatal("the claim went before its finish was durable")
	}
	batch = table.NextBatch(batchLimits(16), now)
	var keys []string
	for _, c := range batch.Operations {
		keys = append(keys, c.Put+c.Delete)
	}
	if got := strings.Join(keys, " "); got != "c/req-1/0 j/req-1 d/req-1" {
		t.Errorf("wrote %s", got)
	}
	if r := table.BatchCommitted(batch, 9); len(r.Finished) != 1 || len(r.Ended) != 1 {
		t.Errorf("result %+v", r)
	}
	if table.ClaimsOnWorker("h") != nil || table.Job("req-1") != nil {
		t.Error("something is left of a job that is done")
	}
}

// A claim never reaches the store once its job is withdrawn: the guard on the
// live key fails, and the claim, never launched, is dropped.
func TestCancelBeforeCommit(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindService, 2, 1), 7)
	if _, err := table.Claim(job, "h", 1, "x"); err != nil {
		t.Fatal(err)
	}
	batch := table.NextBatch(batchLimits(16), now)
	guarded := false
	for _, g := range batch.Compares {
		guarded = guarded || g.Key == "j/req-1" && g.ModRevision == 7
	}
	if !guarded {
		t.Fatal("a claim is not guarded on its job being live")
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

// A claim that may have been launched stands after a withdrawal until proof.
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

// A job withdrawn after its last task finished but before that was durable
// leaves nothing behind.
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

func TestGangSharesAttempt(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindGang, 20, 1), 7)
	for round := uint64(1); round < 4; round++ {
		if !table.CanClaimGang(job) {
			t.Fatal("the gang may not start")
		}
		for i := range 20 {
			claim, err := table.Claim(job, fmt.Sprint("h", i), 1, "x")
			if err != nil || claim.Attempt != round {
				t.Fatalf("round %d: %+v %v", round, claim, err)
			}
		}
		for _, claim := range table.ClaimsOfJob(job) {
			if table.CanClaimGang(job) {
				t.Fatal("a gang may start while members of its last start are left")
			}
			table.Free(claim, now)
		}
	}
}

func TestBatchLimits(t *testing.T) {
	table := New("w", []settings.Team{{Name: "a", CPUsMax: 1e6}})
	job := table.AddJob("req-1", newJobRecord("a", wire.KindArray, 1000, 1), 7)
	for range 1000 {
		table.Claim(job, "host-with-a-name", 1, "zone-with-a-name")
	}
	seen := 0
	for batch := table.NextBatch(BatchLimits{MaxOperations: 12, MaxBytes: 8 << 10, MaxValueBytes: 16 << 10}, now); batch != nil; batch = table.NextBatch(BatchLimits{MaxOperations: 12, MaxBytes: 8 << 10, MaxValueBytes: 16 << 10}, now) {
		if len(batch.Operations) > 12 {
			t.Fatalf("%d changes in a batch", len(batch.Operations))
		}
		for _, c := range batch.Operations {
			if len(c.Value) > 1<<10 {
				t.Fatalf("a value of %d bytes", len(c.Value))
			}
		}
		seen += len(table.BatchCommitted(batch, 9).Claims)
	}
	if seen != 1000 {
		t.Errorf("%d claims became durable", seen)
	}
}

// fakeStore applies batches as the state service would.
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

func FuzzChunk(f *testing.F) {
	f.Add([]byte(`{"q":3,"d":"AQ","c":["1 h 2 3 z"],"w":"x"}`))
	f.Add([]byte(`{"q":3,"d":"AQ","z":"MlTIUDBSMFaoAgQAAP//","w":"x"}`))
	f.Add([]byte(`{"q":3,"z":"AAAA","w":"x"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := decodeChunk(data, 1)
		if err != nil {
			return
		}
		out, err := c.encode("w", 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeChunk(out, 1)
		if err != nil || len(again.claims) != len(c.claims) || again.done.count() != c.done.count() {
			t.Fatalf("%q became %q: %v", data, out, err)
		}
		for _, claim := range c.claims {
			if strings.Contains(claim.Zone+claim.Worker, "\n") {
				return // a line each: no name of the platform's has one
			}
		}
		small, err := packClaims(out)
		if err != nil {
			t.Fatal(err)
		}
		again, err = decodeChunk(small, 1)
		if err != nil || !maps.Equal(again.claims, c.claims) {
			t.Fatalf("%q packed as %q: %v", out, small, err)
		}
	})
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

// What a host's claims take, and how many are not durable, is kept as they come
// and go; counted afresh it is the same.
func TestCountersEqualRecount(t *testing.T) {
	table := New("w", []settings.Team{{Name: "t", CPUs: 1e6, CPUsMax: 1e6}})
	rnd := rand.New(rand.NewPCG(3, 4))
	var held []*Claim
	for i := range 2000 {
		ref := fmt.Sprintf("req-%d", rnd.IntN(12))
		job := table.Job(ref)
		if job == nil {
			job = table.AddJob(ref, JobRecord{Job: wire.Job{Team: "t", Kind: wire.KindArray, TaskCount: 40, CPUs: 0.1 + float64(rnd.IntN(9)), MemoryGB: 1.3}, ChunkTasks: 8}, uint64(i+1))
		}
		switch action := rnd.IntN(10); {
		case action < 5:
			if claim, err := table.Claim(job, fmt.Sprintf("h%d", rnd.IntN(5)), 1, "a"); err == nil {
				held = append(held, claim)
			}
		case action < 6 && len(held) > 0:
			table.Free(held[rnd.IntN(len(held))], now)
		case action < 8 && len(held) > 0:
			table.Finish(held[rnd.IntN(len(held))])
		case action < 9:
			if batch := table.NextBatch(batchLimits(16), now); batch != nil {
				if rnd.IntN(4) > 0 {
					table.BatchCommitted(batch, uint64(10000+i))
				} else {
					table.BatchFailed(batch)
				}
			}
		default:
			if rnd.IntN(20) == 0 {
				table.Cancel(ref)
			}
		}
		for _, job := range table.Jobs() {
			for n, c := range job.chunks {
				fresh := 0
				for i := n * job.chunkTasks; i < (n+1)*job.chunkTasks; i++ {
					if claim := job.claims[i]; claim != nil && !claim.Committed {
						fresh++
					}
				}
				if fresh != c.uncommitted {
					t.Fatalf("step %d, %s/%d: %d claims not durable, counted %d", i, job.Ref, n, c.uncommitted, fresh)
				}
			}
		}
		for n := range 5 {
			worker := fmt.Sprintf("h%d", n)
			var want Resources
			for _, claim := range table.ClaimsOnWorker(worker) {
				if !claim.Finished {
					want.add(&claim.Job.Spec, 1)
				}
			}
			got := table.UsedOnWorker(worker)
			if math.Abs(got.CPUs-want.CPUs) > 1e-9 || math.Abs(got.MemoryGB-want.MemoryGB) > 1e-9 || got.GPUs != want.GPUs {
				t.Fatalf("step %d, %s: %+v, counted %+v", i, worker, got, want)
			}
		}
	}
}

// Where not all fits a batch, claims go first: their tasks wait for it.
func TestClaimsWrittenFirst(t *testing.T) {
	table := New("w", testTeams())
	old := table.AddJob("req-1", JobRecord{Job: wire.Job{Team: "b", Kind: wire.KindArray, TaskCount: 4, CPUs: 1}, ChunkTasks: 4}, 1)
	claim, err := table.Claim(old, "h1", 1, "a")
	if err != nil {
		t.Fatal(err)
	}
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 2)
	table.Finish(claim)
	if table.HasUrgentWrites() {
		t.Error("a finish alone is urgent")
	}
	young := table.AddJob("req-2", JobRecord{Job: wire.Job{Team: "b", Kind: wire.KindArray, TaskCount: 4, CPUs: 1}, ChunkTasks: 4}, 3)
	if _, err := table.Claim(young, "h1", 1, "a"); err != nil {
		t.Fatal(err)
	}
	if !table.HasUrgentWrites() {
		t.Error("a claim is not urgent")
	}
	if batch := table.NextBatch(batchLimits(1), now); len(batch.JobRefs()) != 1 || batch.JobRefs()[0] != "req-2" {
		t.Errorf("first %v, want the claim", batch.JobRefs())
	}
}

// What others wait for is written first, and alone while the budget is short:
// the end of a needed job, then claims, then other ends, then plain finishes.
func TestWriteOrder(t *testing.T) {
	table := newDependencyTable("1", "2", "3 1")
	table.AddJob("req-4", JobRecord{Job: wire.Job{Team: "b", Kind: wire.KindArray, TaskCount: 3, CPUs: 1}, ChunkTasks: 4}, 9)
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
	if got := fmt.Sprint(batch.JobRefs()); got != "[req-4]" {
		t.Errorf("of what nothing waits for, %s is written", got)
	}
	table.BatchFailed(batch)
	var got []string
	lim := batchLimits(3)
	for lim.UrgentOnly = true; table.HasUrgentWrites(); {
		batch := table.NextBatch(lim, now)
		got = append(got, batch.JobRefs()...)
		table.BatchCommitted(batch, 11)
	}
	if fmt.Sprint(got) != "[req-1 req-5 req-2]" {
		t.Errorf("written %v, want the needed job's end, the claim, the other end, and no plain finish", got)
	}
	if batch := table.NextBatch(batchLimits(3), now); batch == nil || batch.JobRefs()[0] != "req-4" {
		t.Error("the finish is not written in the end")
	}
}

// A task that is over is gone from its machine: before its finish is durable its
// team may claim another in its place, and once it is, nothing is freed twice.
func TestFinishedTaskUsesNothing(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("a", wire.KindArray, 3, 16), 1)
	claim, _ := table.Claim(job, "h", 1, "x")
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 2)
	table.Finish(claim)
	if u := table.Usage("a"); u.CPUs != 0 {
		t.Fatalf("%v CPUs", u.CPUs)
	}
	if _, err := table.Claim(job, "g", 1, "x"); err != nil {
		t.Fatal(err)
	}
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 3)
	if u := table.Usage("a"); u.CPUs != 16 {
		t.Errorf("%v CPUs, want one task's", u.CPUs)
	}
}
