package leader

import (
	"slices"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// TestStarvationAvoidance checks that an array that has waited too long without starting any task
// goes first in its type, the longest waiting first, while it has been given no more work than the
// others. This does not apply to services, does not put it ahead of jobs within a guaranteed quota,
// and ends after a longer wait.
func TestStarvationAvoidance(t *testing.T) {
	type seconds = [3]int // waits of req-1, req-2 and req-3, which have one, two and three tasks
	smallestFirst := []string{"req-1", "req-2", "req-3"}
	largestFirst := []string{"req-3", "req-1", "req-2"}
	for _, tc := range []struct {
		name          string
		waits         seconds
		running       string   // a job of which one task runs
		placed        []string // jobs of which a task is placed between two orderings
		modifyLargest func(largest *wire.Job)
		want          []string
	}{
		{"none is starved: the least work first", seconds{10, 20, 30}, "", nil, nil, smallestFirst},
		{"the largest is starved", seconds{10, 20, 169}, "", nil, nil, largestFirst},
		{"not yet starved", seconds{10, 20, 167}, "", nil, nil, smallestFirst},
		{"it has a running task", seconds{10, 20, 169}, "req-3", nil, nil, smallestFirst},
		{"no longer starved", seconds{10, 20, 253}, "", nil, nil, smallestFirst},
		{"two are starved: the longest waiting first", seconds{10, 170, 190}, "", nil, nil,
			[]string{"req-3", "req-2", "req-1"}},
		{"it was given more work", seconds{10, 20, 169}, "", []string{"req-3"}, nil, smallestFirst},
		{"it was given more work, then the others", seconds{10, 20, 169}, "", []string{"req-3", "req-1"}, nil, largestFirst},
		{"a service", seconds{10, 20, 169}, "", nil, func(job *wire.Job) { job.Kind = wire.KindService }, smallestFirst},
		{"past its team's guaranteed quota", seconds{10, 20, 169}, "", nil, func(job *wire.Job) { job.Team = "u" },
			smallestFirst},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.settings.Operator.Placement.WaitAge = 4 // of a lease of 30 s: the aging threshold is 120 s
			leader.jobs = ledger.New("n.1", []settings.Team{
				{Name: "t", CPUs: 100, CPUsMax: 100}, {Name: "u", CPUsMax: 100},
			})
			var jobs []*ledger.Job
			for i, wait := range tc.waits {
				spec := wire.Job{
					Team: "t", Class: "f", Kind: wire.KindArray, Priority: "standard",
					TaskCount: i + 1, CPUs: 1, ExpectedSeconds: 10,
				}
				if i == 2 && tc.modifyLargest != nil {
					tc.modifyLargest(&spec)
				}
				job := leader.addTestJob(smallestFirst[i], spec)
				job.WaitingSince = now.Add(-time.Duration(wait) * time.Second)
				jobs = append(jobs, job)
			}
			if tc.running != "" {
				leader.runTestTask(t, leader.jobs.Job(tc.running), "h0", time.Second)
			}
			ranking := leader.scheduler.ranking
			ranking.orderJobs(jobs, now)
			for _, jobID := range tc.placed {
				ranking.starvation.recordPlacement(leader.jobs.Job(jobID))
			}
			ranking.orderJobs(jobs, now)
			if got := jobIDsOf(jobs); !slices.Equal(got, tc.want) {
				t.Errorf("order %v, want %v", got, tc.want)
			}
		})
	}
}

// jobIDsOf returns the IDs of jobs, in order.
func jobIDsOf(jobs []*ledger.Job) []string {
	var jobIDs []string
	for _, job := range jobs {
		jobIDs = append(jobIDs, job.ID)
	}
	return jobIDs
}
