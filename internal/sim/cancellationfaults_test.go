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
func TestWithdrawnAtTheRefusal(t *testing.T) {
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
			rows = append(rows, row{fmt.Sprintf("%v, by %s", at, who), at, time.Second, by, nodes, nil})
		}
	}
	// Who confirmed ends, or freezes, right after.
	ends := func(back time.Duration) func(m *scenario) {
		return func(m *scenario) {
			time.Sleep(1100 * time.Millisecond)
			m.crashController((m.leader+1)%m.w.size, back)
		}
	}
	rows = append(rows,
		row{"who confirmed ends", 200 * time.Millisecond, time.Second, 1, nodes, ends(8 * time.Second)},
		row{"who confirmed is back at once", 200 * time.Millisecond, time.Second, 1, nodes, ends(100 * time.Millisecond)},
		row{"the old leader is back within a second", 0, time.Second, 1, nodes, func(m *scenario) {
			time.Sleep(3 * time.Second)
			m.crashController(m.leader, 500*time.Millisecond)
		}},
		row{"all end, and one returns", 0, time.Second, 1, nodes, func(m *scenario) {
			time.Sleep(3 * time.Second)
			m.restartControllers(300*time.Millisecond, (m.leader+2)%nodes)
			time.Sleep(20 * time.Second)
			for n := range nodes {
				if m.cs[n].ended() {
					m.cs[n] = m.w.boot(n)
				}
			}
		}},
		row{"peers can't reach the leader", 0, time.Second, 1, nodes, func(m *scenario) {
			m.partition([]string{name(m.leader)}, []string{name((m.leader + 1) % nodes)}, 60*time.Second)
		}},
		row{"five controllers", 0, time.Second, 2, 5, nil},
		row{"five controllers, one dead", 0, time.Second, 2, 5, func(m *scenario) { m.crashController((m.leader+3)%5, 60*time.Second) }},
		row{"two are told at once", 100 * time.Millisecond, time.Second, 1, nodes, func(m *scenario) {
			time.Sleep(100 * time.Millisecond)
			m.cancelRepeatedly((m.leader+2)%nodes, 10*time.Second, ref(0), ref(1), ref(2), ref(3))
		}},
		row{"told by a submission sent again", 100 * time.Millisecond, time.Second, 1, nodes, func(m *scenario) {
			m.w.mu.Lock()
			m.w.again = func(r string) bool { return r <= ref(3) && m.w.gone[r].IsZero() && m.w.asked[r] }
			m.w.mu.Unlock()
		}},
		row{"the state service is slow", 100 * time.Millisecond, time.Second, 1, nodes, func(m *scenario) {
			m.st.respondSlowly(600 * time.Millisecond)
			time.Sleep(time.Second)
			m.st.respondSlowly(0)
		}},
		row{"transactions are late", -200 * time.Millisecond, time.Second, 1, nodes, func(m *scenario) {
			m.st.delayTransactions(0.5)
			time.Sleep(time.Second)
			m.st.delayTransactions(0)
		}},
		row{"tasks are just being launched", 0, time.Second, 1, nodes, func(m *scenario) {
			for i := range 4 {
				m.w.submit(m.ctx, array(20+i, 3, 150*time.Second), 0, 0)
			}
			time.Sleep(1500 * time.Millisecond)
			m.cancelRepeatedly((m.leader+1)%nodes, 10*time.Second, ref(20), ref(21), ref(22), ref(23))
		}},
	)
	for _, tc := range rows {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			playFaults(t, faultPlan{seed: 5, size: tc.size, jobs: arrays(8, 2, 200*time.Second, nil), rest: 330 * time.Second, troubles: func(m *scenario) {
				refused := time.Now()
				if tc.at < 0 {
					refused = refused.Add(-tc.at)
				}
				fs := []func(){
					func() {
						time.Sleep(time.Until(refused))
						m.st.refuseAlone(name(m.leader), true)
						time.Sleep(tc.then)
						m.st.outage(true)
						time.Sleep(2 * cancel)
						m.st.outage(false)
						m.st.refuseAlone(name(m.leader), false)
					},
					func() {
						time.Sleep(time.Until(refused.Add(tc.at)))
						m.cancelRepeatedly((m.leader+tc.by)%m.w.size, 3*cancel, ref(0), ref(1), ref(2), ref(3))
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
func TestLastEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		ask  func(m *scenario, n int, r string) (status int, phase string)
	}{
		{"a withdrawal", func(m *scenario, n int, r string) (int, string) {
			return m.phase(n, "POST", "/v1/jobs/"+r+"/withdraw", nil)
		}},
		{"a question", func(m *scenario, n int, r string) (int, string) { return m.phase(n, "GET", "/v1/jobs/"+r, nil) }},
		{"a submission sent again", func(m *scenario, n int, r string) (int, string) {
			return m.phase(n, "POST", "/v1/jobs", soundBody(r))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const moments = 40 // from 400 ms before the end, in steps of 50 ms
			jobs := arrays(moments, 1, 20*time.Second, func(i int, j *wire.Job) { j.CPUs = 0.5 })
			playFaults(t, faultPlan{seed: 6, jobs: jobs, rest: 60 * time.Second, troubles: func(m *scenario) {
				var wg sync.WaitGroup
				for i := range moments {
					wg.Go(func() {
						r := ref(i)
						var at time.Time
						for at.IsZero() {
							m.w.mu.Lock()
							at = m.w.begun[r]
							m.w.mu.Unlock()
							time.Sleep(20 * time.Millisecond)
						}
						end := at.Add(20 * time.Second)
						time.Sleep(time.Until(end.Add(time.Duration(i-8) * 50 * time.Millisecond)))
						if tc.name == "a withdrawal" {
							m.w.mu.Lock()
							m.w.asked[r] = true
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
						see(tc.ask(m, i%nodes, r))
						for k := range 12 {
							time.Sleep(300 * time.Millisecond)
							see(m.phase((i+k)%nodes, "GET", "/v1/jobs/"+r, nil))
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
func TestNoStartAfterWithdrawal(t *testing.T) {
	for by, who := range []string{"the leader", "the next", "a third"} {
		t.Run("by "+who, func(t *testing.T) {
			t.Parallel()
			playFaults(t, faultPlan{seed: 17, limit: 400, most: 24, rest: 60 * time.Second, jobs: arrays(1, 2, 300*time.Second, nil), troubles: func(m *scenario) {
				var fs []func()
				var mu sync.Mutex
				var waits []time.Duration
				for i := range 100 { // they start about a second after they were accepted
					fs = append(fs, func() {
						r := ref(100 + i)
						time.Sleep(time.Duration(i) * report / 16) // at the pace of the state service
						m.w.submit(m.ctx, array(100+i, 2, 60*time.Second), 0, 0)
						time.Sleep(time.Duration(500+10*i) * time.Millisecond)
						asked := time.Now()
						m.cancelRepeatedly((m.leader+by)%nodes, 20*time.Second, r)
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
				m.cancelRepeatedly(m.leader, 20*time.Second, ref(0))
			}, ends: func(m *scenario) {
				m.w.mu.Lock()
				defer m.w.mu.Unlock()
				if n := len(m.w.late); n > 0 {
					m.Errorf("%d of %d starts came after the withdrawal was told, the latest %v after", n, m.w.starts, slices.Max(m.w.late))
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
func TestWithdrawalIsCopied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w, st, cl, cs, end := begin(t, 7, 40, 6, "")
		m := newScenario(t, ctx, w, st, cl, cs)
		const jobs = 6
		for i := range jobs {
			w.submit(ctx, wire.Job{ID: ref(i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindService, Priority: "production", TaskCount: 2, CPUs: 1, MemoryGB: 1, Image: "img"}, 0, time.Hour)
		}
		time.Sleep(25 * time.Second)
		leader := st.leads()
		other := (leader + 1) % nodes
		st.refuseAlone(name(leader), true) // for a moment: it leads on
		for i := range jobs {
			if !m.withdraw(other, ref(i)) {
				t.Fatalf("%s was not withdrawn", ref(i))
			}
		}
		st.refuseAlone(name(leader), false)
		time.Sleep(report / 6) // the copies are told, and not yet checked against what is stored
		cs[other].crash()
		st.loseData(wiped, 0, "")
		time.Sleep(time.Second)
		cs[other] = w.boot(other)
		time.Sleep(90 * time.Second)
		end()
		for _, b := range w.breaches {
			t.Error(b)
		}
		for i := range jobs {
			if w.told[ref(i)] != wire.PhaseCancelled {
				t.Errorf("%s is %q", ref(i), w.told[ref(i)])
			}
		}
	})
}

// Users submit again what is not done, withdraw what is done, and send what can't be taken
// or run, also while the leader changes or the store is out.
func TestOddRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		also func(m *scenario)
	}{
		{"alone", func(m *scenario) { time.Sleep(40 * time.Second) }},
		{"in an outage", func(m *scenario) {
			m.st.outage(true)
			time.Sleep(20 * time.Second)
			m.st.outage(false)
		}},
		{"the leader is refused alone", func(m *scenario) {
			m.st.refuseAlone(name(m.leader), true)
			time.Sleep(20 * time.Second)
			m.st.refuseAlone(name(m.leader), false)
		}},
		{"all end and return", func(m *scenario) { m.restartControllers(2*time.Second, 0, 1, 2) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			playFaults(t, faultPlan{seed: 16, jobs: arrays(10, 3, 15*time.Second, nil), troubles: func(m *scenario) {
				concurrently(func() { m.w.oddities(m.ctx, 60*time.Second) }, func() { time.Sleep(5 * time.Second); tc.also(m) })
			}})
		})
	}
}
