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

// atWrite waits for a write of a rebuild, by its number, and gives the node that made it;
// its answer is lost. It tells false if the history was whole again before.
func (d *lossScenario) waitForRebuildWrite(number int) (controller int, found bool) {
	type write struct {
		controller  string
		complete bool
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

// A rebuild is cut short behind each of its writes in turn, the write carried out and its
// answer lost; whoever wrote is back after 50 ms, or only when the next has taken over.
func TestRebuildInterruptedAtEachWrite(t *testing.T) {
	for _, tc := range []struct {
		name string
		lossKind  string
		downtime time.Duration
	}{{"all keys, back at once", allKeysLost, 50 * time.Millisecond}, {"restored, gone for longer", restoredFromBackup, 8 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			interrupted := 0
			for number := 1; ; number++ {
				found := false
				synctest.Test(t, func(t *testing.T) {
					d, before, end := startLossScenario(t, 700, 8, "")
					d.loseData(tc.lossKind, 15*time.Second, "")
					var controller int
					if controller, found = d.waitForRebuildWrite(number); found {
						d.crash(controller, tc.downtime)
					}
					surviving := d.countSurviving(before, 40*time.Second)
					time.Sleep(175 * time.Second)
					end()
					for _, b := range d.w.violations {
						t.Errorf("write %d: %s", number, b)
					}
					for jobID, job := range d.w.jobs {
						if want := map[string]string{wire.KindArray: wire.PhaseDone, wire.KindService: wire.PhaseCancelled}[job.Kind]; d.w.lastPhase[jobID] != want {
							t.Errorf("write %d: %s is %q, want %s", number, jobID, d.w.lastPhase[jobID], want)
						}
					}
					if float64(surviving) < 0.9*float64(len(before)) {
						t.Errorf("write %d: %d of %d tasks run on, or are done", number, surviving, len(before))
					}
				})
				if !found {
					break
				}
				interrupted = number
			}
			if interrupted < 3 {
				t.Errorf("only %d writes were cut short", interrupted)
			}
			t.Logf("%d writes, each the last of its leader once", interrupted)
		})
	}
}
