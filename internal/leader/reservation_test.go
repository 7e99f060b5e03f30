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
