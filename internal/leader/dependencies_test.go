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

// A chain's last job gives its rank and its deadline, less the steps between, to
// all that it needs, however late it comes, and takes them back when withdrawn.
func TestInheritedPriorityAndDeadline(t *testing.T) {
	leader := newTestTerm(t)
	due := func(ref string) float64 {
		at := leader.dependencies.inherited(leader.jobs.Job(ref)).Deadlines[2]
		if at.IsZero() {
			return 0
		}
		return at.Sub(now).Seconds()
	}
	check := func(when string, want ...float64) {
		t.Helper()
		for i, wantDue := range want {
			ref := fmt.Sprint("req-", i+1)
			priority := priorityLevel("idle")
			if wantDue != 0 {
				priority = priorityLevel("urgent")
			}
			if got := due(ref); got != wantDue || leader.dependencies.effectivePriority(leader.jobs.Job(ref)) != priority {
				t.Errorf("%s: %s is due in %v, rank %d; want %v, %d", when, ref, got, leader.dependencies.effectivePriority(leader.jobs.Job(ref)), wantDue, priority)
			}
		}
	}
	add := func(ref string, expect float64, needs ...string) {
		leader.addTestJob(ref, wire.Job{Kind: wire.KindArray, Priority: "idle", TaskCount: 1, CPUs: 1, ExpectedSeconds: expect, DependsOn: needs})
	}
	add("req-1", 10)
	add("req-2", 20, "req-1")
	add("req-3", 40, "req-1")
	add("req-4", 8, "req-2", "req-3")
	check("before the last one", 0, 0, 0, 0)
	last := wire.Job{Class: "d", Kind: wire.KindArray, Priority: "urgent", TaskCount: 1, CPUs: 1, ExpectedSeconds: 4, DeadlineSeconds: 200}
	last.DependsOn = []string{"req-4"}
	leader.addTestJob("req-5", last)
	// 1.5 deadlines; a step takes 1.5 times its expectation and half a report.
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
	check("that one withdrawn", d1, d2, d2, d4)
	leader.jobs.Cancel("req-5")
	check("all withdrawn", 0, 0, 0, 0)
}

// A lifted rank goes before others within its own team's guarantee; beyond that
// it takes nothing from those within theirs.
func TestInheritedPriorityRespectsQuota(t *testing.T) {
	leader := newTestTerm(t)
	chain := leader.addTestJob("req-1", wire.Job{Team: "u", Kind: wire.KindArray, Priority: "idle", TaskCount: 9, CPUs: 2, ExpectedSeconds: 9})
	other := leader.addTestJob("req-2", wire.Job{Team: "t", Kind: wire.KindArray, Priority: "idle", TaskCount: 9, CPUs: 2, ExpectedSeconds: 9})
	leader.addTestJob("req-3", wire.Job{Team: "u", Kind: wire.KindArray, Priority: "urgent", TaskCount: 1, CPUs: 1, DependsOn: []string{"req-1"}})
	if leader.scheduler.ranking.tier(chain) >= leader.scheduler.ranking.tier(other) {
		t.Error("the chain does not go first within its guarantee")
	}
	leader.runTestTask(t, chain, "h0", time.Second)
	leader.runTestTask(t, chain, "h0", time.Second) // 4 of 4 guaranteed CPUs
	if leader.scheduler.ranking.tier(chain) <= leader.scheduler.ranking.tier(other) {
		t.Error("beyond its guarantee the chain goes before one within its own")
	}
}

// A job that waits for others is in no queue, rents nothing and counts nowhere.
func TestBlockedJobIsNotQueued(t *testing.T) {
	leader := newTestTerm(t)
	leader.settings.Operator.Fleet.Thrift = "always"
	leader.addTestJob("req-1", wire.Job{Class: "x", Kind: wire.KindArray, Priority: "idle", TaskCount: 1, CPUs: 1})
	leader.addTestJob("req-2", wire.Job{Class: "x", Kind: wire.KindArray, Priority: "idle", TaskCount: 50, CPUs: 1, AllowSpot: true, DependsOn: []string{"req-1"}})
	if qs := leader.scheduler.waitingQueues(now); len(qs) != 1 || qs[0].unfinished != 1 {
		t.Errorf("%d queues, %+v", len(qs), qs)
	}
	if n := leader.autoscaler.demand(nil, now); n.OnDemandCores != 1 || n.SpotCores != 0 {
		t.Errorf("need %+v", n)
	}
	at := now.Add(time.Minute)
	leader.jobs.ResolveDependency("req-1", true, at)
	if qs := leader.scheduler.waitingQueues(at); qs[0].unfinished != 51 {
		t.Errorf("%d unfinished once ready", qs[0].unfinished)
	}
	if w := leader.scheduler.ranking.objectiveDeadline(0, leader.jobs.Job("req-2")); !w.IsZero() {
		t.Errorf("wanted by %v", w)
	}
}

// Times other than a deadline count from when the job could start.
func TestObjectivesCountFromReady(t *testing.T) {
	leader := newTestTerm(t)
	job := leader.addTestJob("req-2", wire.Job{Class: "f", Kind: wire.KindArray, TaskCount: 1, CPUs: 1, ExpectedSeconds: 1, DependsOn: []string{"req-1"}})
	at := now.Add(5 * time.Minute)
	leader.jobs.ResolveDependency("req-1", true, at)
	if w := leader.scheduler.ranking.objectiveDeadline(0, job); !w.Equal(at.Add(time.Minute)) {
		t.Errorf("wanted %v after it was ready", w.Sub(at))
	}
	if u := leader.scheduler.ranking.deadlineSlack(job, at.Add(10*time.Second)); u.missed != 0 {
		t.Errorf("late by %d stages", u.missed)
	}
}

// Work that a deadline depends on is kept off machines that the cloud may take,
// while firm ones have room to spare.
func TestDeadlineWorkAvoidsSpot(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tasks int
		now   int // offered at once
		due   bool
		price bool
		firm  bool
	}{
		{"room to spare", 8, 8, true, false, true},
		{"half the room", 9, 8, true, false, true},
		{"too little to be worth it", 64, 64, true, false, false},
		{"nobody waits by a deadline", 8, 8, false, false, false},
		{"users pay by the machine", 8, 8, true, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.workers["h0"].Spot, leader.workers["h1"].Spot = true, true // 16 cores are firm
			if tc.price {
				leader.settings.Facts.Objectives = append(leader.settings.Facts.Objectives, settings.Objective{Kind: "price"})
			}
			leader.settings.Operator.Fleet.Thrift = "auto"
			job := leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, Priority: "idle", TaskCount: tc.tasks, CPUs: 1, AllowSpot: true})
			last := wire.Job{Class: "d", Kind: wire.KindArray, Priority: "urgent", TaskCount: 1, CPUs: 1, DependsOn: []string{"req-1"}}
			if tc.due {
				last.DeadlineSeconds = 100
			}
			leader.addTestJob("req-2", last)
			look := newCandidateIndex(leader.scheduler.candidates(now))
			if w := leader.scheduler.offers.describeJob(job, look, now); w.AllowSpot == tc.firm || w.Tasks != tc.now || look.moreWaiting != (tc.now < tc.tasks) {
				t.Errorf("%d tasks, spot machines allowed: %v, more: %v", w.Tasks, w.AllowSpot, look.moreWaiting)
			}
		})
	}
}

// Whatever a guest submits and waits for, and whatever others wait for of it: none of
// its jobs goes above the rank that it may have, and no job of another team goes higher
// for its sake.
func TestGuestCannotRaisePriority(t *testing.T) {
	rules := rights.Rules{Allow: []rights.Rule{
		{Who: "role:guest", Do: "submit need", Rank: "standard"},
		{Who: "role:curator", Do: "submit need", Owner: "t u"},
	}}
	guest := rights.Identity{Name: "gus", Kind: rights.Person, Teams: []string{"u"}, Roles: []string{"guest"}}
	curator := rights.Identity{Name: "ana", Kind: rights.Person, Teams: []string{"t"}, Roles: []string{"curator"}}
	rapid.Check(t, func(rt *rapid.T) {
		leader := newTestTerm(t)
		type known struct {
			j     *ledger.Job
			guest bool
			needs []int
		}
		var jobs []known
		for i := range rapid.IntRange(2, 12).Draw(rt, "jobs") {
			who := &curator
			if rapid.Bool().Draw(rt, "guest") {
				who = &guest
			}
			spec := wire.Job{Team: rapid.SampledFrom([]string{"t", "u"}).Draw(rt, "owner"), Kind: wire.KindArray, TaskCount: 1, CPUs: 1, Priority: priorityName(rapid.IntRange(0, 3).Draw(rt, "rank"))}
			decision := rules.Decide(who, rights.Request{Do: rights.Submit, Owner: spec.Team, Rank: spec.Priority})
			k := known{guest: who == &guest}
			for n := range jobs {
				if rapid.Bool().Draw(rt, "need") {
					decision.Allowed = decision.Allowed && rules.Decide(who, rights.Request{Do: rights.Need, Owner: jobs[n].j.Spec.Team}).Allowed
					spec.DependsOn = append(spec.DependsOn, jobs[n].j.Ref)
					k.needs = append(k.needs, n)
				}
			}
			if !decision.Allowed {
				continue
			}
			k.j = leader.addTestJob(fmt.Sprint("req-", i), spec)
			k.j.Origin = &ledger.Origin{MaxPriority: decision.Cap}
			jobs = append(jobs, k)
		}
		// best is the highest rank that curators ask for of what needs a job, or it.
		best := make([]int, len(jobs))
		for i := len(jobs) - 1; i >= 0; i-- {
			best[i] = priorityLevel(jobs[i].j.Spec.Priority)
			for n := i + 1; n < len(jobs); n++ {
				if slices.Contains(jobs[n].needs, i) && !jobs[n].guest {
					best[i] = min(best[i], best[n])
				}
			}
		}
		for i, k := range jobs {
			got := leader.dependencies.effectivePriority(k.j)
			if k.guest && got < priorityLevel("standard") {
				rt.Fatalf("%s, a guest's, goes by %s", k.j.Ref, priorityName(got))
			}
			if k.j.Spec.Team == "t" && got < best[i] {
				rt.Fatalf("%s goes by %s for a guest's sake, not %s", k.j.Ref, priorityName(got), priorityName(best[i]))
			}
		}
	})
}

// What needs a job lifts it no higher than whoever submitted it may have.
func TestInheritedPriorityIsCapped(t *testing.T) {
	for _, tc := range []struct{ cap, want string }{{"", "production"}, {"production", "production"}, {"standard", "standard"}, {"idle", "idle"}} {
		leader := newTestTerm(t)
		job := leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, Priority: "idle", TaskCount: 1, CPUs: 1})
		deep := leader.addTestJob("req-0", wire.Job{Kind: wire.KindArray, Priority: "idle", TaskCount: 1, CPUs: 1})
		leader.addTestJob("req-2", wire.Job{Kind: wire.KindArray, Priority: "production", TaskCount: 1, CPUs: 1, DependsOn: []string{"req-1", "req-0"}})
		job.Origin = &ledger.Origin{MaxPriority: tc.cap}
		if got := priorityName(leader.dependencies.effectivePriority(job)); got != tc.want {
			t.Errorf("cap %q: goes by %s, want %s", tc.cap, got, tc.want)
		}
		if got := priorityName(leader.dependencies.effectivePriority(deep)); got != "production" {
			t.Errorf("a job without a cap goes by %s", got)
		}
	}
}

// A job's times count from when the leader saw it come, whatever the clock of the node that
// accepted it said; of a job that was there before, from what is stored.
func TestClocksApart(t *testing.T) {
	for _, off := range []time.Duration{-time.Second, time.Second} {
		leader := newTestTerm(t)
		j := leader.jobs.AddJob("req-1", ledger.JobRecord{Job: wire.Job{Class: "d", Team: "t", TaskCount: 1, CPUs: 1, ExpectedSeconds: 10, DeadlineSeconds: 20}, SubmittedMS: now.Add(off).UnixMilli(), ChunkTasks: 8}, 1)
		if got := leader.dependencies.inherited(j).Deadlines[2]; !got.Equal(now.Add(off + 30*time.Second)) {
			t.Errorf("clock off by %v, there before: due %v", off, got.Sub(now))
		}
		j.Inherited = nil
		j.MarkArrived(now)
		if got := leader.dependencies.inherited(j).Deadlines[2]; !got.Equal(now.Add(30*time.Second)) || !j.ReadyAt.Equal(now) || !j.WaitingSince.Equal(now) {
			t.Errorf("clock off by %v, seen to come: due %v, ready %v", off, got.Sub(now), j.ReadyAt.Sub(now))
		}
	}
}
