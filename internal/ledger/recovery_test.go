package ledger

import (
	"testing"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// A claim read after a loss of data must count in the quota, and be replaced only if a worker reports
// a later attempt. A task that a worker reports without a claim must be adopted once, and new
// attempts must be numbered above all earlier ones.
func TestAdoptOrphan(t *testing.T) {
	const minAttempt = 1 << 20
	claimOn := func(worker string, attempt uint64) ClaimRecord {
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
		cpus    float64 // used by the team afterwards
	}{
		{"task without a claim", 3, claimOn("b", 7), nil, true, 2},
		{"later attempt than the unconfirmed claim", 0, claimOn("b", 7), nil, true, 1},
		{"earlier attempt than the unconfirmed claim", 0, claimOn("b", 1), nil, false, 1},
		{"same attempt on another worker", 0, claimOn("b", 2), nil, false, 1},
		{"later attempt than a confirmed claim", 0, claimOn("b", 7), confirm, false, 1},
		{"task is done", 1, claimOn("b", 7), nil, false, 1},
		{"job is cancelled", 3, claimOn("b", 7), cancel, false, 1},
		{"no such task", 6, claimOn("b", 7), nil, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table, job := newLoadedTable(t, ChunkRecord{
				LastAttempt: 2, Done: map[int]bool{1: true}, Claims: map[int]ClaimRecord{0: claimOn("a", 2)},
			})
			table.MarkClaimsUnconfirmed(minAttempt)
			if tc.prepare != nil {
				tc.prepare(table, job)
			}
			if got := table.AdoptOrphan(job, tc.task, tc.record, 8); (got != nil) != tc.adopted {
				t.Fatalf("adopted claim %v, want one: %v", got, tc.adopted)
			}
			if cpus := table.Usage("t").CPUs; cpus != tc.cpus {
				t.Errorf("the team uses %v CPUs, want %v", cpus, tc.cpus)
			}
			if tc.adopted {
				if table.AdoptOrphan(job, tc.task, tc.record, 8) != nil {
					t.Error("adopted twice")
				}
				if n := job.WaitingTasks() + job.ClaimedTasks() + job.DoneTasks(); n != 6 {
					t.Errorf("%d tasks waiting, claimed or done, want 6", n)
				}
			}
			for job.WaitingTasks() > 0 {
				claim, err := table.Claim(job, "n", 1, "a")
				if err != nil {
					t.Fatal(err)
				}
				if claim.Attempt <= minAttempt || claim.Index == tc.task && tc.adopted {
					t.Errorf("task %d is claimed as attempt %d, want a task without a claim and an attempt above %d",
						claim.Index, claim.Attempt, minAttempt)
				}
			}
		})
	}
}

// newLoadedTable returns a table with a job of six tasks, loaded with the given first chunk.
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
