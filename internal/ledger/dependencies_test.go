package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"rillflow/internal/wire"
)

// newDependencyTable returns a table of one-task jobs from lines like "3 1 2", which means that req-3
// depends on req-1 and req-2.
func newDependencyTable(lines ...string) *Table {
	table := New("w", testTeams())
	for i, line := range lines {
		fields := strings.Fields(line)
		record := newJobRecord("b", wire.KindArray, 1, 1)
		for _, number := range fields[1:] {
			record.Job.DependsOn = append(record.Job.DependsOn, "req-"+number)
		}
		table.AddJob("req-"+fields[0], record, uint64(i+1))
	}
	return table
}

// runToEnd claims and finishes the only task of a job and commits the job's end.
func runToEnd(t *testing.T, table *Table, jobID string, at time.Time) CommitResult {
	t.Helper()
	claim, err := table.Claim(table.Job(jobID), "h", 1, "x")
	if err != nil {
		t.Fatalf("%s: %v", jobID, err)
	}
	table.BatchCommitted(table.NextBatch(batchLimits(16), at), 100)
	table.Finish(claim)
	return table.BatchCommitted(table.NextBatch(batchLimits(16), at), 101)
}

// jobNumbers returns the numbers of the jobs, sorted.
func jobNumbers(jobs []*Job) string {
	var numbers []string
	for _, job := range jobs {
		numbers = append(numbers, strings.TrimPrefix(job.ID, "req-"))
	}
	slices.Sort(numbers)
	return strings.Join(numbers, " ")
}

// No task of a job may be claimed until all its dependencies are durably done: a finish that is not
// durable yet may still be overtaken by a cancellation.
func TestDependenciesMustBeDurable(t *testing.T) {
	table := newDependencyTable("1", "2", "3 1 2")
	job := table.Job("req-3")
	mayClaim := func() bool { return table.CheckClaim(job, "x") == nil }
	if mayClaim() || job.WaitingTasks() != 0 {
		t.Fatal("the job may be claimed before its dependencies are done")
	}
	runToEnd(t, table, "req-1", now)
	if mayClaim() {
		t.Fatal("the job may be claimed with one of two dependencies done")
	}
	claim, _ := table.Claim(table.Job("req-2"), "h", 1, "x")
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 102)
	table.Finish(claim)
	batch := table.NextBatch(batchLimits(16), now.Add(time.Minute))
	if mayClaim() {
		t.Fatal("the job may be claimed before the finish of its dependency is durable")
	}
	if result := table.BatchCommitted(batch, 103); jobNumbers(result.Unblocked) != "3" || !mayClaim() {
		t.Errorf("unblocked %q, want \"3\"; may be claimed: %v", jobNumbers(result.Unblocked), mayClaim())
	}
	if want := now.Add(time.Minute); !job.ReadyAt.Equal(want) || !job.WaitingSince.Equal(want) {
		t.Errorf("ready at %v, waiting since %v; want %v for both", job.ReadyAt, job.WaitingSince, want)
	}
}

// A cancellation must propagate to every direct and transitive dependent once, and to no other job.
func TestCancellationPropagates(t *testing.T) {
	for _, tc := range []struct {
		name      string
		lines     []string
		cancelled string
		want      string
	}{
		{"no dependents", []string{"1", "2"}, "1", ""},
		{"chain", []string{"1", "2 1", "3 2", "4 3"}, "1", "2 3 4"},
		{"middle of a chain", []string{"1", "2 1", "3 2", "4 3"}, "3", "4"},
		{"end of a chain, upstream unaffected", []string{"1", "2 1", "3 2"}, "3", ""},
		{"diamond", []string{"1", "2 1", "3 1", "4 2 3", "5"}, "1", "2 3 4"},
		{"one side of a diamond", []string{"1", "2 1", "3 1", "4 2 3"}, "2", "4"},
		{"fan-out", []string{"1", "2 1", "3 1", "4 1", "5 4"}, "1", "2 3 4 5"},
		{"added in reverse order", []string{"4 3", "3 2", "2 1", "1"}, "1", "2 3 4"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newDependencyTable(tc.lines...)
			table.Cancel("req-" + tc.cancelled)
			var got []*Job
			for jobs := table.JobsToCancel(2); len(jobs) > 0; jobs = table.JobsToCancel(2) {
				for _, job := range jobs {
					if job.CancelledUpstream() == "" || job.WaitingTasks() != 0 {
						t.Errorf("%s: cancelled upstream %q, %d tasks wait; want an upstream job and no tasks",
							job.ID, job.CancelledUpstream(), job.WaitingTasks())
					}
					got = append(got, job)
					table.Cancel(job.ID)
				}
			}
			if jobNumbers(got) != tc.want {
				t.Errorf("propagated to %q, want %q", jobNumbers(got), tc.want)
			}
			if len(table.UnresolvedDependencies()) != 0 {
				t.Errorf("unresolved dependencies %v, want none", table.UnresolvedDependencies())
			}
		})
	}
}

// A dependency that ended before this leader's term, or before the dependent was submitted, must be
// listed as unresolved until it is resolved, and resolving it again must have no effect.
func TestResolveDependency(t *testing.T) {
	table := newDependencyTable("3 1 2", "4 3")
	if got := fmt.Sprint(table.UnresolvedDependencies()); got != "[req-1 req-2]" {
		t.Fatalf("unresolved dependencies %s, want [req-1 req-2]", got)
	}
	at := now.Add(time.Minute)
	if unblocked := table.ResolveDependency("req-1", true, at); len(unblocked) != 0 {
		t.Error("unblocked with one of two dependencies done")
	}
	unblocked := table.ResolveDependency("req-2", true, now)
	if jobNumbers(unblocked) != "3" || !unblocked[0].ReadyAt.Equal(at) {
		t.Errorf("unblocked %q, want \"3\", ready at %v", jobNumbers(unblocked), at)
	}
	unblocked = table.ResolveDependency("req-2", true, now)
	if len(unblocked) != 0 || len(table.UnresolvedDependencies()) != 0 {
		t.Error("a dependency resolved twice has an effect or stays unresolved")
	}

	table = newDependencyTable("1", "2 1")
	runToEnd(t, table, "req-1", now)
	late := newJobRecord("b", wire.KindArray, 1, 1)
	late.Job.DependsOn = []string{"req-1"}
	job := table.AddJob("req-9", late, 50)
	if job.DependenciesMet() || fmt.Sprint(table.UnresolvedDependencies()) != "[req-1]" {
		t.Errorf("dependencies met %v, unresolved %v; want false, [req-1]",
			job.DependenciesMet(), table.UnresolvedDependencies())
	}
	table.ResolveDependency("req-1", false, now)
	if jobNumbers(table.JobsToCancel(9)) != "9" {
		t.Errorf("to be cancelled: %q, want \"9\"", jobNumbers(table.JobsToCancel(9)))
	}
	// A job submitted later that depends on it is to be cancelled at once too.
	after := newJobRecord("b", wire.KindArray, 1, 1)
	after.Job.DependsOn = []string{"req-9"}
	table.AddJob("req-10", after, 51)
	if jobNumbers(table.JobsToCancel(9)) != "10 9" {
		t.Errorf("to be cancelled: %q, want \"10 9\"", jobNumbers(table.JobsToCancel(9)))
	}
}

// In random graphs with random cancellations and finishes, a job must be done only after all its
// dependencies, and must be marked for cancellation only if one of them is cancelled or marked.
func TestRandomDependencyGraphs(t *testing.T) {
	const jobs = 40
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		table := newDependencyTable(randomGraph(rnd, jobs)...)
		done, cancelled := map[string]bool{}, map[string]bool{}
		for len(table.Jobs()) > 0 {
			jobID := pickJob(table, rnd)
			if jobID == "" {
				continue
			}
			if job := table.Job(jobID); job.WaitingTasks() > 0 && rnd.IntN(8) > 0 {
				for _, dependency := range job.Spec.DependsOn {
					if !done[dependency] {
						t.Fatalf("seed %d: %s may be claimed before its dependency %s is done", seed, jobID, dependency)
					}
				}
				runToEnd(t, table, jobID, now)
				done[jobID] = true
				continue
			}
			table.Cancel(jobID)
			cancelled[jobID] = true
			upstreamCancelled := func(jobID string) bool {
				return cancelled[jobID] || table.Job(jobID) != nil && table.Job(jobID).CancelledUpstream() != ""
			}
			for next := table.JobsToCancel(1 + rnd.IntN(3)); len(next) > 0; next = table.JobsToCancel(2) {
				for _, job := range next {
					if !slices.ContainsFunc(job.Spec.DependsOn, upstreamCancelled) {
						t.Fatalf("seed %d: %s is to be cancelled without a cancelled dependency", seed, job.ID)
					}
					table.Cancel(job.ID)
					cancelled[job.ID] = true
				}
			}
		}
		if len(done)+len(cancelled) != jobs {
			t.Fatalf("seed %d: %d jobs done, %d cancelled; want %d in all", seed, len(done), len(cancelled), jobs)
		}
		if len(table.dependencies.dependents) != 0 || len(table.JobsToCancel(1)) != 0 {
			t.Fatalf("seed %d: dependents or jobs to cancel remain after all jobs ended", seed)
		}
	}
}

// randomGraph returns lines for newDependencyTable: each job depends on up to three earlier ones.
func randomGraph(rnd *rand.Rand, jobs int) []string {
	var lines []string
	for i := range jobs {
		line := fmt.Sprint(i)
		for range rnd.IntN(4) {
			if i > 0 {
				line += fmt.Sprint(" ", rnd.IntN(i))
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// pickJob picks a job with waiting tasks or, less often, one without. It returns "" if the random
// choice left none to pick from.
func pickJob(table *Table, rnd *rand.Rand) string {
	var jobIDs []string
	for jobID, job := range table.Jobs() {
		if job.WaitingTasks() > 0 || rnd.IntN(10) == 0 {
			jobIDs = append(jobIDs, jobID)
		}
	}
	if len(jobIDs) == 0 {
		return ""
	}
	slices.Sort(jobIDs)
	return jobIDs[rnd.IntN(len(jobIDs))]
}

func TestOldestPendingCancellation(t *testing.T) {
	table := newDependencyTable("1", "2 1", "3", "4 3")
	if pending, ok := table.OldestPendingCancellation(); ok {
		t.Errorf("got %+v with nothing cancelled, want none", pending)
	}
	for i, jobID := range []string{"req-3", "req-1"} {
		table.Job(jobID).CancelledAt = now.Add(time.Duration(i) * time.Minute)
		table.Cancel(jobID)
	}
	for _, want := range []PendingCancellation{
		{JobID: "req-4", Cause: "req-3", Since: now}, {JobID: "req-2", Cause: "req-1", Since: now.Add(time.Minute)},
	} {
		if pending, ok := table.OldestPendingCancellation(); !ok || pending != want {
			t.Errorf("got %+v, want %+v", pending, want)
		}
		table.Cancel(want.JobID)
	}
	if pending, ok := table.OldestPendingCancellation(); ok {
		t.Errorf("got %+v with all cancellations propagated, want none", pending)
	}
}
