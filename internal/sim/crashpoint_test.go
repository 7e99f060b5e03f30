package sim

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

// waitForRebuildWrite waits for the rebuild's write of the given number and returns the
// controller that made it. The write is applied, but its response is lost. It reports
// false if the rebuild completes with fewer writes, or if there is no such write within two
// leases.
func (d *lossRun) waitForRebuildWrite(number int) (controller int, found bool) {
	type write struct {
		controller string
		complete   bool
	}
	matched := make(chan write, 1)
	started, count := false, 0
	d.store.mu.Lock()
	d.store.onCommit = func(from string, txn wire.Txn) bool {
		started = started || putsKey(txn, "history/id/")
		if !started || !putsKey(txn, "history/") && !putsKey(txn, "j/") && !putsKey(txn, "c/") && !putsKey(txn, "d/") {
			return false
		}
		complete := false
		for _, op := range txn.Operations {
			complete = complete || op.Put == "history/phase" && bytes.Contains(op.Value, []byte("whole"))
		}
		count++
		if count == number || complete {
			select {
			case matched <- write{from, count != number}:
			default:
			}
		}
		return count == number
	}
	d.store.mu.Unlock()
	var result write
	select {
	case result = <-matched:
	case <-time.After(2 * leaseDuration):
		result.complete = true
	}
	d.store.mu.Lock()
	d.store.onCommit = nil
	d.store.mu.Unlock()
	if result.complete || !strings.HasPrefix(result.controller, "host-") {
		return 0, false
	}
	fmt.Sscanf(result.controller, "host-%d", &controller)
	return controller, true
}

// Guards against a rebuild that cannot be resumed. For each of its writes in turn, the
// controller crashes after the write was applied and before it got the response, and
// restarts after 50 ms or only after another has taken over.
func TestRebuildInterruptedAtEachWrite(t *testing.T) {
	for _, tc := range []struct {
		name     string
		lossKind string
		downtime time.Duration
	}{{"all keys lost, immediate restart", allKeysLost, 50 * time.Millisecond}, {"restored from backup, restart after a takeover", restored, 8 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			interrupted := 0
			for number := 1; ; number++ {
				found := false
				synctest.Test(t, func(t *testing.T) {
					d, before, end := startLossRun(t, 700, 8, "")
					d.loseData(tc.lossKind, 15*time.Second, "")
					var controller int
					if controller, found = d.waitForRebuildWrite(number); found {
						d.crash(controller, tc.downtime)
					}
					surviving := d.countSurviving(before, 40*time.Second)
					time.Sleep(175 * time.Second)
					end()
					for _, violation := range d.world.violations {
						t.Errorf("write %d: %s", number, violation)
					}
					for jobID, job := range d.world.jobs {
						if want := map[string]string{wire.KindArray: wire.PhaseDone, wire.KindService: wire.PhaseCancelled}[job.Kind]; d.world.lastPhase[jobID] != want {
							t.Errorf("write %d: job %s is %q, want %s", number, jobID, d.world.lastPhase[jobID], want)
						}
					}
					if float64(surviving) < 0.9*float64(len(before)) {
						t.Errorf("write %d: %d of %d tasks survived, want 90%%", number, surviving, len(before))
					}
				})
				if !found {
					break
				}
				interrupted = number
			}
			if interrupted < 3 {
				t.Errorf("rebuilds were interrupted at %d writes, want at least 3", interrupted)
			}
			t.Logf("rebuilds were interrupted at each of %d writes", interrupted)
		})
	}
}
