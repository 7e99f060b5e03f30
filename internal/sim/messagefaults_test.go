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
func TestHeldUp(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(m *scenario, hosts []string, long time.Duration)
	}{
		{"held", func(m *scenario, hosts []string, long time.Duration) { m.partition(m.controllers(), hosts, long) }},
		{"hung", func(m *scenario, hosts []string, long time.Duration) {
			m.strikeWorkers(hosts, long, pause)
		}},
		{"deaf", func(m *scenario, hosts []string, long time.Duration) {
			m.strikeWorkers(hosts, long, dropAnswers)
		}},
		{"mute", func(m *scenario, hosts []string, long time.Duration) {
			m.strikeWorkers(hosts, long, dropHeartbeats)
		}},
		{"held, and the leader ends", func(m *scenario, hosts []string, long time.Duration) {
			concurrently(func() { m.partition(m.controllers(), hosts, long) }, func() { time.Sleep(long / 2); m.crashController(m.leader, 4*time.Second) })
		}},
		{"hung, and the leader ends", func(m *scenario, hosts []string, long time.Duration) {
			concurrently(func() { m.strikeWorkers(hosts, long, pause) }, func() { time.Sleep(long / 2); m.crashController(m.leader, 4*time.Second) })
		}},
	} {
		for _, long := range []time.Duration{2 * time.Second, 6 * time.Second, lease - 2*time.Second, lease + 3*time.Second, 2 * cancel} {
			t.Run(fmt.Sprint(tc.name, " for ", long), func(t *testing.T) {
				t.Parallel()
				playFaults(t, faultPlan{seed: 7, jobs: arrays(8, 3, 100*time.Second, nil), rest: 350 * time.Second, troubles: func(m *scenario) {
					for i := range 6 { // launched about when it begins
						m.w.submit(m.ctx, array(30+i, 3, 30*time.Second), time.Duration(i)*200*time.Millisecond, 0)
					}
					time.Sleep(500 * time.Millisecond)
					concurrently(
						func() { tc.do(m, m.randomWorkers(0.6), long) },
						func() {
							time.Sleep(300 * time.Millisecond)
							m.cancelRepeatedly((m.leader+1)%nodes, cancel, ref(0), ref(1), ref(2), ref(3), ref(4), ref(30), ref(31))
						},
						func() { // some more once it has begun
							time.Sleep(min(long/2, 5*time.Second))
							m.cancelRepeatedly((m.leader+2)%nodes, cancel, ref(32), ref(33), ref(5))
						},
					)
				}, ends: func(m *scenario) {
					m.w.mu.Lock()
					defer m.w.mu.Unlock()
					// Where the leader ends meanwhile, the launch is out of the next one's hands; and
					// what most workers of a zone may yet do is not waited for for so long.
					if n := len(m.w.late); n > 0 && long < 22*report/10 && !strings.Contains(tc.name, "leader ends") {
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
func TestMute(t *testing.T) {
	const jobs, members = 8, 3
	const keep = "<rillflow><fleet><thrift>never</thrift></fleet></rillflow>" // a part without machines hears none
	for _, tc := range []struct {
		name  string
		which func(m *scenario) []string
		also  func(m *scenario)
		terms int  // at most
		done  bool // all is done while they are mute
	}{
		{"one", func(m *scenario) []string { return m.busy()[:1] }, nil, 1, true},
		{"half", func(m *scenario) []string { return m.randomWorkers(0.5) }, nil, 2, true},
		{"a zone", func(m *scenario) []string { return m.machines("b") }, nil, 2, true},
		{"all, new ones too", func(m *scenario) []string { return m.machines("") }, nil, 1, false},
		{"half, while the leader changes", func(m *scenario) []string { return m.randomWorkers(0.5) }, func(m *scenario) { m.crashController(m.leader, 8*time.Second) }, 3, true},
		{"half, and they hang", func(m *scenario) []string { return m.randomWorkers(0.5) }, func(m *scenario) {
			m.strikeWorkers(m.randomWorkers(0.3), lease/2, pause)
		}, 2, true},
		{"half, and jobs are withdrawn", func(m *scenario) []string { return m.randomWorkers(0.5) }, func(m *scenario) {
			time.Sleep(2 * time.Second)
			m.cancelRepeatedly((m.leader+1)%nodes, cancel, ref(0), ref(1), ref(2))
		}, 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			playFaults(t, faultPlan{seed: 9, operator: keep, limit: 100, most: 12, jobs: arrays(jobs, members, 50*time.Second, nil), troubles: func(m *scenario) {
				leaders := []string{m.st.get("lead")}
				starts := 0
				concurrently(
					func() {
						m.w.mu.Lock()
						m.w.mute = !tc.done
						m.w.mu.Unlock()
						m.strikeWorkers(tc.which(m), 4*lease, dropHeartbeats)
						m.w.mu.Lock()
						m.w.mute = false
						m.w.mu.Unlock()
						m.strikeWorkers(m.machines(""), 0, func(k *worker, on bool) { k.mute = false })
					},
					func() {
						for at := time.Now(); time.Since(at) < 4*lease; {
							time.Sleep(time.Second)
							if l := m.st.get("lead"); l != "" && l != leaders[len(leaders)-1] {
								leaders = append(leaders, l)
							}
						}
						m.w.mu.Lock()
						starts = m.w.starts
						m.w.mu.Unlock()
					},
					func() {
						if tc.also != nil {
							tc.also(m)
						}
					},
					func() {
						time.Sleep(4*lease - time.Second)
						m.w.mu.Lock()
						defer m.w.mu.Unlock()
						for i := range jobs {
							if tc.done && !m.w.asked[ref(i)] && !m.w.finished(ref(i)) {
								m.Errorf("%s is not done though other machines are well", ref(i))
							}
						}
					},
				)
				if len(leaders) > tc.terms {
					m.Errorf("%d terms: %s", len(leaders), strings.Join(leaders, " "))
				}
				// A task is lost once with a worker that cannot send heartbeats; with one that hangs too, once more.
				most := 2 * jobs * members
				if strings.Contains(tc.name, "hang") {
					most += jobs * members
				}
				if starts > most {
					m.Errorf("%d starts of %d tasks", starts, jobs*members)
				}
			}})
		})
	}
}

// A report is held back until a new leader has acted, and then arrives there: it neither
// frees nor starts, reaps nor renews anything that was decided since.
func TestHeldReport(t *testing.T) {
	for _, tc := range []struct {
		name string
		then func(m *scenario, hosts []string) // between the report and its arrival, after the leader's end
	}{
		{"the same session", func(m *scenario, hosts []string) { time.Sleep(10 * time.Second) }},
		{"an earlier session", func(m *scenario, hosts []string) {
			m.partition(hosts, m.controllers(), lease+6*time.Second)
			time.Sleep(4 * time.Second)
		}},
		{"the new leader never saw a newer one", func(m *scenario, hosts []string) {
			go m.partition(hosts, m.controllers(), 20*time.Second)
			time.Sleep(8 * time.Second)
		}},
		{"the machine has died", func(m *scenario, hosts []string) {
			for _, h := range hosts {
				m.cl.killInstance(h)
			}
			time.Sleep(8 * time.Second)
		}},
		{"jobs were withdrawn", func(m *scenario, hosts []string) {
			m.cancelRepeatedly((m.leader+1)%nodes, 30*time.Second, ref(0), ref(1), ref(2))
			time.Sleep(3 * time.Second)
		}},
		{"two leaders later", func(m *scenario, hosts []string) {
			m.crashController(m.leaderIndex(), 6*time.Second)
			time.Sleep(10 * time.Second)
		}},
	} {
		for _, long := range []time.Duration{24 * time.Second, 28 * time.Second, 90 * time.Second} { // tasks end about when it is sent, or run on
			t.Run(fmt.Sprint(tc.name, ", tasks of ", long), func(t *testing.T) {
				t.Parallel()
				playFaults(t, faultPlan{seed: 13, limit: 20, jobs: arrays(12, 3, long, nil), rest: 330 * time.Second, troubles: func(m *scenario) {
					hosts := m.busy()
					m.strikeWorkers(hosts, 7*time.Second, holdNextHeartbeat) // held, and newer ones have come
					m.crashController(m.leader, 6*time.Second)
					tc.then(m, hosts)
					came := m.deliverHeldHeartbeats(hosts)
					if came == 0 {
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
		name string
		also func(m *scenario)
	}{
		{"tasks are placed and end", func(m *scenario) { time.Sleep(40 * time.Second) }},
		{"jobs are withdrawn", func(m *scenario) { m.cancelRepeatedly(m.leader, cancel, ref(0), ref(1), ref(2), ref(3)) }},
		{"the leader ends", func(m *scenario) { m.crashController(m.leader, 5*time.Second); time.Sleep(20 * time.Second) }},
		{"the leader is refused alone", func(m *scenario) {
			m.st.refuseAlone(name(m.leader), true)
			time.Sleep(20 * time.Second)
			m.st.refuseAlone(name(m.leader), false)
		}},
		{"machines come and go", func(m *scenario) { m.partition(m.randomWorkers(0.5), m.controllers(), lease+8*time.Second) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			playFaults(t, faultPlan{seed: 14, limit: 20, jobs: arrays(14, 3, 12*time.Second, nil), troubles: func(m *scenario) {
				m.st.delayTransactions(0.5)
				tc.also(m)
				m.st.delayTransactions(0)
				time.Sleep(12 * time.Second) // the last is carried out
			}})
		})
	}
}

// Old heartbeats come again after newer ones, also from an earlier session or attempt.
func TestOldReports(t *testing.T) {
	for _, tc := range []struct {
		name string
		also func(m *scenario)
	}{
		{"tasks come and go", func(m *scenario) { time.Sleep(60 * time.Second) }},
		{"sessions end", func(m *scenario) { m.partition(m.randomWorkers(0.7), m.controllers(), lease+5*time.Second) }},
		{"the leader ends", func(m *scenario) { m.crashController(m.leader, 8*time.Second) }},
		{"machines die", func(m *scenario) {
			for _, h := range m.randomWorkers(0.4) {
				m.cl.killInstance(h)
			}
			time.Sleep(40 * time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			playFaults(t, faultPlan{seed: 15, limit: 20, jobs: arrays(14, 3, 12*time.Second, nil), troubles: func(m *scenario) {
				m.w.duplicateHeartbeats(0.6)
				concurrently(func() { tc.also(m) }, func() {
					for i := range 6 {
						time.Sleep(4 * time.Second)
						m.cancelRepeatedly((m.leader+1)%nodes, cancel, ref(i))
					}
				})
				m.w.duplicateHeartbeats(0)
				time.Sleep(2 * lease)
			}})
		})
	}
}
