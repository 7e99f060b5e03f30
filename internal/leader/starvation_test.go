package leader

import (
	"slices"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// TestStarved: an array that has waited for too long, with nothing of it begun, shares the workers
// with the rest of its type: it goes first, the longest waiting first, while it was given no more
// work; not a service, not ahead of what is within a guaranteed quota, and not for ever.
func TestStarved(t *testing.T) {
	type seconds = [3]int // of the waits of req-1, req-2 and req-3, of one, two and three tasks
	bySize := []string{"req-1", "req-2", "req-3"}
	largestFirst := []string{"req-3", "req-1", "req-2"}
	for _, tc := range []struct {
		name          string
		waits         seconds
		running       string   // one of which a task runs
		placed        []string // tasks placed before, after an order with these waits
		modifyLargest func(largest *wire.Job)
		want          []string
	}{
		{"the least work first", seconds{10, 20, 30}, "", nil, nil, bySize},
		{"the largest is starved", seconds{10, 20, 169}, "", nil, nil, largestFirst},
		{"not yet", seconds{10, 20, 167}, "", nil, nil, bySize},
		{"it has begun", seconds{10, 20, 169}, "req-3", nil, nil, bySize},
		{"not for ever", seconds{10, 20, 253}, "", nil, nil, bySize},
		{"of two the oldest", seconds{10, 170, 190}, "", nil, nil, []string{"req-3", "req-2", "req-1"}},
		{"it was given more", seconds{10, 20, 169}, "", []string{"req-3"}, nil, bySize},
		{"and then the others", seconds{10, 20, 169}, "", []string{"req-3", "req-1"}, nil, largestFirst},
		{"a service", seconds{10, 20, 169}, "", nil, func(job *wire.Job) { job.Kind = wire.KindService }, bySize},
		{"past its team's guaranteed quota", seconds{10, 20, 169}, "", nil, func(job *wire.Job) { job.Team = "u" },
			bySize},
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
				job := leader.addTestJob(bySize[i], spec)
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
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

// refsOf are the references of jobs, in order.
func jobIDsOf(jobs []*ledger.Job) []string {
	var jobIDs []string
	for _, job := range jobs {
		jobIDs = append(jobIDs, job.ID)
	}
	return jobIDs
}
