package ledger

import (
	"errors"
	"testing"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// A claim of a history that was lost counts, and goes only for a later try or by proof; a
// task that a machine has is taken in once; tries go on where none was given out.
func TestAdoptOrphan(t *testing.T) {
	const base = 1 << 20
	claim := func(worker string, attempt uint64) ClaimRecord {
		return ClaimRecord{Worker: worker, Incarnation: 1, Attempt: attempt, Zone: "a"}
	}
	for _, tc := range []struct {
		name  string
		index int
		c     ClaimRecord
		prep  func(table *Table, job *Job)
		taken bool
		used  float64 // CPUs after
	}{
		{"not known to be there", 3, claim("b", 7), nil, true, 2},
		{"a later try than is remembered", 0, claim("b", 7), nil, true, 1},
		{"an earlier one", 0, claim("b", 1), nil, false, 1},
		{"the same try elsewhere", 0, claim("b", 2), nil, false, 1},
		{"a later try of what was seen on its machine", 0, claim("b", 7), func(table *Table, job *Job) { job.claims[0].Unconfirmed = false }, false, 1},
		{"of a task that is done", 1, claim("b", 7), nil, false, 1},
		{"of a job that is withdrawn", 3, claim("b", 7), func(table *Table, job *Job) { table.Cancel("r") }, false, 1},
		{"no task of the job", 6, claim("b", 7), nil, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := New("w", []settings.Team{{Name: "t", CPUsMax: 10}})
			job := table.AddJob("r", JobRecord{Job: wire.Job{ID: "r", Team: "t", Kind: wire.KindArray, TaskCount: 6, CPUs: 1}, ChunkTasks: 4}, 3)
			data, err := ChunkRecord{LastAttempt: 2, Done: map[int]bool{1: true}, Claims: map[int]ClaimRecord{0: claim("a", 2)}}.Encode("w", 1<<10)
			if err != nil {
				t.Fatal(err)
			}
			if err := table.LoadChunk(ChunkKey("r", 0), data, 4, 8); err != nil {
				t.Fatal(err)
			}
			table.FinishLoading()
			table.MarkClaimsUnconfirmed(base)
			if tc.prep != nil {
				tc.prep(table, job)
			}
			if got := table.AdoptOrphan(job, tc.index, tc.c, 8); (got != nil) != tc.taken {
				t.Fatalf("taken: %v", got)
			}
			if u := table.Usage("t").CPUs; u != tc.used {
				t.Errorf("the team uses %v, want %v", u, tc.used)
			}
			if tc.taken {
				if table.AdoptOrphan(job, tc.index, tc.c, 8) != nil {
					t.Error("taken in twice")
				}
				if n := job.WaitingTasks() + job.ClaimedTasks() + job.DoneTasks(); n != 6 {
					t.Errorf("%d tasks in all", n)
				}
			}
			for job.WaitingTasks() > 0 {
				h, err := table.Claim(job, "n", 1, "a")
				if err != nil {
					t.Fatal(err)
				}
				if h.Attempt <= base || h.Index == tc.index && tc.taken {
					t.Errorf("task %d is claimed as try %d", h.Index, h.Attempt)
				}
			}
		})
	}
}

// What is reserved for tasks of unknown jobs counts against every team.
func TestReservedUsage(t *testing.T) {
	table := New("w", []settings.Team{{Name: "t", CPUsMax: 4}, {Name: "u", CPUsMax: 2}})
	array := table.AddJob("r", JobRecord{Job: wire.Job{ID: "r", Team: "t", Kind: wire.KindArray, TaskCount: 6, CPUs: 1}, ChunkTasks: 4}, 3)
	gang := table.AddJob("s", JobRecord{Job: wire.Job{ID: "s", Team: "u", Kind: wire.KindGang, TaskCount: 2, CPUs: 1}, ChunkTasks: 4}, 3)
	if table.QuotaHeadroom(array) != 4 || !table.CanClaimGang(gang) {
		t.Fatal("before")
	}
	table.Reserve(3, 0)
	if table.QuotaHeadroom(array) != 1 || table.QuotaHeadroom(gang) != 0 || table.CanClaimGang(gang) || !errors.Is(table.CheckClaim(gang, "a"), ErrQuotaExceeded) || table.CheckClaim(array, "a") != nil {
		t.Errorf("room for %d and %d", table.QuotaHeadroom(array), table.QuotaHeadroom(gang))
	}
	table.Reserve(0, 0)
	if table.QuotaHeadroom(array) != 4 {
		t.Error("after")
	}
}

// What is read of a stored chunk is what is stored again, and a key written again has
// its new stamp guarded.
func TestChunkRecordRoundTrip(t *testing.T) {
	record := ChunkRecord{LastAttempt: 9, AuditBlock: 3, Done: map[int]bool{0: true, 9: true}, Claims: map[int]ClaimRecord{2: {Worker: "h", Incarnation: 4, Attempt: 9, Zone: "z"}}}
	for _, limit := range []int{1 << 10, 150} { // plain, and packed
		data, err := record.Encode("w", limit)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeChunkRecord(data)
		if err != nil || got.LastAttempt != 9 || got.AuditBlock != 3 || !got.Done[9] || len(got.Done) != 2 || got.Claims[2] != record.Claims[2] {
			t.Errorf("%d: %+v, %v", limit, got, err)
		}
	}
	table := New("w", nil)
	job := table.AddJob("r", JobRecord{Job: wire.Job{ID: "r", Kind: wire.KindArray, TaskCount: 3}, ChunkTasks: 4}, 3)
	data, err := ChunkRecord{LastAttempt: 1, Claims: map[int]ClaimRecord{0: {Worker: "h", Incarnation: 1, Attempt: 1, Zone: "z"}}}.Encode("w", 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	if err := table.LoadChunk(ChunkKey("r", 0), data, 0, 1); err != nil {
		t.Fatal(err)
	}
	table.FinishLoading()
	table.SetModRevision(LiveKey("r"), 21)
	table.SetModRevision(ChunkKey("r", 0), 22)
	table.SetModRevision(ChunkKey("x", 0), 23)
	table.Free(job.claims[0], time.Time{})
	batch := table.NextBatch(BatchLimits{MaxOperations: 8, MaxBytes: 1 << 20, MaxValueBytes: 1 << 10}, time.Time{})
	if job.ModRevision() != 21 || len(batch.Compares) != 1 || batch.Compares[0].ModRevision != 22 {
		t.Errorf("guards %v, job %d", batch.Compares, job.ModRevision())
	}
}
