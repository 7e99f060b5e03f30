package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// TestOrderOfLateJobs: what goes before what within a type, with two objectives of 60 and 120 s
// for the class, a lease of 30 s and runs of 10 s.
func TestOrderOfLateJobs(t *testing.T) {
	for _, tc := range []struct {
		name                          string
		firstReadyFor, secondReadyFor time.Duration // since when each is ready
		secondSmaller                 bool          // the second has less work
		wantFirst                     bool          // the first goes first
	}{
		{"the least work, both in time", 10 * time.Second, 10 * time.Second, true, false},
		{"about to miss its first deadline", 35 * time.Second, 10 * time.Second, true, true},
		{"missed it: behind", 70 * time.Second, 10 * time.Second, false, false},
		{"about to miss the next: first again", 95 * time.Second, 10 * time.Second, true, true},
		{"and before one that has missed none", 95 * time.Second, 35 * time.Second, true, true},
		{"both about to miss the same: the least work", 95 * time.Second, 97 * time.Second, true, false},
		{"nothing left to miss: last", 200 * time.Second, 70 * time.Second, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			spec := wire.Job{Class: "f", Kind: wire.KindArray, ExpectedSeconds: 10, TaskCount: 20, CPUs: 1}
			first := leader.addTestJob("req-1", spec)
			if tc.secondSmaller {
				spec.TaskCount = 2
			}
			second := leader.addTestJob("req-2", spec)
			first.ReadyAt, second.ReadyAt = now.Add(-tc.firstReadyFor), now.Add(-tc.secondReadyFor)
			jobs := []*ledger.Job{second, first}
			leader.scheduler.ranking.orderJobs(jobs, now)
			if got := jobs[0] == first; got != tc.wantFirst {
				t.Errorf("the first goes first: %v", got)
			}
		})
	}
}

// TestOrderOfServices: among replicas that wait for capacity that is short, those that can still
// start in time go first, whatever their teams; but what is within its team's guaranteed quota
// goes before all that is not.
func TestOrderOfServices(t *testing.T) {
	for _, tc := range []struct {
		name                          string
		firstReadyFor, secondReadyFor time.Duration // since when each is ready
		firstLostFor                  time.Duration // since when the first waits again, if it ran
		secondOverQuota               bool          // the second is of a team past its guaranteed quota
		wantFirst                     bool          // the first goes first
	}{
		{"both in time: who came first", 10 * time.Second, 5 * time.Second, 0, false, true},
		{"the first late", 13 * time.Second, 5 * time.Second, 0, false, false},
		{"both late: who came first", 60 * time.Second, 13 * time.Second, 0, false, true},
		{"lost just now, of a job long ready", 60 * time.Second, 5 * time.Second, 2 * time.Second, false, true},
		{"lost long ago", 60 * time.Second, 5 * time.Second, 20 * time.Second, false, false},
		{"late, but the other is past its guaranteed quota", 13 * time.Second, 5 * time.Second, 0, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			spec := wire.Job{Class: "s", Kind: wire.KindService, Priority: "production", TaskCount: 2, CPUs: 2}
			first := leader.addTestJob("req-1", spec)
			if tc.secondOverQuota {
				spec.Team = "u"
				leader.runTestTask(t, leader.addTestJob("req-3", spec), "h0", time.Minute)
				leader.runTestTask(t, leader.jobs.Job("req-3"), "h1", time.Minute)
			}
			second := leader.addTestJob("req-2", spec)
			first.ReadyAt, second.ReadyAt = now.Add(-tc.firstReadyFor), now.Add(-tc.secondReadyFor)
			first.WaitingSince, second.WaitingSince = first.ReadyAt, second.ReadyAt
			if tc.firstLostFor > 0 {
				first.WaitingSince = now.Add(-tc.firstLostFor)
			}
			jobs := []*ledger.Job{second, first}
			leader.scheduler.ranking.orderJobs(jobs, now)
			if got := jobs[0] == first; got != tc.wantFirst {
				t.Errorf("the first goes first: %v", got)
			}
		})
	}
}

// TestLimitLastChances: of the jobs that are about to miss a deadline, those with the least work
// go first, as many as there is capacity for; the rest count as having missed it and stand behind
// those with time left.
func TestLimitLastChances(t *testing.T) {
	for _, tc := range []struct {
		name            string
		tasks           []int // of the jobs that are about to miss their deadline, 10 CPUs each
		wantAhead       int
		expectedSeconds float64 // of a run, in seconds
	}{
		{"capacity for all", []int{4, 3, 2}, 3, 20},
		{"capacity for some", []int{9, 8, 3}, 2, 20},
		{"a single one is not judged", []int{40}, 1, 20},
		{"no capacity", []int{30, 20, 12, 11}, 1, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			at := now.Add(40 * time.Second) // of 60, with 1.5 times 20 to run and half a lease to spare
			spec := wire.Job{Class: "f", Kind: wire.KindArray, Priority: "standard", CPUs: 10, ExpectedSeconds: tc.expectedSeconds}
			var jobs []*ledger.Job
			for i, taskCount := range tc.tasks {
				spec.TaskCount = taskCount
				jobs = append(jobs, leader.addTestJob(fmt.Sprint("req-", i), spec))
			}
			spec.TaskCount, spec.CPUs, spec.ExpectedSeconds = 400, 1, 20 // more work than any of them
			early := leader.addTestJob("req-9", spec)
			early.SubmittedAt, early.ReadyAt = at, at
			jobs = append(jobs, early)
			leader.scheduler.ranking.orderJobs(jobs, at)
			for i, job := range jobs {
				wantTasks := tc.tasks[len(tc.tasks)-1-min(i, len(tc.tasks)-1)]
				if i < tc.wantAhead && job.Spec.TaskCount != wantTasks || i == tc.wantAhead && job != early {
					t.Errorf("place %d has %s with %d tasks", i, job.ID, job.Spec.TaskCount)
				}
			}
		})
	}
}
