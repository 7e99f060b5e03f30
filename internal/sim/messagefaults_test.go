package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A command or its answer is held up for seconds, or its worker hangs, and then goes on,
// while its jobs are cancelled all at once and others are launched: what was sent before
// the cancellation, the return or the new session starts nothing, and what is cancelled is
// gone in time.
func TestDelayedCommands(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(m *scenario, workers []string, duration time.Duration)
	}{
		{"held", func(m *scenario, workers []string, duration time.Duration) {
			m.partition(m.controllerNames(), workers, duration)
		}},
		{"hung", func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, pauseWorker)
		}},
		{"deaf", func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, dropAnswers)
		}},
		{"mute", func(m *scenario, workers []string, duration time.Duration) {
			m.injectWorkerFault(workers, duration, dropHeartbeats)
		}},
		{"held, and the leader ends", func(m *scenario, workers []string, duration time.Duration) {
			concurrently(func() { m.partition(m.controllerNames(), workers, duration) }, func() { time.Sleep(duration / 2); m.crashController(m.initialLeader, 4*time.Second) })
		}},
		{"hung, and the leader ends", func(m *scenario, workers []string, duration time.Duration) {
			concurrently(func() { m.injectWorkerFault(workers, duration, pauseWorker) }, func() { time.Sleep(duration / 2); m.crashController(m.initialLeader, 4*time.Second) })
		}},
	} {
		for _, duration := range []time.Duration{2 * time.Second, 6 * time.Second, leaseDuration - 2*time.Second, leaseDuration + 3*time.Second, 2 * cancelTimeout} {
			t.Run(fmt.Sprint(tc.name, " for ", duration), func(t *testing.T) {
				t.Parallel()
				runFaultPlan(t, faultPlan{seed: 7, jobs: arrays(8, 3, 100*time.Second, nil), recovery: 350 * time.Second, faults: func(m *scenario) {
					for i := range 6 { // launched about when it begins
						m.w.submit(m.ctx, array(30+i, 3, 30*time.Second), time.Duration(i)*200*time.Millisecond, 0)
					}
					time.Sleep(500 * time.Millisecond)
					concurrently(
						func() { tc.fault(m, m.randomWorkers(0.6), duration) },
						func() {
							time.Sleep(300 * time.Millisecond)
							m.cancelRepeatedly((m.initialLeader+1)%controllerCount, cancelTimeout, testJobID(0), testJobID(1), testJobID(2), testJobID(3), testJobID(4), testJobID(30), testJobID(31))
						},
						func() { // some more once it has begun
							time.Sleep(min(duration/2, 5*time.Second))
							m.cancelRepeatedly((m.initialLeader+2)%controllerCount, cancelTimeout, testJobID(32), testJobID(33), testJobID(5))
						},
					)
				}, check: func(m *scenario) {
					m.w.mu.Lock()
					defer m.w.mu.Unlock()
					// Where the leader ends meanwhile, the launch is out of the next one's hands; and
					// what most workers of a zone may yet do is not waited for for so long.
					if n := len(m.w.lateStarts); n > 0 && duration < 22*heartbeatInterval/10 && !strings.Contains(tc.name, "leader ends") {
						m.Errorf("%d starts came after the withdrawal was told", n)
					}
				}})
			})
		}
	}
}

// Machines reach no controller, while direct commands reach them. Nothing renews their
// leases, so they are given nothing again and again; what they had runs elsewhere; and the
// leadership does not wander on their account.
func TestWorkersWithoutHeartbeats(t *testing.T) {
	const jobs, tasksPerJob = 8, 3
	const keepIdleWorkers = "<rillflow><fleet><thrift>never</thrift></fleet></rillflow>" // a part without machines hears none
	for _, tc := range []struct {
		name            string
		selectWorkers   func(m *scenario) []string
		concurrentFault func(m *scenario)
		maxTerms        int  // at most
		doneMeanwhile   bool // all is done while they are mute
	}{
		{"one", func(m *scenario) []string { return m.busyWorkers()[:1] }, nil, 1, true},
		{"half", func(m *scenario) []string { return m.randomWorkers(0.5) }, nil, 2, true},
		{"a zone", func(m *scenario) []string { return m.workerNames("b") }, nil, 2, true},
		{"all, new ones too", func(m *scenario) []string { return m.workerNames("") }, nil, 1, false},
		{"half, while the leader changes", func(m *scenario) []string { return m.randomWorkers(0.5) }, func(m *scenario) { m.crashController(m.initialLeader, 8*time.Second) }, 3, true},
		{"half, and they hang", func(m *scenario) []string { return m.randomWorkers(0.5) }, func(m *scenario) {
			m.injectWorkerFault(m.randomWorkers(0.3), leaseDuration/2, pauseWorker)
		}, 2, true},
		{"half, and jobs are withdrawn", func(m *scenario) []string { return m.randomWorkers(0.5) }, func(m *scenario) {
			time.Sleep(2 * time.Second)
			m.cancelRepeatedly((m.initialLeader+1)%controllerCount, cancelTimeout, testJobID(0), testJobID(1), testJobID(2))
		}, 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 9, operatorSettings: keepIdleWorkers, teamCPULimit: 100, maxInstances: 12, jobs: arrays(jobs, tasksPerJob, 50*time.Second, nil), faults: func(m *scenario) {
				leaders := []string{m.store.get("lead")}
				starts := 0
				concurrently(
					func() {
						m.w.mu.Lock()
						m.w.newWorkersMute = !tc.doneMeanwhile
						m.w.mu.Unlock()
						m.injectWorkerFault(tc.selectWorkers(m), 4*leaseDuration, dropHeartbeats)
						m.w.mu.Lock()
						m.w.newWorkersMute = false
						m.w.mu.Unlock()
						m.injectWorkerFault(m.workerNames(""), 0, func(k *fakeWorker, on bool) { k.dropsHeartbeats = false })
					},
					func() {
						for startedAt := time.Now(); time.Since(startedAt) < 4*leaseDuration; {
							time.Sleep(time.Second)
							if leader := m.store.get("lead"); leader != "" && leader != leaders[len(leaders)-1] {
								leaders = append(leaders, leader)
							}
						}
						m.w.mu.Lock()
						starts = m.w.starts
						m.w.mu.Unlock()
					},
					func() {
						if tc.concurrentFault != nil {
							tc.concurrentFault(m)
						}
					},
					func() {
						time.Sleep(4*leaseDuration - time.Second)
						m.w.mu.Lock()
						defer m.w.mu.Unlock()
						for i := range jobs {
							if tc.doneMeanwhile && !m.w.cancelRequested[testJobID(i)] && !m.w.allTasksDone(testJobID(i)) {
								m.Errorf("%s is not done though other machines are well", testJobID(i))
							}
						}
					},
				)
				if len(leaders) > tc.maxTerms {
					m.Errorf("%d terms: %s", len(leaders), strings.Join(leaders, " "))
				}
				// A task is lost once with a worker that cannot send heartbeats; with one that hangs too, once more.
				maxStarts := 2 * jobs * tasksPerJob
				if strings.Contains(tc.name, "hang") {
					maxStarts += jobs * tasksPerJob
				}
				if starts > maxStarts {
					m.Errorf("%d starts of %d tasks", starts, jobs*tasksPerJob)
				}
			}})
		})
	}
}

// A report is held back until a new leader has acted, and then arrives there: it neither
// frees nor starts, reaps nor renews anything that was decided since.
func TestDelayedHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		name           string
		beforeDelivery func(m *scenario, workers []string) // between the report and its arrival, after the leader's end
	}{
		{"the same session", func(m *scenario, workers []string) { time.Sleep(10 * time.Second) }},
		{"an earlier session", func(m *scenario, workers []string) {
			m.partition(workers, m.controllerNames(), leaseDuration+6*time.Second)
			time.Sleep(4 * time.Second)
		}},
		{"the new leader never saw a newer one", func(m *scenario, workers []string) {
			go m.partition(workers, m.controllerNames(), 20*time.Second)
			time.Sleep(8 * time.Second)
		}},
		{"the machine has died", func(m *scenario, workers []string) {
			for _, worker := range workers {
				m.cloud.killInstance(worker)
			}
			time.Sleep(8 * time.Second)
		}},
		{"jobs were withdrawn", func(m *scenario, workers []string) {
			m.cancelRepeatedly((m.initialLeader+1)%controllerCount, 30*time.Second, testJobID(0), testJobID(1), testJobID(2))
			time.Sleep(3 * time.Second)
		}},
		{"two leaders later", func(m *scenario, workers []string) {
			m.crashController(m.leaderIndex(), 6*time.Second)
			time.Sleep(10 * time.Second)
		}},
	} {
		for _, duration := range []time.Duration{24 * time.Second, 28 * time.Second, 90 * time.Second} { // tasks end about when it is sent, or run on
			t.Run(fmt.Sprint(tc.name, ", tasks of ", duration), func(t *testing.T) {
				t.Parallel()
				runFaultPlan(t, faultPlan{seed: 13, teamCPULimit: 20, jobs: arrays(12, 3, duration, nil), recovery: 330 * time.Second, faults: func(m *scenario) {
					workers := m.busyWorkers()
					m.injectWorkerFault(workers, 7*time.Second, holdNextHeartbeat) // held, and newer ones have come
					m.crashController(m.initialLeader, 6*time.Second)
					tc.beforeDelivery(m, workers)
					delivered := m.deliverHeldHeartbeats(workers)
					if delivered == 0 {
						m.Error("no report was held back")
					}
				}})
			})
		}
	}
}

// Transactions without an answer are carried out seconds later, after newer ones of the
// same controller: while tasks are placed, end, are cancelled, and leaders change.
func TestLateTransactions(t *testing.T) {
	for _, tc := range []struct {
		name            string
		concurrentFault func(m *scenario)
	}{
		{"tasks are placed and end", func(m *scenario) { time.Sleep(40 * time.Second) }},
		{"jobs are withdrawn", func(m *scenario) {
			m.cancelRepeatedly(m.initialLeader, cancelTimeout, testJobID(0), testJobID(1), testJobID(2), testJobID(3))
		}},
		{"the leader ends", func(m *scenario) { m.crashController(m.initialLeader, 5*time.Second); time.Sleep(20 * time.Second) }},
		{"the leader is refused alone", func(m *scenario) {
			m.store.refuseController(controllerName(m.initialLeader), true)
			time.Sleep(20 * time.Second)
			m.store.refuseController(controllerName(m.initialLeader), false)
		}},
		{"machines come and go", func(m *scenario) { m.partition(m.randomWorkers(0.5), m.controllerNames(), leaseDuration+8*time.Second) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 14, teamCPULimit: 20, jobs: arrays(14, 3, 12*time.Second, nil), faults: func(m *scenario) {
				m.store.delayTransactions(0.5)
				tc.concurrentFault(m)
				m.store.delayTransactions(0)
				time.Sleep(12 * time.Second) // the last is carried out
			}})
		})
	}
}

// Old heartbeats come again after newer ones, also from an earlier session or attempt.
func TestDuplicatedHeartbeats(t *testing.T) {
	for _, tc := range []struct {
		name            string
		concurrentFault func(m *scenario)
	}{
		{"tasks come and go", func(m *scenario) { time.Sleep(60 * time.Second) }},
		{"sessions end", func(m *scenario) { m.partition(m.randomWorkers(0.7), m.controllerNames(), leaseDuration+5*time.Second) }},
		{"the leader ends", func(m *scenario) { m.crashController(m.initialLeader, 8*time.Second) }},
		{"machines die", func(m *scenario) {
			for _, worker := range m.randomWorkers(0.4) {
				m.cloud.killInstance(worker)
			}
			time.Sleep(40 * time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 15, teamCPULimit: 20, jobs: arrays(14, 3, 12*time.Second, nil), faults: func(m *scenario) {
				m.w.duplicateHeartbeats(0.6)
				concurrently(func() { tc.concurrentFault(m) }, func() {
					for i := range 6 {
						time.Sleep(4 * time.Second)
						m.cancelRepeatedly((m.initialLeader+1)%controllerCount, cancelTimeout, testJobID(i))
					}
				})
				m.w.duplicateHeartbeats(0)
				time.Sleep(2 * leaseDuration)
			}})
		})
	}
}
