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

// A team is at its limit when the leader changes, some of its workers can't be asked, and
// some of its jobs are cancelled meanwhile: what is cancelled counts until it is surely
// gone, also for a leader that never saw it live.
func TestTeamLimitInTakeover(t *testing.T) {
	for _, tc := range []struct {
		name   string
		partitionFor    time.Duration // of machines from all controllers
		fault func(m *scenario)
	}{
		{"it crashes", leaseDuration / 2, func(m *scenario) { m.crashController(m.initialLeader, 8*time.Second) }},
		{"it crashes, for longer than a lease", 3 * leaseDuration / 2, func(m *scenario) { m.crashController(m.initialLeader, 8*time.Second) }},
		{"it is refused alone", 3 * leaseDuration / 2, func(m *scenario) {
			m.store.refuseController(controllerName(m.initialLeader), true)
			time.Sleep(20 * time.Second)
			m.store.refuseController(controllerName(m.initialLeader), false)
		}},
		{"it is back at once", 3 * leaseDuration / 2, func(m *scenario) { m.crashController(m.initialLeader, 50*time.Millisecond) }},
		{"it stays", 3 * leaseDuration / 2, func(m *scenario) {}},
		{"it crashes once they are withdrawn", 3 * leaseDuration / 2, func(m *scenario) {
			time.Sleep(5 * time.Second)
			m.crashController(m.initialLeader, 8*time.Second)
		}},
		{"it is cut off", 3 * leaseDuration / 2, func(m *scenario) {
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

// Leaders change ten times in two minutes, also inside an outage: what was placed goes on,
// epochs strictly rise, no rental's name is used twice, and each takeover costs no more
// than the last.
func TestTenLeaderChanges(t *testing.T) {
	for _, tc := range []struct {
		name   string
		changeLeader func(m *scenario, i int)
		tasksContinue   bool // everything runs on
	}{
		{"refused alone", func(m *scenario, i int) {
			leader := m.leaderIndex()
			m.store.refuseController(controllerName(leader), true)
			time.Sleep(9 * time.Second)
			m.store.refuseController(controllerName(leader), false)
		}, true},
		{"crashed", func(m *scenario, i int) { m.crashController(m.leaderIndex(), 7*time.Second) }, true},
		{"crashed, some inside an outage", func(m *scenario, i int) {
			leader := m.leaderIndex()
			if i%3 == 1 {
				m.store.setOutage(true)
			}
			m.crashController(leader, 5*time.Second)
			m.store.setOutage(false)
		}, true},
		{"back at once", func(m *scenario, i int) { m.crashController(m.leaderIndex(), 100*time.Millisecond) }, true},
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
				var firstPeak, lastPeak int // requests of a takeover
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
						m.Errorf("%d requests and %d changes in a second", requests, writes)
					}
				}
				m.Logf("at most %d requests a second at first, %d at last; epochs %v", firstPeak, lastPeak, epochs)
			}, check: func(m *scenario) {
				m.store.mu.Lock()
				defer m.store.mu.Unlock()
				for i := 1; i < len(epochs); i++ {
					if epochs[i] <= epochs[i-1] {
						m.Errorf("epoch %d came after %d", epochs[i], epochs[i-1])
					}
				}
				if len(epochs) < 8 {
					m.Errorf("%d epochs: the leader did not change ten times", len(epochs))
				}
				if tc.tasksContinue && m.w.starts != jobs*tasksPerJob {
					m.Errorf("%d starts of %d tasks", m.w.starts, jobs*tasksPerJob)
				}
			}})
		})
	}
}

// A leader ends while workers with long tasks can't be reached, or don't hear the new
// leader's answer: what runs on is not started again within its lease.
func TestLeaderCrashWithUnreachableWorkers(t *testing.T) {
	for _, tc := range []struct {
		name string
		duration time.Duration
		tasksContinue bool
		fault   func(m *scenario, workers []string, duration time.Duration)
	}{
		{"out of reach, for less than a lease", leaseDuration / 2, true, func(m *scenario, _ []string, duration time.Duration) { // a few would be taken for dead
			m.partition(m.workerNames(""), m.controllerNames(), duration)
		}},
		{"out of reach, for longer than a lease", 2 * leaseDuration, false, func(m *scenario, workers []string, duration time.Duration) { m.partition(workers, m.controllerNames(), duration) }},
		{"they don't hear, for less than a lease", leaseDuration / 2, true, func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, dropAnswers)
		}},
		{"they don't hear, for longer than a lease", 2 * leaseDuration, false, func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, dropAnswers)
		}},
		{"they don't hear, for much longer", 5 * leaseDuration, false, func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, dropAnswers)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const jobs, tasksPerJob = 8, 3
			runFaultPlan(t, faultPlan{seed: 10, jobs: arrays(jobs, tasksPerJob, 150*time.Second, nil), recovery: 420 * time.Second, faults: func(m *scenario) {
				concurrently(func() { tc.fault(m, m.randomWorkers(0.6), tc.duration) }, func() { m.crashController(m.initialLeader, 8*time.Second) })
			}, check: func(m *scenario) {
				if tc.tasksContinue && m.w.starts != jobs*tasksPerJob {
					m.Errorf("%d starts of %d tasks", m.w.starts, jobs*tasksPerJob)
				}
			}})
		})
	}
}

// Controllers hand over and back, all end, and one returns, also within a second.
func TestAllControllersCrashOneReturns(t *testing.T) {
	for _, downtime := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second} {
		for returning := range controllerCount {
			t.Run(fmt.Sprint("host-", returning, " returns after ", downtime), func(t *testing.T) {
				t.Parallel()
				const jobs, tasksPerJob = 8, 3
				runFaultPlan(t, faultPlan{seed: 11, jobs: arrays(jobs, tasksPerJob, 100*time.Second, nil), faults: func(m *scenario) {
					for range 2 { // over and back
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
							m.processes[n] = m.w.boot(n)
						}
					}
				}, check: func(m *scenario) {
					if m.w.starts != jobs*tasksPerJob {
						m.Errorf("%d starts of %d tasks", m.w.starts, jobs*tasksPerJob)
					}
				}})
			})
		}
	}
}

// All controllers are away for longer than a lease, so that every task was ended: kept
// results come back, no end is lost, and workers are neither returned nor rented anew
// without need.
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
					m.Errorf("of %d machines %d were returned, and there are %d", len(before), released, len(after))
				}
			}})
		})
	}
}

// A leader is cut off from the store and the other controllers while workers and
// users reach it, and jobs are cancelled through the one that leads next.
func TestCancelWhileLeaderPartitioned(t *testing.T) {
	for _, tc := range []struct {
		name   string
		cancelAfter  time.Duration // the cut, until users withdraw
		onlyOldLeaderReachable   bool          // workers reach nobody but the old leader
		outageDuration time.Duration // of the state service, beginning with the first withdrawal told; 0: none
		workersDropAnswers   bool          // machines don't hear the new leader's answers
	}{
		{"before another leads", time.Second, false, 0, false},
		{"once another leads", 8 * time.Second, false, 0, false},
		{"workers reach only the old one", 8 * time.Second, true, 0, false},
		{"workers reach only the old one, and the state service is down", 8 * time.Second, true, 2 * cancelTimeout, false},
		{"machines do not hear, and the state service is down", 8 * time.Second, false, 2 * cancelTimeout, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			checkScenario(t, 9, false, func(m *scenario) {
				other := (m.initialLeader + 1) % controllerCount
				workerCount := m.randomWorkers(1)
				m.cutFromPeers(m.initialLeader, true)
				m.w.net.setBlocked(controllerName(m.initialLeader), "state", true)
				if tc.onlyOldLeaderReachable {
					go m.partition(m.otherControllers(m.initialLeader), workerCount, 3*cancelTimeout)
				}
				if tc.workersDropAnswers {
					go m.injectWorkerFault(workerCount, leaseDuration/2, dropAnswers)
				}
				time.Sleep(tc.cancelAfter)
				for i := range 4 {
					for attempt := 0; !m.cancelJob(other, testJobID(i)) && attempt < 30; attempt++ {
						time.Sleep(time.Second)
					}
				}
				if len(m.w.cancelledAt) == 0 {
					m.Error("nobody was told of a withdrawal")
				}
				m.store.setOutage(tc.outageDuration > 0)
				time.Sleep(2 * cancelTimeout)
				m.w.checkCancelledTasksGone()
				m.store.setOutage(false)
				m.w.net.setBlocked(controllerName(m.initialLeader), "state", false)
				m.cutFromPeers(m.initialLeader, false)
				time.Sleep(cancelTimeout)
			})
		})
	}
}

// The store refuses the leader alone, another controller tells users that their
// jobs are cancelled, and then it is down for all, for longer than such a job's tasks may
// be on a worker. Workers report to the old leader all the while.
func TestStoreRefusesLeaderThenOutage(t *testing.T) {
	for _, tc := range []struct {
		name    string
		cancelAfter time.Duration // the leader alone, before the first withdrawal
		outageAfter    time.Duration // until the state service is down for all
		cutFromPeers     bool          // the leader is cut off from the others too
		workersPause    bool          // half of the machines hang from the outage on
		tasksContinue    bool          // all other tasks run on through it
	}{
		{"at once", 300 * time.Millisecond, 700 * time.Millisecond, false, false, true},
		{"as it is about to hand over", 2 * time.Second, time.Second, false, false, true},
		{"as it hands over", 3500 * time.Millisecond, 800 * time.Millisecond, false, false, true},
		{"as the next is elected", 5 * time.Second, 1500 * time.Millisecond, false, false, true},
		{"while the next loads", 6 * time.Second, 500 * time.Millisecond, false, false, true},
		{"once another leads", 12 * time.Second, 3 * time.Second, false, false, true},
		{"with machines that hang, at once", 300 * time.Millisecond, 700 * time.Millisecond, false, true, false},
		{"with machines that hang, as it is about to hand over", 2 * time.Second, time.Second, false, true, false},
		{"with machines that hang, once another leads", 12 * time.Second, 3 * time.Second, false, true, false},
		{"cut off too, at once", 300 * time.Millisecond, 700 * time.Millisecond, true, false, false},
		{"cut off too, before an election", 2 * time.Second, 800 * time.Millisecond, true, false, false},
		{"cut off too, as the next is elected", 4 * time.Second, 800 * time.Millisecond, true, false, false},
		{"cut off too, once another leads", 9 * time.Second, 2 * time.Second, true, false, false},
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
				m.w.mu.Lock()
				cancelled = len(m.w.cancelledAt)
				m.w.mu.Unlock()
				if !tc.cutFromPeers && cancelled == 0 {
					m.Error("nobody was told of a withdrawal")
				}
				m.store.setOutage(false)
				m.store.refuseController(controllerName(m.initialLeader), false)
				m.cutFromPeers(m.initialLeader, false)
			})
		})
	}
}
