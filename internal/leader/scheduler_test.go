package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

func TestSelectVictim(t *testing.T) {
	arraySpec := wire.Job{Kind: wire.KindArray, Priority: "standard", TaskCount: 8, CPUs: 8, ExpectedSeconds: 50}
	serviceSpec := wire.Job{Kind: wire.KindService, Priority: "production", TaskCount: 2, CPUs: 2}
	for _, tc := range []struct {
		name  string
		tweak func(t *testing.T, leader *leaderTerm, arraySpec, serviceSpec *wire.Job)
		ran   []time.Duration // array tasks on h0, h1, ...
		want  string
	}{
		{"the least work lost", nil, []time.Duration{20 * time.Second, 10 * time.Second, 30 * time.Second}, "h1"},
		{"not one about to finish", nil, []time.Duration{20 * time.Second, 49 * time.Second}, "h0"},
		{"not of the same rank", func(_ *testing.T, _ *leaderTerm, a, _ *wire.Job) { a.Priority = "production" }, []time.Duration{time.Second}, ""},
		{"not for a team past its guarantee against one within its own", func(_ *testing.T, _ *leaderTerm, _, p *wire.Job) { p.Team, p.CPUs = "u", 5 }, []time.Duration{time.Second}, ""},
		{"not where the job may not be", func(_ *testing.T, _ *leaderTerm, _, p *wire.Job) { p.Zone = "b" }, []time.Duration{time.Second, 20 * time.Second}, "h1"},
		{"a checkpoint saves the work", func(_ *testing.T, _ *leaderTerm, a, _ *wire.Job) {
			a.CheckpointIntervalSeconds, a.CheckpointSaveSeconds = 5, 1
		}, []time.Duration{30 * time.Second}, "h0"},
		{"not on a spot machine", func(_ *testing.T, leader *leaderTerm, a, _ *wire.Job) {
			a.AllowSpot = true
			leader.workers["h0"].Spot = true
		}, []time.Duration{time.Second, 9 * time.Second}, "h1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			a, p := arraySpec, serviceSpec
			if tc.tweak != nil {
				tc.tweak(t, leader, &a, &p)
			}
			arrayJob, serviceJob := leader.addTestJob("req-1", a), leader.addTestJob("req-2", p)
			for i, ran := range tc.ran {
				leader.runTestTask(t, arrayJob, fmt.Sprint("h", i), ran)
			}
			got := ""
			if target, victim := leader.scheduler.preemptor.selectVictim(serviceJob, leader.scheduler.candidates(now), map[string]int{}, now); victim != nil {
				got = target.worker.Name
			}
			if got != tc.want {
				t.Errorf("stops on %q, want %q", got, tc.want)
			}
		})
	}
}

func TestDeadlineSlack(t *testing.T) {
	for _, tc := range []struct {
		name  string
		job   wire.Job
		after time.Duration
		stage int
	}{
		{"in time for both", wire.Job{Class: "f", ExpectedSeconds: 20}, 30 * time.Second, 0},
		{"too late for the first", wire.Job{Class: "f", ExpectedSeconds: 20}, 50 * time.Second, 1},
		{"too late for both", wire.Job{Class: "f", ExpectedSeconds: 20}, 110 * time.Second, 2},
		{"a deadline and a half", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 60}, 69 * time.Second, 0},
		{"past it", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 60}, 71 * time.Second, 1},
		{"no aim", wire.Job{Class: "x", ExpectedSeconds: 20}, time.Hour, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			tc.job.TaskCount, tc.job.CPUs = 2, 3
			slack := leader.scheduler.ranking.deadlineSlack(leader.addTestJob("req-1", tc.job), now.Add(tc.after))
			if slack.missed != tc.stage || slack.work != 2*3*20 {
				t.Errorf("got %+v, want stage %d", slack, tc.stage)
			}
		})
	}
}

// What goes before what within a type, with two times of 60 and 120 s named for the
// class, a lease of 30 s and runs of 10 s.
func TestOrderOfLateJobs(t *testing.T) {
	for _, tc := range []struct {
		name          string
		first, second time.Duration // since when each is ready
		small         bool          // the second has less work
		want          bool          // the first goes first
	}{
		{"the least work, both in time", 10 * time.Second, 10 * time.Second, true, false},
		{"about to lose its first time", 35 * time.Second, 10 * time.Second, true, true},
		{"lost it: behind", 70 * time.Second, 10 * time.Second, false, false},
		{"about to lose the next: first again", 95 * time.Second, 10 * time.Second, true, true},
		{"and before one that has lost none", 95 * time.Second, 35 * time.Second, true, true},
		{"both about to lose the same: the least work", 95 * time.Second, 97 * time.Second, true, false},
		{"nothing left to lose: last", 200 * time.Second, 70 * time.Second, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			spec := wire.Job{Class: "f", Kind: wire.KindArray, ExpectedSeconds: 10, TaskCount: 20, CPUs: 1}
			first := leader.addTestJob("req-1", spec)
			if tc.small {
				spec.TaskCount = 2
			}
			second := leader.addTestJob("req-2", spec)
			first.ReadyAt, second.ReadyAt = now.Add(-tc.first), now.Add(-tc.second)
			jobs := []*ledger.Job{second, first}
			leader.scheduler.ranking.orderJobs(jobs, now)
			if got := jobs[0] == first; got != tc.want {
				t.Errorf("the first goes first: %v", got)
			}
		})
	}
}

// Among replicas that wait for room of which there is too little, those that can still
// start in time go first, whatever their teams; but what is within its team's guarantee
// goes before all that is not.
func TestOrderOfServices(t *testing.T) {
	for _, tc := range []struct {
		name          string
		first, second time.Duration // since when each is ready
		lost          time.Duration // since when the first waits again, if it ran
		other         bool          // the second is of a team that is past its guarantee
		want          bool          // the first goes first
	}{
		{"both in time: who came first", 10 * time.Second, 5 * time.Second, 0, false, true},
		{"the first late", 13 * time.Second, 5 * time.Second, 0, false, false},
		{"both late: who came first", 60 * time.Second, 13 * time.Second, 0, false, true},
		{"lost just now, of a job long ready", 60 * time.Second, 5 * time.Second, 2 * time.Second, false, true},
		{"lost long ago", 60 * time.Second, 5 * time.Second, 20 * time.Second, false, false},
		{"late, but the other is past its guarantee", 13 * time.Second, 5 * time.Second, 0, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			spec := wire.Job{Class: "s", Kind: wire.KindService, Priority: "production", TaskCount: 2, CPUs: 2}
			first := leader.addTestJob("req-1", spec)
			if tc.other {
				spec.Team = "u"
				leader.runTestTask(t, leader.addTestJob("req-3", spec), "h0", time.Minute)
				leader.runTestTask(t, leader.jobs.Job("req-3"), "h1", time.Minute)
			}
			second := leader.addTestJob("req-2", spec)
			first.ReadyAt, second.ReadyAt = now.Add(-tc.first), now.Add(-tc.second)
			first.WaitingSince, second.WaitingSince = first.ReadyAt, second.ReadyAt
			if tc.lost > 0 {
				first.WaitingSince = now.Add(-tc.lost)
			}
			jobs := []*ledger.Job{second, first}
			leader.scheduler.ranking.orderJobs(jobs, now)
			if got := jobs[0] == first; got != tc.want {
				t.Errorf("the first goes first: %v", got)
			}
		})
	}
}

// Of the jobs that are about to lose a time, those with the least work go first, as many
// as there is room for; the rest have lost it and stand behind those with time left.
func TestLimitLastChances(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tasks  []int // of the jobs that are about to lose their time, 10 cores each
		last   int
		expect float64 // of a run, in seconds
	}{
		{"room for all", []int{4, 3, 2}, 3, 20},
		{"room for some", []int{9, 8, 3}, 2, 20},
		{"a single one is not judged", []int{40}, 1, 20},
		{"no room", []int{30, 20, 12, 11}, 1, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			at := now.Add(40 * time.Second) // of 60, with 1.5 times 20 to run and half a lease to spare
			var jobs []*ledger.Job
			for i, n := range tc.tasks {
				jobs = append(jobs, leader.addTestJob(fmt.Sprint("req-", i), wire.Job{Class: "f", Kind: wire.KindArray, Priority: "standard", TaskCount: n, CPUs: 10, ExpectedSeconds: tc.expect}))
			}
			early := leader.addTestJob("req-9", wire.Job{Class: "f", Kind: wire.KindArray, Priority: "standard", TaskCount: 1, CPUs: 1, ExpectedSeconds: 20})
			early.SubmittedAt, early.ReadyAt = at, at
			jobs = append(jobs, early)
			leader.scheduler.ranking.orderJobs(jobs, at)
			for i, j := range jobs {
				first := tc.tasks[len(tc.tasks)-1-min(i, len(tc.tasks)-1)]
				if i < tc.last && j.Spec.TaskCount != first || i == tc.last && j != early {
					t.Errorf("place %d has %s with %d tasks", i, j.Ref, j.Spec.TaskCount)
				}
			}
		})
	}
}

// Rooms add up for a large task that small ones would starve.
func TestReserveCapacity(t *testing.T) {
	leader := newTestTerm(t)
	small := leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, Priority: "standard", TaskCount: 99, CPUs: 2})
	for i := range 4 {
		for range 3 + i%2 {
			leader.runTestTask(t, small, fmt.Sprint("h", i), time.Second)
		}
	}
	large := leader.addTestJob("req-2", wire.Job{Kind: wire.KindArray, Priority: "standard", TaskCount: 1, CPUs: 8})
	queues, candidates := leader.scheduler.waitingQueues(now), leader.scheduler.candidates(now)
	leader.scheduler.reserveCapacity(queues, candidates, now)
	for _, target := range candidates {
		if target.reservedFor != nil {
			t.Fatal("a room is held for a task that just came")
		}
	}
	late := now.Add(5 * leader.settings.Lease())
	small.WaitingSince = late
	leader.scheduler.reserveCapacity(queues, candidates, late)
	reserved := 0
	for _, target := range candidates {
		if target.reservedFor == large {
			reserved++
			if target.free.cpus != 2 {
				t.Error("a fuller machine is held while one has room")
			}
		}
	}
	if reserved != 1 {
		t.Errorf("%d rooms held for one task", reserved)
	}
}
