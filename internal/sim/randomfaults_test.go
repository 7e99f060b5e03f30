package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

// fault is one of those that meet. It lasts for about as long as it is told.
type randomFault struct {
	name   string
	inject func(m *scenario, controller int, duration time.Duration)
}

// fate keeps two faults from ending or starting one process at once.
type processLocks [9]sync.Mutex

var randomFaults = []randomFault{
	{"outage", func(m *scenario, controller int, duration time.Duration) {
		m.store.setOutage(true)
		time.Sleep(duration)
		m.store.setOutage(false)
	}},
	{"refused alone", func(m *scenario, controller int, duration time.Duration) {
		m.store.refuseController(controllerName(controller), true)
		time.Sleep(duration)
		m.store.refuseController(controllerName(controller), false)
	}},
	{"over and back", func(m *scenario, controller int, duration time.Duration) {
		for deadline := time.Now().Add(duration); time.Now().Before(deadline); {
			leader := m.leaderIndex()
			m.store.refuseController(controllerName(leader), true)
			time.Sleep(time.Duration(500+m.w.intN(9000)) * time.Millisecond)
			m.store.refuseController(controllerName(leader), false)
			time.Sleep(time.Duration(m.w.intN(3000)) * time.Millisecond)
		}
	}},
	{"slow state", func(m *scenario, controller int, duration time.Duration) {
		m.store.respondSlowly(time.Duration(200+m.w.intN(1000)) * time.Millisecond)
		time.Sleep(duration)
		m.store.respondSlowly(0)
	}},
	{"late writes", func(m *scenario, controller int, duration time.Duration) {
		m.store.delayTransactions(0.3)
		time.Sleep(duration)
		m.store.delayTransactions(0)
	}},
	{"late reports", func(m *scenario, controller int, duration time.Duration) {
		m.w.duplicateHeartbeats(0.5)
		time.Sleep(duration)
		m.w.duplicateHeartbeats(0)
	}},
	{"deaf machines", func(m *scenario, controller int, duration time.Duration) {
		m.injectWorkerFault(m.randomWorkers(0.5), duration, dropAnswers)
	}},
	{"mute machines", func(m *scenario, controller int, duration time.Duration) {
		m.injectWorkerFault(m.randomWorkers(0.5), duration, dropHeartbeats)
	}},
	{"many withdrawn at once, and machines hang", func(m *scenario, controller int, duration time.Duration) {
		m.w.mu.Lock()
		var jobIDs []string
		for t := range m.w.hostOf {
			if !slices.Contains(jobIDs, t.JobID) && len(jobIDs) < 4 {
				jobIDs = append(jobIDs, t.JobID)
			}
		}
		m.w.mu.Unlock()
		concurrently(
			func() {
				m.injectWorkerFault(m.randomWorkers(0.3), min(duration, 2*leaseDuration), pauseWorker)
			},
			func() { m.cancelRepeatedly(controller, 4*cancelTimeout, jobIDs...) },
		)
	}},
	{"odd requests", func(m *scenario, controller int, duration time.Duration) { m.w.sendInvalidRequests(m.ctx, duration) }},
	{"slow links", func(m *scenario, controller int, duration time.Duration) {
		workers := append(m.otherControllers(controller), controllerName(controller))
		m.w.net.setDelay(time.Duration(50+m.w.intN(600))*time.Millisecond, workers...)
		time.Sleep(duration)
		m.w.net.setDelay(0, workers...)
	}},
	{"reports held back", func(m *scenario, controller int, duration time.Duration) {
		workers := m.randomWorkers(0.4)
		m.injectWorkerFault(workers, 7*time.Second, holdNextHeartbeat)
		time.Sleep(duration)
		m.deliverHeldHeartbeats(workers)
	}},
	{"machines die", func(m *scenario, controller int, duration time.Duration) {
		for _, worker := range m.randomWorkers(0.2) {
			m.cloud.killInstance(worker)
		}
	}},
	{"all away", func(m *scenario, controller int, duration time.Duration) {
		var wg sync.WaitGroup
		for controller := range m.w.clusterSize {
			wg.Go(func() { m.crashController(controller, leaseDuration+duration) })
		}
		wg.Wait()
	}},
	{"machines hang", func(m *scenario, controller int, duration time.Duration) {
		m.injectWorkerFault(m.randomWorkers(0.5), duration, pauseWorker)
	}},
	{"cut from the state service", func(m *scenario, controller int, duration time.Duration) {
		m.partition([]string{controllerName(controller)}, []string{"state"}, duration)
	}},
	{"cut from peers", func(m *scenario, controller int, duration time.Duration) {
		m.partition([]string{controllerName(controller)}, m.otherControllers(controller), duration)
	}},
	{"cut from both", func(m *scenario, controller int, duration time.Duration) {
		m.partition([]string{controllerName(controller)}, append(m.otherControllers(controller), "state"), duration)
	}},
	{"cut from machines", func(m *scenario, controller int, duration time.Duration) {
		m.partition([]string{controllerName(controller)}, m.randomWorkers(0.7), duration)
	}},
	{"machines out of reach", func(m *scenario, controller int, duration time.Duration) {
		m.partition(m.randomWorkers(0.5), append(m.otherControllers(controller), controllerName(controller)), duration)
	}},
	{"zone cut", func(m *scenario, controller int, duration time.Duration) {
		m.w.partitionZone(m.cloud, zoneOf(controller), true)
		time.Sleep(duration)
		m.w.partitionZone(m.cloud, zoneOf(controller), false)
	}},
	{"crash", func(m *scenario, controller int, duration time.Duration) {
		m.crashController(controller, m.w.randomDowntime())
	}},
	{"all crash", func(m *scenario, controller int, duration time.Duration) {
		var wg sync.WaitGroup
		for controller := range m.w.clusterSize {
			wg.Go(func() { m.crashController(controller, m.w.randomDowntime()) })
		}
		wg.Wait()
	}},
	{"again and again", func(m *scenario, controller int, duration time.Duration) {
		for range 5 {
			m.crashController(controller, 20*time.Millisecond)
			time.Sleep(time.Duration(50+m.w.intN(900)) * time.Millisecond)
		}
	}},
}

// Days on which every two faults meet: one begins within the other, by lot, with users
// who withdraw all the while.
func TestOverlappingRandomFaults(t *testing.T) {
	for seed := range seedCount(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 11))
			// Three controllers, or up to seven on every other day.
			clusterSize := controllerCount + int(seed%2)*(1+int(seed/2)%4)
			checkFaults(t, seed, clusterSize, 24, func(m *scenario) {
				for range 4 {
					var wg sync.WaitGroup
					for range 2 + rnd.IntN(2) {
						fault, controller := randomFaults[rnd.IntN(len(randomFaults))], rnd.IntN(m.w.clusterSize)
						delay, duration := time.Duration(rnd.IntN(8000))*time.Millisecond, time.Duration(2000+rnd.IntN(1<<uint(12+rnd.IntN(5))))*time.Millisecond
						if leader := m.store.leaderIndex(); rnd.IntN(3) > 0 && leader >= 0 {
							controller = leader
						}
						m.faultLog = append(m.faultLog, fmt.Sprintf("%v: %s, host-%d, for %v", time.Since(m.startedAt)+delay, fault.name, controller, duration))
						wg.Go(func() { time.Sleep(delay); fault.inject(m, controller, duration) })
					}
					wg.Wait()
					time.Sleep(time.Duration(rnd.IntN(10)) * time.Second)
				}
			})
		})
	}
}

// checkFaults plays a day of faults with jobs of long tasks coming all the while and every
// second of them cancelled, until everybody has had an answer.
func checkFaults(t *testing.T, seed uint64, clusterSize, jobCount int, faults func(m *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 12))
		ctx, w, store, cloud, controllers, deadline := startWorldOfSize(t, seed, clusterSize, 60, 6, "")
		m := newScenario(t, ctx, w, store, cloud, controllers)
		w.durationSpread = 0.8
		w.wg.Go(func() { w.requestUnknownJobs(ctx) })
		for i := range jobCount {
			job := wire.Job{ID: testJobID(i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard", TaskCount: 2 + rnd.IntN(2), CPUs: 1, MemoryGB: 1, Image: "img", AllowSpot: i%3 == 0, ExpectedSeconds: float64(5 + rnd.IntN(60))}
			cancelAfter := time.Duration(0)
			if i%4 == 3 {
				job.Kind, job.Priority, job.SpreadZones, job.ExpectedSeconds = wire.KindService, "production", true, 0
			}
			if i%2 == 1 {
				cancelAfter = time.Duration(20+rnd.IntN(120)) * time.Second
			}
			w.submit(ctx, job, time.Duration(rnd.IntN(120))*time.Second, cancelAfter)
		}
		time.Sleep(20 * time.Second)
		faults(m)
		w.faultsEnded(cloud)
		time.Sleep(max(240*time.Second, 480*time.Second-time.Since(m.startedAt))) // the longest task takes 170 s, from a start of its own
		w.checkCancelledTasksGone()
		deadline()
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, violation := range w.violations {
			t.Error(violation)
		}
		if len(w.lateStarts) > 0 {
			t.Logf("%d starts after a withdrawal was told, the latest %v after", len(w.lateStarts), slices.Max(w.lateStarts))
		}
		for jobID, job := range w.jobs {
			if got := w.lastPhase[jobID]; got != wire.PhaseDone && got != wire.PhaseCancelled && (job.Kind == wire.KindArray || w.cancelRequested[jobID]) {
				t.Errorf("%s is %q at the end", jobID, got)
			}
		}
		if t.Failed() {
			t.Log(strings.Join(m.faultLog, "\n"))
		}
	})
}
