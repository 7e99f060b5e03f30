package sim

import (
	"fmt"
	"testing"
	"time"
)

// reboot ends all tasks of a worker, which is back in its next incarnation after downtime. It keeps its
// sequence number, its epoch and its images; the lease of the new incarnation runs from its beginning.
func (k *fakeWorker) reboot(downtime time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped || k.world.stopped() {
		return
	}
	k.world.net.resetConnections(k.instance.Name)
	k.endAllTasks()
	k.incarnation++
	k.reboots++
	k.leaseRenewedAt = time.Now().Add(downtime)
	time.AfterFunc(downtime, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.reboots--
		k.requestHeartbeat()
	})
}

// rebootWorkers reboots workers, each within a second, and returns when they are back.
func (w *world) rebootWorkers(names []string) {
	for _, worker := range w.workersNamed(names) {
		worker.reboot(time.Duration(50+w.intN(900)) * time.Millisecond)
	}
	time.Sleep(time.Second)
}

// rebootUnheard reboots workers shortly after their heartbeats have ceased to reach any controller. Direct
// commands reach them.
func (w *world) rebootUnheard(names []string, unheardFor time.Duration) {
	concurrently(
		func() { w.injectWorkerFault(names, unheardFor, dropHeartbeats) },
		func() {
			time.Sleep(time.Duration(w.intN(int(2 * heartbeatInterval))))
			w.rebootWorkers(names)
		},
	)
}

// rebootNowAndThen reboots some of the workers every few seconds until ended is closed. For half of these
// heartbeats are lost, and the cloud API fails, for more or less than a lease.
func (d *randomScenario) rebootNowAndThen(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(10*time.Second + time.Duration(d.world.intN(int(20*time.Second)))):
		}
		names := d.cloud.randomWorkers(0.3)
		if d.world.intN(2) == 0 {
			d.world.rebootWorkers(names)
		} else {
			duration := time.Duration(d.world.intN(int(3 * leaseDuration / 2)))
			concurrently(
				func() { d.cloud.refuseRequests(duration) },
				func() { d.world.rebootUnheard(names, duration) },
			)
		}
	}
}

// Guards against claims freed by the lease of an earlier incarnation than the one that runs their tasks.
func TestTasksOfRebootedWorkersRunOnce(t *testing.T) {
	heartbeatsLost := func(during func(m *scenario, workers []string)) func(m *scenario, workers []string) {
		return func(m *scenario, workers []string) {
			concurrently(
				func() { m.cloud.refuseRequests(2 * leaseDuration) }, // silent workers cannot be released
				func() { m.world.injectWorkerFault(workers, 2*leaseDuration, dropHeartbeats) },
				func() { time.Sleep(time.Duration(m.world.intN(4000)) * time.Millisecond); during(m, workers) },
			)
		}
	}
	reboot := func(m *scenario, workers []string) { m.world.rebootWorkers(workers) }
	type rebootTest struct {
		name        string
		faults      func(m *scenario, workers []string)
		controllers int // 0: three
	}
	for _, tc := range []rebootTest{
		{name: "alone", faults: reboot},
		{name: "twice", faults: func(m *scenario, workers []string) { reboot(m, workers); reboot(m, workers) }},
		{name: "heartbeats lost", faults: heartbeatsLost(reboot)},
		{name: "heartbeats lost, one controller, which alone may answer all workers", faults: heartbeatsLost(reboot), controllers: 1},
		{name: "heartbeats lost, twice", faults: heartbeatsLost(func(m *scenario, workers []string) {
			reboot(m, workers)
			time.Sleep(4 * time.Second)
			reboot(m, workers)
		})},
		{name: "heartbeats lost, leader crashes", faults: heartbeatsLost(func(m *scenario, workers []string) {
			reboot(m, workers)
			m.crashController(m.leaderIndex(), 5*time.Second)
		})},
		{name: "heartbeats lost, store refuses the leader", faults: heartbeatsLost(func(m *scenario, workers []string) {
			reboot(m, workers)
			leader := controllerName(m.leaderIndex())
			m.store.refuseController(leader, true)
			time.Sleep(20 * time.Second)
			m.store.refuseController(leader, false)
		})},
		{name: "responses lost", faults: func(m *scenario, workers []string) {
			concurrently(
				func() { m.injectWorkerFault(workers, leaseDuration/2, dropResponses) },
				func() { time.Sleep(2 * time.Second); reboot(m, workers) },
			)
		}},
		{name: "heartbeats of the earlier incarnation arrive late", faults: func(m *scenario, workers []string) {
			m.injectWorkerFault(workers, heartbeatInterval, holdNextHeartbeat)
			reboot(m, workers)
			time.Sleep(2 * time.Second)
			m.deliverHeldHeartbeats(workers)
		}},
		{name: "workers hang first", faults: func(m *scenario, workers []string) {
			m.injectWorkerFault(workers, leaseDuration/2, pauseWorker)
			reboot(m, workers)
		}},
	} {
		for seed := range seedCount(2) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				jobs := arrays(16, 3, 100*time.Second, nil)
				faultPlan{seed: 500 + 10*seed, clusterSize: tc.controllers, teamCPULimit: 40, jobs: jobs, recovery: 420 * time.Second, faults: func(m *scenario) {
					m.world.repeatCommands(0.5)
					m.world.duplicateHeartbeats(0.5)
					for range 2 {
						tc.faults(m, m.randomWorkers(0.5))
						time.Sleep(6 * time.Second)
					}
					m.world.repeatCommands(0)
					m.world.duplicateHeartbeats(0)
				}}.runOnce(t)
			})
		}
	}
}
