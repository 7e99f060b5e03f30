package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// TestOrderOfLateJobs checks the order of two jobs of a type by their deadlines, with two objectives
// of 60 and 120 s for the class, a lease of 30 s and run times of 10 s.
func TestOrderOfLateJobs(t *testing.T) {
	for _, tc := range []struct {
		name                          string
		firstReadyFor, secondReadyFor time.Duration // since when each is ready
		secondSmaller                 bool          // the second job has less work
		wantFirst                     bool          // the first job goes first
	}{
		{"the least work, both in time", 10 * time.Second, 10 * time.Second, true, false},
		{"about to miss its first deadline", 35 * time.Second, 10 * time.Second, true, true},
		{"missed its first deadline: last", 70 * time.Second, 10 * time.Second, false, false},
		{"about to miss its second deadline: first again", 95 * time.Second, 10 * time.Second, true, true},
		{"about to miss its second deadline: before one about to miss its first", 95 * time.Second, 35 * time.Second,
			true, true},
		{"both about to miss the second deadline: the least work", 95 * time.Second, 97 * time.Second, true, false},
		{"missed both deadlines: last", 200 * time.Second, 70 * time.Second, false, false},
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
				t.Errorf("first job goes first: got %v, want %v", got, tc.wantFirst)
			}
		})
	}
}

// TestOrderOfServices checks the order of services whose tasks wait for scarce capacity: those that
// can still start in time go first, whatever their teams, but jobs within their team's guaranteed
// quota go before all others.
func TestOrderOfServices(t *testing.T) {
	for _, tc := range []struct {
		name                          string
		firstReadyFor, secondReadyFor time.Duration // since when each is ready
		firstLostFor                  time.Duration // since when the first waits again after it ran; 0: it did not run
		secondOverQuota               bool          // the second job's team is past its guaranteed quota
		wantFirst                     bool          // the first job goes first
	}{
		{"both in time: the earlier one", 10 * time.Second, 5 * time.Second, 0, false, true},
		{"the first late", 13 * time.Second, 5 * time.Second, 0, false, false},
		{"both late: the earlier one", 60 * time.Second, 13 * time.Second, 0, false, true},
		{"a task just lost, of a job long ready", 60 * time.Second, 5 * time.Second, 2 * time.Second, false, true},
		{"a task lost long ago", 60 * time.Second, 5 * time.Second, 20 * time.Second, false, false},
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
				t.Errorf("first job goes first: got %v, want %v", got, tc.wantFirst)
			}
		})
	}
}

// TestLimitLastChances checks that of the jobs that are about to miss a deadline, only those that
// there is capacity for go first, the least work first. The others count as having missed it and go
// behind jobs with time left.
func TestLimitLastChances(t *testing.T) {
	for _, tc := range []struct {
		name            string
		tasks           []int // of the jobs that are about to miss their deadline, 10 CPUs each
		wantAhead       int   // jobs that go before one with time left
		expectedSeconds float64
	}{
		{"capacity for all", []int{4, 3, 2}, 3, 20},
		{"capacity for some", []int{9, 8, 3}, 2, 20},
		{"a single one is not limited", []int{40}, 1, 20},
		{"no capacity", []int{30, 20, 12, 11}, 1, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			// 40 s of the 60 s objective are over, with 1.5 times 20 s to run and a margin of half a lease.
			clock := now.Add(40 * time.Second)
			spec := wire.Job{
				Class: "f", Kind: wire.KindArray, Priority: "standard", CPUs: 10, ExpectedSeconds: tc.expectedSeconds,
			}
			var jobs []*ledger.Job
			for i, taskCount := range tc.tasks {
				spec.TaskCount = taskCount
				jobs = append(jobs, leader.addTestJob(fmt.Sprint("req-", i), spec))
			}
			spec.TaskCount, spec.CPUs, spec.ExpectedSeconds = 400, 1, 20 // more work than any of them
			early := leader.addTestJob("req-9", spec)
			early.SubmittedAt, early.ReadyAt = clock, clock
			jobs = append(jobs, early)
			leader.scheduler.ranking.orderJobs(jobs, clock)
			for i, job := range jobs {
				wantTasks := tc.tasks[len(tc.tasks)-1-min(i, len(tc.tasks)-1)]
				if i < tc.wantAhead && job.Spec.TaskCount != wantTasks || i == tc.wantAhead && job != early {
					t.Errorf("position %d: got %s with %d tasks", i, job.ID, job.Spec.TaskCount)
				}
			}
		})
	}
}
