package leader

import (
	"testing"
	"time"

	"rillflow/internal/wire"
)

// TestDeadlineSlack checks the number of deadlines that can no longer be met, with two objectives of
// 60 and 120 s for class f and one of 1.5 times the deadline for class d.
func TestDeadlineSlack(t *testing.T) {
	for _, tc := range []struct {
		name       string
		job        wire.Job
		elapsed    time.Duration
		wantMissed int
	}{
		{"in time for both deadlines", wire.Job{Class: "f", ExpectedSeconds: 20}, 30 * time.Second, 0},
		{"too late for the first deadline", wire.Job{Class: "f", ExpectedSeconds: 20}, 50 * time.Second, 1},
		{"too late for both deadlines", wire.Job{Class: "f", ExpectedSeconds: 20}, 110 * time.Second, 2},
		{"in time for 1.5 times the deadline", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 60},
			69 * time.Second, 0},
		{"too late for 1.5 times the deadline", wire.Job{Class: "d", ExpectedSeconds: 20, DeadlineSeconds: 60},
			71 * time.Second, 1},
		{"no objective", wire.Job{Class: "x", ExpectedSeconds: 20}, time.Hour, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			tc.job.TaskCount, tc.job.CPUs = 2, 3
			slack := leader.scheduler.ranking.deadlineSlack(leader.addTestJob("req-1", tc.job), now.Add(tc.elapsed))
			if slack.missed != tc.wantMissed || slack.cpuSecondsLeft != 2*3*20 {
				t.Errorf("got %+v, want %d missed and 120 CPU-seconds", slack, tc.wantMissed)
			}
		})
	}
}
