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

func batchLimits(operations int) BatchLimits {
	return BatchLimits{MaxOperations: operations, MaxBytes: 40 << 10, MaxValueBytes: 16 << 10}
}

func testTeams() []settings.Team {
	return []settings.Team{{Name: "a", CPUs: 8, CPUsMax: 16}, {Name: "b", CPUs: 100, CPUsMax: 100}}
}

func newJobRecord(team, kind string, tasks int, cpus float64) JobRecord {
	return JobRecord{Job: wire.Job{Team: team, Kind: kind, TaskCount: tasks, CPUs: cpus}, ChunkTasks: 8}
}

func TestCheckClaim(t *testing.T) {
	array := func(tasks int) JobRecord { return newJobRecord("b", wire.KindArray, tasks, 1) }
	service := func(tasks int) JobRecord { return newJobRecord("b", wire.KindService, tasks, 1) }
	large := newJobRecord("a", wire.KindArray, 9, 4)
	inZoneY := func(job *wire.Job) { job.Zone = "y" }
	spread := func(job *wire.Job) { job.SpreadZones = true }
	singleZone := func(job *wire.Job) { job.SingleZone = true }
	for _, tc := range []struct {
		name   string
		record JobRecord
		modify func(*wire.Job)
		zones  []string // zones of the earlier claims
		zone   string
		want   error
	}{
		{"plain", array(4), nil, nil, "x", nil},
		{"limit reached by the job's own claims", large, nil, []string{"x", "x", "y", "y"}, "x", ErrQuotaExceeded},
		{"just within the limit", large, nil, []string{"x", "x", "y"}, "x", nil},
		{"no waiting task", array(1), nil, []string{"x"}, "x", ErrNoWaitingTask},
		{"unknown team", newJobRecord("c", wire.KindArray, 1, 1), nil, nil, "x", ErrQuotaExceeded},
		{"other zone required", array(1), inZoneY, nil, "x", ErrZoneNotAllowed},
		{"spread: fifth of 9", service(9), spread, []string{"x", "x", "x", "x"}, "x", nil},
		{"spread: sixth of 9", service(9), spread, []string{"x", "x", "x", "x", "x"}, "x", ErrZoneNotAllowed},
		{"spread: only task", service(1), spread, nil, "x", nil},
		{"single zone, claimed elsewhere", array(3), singleZone, []string{"y"}, "x", ErrZoneNotAllowed},
		{"single zone, claimed there", array(3), singleZone, []string{"x"}, "x", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := New("w", testTeams())
			if tc.modify != nil {
				tc.modify(&tc.record.Job)
			}
			job := table.AddJob("req-1", tc.record, 1)
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

// A claim must count in the quota until it is freed. Freeing it twice must have no further effect,
// and the task's next claim must have a higher attempt number.
func TestClaimCountsUntilFreed(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("a", wire.KindArray, 9, 16), 1)
	claim, err := table.Claim(job, "h", 1, "x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Claim(job, "g", 1, "x"); !errors.Is(err, ErrQuotaExceeded) {
		t.Fatalf("second claim: got error %v, want %v", err, ErrQuotaExceeded)
	}
	table.Free(claim, now)
	table.Free(claim, now) // freeing it again must change nothing
	if usage := table.Usage("a"); usage.CPUs != 0 {
		t.Errorf("usage %v after freeing, want 0 CPUs", usage)
	}
	again, err := table.Claim(job, "g", 1, "x")
	if err != nil || again.Index != claim.Index || again.Attempt <= claim.Attempt {
		t.Errorf("claimed again as %+v, %v, want task %d with an attempt above %d",
			again, err, claim.Index, claim.Attempt)
	}
}

// A finished task must stop counting in its team's quota even before the finish is durable, and must
// not be subtracted a second time once it is.
func TestFinishedTaskUsesNothing(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("a", wire.KindArray, 3, 16), 1)
	claim, _ := table.Claim(job, "h", 1, "x")
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 2)
	table.Finish(claim)
	if usage := table.Usage("a"); usage.CPUs != 0 {
		t.Fatalf("%v CPUs used after the finish, want 0", usage.CPUs)
	}
	if _, err := table.Claim(job, "g", 1, "x"); err != nil {
		t.Fatal(err)
	}
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 3)
	if usage := table.Usage("a"); usage.CPUs != 16 {
		t.Errorf("%v CPUs used, want the 16 of one task", usage.CPUs)
	}
}

// The tasks of a gang must share one attempt number, which rises with each start of the gang.
func TestGangSharesAttempt(t *testing.T) {
	table := New("w", testTeams())
	job := table.AddJob("req-1", newJobRecord("b", wire.KindGang, 20, 1), 7)
	for round := uint64(1); round < 4; round++ {
		if !table.CanClaimGang(job) {
			t.Fatalf("round %d: the gang may not be claimed", round)
		}
		for i := range 20 {
			claim, err := table.Claim(job, fmt.Sprint("h", i), 1, "x")
			if err != nil || claim.Attempt != round {
				t.Fatalf("round %d: got claim %+v, %v, want attempt %d", round, claim, err, round)
			}
		}
		for _, claim := range table.ClaimsOfJob(job) {
			if table.CanClaimGang(job) {
				t.Fatalf("round %d: the gang may be claimed while claims of its last start remain", round)
			}
			table.Free(claim, now)
		}
	}
}

// The totals that the table maintains incrementally, which are the resources used on each worker and
// the number of uncommitted claims of each chunk, must equal a recount after every step of a random
// sequence.
func TestCountersEqualRecount(t *testing.T) {
	table := New("w", []settings.Team{{Name: "t", CPUs: 1e6, CPUsMax: 1e6}})
	rnd := rand.New(rand.NewPCG(3, 4))
	var held []*Claim
	for step := range 2000 {
		jobID := fmt.Sprintf("req-%d", rnd.IntN(12))
		job := table.Job(jobID)
		if job == nil {
			record := newJobRecord("t", wire.KindArray, 40, 0.1+float64(rnd.IntN(9)))
			record.Job.MemoryGB = 1.3
			job = table.AddJob(jobID, record, uint64(step+1))
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
					table.BatchCommitted(batch, uint64(10000+step))
				} else {
					table.BatchFailed(batch)
				}
			}
		default:
			if rnd.IntN(20) == 0 {
				table.Cancel(jobID)
			}
		}
		checkUncommittedCounts(t, table, step)
		checkUsedResources(t, table, step)
	}
}

func checkUncommittedCounts(t *testing.T, table *Table, step int) {
	t.Helper()
	for _, job := range table.Jobs() {
		for index, chunk := range job.chunks {
			want := 0
			for task := index * job.chunkTasks; task < (index+1)*job.chunkTasks; task++ {
				if claim := job.claims[task]; claim != nil && !claim.Committed {
					want++
				}
			}
			if chunk.uncommittedClaims != want {
				t.Fatalf("step %d, %s/%d: %d uncommitted claims, recount gives %d",
					step, job.ID, index, chunk.uncommittedClaims, want)
			}
		}
	}
}

func checkUsedResources(t *testing.T, table *Table, step int) {
	t.Helper()
	const tolerance = 1e-9
	for i := range 5 {
		worker := fmt.Sprintf("h%d", i)
		var want Resources
		for _, claim := range table.ClaimsOnWorker(worker) {
			if !claim.Finished {
				want.add(&claim.Job.Spec, 1)
			}
		}
		got := table.UsedOnWorker(worker)
		diffCPUs, diffMemory := math.Abs(got.CPUs-want.CPUs), math.Abs(got.MemoryGB-want.MemoryGB)
		if diffCPUs > tolerance || diffMemory > tolerance || got.GPUs != want.GPUs {
			t.Fatalf("step %d, %s: %+v used, recount gives %+v", step, worker, got, want)
		}
	}
}
