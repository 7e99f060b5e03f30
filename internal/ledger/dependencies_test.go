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

func workerName(form string, i int) string { return fmt.Sprintf(form, i) }

// newDependencyTable makes a ledger of small jobs from lines like "3 1 2": req-3 needs req-1
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

func shortRefs(js []*Job) string {
	var rs []string
	for _, job := range js {
		rs = append(rs, strings.TrimPrefix(job.Ref, "req-"))
	}
	slices.Sort(rs)
	return strings.Join(rs, " ")
}

// No task of a job may be claimed until what it needs is durably done: a finish
// that was only reported may still lose against a withdrawal.
func TestDependenciesMustBeDurable(t *testing.T) {
	table := newDependencyTable("1", "2", "3 1 2")
	job := table.Job("req-3")
	may := func() bool { return table.CheckClaim(job, "x") == nil }
	if may() || job.WaitingTasks() != 0 {
		t.Fatal("it may start before what it needs")
	}
	runToEnd(t, table, "req-1", now)
	if may() {
		t.Fatal("it may start with one of two done")
	}
	claim, _ := table.Claim(table.Job("req-2"), "h", 1, "x")
	table.BatchCommitted(table.NextBatch(batchLimits(16), now), 102)
	table.Finish(claim)
	batch := table.NextBatch(batchLimits(16), now.Add(time.Minute))
	if may() {
		t.Fatal("it may start on a finish that is not durable")
	}
	if r := table.BatchCommitted(batch, 103); shortRefs(r.Unblocked) != "3" || !may() {
		t.Errorf("ready %q", shortRefs(r.Unblocked))
	}
	if want := now.Add(time.Minute); !job.ReadyAt.Equal(want) || !job.WaitingSince.Equal(want) {
		t.Errorf("ready at %v, waiting since %v", job.ReadyAt, job.WaitingSince)
	}
}

// A withdrawal reaches everything after it once, through chains and diamonds,
// and nothing else.
func TestCancellationPropagates(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lines []string
		gone  string
		want  string
	}{
		{"alone", []string{"1", "2"}, "1", ""},
		{"chain", []string{"1", "2 1", "3 2", "4 3"}, "1", "2 3 4"},
		{"from the middle", []string{"1", "2 1", "3 2", "4 3"}, "3", "4"},
		{"the last one leaves what it needs alone", []string{"1", "2 1", "3 2"}, "3", ""},
		{"diamond", []string{"1", "2 1", "3 1", "4 2 3", "5"}, "1", "2 3 4"},
		{"one side of a diamond", []string{"1", "2 1", "3 1", "4 2 3"}, "2", "4"},
		{"fan", []string{"1", "2 1", "3 1", "4 1", "5 4"}, "1", "2 3 4 5"},
		{"read in another order", []string{"4 3", "3 2", "2 1", "1"}, "1", "2 3 4"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newDependencyTable(tc.lines...)
			table.Cancel("req-" + tc.gone)
			var got []*Job
			for js := table.JobsToCancel(2); len(js) > 0; js = table.JobsToCancel(2) {
				for _, job := range js {
					if job.CancelledUpstream() == "" || job.WaitingTasks() != 0 {
						t.Errorf("%s: because of %q, %d tasks wait", job.Ref, job.CancelledUpstream(), job.WaitingTasks())
					}
					got = append(got, job)
					table.Cancel(job.Ref)
				}
			}
			if shortRefs(got) != tc.want {
				t.Errorf("carried to %q, want %q", shortRefs(got), tc.want)
			}
			if len(table.UnresolvedDependencies()) != 0 {
				t.Errorf("still asks for %v", table.UnresolvedDependencies())
			}
		})
	}
}

// What ended before this leader's time, or before a late needer came, is asked
// for; each answer is taken once.
func TestResolveDependency(t *testing.T) {
	table := newDependencyTable("3 1 2", "4 3")
	if got := fmt.Sprint(table.UnresolvedDependencies()); got != "[req-1 req-2]" {
		t.Fatalf("asks for %s", got)
	}
	at := now.Add(time.Minute)
	if r := table.ResolveDependency("req-1", true, at); len(r) != 0 {
		t.Error("ready with one of two")
	}
	if r := table.ResolveDependency("req-2", true, now); shortRefs(r) != "3" || !r[0].ReadyAt.Equal(at) {
		t.Errorf("ready %q", shortRefs(r))
	}
	if r := table.ResolveDependency("req-2", true, now); len(r) != 0 || len(table.UnresolvedDependencies()) != 0 {
		t.Error("taken twice")
	}

	table = newDependencyTable("1", "2 1")
	runToEnd(t, table, "req-1", now)
	late := newJobRecord("b", wire.KindArray, 1, 1)
	late.Job.DependsOn = []string{"req-1"}
	job := table.AddJob("req-9", late, 50)
	if job.DependenciesMet() || fmt.Sprint(table.UnresolvedDependencies()) != "[req-1]" {
		t.Errorf("ready %v, asks for %v", job.DependenciesMet(), table.UnresolvedDependencies())
	}
	table.ResolveDependency("req-1", false, now)
	if shortRefs(table.JobsToCancel(9)) != "9" {
		t.Errorf("to be withdrawn: %q", shortRefs(table.JobsToCancel(9)))
	}
	// Who names it from now on shares its fate at once.
	after := newJobRecord("b", wire.KindArray, 1, 1)
	after.Job.DependsOn = []string{"req-9"}
	table.AddJob("req-10", after, 51)
	if shortRefs(table.JobsToCancel(9)) != "10 9" {
		t.Errorf("to be withdrawn: %q", shortRefs(table.JobsToCancel(9)))
	}
}

// Random graphs, withdrawals and finishes: each job ends done only after all it
// needs, or withdrawn exactly when something before it was.
func TestRandomDependencyGraphs(t *testing.T) {
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		var lines []string
		for i := range 40 {
			s := fmt.Sprint(i)
			for range rnd.IntN(4) {
				if i > 0 {
					s += fmt.Sprint(" ", rnd.IntN(i))
				}
			}
			lines = append(lines, s)
		}
		table := newDependencyTable(lines...)
		done, gone := map[string]bool{}, map[string]bool{}
		for len(table.Jobs()) > 0 {
			var live []string
			for ref, job := range table.Jobs() {
				if job.WaitingTasks() > 0 || rnd.IntN(10) == 0 {
					live = append(live, ref)
				}
			}
			slices.Sort(live)
			if len(live) == 0 {
				continue
			}
			ref := live[rnd.IntN(len(live))]
			if job := table.Job(ref); job.WaitingTasks() > 0 && rnd.IntN(8) > 0 {
				for _, n := range job.Spec.DependsOn {
					if !done[n] {
						t.Fatalf("seed %d: %s may start before %s", seed, ref, n)
					}
				}
				runToEnd(t, table, ref, now)
				done[ref] = true
				continue
			}
			table.Cancel(ref)
			gone[ref] = true
			for js := table.JobsToCancel(1 + rnd.IntN(3)); len(js) > 0; js = table.JobsToCancel(2) {
				for _, job := range js {
					if !slices.ContainsFunc(job.Spec.DependsOn, func(n string) bool { return gone[n] || table.Job(n) != nil && table.Job(n).CancelledUpstream() != "" }) {
						t.Fatalf("seed %d: %s is withdrawn for nothing", seed, job.Ref)
					}
					table.Cancel(job.Ref)
					gone[job.Ref] = true
				}
			}
		}
		if len(done)+len(gone) != 40 {
			t.Fatalf("seed %d: %d done, %d withdrawn", seed, len(done), len(gone))
		}
		if len(table.dependencies.dependents) != 0 || len(table.JobsToCancel(1)) != 0 {
			t.Fatalf("seed %d: something is left", seed)
		}
	}
}
