package leader

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/fleet"
	"rillflow/internal/ledger"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// now is the time at the beginning of a test.
var now = time.Unix(9000, 0)

// newTestTerm returns a leader term with four workers of 8 cores in zones a and b. It needs no
// network.
func newTestTerm(t testing.TB) *leaderTerm {
	t.Helper()
	operator, err := settings.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	config := &settings.Settings{Name: "n", Operator: operator, Facts: settings.Facts{
		Workers: settings.WorkerTimings{HeartbeatSeconds: 3, LeaseSeconds: 30},
		Teams:   []settings.Team{{Name: "t", CPUs: 100, CPUsMax: 100}, {Name: "u", CPUs: 4, CPUsMax: 100}},
		Objectives: []settings.Objective{
			{Kind: "finished", Class: "f", WithinSeconds: 60},
			{Kind: "finished", Class: "f", WithinSeconds: 120},
			{Kind: "deadline", Class: "d", DeadlineFactor: 1.5},
			{Kind: "wait", Class: "s", WithinSeconds: 12},
		},
	}}
	instanceTypes := fleet.NewCatalogue(nil, time.Minute, nil)
	instanceTypes.Set([]wire.InstanceType{{Name: "m", CPUs: 8, MemoryGB: 64, ImagePullGBPerSecond: 1, DiskGB: 20}})
	env := &environment{
		settings:      config,
		instanceTypes: instanceTypes,
		replica:       replica.New(1 << 20),
		log:           slog.New(slog.NewTextHandler(io.Discard, nil)),
		now:           func() time.Time { return now },
	}
	leader := newLeaderTerm(t.Context(), env, nil, 0, nil)
	leader.startedAt = time.Time{}
	for i, zone := range []string{"a", "b", "a", "b"} {
		worker := agent.NewWorker(fmt.Sprint("h", i))
		worker.InstanceType, worker.Zone, worker.Incarnation, worker.LastHeartbeat = "m", zone, 1, now
		leader.addWorker(worker)
	}
	return leader
}

// runnerOf returns a Runner whose current term is the given one.
func runnerOf(term *leaderTerm) *Runner {
	runner := &Runner{environment: term.environment}
	runner.current.Store(term)
	return runner
}

// testPeer returns the settings of another controller.
func testPeer(name, zone string) settings.Peer {
	return settings.Peer{Name: name, Zone: zone, Endpoint: name + ":1"}
}

// addTestJob adds a live job, of team t unless the spec names another.
func (t *leaderTerm) addTestJob(jobID string, spec wire.Job) *ledger.Job {
	if spec.Team == "" {
		spec.Team = "t"
	}
	return t.jobs.AddJob(jobID, ledger.JobRecord{Job: spec, SubmittedMS: now.UnixMilli(), ChunkTasks: 8}, 1)
}

// runTestTask claims the next task of a job for a worker, with a committed claim and the task running
// for the given time.
func (t *leaderTerm) runTestTask(
	tb *testing.T, job *ledger.Job, worker string, runningFor time.Duration,
) *ledger.Claim {
	tb.Helper()
	claim, err := t.jobs.Claim(job, worker, 1, t.workers[worker].Zone)
	if err != nil {
		tb.Fatal(err)
	}
	claim.Committed, claim.RunningSince = true, now.Add(-runningFor)
	return claim
}
