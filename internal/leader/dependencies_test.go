package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rillflow/internal/ledger"
	"rillflow/internal/rights"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// The last job of a chain of dependencies passes its priority and its deadline, less the steps
// between, on to all that it depends on, however late it comes, and takes them back when it is
// cancelled.
func TestInheritedPriorityAndDeadline(t *testing.T) {
	leader := newTestTerm(t)
	due := func(jobID string) float64 {
		at := leader.dependencies.inherited(leader.jobs.Job(jobID)).Deadlines[2]
		if at.IsZero() {
			return 0
		}
		return at.Sub(now).Seconds()
	}
	check := func(when string, want ...float64) {
		t.Helper()
		for i, wantDue := range want {
			jobID := fmt.Sprint("req-", i+1)
			wantPriority := priorityLevel("idle")
			if wantDue != 0 {
				wantPriority = priorityLevel("urgent")
			}
			priority := leader.dependencies.effectivePriority(leader.jobs.Job(jobID))
			if got := due(jobID); got != wantDue || priority != wantPriority {
				t.Errorf("%s: %s is due in %v, priority %d; want %v, %d", when, jobID, got, priority, wantDue, wantPriority)
			}
		}
	}
	add := func(jobID string, expectedSeconds float64, dependsOn ...string) {
		leader.addTestJob(jobID, wire.Job{
			Kind: wire.KindArray, Priority: "idle", TaskCount: 1, CPUs: 1,
			ExpectedSeconds: expectedSeconds, DependsOn: dependsOn,
		})
	}
	add("req-1", 10)
	add("req-2", 20, "req-1")
	add("req-3", 40, "req-1")
	add("req-4", 8, "req-2", "req-3")
	check("before the last one", 0, 0, 0, 0)
	last := wire.Job{
		Class: "d", Kind: wire.KindArray, Priority: "urgent", TaskCount: 1, CPUs: 1,
		ExpectedSeconds: 4, DeadlineSeconds: 200, DependsOn: []string{"req-4"},
	}
	leader.addTestJob("req-5", last)
	// 1.5 deadlines; a step takes 1.5 times its expectation and half a heartbeat interval.
	d5 := 300.0
	d4 := d5 - 1.5*4 - 1.5
	d2 := d4 - 1.5*8 - 1.5
	d1 := d2 - 1.5*40 - 1.5 // the longer branch decides
	check("with the last one", d1, d2, d2, d4)
	sooner := last
	sooner.DeadlineSeconds, sooner.DependsOn = 40, []string{"req-2"}
	leader.addTestJob("req-6", sooner)
	check("with one that is due sooner", 60-1.5*4-1.5-1.5*20-1.5, 60-1.5*4-1.5, d2, d4)
	leader.jobs.Cancel("req-6")
	check("that one cancelled", d1, d2, d2, d4)
	leader.jobs.Cancel("req-5")
	check("all cancelled", 0, 0, 0, 0)
}

// A job of inherited priority goes before others within its own team's guaranteed quota; beyond
// that it takes nothing from those within theirs.
func TestInheritedPriorityRespectsQuota(t *testing.T) {
	leader := newTestTerm(t)
	spec := wire.Job{Team: "u", Kind: wire.KindArray, Priority: "idle", TaskCount: 9, CPUs: 2, ExpectedSeconds: 9}
	chain := leader.addTestJob("req-1", spec)
	spec.Team = "t"
	other := leader.addTestJob("req-2", spec)
	leader.addTestJob("req-3", wire.Job{
		Team: "u", Kind: wire.KindArray, Priority: "urgent", TaskCount: 1, CPUs: 1, DependsOn: []string{"req-1"},
	})
	if leader.scheduler.ranking.tier(chain) >= leader.scheduler.ranking.tier(other) {
		t.Error("the chain does not go first within its guaranteed quota")
	}
	leader.runTestTask(t, chain, "h0", time.Second)
	leader.runTestTask(t, chain, "h0", time.Second) // 4 of 4 guaranteed CPUs
	if leader.scheduler.ranking.tier(chain) <= leader.scheduler.ranking.tier(other) {
		t.Error("beyond its guaranteed quota the chain goes before one within its own")
	}
}

// A job that waits for others is in no queue, has nothing scaled out and counts nowhere.
func TestBlockedJobIsNotQueued(t *testing.T) {
	leader := newTestTerm(t)
	leader.settings.Operator.Fleet.CostSaving = "always"
	leader.addTestJob("req-1", wire.Job{Class: "x", Kind: wire.KindArray, Priority: "idle", TaskCount: 1, CPUs: 1})
	leader.addTestJob("req-2", wire.Job{
		Class: "x", Kind: wire.KindArray, Priority: "idle", TaskCount: 50, CPUs: 1, AllowSpot: true,
		DependsOn: []string{"req-1"},
	})
	if queues := leader.scheduler.waitingQueues(now); len(queues) != 1 || queues[0].unfinished != 1 {
		t.Errorf("%d queues, %+v", len(queues), queues)
	}
	if demand := leader.autoscaler.demand(nil, now); demand.OnDemandCores != 1 || demand.SpotCores != 0 {
		t.Errorf("demand %+v", demand)
	}
	readyAt := now.Add(time.Minute)
	leader.jobs.ResolveDependency("req-1", true, readyAt)
	if queues := leader.scheduler.waitingQueues(readyAt); queues[0].unfinished != 51 {
		t.Errorf("%d unfinished once ready", queues[0].unfinished)
	}
	if due := leader.scheduler.ranking.objectiveDeadline(0, leader.jobs.Job("req-2")); !due.IsZero() {
		t.Errorf("due by %v", due)
	}
}

// Objectives other than a deadline count from when the job could start.
func TestObjectivesCountFromReady(t *testing.T) {
	leader := newTestTerm(t)
	job := leader.addTestJob("req-2", wire.Job{
		Class: "f", Kind: wire.KindArray, TaskCount: 1, CPUs: 1, ExpectedSeconds: 1, DependsOn: []string{"req-1"},
	})
	readyAt := now.Add(5 * time.Minute)
	leader.jobs.ResolveDependency("req-1", true, readyAt)
	if due := leader.scheduler.ranking.objectiveDeadline(0, job); !due.Equal(readyAt.Add(time.Minute)) {
		t.Errorf("due %v after it was ready", due.Sub(readyAt))
	}
	if slack := leader.scheduler.ranking.deadlineSlack(job, readyAt.Add(10*time.Second)); slack.missed != 0 {
		t.Errorf("late by %d stages", slack.missed)
	}
}

// Work that a deadline depends on is kept off spot instances while others have capacity to spare.
func TestDeadlineWorkAvoidsSpot(t *testing.T) {
	for _, tc := range []struct {
		name         string
		tasks        int
		offered      int  // at once
		due          bool // a dependent has a deadline
		price        bool // there is an objective on the price
		onDemandOnly bool
	}{
		{"room to spare", 8, 8, true, false, true},
		{"half the room", 9, 8, true, false, true},
		{"too little to be worth it", 64, 64, true, false, false},
		{"nobody waits by a deadline", 8, 8, false, false, false},
		{"users pay by the machine", 8, 8, true, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.workers["h0"].Spot, leader.workers["h1"].Spot = true, true // 16 cores are on demand
			if tc.price {
				facts := &leader.settings.Facts
				facts.Objectives = append(facts.Objectives, settings.Objective{Kind: "price"})
			}
			leader.settings.Operator.Fleet.CostSaving = "auto"
			job := leader.addTestJob("req-1", wire.Job{
				Kind: wire.KindArray, Priority: "idle", TaskCount: tc.tasks, CPUs: 1, AllowSpot: true,
			})
			last := wire.Job{
				Class: "d", Kind: wire.KindArray, Priority: "urgent", TaskCount: 1, CPUs: 1, DependsOn: []string{"req-1"},
			}
			if tc.due {
				last.DeadlineSeconds = 100
			}
			leader.addTestJob("req-2", last)
			index := newCandidateIndex(leader.scheduler.candidates(now))
			offered := leader.scheduler.offers.describeJob(job, index, now)
			more := tc.offered < tc.tasks
			if offered.AllowSpot == tc.onDemandOnly || offered.Tasks != tc.offered || index.moreWaiting != more {
				t.Errorf("%d tasks, spot allowed: %v, more: %v", offered.Tasks, offered.AllowSpot, index.moreWaiting)
			}
		})
	}
}

// Whatever a guest submits and depends on, and whatever others depend on of it: none of its jobs
// goes above the priority that it may have, and no job of another team goes higher for its sake.
func TestGuestCannotRaisePriority(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leader := newTestTerm(t)
		jobs := drawGuestJobs(rt, leader)
		// best is the highest priority that curators ask for of what depends on a job, or of it.
		best := make([]int, len(jobs))
		for i := len(jobs) - 1; i >= 0; i-- {
			best[i] = priorityLevel(jobs[i].job.Spec.Priority)
			for dependent := i + 1; dependent < len(jobs); dependent++ {
				if slices.Contains(jobs[dependent].dependsOn, i) && !jobs[dependent].ofGuest {
					best[i] = min(best[i], best[dependent])
				}
			}
		}
		for i, drawn := range jobs {
			got := leader.dependencies.effectivePriority(drawn.job)
			if drawn.ofGuest && got < priorityLevel("standard") {
				rt.Fatalf("%s, a guest's, goes by %s", drawn.job.ID, priorityName(got))
			}
			if drawn.job.Spec.Team == "t" && got < best[i] {
				rt.Fatalf("%s goes by %s for a guest's sake, not %s",
					drawn.job.ID, priorityName(got), priorityName(best[i]))
			}
		}
	})
}

// drawnJob is a job that a guest or a curator submitted.
type drawnJob struct {
	job       *ledger.Job
	ofGuest   bool
	dependsOn []int
}

// drawGuestJobs has a guest and a curator submit jobs that depend on earlier ones, as far as the
// rules allow.
func drawGuestJobs(rt *rapid.T, leader *leaderTerm) []drawnJob {
	rules := rights.Rules{Allow: []rights.Rule{
		{Who: "role:guest", Actions: "submit need", MaxPriority: "standard"},
		{Who: "role:curator", Actions: "submit need", Teams: "t u"},
	}}
	guest := rights.Identity{Name: "gus", Kind: rights.Person, Teams: []string{"u"}, Roles: []string{"guest"}}
	curator := rights.Identity{Name: "ana", Kind: rights.Person, Teams: []string{"t"}, Roles: []string{"curator"}}
	var jobs []drawnJob
	for i := range rapid.IntRange(2, 12).Draw(rt, "jobs") {
		who := &curator
		if rapid.Bool().Draw(rt, "guest") {
			who = &guest
		}
		spec := wire.Job{
			Team: rapid.SampledFrom([]string{"t", "u"}).Draw(rt, "owner"), Kind: wire.KindArray, TaskCount: 1, CPUs: 1,
			Priority: priorityName(rapid.IntRange(0, 3).Draw(rt, "rank")),
		}
		decision := rules.Decide(who, rights.Request{Action: rights.Submit, Team: spec.Team, Priority: spec.Priority})
		drawn := drawnJob{ofGuest: who == &guest}
		for n, earlier := range jobs {
			if rapid.Bool().Draw(rt, "need") {
				need := rights.Request{Action: rights.DependOn, Team: earlier.job.Spec.Team}
				decision.Allowed = decision.Allowed && rules.Decide(who, need).Allowed
				spec.DependsOn = append(spec.DependsOn, earlier.job.ID)
				drawn.dependsOn = append(drawn.dependsOn, n)
			}
		}
		if !decision.Allowed {
			continue
		}
		drawn.job = leader.addTestJob(fmt.Sprint("req-", i), spec)
		drawn.job.Origin = &ledger.Origin{MaxPriority: decision.MaxPriority}
		jobs = append(jobs, drawn)
	}
	return jobs
}

// A job inherits no higher priority than whoever submitted it may have.
func TestInheritedPriorityIsCapped(t *testing.T) {
	for _, tc := range []struct{ maxPriority, want string }{
		{"", "production"}, {"production", "production"}, {"standard", "standard"}, {"idle", "idle"},
	} {
		leader := newTestTerm(t)
		job := leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, Priority: "idle", TaskCount: 1, CPUs: 1})
		uncapped := leader.addTestJob("req-0", wire.Job{Kind: wire.KindArray, Priority: "idle", TaskCount: 1, CPUs: 1})
		leader.addTestJob("req-2", wire.Job{
			Kind: wire.KindArray, Priority: "production", TaskCount: 1, CPUs: 1, DependsOn: []string{"req-1", "req-0"},
		})
		job.Origin = &ledger.Origin{MaxPriority: tc.maxPriority}
		if got := priorityName(leader.dependencies.effectivePriority(job)); got != tc.want {
			t.Errorf("at most %q: goes by %s, want %s", tc.maxPriority, got, tc.want)
		}
		if got := priorityName(leader.dependencies.effectivePriority(uncapped)); got != "production" {
			t.Errorf("a job without a bound goes by %s", got)
		}
	}
}

// A job's times count from when the leader saw it come, whatever the clock of the controller that
// accepted it said; of a job that was there before, from what is stored.
func TestClocksApart(t *testing.T) {
	for _, clockError := range []time.Duration{-time.Second, time.Second} {
		leader := newTestTerm(t)
		job := leader.jobs.AddJob("req-1", ledger.JobRecord{
			Job: wire.Job{
				Class: "d", Team: "t", TaskCount: 1, CPUs: 1, ExpectedSeconds: 10, DeadlineSeconds: 20,
			},
			SubmittedMS: now.Add(clockError).UnixMilli(), ChunkTasks: 8,
		}, 1)
		if due := leader.dependencies.inherited(job).Deadlines[2]; !due.Equal(now.Add(clockError + 30*time.Second)) {
			t.Errorf("clock off by %v, there before: due %v", clockError, due.Sub(now))
		}
		job.Inherited = nil
		job.MarkArrived(now)
		due := leader.dependencies.inherited(job).Deadlines[2]
		if !due.Equal(now.Add(30*time.Second)) || !job.ReadyAt.Equal(now) || !job.WaitingSince.Equal(now) {
			t.Errorf("clock off by %v, seen to come: due %v, ready %v", clockError, due.Sub(now), job.ReadyAt.Sub(now))
		}
	}
}
