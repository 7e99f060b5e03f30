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
	type row struct {
		name string
		at   time.Duration // of the first request, from the refusal on
		then time.Duration // from the refusal to the outage
		by   int           // the controller asked, counted from the leader
		size int
		also func(m *scenario) // beside it
	}
	var rows []row
	for at := -500 * time.Millisecond; at <= 1500*time.Millisecond; at += 100 * time.Millisecond {
		for by, who := range []string{"the leader", "the next", "a third"} {
			rows = append(rows, row{fmt.Sprintf("%v, by %s", at, who), at, time.Second, by, controllerCount, nil})
		}
	}
	// Who confirmed ends, or freezes, right after.
	ends := func(back time.Duration) func(m *scenario) {
		return func(m *scenario) {
			time.Sleep(1100 * time.Millisecond)
			m.crashController((m.initialLeader+1)%m.w.clusterSize, back)
		}
	}
	rows = append(rows,
		row{"who confirmed ends", 200 * time.Millisecond, time.Second, 1, controllerCount, ends(8 * time.Second)},
		row{"who confirmed is back at once", 200 * time.Millisecond, time.Second, 1, controllerCount, ends(100 * time.Millisecond)},
		row{"the old leader is back within a second", 0, time.Second, 1, controllerCount, func(m *scenario) {
			time.Sleep(3 * time.Second)
			m.crashController(m.initialLeader, 500*time.Millisecond)
		}},
		row{"all end, and one returns", 0, time.Second, 1, controllerCount, func(m *scenario) {
			time.Sleep(3 * time.Second)
			m.restartControllers(300*time.Millisecond, (m.initialLeader+2)%controllerCount)
			time.Sleep(20 * time.Second)
			for n := range controllerCount {
				if m.processes[n].hasExited() {
					m.processes[n] = m.w.boot(n)
				}
			}
		}},
		row{"peers can't reach the leader", 0, time.Second, 1, controllerCount, func(m *scenario) {
			m.partition([]string{controllerName(m.initialLeader)}, []string{controllerName((m.initialLeader + 1) % controllerCount)}, 60*time.Second)
		}},
		row{"five controllers", 0, time.Second, 2, 5, nil},
		row{"five controllers, one dead", 0, time.Second, 2, 5, func(m *scenario) { m.crashController((m.initialLeader+3)%5, 60*time.Second) }},
		row{"two are told at once", 100 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			time.Sleep(100 * time.Millisecond)
			m.cancelRepeatedly((m.initialLeader+2)%controllerCount, 10*time.Second, testJobID(0), testJobID(1), testJobID(2), testJobID(3))
		}},
		row{"told by a submission sent again", 100 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			m.w.mu.Lock()
			m.w.shouldResubmit = func(r string) bool { return r <= testJobID(3) && m.w.cancelledAt[r].IsZero() && m.w.cancelRequested[r] }
			m.w.mu.Unlock()
		}},
		row{"the state service is slow", 100 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			m.store.respondSlowly(600 * time.Millisecond)
			time.Sleep(time.Second)
			m.store.respondSlowly(0)
		}},
		row{"transactions are late", -200 * time.Millisecond, time.Second, 1, controllerCount, func(m *scenario) {
			m.store.delayTransactions(0.5)
			time.Sleep(time.Second)
			m.store.delayTransactions(0)
		}},
		row{"tasks are just being launched", 0, time.Second, 1, controllerCount, func(m *scenario) {
			for i := range 4 {
				m.w.submit(m.ctx, array(20+i, 3, 150*time.Second), 0, 0)
			}
			time.Sleep(1500 * time.Millisecond)
			m.cancelRepeatedly((m.initialLeader+1)%controllerCount, 10*time.Second, testJobID(20), testJobID(21), testJobID(22), testJobID(23))
		}},
	)
	for _, tc := range rows {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 5, clusterSize: tc.size, jobs: arrays(8, 2, 200*time.Second, nil), recovery: 330 * time.Second, faults: func(m *scenario) {
				refused := time.Now()
				if tc.at < 0 {
					refused = refused.Add(-tc.at)
				}
				fs := []func(){
					func() {
						time.Sleep(time.Until(refused))
						m.store.refuseController(controllerName(m.initialLeader), true)
						time.Sleep(tc.then)
						m.store.setOutage(true)
						time.Sleep(2 * cancelTimeout)
						m.store.setOutage(false)
						m.store.refuseController(controllerName(m.initialLeader), false)
					},
					func() {
						time.Sleep(time.Until(refused.Add(tc.at)))
						m.cancelRepeatedly((m.initialLeader+tc.by)%m.w.clusterSize, 3*cancelTimeout, testJobID(0), testJobID(1), testJobID(2), testJobID(3))
					},
				}
				if tc.also != nil {
					fs = append(fs, func() { tc.also(m) })
				}
				concurrently(fs...)
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
		ask  func(m *scenario, n int, r string) (status int, phase string)
	}{
		{"a withdrawal", func(m *scenario, n int, r string) (int, string) {
			return m.requestPhase(n, "POST", "/v1/jobs/"+r+"/withdraw", nil)
		}},
		{"a question", func(m *scenario, n int, r string) (int, string) { return m.requestPhase(n, "GET", "/v1/jobs/"+r, nil) }},
		{"a submission sent again", func(m *scenario, n int, r string) (int, string) {
			return m.requestPhase(n, "POST", "/v1/jobs", validSubmission(r))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const moments = 40 // from 400 ms before the end, in steps of 50 ms
			jobs := arrays(moments, 1, 20*time.Second, func(i int, j *wire.Job) { j.CPUs = 0.5 })
			runFaultPlan(t, faultPlan{seed: 6, jobs: jobs, recovery: 60 * time.Second, faults: func(m *scenario) {
				var wg sync.WaitGroup
				for i := range moments {
					wg.Go(func() {
						r := testJobID(i)
						var at time.Time
						for at.IsZero() {
							m.w.mu.Lock()
							at = m.w.firstStart[r]
							m.w.mu.Unlock()
							time.Sleep(20 * time.Millisecond)
						}
						end := at.Add(20 * time.Second)
						time.Sleep(time.Until(end.Add(time.Duration(i-8) * 50 * time.Millisecond)))
						if tc.name == "a withdrawal" {
							m.w.mu.Lock()
							m.w.cancelRequested[r] = true
							m.w.mu.Unlock()
						}
						var over string
						see := func(status int, phase string) {
							if status != 200 || phase != wire.PhaseDone && phase != wire.PhaseCancelled {
								if over != "" && phase != "" {
									m.Errorf("%s: %q after %q", r, phase, over)
								}
								return
							}
							if over != "" && over != phase {
								m.Errorf("%s: %s and %s", r, over, phase)
							}
							over = phase
						}
						see(tc.ask(m, i%controllerCount, r))
						for k := range 12 {
							time.Sleep(300 * time.Millisecond)
							see(m.requestPhase((i+k)%controllerCount, "GET", "/v1/jobs/"+r, nil))
						}
						if over == "" && time.Since(end) > 3*time.Second {
							m.Errorf("%s: no end is told %v after its last task", r, time.Since(end))
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
	for by, who := range []string{"the leader", "the next", "a third"} {
		t.Run("by "+who, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, faultPlan{seed: 17, teamCPULimit: 400, maxInstances: 24, recovery: 60 * time.Second, jobs: arrays(1, 2, 300*time.Second, nil), faults: func(m *scenario) {
				var fs []func()
				var mu sync.Mutex
				var waits []time.Duration
				for i := range 100 { // they start about a second after they were accepted
					fs = append(fs, func() {
						r := testJobID(100 + i)
						time.Sleep(time.Duration(i) * heartbeatInterval / 16) // at the pace of the state service
						m.w.submit(m.ctx, array(100+i, 2, 60*time.Second), 0, 0)
						time.Sleep(time.Duration(500+10*i) * time.Millisecond)
						asked := time.Now()
						m.cancelRepeatedly((m.initialLeader+by)%controllerCount, 20*time.Second, r)
						mu.Lock()
						defer mu.Unlock()
						waits = append(waits, time.Since(asked))
					})
				}
				concurrently(fs...)
				slices.Sort(waits)
				m.Logf("a withdrawal was told after %v, at most %v", waits[len(waits)/2], waits[len(waits)-1])
				if most := waits[len(waits)-1]; most > time.Second {
					m.Errorf("a withdrawal was told after %v", most)
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
		also func(m *scenario)
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
				concurrently(func() { m.w.sendInvalidRequests(m.ctx, 60*time.Second) }, func() { time.Sleep(5 * time.Second); tc.also(m) })
			}})
		})
	}
}
