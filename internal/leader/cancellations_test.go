package leader

import (
	"slices"
	"testing"
	"time"

	"rillflow/internal/cancellation"
	"rillflow/internal/election"
	"rillflow/internal/wire"
)

// A worker that may still have a cancelled task at its deadline is released, whether or not its
// heartbeats arrive and although the store has not reported the cancellation: the leader knows of
// it from a cancellation message alone.
func TestOverdueWorkers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		since   time.Duration // time since the cancellation
		ended   bool          // the worker reported the end of the task
		silent  bool
		overdue bool
	}{
		{"just now", 10 * time.Second, false, false, false},
		{"overdue, worker silent", 45 * time.Second, false, true, true},
		{"overdue, worker sends heartbeats", 45 * time.Second, false, false, true},
		{"task end reported", 45 * time.Second, true, false, false},
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
				t.Fatalf("got req-1 cancelled %v, req-2 cancelled %v; want true, false",
					job.Cancelled, leader.jobs.Job("req-2").Cancelled)
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
				t.Errorf("got overdue workers %v, want h0 overdue: %v, h1 never",
					leader.cancellations.overdueWorkers(at), tc.overdue)
			}
			if tc.overdue && !slices.Contains(leader.failures.faultyWorkers(at), "h0") {
				t.Error("overdue worker is not among the faulty workers")
			}
		})
	}
}

// lapsedLeadership is a leadership whose lease may have expired.
type lapsedLeadership struct{ fakeLeadership }

func (*lapsedLeadership) LeaseHeld(time.Time) bool { return false }

// Guards against a leader that stood still for longer than the deadline of cancelled tasks, and releases the
// instances that its successor has long used for others when it goes on.
func TestLeaderThatStoodStillReleasesNothing(t *testing.T) {
	const interval = 3 * time.Second // between heartbeats
	leader := newTestTerm(t)
	leader.leadership = &lapsedLeadership{fakeLeadership{election.ShardMap{Epoch: 7, Owners: []string{"n"}}}}
	leader.settings.Facts.Workers.CancelSeconds = 50
	job := leader.addTestJob("req-1", wire.Job{Class: "f", TaskCount: 1, CPUs: 2})
	leader.runTestTask(t, job, "h0", time.Minute)
	job.CancelledAt = now
	leader.jobs.Cancel("req-1")
	at := now.Add(10 * time.Second)
	for _, step := range []struct {
		name    string
		asleep  time.Duration
		release bool
	}{
		{"before the deadline", leader.monitorInterval(), false},
		{"just after standing still", time.Minute, false},
		{"within a heartbeat interval", interval / 2, false},
		{"after a heartbeat interval, no successor is known", interval, true},
		{"refused by the store for as long, but running", leader.monitorInterval(), true},
	} {
		names, _ := leader.failures.nextReleases(at, at.Add(step.asleep))
		at = at.Add(step.asleep)
		if released := slices.Contains(names, "h0"); released != step.release {
			t.Errorf("%s: got released %v, want %v", step.name, released, step.release)
		}
	}
}
