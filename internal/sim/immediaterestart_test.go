package sim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

// trigger matches an event during a run. matchesCommit is called for every transaction that
// the store applies, matchesSend for all data sent between hosts; either may be nil.
type trigger struct {
	matchesCommit func(controller string, txn wire.Txn) bool
	matchesSend   func(from, to string, data []byte) bool
}

// waitFor waits for an event, for at most a lease, and reports whether it occurred. The
// response to a matching transaction is lost.
func (d *lossRun) waitFor(event trigger) bool {
	signalled := make(chan struct{}, 1)
	signal := func() {
		select {
		case signalled <- struct{}{}:
		default:
		}
	}
	d.store.mu.Lock()
	d.store.onCommit = func(controller string, txn wire.Txn) bool {
		matched := event.matchesCommit != nil && event.matchesCommit(controller, txn)
		if matched {
			signal()
		}
		return matched
	}
	d.store.mu.Unlock()
	d.world.net.mu.Lock()
	d.world.net.onSend = func(from, to string, data []byte) {
		if event.matchesSend != nil && event.matchesSend(from, to, data) {
			signal()
		}
	}
	d.world.net.mu.Unlock()
	reached := false
	select {
	case <-signalled:
		reached = true
	case <-time.After(leaseDuration):
	}
	d.store.mu.Lock()
	d.store.onCommit = nil
	d.store.mu.Unlock()
	d.world.net.mu.Lock()
	d.world.net.onSend = nil
	d.world.net.mu.Unlock()
	return reached
}

// submitExtraJob submits a job that preempts no other.
func (d *lossRun) submitExtraJob() {
	d.world.submit(d.world.ctx, wire.Job{ID: "req-000900", Class: "c", Team: "a", Kind: wire.KindArray, Priority: "standard", TaskCount: 6, CPUs: 1, MemoryGB: 1, Image: "img", AllowSpot: true, ExpectedSeconds: 10}, 0, 0)
}

// putsKey reports whether a transaction puts a key with the given prefix.
func putsKey(txn wire.Txn, prefix string) bool {
	for _, op := range txn.Operations {
		if strings.HasPrefix(op.Put, prefix) {
			return true
		}
	}
	return false
}

// isCapacityOffer reports whether data is a peer message that offers free capacity to the
// owner of a shard.
func isCapacityOffer(from, to string, data []byte) bool {
	return strings.HasPrefix(from, "host-") && strings.HasPrefix(to, "host-") && len(data) > 1 && data[0] == 1 && data[1] == 3
}

// Guards against a process that restarts within a fraction of a second and is disturbed by
// state that its predecessor left: a leader lease that is still valid, connections that peers believe open,
// and messages still in flight. Running tasks continue, all jobs finish, and the store's
// rate limits are kept.
func TestImmediateRestart(t *testing.T) {
	const downtime = 50 * time.Millisecond
	cases := []struct {
		name   string
		inject func(d *lossRun) bool // false: the event did not occur
	}{
		{"leader within its lease", func(d *lossRun) bool { d.crash(d.leader(), downtime); return true }},
		{"leader after 900 ms", func(d *lossRun) bool { d.crash(d.leader(), 900*time.Millisecond); return true }},
		{"leaders during an election", func(d *lossRun) bool {
			// The new leader crashes as soon as it is elected, and the old one restarts.
			n := d.leader()
			d.processes[n].crash()
			reached := d.waitFor(trigger{matchesCommit: func(_ string, t wire.Txn) bool { return putsKey(t, "lead") }})
			d.processes[n] = d.world.boot(n)
			d.crash(d.leader(), downtime)
			return reached
		}},
		{"new leader while it loads", func(d *lossRun) bool {
			d.crash(d.leader(), downtime)
			reached := d.waitFor(trigger{matchesCommit: func(_ string, t wire.Txn) bool { return putsKey(t, "lead") }})
			time.Sleep(10 * time.Millisecond) // the new leader is reading the claims
			d.crash(d.leader(), downtime)
			return reached
		}},
		{"leader between offer and confirmation", func(d *lossRun) bool {
			d.submitExtraJob()
			reached := d.waitFor(trigger{matchesSend: isCapacityOffer})
			d.crash(d.leader(), downtime)
			return reached
		}},
		{"shard owner between offer and confirmation", func(d *lossRun) bool {
			d.submitExtraJob()
			reached := d.waitFor(trigger{matchesSend: isCapacityOffer})
			d.crash((d.leader()+1)%controllerCount, downtime)
			return reached
		}},
		{"leader between a claim and its start command", func(d *lossRun) bool {
			d.submitExtraJob()
			n := d.leader()
			reached := d.waitFor(trigger{matchesCommit: func(controller string, t wire.Txn) bool {
				return controller == fmt.Sprintf("host-%d", n) && putsKey(t, "c/")
			}})
			d.crash(n, downtime)
			return reached
		}},
		{"two of three controllers", func(d *lossRun) bool {
			n := d.leader()
			d.processes[n].crash()
			d.crash((n+1)%controllerCount, downtime)
			d.processes[n] = d.world.boot(n)
			return true
		}},
		{"all three controllers", func(d *lossRun) bool {
			for _, c := range d.processes {
				c.crash()
			}
			time.Sleep(downtime)
			for n := range d.processes {
				d.processes[n] = d.world.boot(n)
			}
			return true
		}},
		{"same controller repeatedly for 20 s", func(d *lossRun) bool {
			n := d.leader()
			for range 66 {
				d.crash(n, downtime)
				time.Sleep(250 * time.Millisecond)
			}
			return true
		}},
		{"current leader repeatedly for 20 s", func(d *lossRun) bool {
			for range 20 {
				d.crash(d.leader(), downtime)
				time.Sleep(950 * time.Millisecond)
			}
			return true
		}},
		{"during a store outage", func(d *lossRun) bool {
			d.store.setOutage(true)
			time.Sleep(2 * time.Second)
			d.crash(d.leader(), downtime)
			d.crash((d.leader()+1)%controllerCount, downtime)
			time.Sleep(12 * time.Second)
			d.store.setOutage(false)
			return true
		}},
		{"shard owner before its failure is detected", func(d *lossRun) bool { d.crash((d.leader()+1)%controllerCount, downtime); return true }},
		{"leader during a rebuild", func(d *lossRun) bool {
			d.loseData(restored, 10*time.Second, "")
			reached := d.waitFor(trigger{matchesCommit: func(_ string, t wire.Txn) bool { return putsKey(t, "history/") }})
			time.Sleep(20 * time.Millisecond)
			d.crash(d.leader(), downtime)
			return reached
		}},
		{"workers disconnected for 900 ms", func(d *lossRun) bool { d.world.cutWorkersOff(d.cloud, 900*time.Millisecond); return true }},
		{"workers disconnected while the leader restarts", func(d *lossRun) bool {
			n := d.leader()
			d.processes[n].crash()
			d.world.cutWorkersOff(d.cloud, 300*time.Millisecond)
			d.processes[n] = d.world.boot(n)
			return true
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range seedCount(1) {
				synctest.Test(t, func(t *testing.T) {
					d, before, end := startLossRun(t, 300+uint64(i)+100*seed, 24, "")
					startedAt := time.Now()
					if !tc.inject(d) {
						t.Error("the event to wait for did not occur")
					}
					surviving := d.countSurviving(before, 30*time.Second)
					requests, writes := d.store.peakRates(startedAt)
					time.Sleep(180 * time.Second)
					end()
					for _, violation := range d.world.violations {
						t.Error(violation)
					}
					for jobID, job := range d.world.jobs {
						if want := map[string]string{wire.KindArray: wire.PhaseDone, wire.KindService: wire.PhaseCancelled}[job.Kind]; d.world.lastPhase[jobID] != want {
							t.Errorf("job %s is %q, want %s", jobID, d.world.lastPhase[jobID], want)
						}
					}
					if surviving != len(before) {
						t.Errorf("%d of %d tasks survived, want all", surviving, len(before))
					}
					// The limits per second in the settings, for all controllers together.
					if requests > 200 || writes > 50 {
						t.Errorf("%d requests and %d writes in one second, want at most 200 and 50", requests, writes)
					}
					t.Logf("%d of %d tasks survived; at most %d requests and %d writes per second", surviving, len(before), requests, writes)
				})
			}
		})
	}
}
