package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// A job that fails everywhere is told from a worker that fails everything.
func TestBlame(t *testing.T) {
	for _, tc := range []struct {
		name        string
		failures    [][2]string // job, worker
		wantWorkers string
		wantJobs    string
	}{
		{"one failure is nobody's fault", [][2]string{{"req-1", "h0"}}, "", ""},
		{"a machine that fails several jobs", [][2]string{{"req-1", "h0"}, {"req-2", "h0"}}, " h0", ""},
		{"a job that fails on several machines", [][2]string{{"req-1", "h0"}, {"req-1", "h1"}, {"req-1", "h2"}}, "",
			" req-1"},
		{"a job caught on a bad machine is not bad", [][2]string{{"req-1", "h0"}, {"req-2", "h0"}, {"req-1", "h1"}},
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
				t.Errorf("blamed workers%s and jobs%s", faultyWorkers, faultyJobs)
			}
		})
	}
}

// A worker that fails what it starts is quarantined, and tried again once in a lease where its
// instance is not released: where most workers fail tasks, none is, and a fault that is over
// would never show.
func TestQuarantineIsRetried(t *testing.T) {
	for _, tc := range []struct {
		name           string
		failures       int
		lastFailureAgo time.Duration // the last failure; the lease is 30 s
		wantAccepts    bool
	}{
		{"one failure", 1, time.Second, true},
		{"two", 2, time.Second, false},
		{"two, nearly a lease ago", 2, 29 * time.Second, false},
		{"two, a lease ago", 2, 30 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			spec := wire.Job{Class: "f", Kind: wire.KindArray, TaskCount: 4, CPUs: 1}
			for _, worker := range leader.workersByName { // most fail, of jobs that fail nowhere else: none is released
				job := leader.addTestJob("req-"+worker.Name[1:], spec)
				for range tc.failures {
					leader.faults.countFailure(job, worker, now.Add(-tc.lastFailureAgo))
				}
			}
			if got := leader.failures.faultyWorkers(now); len(got) > 0 {
				t.Errorf("released %v", got)
			}
			if got := leader.scheduler.acceptsTasks(leader.workers["h0"], now); got != tc.wantAccepts {
				t.Errorf("usable: %v", got)
			}
			leader.faults.countFailure(leader.jobs.Job("req-0"), leader.workers["h0"], now)
			if tc.failures > 1 && leader.scheduler.acceptsTasks(leader.workers["h0"], now) {
				t.Error("tried again at once after it failed once more")
			}
		})
	}
}

// Guards against fleets that give their only large workers away because tasks failed there: the
// cloud need not have another, and what fits nowhere else never runs.
func TestLastOfItsTypeIsNotReleasedForFailures(t *testing.T) {
	for _, tc := range []struct {
		name          string
		instanceTypes [4]string // of the workers h0 to h3
		failing       []string
		wantReleased  string
	}{
		{"one of several", [4]string{"m", "m", "m", "m"}, []string{"h0"}, "[h0]"},
		{"the only one", [4]string{"large", "m", "m", "m"}, []string{"h0"}, "[]"},
		{"the last one that is well", [4]string{"large", "large", "m", "m"}, []string{"h0", "h1"}, "[]"},
		{"one while another is well", [4]string{"large", "large", "m", "m"}, []string{"h1"}, "[h1]"},
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
