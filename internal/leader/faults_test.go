package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// TestFailureAttribution checks that a job that fails on every worker is distinguished from a worker
// that fails every job.
func TestFailureAttribution(t *testing.T) {
	for _, tc := range []struct {
		name        string
		failures    [][2]string // job, worker
		wantWorkers string
		wantJobs    string
	}{
		{"one failure is not attributed", [][2]string{{"req-1", "h0"}}, "", ""},
		{"a worker that fails several jobs", [][2]string{{"req-1", "h0"}, {"req-2", "h0"}}, " h0", ""},
		{"a job that fails on several workers", [][2]string{{"req-1", "h0"}, {"req-1", "h1"}, {"req-1", "h2"}}, "",
			" req-1"},
		{"a job that fails on one faulty worker is not faulty",
			[][2]string{{"req-1", "h0"}, {"req-2", "h0"}, {"req-1", "h1"}},
			" h0", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			jobs := []*ledger.Job{
				leader.addTestJob("req-1", wire.Job{TaskCount: 9}),
				leader.addTestJob("req-2", wire.Job{TaskCount: 9}),
			}
			for _, failure := range tc.failures {
				leader.faults.countFailure(leader.jobs.Job(failure[0]), leader.workers[failure[1]], now)
			}
			faultyWorkers, faultyJobs := "", ""
			for _, worker := range leader.workersByName {
				if leader.faults.workerFaulty(worker) {
					faultyWorkers += " " + worker.Name
				}
			}
			for _, job := range jobs {
				if leader.faults.jobFaulty(job) {
					faultyJobs += " " + job.ID
				}
			}
			if faultyWorkers != tc.wantWorkers || faultyJobs != tc.wantJobs {
				t.Errorf("faulty workers%s and jobs%s; want%s and%s", faultyWorkers, faultyJobs, tc.wantWorkers, tc.wantJobs)
			}
		})
	}
}

// TestQuarantineIsRetried checks that a faulty worker whose instance is not released is tried again
// once per lease. When most workers fail tasks, none is released, and without the retry a worker that
// has recovered would never get a task again.
func TestQuarantineIsRetried(t *testing.T) {
	for _, tc := range []struct {
		name           string
		failureCount   int
		lastFailureAgo time.Duration // the lease is 30 s
		wantAccepts    bool
	}{
		{"one failure", 1, time.Second, true},
		{"two failures", 2, time.Second, false},
		{"two failures, nearly a lease ago", 2, 29 * time.Second, false},
		{"two failures, a lease ago", 2, 30 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			spec := wire.Job{Class: "f", Kind: wire.KindArray, TaskCount: 4, CPUs: 1}
			// All workers fail, each a job of its own that fails nowhere else, so none is released.
			for _, worker := range leader.workersByName {
				job := leader.addTestJob("req-"+worker.Name[1:], spec)
				for range tc.failureCount {
					leader.faults.countFailure(job, worker, now.Add(-tc.lastFailureAgo))
				}
			}
			if got := leader.failures.faultyWorkers(now); len(got) > 0 {
				t.Errorf("got released workers %v, want none", got)
			}
			if got := leader.scheduler.acceptsTasks(leader.workers["h0"], now); got != tc.wantAccepts {
				t.Errorf("accepts tasks: %v, want %v", got, tc.wantAccepts)
			}
			leader.faults.countFailure(leader.jobs.Job("req-0"), leader.workers["h0"], now)
			if tc.failureCount > 1 && leader.scheduler.acceptsTasks(leader.workers["h0"], now) {
				t.Error("accepts tasks right after another failure")
			}
		})
	}
}

// TestExclusionFromWorkerEnds guards against a job that never runs again because it failed once on
// each worker that fits it: a worker that has recovered must be offered the job again.
func TestExclusionFromWorkerEnds(t *testing.T) {
	const lease = 30 * time.Second
	for _, tc := range []struct {
		name        string
		failuresAgo []time.Duration
		wantOffered bool
	}{
		{"just failed", []time.Duration{0}, false},
		{"failed nearly a lease ago", []time.Duration{lease - time.Second}, false},
		{"failed a lease ago", []time.Duration{lease}, true},
		{"several tasks failed at once", []time.Duration{lease, lease, lease}, true},
		{"the second trial failed a lease ago", []time.Duration{2 * lease, lease}, false},
		{"the second trial failed two leases ago", []time.Duration{3 * lease, 2 * lease}, true},
		{"the fifth trial failed two leases ago", []time.Duration{10 * lease, 8 * lease, 6 * lease, 4 * lease, 2 * lease}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			job := leader.addTestJob("req-1", wire.Job{TaskCount: 9, CPUs: 1})
			for _, ago := range tc.failuresAgo {
				leader.faults.countFailure(job, leader.workers["h0"], now.Add(-ago))
			}
			candidates := leader.scheduler.candidates(now)
			offered := false
			for _, target := range candidates {
				offered = offered || target.worker.Name == "h0" && target.fits(job)
			}
			excluded := leader.scheduler.offers.describeJob(job, newCandidateIndex(candidates), now).ExcludedWorkers
			if offered != tc.wantOffered || (len(excluded) == 0) != tc.wantOffered {
				t.Errorf("fits: %v, excluded workers %v; want fits %v", offered, excluded, tc.wantOffered)
			}
		})
	}
}

// TestRetriesDoNotQuarantineHealthyWorker guards against a job with a mistake that takes a healthy
// worker away from all others: it is tried there again and again, while tasks of others succeed.
func TestRetriesDoNotQuarantineHealthyWorker(t *testing.T) {
	for _, othersSucceed := range []bool{false, true} {
		leader := newTestTerm(t)
		leader.leadership = &fakeLeadership{}
		mistaken := leader.addTestJob("req-1", wire.Job{TaskCount: 1})
		worker := leader.workers["h0"]
		for trial := range 4 {
			failedAt := now.Add(time.Duration(trial) * 3 * time.Minute)
			leader.faults.countFailure(mistaken, worker, failedAt)
			if othersSucceed {
				job := leader.addTestJob(fmt.Sprint("req-2", trial), wire.Job{Kind: wire.KindArray, TaskCount: 1})
				claim, err := leader.jobs.Claim(job, worker.Name, worker.Incarnation, worker.Zone)
				if err != nil {
					t.Fatal(err)
				}
				claim.RunningSince = failedAt.Add(time.Minute)
				leader.heartbeats.taskEnded(claim, worker, wire.ExitDone, failedAt.Add(2*time.Minute))
			}
		}
		if got := leader.faults.workerFaulty(worker); got == othersSucceed {
			t.Errorf("others succeed: %v; worker faulty: %v, want %v", othersSucceed, got, !othersSucceed)
		}
	}
}

// TestFailureRecordIsBounded checks that of more workers than are recorded the latest stay, so that
// a job that fails everywhere is still known to be faulty.
func TestFailureRecordIsBounded(t *testing.T) {
	leader := newTestTerm(t)
	job := leader.addTestJob("req-1", wire.Job{TaskCount: 9})
	for i := range 2 * maxRecordedFailures {
		worker := agent.NewWorker(fmt.Sprint("w", i))
		leader.faults.countFailure(job, worker, now.Add(time.Duration(i)*time.Second))
		if latest := job.FailedOn[worker.Name]; latest.Trials != 1 || len(job.FailedOn) > maxRecordedFailures {
			t.Fatalf("after %d workers: latest %+v, %d recorded; want it recorded, at most %d in all",
				i+1, latest, len(job.FailedOn), maxRecordedFailures)
		}
	}
	if !leader.faults.jobFaulty(job) {
		t.Error("the job is not faulty, want faulty")
	}
}

// TestLastOfItsTypeIsNotReleasedForFailures guards against releasing the only large worker because
// tasks failed there: the cloud may have no replacement, and tasks that fit no other worker would
// never run.
func TestLastOfItsTypeIsNotReleasedForFailures(t *testing.T) {
	for _, tc := range []struct {
		name          string
		instanceTypes [4]string // of the workers h0 to h3
		failing       []string
		wantReleased  string
	}{
		{"one of several", [4]string{"m", "m", "m", "m"}, []string{"h0"}, "[h0]"},
		{"the only one", [4]string{"large", "m", "m", "m"}, []string{"h0"}, "[]"},
		{"the last healthy one", [4]string{"large", "large", "m", "m"}, []string{"h0", "h1"}, "[]"},
		{"one while another is healthy", [4]string{"large", "large", "m", "m"}, []string{"h1"}, "[h1]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			for i, instanceType := range tc.instanceTypes {
				leader.workersByName[i].InstanceType = instanceType
			}
			for _, name := range tc.failing {
				for i := range faultyWorkerFailures {
					job := leader.addTestJob(fmt.Sprint("req-", name, i), wire.Job{TaskCount: 9})
					leader.faults.countFailure(job, leader.workers[name], now)
				}
			}
			if got := fmt.Sprint(leader.failures.faultyWorkers(now)); got != tc.wantReleased {
				t.Errorf("released %s, want %s", got, tc.wantReleased)
			}
		})
	}
}
