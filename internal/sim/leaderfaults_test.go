package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"rillflow/internal/election"
	"rillflow/internal/wire"
)

// Guards against exceeding a team's CPU limit across a leader change. The team is at its
// limit, some of its workers are unreachable and some of its jobs are cancelled: a cancelled
// task counts until it has certainly ended, also for a leader that never saw it running.
func TestTeamLimitInTakeover(t *testing.T) {
	for _, tc := range []struct {
		name         string
		partitionFor time.Duration // how long workers are cut off from all controllers
		fault        func(m *scenario)
	}{
		{"leader crashes, partition shorter than a lease", leaseDuration / 2, func(m *scenario) { m.crashController(m.initialLeader, 8*time.Second) }},
		{"leader crashes, partition longer than a lease", 3 * leaseDuration / 2, func(m *scenario) { m.crashController(m.initialLeader, 8*time.Second) }},
		{"store refuses the leader", 3 * leaseDuration / 2, func(m *scenario) {
			m.store.refuseController(controllerName(m.initialLeader), true)
			time.Sleep(20 * time.Second)
			m.store.refuseController(controllerName(m.initialLeader), false)
		}},
		{"leader restarts at once", 3 * leaseDuration / 2, func(m *scenario) { m.crashController(m.initialLeader, 50*time.Millisecond) }},
		{"leader unaffected", 3 * leaseDuration / 2, func(m *scenario) {}},
		{"leader crashes after the cancellations", 3 * leaseDuration / 2, func(m *scenario) {
			time.Sleep(5 * time.Second)
			m.crashController(m.initialLeader, 8*time.Second)
		}},
		{"leader partitioned from the store and peers", 3 * leaseDuration / 2, func(m *scenario) {
			m.partition([]string{controllerName(m.initialLeader)}, append(m.otherControllers(m.initialLeader), "state"), 20*time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 2, teamCPULimit: 12, jobs: arrays(10, 4, 60*time.Second, func(i int, job *wire.Job) { job.CPUs = 1.5 }), recovery: 400 * time.Second,
				faults: func(m *scenario) {
					partitioned := m.busyWorkers()
					partitioned = partitioned[:(len(partitioned)+1)/2]
					concurrently(
						func() { m.partition(partitioned, m.controllerNames(), tc.partitionFor) },
						func() { time.Sleep(time.Second); tc.fault(m) },
						func() {
							time.Sleep(3 * time.Second)
							m.cancelRepeatedly((m.initialLeader+1)%controllerCount, time.Minute, testJobID(0), testJobID(1), testJobID(2))
						},
					)
				}})
		})
	}
}

// Guards against state that is lost or load that grows over ten leader changes in two
// minutes, some during an outage: placed tasks run on, epochs strictly increase, no
// scale-out request ID is reused, and each change stays within the store's rate limits.
func TestTenLeaderChanges(t *testing.T) {
	for _, tc := range []struct {
		name          string
		changeLeader  func(m *scenario, i int)
		tasksContinue bool // no task is restarted
	}{
		{"store refuses the leader", func(m *scenario, i int) {
			leader := m.leaderIndex()
			m.store.refuseController(controllerName(leader), true)
			time.Sleep(9 * time.Second)
			m.store.refuseController(controllerName(leader), false)
		}, true},
		{"leader crashes", func(m *scenario, i int) { m.crashController(m.leaderIndex(), 7*time.Second) }, true},
		{"leader crashes, sometimes during an outage", func(m *scenario, i int) {
			leader := m.leaderIndex()
			if i%3 == 1 {
				m.store.setOutage(true)
			}
			m.crashController(leader, 5*time.Second)
			m.store.setOutage(false)
		}, true},
		{"leader restarts at once", func(m *scenario, i int) { m.crashController(m.leaderIndex(), 100*time.Millisecond) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const jobs, tasksPerJob = 8, 3
			var epochs []uint64
			runFaultPlan(t, faultPlan{seed: 4, jobs: arrays(jobs, tasksPerJob, 150*time.Second, nil), faults: func(m *scenario) {
				m.store.mu.Lock()
				epochs = nil
				m.store.onCommit = func(_ string, txn wire.Txn) bool {
					for _, op := range txn.Operations {
						var shardMap election.ShardMap
						if op.Put == "epoch" && json.Unmarshal(op.Value, &shardMap) == nil {
							epochs = append(epochs, shardMap.Epoch)
						}
					}
					return false
				}
				m.store.mu.Unlock()
				var firstPeak, lastPeak int // most requests per second after a change
				for i := range 10 {
					startedAt := time.Now()
					tc.changeLeader(m, i)
					time.Sleep(max(0, 12*time.Second-time.Since(startedAt)))
					requests, writes := m.store.peakRates(startedAt)
					if i < 3 {
						firstPeak = max(firstPeak, requests)
					}
					lastPeak = requests
					if requests > 200 || writes > 50 {
						m.Errorf("%d requests and %d writes in one second, want at most 200 and 50", requests, writes)
					}
				}
				m.Logf("at most %d requests per second after the first changes, %d after the last; epochs %v", firstPeak, lastPeak, epochs)
			}, check: func(m *scenario) {
				m.store.mu.Lock()
				defer m.store.mu.Unlock()
				for i := 1; i < len(epochs); i++ {
					if epochs[i] <= epochs[i-1] {
						m.Errorf("epoch %d was written after %d", epochs[i], epochs[i-1])
					}
				}
				if len(epochs) < 8 {
					m.Errorf("got %d epochs, want at least 8: the leader did not change often enough", len(epochs))
				}
				if tc.tasksContinue && m.world.starts != jobs*tasksPerJob {
					m.Errorf("%d task starts, want one for each of %d tasks", m.world.starts, jobs*tasksPerJob)
				}
			}})
		})
	}
}

// Guards against tasks that are restarted within their worker's lease. The leader crashes
// while workers with long tasks are unreachable or lose the new leader's responses.
func TestLeaderCrashWithUnreachableWorkers(t *testing.T) {
	for _, tc := range []struct {
		name          string
		duration      time.Duration
		tasksContinue bool
		fault         func(m *scenario, workers []string, duration time.Duration)
	}{
		{"unreachable for less than a lease", leaseDuration / 2, true, func(m *scenario, _ []string, duration time.Duration) { // if only some were unreachable, the leader would treat them as failed
			m.partition(m.workerNames(""), m.controllerNames(), duration)
		}},
		{"unreachable for longer than a lease", 2 * leaseDuration, false, func(m *scenario, workers []string, duration time.Duration) {
			m.partition(workers, m.controllerNames(), duration)
		}},
		{"responses lost for less than a lease", leaseDuration / 2, true, func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, dropResponses)
		}},
		{"responses lost for longer than a lease", 2 * leaseDuration, false, func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, dropResponses)
		}},
		{"responses lost for five leases", 5 * leaseDuration, false, func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, dropResponses)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const jobs, tasksPerJob = 8, 3
			runFaultPlan(t, faultPlan{seed: 10, jobs: arrays(jobs, tasksPerJob, 150*time.Second, nil), recovery: 420 * time.Second, faults: func(m *scenario) {
				concurrently(func() { tc.fault(m, m.randomWorkers(0.6), tc.duration) }, func() { m.crashController(m.initialLeader, 8*time.Second) })
			}, check: func(m *scenario) {
				if tc.tasksContinue && m.world.starts != jobs*tasksPerJob {
					m.Errorf("%d task starts, want one for each of %d tasks", m.world.starts, jobs*tasksPerJob)
				}
			}})
		})
	}
}

// Guards against tasks that are restarted when leadership moves to another controller and
// back, all controllers crash, and one of them restarts, also within a second.
func TestAllControllersCrashOneReturns(t *testing.T) {
	for _, downtime := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second} {
		for returning := range controllerCount {
			t.Run(fmt.Sprint("host-", returning, " returns after ", downtime), func(t *testing.T) {
				t.Parallel()
				const jobs, tasksPerJob = 8, 3
				runFaultPlan(t, faultPlan{seed: 11, jobs: arrays(jobs, tasksPerJob, 100*time.Second, nil), faults: func(m *scenario) {
					for range 2 { // to another controller and back
						n := m.leaderIndex()
						m.store.refuseController(controllerName(n), true)
						time.Sleep(6 * time.Second)
						m.store.refuseController(controllerName(n), false)
						time.Sleep(4 * time.Second)
					}
					m.restartControllers(downtime, returning)
					m.cancelRepeatedly(returning, 30*time.Second, testJobID(0), testJobID(1))
					time.Sleep(15 * time.Second)
					for n := range controllerCount {
						if n != returning {
							m.processes[n] = m.world.boot(n)
						}
					}
				}, check: func(m *scenario) {
					if m.world.starts != jobs*tasksPerJob {
						m.Errorf("%d task starts, want one for each of %d tasks", m.world.starts, jobs*tasksPerJob)
					}
				}})
			})
		}
	}
}

// All controllers are down for longer than a lease, so that the workers ended every task.
// Stored results are used, no end is lost, and no worker is released or rented without need.
func TestAllControllersDownPastLease(t *testing.T) {
	for _, downtime := range []time.Duration{leaseDuration + 2*time.Second, 2 * leaseDuration, 5 * leaseDuration} {
		t.Run(downtime.String(), func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 12, jobs: arrays(8, 3, 30*time.Second, func(i int, job *wire.Job) {
				if i == 7 {
					job.Kind, job.Priority = wire.KindService, "production"
				}
			}), faults: func(m *scenario) {
				before := m.workerNames("")
				m.restartControllers(downtime, 0, 1, 2)
				time.Sleep(leaseDuration)
				released := 0
				after := m.workerNames("")
				for _, worker := range before {
					if !slices.Contains(after, worker) {
						released++
					}
				}
				if released > 0 || len(after) > len(before) {
					m.Errorf("of %d workers %d were released, and there are now %d; want none released and none added", len(before), released, len(after))
				}
			}})
		})
	}
}

// Guards against cancelled tasks that run on under an old leader. The leader is cut off from
// the store and its peers while workers and users still reach it, and jobs are cancelled
// through the controller that leads next.
func TestCancelWhileLeaderPartitioned(t *testing.T) {
	for _, tc := range []struct {
		name                   string
		cancelAfter            time.Duration // from the partition to the cancellations
		onlyOldLeaderReachable bool          // workers reach no other controller
		outageDuration         time.Duration // of the store, from the first confirmed cancellation; 0: none
		workersDropResponses   bool          // workers lose the new leader's responses
	}{
		{"before the next election", time.Second, false, 0, false},
		{"under a new leader", 8 * time.Second, false, 0, false},
		{"workers reach only the old leader", 8 * time.Second, true, 0, false},
		{"workers reach only the old leader, store outage", 8 * time.Second, true, 2 * cancelTimeout, false},
		{"workers lose responses, store outage", 8 * time.Second, false, 2 * cancelTimeout, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			checkScenario(t, 9, false, func(m *scenario) {
				other := (m.initialLeader + 1) % controllerCount
				workers := m.randomWorkers(1)
				m.cutFromPeers(m.initialLeader, true)
				m.world.net.setBlocked(controllerName(m.initialLeader), "state", true)
				if tc.onlyOldLeaderReachable {
					go m.partition(m.otherControllers(m.initialLeader), workers, 3*cancelTimeout)
				}
				if tc.workersDropResponses {
					go m.injectWorkerFault(workers, leaseDuration/2, dropResponses)
				}
				time.Sleep(tc.cancelAfter)
				for i := range 4 {
					for attempt := 0; !m.cancelJob(other, testJobID(i)) && attempt < 30; attempt++ {
						time.Sleep(time.Second)
					}
				}
				if len(m.world.cancelledAt) == 0 {
					m.Error("no cancellation was confirmed")
				}
				m.store.setOutage(tc.outageDuration > 0)
				time.Sleep(2 * cancelTimeout)
				m.world.checkCancelledTasksEnded()
				m.store.setOutage(false)
				m.world.net.setBlocked(controllerName(m.initialLeader), "state", false)
				m.cutFromPeers(m.initialLeader, false)
				time.Sleep(cancelTimeout)
			})
		})
	}
}

// Guards against cancelled tasks that run on past the cancel timeout. The store refuses only
// the leader, another controller confirms cancellations, and then the store fails for all
// controllers for longer than the timeout. Workers send heartbeats to the old leader
// throughout.
func TestStoreRefusesLeaderThenOutage(t *testing.T) {
	for _, tc := range []struct {
		name          string
		cancelAfter   time.Duration // from the refusal to the first cancellation
		outageAfter   time.Duration // from the first cancellation to the store outage
		cutFromPeers  bool          // the leader is cut off from its peers too
		workersPause  bool          // half of the workers pause from the outage on
		tasksContinue bool          // no other task is restarted
	}{
		{"cancelled at once", 300 * time.Millisecond, 700 * time.Millisecond, false, false, true},
		{"before the leader steps down", 2 * time.Second, time.Second, false, false, true},
		{"as the leader steps down", 3500 * time.Millisecond, 800 * time.Millisecond, false, false, true},
		{"during the election", 5 * time.Second, 1500 * time.Millisecond, false, false, true},
		{"while the new leader loads", 6 * time.Second, 500 * time.Millisecond, false, false, true},
		{"under the new leader", 12 * time.Second, 3 * time.Second, false, false, true},
		{"workers pause, cancelled at once", 300 * time.Millisecond, 700 * time.Millisecond, false, true, false},
		{"workers pause, before the leader steps down", 2 * time.Second, time.Second, false, true, false},
		{"workers pause, under the new leader", 12 * time.Second, 3 * time.Second, false, true, false},
		{"leader cut off, cancelled at once", 300 * time.Millisecond, 700 * time.Millisecond, true, false, false},
		{"leader cut off, before the election", 2 * time.Second, 800 * time.Millisecond, true, false, false},
		{"leader cut off, during the election", 4 * time.Second, 800 * time.Millisecond, true, false, false},
		{"leader cut off, under the new leader", 9 * time.Second, 2 * time.Second, true, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			checkScenario(t, 5, tc.tasksContinue, func(m *scenario) {
				other, cancelled := (m.initialLeader+1)%controllerCount, 0
				m.store.refuseController(controllerName(m.initialLeader), true)
				if tc.cutFromPeers {
					m.cutFromPeers(m.initialLeader, true)
				}
				time.Sleep(tc.cancelAfter)
				for i := range 4 {
					go func() {
						for !m.cancelJob(other, testJobID(i)) && m.ctx.Err() == nil {
							time.Sleep(time.Second)
						}
					}()
				}
				time.Sleep(tc.outageAfter)
				m.store.setOutage(true)
				if tc.workersPause {
					go m.injectWorkerFault(m.randomWorkers(0.5), 2*cancelTimeout, pauseWorker)
				}
				time.Sleep(2 * cancelTimeout)
				m.world.mu.Lock()
				cancelled = len(m.world.cancelledAt)
				m.world.mu.Unlock()
				if !tc.cutFromPeers && cancelled == 0 {
					m.Error("no cancellation was confirmed")
				}
				m.store.setOutage(false)
				m.store.refuseController(controllerName(m.initialLeader), false)
				m.cutFromPeers(m.initialLeader, false)
			})
		})
	}
}
