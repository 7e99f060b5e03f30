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

// randomFault is a kind of fault that may overlap with others. inject takes about the given
// duration.
type randomFault struct {
	name   string
	inject func(m *scenario, controller int, duration time.Duration)
}

// processLocks keep two faults from crashing or starting the same process at once, by the
// controller's index.
type processLocks [9]sync.Mutex

var randomFaults = []randomFault{
	{"store outage", func(m *scenario, controller int, duration time.Duration) {
		m.store.setOutage(true)
		time.Sleep(duration)
		m.store.setOutage(false)
	}},
	{"store refuses a controller", func(m *scenario, controller int, duration time.Duration) {
		m.store.refuseController(controllerName(controller), true)
		time.Sleep(duration)
		m.store.refuseController(controllerName(controller), false)
	}},
	{"store refuses the current leader repeatedly", func(m *scenario, controller int, duration time.Duration) {
		for deadline := time.Now().Add(duration); time.Now().Before(deadline); {
			leader := m.leaderIndex()
			m.store.refuseController(controllerName(leader), true)
			time.Sleep(time.Duration(500+m.world.intN(9000)) * time.Millisecond)
			m.store.refuseController(controllerName(leader), false)
			time.Sleep(time.Duration(m.world.intN(3000)) * time.Millisecond)
		}
	}},
	{"slow store", func(m *scenario, controller int, duration time.Duration) {
		m.store.respondSlowly(time.Duration(200+m.world.intN(1000)) * time.Millisecond)
		time.Sleep(duration)
		m.store.respondSlowly(0)
	}},
	{"late transactions", func(m *scenario, controller int, duration time.Duration) {
		m.store.delayTransactions(0.3)
		time.Sleep(duration)
		m.store.delayTransactions(0)
	}},
	{"duplicated heartbeats", func(m *scenario, controller int, duration time.Duration) {
		m.world.duplicateHeartbeats(0.5)
		time.Sleep(duration)
		m.world.duplicateHeartbeats(0)
	}},
	{"late copies of commands", func(m *scenario, controller int, duration time.Duration) {
		m.world.repeatCommands(float64(1+m.world.intN(4)) / 4)
		time.Sleep(duration)
		m.world.repeatCommands(0) // copies made so far arrive up to two minutes later
	}},
	{"workers restart within a second", func(m *scenario, controller int, duration time.Duration) {
		m.restartWorkers(m.randomWorkers(0.5), time.Duration(50+m.world.intN(900))*time.Millisecond)
	}},
	{"cloud outage", func(m *scenario, controller int, duration time.Duration) { m.cloud.refuseRequests(duration) }},
	{"workers reboot", func(m *scenario, controller int, duration time.Duration) {
		m.world.rebootWorkers(m.randomWorkers(0.5))
	}},
	{"workers reboot, heartbeats lost", func(m *scenario, controller int, duration time.Duration) {
		m.world.rebootUnheard(m.randomWorkers(0.5), duration)
	}},
	{"responses to workers lost", func(m *scenario, controller int, duration time.Duration) {
		m.injectWorkerFault(m.randomWorkers(0.5), duration, dropResponses)
	}},
	{"heartbeats lost", func(m *scenario, controller int, duration time.Duration) {
		m.injectWorkerFault(m.randomWorkers(0.5), duration, dropHeartbeats)
	}},
	{"jobs cancelled while workers hang", func(m *scenario, controller int, duration time.Duration) {
		m.world.mu.Lock()
		var jobIDs []string
		for t := range m.world.workerOf {
			if !slices.Contains(jobIDs, t.JobID) && len(jobIDs) < 4 {
				jobIDs = append(jobIDs, t.JobID)
			}
		}
		m.world.mu.Unlock()
		concurrently(
			func() {
				m.injectWorkerFault(m.randomWorkers(0.3), min(duration, 2*leaseDuration), pauseWorker)
			},
			func() { m.cancelRepeatedly(controller, 4*cancelTimeout, jobIDs...) },
		)
	}},
	{"invalid requests", func(m *scenario, controller int, duration time.Duration) {
		m.world.sendInvalidRequests(m.ctx, duration)
	}},
	{"slow links", func(m *scenario, controller int, duration time.Duration) {
		hosts := append(m.otherControllers(controller), controllerName(controller))
		m.world.net.setDelay(time.Duration(50+m.world.intN(600))*time.Millisecond, hosts...)
		time.Sleep(duration)
		m.world.net.setDelay(0, hosts...)
	}},
	{"delayed heartbeats", func(m *scenario, controller int, duration time.Duration) {
		workers := m.randomWorkers(0.4)
		m.injectWorkerFault(workers, 7*time.Second, holdNextHeartbeat)
		time.Sleep(duration)
		m.deliverHeldHeartbeats(workers)
	}},
	{"workers fail", func(m *scenario, controller int, duration time.Duration) {
		for _, worker := range m.randomWorkers(0.2) {
			m.cloud.killInstance(worker)
		}
	}},
	{"all controllers down past a lease", func(m *scenario, controller int, duration time.Duration) {
		var wg sync.WaitGroup
		for controller := range m.world.clusterSize {
			wg.Go(func() { m.crashController(controller, leaseDuration+duration) })
		}
		wg.Wait()
	}},
	{"workers hang", func(m *scenario, controller int, duration time.Duration) {
		m.injectWorkerFault(m.randomWorkers(0.5), duration, pauseWorker)
	}},
	{"controller partitioned from the store", func(m *scenario, controller int, duration time.Duration) {
		m.partition([]string{controllerName(controller)}, []string{"state"}, duration)
	}},
	{"controller partitioned from peers", func(m *scenario, controller int, duration time.Duration) {
		m.partition([]string{controllerName(controller)}, m.otherControllers(controller), duration)
	}},
	{"controller partitioned from store and peers", func(m *scenario, controller int, duration time.Duration) {
		m.partition([]string{controllerName(controller)}, append(m.otherControllers(controller), "state"), duration)
	}},
	{"controller partitioned from workers", func(m *scenario, controller int, duration time.Duration) {
		m.partition([]string{controllerName(controller)}, m.randomWorkers(0.7), duration)
	}},
	{"workers partitioned from all controllers", func(m *scenario, controller int, duration time.Duration) {
		m.partition(m.randomWorkers(0.5), append(m.otherControllers(controller), controllerName(controller)), duration)
	}},
	{"zone partitioned", func(m *scenario, controller int, duration time.Duration) {
		m.world.partitionZone(m.cloud, zoneOf(controller), true)
		time.Sleep(duration)
		m.world.partitionZone(m.cloud, zoneOf(controller), false)
	}},
	{"crash", func(m *scenario, controller int, duration time.Duration) {
		m.crashController(controller, m.world.randomDowntime())
	}},
	{"all controllers crash", func(m *scenario, controller int, duration time.Duration) {
		var wg sync.WaitGroup
		for controller := range m.world.clusterSize {
			wg.Go(func() { m.crashController(controller, m.world.randomDowntime()) })
		}
		wg.Wait()
	}},
	{"crash loop", func(m *scenario, controller int, duration time.Duration) {
		for range 5 {
			m.crashController(controller, 20*time.Millisecond)
			time.Sleep(time.Duration(50+m.world.intN(900)) * time.Millisecond)
		}
	}},
}

// Guards against rule violations when two or three random faults overlap while users cancel jobs.
func TestOverlappingRandomFaults(t *testing.T) {
	for seed := range seedCount(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 11))
			// Three controllers with even seeds, four to seven with odd ones.
			clusterSize := controllerCount + int(seed%2)*(1+int(seed/2)%4)
			checkFaults(t, seed, clusterSize, 24, func(m *scenario) {
				for range 4 {
					var wg sync.WaitGroup
					for range 2 + rnd.IntN(2) {
						fault, controller := randomFaults[rnd.IntN(len(randomFaults))], rnd.IntN(m.world.clusterSize)
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

// checkFaults runs faults while jobs with long tasks are submitted and every second one is
// cancelled, and checks that every job reaches its end.
func checkFaults(t *testing.T, seed uint64, clusterSize, jobCount int, faults func(m *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 12))
		ctx, w, store, cloud, controllers, end := startWorldOfSize(t, seed, clusterSize, 60, 6, "")
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
		time.Sleep(max(240*time.Second, 480*time.Second-time.Since(m.startedAt))) // the longest task takes 170 s, and it may start late
		w.checkCancelledTasksEnded()
		end()
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, violation := range w.violations {
			t.Error(violation)
		}
		if len(w.lateStarts) > 0 {
			t.Logf("%d task starts after a confirmed cancellation, the latest %v after it", len(w.lateStarts), slices.Max(w.lateStarts))
		}
		for jobID, job := range w.jobs {
			if got := w.lastPhase[jobID]; got != wire.PhaseDone && got != wire.PhaseCancelled && (job.Kind == wire.KindArray || w.cancelRequested[jobID]) {
				t.Errorf("job %s is %q at the end, want done or cancelled", jobID, got)
			}
		}
		if t.Failed() {
			t.Log(strings.Join(m.faultLog, "\n"))
		}
	})
}
