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

// After a loss nothing is placed before all live data is stored and every worker that may have
// a task has reported; later, only jobs that came since, unless this controller knows all.
func TestPlacementOnHold(t *testing.T) {
	const firstEpoch = 7
	startedAt := time.Unix(1000, 0)
	env := &environment{
		settings: &settings.Settings{Facts: settings.Facts{
			Workers: settings.WorkerTimings{HeartbeatSeconds: 3, LeaseSeconds: 30}, Cloud: settings.CloudLimits{ListLagSeconds: 5},
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
	const remembersAll, remembersSome = true, false // what this controller remembers
	notStored := time.Time{}
	for _, tc := range []struct {
		name          string
		progress      *recoveryProgress
		worker        *agent.Worker
		elapsed       time.Duration // the start of the term
		wantOnHold    bool
		wantJobOnHold bool // one of before the loss
	}{
		{"nothing was lost", nil, unreported(), 0, false, false},
		{"only ends are written", &recoveryProgress{}, unreported(), 0, false, false},
		{"not stored yet", fullRecovery(remembersAll, notStored), reported(firstEpoch), 12 * time.Second, true, true},
		{"a machine was not heard", fullRecovery(remembersAll, startedAt), unreported(), 12 * time.Second, true, true},
		{"heard, but an earlier leader may still order it", fullRecovery(remembersAll, startedAt), reported(firstEpoch - 1),
			12 * time.Second, true, true},
		{"all heard, and all is remembered", fullRecovery(remembersAll, startedAt), reported(firstEpoch), 2 * time.Second, false, false},
		{"all heard, but the list may lack one", fullRecovery(remembersSome, startedAt), reported(firstEpoch), 9 * time.Second, true,
			true},
		{"all heard, and the list is up to date", fullRecovery(remembersSome, startedAt), reported(firstEpoch),
			11 * time.Second, false, false},
		{"one is never heard, all is remembered", fullRecovery(remembersAll, startedAt), unreported(), 34 * time.Second, false, false},
		{"one is never heard, and not all is remembered", fullRecovery(remembersSome, startedAt), unreported(),
			34 * time.Second, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newLeaderTerm(t.Context(), env, nil, firstEpoch, nil)
			leader.recovery.progress = tc.progress
			leader.instances = map[string]wire.Instance{"i-1": {Name: "i-1", Phase: wire.InstanceRunning}}
			leader.addWorker(tc.worker)
			if got := leader.recovery.placementOnHold(startedAt.Add(tc.elapsed)); got != tc.wantOnHold {
				t.Errorf("on hold: %v", got)
			}
			earlier := addSubmittedJob(leader, "r", startedAt.Add(time.Second))
			// Accepted by a controller whose clock is behind: what counts is that it was seen to come.
			later := addSubmittedJob(leader, "s", startedAt.Add(-time.Second))
			later.MarkArrived(startedAt.Add(time.Second))
			if leader.recovery.jobOnHold(earlier) != tc.wantJobOnHold || leader.recovery.jobOnHold(later) {
				t.Errorf("on hold: %v, %v", leader.recovery.jobOnHold(earlier), leader.recovery.jobOnHold(later))
			}
		})
	}
}

// addSubmittedJob adds a job that was submitted at a time by the clock of whoever accepted it.
func addSubmittedJob(leader *leaderTerm, jobID string, submittedAt time.Time) *ledger.Job {
	record := ledger.JobRecord{Job: wire.Job{ID: jobID, TaskCount: 1}, SubmittedMS: submittedAt.UnixMilli()}
	return leader.jobs.AddJob(jobID, record, 1)
}
