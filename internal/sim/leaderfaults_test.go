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
		cut    time.Duration // of machines from all controllers
		change func(m *scenario)
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
			runFaultPlan(t, faultPlan{seed: 2, teamCPULimit: 12, jobs: arrays(10, 4, 60*time.Second, func(i int, j *wire.Job) { j.CPUs = 1.5 }), recovery: 400 * time.Second,
				faults: func(m *scenario) {
					cut := m.busyWorkers()
					cut = cut[:(len(cut)+1)/2]
					concurrently(
						func() { m.partition(cut, m.controllerNames(), tc.cut) },
						func() { time.Sleep(time.Second); tc.change(m) },
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
		change func(m *scenario, i int)
		keep   bool // everything runs on
	}{
		{"refused alone", func(m *scenario, i int) {
			n := m.leaderIndex()
			m.store.refuseController(controllerName(n), true)
			time.Sleep(9 * time.Second)
			m.store.refuseController(controllerName(n), false)
		}, true},
		{"crashed", func(m *scenario, i int) { m.crashController(m.leaderIndex(), 7*time.Second) }, true},
		{"crashed, some inside an outage", func(m *scenario, i int) {
			n := m.leaderIndex()
			if i%3 == 1 {
				m.store.setOutage(true)
			}
			m.crashController(n, 5*time.Second)
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
				m.store.onCommit = func(_ string, c wire.Txn) bool {
					for _, p := range c.Operations {
						var e election.ShardMap
						if p.Put == "epoch" && json.Unmarshal(p.Value, &e) == nil {
							epochs = append(epochs, e.Epoch)
						}
					}
					return false
				}
				m.store.mu.Unlock()
				var first, last int // requests of a takeover
				for i := range 10 {
					from := time.Now()
					tc.change(m, i)
					time.Sleep(max(0, 12*time.Second-time.Since(from)))
					asked, wrote := m.store.peakRates(from)
					if i < 3 {
						first = max(first, asked)
					}
					last = asked
					if asked > 200 || wrote > 50 {
						m.Errorf("%d requests and %d changes in a second", asked, wrote)
					}
				}
				m.Logf("at most %d requests a second at first, %d at last; epochs %v", first, last, epochs)
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
				if tc.keep && m.w.starts != jobs*tasksPerJob {
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
		long time.Duration
		keep bool
		do   func(m *scenario, hosts []string, duration time.Duration)
	}{
		{"out of reach, for less than a lease", leaseDuration / 2, true, func(m *scenario, _ []string, duration time.Duration) { // a few would be taken for dead
			m.partition(m.workerNames(""), m.controllerNames(), duration)
		}},
		{"out of reach, for longer than a lease", 2 * leaseDuration, false, func(m *scenario, hosts []string, duration time.Duration) { m.partition(hosts, m.controllerNames(), duration) }},
		{"they don't hear, for less than a lease", leaseDuration / 2, true, func(m *scenario, hosts []string, duration time.Duration) {
			m.injectWorkerFault(hosts, duration, dropAnswers)
		}},
		{"they don't hear, for longer than a lease", 2 * leaseDuration, false, func(m *scenario, hosts []string, duration time.Duration) {
			m.injectWorkerFault(hosts, duration, dropAnswers)
		}},
		{"they don't hear, for much longer", 5 * leaseDuration, false, func(m *scenario, hosts []string, duration time.Duration) {
			m.injectWorkerFault(hosts, duration, dropAnswers)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const jobs, tasksPerJob = 8, 3
			runFaultPlan(t, faultPlan{seed: 10, jobs: arrays(jobs, tasksPerJob, 150*time.Second, nil), recovery: 420 * time.Second, faults: func(m *scenario) {
				concurrently(func() { tc.do(m, m.randomWorkers(0.6), tc.long) }, func() { m.crashController(m.initialLeader, 8*time.Second) })
			}, check: func(m *scenario) {
				if tc.keep && m.w.starts != jobs*tasksPerJob {
					m.Errorf("%d starts of %d tasks", m.w.starts, jobs*tasksPerJob)
				}
			}})
		})
	}
}

// Controllers hand over and back, all end, and one returns, also within a second.
func TestAllControllersCrashOneReturns(t *testing.T) {
	for _, back := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second} {
		for returns := range controllerCount {
			t.Run(fmt.Sprint("host-", returns, " returns after ", back), func(t *testing.T) {
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
					m.restartControllers(back, returns)
					m.cancelRepeatedly(returns, 30*time.Second, testJobID(0), testJobID(1))
					time.Sleep(15 * time.Second)
					for n := range controllerCount {
						if n != returns {
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
	for _, away := range []time.Duration{leaseDuration + 2*time.Second, 2 * leaseDuration, 5 * leaseDuration} {
		t.Run(away.String(), func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 12, jobs: arrays(8, 3, 30*time.Second, func(i int, j *wire.Job) {
				if i == 7 {
					j.Kind, j.Priority = wire.KindService, "production"
				}
			}), faults: func(m *scenario) {
				before := m.workerNames("")
				m.restartControllers(away, 0, 1, 2)
				time.Sleep(leaseDuration)
				gone := 0
				after := m.workerNames("")
				for _, h := range before {
					if !slices.Contains(after, h) {
						gone++
					}
				}
				if gone > 0 || len(after) > len(before) {
					m.Errorf("of %d machines %d were returned, and there are %d", len(before), gone, len(after))
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
		after  time.Duration // the cut, until users withdraw
		only   bool          // workers reach nobody but the old leader
		outage time.Duration // of the state service, beginning with the first withdrawal told; 0: none
		deaf   bool          // machines don't hear the new leader's answers
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
				if tc.only {
					go m.partition(m.otherControllers(m.initialLeader), workerCount, 3*cancelTimeout)
				}
				if tc.deaf {
					go m.injectWorkerFault(workerCount, leaseDuration/2, dropAnswers)
				}
				time.Sleep(tc.after)
				for i := range 4 {
					for n := 0; !m.cancelJob(other, testJobID(i)) && n < 30; n++ {
						time.Sleep(time.Second)
					}
				}
				if len(m.w.cancelledAt) == 0 {
					m.Error("nobody was told of a withdrawal")
				}
				m.store.setOutage(tc.outage > 0)
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
		refused time.Duration // the leader alone, before the first withdrawal
		then    time.Duration // until the state service is down for all
		cut     bool          // the leader is cut off from the others too
		hang    bool          // half of the machines hang from the outage on
		keep    bool          // all other tasks run on through it
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
			checkScenario(t, 5, tc.keep, func(m *scenario) {
				other, told := (m.initialLeader+1)%controllerCount, 0
				m.store.refuseController(controllerName(m.initialLeader), true)
				if tc.cut {
					m.cutFromPeers(m.initialLeader, true)
				}
				time.Sleep(tc.refused)
				for i := range 4 {
					go func() {
						for !m.cancelJob(other, testJobID(i)) && m.ctx.Err() == nil {
							time.Sleep(time.Second)
						}
					}()
				}
				time.Sleep(tc.then)
				m.store.setOutage(true)
				if tc.hang {
					go m.injectWorkerFault(m.randomWorkers(0.5), 2*cancelTimeout, pauseWorker)
				}
				time.Sleep(2 * cancelTimeout)
				m.w.mu.Lock()
				told = len(m.w.cancelledAt)
				m.w.mu.Unlock()
				if !tc.cut && told == 0 {
					m.Error("nobody was told of a withdrawal")
				}
				m.store.setOutage(false)
				m.store.refuseController(controllerName(m.initialLeader), false)
				m.cutFromPeers(m.initialLeader, false)
			})
		})
	}
}
