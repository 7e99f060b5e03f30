package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against tasks that start from outdated commands. Commands or responses are
// delayed for seconds, or the workers hang, while jobs are cancelled and others are launched:
// commands sent before a cancellation, a reconnection or a new worker incarnation must not
// start anything, and cancelled tasks must end in time.
func TestDelayedCommands(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(m *scenario, workers []string, duration time.Duration)
	}{
		{"commands delayed", func(m *scenario, workers []string, duration time.Duration) {
			m.partition(m.controllerNames(), workers, duration)
		}},
		{"workers hang", func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, pauseWorker)
		}},
		{"responses lost", func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, dropResponses)
		}},
		{"heartbeats lost", func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, dropHeartbeats)
		}},
		{"commands delayed, leader crashes", func(m *scenario, workers []string, duration time.Duration) {
			concurrently(func() { m.partition(m.controllerNames(), workers, duration) }, func() { time.Sleep(duration / 2); m.crashController(m.initialLeader, 4*time.Second) })
		}},
		{"workers hang, leader crashes", func(m *scenario, workers []string, duration time.Duration) {
			concurrently(func() { m.injectWorkerFault(workers, duration, pauseWorker) }, func() { time.Sleep(duration / 2); m.crashController(m.initialLeader, 4*time.Second) })
		}},
	} {
		for _, duration := range []time.Duration{2 * time.Second, 6 * time.Second, leaseDuration - 2*time.Second, leaseDuration + 3*time.Second, 2 * cancelTimeout} {
			t.Run(fmt.Sprint(tc.name, " for ", duration), func(t *testing.T) {
				t.Parallel()
				runFaultPlan(t, faultPlan{seed: 7, jobs: arrays(8, 3, 100*time.Second, nil), recovery: 350 * time.Second, faults: func(m *scenario) {
					for i := range 6 { // launched about when the fault begins
						m.world.submit(m.ctx, array(30+i, 3, 30*time.Second), time.Duration(i)*200*time.Millisecond, 0)
					}
					time.Sleep(500 * time.Millisecond)
					concurrently(
						func() { tc.fault(m, m.randomWorkers(0.6), duration) },
						func() {
							time.Sleep(300 * time.Millisecond)
							m.cancelRepeatedly((m.initialLeader+1)%controllerCount, cancelTimeout, testJobID(0), testJobID(1), testJobID(2), testJobID(3), testJobID(4), testJobID(30), testJobID(31))
						},
						func() { // cancels more jobs during the fault
							time.Sleep(min(duration/2, 5*time.Second))
							m.cancelRepeatedly((m.initialLeader+2)%controllerCount, cancelTimeout, testJobID(32), testJobID(33), testJobID(5))
						},
					)
				}, check: func(m *scenario) {
					m.world.mu.Lock()
					defer m.world.mu.Unlock()
					// A new leader cannot recall start commands of its crashed predecessor, and if most
					// workers of a zone are affected, the confirmation does not wait for them that long.
					if n := len(m.world.lateStarts); n > 0 && duration < 22*heartbeatInterval/10 && !strings.Contains(tc.name, "leader crashes") {
						m.Errorf("%d task starts came after the confirmed cancellation, want none", n)
					}
				}})
			})
		}
	}
}

// Guards against tasks that are started again and again on workers whose heartbeats reach no
// controller, although direct commands still reach them. Their leases are not renewed, so
// their tasks must run elsewhere, and the leadership must not change because of them.
func TestWorkersWithoutHeartbeats(t *testing.T) {
	const jobs, tasksPerJob = 8, 3
	const keepIdleWorkers = "<rillflow><fleet><thrift>never</thrift></fleet></rillflow>" // a shard without workers receives no heartbeats
	for _, tc := range []struct {
		name            string
		selectWorkers   func(m *scenario) []string
		concurrentFault func(m *scenario)
		maxTerms        int  // of leaders
		doneMeanwhile   bool // all jobs finish while the heartbeats are lost
		othersHang      bool // tasks may be lost once more, to workers that hang
	}{
		{"one worker", func(m *scenario) []string { return m.busyWorkers()[:1] }, nil, 1, true, false},
		{"half of the workers", func(m *scenario) []string { return m.randomWorkers(0.5) }, nil, 2, true, false},
		{"all workers of a zone", func(m *scenario) []string { return m.workerNames("b") }, nil, 2, true, false},
		{"all workers, also new ones", func(m *scenario) []string { return m.workerNames("") }, nil, 1, false, false},
		{"half, while the leader changes", func(m *scenario) []string { return m.randomWorkers(0.5) }, func(m *scenario) { m.crashController(m.initialLeader, 8*time.Second) }, 3, true, false},
		{"half, others hang", func(m *scenario) []string { return m.randomWorkers(0.5) }, func(m *scenario) {
			m.injectWorkerFault(m.randomWorkers(0.3), leaseDuration/2, pauseWorker)
		}, 2, true, true},
		{"half, with cancellations", func(m *scenario) []string { return m.randomWorkers(0.5) }, func(m *scenario) {
			time.Sleep(2 * time.Second)
			m.cancelRepeatedly((m.initialLeader+1)%controllerCount, cancelTimeout, testJobID(0), testJobID(1), testJobID(2))
		}, 2, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 9, operatorSettings: keepIdleWorkers, teamCPULimit: 100, maxInstances: 12, jobs: arrays(jobs, tasksPerJob, 50*time.Second, nil), faults: func(m *scenario) {
				leaders := []string{m.store.get("lead")}
				starts := 0
				concurrently(
					func() {
						m.world.mu.Lock()
						m.world.newWorkersDropHeartbeats = !tc.doneMeanwhile
						m.world.mu.Unlock()
						m.injectWorkerFault(tc.selectWorkers(m), 4*leaseDuration, dropHeartbeats)
						m.world.mu.Lock()
						m.world.newWorkersDropHeartbeats = false
						m.world.mu.Unlock()
						m.injectWorkerFault(m.workerNames(""), 0, func(worker *fakeWorker, active bool) { worker.dropsHeartbeats = false })
					},
					func() {
						for startedAt := time.Now(); time.Since(startedAt) < 4*leaseDuration; {
							time.Sleep(time.Second)
							if leader := m.store.get("lead"); leader != "" && leader != leaders[len(leaders)-1] {
								leaders = append(leaders, leader)
							}
						}
						m.world.mu.Lock()
						starts = m.world.starts
						m.world.mu.Unlock()
					},
					func() {
						if tc.concurrentFault != nil {
							tc.concurrentFault(m)
						}
					},
					func() {
						time.Sleep(4*leaseDuration - time.Second)
						m.world.mu.Lock()
						defer m.world.mu.Unlock()
						for i := range jobs {
							if tc.doneMeanwhile && !m.world.cancelRequested[testJobID(i)] && !m.world.allTasksDone(testJobID(i)) {
								m.Errorf("job %s is not done although other workers are healthy", testJobID(i))
							}
						}
					},
				)
				if len(leaders) > tc.maxTerms {
					m.Errorf("got %d leadership terms, want at most %d: %s", len(leaders), tc.maxTerms, strings.Join(leaders, " "))
				}
				// Each task may be lost once to a worker without heartbeats, and once more to one that hangs.
				maxStarts := 2 * jobs * tasksPerJob
				if tc.othersHang {
					maxStarts += jobs * tasksPerJob
				}
				if starts > maxStarts {
					m.Errorf("%d task starts of %d tasks, want at most %d", starts, jobs*tasksPerJob, maxStarts)
				}
			}})
		})
	}
}

// Guards against a heartbeat that undoes newer decisions. It is delayed until a new leader
// has acted and then delivered to that leader: it must not free capacity, start or forget
// tasks, or renew leases against what was decided since.
func TestDelayedHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		name           string
		beforeDelivery func(m *scenario, workers []string) // after the leader's crash
	}{
		{"same incarnation", func(m *scenario, workers []string) { time.Sleep(10 * time.Second) }},
		{"earlier incarnation", func(m *scenario, workers []string) {
			m.partition(workers, m.controllerNames(), leaseDuration+6*time.Second)
			time.Sleep(4 * time.Second)
		}},
		{"new leader never got a newer one", func(m *scenario, workers []string) {
			go m.partition(workers, m.controllerNames(), 20*time.Second)
			time.Sleep(8 * time.Second)
		}},
		{"worker has failed", func(m *scenario, workers []string) {
			for _, worker := range workers {
				m.cloud.killInstance(worker)
			}
			time.Sleep(8 * time.Second)
		}},
		{"jobs cancelled", func(m *scenario, workers []string) {
			m.cancelRepeatedly((m.initialLeader+1)%controllerCount, 30*time.Second, testJobID(0), testJobID(1), testJobID(2))
			time.Sleep(3 * time.Second)
		}},
		{"after a second leader change", func(m *scenario, workers []string) {
			m.crashController(m.leaderIndex(), 6*time.Second)
			time.Sleep(10 * time.Second)
		}},
	} {
		for _, duration := range []time.Duration{24 * time.Second, 28 * time.Second, 90 * time.Second} { // the tasks end about when the heartbeat is sent, or run on
			t.Run(fmt.Sprint(tc.name, ", tasks of ", duration), func(t *testing.T) {
				t.Parallel()
				runFaultPlan(t, faultPlan{seed: 13, teamCPULimit: 20, jobs: arrays(12, 3, duration, nil), recovery: 330 * time.Second, faults: func(m *scenario) {
					workers := m.busyWorkers()
					m.injectWorkerFault(workers, 7*time.Second, holdNextHeartbeat) // newer heartbeats arrive meanwhile
					m.crashController(m.initialLeader, 6*time.Second)
					tc.beforeDelivery(m, workers)
					delivered := m.deliverHeldHeartbeats(workers)
					if delivered == 0 {
						m.Error("no heartbeat was delayed")
					}
				}})
			})
		}
	}
}

// Guards against stale writes that take effect. Unanswered transactions are applied seconds
// later, after newer ones of the same controller, while tasks are placed, end or are
// cancelled, and while the leader changes.
func TestLateTransactions(t *testing.T) {
	for _, tc := range []struct {
		name            string
		concurrentFault func(m *scenario)
	}{
		{"tasks are placed and end", func(m *scenario) { time.Sleep(40 * time.Second) }},
		{"jobs cancelled", func(m *scenario) {
			m.cancelRepeatedly(m.initialLeader, cancelTimeout, testJobID(0), testJobID(1), testJobID(2), testJobID(3))
		}},
		{"leader crashes", func(m *scenario) { m.crashController(m.initialLeader, 5*time.Second); time.Sleep(20 * time.Second) }},
		{"store refuses the leader", func(m *scenario) {
			m.store.refuseController(controllerName(m.initialLeader), true)
			time.Sleep(20 * time.Second)
			m.store.refuseController(controllerName(m.initialLeader), false)
		}},
		{"workers become unreachable and return", func(m *scenario) { m.partition(m.randomWorkers(0.5), m.controllerNames(), leaseDuration+8*time.Second) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 14, teamCPULimit: 20, jobs: arrays(14, 3, 12*time.Second, nil), faults: func(m *scenario) {
				m.store.delayTransactions(0.5)
				tc.concurrentFault(m)
				m.store.delayTransactions(0)
				time.Sleep(12 * time.Second) // until the last one is applied
			}})
		})
	}
}

// Guards against duplicated heartbeats that take effect: copies arrive after newer heartbeats,
// also of an earlier incarnation or attempt.
func TestDuplicatedHeartbeats(t *testing.T) {
	for _, tc := range []struct {
		name            string
		concurrentFault func(m *scenario)
	}{
		{"tasks start and end", func(m *scenario) { time.Sleep(60 * time.Second) }},
		{"incarnations end", func(m *scenario) { m.partition(m.randomWorkers(0.7), m.controllerNames(), leaseDuration+5*time.Second) }},
		{"leader crashes", func(m *scenario) { m.crashController(m.initialLeader, 8*time.Second) }},
		{"workers fail", func(m *scenario) {
			for _, worker := range m.randomWorkers(0.4) {
				m.cloud.killInstance(worker)
			}
			time.Sleep(40 * time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 15, teamCPULimit: 20, jobs: arrays(14, 3, 12*time.Second, nil), faults: func(m *scenario) {
				m.world.duplicateHeartbeats(0.6)
				concurrently(func() { tc.concurrentFault(m) }, func() {
					for i := range 6 {
						time.Sleep(4 * time.Second)
						m.cancelRepeatedly((m.initialLeader+1)%controllerCount, cancelTimeout, testJobID(i))
					}
				})
				m.world.duplicateHeartbeats(0)
				time.Sleep(2 * leaseDuration)
			}})
		})
	}
}
