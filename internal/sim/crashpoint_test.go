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
func (d *lossScenario) waitForRebuildWrite(number int) (node int, came bool) {
	type write struct {
		node  string
		whole bool
	}
	seen := make(chan write, 1)
	begun, n := false, 0
	d.store.mu.Lock()
	d.store.onCommit = func(from string, t wire.Txn) bool {
		begun = begun || putsKey(t, "history/id/")
		if !begun || !putsKey(t, "history/") && !putsKey(t, "j/") && !putsKey(t, "c/") && !putsKey(t, "d/") {
			return false
		}
		whole := false
		for _, c := range t.Operations {
			whole = whole || c.Put == "history/phase" && bytes.Contains(c.Value, []byte("whole"))
		}
		n++
		if n == number || whole {
			select {
			case seen <- write{from, n != number}:
			default:
			}
		}
		return n == number
	}
	d.store.mu.Unlock()
	var w write
	select {
	case w = <-seen:
	case <-time.After(2 * leaseDuration):
		w.whole = true
	}
	d.store.mu.Lock()
	d.store.onCommit = nil
	d.store.mu.Unlock()
	if w.whole || !strings.HasPrefix(w.node, "host-") {
		return 0, false
	}
	fmt.Sscanf(w.node, "host-%d", &node)
	return node, true
}

// A rebuild is cut short behind each of its writes in turn, the write carried out and its
// answer lost; whoever wrote is back after 50 ms, or only when the next has taken over.
func TestRebuildInterruptedAtEachWrite(t *testing.T) {
	for _, l := range []struct {
		name string
		how  string
		back time.Duration
	}{{"all keys, back at once", allKeysLost, 50 * time.Millisecond}, {"restored, gone for longer", restoredFromBackup, 8 * time.Second}} {
		t.Run(l.name, func(t *testing.T) {
			last := 0
			for k := 1; ; k++ {
				came := false
				synctest.Test(t, func(t *testing.T) {
					d, before, end := startLossScenario(t, 700, 8, "")
					d.loseData(l.how, 15*time.Second, "")
					var node int
					if node, came = d.waitForRebuildWrite(k); came {
						d.crash(node, l.back)
					}
					surviving := d.countSurviving(before, 40*time.Second)
					time.Sleep(175 * time.Second)
					end()
					for _, b := range d.w.violations {
						t.Errorf("write %d: %s", k, b)
					}
					for jobID, j := range d.w.jobs {
						if want := map[string]string{wire.KindArray: wire.PhaseDone, wire.KindService: wire.PhaseCancelled}[j.Kind]; d.w.lastPhase[jobID] != want {
							t.Errorf("write %d: %s is %q, want %s", k, jobID, d.w.lastPhase[jobID], want)
						}
					}
					if float64(surviving) < 0.9*float64(len(before)) {
						t.Errorf("write %d: %d of %d tasks run on, or are done", k, surviving, len(before))
					}
				})
				if !came {
					break
				}
				last = k
			}
			if last < 3 {
				t.Errorf("only %d writes were cut short", last)
			}
			t.Logf("%d writes, each the last of its leader once", last)
		})
	}
}
