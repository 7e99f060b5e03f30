package leader

import (
	"slices"
	"testing"
	"time"

	"rillflow/internal/cancellation"
	"rillflow/internal/election"
	"rillflow/internal/wire"
)

// A worker on which a cancelled task may still be when it must be gone is released, heard or
// not, by whoever led last; what the store has not told is known from cancellation messages.
func TestOverdueWorkers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		since   time.Duration // the cancellation
		ended   bool          // the task was seen to end
		silent  bool
		overdue bool
	}{
		{"just now", 10 * time.Second, false, false, false},
		{"about to be late, and silent", 45 * time.Second, false, true, true},
		{"about to be late, though heard", 45 * time.Second, false, false, true},
		{"seen to end", 45 * time.Second, true, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.heartbeats.latencies = newLatencies()
			leader.leadership = &fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}
			leader.settings.Facts.Workers.CancelSeconds = 50
			job := leader.addTestJob("req-1", wire.Job{Class: "f", TaskCount: 1, CPUs: 2})
			leader.addTestJob("req-2", wire.Job{Class: "f", TaskCount: 1, CPUs: 2})
			leader.runTestTask(t, job, "h0", time.Minute)
			leader.runTestTask(t, leader.jobs.Job("req-2"), "h1", time.Minute)
			leader.recentCancellations = cancellation.New(cancellation.Options{
				StopDeadline: time.Minute, Capacity: 8, StoreUnavailable: func() bool { return false }, Now: leader.now,
			})
			leader.recentCancellations.Add("", "req-1", "req-unknown")
			leader.cancellations.applyCancellations()
			if !job.Cancelled || leader.jobs.Job("req-2").Cancelled {
				t.Fatal("not cancelled by the message")
			}
			if tc.ended {
				stopped := wire.TaskStatus{
					Task: "req-1/0", Attempt: 1, Phase: wire.TaskExited, ExitReason: wire.ExitStopped,
				}
				leader.heartbeats.applyHeartbeat(&wire.Heartbeat{
					Worker: "h0", InstanceType: "m", Zone: "a", Incarnation: 1, Sequence: 1,
					Tasks: []wire.TaskStatus{stopped},
				})
			}
			at := now.Add(tc.since)
			if !tc.silent {
				leader.workers["h0"].LastHeartbeat = at
			}
			leader.workers["h1"].LastHeartbeat = at
			overdue := slices.Contains(leader.cancellations.overdueWorkers(at), "h0")
			if overdue != tc.overdue || slices.Contains(leader.cancellations.overdueWorkers(at), "h1") {
				t.Errorf("overdue %v", leader.cancellations.overdueWorkers(at))
			}
			if tc.overdue && !slices.Contains(leader.failures.faultyWorkers(at), "h0") {
				t.Error("not released by a leader whose lease is held")
			}
		})
	}
}
