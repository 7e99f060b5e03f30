package sim

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

// Guards against cancelled tasks that run on past the cancel timeout. Jobs are cancelled
// around the moment at which the store starts to refuse the leader, and a second later the
// store fails for all controllers, for longer than the timeout.
func TestCancelAsStoreRefusesLeader(t *testing.T) {
	type testCase struct {
		name             string
		cancelAfter      time.Duration // from the refusal to the first cancellation
		outageAfter      time.Duration // from the refusal to the store outage
		controllerOffset int           // index of the controller asked to cancel, relative to the leader
		clusterSize      int
		concurrentFault  func(m *scenario) // nil: none
	}
	var testCases []testCase
	for at := -500 * time.Millisecond; at <= 1500*time.Millisecond; at += 100 * time.Millisecond {
		for offset, via := range []string{"the leader", "the next controller", "a third controller"} {
			testCases = append(testCases, testCase{fmt.Sprintf("%v after the refusal, by %s", at, via), at, time.Second, offset, controllerCount, nil})
		}
	}
	// crashConfirming crashes the controller that confirmed the cancellations, right afterwards.
	crashConfirming := func(downtime time.Duration) func(m *scenario) {
		return func(m *scenario) {
			time.Sleep(1100 * time.Millisecond)
			m.crashController((m.initialLeader+1)%m.world.clusterSize, downtime)
		}
	}
	testCases = append(testCases,
		testCase{"confirming controller crashes", 200 * time.Millisecond, time.Second, 1, controllerCount, crashConfirming(8 * time.Second)},
		testCase{"confirming controller restarts at once", 200 * time.Millisecond, time.Second, 1, controllerCount, crashConfirming(100 * time.Millisecond)},
		testCase{"old leader restarts within a second", 0, time.Second, 1, controllerCount, func(m *scenario) {
			time.Sleep(3 * time.Second)
			m.crashController(m.initialLeader, 500*time.Millisecond)
		}},
		testCase{"all controllers crash, one restarts", 0, time.Second, 1, controllerCount, func(m *scenario) {
			time.Sleep(3 * time.Second)
			m.restartControllers(300*time.Millisecond, (m.initialLeader+2)%controllerCount)
			time.Sleep(20 * time.Second)
			for n := range controllerCount {
				if m.processes[n].hasExited() {
					m.processes[n] = m.world.boot(n)
				}
			}
		}},
		testCase{"a peer cannot reach the leader", 0, time.Second, 1, controllerCount, func(m *scenario) {
			m.partition([]string{controllerName(m.initialLeader)}, []string{controllerName((m.initialLeader + 1) % controllerCount)}, 60*time.Second)
		}},
		testCase{"five controllers", 0, time.Second, 2, 5, nil},
		testCase{"five controllers, one crashed", 0, time.Second, 2, 5, func(m *scenario) { m.crashController((m.initialLeader+3)%5, 60*time.Second) }},
		testCase{"cancelled through two controllers at once", 100 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			time.Sleep(100 * time.Millisecond)
			m.cancelRepeatedly((m.initialLeader+2)%controllerCount, 10*time.Second, testJobID(0), testJobID(1), testJobID(2), testJobID(3))
		}},
		testCase{"cancellation reported to a resubmission", 100 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			m.world.mu.Lock()
			m.world.shouldResubmit = func(r string) bool {
				return r <= testJobID(3) && m.world.cancelledAt[r].IsZero() && m.world.cancelRequested[r]
			}
			m.world.mu.Unlock()
		}},
		testCase{"slow store", 100 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			m.store.respondSlowly(600 * time.Millisecond)
			time.Sleep(time.Second)
			m.store.respondSlowly(0)
		}},
		testCase{"late transactions", -200 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			m.store.delayTransactions(0.5)
			time.Sleep(time.Second)
			m.store.delayTransactions(0)
		}},
		testCase{"tasks being launched", 0, time.Second, 1, controllerCount, func(m *scenario) {
			for i := range 4 {
				m.world.submit(m.ctx, array(20+i, 3, 150*time.Second), 0, 0)
			}
			time.Sleep(1500 * time.Millisecond)
			m.cancelRepeatedly((m.initialLeader+1)%controllerCount, 10*time.Second, testJobID(20), testJobID(21), testJobID(22), testJobID(23))
		}},
	)
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 5, clusterSize: tc.clusterSize, jobs: arrays(8, 2, 200*time.Second, nil), recovery: 330 * time.Second, faults: func(m *scenario) {
				refusedAt := time.Now()
				if tc.cancelAfter < 0 {
					refusedAt = refusedAt.Add(-tc.cancelAfter)
				}
				steps := []func(){
					func() {
						time.Sleep(time.Until(refusedAt))
						m.store.refuseController(controllerName(m.initialLeader), true)
						time.Sleep(tc.outageAfter)
						m.store.setOutage(true)
						time.Sleep(2 * cancelTimeout)
						m.store.setOutage(false)
						m.store.refuseController(controllerName(m.initialLeader), false)
					},
					func() {
						time.Sleep(time.Until(refusedAt.Add(tc.cancelAfter)))
						m.cancelRepeatedly((m.initialLeader+tc.controllerOffset)%m.world.clusterSize, 3*cancelTimeout, testJobID(0), testJobID(1), testJobID(2), testJobID(3))
					},
				}
				if tc.concurrentFault != nil {
					steps = append(steps, func() { tc.concurrentFault(m) })
				}
				concurrently(steps...)
			}})
		})
	}
}

// Guards against calling jobs queued that need, directly or through others, a job of whose
// cancellation its user was told more than the cancel timeout ago. The store fails right after the
// cancellation, so that the leader can cancel the dependents only after the outage.
func TestDependentsCancelledAcrossOutage(t *testing.T) {
	const dependents = 100
	for _, tc := range []struct {
		name         string
		dependsOn    func(i int) string // the ID of the job that dependent i depends on
		duringOutage func(m *scenario)
	}{
		{"direct dependents", func(int) string { return testJobID(0) }, nil},
		{"chains of ten", func(i int) string {
			if i%10 == 1 {
				return testJobID(0)
			}
			return testJobID(i - 1)
		}, nil},
		{"a follower restarts", func(int) string { return testJobID(0) }, func(m *scenario) {
			m.crashController((m.initialLeader+2)%controllerCount, time.Second)
		}},
		{"the leader restarts", func(int) string { return testJobID(0) }, func(m *scenario) {
			m.crashController(m.initialLeader, time.Second)
		}},
		{"all controllers restart", func(int) string { return testJobID(0) }, func(m *scenario) {
			m.restartControllers(time.Second, 0, 1, 2)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			jobs := arrays(dependents+1, 1, 300*time.Second, func(i int, job *wire.Job) {
				if i > 0 {
					job.DependsOn = []string{tc.dependsOn(i)}
				}
			})
			runFaultPlan(t, faultPlan{seed: 31, jobs: jobs, recovery: 60 * time.Second, faults: func(m *scenario) {
				m.store.refuseController(controllerName(m.initialLeader), true)
				m.cancelRepeatedly((m.initialLeader+1)%controllerCount, time.Second, testJobID(0))
				toldAt := time.Now()
				time.Sleep(time.Second)
				m.store.setOutage(true)
				m.store.refuseController(controllerName(m.initialLeader), false)
				if tc.duringOutage != nil {
					tc.duringOutage(m)
				}
				time.Sleep(time.Until(toldAt.Add(cancelTimeout + 5*time.Second)))
				m.store.setOutage(false)
				m.checkCancelledFromNowOn(20*time.Second, testJobID(1), testJobID(10), testJobID(dependents/2), testJobID(dependents))
			}})
		})
	}
}

// checkCancelledFromNowOn polls jobs at all controllers every 50 ms. No controller may call one of them
// anything but cancelled, and in the end every controller must.
func (m *scenario) checkCancelledFromNowOn(duration time.Duration, jobIDs ...string) {
	var steps []func()
	for controller := range m.world.clusterSize {
		for _, jobID := range jobIDs {
			steps = append(steps, func() {
				phase := ""
				for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
					if _, phase = m.requestPhase(controller, "GET", "/v1/jobs/"+jobID, nil); phase != "" && phase != wire.PhaseCancelled {
						m.Errorf("job %s is called %s by controller %d, want cancelled", jobID, phase, controller)
						return
					}
				}
				if phase != wire.PhaseCancelled {
					m.Errorf("job %s is called %q by controller %d at the end, want cancelled", jobID, phase, controller)
				}
			})
		}
	}
	concurrently(steps...)
}

// Guards against two final phases for one job. Without other faults, a cancellation, a
// status read or a resubmission arrives shortly before or after the end of the job's last
// task: every controller must report the same one of done and cancelled from then on,
// within 3 s.
func TestRequestsAroundLastTaskEnd(t *testing.T) {
	for _, tc := range []struct {
		name    string
		request func(m *scenario, n int, jobID string) (status int, phase string)
	}{
		{"a cancellation", func(m *scenario, n int, jobID string) (int, string) {
			return m.requestPhase(n, "POST", "/v1/jobs/"+jobID+"/withdraw", nil)
		}},
		{"a status read", func(m *scenario, n int, jobID string) (int, string) {
			return m.requestPhase(n, "GET", "/v1/jobs/"+jobID, nil)
		}},
		{"a resubmission", func(m *scenario, n int, jobID string) (int, string) {
			return m.requestPhase(n, "POST", "/v1/jobs", validSubmission(jobID))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const offsets = 40 // from 400 ms before the end, in steps of 50 ms
			jobs := arrays(offsets, 1, 20*time.Second, func(i int, j *wire.Job) { j.CPUs = 0.5 })
			runFaultPlan(t, faultPlan{seed: 6, jobs: jobs, recovery: 60 * time.Second, faults: func(m *scenario) {
				var wg sync.WaitGroup
				for i := range offsets {
					wg.Go(func() {
						jobID := testJobID(i)
						var startedAt time.Time
						for startedAt.IsZero() {
							m.world.mu.Lock()
							startedAt = m.world.firstStart[jobID]
							m.world.mu.Unlock()
							time.Sleep(20 * time.Millisecond)
						}
						endsAt := startedAt.Add(20 * time.Second)
						time.Sleep(time.Until(endsAt.Add(time.Duration(i-8) * 50 * time.Millisecond)))
						if tc.name == "a cancellation" {
							m.world.mu.Lock()
							m.world.cancelRequested[jobID] = true
							m.world.mu.Unlock()
						}
						var finalPhase string
						checkResponse := func(status int, phase string) {
							if status != 200 || phase != wire.PhaseDone && phase != wire.PhaseCancelled {
								if finalPhase != "" && phase != "" {
									m.Errorf("job %s: got phase %q after %q", jobID, phase, finalPhase)
								}
								return
							}
							if finalPhase != "" && finalPhase != phase {
								m.Errorf("job %s: reported %s, then %s", jobID, finalPhase, phase)
							}
							finalPhase = phase
						}
						checkResponse(tc.request(m, i%controllerCount, jobID))
						for k := range 12 {
							time.Sleep(300 * time.Millisecond)
							checkResponse(m.requestPhase((i+k)%controllerCount, "GET", "/v1/jobs/"+jobID, nil))
						}
						if finalPhase == "" && time.Since(endsAt) > 3*time.Second {
							m.Errorf("job %s: no final phase reported %v after its last task ended", jobID, time.Since(endsAt))
						}
					})
				}
				wg.Wait()
			}})
		})
	}
}

// Guards against tasks that start after their job's cancellation was confirmed, without
// any fault: tasks whose image is still being fetched, or whose start command is in flight.
func TestNoStartAfterCancellation(t *testing.T) {
	for offset, via := range []string{"the leader", "the next controller", "a third controller"} {
		t.Run("through "+via, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 17, teamCPULimit: 400, maxInstances: 24, recovery: 60 * time.Second, jobs: arrays(1, 2, 300*time.Second, nil), faults: func(m *scenario) {
				var steps []func()
				var mu sync.Mutex
				var latencies []time.Duration
				for i := range 100 { // their tasks start about a second after acceptance
					steps = append(steps, func() {
						jobID := testJobID(100 + i)
						time.Sleep(time.Duration(i) * heartbeatInterval / 16) // spaced out for the store's write rate
						m.world.submit(m.ctx, array(100+i, 2, 60*time.Second), 0, 0)
						time.Sleep(time.Duration(500+10*i) * time.Millisecond)
						requestedAt := time.Now()
						m.cancelRepeatedly((m.initialLeader+offset)%controllerCount, 20*time.Second, jobID)
						mu.Lock()
						defer mu.Unlock()
						latencies = append(latencies, time.Since(requestedAt))
					})
				}
				concurrently(steps...)
				slices.Sort(latencies)
				m.Logf("cancellations were confirmed after %v (median), %v (maximum)", latencies[len(latencies)/2], latencies[len(latencies)-1])
				if longest := latencies[len(latencies)-1]; longest > time.Second {
					m.Errorf("a cancellation was confirmed after %v, want at most 1 s", longest)
				}
				m.cancelRepeatedly(m.initialLeader, 20*time.Second, testJobID(0))
			}, check: func(m *scenario) {
				m.world.mu.Lock()
				defer m.world.mu.Unlock()
				if n := len(m.world.lateStarts); n > 0 {
					m.Errorf("%d of %d task starts came after the confirmed cancellation, the latest %v after it", n, m.world.starts, slices.Max(m.world.lateStarts))
				}
				if m.world.starts < 40 {
					m.Errorf("got %d task starts, want at least 40: the cancellations come too early", m.world.starts)
				}
			}})
		})
	}
}

// Guards against a cancelled job that runs again after data loss. The leader learned of the
// cancellation from a peer before reading it from the store and, as it already knew of it,
// did not replicate it. Then the peer crashed and the store lost all keys.
func TestCancellationReplicatedBeforeStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w, store, cloud, controllers, end := startWorld(t, 7, 40, 6, "")
		m := newScenario(t, ctx, w, store, cloud, controllers)
		const jobs = 6
		for i := range jobs {
			w.submit(ctx, wire.Job{ID: testJobID(i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindService, Priority: "production", TaskCount: 2, CPUs: 1, MemoryGB: 1, Image: "img"}, 0, time.Hour)
		}
		time.Sleep(25 * time.Second)
		leader := store.leaderIndex()
		other := (leader + 1) % controllerCount
		store.refuseController(controllerName(leader), true) // too short for a leader change
		for i := range jobs {
			if !m.cancelJob(other, testJobID(i)) {
				t.Fatalf("job %s was not cancelled", testJobID(i))
			}
		}
		store.refuseController(controllerName(leader), false)
		time.Sleep(heartbeatInterval / 6) // the replicas are updated, but not yet compared with the store
		controllers[other].crash()
		store.loseData(allKeysLost, 0, "")
		time.Sleep(time.Second)
		controllers[other] = w.boot(other)
		time.Sleep(90 * time.Second)
		end()
		for _, violation := range w.violations {
			t.Error(violation)
		}
		for i := range jobs {
			if w.lastPhase[testJobID(i)] != wire.PhaseCancelled {
				t.Errorf("job %s is %q, want cancelled", testJobID(i), w.lastPhase[testJobID(i)])
			}
		}
	})
}

// Guards against wrong responses to unusual requests: resubmissions with other content,
// cancellations of jobs that are done, and malformed or unrunnable submissions, also
// while the leader changes or the store is unavailable.
func TestInvalidRequests(t *testing.T) {
	for _, tc := range []struct {
		name            string
		concurrentFault func(m *scenario)
	}{
		{"no fault", func(m *scenario) { time.Sleep(40 * time.Second) }},
		{"store outage", func(m *scenario) {
			m.store.setOutage(true)
			time.Sleep(20 * time.Second)
			m.store.setOutage(false)
		}},
		{"store refuses the leader", func(m *scenario) {
			m.store.refuseController(controllerName(m.initialLeader), true)
			time.Sleep(20 * time.Second)
			m.store.refuseController(controllerName(m.initialLeader), false)
		}},
		{"all controllers restart", func(m *scenario) { m.restartControllers(2*time.Second, 0, 1, 2) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 16, jobs: arrays(10, 3, 15*time.Second, nil), faults: func(m *scenario) {
				concurrently(func() { m.world.sendInvalidRequests(m.ctx, 60*time.Second) }, func() { time.Sleep(5 * time.Second); tc.concurrentFault(m) })
			}})
		})
	}
}
