package sim

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// scenario is a day on which faults meet while long tasks run.
type scenario struct {
	*testing.T
	w      *world
	st     *store
	cl     *cloud
	cs     []*node
	leader int // at the start
	client *http.Client
	ctx    context.Context
	began  time.Time
	fate   fate
	told   []string // what troubles came
}

func newScenario(t *testing.T, ctx context.Context, w *world, st *store, cl *cloud, cs []*node) *scenario {
	return &scenario{T: t, w: w, st: st, cl: cl, cs: cs, ctx: ctx, began: time.Now(), client: w.client()}
}

// leaderIndex is the controller that leads now; the first if none does.
func (m *scenario) leaderIndex() int { return max(0, m.st.leads()) }

func name(n int) string { return fmt.Sprintf("host-%d", n) }

// cutFromPeers cuts a controller off from the others.
func (m *scenario) cutFromPeers(n int, on bool) {
	for o := range m.w.size {
		if o != n {
			m.w.net.cut(name(n), name(o), on)
		}
	}
}

// withdraw asks a controller to cancel a job, once, and notes when it said so.
func (m *scenario) withdraw(n int, ref string) bool {
	m.w.mu.Lock()
	m.w.asked[ref] = true
	m.w.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.ctx, 5*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+front(n)+"/v1/jobs/"+ref+"/withdraw", nil)
	res, err := m.client.Do(req)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	if res.StatusCode != 200 {
		return false
	}
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.w.gone[ref].IsZero() {
		m.w.gone[ref] = time.Now()
	}
	return true
}

// checkScenario plays a day of faults while eight jobs of long tasks run, of which the faults
// withdraw the first four, and checks that their tasks are gone in time, that the others
// run on where the faults leave them a controller, and that all end well.
func checkScenario(t *testing.T, seed uint64, keep bool, troubles func(m *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, w, st, cl, cs, end := begin(t, seed, 40, 6, "")
		m := newScenario(t, ctx, w, st, cl, cs)
		for i := range 8 {
			j := wire.Job{ID: ref(i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard", TaskCount: 2 + i%2, CPUs: 1, MemoryGB: 1, Image: "img", ExpectedSeconds: 200 + 5*float64(i)}
			if i%4 == 3 {
				j.Kind, j.Priority, j.SpreadZones, j.ExpectedSeconds = wire.KindService, "production", true, 0
			}
			w.submit(ctx, j, 0, time.Hour)
		}
		time.Sleep(25 * time.Second)
		m.leader = st.leads()
		began := time.Now()
		troubles(m)
		w.calms(cl)
		w.checkCancelledTasksGone()
		time.Sleep(max(0, 400*time.Second-time.Since(began)))
		end()
		for _, b := range w.breaches {
			t.Error(b)
		}
		for i := range 8 {
			r := ref(i)
			_, gone := w.gone[r]
			switch {
			case gone:
				for k := range w.jobs[r].TaskCount {
					if at := w.where[ledger.Task{JobID: r, Index: k}]; at != "" {
						t.Errorf("%s/%d is withdrawn and on %s at the end", r, k, at)
					}
				}
			case w.jobs[r].Kind == wire.KindArray && w.told[r] != wire.PhaseDone:
				t.Errorf("%s is %q at the end", r, w.told[r])
			}
		}
		if want := 2*2 + 2*3 + 2*2 + 2*3; keep && w.starts != want {
			t.Errorf("%d starts of %d tasks: some did not run on", w.starts, want)
		}
	})
}

// duplicateHeartbeats has copies of a share of the workers' heartbeats arrive again, late.
func (w *world) duplicateHeartbeats(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.echoes = share
}

// checkCancelledTasksGone checks what is on workers: what stays there breaks the rule too, not only what
// leaves late.
func (w *world) checkCancelledTasksGone() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, host := range w.where {
		if at, ok := w.gone[task.JobID]; ok && time.Since(at) > cancel {
			w.broke("ran_cancelled: %s is on %s %v after", task, host, time.Since(at))
		}
	}
}

func ref(i int) string { return fmt.Sprintf("req-%06d", i) }

func (m *scenario) crashController(n int, long time.Duration) {
	if !m.fate[n].TryLock() {
		return // it is being ended as it is; to wait for a lock would stop the clock
	}
	defer m.fate[n].Unlock()
	m.cs[n].crash()
	time.Sleep(long)
	m.cs[n] = m.w.boot(n)
}

// randomWorkers are a few workers, by lot.
func (m *scenario) randomWorkers(share float64) (out []string) {
	m.cl.mu.Lock()
	defer m.cl.mu.Unlock()
	for _, h := range slices.Sorted(maps.Keys(m.cl.hosts)) {
		if m.w.intN(100) < int(100*share) {
			out = append(out, h)
		}
	}
	return out
}

// partition cuts ways, or ends that.
func (m *scenario) partition(from []string, to []string, long time.Duration) {
	for _, on := range []bool{true, false} {
		for _, a := range from {
			for _, b := range to {
				m.w.net.cut(a, b, on)
			}
		}
		if on {
			time.Sleep(long)
		}
	}
}

// strikeWorkers does something to workers, and undoes it.
func (m *scenario) strikeWorkers(hosts []string, long time.Duration, do func(k *worker, on bool)) {
	for _, on := range []bool{true, false} {
		for _, h := range hosts {
			m.w.mu.Lock()
			k := m.w.workers[h]
			m.w.mu.Unlock()
			if k != nil {
				k.mu.Lock()
				do(k, on)
				k.mu.Unlock()
			}
		}
		if on {
			time.Sleep(long)
		}
	}
}

// What strikeWorkers does to workers.
func dropHeartbeats(k *worker, on bool) { k.mute, k.muted = on, time.Now() }

func pause(k *worker, on bool) { k.hung = on }

func dropAnswers(k *worker, on bool) { k.deaf = on }

func holdNextHeartbeat(k *worker, on bool) { k.keep = on }

// deliverHeldHeartbeats has the heartbeats of workers that were held back arrive at whoever leads now, and
// tells how many there were.
func (m *scenario) deliverHeldHeartbeats(hosts []string) (came int) {
	n := m.leaderIndex()
	for _, h := range hosts {
		m.w.mu.Lock()
		k := m.w.workers[h]
		m.w.mu.Unlock()
		if k != nil && k.late(m.ctx, n) {
			came++
		}
	}
	return came
}

// others are the other controllers.
func (m *scenario) others(n int) (out []string) {
	for o := range m.w.size {
		if o != n {
			out = append(out, name(o))
		}
	}
	return out
}
