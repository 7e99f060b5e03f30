package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/wire"
)

// TestReserveCapacity: free capacity adds up for a large task that small ones would starve.
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
			t.Fatal("capacity is reserved for a task that just came")
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
				t.Error("a fuller worker is reserved while another has free capacity")
			}
		}
	}
	if reserved != 1 {
		t.Errorf("%d workers reserved for one task", reserved)
	}
}
