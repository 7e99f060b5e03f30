package ledger

import (
	"testing"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// A claim read after a loss of data counts, and goes only for a later attempt or by proof; a task
// that a worker has is adopted once; attempts go on where none was given out.
func TestAdoptOrphan(t *testing.T) {
	const minAttempt = 1 << 20
	on := func(worker string, attempt uint64) ClaimRecord {
		return ClaimRecord{Worker: worker, Incarnation: 1, Attempt: attempt, Zone: "a"}
	}
	confirm := func(_ *Table, job *Job) { job.claims[0].Unconfirmed = false }
	cancel := func(table *Table, _ *Job) { table.Cancel("r") }
	for _, tc := range []struct {
		name    string
		task    int
		record  ClaimRecord
		prepare func(table *Table, job *Job)
		adopted bool
		used    float64 // CPUs after
	}{
		{"not known to be there", 3, on("b", 7), nil, true, 2},
		{"a later attempt than is stored", 0, on("b", 7), nil, true, 1},
		{"an earlier one", 0, on("b", 1), nil, false, 1},
		{"the same attempt elsewhere", 0, on("b", 2), nil, false, 1},
		{"a later attempt of what was seen on its worker", 0, on("b", 7), confirm, false, 1},
		{"of a task that is done", 1, on("b", 7), nil, false, 1},
		{"of a job that is cancelled", 3, on("b", 7), cancel, false, 1},
		{"no task of the job", 6, on("b", 7), nil, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table, job := newLoadedTable(t, ChunkRecord{
				LastAttempt: 2, Done: map[int]bool{1: true}, Claims: map[int]ClaimRecord{0: on("a", 2)},
			})
			table.MarkClaimsUnconfirmed(minAttempt)
			if tc.prepare != nil {
				tc.prepare(table, job)
			}
			if got := table.AdoptOrphan(job, tc.task, tc.record, 8); (got != nil) != tc.adopted {
				t.Fatalf("adopted: %v", got)
			}
			if used := table.Usage("t").CPUs; used != tc.used {
				t.Errorf("the team uses %v, want %v", used, tc.used)
			}
			if tc.adopted {
				if table.AdoptOrphan(job, tc.task, tc.record, 8) != nil {
					t.Error("adopted twice")
				}
				if n := job.WaitingTasks() + job.ClaimedTasks() + job.DoneTasks(); n != 6 {
					t.Errorf("%d tasks in all", n)
				}
			}
			for job.WaitingTasks() > 0 {
				claim, err := table.Claim(job, "n", 1, "a")
				if err != nil {
					t.Fatal(err)
				}
				if claim.Attempt <= minAttempt || claim.Index == tc.task && tc.adopted {
					t.Errorf("task %d is claimed as attempt %d", claim.Index, claim.Attempt)
				}
			}
		})
	}
}

// newLoadedTable loads a job of six tasks with its first chunk.
func newLoadedTable(t *testing.T, chunk ChunkRecord) (*Table, *Job) {
	t.Helper()
	table := New("w", []settings.Team{{Name: "t", CPUsMax: 10}})
	record := newJobRecord("t", wire.KindArray, 6, 1)
	record.ChunkTasks = 4
	job := table.AddJob("r", record, 3)
	data, err := chunk.Encode("w", 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	if err := table.LoadChunk(ChunkKey("r", 0), data, 4, 8); err != nil {
		t.Fatal(err)
	}
	table.FinishLoading()
	return table, job
}
