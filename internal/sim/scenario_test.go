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
	store     *fakeStore
	cloud     *fakeCloud
	processes     []*controllerProcess
	initialLeader int // at the start
	client *http.Client
	ctx    context.Context
	startedAt  time.Time
	processLocks   processLocks
	faultLog   []string // what troubles came
}

func newScenario(t *testing.T, ctx context.Context, w *world, store *fakeStore, cloud *fakeCloud, controllers []*controllerProcess) *scenario {
	return &scenario{T: t, w: w, store: store, cloud: cloud, processes: controllers, ctx: ctx, startedAt: time.Now(), client: w.client()}
}

// leaderIndex is the controller that leads now; the first if none does.
func (m *scenario) leaderIndex() int { return max(0, m.store.leaderIndex()) }

func controllerName(n int) string { return fmt.Sprintf("host-%d", n) }

// cutFromPeers cuts a controller off from the others.
func (m *scenario) cutFromPeers(n int, on bool) {
	for o := range m.w.clusterSize {
		if o != n {
			m.w.net.setBlocked(controllerName(n), controllerName(o), on)
		}
	}
}

// withdraw asks a controller to cancel a job, once, and notes when it said so.
func (m *scenario) cancelJob(n int, jobID string) bool {
	m.w.mu.Lock()
	m.w.cancelRequested[jobID] = true
	m.w.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.ctx, 5*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+frontAddress(n)+"/v1/jobs/"+jobID+"/withdraw", nil)
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
	if m.w.cancelledAt[jobID].IsZero() {
		m.w.cancelledAt[jobID] = time.Now()
	}
	return true
}

// checkScenario plays a day of faults while eight jobs of long tasks run, of which the faults
// withdraw the first four, and checks that their tasks are gone in time, that the others
// run on where the faults leave them a controller, and that all end well.
func checkScenario(t *testing.T, seed uint64, keep bool, troubles func(m *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, w, store, cloud, controllers, end := startWorld(t, seed, 40, 6, "")
		m := newScenario(t, ctx, w, store, cloud, controllers)
		for i := range 8 {
			j := wire.Job{ID: testJobID(i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard", TaskCount: 2 + i%2, CPUs: 1, MemoryGB: 1, Image: "img", ExpectedSeconds: 200 + 5*float64(i)}
			if i%4 == 3 {
				j.Kind, j.Priority, j.SpreadZones, j.ExpectedSeconds = wire.KindService, "production", true, 0
			}
			w.submit(ctx, j, 0, time.Hour)
		}
		time.Sleep(25 * time.Second)
		m.initialLeader = store.leaderIndex()
		began := time.Now()
		troubles(m)
		w.faultsEnded(cloud)
		w.checkCancelledTasksGone()
		time.Sleep(max(0, 400*time.Second-time.Since(began)))
		end()
		for _, b := range w.violations {
			t.Error(b)
		}
		for i := range 8 {
			r := testJobID(i)
			_, gone := w.cancelledAt[r]
			switch {
			case gone:
				for k := range w.jobs[r].TaskCount {
					if at := w.hostOf[ledger.Task{JobID: r, Index: k}]; at != "" {
						t.Errorf("%s/%d is withdrawn and on %s at the end", r, k, at)
					}
				}
			case w.jobs[r].Kind == wire.KindArray && w.lastPhase[r] != wire.PhaseDone:
				t.Errorf("%s is %q at the end", r, w.lastPhase[r])
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
	w.duplicateShare = share
}

// checkCancelledTasksGone checks what is on workers: what stays there breaks the rule too, not only what
// leaves late.
func (w *world) checkCancelledTasksGone() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, host := range w.hostOf {
		if at, ok := w.cancelledAt[task.JobID]; ok && time.Since(at) > cancelTimeout {
			w.recordViolation("ran_cancelled: %s is on %s %v after", task, host, time.Since(at))
		}
	}
}

func testJobID(i int) string { return fmt.Sprintf("req-%06d", i) }

func (m *scenario) crashController(n int, duration time.Duration) {
	if !m.processLocks[n].TryLock() {
		return // it is being ended as it is; to wait for a lock would stop the clock
	}
	defer m.processLocks[n].Unlock()
	m.processes[n].crash()
	time.Sleep(duration)
	m.processes[n] = m.w.boot(n)
}

// randomWorkers are a few workers, by lot.
func (m *scenario) randomWorkers(share float64) (out []string) {
	m.cloud.mu.Lock()
	defer m.cloud.mu.Unlock()
	for _, h := range slices.Sorted(maps.Keys(m.cloud.instances)) {
		if m.w.intN(100) < int(100*share) {
			out = append(out, h)
		}
	}
	return out
}

// partition cuts ways, or ends that.
func (m *scenario) partition(from []string, to []string, duration time.Duration) {
	for _, on := range []bool{true, false} {
		for _, a := range from {
			for _, b := range to {
				m.w.net.setBlocked(a, b, on)
			}
		}
		if on {
			time.Sleep(duration)
		}
	}
}

// strikeWorkers does something to workers, and undoes it.
func (m *scenario) injectWorkerFault(hosts []string, duration time.Duration, do func(k *fakeWorker, on bool)) {
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
			time.Sleep(duration)
		}
	}
}

// What strikeWorkers does to workers.
func dropHeartbeats(k *fakeWorker, on bool) { k.dropsHeartbeats, k.mutedSince = on, time.Now() }

func pauseWorker(k *fakeWorker, on bool) { k.paused = on }

func dropAnswers(k *fakeWorker, on bool) { k.dropsAnswers = on }

func holdNextHeartbeat(k *fakeWorker, on bool) { k.holdsNext = on }

// deliverHeldHeartbeats has the heartbeats of workers that were held back arrive at whoever leads now, and
// tells how many there were.
func (m *scenario) deliverHeldHeartbeats(hosts []string) (came int) {
	n := m.leaderIndex()
	for _, h := range hosts {
		m.w.mu.Lock()
		k := m.w.workers[h]
		m.w.mu.Unlock()
		if k != nil && k.deliverHeld(m.ctx, n) {
			came++
		}
	}
	return came
}

// others are the other controllers.
func (m *scenario) otherControllers(n int) (out []string) {
	for o := range m.w.clusterSize {
		if o != n {
			out = append(out, controllerName(o))
		}
	}
	return out
}
