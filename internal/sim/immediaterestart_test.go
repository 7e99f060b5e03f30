package sim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

// moment waits until something is seen, or for long enough that it will not be; seen is
// called for every commit that is carried out and for whatever is sent between hosts.
type trigger struct {
	matchesCommit func(node string, t wire.Txn) bool
	matchesSend   func(from, to string, b []byte) bool
}

// until waits for a moment, and tells whether it came. The answer to such a commit is lost.
func (d *lossScenario) waitFor(when trigger) bool {
	signalled := make(chan struct{}, 1)
	signal := func() {
		select {
		case signalled <- struct{}{}:
		default:
		}
	}
	d.store.mu.Lock()
	d.store.onCommit = func(controller string, txn wire.Txn) bool {
		matched := when.matchesCommit != nil && when.matchesCommit(controller, txn)
		if matched {
			signal()
		}
		return matched
	}
	d.store.mu.Unlock()
	d.w.net.mu.Lock()
	d.w.net.onSend = func(from, to string, data []byte) {
		if when.matchesSend != nil && when.matchesSend(from, to, data) {
			signal()
		}
	}
	d.w.net.mu.Unlock()
	reached := false
	select {
	case <-signalled:
		reached = true
	case <-time.After(leaseDuration):
	}
	d.store.mu.Lock()
	d.store.onCommit = nil
	d.store.mu.Unlock()
	d.w.net.mu.Lock()
	d.w.net.onSend = nil
	d.w.net.mu.Unlock()
	return reached
}

// more has a job come now, that no other gives way to.
func (d *lossScenario) submitExtraJob() {
	d.w.submit(d.w.ctx, wire.Job{ID: "req-000900", Class: "c", Team: "a", Kind: wire.KindArray, Priority: "standard", TaskCount: 6, CPUs: 1, MemoryGB: 1, Image: "img", AllowSpot: true, ExpectedSeconds: 10}, 0, 0)
}

// puts tells whether a commit puts a key that begins so.
func putsKey(txn wire.Txn, prefix string) bool {
	for _, op := range txn.Operations {
		if strings.HasPrefix(op.Put, prefix) {
			return true
		}
	}
	return false
}

// offerFrame tells whether what is sent is an offer of free capacity to a part's owner.
func isCapacityOffer(from, to string, data []byte) bool {
	return strings.HasPrefix(from, "host-") && strings.HasPrefix(to, "host-") && len(data) > 1 && data[0] == 1 && data[1] == 3
}

// Whoever is back within a fraction of a second meets its own past: the lease that it
// led by, links that its peers take to stand, what it sent in its last moment. No rule
// breaks, what runs runs on, everything comes to its end, and nobody storms the state
// service.
func TestImmediateRestart(t *testing.T) {
	const downtime = 50 * time.Millisecond
	cases := []struct {
		name   string
		inject func(d *lossScenario) bool // false: the moment never came
	}{
		{"the leader, within its grant", func(d *lossScenario) bool { d.crash(d.leader(), downtime); return true }},
		{"the leader, 900 ms", func(d *lossScenario) bool { d.crash(d.leader(), 900*time.Millisecond); return true }},
		{"in an election", func(d *lossScenario) bool {
			// As soon as another takes the lead, it ends too, and the first is back.
			n := d.leader()
			d.processes[n].crash()
			reached := d.waitFor(trigger{matchesCommit: func(_ string, t wire.Txn) bool { return putsKey(t, "lead") }})
			d.processes[n] = d.w.boot(n)
			d.crash(d.leader(), downtime)
			return reached
		}},
		{"in a takeover", func(d *lossScenario) bool {
			d.crash(d.leader(), downtime)
			reached := d.waitFor(trigger{matchesCommit: func(_ string, t wire.Txn) bool { return putsKey(t, "lead") }})
			time.Sleep(10 * time.Millisecond) // the claims are being read
			d.crash(d.leader(), downtime)
			return reached
		}},
		{"between offer and confirm", func(d *lossScenario) bool {
			d.submitExtraJob()
			reached := d.waitFor(trigger{matchesSend: isCapacityOffer})
			d.crash(d.leader(), downtime)
			return reached
		}},
		{"the owner, between offer and confirm", func(d *lossScenario) bool {
			d.submitExtraJob()
			reached := d.waitFor(trigger{matchesSend: isCapacityOffer})
			d.crash((d.leader()+1)%controllerCount, downtime)
			return reached
		}},
		{"between a claim and its launch", func(d *lossScenario) bool {
			d.submitExtraJob()
			n := d.leader()
			reached := d.waitFor(trigger{matchesCommit: func(controller string, t wire.Txn) bool {
				return controller == fmt.Sprintf("host-%d", n) && putsKey(t, "c/")
			}})
			d.crash(n, downtime)
			return reached
		}},
		{"two of three", func(d *lossScenario) bool {
			n := d.leader()
			d.processes[n].crash()
			d.crash((n+1)%controllerCount, downtime)
			d.processes[n] = d.w.boot(n)
			return true
		}},
		{"all three", func(d *lossScenario) bool {
			for _, c := range d.processes {
				c.crash()
			}
			time.Sleep(downtime)
			for n := range d.processes {
				d.processes[n] = d.w.boot(n)
			}
			return true
		}},
		{"the leader again and again for 20 s", func(d *lossScenario) bool {
			n := d.leader()
			for range 66 {
				d.crash(n, downtime)
				time.Sleep(250 * time.Millisecond)
			}
			return true
		}},
		{"whoever leads, again and again for 20 s", func(d *lossScenario) bool {
			for range 20 {
				d.crash(d.leader(), downtime)
				time.Sleep(950 * time.Millisecond)
			}
			return true
		}},
		{"while the state service is out", func(d *lossScenario) bool {
			d.store.setOutage(true)
			time.Sleep(2 * time.Second)
			d.crash(d.leader(), downtime)
			d.crash((d.leader()+1)%controllerCount, downtime)
			time.Sleep(12 * time.Second)
			d.store.setOutage(false)
			return true
		}},
		{"an owner, before it is missed", func(d *lossScenario) bool { d.crash((d.leader()+1)%controllerCount, downtime); return true }},
		{"in a rebuild", func(d *lossScenario) bool {
			d.loseData(restoredFromBackup, 10*time.Second, "")
			reached := d.waitFor(trigger{matchesCommit: func(_ string, t wire.Txn) bool { return putsKey(t, "history/") }})
			time.Sleep(20 * time.Millisecond)
			d.crash(d.leader(), downtime)
			return reached
		}},
		{"machines, for 900 ms", func(d *lossScenario) bool { d.w.cutWorkersOff(d.cloud, 900*time.Millisecond); return true }},
		{"machines and the leader", func(d *lossScenario) bool {
			n := d.leader()
			d.processes[n].crash()
			d.w.cutWorkersOff(d.cloud, 300*time.Millisecond)
			d.processes[n] = d.w.boot(n)
			return true
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range seedCount(1) {
				synctest.Test(t, func(t *testing.T) {
					d, before, end := startLossScenario(t, 300+uint64(i)+100*seed, 24, "")
					startedAt := time.Now()
					if !tc.inject(d) {
						t.Error("the moment never came")
					}
					surviving := d.countSurviving(before, 30*time.Second)
					requests, writes := d.store.peakRates(startedAt)
					time.Sleep(180 * time.Second)
					end()
					for _, violation := range d.w.violations {
						t.Error(violation)
					}
					for jobID, job := range d.w.jobs {
						if want := map[string]string{wire.KindArray: wire.PhaseDone, wire.KindService: wire.PhaseCancelled}[job.Kind]; d.w.lastPhase[jobID] != want {
							t.Errorf("%s is %q, want %s", jobID, d.w.lastPhase[jobID], want)
						}
					}
					if surviving != len(before) {
						t.Errorf("%d of %d tasks run on, or are done", surviving, len(before))
					}
					// Per second, of all controllers: the limits that they were told.
					if requests > 200 || writes > 50 {
						t.Errorf("%d requests and %d changes in a second", requests, writes)
					}
					t.Logf("%d of %d tasks run on or are done; at most %d requests and %d changes a second", surviving, len(before), requests, writes)
				})
			}
		})
	}
}
