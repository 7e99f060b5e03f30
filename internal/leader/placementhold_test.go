package leader

import (
	"log/slog"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// TestPlacementOnHold guards against starting a task a second time after the store has lost data:
// nothing is placed before all live data is stored again and all workers that may run tasks have
// reported. If some never report, only jobs that arrived after the loss are placed, unless this
// controller's replica has every claim.
func TestPlacementOnHold(t *testing.T) {
	const firstEpoch = 7
	startedAt := time.Unix(1000, 0)
	env := &environment{
		settings: &settings.Settings{Facts: settings.Facts{
			Workers: settings.WorkerTimings{HeartbeatSeconds: 3, LeaseSeconds: 30},
			Cloud:   settings.CloudLimits{ListLagSeconds: 5},
		}},
		log: slog.New(slog.DiscardHandler), now: func() time.Time { return startedAt },
	}
	unreported := func() *agent.Worker { return agent.NewWorker("i-1") }
	reported := func(epoch uint64) *agent.Worker {
		worker := agent.NewWorker("i-1")
		worker.LastHeartbeat, worker.SeenEpoch = startedAt.Add(time.Second), epoch
		return worker
	}
	fullRecovery := func(exact bool, durableAt time.Time) *recoveryProgress {
		return &recoveryProgress{full: true, exact: exact, durableAt: durableAt}
	}
	const allClaims, someClaims = true, false // whether this controller's replica has every claim
	notStored := time.Time{}
	for _, tc := range []struct {
		name          string
		progress      *recoveryProgress
		worker        *agent.Worker
		elapsed       time.Duration // since the beginning of the term
		wantOnHold    bool
		wantJobOnHold bool // for a job from before the loss
	}{
		{"nothing was lost", nil, unreported(), 0, false, false},
		{"only end records are missing", &recoveryProgress{}, unreported(), 0, false, false},
		{"live data not stored yet", fullRecovery(allClaims, notStored), reported(firstEpoch), 12 * time.Second,
			true, true},
		{"a worker has not reported", fullRecovery(allClaims, startedAt), unreported(), 12 * time.Second, true, true},
		{"reported, but an earlier leader may still command it", fullRecovery(allClaims, startedAt),
			reported(firstEpoch - 1), 12 * time.Second, true, true},
		{"all reported, all claims in the replica", fullRecovery(allClaims, startedAt), reported(firstEpoch),
			2 * time.Second, false, false},
		{"all reported, but the instance list may lag", fullRecovery(someClaims, startedAt), reported(firstEpoch),
			9 * time.Second, true, true},
		{"all reported, and the instance list is up to date", fullRecovery(someClaims, startedAt),
			reported(firstEpoch), 11 * time.Second, false, false},
		{"one never reports, all claims in the replica", fullRecovery(allClaims, startedAt), unreported(),
			34 * time.Second, false, false},
		{"one never reports, some claims in the replica", fullRecovery(someClaims, startedAt), unreported(),
			34 * time.Second, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newLeaderTerm(t.Context(), env, nil, firstEpoch, nil)
			leader.recovery.progress = tc.progress
			leader.instances = map[string]wire.Instance{"i-1": {Name: "i-1", Phase: wire.InstanceRunning}}
			leader.addWorker(tc.worker)
			if got := leader.recovery.placementOnHold(startedAt.Add(tc.elapsed)); got != tc.wantOnHold {
				t.Errorf("on hold: %v, want %v", got, tc.wantOnHold)
			}
			earlier := addSubmittedJob(leader, "r", startedAt.Add(time.Second))
			// Accepted by a controller whose clock is behind: the leader saw it arrive, which decides.
			later := addSubmittedJob(leader, "s", startedAt.Add(-time.Second))
			later.MarkArrived(startedAt.Add(time.Second))
			if leader.recovery.jobOnHold(earlier) != tc.wantJobOnHold || leader.recovery.jobOnHold(later) {
				t.Errorf("jobs on hold: %v before the loss, %v after it; want %v and false",
					leader.recovery.jobOnHold(earlier), leader.recovery.jobOnHold(later), tc.wantJobOnHold)
			}
		})
	}
}

// addSubmittedJob adds a job submitted at the given time by the clock of the controller that accepted
// it.
func addSubmittedJob(leader *leaderTerm, jobID string, submittedAt time.Time) *ledger.Job {
	record := ledger.JobRecord{Job: wire.Job{ID: jobID, TaskCount: 1}, SubmittedMS: submittedAt.UnixMilli()}
	return leader.jobs.AddJob(jobID, record, 1)
}
