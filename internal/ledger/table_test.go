package ledger

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
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
