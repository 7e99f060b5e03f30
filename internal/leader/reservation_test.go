package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/wire"
)

// TestReserveCapacity guards against a large task being starved by small ones: past the aging
// threshold, one worker is reserved for it until enough capacity is free.
func TestReserveCapacity(t *testing.T) {
	leader := newTestTerm(t)
	small := leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, Priority: "standard", TaskCount: 99, CPUs: 2})
	for i := range 4 {
		for range 3 + i%2 {
			leader.runTestTask(t, small, fmt.Sprint("h", i), time.Second)
		}
	}
	large := leader.addTestJob("req-2", wire.Job{Kind: wire.KindArray, Priority: "standard", TaskCount: 1, CPUs: 8})
	queues, candidates := leader.scheduler.waitingQueues(now), leader.scheduler.candidates(now)
	leader.scheduler.reserveCapacity(queues, candidates, now)
	for _, target := range candidates {
		if target.reservedFor != nil {
			t.Fatal("capacity is reserved for a job that has just arrived")
		}
	}
	late := now.Add(5 * leader.settings.WorkerLease())
	small.WaitingSince = late
	leader.scheduler.reserveCapacity(queues, candidates, late)
	reserved := 0
	for _, target := range candidates {
		if target.reservedFor == large {
			reserved++
			if target.free.cpus != 2 {
				t.Error("a worker with fewer free CPUs is reserved, want the one with 2")
			}
		}
	}
	if reserved != 1 {
		t.Errorf("%d workers reserved for one task, want 1", reserved)
	}
}

// Guards against a reservation of a worker that never has room, because a replica stays there.
func TestReservationLeavesOutReplicas(t *testing.T) {
	leader := newTestTerm(t)
	small := leader.addTestJob("req-1", wire.Job{Kind: wire.KindArray, Priority: "standard", TaskCount: 99, CPUs: 2})
	service := leader.addTestJob("req-2", wire.Job{Kind: wire.KindService, Priority: "production", TaskCount: 3, CPUs: 1})
	for i := range 4 {
		for range 3 {
			leader.runTestTask(t, small, fmt.Sprint("h", i), time.Second)
		}
		if i != 2 {
			leader.runTestTask(t, service, fmt.Sprint("h", i), time.Second)
		}
	}
	leader.runTestTask(t, small, "h2", time.Second) // no free CPUs, but none that stay taken
	large := leader.addTestJob("req-3", wire.Job{Kind: wire.KindArray, Priority: "standard", TaskCount: 1, CPUs: 8})
	queues, candidates := leader.scheduler.waitingQueues(now), leader.scheduler.candidates(now)
	late := now.Add(5 * leader.settings.WorkerLease())
	small.WaitingSince = late
	leader.scheduler.reserveCapacity(queues, candidates, late)
	for _, target := range candidates {
		if isReserved := target.reservedFor == large; isReserved != (target.worker.Name == "h2") {
			t.Errorf("%s: reserved %v, want h2 alone, which has no replica", target.worker.Name, isReserved)
		}
	}
}
