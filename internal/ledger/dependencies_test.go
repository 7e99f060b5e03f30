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

// newDependencyTable makes a table of small jobs from lines like "3 1 2": req-3 depends on req-1
// and req-2.
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

// runToEnd runs a job of one task to its durable end.
func runToEnd(t *testing.T, table *Table, ref string, at time.Time) CommitResult {
	t.Helper()
	claim, err := table.Claim(table.Job(ref), "h", 1, "x")
	if err != nil {
		t.Fatalf("%s: %v", ref, err)
	}
	table.BatchCommitted(table.NextBatch(batchLimits(16), at), 100)
	table.Finish(claim)
	return table.BatchCommitted(table.NextBatch(batchLimits(16), at), 101)
}

// shortRefs are the numbers of jobs, in order.
func shortRefs(jobs []*Job) string {
	var refs []string
	for _, job := range jobs {
		refs = append(refs, strings.TrimPrefix(job.ID, "req-"))
	}
	slices.Sort(refs)
	return strings.Join(refs, " ")
}

// No task of a job may be claimed until what it depends on is durably done: a finish that was only
// reported may still lose against a cancellation.
func TestDependenciesMustBeDurable(t *testing.T) {
	table := newDependencyTable("1", "2", "3 1 2")
	job := table.Job("req-3")
	mayClaim := func() bool { return table.CheckClaim(job, "x") == nil }
	if mayClaim() || job.WaitingTasks() != 0 {
		t.Fatal("it may start before what it depends on")
	}
	runToEnd(t, table, "req-1", now)
	if mayClaim() {
		t.Fatal("it may start with one of two done")
	}
	claim, _ := table.Claim(table.Job("req-2"), "h", 1, "x")
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 102)
	table.Finish(claim)
	batch := table.NextBatch(batchLimits(16), now.Add(time.Minute))
	if mayClaim() {
		t.Fatal("it may start on a finish that is not durable")
	}
	if result := table.BatchCommitted(batch, 103); shortRefs(result.Unblocked) != "3" || !mayClaim() {
		t.Errorf("unblocked %q", shortRefs(result.Unblocked))
	}
	if want := now.Add(time.Minute); !job.ReadyAt.Equal(want) || !job.WaitingSince.Equal(want) {
		t.Errorf("ready at %v, waiting since %v", job.ReadyAt, job.WaitingSince)
	}
}

// A cancellation reaches every dependent once, through chains and diamonds, and nothing else.
func TestCancellationPropagates(t *testing.T) {
	for _, tc := range []struct {
		name      string
		lines     []string
		cancelled string
		want      string
	}{
		{"alone", []string{"1", "2"}, "1", ""},
		{"chain", []string{"1", "2 1", "3 2", "4 3"}, "1", "2 3 4"},
		{"from the middle", []string{"1", "2 1", "3 2", "4 3"}, "3", "4"},
		{"the last one leaves what it depends on alone", []string{"1", "2 1", "3 2"}, "3", ""},
		{"diamond", []string{"1", "2 1", "3 1", "4 2 3", "5"}, "1", "2 3 4"},
		{"one side of a diamond", []string{"1", "2 1", "3 1", "4 2 3"}, "2", "4"},
		{"fan", []string{"1", "2 1", "3 1", "4 1", "5 4"}, "1", "2 3 4 5"},
		{"read in another order", []string{"4 3", "3 2", "2 1", "1"}, "1", "2 3 4"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newDependencyTable(tc.lines...)
			table.Cancel("req-" + tc.cancelled)
			var got []*Job
			for jobs := table.JobsToCancel(2); len(jobs) > 0; jobs = table.JobsToCancel(2) {
				for _, job := range jobs {
					if job.CancelledUpstream() == "" || job.WaitingTasks() != 0 {
						t.Errorf("%s: because of %q, %d tasks wait", job.ID, job.CancelledUpstream(), job.WaitingTasks())
					}
					got = append(got, job)
					table.Cancel(job.ID)
				}
			}
			if shortRefs(got) != tc.want {
				t.Errorf("propagated to %q, want %q", shortRefs(got), tc.want)
			}
			if len(table.UnresolvedDependencies()) != 0 {
				t.Errorf("unresolved: %v", table.UnresolvedDependencies())
			}
		})
	}
}

// What ended before this leader's term, or before a late dependent came, is unresolved; each answer
// is taken once.
func TestResolveDependency(t *testing.T) {
	table := newDependencyTable("3 1 2", "4 3")
	if got := fmt.Sprint(table.UnresolvedDependencies()); got != "[req-1 req-2]" {
		t.Fatalf("unresolved: %s", got)
	}
	at := now.Add(time.Minute)
	if unblocked := table.ResolveDependency("req-1", true, at); len(unblocked) != 0 {
		t.Error("unblocked with one of two")
	}
	unblocked := table.ResolveDependency("req-2", true, now)
	if shortRefs(unblocked) != "3" || !unblocked[0].ReadyAt.Equal(at) {
		t.Errorf("unblocked %q", shortRefs(unblocked))
	}
	unblocked = table.ResolveDependency("req-2", true, now)
	if len(unblocked) != 0 || len(table.UnresolvedDependencies()) != 0 {
		t.Error("taken twice")
	}

	table = newDependencyTable("1", "2 1")
	runToEnd(t, table, "req-1", now)
	late := newJobRecord("b", wire.KindArray, 1, 1)
	late.Job.DependsOn = []string{"req-1"}
	job := table.AddJob("req-9", late, 50)
	if job.DependenciesMet() || fmt.Sprint(table.UnresolvedDependencies()) != "[req-1]" {
		t.Errorf("dependencies met %v, unresolved %v", job.DependenciesMet(), table.UnresolvedDependencies())
	}
	table.ResolveDependency("req-1", false, now)
	if shortRefs(table.JobsToCancel(9)) != "9" {
		t.Errorf("to be cancelled: %q", shortRefs(table.JobsToCancel(9)))
	}
	// A job that comes to depend on it now shares its fate at once.
	after := newJobRecord("b", wire.KindArray, 1, 1)
	after.Job.DependsOn = []string{"req-9"}
	table.AddJob("req-10", after, 51)
	if shortRefs(table.JobsToCancel(9)) != "10 9" {
		t.Errorf("to be cancelled: %q", shortRefs(table.JobsToCancel(9)))
	}
}

// Random graphs, cancellations and finishes: each job ends done only after all it depends on, or
// cancelled exactly when something upstream was.
func TestRandomDependencyGraphs(t *testing.T) {
	const jobs = 40
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		table := newDependencyTable(randomGraph(rnd, jobs)...)
		done, cancelled := map[string]bool{}, map[string]bool{}
		for len(table.Jobs()) > 0 {
			ref := pickJob(table, rnd)
			if ref == "" {
				continue
			}
			if job := table.Job(ref); job.WaitingTasks() > 0 && rnd.IntN(8) > 0 {
				for _, dependency := range job.Spec.DependsOn {
					if !done[dependency] {
						t.Fatalf("seed %d: %s may start before %s", seed, ref, dependency)
					}
				}
				runToEnd(t, table, ref, now)
				done[ref] = true
				continue
			}
			table.Cancel(ref)
			cancelled[ref] = true
			upstreamCancelled := func(ref string) bool {
				return cancelled[ref] || table.Job(ref) != nil && table.Job(ref).CancelledUpstream() != ""
			}
			for next := table.JobsToCancel(1 + rnd.IntN(3)); len(next) > 0; next = table.JobsToCancel(2) {
				for _, job := range next {
					if !slices.ContainsFunc(job.Spec.DependsOn, upstreamCancelled) {
						t.Fatalf("seed %d: %s is cancelled for nothing", seed, job.ID)
					}
					table.Cancel(job.ID)
					cancelled[job.ID] = true
				}
			}
		}
		if len(done)+len(cancelled) != jobs {
			t.Fatalf("seed %d: %d done, %d cancelled", seed, len(done), len(cancelled))
		}
		if len(table.dependencies.dependents) != 0 || len(table.JobsToCancel(1)) != 0 {
			t.Fatalf("seed %d: something is left", seed)
		}
	}
}

// randomGraph makes lines for newDependencyTable: each job depends on up to three before it.
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

// pickJob picks a job that may be claimed, now and then one that may not, or "".
func pickJob(table *Table, rnd *rand.Rand) string {
	var refs []string
	for ref, job := range table.Jobs() {
		if job.WaitingTasks() > 0 || rnd.IntN(10) == 0 {
			refs = append(refs, ref)
		}
	}
	if len(refs) == 0 {
		return ""
	}
	slices.Sort(refs)
	return refs[rnd.IntN(len(refs))]
}

func TestOldestPendingCancellation(t *testing.T) {
	table := newDependencyTable("1", "2 1", "3", "4 3")
	if pending, ok := table.OldestPendingCancellation(); ok {
		t.Errorf("%+v with nothing cancelled", pending)
	}
	for i, ref := range []string{"req-3", "req-1"} {
		table.Job(ref).CancelledAt = now.Add(time.Duration(i) * time.Minute)
		table.Cancel(ref)
	}
	for _, want := range []PendingCancellation{
		{Job: "req-4", Cause: "req-3", Since: now}, {Job: "req-2", Cause: "req-1", Since: now.Add(time.Minute)},
	} {
		if pending, ok := table.OldestPendingCancellation(); !ok || pending != want {
			t.Errorf("got %+v, want %+v", pending, want)
		}
		table.Cancel(want.Job)
	}
	if pending, ok := table.OldestPendingCancellation(); ok {
		t.Errorf("%+v with all propagated", pending)
	}
}
