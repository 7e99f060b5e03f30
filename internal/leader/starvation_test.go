package leader

import (
	"slices"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// What has waited for too long, with nothing of it begun, shares the rooms with the rest of
// its type: it goes first, the oldest first, while it was given no more work; not a service,
// not ahead of what its team is guaranteed, and not for ever.
func TestStarved(t *testing.T) {
	const s = time.Second // the wait age is 120 s
	for _, tc := range []struct {
		name  string
		waits [3]time.Duration // of jobs of one, two and three tasks
		begun string           // one of which a task runs
		given []string         // tasks placed before, after an order with these waits
		tweak func(jobs []*wire.Job)
		want  []string
	}{
		{"the least work first", [3]time.Duration{10 * s, 20 * s, 30 * s}, "", nil, nil, []string{"req-1", "req-2", "req-3"}},
		{"the largest is starved", [3]time.Duration{10 * s, 20 * s, 169 * s}, "", nil, nil, []string{"req-3", "req-1", "req-2"}},
		{"not yet", [3]time.Duration{10 * s, 20 * s, 167 * s}, "", nil, nil, []string{"req-1", "req-2", "req-3"}},
		{"it has begun", [3]time.Duration{10 * s, 20 * s, 169 * s}, "req-3", nil, nil, []string{"req-1", "req-2", "req-3"}},
		{"not for ever", [3]time.Duration{10 * s, 20 * s, 253 * s}, "", nil, nil, []string{"req-1", "req-2", "req-3"}},
		{"of two the oldest", [3]time.Duration{10 * s, 170 * s, 190 * s}, "", nil, nil, []string{"req-3", "req-2", "req-1"}},
		{"it was given more", [3]time.Duration{10 * s, 20 * s, 169 * s}, "", []string{"req-3"}, nil, []string{"req-1", "req-2", "req-3"}},
		{"and then the others", [3]time.Duration{10 * s, 20 * s, 169 * s}, "", []string{"req-3", "req-1"}, nil, []string{"req-3", "req-1", "req-2"}},
		{"a service", [3]time.Duration{10 * s, 20 * s, 169 * s}, "", nil, func(jobs []*wire.Job) { jobs[2].Kind = wire.KindService }, []string{"req-1", "req-2", "req-3"}},
		{"past its team's guarantee", [3]time.Duration{10 * s, 20 * s, 169 * s}, "", nil, func(jobs []*wire.Job) { jobs[2].Team = "u" }, []string{"req-1", "req-2", "req-3"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.settings.Operator.Placement.WaitAge = 4 // of a lease of 30 s
			leader.jobs = ledger.New("n.1", []settings.Team{{Name: "t", CPUs: 100, CPUsMax: 100}, {Name: "u", CPUsMax: 100}})
			var specs []*wire.Job
			for i := range 3 {
				specs = append(specs, &wire.Job{Team: "t", Class: "f", Kind: wire.KindArray, Priority: "standard", TaskCount: i + 1, CPUs: 1, ExpectedSeconds: 10})
			}
			if tc.tweak != nil {
				tc.tweak(specs)
			}
			var jobs []*ledger.Job
			for i, spec := range specs {
				job := leader.addTestJob([]string{"req-1", "req-2", "req-3"}[i], *spec)
				job.WaitingSince = now.Add(-tc.waits[i])
				jobs = append(jobs, job)
			}
			if tc.begun != "" {
				leader.runTestTask(t, leader.jobs.Job(tc.begun), "h0", time.Second)
			}
			leader.scheduler.ranking.orderJobs(jobs, now)
			for _, ref := range tc.given {
				leader.scheduler.ranking.starvation.recordPlacement(leader.jobs.Job(ref))
			}
			leader.scheduler.ranking.orderJobs(jobs, now)
			var got []string
			for _, job := range jobs {
				got = append(got, job.Ref)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
