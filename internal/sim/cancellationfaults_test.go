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

// Jobs are cancelled at the very moment at which the store refuses the leader, and
// a second later it is out for all, for longer than cancelled tasks may stay.
func TestCancelAsStoreRefusesLeader(t *testing.T) {
	type testCase struct {
		name string
		cancelAfter   time.Duration // of the first request, from the refusal on
		outageAfter time.Duration // from the refusal to the outage
		controllerOffset   int           // the controller asked, counted from the leader
		clusterSize int
		concurrentFault func(m *scenario) // beside it
	}
	var testCases []testCase
	for at := -500 * time.Millisecond; at <= 1500*time.Millisecond; at += 100 * time.Millisecond {
		for offset, via := range []string{"the leader", "the next", "a third"} {
			testCases = append(testCases, testCase{fmt.Sprintf("%v, by %s", at, via), at, time.Second, offset, controllerCount, nil})
		}
	}
	// Who confirmed ends, or freezes, right after.
	crashConfirming := func(downtime time.Duration) func(m *scenario) {
		return func(m *scenario) {
			time.Sleep(1100 * time.Millisecond)
			m.crashController((m.initialLeader+1)%m.w.clusterSize, downtime)
		}
	}
	testCases = append(testCases,
		testCase{"who confirmed ends", 200 * time.Millisecond, time.Second, 1, controllerCount, crashConfirming(8 * time.Second)},
		testCase{"who confirmed is back at once", 200 * time.Millisecond, time.Second, 1, controllerCount, crashConfirming(100 * time.Millisecond)},
		testCase{"the old leader is back within a second", 0, time.Second, 1, controllerCount, func(m *scenario) {
			time.Sleep(3 * time.Second)
			m.crashController(m.initialLeader, 500*time.Millisecond)
		}},
		testCase{"all end, and one returns", 0, time.Second, 1, controllerCount, func(m *scenario) {
			time.Sleep(3 * time.Second)
			m.restartControllers(300*time.Millisecond, (m.initialLeader+2)%controllerCount)
			time.Sleep(20 * time.Second)
			for n := range controllerCount {
				if m.processes[n].hasExited() {
					m.processes[n] = m.w.boot(n)
				}
			}
		}},
		testCase{"peers can't reach the leader", 0, time.Second, 1, controllerCount, func(m *scenario) {
			m.partition([]string{controllerName(m.initialLeader)}, []string{controllerName((m.initialLeader + 1) % controllerCount)}, 60*time.Second)
		}},
		testCase{"five controllers", 0, time.Second, 2, 5, nil},
		testCase{"five controllers, one dead", 0, time.Second, 2, 5, func(m *scenario) { m.crashController((m.initialLeader+3)%5, 60*time.Second) }},
		testCase{"two are told at once", 100 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			time.Sleep(100 * time.Millisecond)
			m.cancelRepeatedly((m.initialLeader+2)%controllerCount, 10*time.Second, testJobID(0), testJobID(1), testJobID(2), testJobID(3))
		}},
		testCase{"told by a submission sent again", 100 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			m.w.mu.Lock()
			m.w.shouldResubmit = func(r string) bool { return r <= testJobID(3) && m.w.cancelledAt[r].IsZero() && m.w.cancelRequested[r] }
			m.w.mu.Unlock()
		}},
		testCase{"the state service is slow", 100 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			m.store.respondSlowly(600 * time.Millisecond)
			time.Sleep(time.Second)
			m.store.respondSlowly(0)
		}},
		testCase{"transactions are late", -200 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			m.store.delayTransactions(0.5)
			time.Sleep(time.Second)
			m.store.delayTransactions(0)
		}},
		testCase{"tasks are just being launched", 0, time.Second, 1, controllerCount, func(m *scenario) {
			for i := range 4 {
				m.w.submit(m.ctx, array(20+i, 3, 150*time.Second), 0, 0)
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
						m.cancelRepeatedly((m.initialLeader+tc.controllerOffset)%m.w.clusterSize, 3*cancelTimeout, testJobID(0), testJobID(1), testJobID(2), testJobID(3))
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

// A cancellation, a question and a repeated submission meet the end of a job's last task, at
// each moment around it, with no other fault: exactly one of done and cancelled is told,
// the same by every controller ever after, and done is told in time.
func TestRequestsAroundLastTaskEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		request  func(m *scenario, n int, jobID string) (status int, phase string)
	}{
		{"a withdrawal", func(m *scenario, n int, jobID string) (int, string) {
			return m.requestPhase(n, "POST", "/v1/jobs/"+jobID+"/withdraw", nil)
		}},
		{"a question", func(m *scenario, n int, jobID string) (int, string) { return m.requestPhase(n, "GET", "/v1/jobs/"+jobID, nil) }},
		{"a submission sent again", func(m *scenario, n int, jobID string) (int, string) {
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
							m.w.mu.Lock()
							startedAt = m.w.firstStart[jobID]
							m.w.mu.Unlock()
							time.Sleep(20 * time.Millisecond)
						}
						endsAt := startedAt.Add(20 * time.Second)
						time.Sleep(time.Until(endsAt.Add(time.Duration(i-8) * 50 * time.Millisecond)))
						if tc.name == "a withdrawal" {
							m.w.mu.Lock()
							m.w.cancelRequested[jobID] = true
							m.w.mu.Unlock()
						}
						var finalPhase string
						checkAnswer := func(status int, phase string) {
							if status != 200 || phase != wire.PhaseDone && phase != wire.PhaseCancelled {
								if finalPhase != "" && phase != "" {
									m.Errorf("%s: %q after %q", jobID, phase, finalPhase)
								}
								return
							}
							if finalPhase != "" && finalPhase != phase {
								m.Errorf("%s: %s and %s", jobID, finalPhase, phase)
							}
							finalPhase = phase
						}
						checkAnswer(tc.request(m, i%controllerCount, jobID))
						for k := range 12 {
							time.Sleep(300 * time.Millisecond)
							checkAnswer(m.requestPhase((i+k)%controllerCount, "GET", "/v1/jobs/"+jobID, nil))
						}
						if finalPhase == "" && time.Since(endsAt) > 3*time.Second {
							m.Errorf("%s: no end is told %v after its last task", jobID, time.Since(endsAt))
						}
					})
				}
				wg.Wait()
			}})
		})
	}
}

// Without faults no task starts once its user was told that its job is cancelled: not
// one whose image is being fetched, nor one whose launch is on its way.
func TestNoStartAfterCancellation(t *testing.T) {
	for offset, via := range []string{"the leader", "the next", "a third"} {
		t.Run("by "+via, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 17, teamCPULimit: 400, maxInstances: 24, recovery: 60 * time.Second, jobs: arrays(1, 2, 300*time.Second, nil), faults: func(m *scenario) {
				var steps []func()
				var mu sync.Mutex
				var latencies []time.Duration
				for i := range 100 { // they start about a second after they were accepted
					steps = append(steps, func() {
						jobID := testJobID(100 + i)
						time.Sleep(time.Duration(i) * heartbeatInterval / 16) // at the pace of the state service
						m.w.submit(m.ctx, array(100+i, 2, 60*time.Second), 0, 0)
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
				m.Logf("a withdrawal was told after %v, at most %v", latencies[len(latencies)/2], latencies[len(latencies)-1])
				if longest := latencies[len(latencies)-1]; longest > time.Second {
					m.Errorf("a withdrawal was told after %v", longest)
				}
				m.cancelRepeatedly(m.initialLeader, 20*time.Second, testJobID(0))
			}, check: func(m *scenario) {
				m.w.mu.Lock()
				defer m.w.mu.Unlock()
				if n := len(m.w.lateStarts); n > 0 {
					m.Errorf("%d of %d starts came after the withdrawal was told, the latest %v after", n, m.w.starts, slices.Max(m.w.lateStarts))
				}
				if m.w.starts < 40 {
					m.Errorf("%d starts: the moments are off", m.w.starts)
				}
			}})
		})
	}
}

// A cancellation that the leader heard of from another controller, ahead of the store,
// is in all copies nevertheless: the store loses all, and who took the cancellation has
// ended. Taken for known, it was not read, and the job came back to life.
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
		store.refuseController(controllerName(leader), true) // for a moment: it leads on
		for i := range jobs {
			if !m.cancelJob(other, testJobID(i)) {
				t.Fatalf("%s was not withdrawn", testJobID(i))
			}
		}
		store.refuseController(controllerName(leader), false)
		time.Sleep(heartbeatInterval / 6) // the copies are told, and not yet checked against what is stored
		controllers[other].crash()
		store.loseData(allKeysLost, 0, "")
		time.Sleep(time.Second)
		controllers[other] = w.boot(other)
		time.Sleep(90 * time.Second)
		end()
		for _, b := range w.violations {
			t.Error(b)
		}
		for i := range jobs {
			if w.lastPhase[testJobID(i)] != wire.PhaseCancelled {
				t.Errorf("%s is %q", testJobID(i), w.lastPhase[testJobID(i)])
			}
		}
	})
}

// Users submit again what is not done, withdraw what is done, and send what can't be taken
// or run, also while the leader changes or the store is out.
func TestInvalidRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		concurrentFault func(m *scenario)
	}{
		{"alone", func(m *scenario) { time.Sleep(40 * time.Second) }},
		{"in an outage", func(m *scenario) {
			m.store.setOutage(true)
			time.Sleep(20 * time.Second)
			m.store.setOutage(false)
		}},
		{"the leader is refused alone", func(m *scenario) {
			m.store.refuseController(controllerName(m.initialLeader), true)
			time.Sleep(20 * time.Second)
			m.store.refuseController(controllerName(m.initialLeader), false)
		}},
		{"all end and return", func(m *scenario) { m.restartControllers(2*time.Second, 0, 1, 2) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 16, jobs: arrays(10, 3, 15*time.Second, nil), faults: func(m *scenario) {
				concurrently(func() { m.w.sendInvalidRequests(m.ctx, 60*time.Second) }, func() { time.Sleep(5 * time.Second); tc.concurrentFault(m) })
			}})
		})
	}
}
