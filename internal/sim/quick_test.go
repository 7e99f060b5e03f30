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
	onCommit func(node string, t wire.Txn) bool
	onSend   func(from, to string, b []byte) bool
}

// until waits for a moment, and tells whether it came. The answer to such a commit is lost.
func (d *lossScenario) waitFor(m trigger) bool {
	seen := make(chan struct{}, 1)
	note := func() {
		select {
		case seen <- struct{}{}:
		default:
		}
	}
	d.store.mu.Lock()
	d.store.onCommit = func(node string, t wire.Txn) bool {
		hit := m.onCommit != nil && m.onCommit(node, t)
		if hit {
			note()
		}
		return hit
	}
	d.store.mu.Unlock()
	d.w.net.mu.Lock()
	d.w.net.onSend = func(from, to string, b []byte) {
		if m.onSend != nil && m.onSend(from, to, b) {
			note()
		}
	}
	d.w.net.mu.Unlock()
	came := false
	select {
	case <-seen:
		came = true
	case <-time.After(leaseDuration):
	}
	d.store.mu.Lock()
	d.store.onCommit = nil
	d.store.mu.Unlock()
	d.w.net.mu.Lock()
	d.w.net.onSend = nil
	d.w.net.mu.Unlock()
	return came
}

// more has a job come now, that no other gives way to.
func (d *lossScenario) submitExtraJob() {
	d.w.submit(d.w.ctx, wire.Job{ID: "req-000900", Class: "c", Team: "a", Kind: wire.KindArray, Priority: "standard", TaskCount: 6, CPUs: 1, MemoryGB: 1, Image: "img", AllowSpot: true, ExpectedSeconds: 10}, 0, 0)
}

// puts tells whether a commit puts a key that begins so.
func putsKey(t wire.Txn, prefix string) bool {
	for _, c := range t.Operations {
		if strings.HasPrefix(c.Put, prefix) {
			return true
		}
	}
	return false
}

// offerFrame tells whether what is sent is an offer of free capacity to a part's owner.
func isCapacityOffer(from, to string, b []byte) bool {
	return strings.HasPrefix(from, "host-") && strings.HasPrefix(to, "host-") && len(b) > 1 && b[0] == 1 && b[1] == 3
}

// Whoever is back within a fraction of a second meets its own past: the lease that it
// led by, links that its peers take to stand, what it sent in its last moment. No rule
// breaks, what runs runs on, everything comes to its end, and nobody storms the state
// service.
func TestImmediateRestart(t *testing.T) {
	const back = 50 * time.Millisecond
	cases := []struct {
		name string
		at   func(d *lossScenario) bool // false: the moment never came
	}{
		{"the leader, within its grant", func(d *lossScenario) bool { d.crash(d.leader(), back); return true }},
		{"the leader, 900 ms", func(d *lossScenario) bool { d.crash(d.leader(), 900*time.Millisecond); return true }},
		{"in an election", func(d *lossScenario) bool {
			// As soon as another takes the lead, it ends too, and the first is back.
			n := d.leader()
			d.processes[n].crash()
			came := d.waitFor(trigger{onCommit: func(_ string, t wire.Txn) bool { return putsKey(t, "lead") }})
			d.processes[n] = d.w.boot(n)
			d.crash(d.leader(), back)
			return came
		}},
		{"in a takeover", func(d *lossScenario) bool {
			d.crash(d.leader(), back)
			came := d.waitFor(trigger{onCommit: func(_ string, t wire.Txn) bool { return putsKey(t, "lead") }})
			time.Sleep(10 * time.Millisecond) // the claims are being read
			d.crash(d.leader(), back)
			return came
		}},
		{"between offer and confirm", func(d *lossScenario) bool {
			d.submitExtraJob()
			came := d.waitFor(trigger{onSend: isCapacityOffer})
			d.crash(d.leader(), back)
			return came
		}},
		{"the owner, between offer and confirm", func(d *lossScenario) bool {
			d.submitExtraJob()
			came := d.waitFor(trigger{onSend: isCapacityOffer})
			d.crash((d.leader()+1)%controllerCount, back)
			return came
		}},
		{"between a claim and its launch", func(d *lossScenario) bool {
			d.submitExtraJob()
			n := d.leader()
			came := d.waitFor(trigger{onCommit: func(node string, t wire.Txn) bool { return node == fmt.Sprintf("host-%d", n) && putsKey(t, "c/") }})
			d.crash(n, back)
			return came
		}},
		{"two of three", func(d *lossScenario) bool {
			n := d.leader()
			d.processes[n].crash()
			d.crash((n+1)%controllerCount, back)
			d.processes[n] = d.w.boot(n)
			return true
		}},
		{"all three", func(d *lossScenario) bool {
			for _, c := range d.processes {
				c.crash()
			}
			time.Sleep(back)
			for n := range d.processes {
				d.processes[n] = d.w.boot(n)
			}
			return true
		}},
		{"the leader again and again for 20 s", func(d *lossScenario) bool {
			n := d.leader()
			for range 66 {
				d.crash(n, back)
				time.Sleep(250 * time.Millisecond)
			}
			return true
		}},
		{"whoever leads, again and again for 20 s", func(d *lossScenario) bool {
			for range 20 {
				d.crash(d.leader(), back)
				time.Sleep(950 * time.Millisecond)
			}
			return true
		}},
		{"while the state service is out", func(d *lossScenario) bool {
			d.store.setOutage(true)
			time.Sleep(2 * time.Second)
			d.crash(d.leader(), back)
			d.crash((d.leader()+1)%controllerCount, back)
			time.Sleep(12 * time.Second)
			d.store.setOutage(false)
			return true
		}},
		{"an owner, before it is missed", func(d *lossScenario) bool { d.crash((d.leader()+1)%controllerCount, back); return true }},
		{"in a rebuild", func(d *lossScenario) bool {
			d.loseData(restoredFromBackup, 10*time.Second, "")
			came := d.waitFor(trigger{onCommit: func(_ string, t wire.Txn) bool { return putsKey(t, "history/") }})
			time.Sleep(20 * time.Millisecond)
			d.crash(d.leader(), back)
			return came
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
					at := time.Now()
					if !tc.at(d) {
						t.Error("the moment never came")
					}
					surviving := d.countSurviving(before, 30*time.Second)
					asked, wrote := d.store.peakRates(at)
					time.Sleep(180 * time.Second)
					end()
					for _, b := range d.w.violations {
						t.Error(b)
					}
					for jobID, j := range d.w.jobs {
						if want := map[string]string{wire.KindArray: wire.PhaseDone, wire.KindService: wire.PhaseCancelled}[j.Kind]; d.w.lastPhase[jobID] != want {
							t.Errorf("%s is %q, want %s", jobID, d.w.lastPhase[jobID], want)
						}
					}
					if surviving != len(before) {
						t.Errorf("%d of %d tasks run on, or are done", surviving, len(before))
					}
					// Per second, of all controllers: the limits that they were told.
					if asked > 200 || wrote > 50 {
						t.Errorf("%d requests and %d changes in a second", asked, wrote)
					}
					t.Logf("%d of %d tasks run on or are done; at most %d requests and %d changes a second", surviving, len(before), asked, wrote)
				})
			}
		})
	}
}
