package leader

import (
	"testing"
	"time"

	"rillflow/internal/wire"
)

// TestDrainOnTerminationNotice checks that on a worker with a termination notice only the tasks that
// finish in time and those of services and gangs keep running.
func TestDrainOnTerminationNotice(t *testing.T) {
	for _, tc := range []struct {
		name            string
		job             wire.Job
		runningFor      time.Duration
		finishedSeconds []float64 // run times of the job's finished tasks
		reclaimIn       time.Duration
		wantStopped     bool
	}{
		{"finishes before the reclaim", wire.Job{ExpectedSeconds: 30}, 20 * time.Second, nil, 15 * time.Second, false},
		{"does not finish before the reclaim", wire.Job{ExpectedSeconds: 30}, 10 * time.Second, nil, 15 * time.Second, true},
		{"still pulling its image", wire.Job{ExpectedSeconds: 30}, 0, nil, 15 * time.Second, true},
		{"finished tasks took longer", wire.Job{ExpectedSeconds: 30}, 20 * time.Second,
			[]float64{80, 80, 80, 80}, 15 * time.Second, true},
		{"finished tasks took less time", wire.Job{ExpectedSeconds: 60}, 20 * time.Second,
			[]float64{20, 22, 24, 20, 22}, 15 * time.Second, false},
		{"running for longer than expected", wire.Job{ExpectedSeconds: 30}, time.Minute, nil, time.Second, false},
		{"a service task is not stopped", wire.Job{Kind: wire.KindService}, time.Minute, nil,
			15 * time.Second, false},
		{"a gang task is not stopped alone", wire.Job{Kind: wire.KindGang, ExpectedSeconds: 30}, time.Second, nil,
			15 * time.Second, false},
		{"no notice", wire.Job{ExpectedSeconds: 300}, time.Second, nil, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			if tc.job.Kind == "" {
				tc.job.Kind = wire.KindArray
			}
			tc.job.TaskCount, tc.job.CPUs, tc.job.AllowSpot = 2, 1, true
			claim := leader.runTestTask(t, leader.addTestJob("req-1", tc.job), "h0", tc.runningFor)
			if tc.runningFor == 0 {
				claim.RunningSince = time.Time{}
			}
			for _, seconds := range tc.finishedSeconds {
				claim.Job.RunSeconds.Sum += seconds
				claim.Job.RunSeconds.Count++
			}
			if tc.reclaimIn > 0 {
				leader.workers["h0"].ReclaimAt = now.Add(tc.reclaimIn)
			}
			if leader.drainer.drainReclaimed(now); claim.Stopping != tc.wantStopped {
				t.Errorf("stopped: %v, want %v", claim.Stopping, tc.wantStopped)
			}
		})
	}
}
