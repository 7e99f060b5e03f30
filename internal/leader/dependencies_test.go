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

// All direct and indirect dependencies of a job inherit its priority and its deadline, the latter
// reduced by the expected durations of the jobs in between, even if the job is added last. They
// lose both when the job is cancelled.
func TestInheritedPriorityAndDeadline(t *testing.T) {
	leader := newTestTerm(t)
	dueSeconds := func(jobID string) float64 {
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
			if got := dueSeconds(jobID); got != wantDue || priority != wantPriority {
				t.Errorf("%s: %s: got due in %v s, priority %d; want %v s, %d",
					when, jobID, got, priority, wantDue, wantPriority)
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
	// The objective allows 1.5 times the deadline; a job takes 1.5 times its expected run time and
	// half a heartbeat interval.
	d5 := 300.0
	d4 := d5 - 1.5*4 - 1.5
	d2 := d4 - 1.5*8 - 1.5
	d1 := d2 - 1.5*40 - 1.5 // the longer branch decides
	check("with the last one", d1, d2, d2, d4)
	sooner := last
	sooner.DeadlineSeconds, sooner.DependsOn = 40, []string{"req-2"}
	leader.addTestJob("req-6", sooner)
	check("with one that is due earlier", 60-1.5*4-1.5-1.5*20-1.5, 60-1.5*4-1.5, d2, d4)
	leader.jobs.Cancel("req-6")
	check("the earlier one cancelled", d1, d2, d2, d4)
	leader.jobs.Cancel("req-5")
	check("both cancelled", 0, 0, 0, 0)
}

// A job with an inherited priority precedes others while it is within its team's guaranteed quota;
// beyond that it does not precede jobs of other teams that are within theirs.
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
		t.Error("within its guaranteed quota, the job with the inherited priority is not first")
	}
	leader.runTestTask(t, chain, "h0", time.Second)
	leader.runTestTask(t, chain, "h0", time.Second) // 4 of 4 guaranteed CPUs
	if leader.scheduler.ranking.tier(chain) <= leader.scheduler.ranking.tier(other) {
		t.Error("beyond its guaranteed quota, the job precedes one that is within its own")
	}
}

// A job with unmet dependencies is in no queue, adds nothing to the demand for instances, and
// counts towards no objective.
func TestBlockedJobIsNotQueued(t *testing.T) {
	leader := newTestTerm(t)
	leader.settings.Operator.Fleet.CostSaving = "always"
	leader.addTestJob("req-1", wire.Job{Class: "x", Kind: wire.KindArray, Priority: "idle", TaskCount: 1, CPUs: 1})
	leader.addTestJob("req-2", wire.Job{
		Class: "x", Kind: wire.KindArray, Priority: "idle", TaskCount: 50, CPUs: 1, AllowSpot: true,
		DependsOn: []string{"req-1"},
	})
	if queues := leader.scheduler.waitingQueues(now); len(queues) != 1 || queues[0].unfinished != 1 {
		t.Errorf("got %d queues %+v, want one with 1 unfinished task", len(queues), queues)
	}
	if demand := leader.autoscaler.demand(nil, now); demand.OnDemandCores != 1 || demand.SpotCores != 0 {
		t.Errorf("got demand %+v, want 1 on-demand core and no spot cores", demand)
	}
	readyAt := now.Add(time.Minute)
	leader.jobs.ResolveDependency("req-1", true, readyAt)
	if queues := leader.scheduler.waitingQueues(readyAt); queues[0].unfinished != 51 {
		t.Errorf("once ready: got %d unfinished tasks, want 51", queues[0].unfinished)
	}
	if demand := leader.autoscaler.demand(nil, readyAt); demand.OnDemandCores != 1 || demand.SpotCores != 50 {
		t.Errorf("once ready: got demand %+v, want 1 on-demand core and 50 spot cores", demand)
	}
}

// Objectives other than a deadline are measured from the time at which the job became ready.
func TestObjectivesCountFromReady(t *testing.T) {
	leader := newTestTerm(t)
	job := leader.addTestJob("req-2", wire.Job{
		Class: "f", Kind: wire.KindArray, TaskCount: 1, CPUs: 1, ExpectedSeconds: 1, DependsOn: []string{"req-1"},
	})
	readyAt := now.Add(5 * time.Minute)
	leader.jobs.ResolveDependency("req-1", true, readyAt)
	if due := leader.scheduler.ranking.objectiveDeadline(0, job); !due.Equal(readyAt.Add(time.Minute)) {
		t.Errorf("got due %v after the job was ready, want 1m", due.Sub(readyAt))
	}
	if slack := leader.scheduler.ranking.deadlineSlack(job, readyAt.Add(10*time.Second)); slack.missed != 0 {
		t.Errorf("got %d missed objectives, want 0", slack.missed)
	}
}

// Tasks that a deadline depends on are not placed on spot instances while on-demand instances have
// enough spare capacity.
func TestDeadlineWorkAvoidsSpot(t *testing.T) {
	for _, tc := range []struct {
		name         string
		tasks        int
		offered      int  // tasks offered at a time
		hasDeadline  bool // a dependent has a deadline
		hasPrice     bool // there is an objective on the price
		onDemandOnly bool
	}{
		{"enough spare capacity", 8, 8, true, false, true},
		{"half of the capacity offered", 9, 8, true, false, true},
		{"too little spare capacity", 64, 64, true, false, false},
		{"no deadline", 8, 8, false, false, false},
		{"price objective", 8, 8, true, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.workers["h0"].Spot, leader.workers["h1"].Spot = true, true // leaves 16 on-demand cores
			if tc.hasPrice {
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
			if tc.hasDeadline {
				last.DeadlineSeconds = 100
			}
			leader.addTestJob("req-2", last)
			index := newCandidateIndex(leader.scheduler.candidates(now))
			offered := leader.scheduler.offers.describeJob(job, index, now)
			more := tc.offered < tc.tasks
			if offered.AllowSpot == tc.onDemandOnly || offered.Tasks != tc.offered || index.hasUnofferedTasks != more {
				t.Errorf("got %d tasks, spot allowed %v, more waiting %v; want %d, %v, %v",
					offered.Tasks, offered.AllowSpot, index.hasUnofferedTasks, tc.offered, !tc.onDemandOnly, more)
			}
		})
	}
}

// Whatever jobs a guest submits, and whatever depends on them: none of the guest's jobs gets a
// higher priority than the guest may use, and none of them raises the priority of another team's
// jobs.
func TestGuestCannotRaisePriority(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leader := newTestTerm(t)
		jobs := drawGuestJobs(rt, leader)
		// best is the highest priority requested for a job itself or by curators for its dependents.
		best := make([]int, len(jobs))
		for i := len(jobs) - 1; i >= 0; i-- {
			best[i] = priorityLevel(jobs[i].job.Spec.Priority)
			for dependent := i + 1; dependent < len(jobs); dependent++ {
				if slices.Contains(jobs[dependent].dependsOn, i) && !jobs[dependent].byGuest {
					best[i] = min(best[i], best[dependent])
				}
			}
		}
		for i, drawn := range jobs {
			got := leader.dependencies.effectivePriority(drawn.job)
			if drawn.byGuest && got < priorityLevel("standard") {
				rt.Fatalf("guest's job %s has priority %s, want at most standard", drawn.job.ID, priorityName(got))
			}
			if drawn.job.Spec.Team == "t" && got < best[i] {
				rt.Fatalf("%s has priority %s, inherited from a guest's job; want at most %s",
					drawn.job.ID, priorityName(got), priorityName(best[i]))
			}
		}
	})
}

// drawnJob is a job that a guest or a curator submitted.
type drawnJob struct {
	job       *ledger.Job
	byGuest   bool
	dependsOn []int
}

// drawGuestJobs adds jobs of a guest and a curator that depend on earlier ones, and leaves out
// those that the rules deny.
func drawGuestJobs(rt *rapid.T, leader *leaderTerm) []drawnJob {
	rules := rights.Rules{Allow: []rights.Rule{
		{Who: "role:guest", Actions: "submit need", MaxPriority: "standard"},
		{Who: "role:curator", Actions: "submit need", Teams: "t u"},
	}}
	guest := rights.Identity{Name: "gus", Kind: rights.Person, Teams: []string{"u"}, Roles: []string{"guest"}}
	curator := rights.Identity{Name: "ana", Kind: rights.Person, Teams: []string{"t"}, Roles: []string{"curator"}}
	var jobs []drawnJob
	for i := range rapid.IntRange(2, 12).Draw(rt, "jobs") {
		submitter := &curator
		if rapid.Bool().Draw(rt, "guest") {
			submitter = &guest
		}
		spec := wire.Job{
			Team: rapid.SampledFrom([]string{"t", "u"}).Draw(rt, "owner"), Kind: wire.KindArray, TaskCount: 1, CPUs: 1,
			Priority: priorityName(rapid.IntRange(0, 3).Draw(rt, "rank")),
		}
		decision := rules.Decide(submitter, rights.Request{
			Action: rights.Submit, Team: spec.Team, Priority: spec.Priority,
		})
		drawn := drawnJob{byGuest: submitter == &guest}
		for n, earlier := range jobs {
			if rapid.Bool().Draw(rt, "need") {
				dependOn := rights.Request{Action: rights.DependOn, Team: earlier.job.Spec.Team}
				decision.Allowed = decision.Allowed && rules.Decide(submitter, dependOn).Allowed
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

// A job inherits no higher priority than its submitter may use.
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
			t.Errorf("maximum %q: got priority %s, want %s", tc.maxPriority, got, tc.want)
		}
		if got := priorityName(leader.dependencies.effectivePriority(uncapped)); got != "production" {
			t.Errorf("job without a maximum: got priority %s, want production", got)
		}
	}
}

// The times of a job count from its arrival by the leader's clock, whatever the clock of the
// controller that accepted it. Those of a job loaded from the store count from the stored time.
func TestJobTimesWithClockSkew(t *testing.T) {
	for _, clockError := range []time.Duration{-time.Second, time.Second} {
		leader := newTestTerm(t)
		job := leader.jobs.AddJob("req-1", ledger.JobRecord{
			Job: wire.Job{
				Class: "d", Team: "t", TaskCount: 1, CPUs: 1, ExpectedSeconds: 10, DeadlineSeconds: 20,
			},
			SubmittedMS: now.Add(clockError).UnixMilli(), ChunkTasks: 8,
		}, 1)
		if due := leader.dependencies.inherited(job).Deadlines[2]; !due.Equal(now.Add(clockError + 30*time.Second)) {
			t.Errorf("clock off by %v, job loaded: got due in %v, want %v", clockError, due.Sub(now), clockError+30*time.Second)
		}
		job.Inherited = nil
		job.MarkArrived(now)
		due := leader.dependencies.inherited(job).Deadlines[2]
		if !due.Equal(now.Add(30*time.Second)) || !job.ReadyAt.Equal(now) || !job.WaitingSince.Equal(now) {
			t.Errorf("clock off by %v, arrival seen: got due in %v, ready in %v; want 30s, 0s",
				clockError, due.Sub(now), job.ReadyAt.Sub(now))
		}
	}
}
