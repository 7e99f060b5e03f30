package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

// fault is one of those that meet. It lasts for about as long as it is told.
type fault struct {
	name string
	play func(m *scenario, n int, long time.Duration)
}

// fate keeps two faults from ending or starting one process at once.
type fate [9]sync.Mutex

var randomFaults = []fault{
	{"outage", func(m *scenario, n int, long time.Duration) {
		m.st.outage(true)
		time.Sleep(long)
		m.st.outage(false)
	}},
	{"refused alone", func(m *scenario, n int, long time.Duration) {
		m.st.refuseAlone(name(n), true)
		time.Sleep(long)
		m.st.refuseAlone(name(n), false)
	}},
	{"over and back", func(m *scenario, n int, long time.Duration) {
		for end := time.Now().Add(long); time.Now().Before(end); {
			l := m.leaderIndex()
			m.st.refuseAlone(name(l), true)
			time.Sleep(time.Duration(500+m.w.intN(9000)) * time.Millisecond)
			m.st.refuseAlone(name(l), false)
			time.Sleep(time.Duration(m.w.intN(3000)) * time.Millisecond)
		}
	}},
	{"slow state", func(m *scenario, n int, long time.Duration) {
		m.st.respondSlowly(time.Duration(200+m.w.intN(1000)) * time.Millisecond)
		time.Sleep(long)
		m.st.respondSlowly(0)
	}},
	{"late writes", func(m *scenario, n int, long time.Duration) {
		m.st.delayTransactions(0.3)
		time.Sleep(long)
		m.st.delayTransactions(0)
	}},
	{"late reports", func(m *scenario, n int, long time.Duration) {
		m.w.duplicateHeartbeats(0.5)
		time.Sleep(long)
		m.w.duplicateHeartbeats(0)
	}},
	{"deaf machines", func(m *scenario, n int, long time.Duration) {
		m.strikeWorkers(m.randomWorkers(0.5), long, dropAnswers)
	}},
	{"mute machines", func(m *scenario, n int, long time.Duration) {
		m.strikeWorkers(m.randomWorkers(0.5), long, dropHeartbeats)
	}},
	{"many withdrawn at once, and machines hang", func(m *scenario, n int, long time.Duration) {
		m.w.mu.Lock()
		var refs []string
		for t := range m.w.where {
			if !slices.Contains(refs, t.JobID) && len(refs) < 4 {
				refs = append(refs, t.JobID)
			}
		}
		m.w.mu.Unlock()
		concurrently(
			func() {
				m.strikeWorkers(m.randomWorkers(0.3), min(long, 2*lease), pause)
			},
			func() { m.cancelRepeatedly(n, 4*cancel, refs...) },
		)
	}},
	{"odd requests", func(m *scenario, n int, long time.Duration) { m.w.oddities(m.ctx, long) }},
	{"slow links", func(m *scenario, n int, long time.Duration) {
		hosts := append(m.others(n), name(n))
		m.w.net.slow(time.Duration(50+m.w.intN(600))*time.Millisecond, hosts...)
		time.Sleep(long)
		m.w.net.slow(0, hosts...)
	}},
	{"reports held back", func(m *scenario, n int, long time.Duration) {
		hosts := m.randomWorkers(0.4)
		m.strikeWorkers(hosts, 7*time.Second, holdNextHeartbeat)
		time.Sleep(long)
		m.deliverHeldHeartbeats(hosts)
	}},
	{"machines die", func(m *scenario, n int, long time.Duration) {
		for _, h := range m.randomWorkers(0.2) {
			m.cl.killInstance(h)
		}
	}},
	{"all away", func(m *scenario, n int, long time.Duration) {
		var wg sync.WaitGroup
		for n := range m.w.size {
			wg.Go(func() { m.crashController(n, lease+long) })
		}
		wg.Wait()
	}},
	{"machines hang", func(m *scenario, n int, long time.Duration) {
		m.strikeWorkers(m.randomWorkers(0.5), long, pause)
	}},
	{"cut from the state service", func(m *scenario, n int, long time.Duration) { m.partition([]string{name(n)}, []string{"state"}, long) }},
	{"cut from peers", func(m *scenario, n int, long time.Duration) { m.partition([]string{name(n)}, m.others(n), long) }},
	{"cut from both", func(m *scenario, n int, long time.Duration) {
		m.partition([]string{name(n)}, append(m.others(n), "state"), long)
	}},
	{"cut from machines", func(m *scenario, n int, long time.Duration) {
		m.partition([]string{name(n)}, m.randomWorkers(0.7), long)
	}},
	{"machines out of reach", func(m *scenario, n int, long time.Duration) {
		m.partition(m.randomWorkers(0.5), append(m.others(n), name(n)), long)
	}},
	{"zone cut", func(m *scenario, n int, long time.Duration) {
		m.w.partitionZone(m.cl, zoneOf(n), true)
		time.Sleep(long)
		m.w.partitionZone(m.cl, zoneOf(n), false)
	}},
	{"crash", func(m *scenario, n int, long time.Duration) { m.crashController(n, m.w.randomDowntime()) }},
	{"all crash", func(m *scenario, n int, long time.Duration) {
		var wg sync.WaitGroup
		for n := range m.w.size {
			wg.Go(func() { m.crashController(n, m.w.randomDowntime()) })
		}
		wg.Wait()
	}},
	{"again and again", func(m *scenario, n int, long time.Duration) {
		for range 5 {
			m.crashController(n, 20*time.Millisecond)
			time.Sleep(time.Duration(50+m.w.intN(900)) * time.Millisecond)
		}
	}},
}

// Days on which every two faults meet: one begins within the other, by lot, with users
// who withdraw all the while.
func TestMeetings(t *testing.T) {
	for seed := range seeds(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 11))
			// Three controllers, or up to seven on every other day.
			size := nodes + int(seed%2)*(1+int(seed/2)%4)
			checkFaults(t, seed, size, 24, func(m *scenario) {
				for range 4 {
					var wg sync.WaitGroup
					for range 2 + rnd.IntN(2) {
						x, n := randomFaults[rnd.IntN(len(randomFaults))], rnd.IntN(m.w.size)
						after, long := time.Duration(rnd.IntN(8000))*time.Millisecond, time.Duration(2000+rnd.IntN(1<<uint(12+rnd.IntN(5))))*time.Millisecond
						if l := m.st.leads(); rnd.IntN(3) > 0 && l >= 0 {
							n = l
						}
						m.told = append(m.told, fmt.Sprintf("%v: %s, host-%d, for %v", time.Since(m.began)+after, x.name, n, long))
						wg.Go(func() { time.Sleep(after); x.play(m, n, long) })
					}
					wg.Wait()
					time.Sleep(time.Duration(rnd.IntN(10)) * time.Second)
				}
			})
		})
	}
}

// checkFaults plays a day of faults with jobs of long tasks coming all the while and every
// second of them cancelled, until everybody has had an answer.
func checkFaults(t *testing.T, seed uint64, size, jobs int, troubles func(m *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 12))
		ctx, w, st, cl, cs, end := beginWith(t, seed, size, 60, 6, "")
		m := newScenario(t, ctx, w, st, cl, cs)
		w.spread = 0.8
		w.wg.Go(func() { w.strangers(ctx) })
		for i := range jobs {
			j := wire.Job{ID: ref(i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard", TaskCount: 2 + rnd.IntN(2), CPUs: 1, MemoryGB: 1, Image: "img", AllowSpot: i%3 == 0, ExpectedSeconds: float64(5 + rnd.IntN(60))}
			withdraw := time.Duration(0)
			if i%4 == 3 {
				j.Kind, j.Priority, j.SpreadZones, j.ExpectedSeconds = wire.KindService, "production", true, 0
			}
			if i%2 == 1 {
				withdraw = time.Duration(20+rnd.IntN(120)) * time.Second
			}
			w.submit(ctx, j, time.Duration(rnd.IntN(120))*time.Second, withdraw)
		}
		time.Sleep(20 * time.Second)
		troubles(m)
		w.calms(cl)
		time.Sleep(max(240*time.Second, 480*time.Second-time.Since(m.began))) // the longest task takes 170 s, from a start of its own
		w.checkCancelledTasksGone()
		end()
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, b := range w.breaches {
			t.Error(b)
		}
		if len(w.late) > 0 {
			t.Logf("%d starts after a withdrawal was told, the latest %v after", len(w.late), slices.Max(w.late))
		}
		for r, j := range w.jobs {
			if got := w.told[r]; got != wire.PhaseDone && got != wire.PhaseCancelled && (j.Kind == wire.KindArray || w.asked[r]) {
				t.Errorf("%s is %q at the end", r, got)
			}
		}
		if t.Failed() {
			t.Log(strings.Join(m.told, "\n"))
		}
	})
}
