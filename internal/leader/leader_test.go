package leader

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/election"
	"rillflow/internal/fleet"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

var now = time.Unix(9000, 0)

// newTestTerm makes a reign with hosts of 8 cores in zones a and b, that no network
// is needed for.
func newTestTerm(t testing.TB) *leaderTerm {
	t.Helper()
	operator, err := settings.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	config := &settings.Settings{Node: "n", Operator: operator, Facts: settings.Facts{
		Workers: settings.Workers{ReportS: 3, LeaseS: 30},
		Teams:   []settings.Team{{Name: "t", CPUs: 100, CPUsMax: 100}, {Name: "u", CPUs: 4, CPUsMax: 100}},
		Objectives: []settings.Objective{{Kind: "finished", Class: "f", WithinS: 60}, {Kind: "finished", Class: "f", WithinS: 120}, {Kind: "deadline", Class: "d", Times: 1.5},
			{Kind: "wait", Class: "s", WithinS: 12}},
	}}
	instanceTypes := fleet.NewCatalogue(nil, time.Minute, nil)
	instanceTypes.Set([]wire.InstanceType{{Name: "m", CPUs: 8, MemoryGB: 64, ImagePullGBPerSecond: 1, DiskGB: 20}})
	leader := &leaderTerm{
		Runner: &Runner{settings: config, instanceTypes: instanceTypes, replica: replica.New(1<<20, nil), log: slog.New(slog.NewTextHandler(io.Discard, nil)), now: func() time.Time { return now }},
		jobs:   ledger.New("w", config.Facts.Teams), workers: map[string]*agent.Worker{}, released: map[string]time.Time{}, detector: newFailureDetector(config), scaledAheadTeams: map[string]bool{}, deficits: map[string]*deficitCounter{},
	}
	for i, zone := range []string{"a", "b", "a", "b"} {
		worker := agent.NewWorker(fmt.Sprint("h", i))
		worker.InstanceType, worker.Zone, worker.Incarnation, worker.LastHeartbeat = "m", zone, 1, now
		leader.addWorker(worker)
	}
	return leader
}

func testPeer(node, zone string) settings.Member {
	return settings.Member{Node: node, Zone: zone, Endpoint: node + ":1"}
}

func (t *leaderTerm) addTestJob(jobID string, spec wire.Job) *ledger.Job {
	if spec.Team == "" {
		spec.Team = "t"
	}
	return t.jobs.AddJob(jobID, ledger.JobRecord{Job: spec, SubmittedMS: now.UnixMilli(), ChunkTasks: 8}, 1)
}

func (t *leaderTerm) runTestTask(tb *testing.T, job *ledger.Job, worker string, ran time.Duration) *ledger.Claim {
	tb.Helper()
	claim, err := t.jobs.Claim(job, worker, 1, t.workers[worker].Zone)
	if err != nil {
		tb.Fatal(err)
	}
	claim.Committed, claim.RunningSince = true, now.Add(-ran)
	return claim
}

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
			if target, victim := leader.selectVictim(serviceJob, leader.candidates(now), map[string]int{}, now); victim != nil {
				got = target.worker.Name
			}
			if got != tc.want {
				t.Errorf("stops on %q, want %q", got, tc.want)
			}
		})
	}
}

// A job that fails everywhere is told from a machine that fails everything.
func TestBlame(t *testing.T) {
	for _, tc := range []struct {
		name     string
		failures [][2]string // job, host
		badHosts string
		badJobs  string
	}{
		{"one failure is nobody's fault", [][2]string{{"req-1", "h0"}}, "", ""},
		{"a machine that fails several jobs", [][2]string{{"req-1", "h0"}, {"req-2", "h0"}}, " h0", ""},
		{"a job that fails on several machines", [][2]string{{"req-1", "h0"}, {"req-1", "h1"}, {"req-1", "h2"}}, "", " req-1"},
		{"a job caught on a bad machine is not bad", [][2]string{{"req-1", "h0"}, {"req-2", "h0"}, {"req-1", "h1"}}, " h0", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			jobs := []*ledger.Job{leader.addTestJob("req-1", wire.Job{TaskCount: 9}), leader.addTestJob("req-2", wire.Job{TaskCount: 9})}
			for _, f := range tc.failures {
				leader.countFailure(leader.jobs.Job(f[0]), leader.workers[f[1]], now)
			}
			hosts, bad := "", ""
			for _, h := range leader.workersByName {
				if leader.workerFaulty(h) {
					hosts += " " + h.Name
				}
			}
			for _, j := range jobs {
				if leader.jobFaulty(j) {
					bad += " " + j.Ref
				}
			}
			if hosts != tc.badHosts || bad != tc.badJobs {
				t.Errorf("blamed hosts%s and jobs%s", hosts, bad)
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
			slack := leader.deadlineSlack(leader.addTestJob("req-1", tc.job), now.Add(tc.after))
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
			leader.orderJobs(jobs, now)
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
			leader.orderJobs(jobs, now)
			if got := jobs[0] == first; got != tc.want {
				t.Errorf("the first goes first: %v", got)
			}
		})
	}
}

// What of a job waits for one zone alone, and what the other zones would take were one
// lost; both in cores, in two zones and in three.
func TestZoneDemand(t *testing.T) {
	for _, tc := range []struct {
		name          string
		job           wire.Job
		on            []string // hosts that have a replica: h0 and h2 in zone a, h1 and h3 in b
		zones         []string
		only, exposed map[string]float64
	}{
		{"nothing placed: either may take half", wire.Job{TaskCount: 4, SpreadZones: true}, nil, []string{"a", "b"}, map[string]float64{"a": 4, "b": 4}, nil},
		{"one zone has all it may", wire.Job{TaskCount: 4, SpreadZones: true}, []string{"h0", "h2"}, []string{"a", "b"}, map[string]float64{"b": 4}, nil},
		{"all placed, both full", wire.Job{TaskCount: 4, SpreadZones: true}, []string{"h0", "h2", "h1", "h3"}, []string{"a", "b"}, nil, nil},
		{"of an odd number one may move", wire.Job{TaskCount: 3, SpreadZones: true}, []string{"h0", "h2", "h1"}, []string{"a", "b"}, nil, map[string]float64{"a": 2}},
		{"a third zone takes what one loses", wire.Job{TaskCount: 4, SpreadZones: true}, []string{"h0", "h2", "h1", "h3"}, []string{"a", "b", "c"}, nil, map[string]float64{"a": 4, "b": 4}},
		{"not spread: anywhere", wire.Job{TaskCount: 2}, []string{"h0", "h1"}, []string{"a", "b"}, nil, map[string]float64{"a": 2, "b": 2}},
		{"its only zone", wire.Job{TaskCount: 2, Zone: "a"}, []string{"h0"}, []string{"a", "b"}, map[string]float64{"a": 2}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			tc.job.Class, tc.job.Kind, tc.job.CPUs = "s", wire.KindService, 2
			j := leader.addTestJob("req-1", tc.job)
			for _, h := range tc.on {
				leader.runTestTask(t, j, h, time.Minute)
			}
			n := fleet.Demand{ZoneBoundCores: map[string]float64{}, FailoverCores: map[string]float64{}}
			leader.addZoneDemand(&n, j, tc.zones)
			for _, z := range tc.zones {
				if n.ZoneBoundCores[z] != tc.only[z] || n.FailoverCores[z] != tc.exposed[z] {
					t.Errorf("zone %s: %v wait for it alone, %v of it would move; want %v and %v", z, n.ZoneBoundCores[z], n.FailoverCores[z], tc.only[z], tc.exposed[z])
				}
			}
		})
	}
}

// A job's times count from when the leader saw it come, whatever the clock of the node that
// accepted it said; of a job that was there before, from what is stored.
func TestClocksApart(t *testing.T) {
	for _, off := range []time.Duration{-time.Second, time.Second} {
		leader := newTestTerm(t)
		j := leader.jobs.AddJob("req-1", ledger.JobRecord{Job: wire.Job{Class: "d", Team: "t", TaskCount: 1, CPUs: 1, ExpectedSeconds: 10, DeadlineSeconds: 20}, SubmittedMS: now.Add(off).UnixMilli(), ChunkTasks: 8}, 1)
		if got := leader.inherited(j).Deadlines[2]; !got.Equal(now.Add(off + 30*time.Second)) {
			t.Errorf("clock off by %v, there before: due %v", off, got.Sub(now))
		}
		j.Inherited = nil
		j.MarkArrived(now)
		if got := leader.inherited(j).Deadlines[2]; !got.Equal(now.Add(30*time.Second)) || !j.ReadyAt.Equal(now) || !j.WaitingSince.Equal(now) {
			t.Errorf("clock off by %v, seen to come: due %v, ready %v", off, got.Sub(now), j.ReadyAt.Sub(now))
		}
	}
}

// Work with time for several rounds needs fewer machines at once.
func TestRequiredConcurrency(t *testing.T) {
	for _, tc := range []struct {
		name  string
		job   wire.Job
		after time.Duration
		want  float64
	}{
		{"no time stated: all at once", wire.Job{Class: "x", ExpectedSeconds: 20}, 0, 1},
		{"time for two rounds and a half, half of it counted on", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 80}, 0, 1. / 3},
		{"less as it runs out", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 80}, time.Minute, 2. / 3},
		{"none to spare", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 80}, 90 * time.Second, 1},
		{"too late: the next time counts", wire.Job{Class: "f", ExpectedSeconds: 20}, 50 * time.Second, 40. / 70},
		{"all missed", wire.Job{Class: "f", ExpectedSeconds: 20}, time.Hour, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			if got := leader.requiredConcurrency(leader.addTestJob("req-1", tc.job), now.Add(tc.after)); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, tc.want)
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
	queues, candidates := leader.waitingQueues(now), leader.candidates(now)
	leader.reserveCapacity(queues, candidates, now)
	for _, target := range candidates {
		if target.reservedFor != nil {
			t.Fatal("a room is held for a task that just came")
		}
	}
	late := now.Add(5 * leader.settings.Lease())
	small.WaitingSince = late
	leader.reserveCapacity(queues, candidates, late)
	reserved := 0
	for _, target := range candidates {
		if target.reservedFor == large {
			reserved++
			if target.cpus != 2 {
				t.Error("a fuller machine is held while one has room")
			}
		}
	}
	if reserved != 1 {
		t.Errorf("%d rooms held for one task", reserved)
	}
}

// Until proof, the claims of a silent host stand: another node may have
// renewed its lease.
func TestExpireLeases(t *testing.T) {
	for _, tc := range []struct {
		name   string
		sole   uint64
		epoch  uint64
		silent time.Duration
		shown  time.Duration // since it showed its epoch
		freed  bool
	}{
		{"within the lease", 5, 5, 29 * time.Second, time.Hour, false},
		{"over, and nobody else may answer", 5, 5, 32 * time.Second, time.Hour, true},
		{"over by a drifting clock only", 5, 5, 30 * time.Second, time.Hour, false},
		{"the worker has not seen the epoch", 5, 4, time.Hour, time.Hour, false},
		{"it saw the epoch only now", 5, 5, time.Hour, 29 * time.Second, false},
		{"another owns it", 0, 9, time.Hour, time.Hour, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			j := leader.addTestJob("req-1", wire.Job{Kind: wire.KindService, TaskCount: 1, CPUs: 1})
			leader.runTestTask(t, j, "h0", time.Minute)
			worker := leader.workers["h0"]
			worker.SoleOwnerEpoch, worker.SeenEpoch, worker.LastHeartbeat, worker.LastAnswered, worker.EpochSeenAt = tc.sole, tc.epoch, now.Add(-tc.silent), now.Add(-tc.silent), now.Add(-tc.shown)
			leader.expireLeases(now)
			if got := j.ClaimedTasks() == 0; got != tc.freed {
				t.Errorf("freed: %v, want %v", got, tc.freed)
			}
		})
	}
}

// Where something urgent is always to be written, the rest still has its turn.
func TestIdleWritesHaveTheirTurn(t *testing.T) {
	leader := newTestTerm(t)
	leader.leadership = &fakeLeadership{election.ShardMap{Epoch: 1}}
	at := now
	leader.now = func() time.Time { return at }
	leader.settings.Facts.State = settings.State{WriteRPS: 1000, TxnOps: 4, ValueKB: 16}
	leader.store = kvstore.New(kvstore.Options{RequestsPerSecond: 1000, Limits: kvstore.Limits{WritesPerSecond: 1000, MaxValueBytes: 16 << 10}})
	old := leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, TaskCount: 9, CPUs: 1})
	claim := func(j *ledger.Job) *ledger.Claim {
		c, err := leader.jobs.Claim(j, "h0", 1, "a")
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	c := claim(old)
	commit := func() []string {
		b, wait, err := leader.nextAuditedBatch()
		if wait > 0 || b == nil || err != nil {
			t.Fatalf("no batch, wait %v, %v", wait, err)
		}
		leader.jobs.BatchCommitted(b.Batch, 5)
		return b.JobRefs()
	}
	commit()
	leader.jobs.Finish(c)
	first := 0
	for i := range 20 {
		j := leader.addTestJob(fmt.Sprint("req-1", i), wire.Job{Kind: wire.KindArray, TaskCount: 1, CPUs: 0.1})
		claim(j)
		at = at.Add(leader.settings.Report() / 8)
		if refs := commit(); refs[0] == "req-1" {
			first = i
			break
		}
	}
	if first == 0 {
		t.Error("a finish is never written, or before what is urgent")
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
			leader.orderJobs(jobs, at)
			for i, j := range jobs {
				first := tc.tasks[len(tc.tasks)-1-min(i, len(tc.tasks)-1)]
				if i < tc.last && j.Spec.TaskCount != first || i == tc.last && j != early {
					t.Errorf("place %d has %s with %d tasks", i, j.Ref, j.Spec.TaskCount)
				}
			}
		})
	}
}
