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
	w             *world
	store         *fakeStore
	cloud         *fakeCloud
	processes     []*controllerProcess
	initialLeader int // at the start
	client        *http.Client
	ctx           context.Context
	startedAt     time.Time
	processLocks  processLocks
	faultLog      []string // what troubles came
}

func newScenario(t *testing.T, ctx context.Context, w *world, store *fakeStore, cloud *fakeCloud, controllers []*controllerProcess) *scenario {
	return &scenario{T: t, w: w, store: store, cloud: cloud, processes: controllers, ctx: ctx, startedAt: time.Now(), client: w.client()}
}

// leaderIndex is the controller that leads now; the first if none does.
func (m *scenario) leaderIndex() int { return max(0, m.store.leaderIndex()) }

func controllerName(index int) string { return fmt.Sprintf("host-%d", index) }

// cutFromPeers cuts a controller off from the others.
func (m *scenario) cutFromPeers(controller int, blocked bool) {
	for other := range m.w.clusterSize {
		if other != controller {
			m.w.net.setBlocked(controllerName(controller), controllerName(other), blocked)
		}
	}
}

// withdraw asks a controller to cancel a job, once, and notes when it said so.
func (m *scenario) cancelJob(controller int, jobID string) bool {
	m.w.mu.Lock()
	m.w.cancelRequested[jobID] = true
	m.w.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.ctx, 5*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+frontAddress(controller)+"/v1/jobs/"+jobID+"/withdraw", nil)
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
func checkScenario(t *testing.T, seed uint64, tasksContinue bool, faults func(m *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, w, store, cloud, controllers, end := startWorld(t, seed, 40, 6, "")
		m := newScenario(t, ctx, w, store, cloud, controllers)
		for i := range 8 {
			job := wire.Job{ID: testJobID(i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard", TaskCount: 2 + i%2, CPUs: 1, MemoryGB: 1, Image: "img", ExpectedSeconds: 200 + 5*float64(i)}
			if i%4 == 3 {
				job.Kind, job.Priority, job.SpreadZones, job.ExpectedSeconds = wire.KindService, "production", true, 0
			}
			w.submit(ctx, job, 0, time.Hour)
		}
		time.Sleep(25 * time.Second)
		m.initialLeader = store.leaderIndex()
		startedAt := time.Now()
		faults(m)
		w.faultsEnded(cloud)
		w.checkCancelledTasksGone()
		time.Sleep(max(0, 400*time.Second-time.Since(startedAt)))
		end()
		for _, violation := range w.violations {
			t.Error(violation)
		}
		for i := range 8 {
			jobID := testJobID(i)
			_, cancelled := w.cancelledAt[jobID]
			switch {
			case cancelled:
				for task := range w.jobs[jobID].TaskCount {
					if worker := w.hostOf[ledger.Task{JobID: jobID, Index: task}]; worker != "" {
						t.Errorf("%s/%d is withdrawn and on %s at the end", jobID, task, worker)
					}
				}
			case w.jobs[jobID].Kind == wire.KindArray && w.lastPhase[jobID] != wire.PhaseDone:
				t.Errorf("%s is %q at the end", jobID, w.lastPhase[jobID])
			}
		}
		if want := 2*2 + 2*3 + 2*2 + 2*3; tasksContinue && w.starts != want {
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
		if cancelledAt, ok := w.cancelledAt[task.JobID]; ok && time.Since(cancelledAt) > cancelTimeout {
			w.recordViolation("ran_cancelled: %s is on %s %v after", task, host, time.Since(cancelledAt))
		}
	}
}

func testJobID(i int) string { return fmt.Sprintf("req-%06d", i) }

func (m *scenario) crashController(controller int, downtime time.Duration) {
	if !m.processLocks[controller].TryLock() {
		return // it is being ended as it is; to wait for a lock would stop the clock
	}
	defer m.processLocks[controller].Unlock()
	m.processes[controller].crash()
	time.Sleep(downtime)
	m.processes[controller] = m.w.boot(controller)
}

// randomWorkers are a few workers, by lot.
func (m *scenario) randomWorkers(share float64) (workers []string) {
	m.cloud.mu.Lock()
	defer m.cloud.mu.Unlock()
	for _, worker := range slices.Sorted(maps.Keys(m.cloud.instances)) {
		if m.w.intN(100) < int(100*share) {
			workers = append(workers, worker)
		}
	}
	return workers
}

// partition cuts ways, or ends that.
func (m *scenario) partition(from []string, to []string, duration time.Duration) {
	for _, blocked := range []bool{true, false} {
		for _, a := range from {
			for _, b := range to {
				m.w.net.setBlocked(a, b, blocked)
			}
		}
		if blocked {
			time.Sleep(duration)
		}
	}
}

// strikeWorkers does something to workers, and undoes it.
func (m *scenario) injectWorkerFault(names []string, duration time.Duration, inject func(worker *fakeWorker, active bool)) {
	for _, active := range []bool{true, false} {
		for _, name := range names {
			m.w.mu.Lock()
			worker := m.w.workers[name]
			m.w.mu.Unlock()
			if worker != nil {
				worker.mu.Lock()
				inject(worker, active)
				worker.mu.Unlock()
			}
		}
		if active {
			time.Sleep(duration)
		}
	}
}

// What strikeWorkers does to workers.
func dropHeartbeats(worker *fakeWorker, active bool) {
	worker.dropsHeartbeats, worker.mutedSince = active, time.Now()
}

func pauseWorker(worker *fakeWorker, active bool) { worker.paused = active }

func dropAnswers(worker *fakeWorker, active bool) { worker.dropsAnswers = active }

func holdNextHeartbeat(worker *fakeWorker, active bool) { worker.holdsNext = active }

// deliverHeldHeartbeats has the heartbeats of workers that were held back arrive at whoever leads now, and
// tells how many there were.
func (m *scenario) deliverHeldHeartbeats(names []string) (delivered int) {
	leader := m.leaderIndex()
	for _, name := range names {
		m.w.mu.Lock()
		worker := m.w.workers[name]
		m.w.mu.Unlock()
		if worker != nil && worker.deliverHeld(m.ctx, leader) {
			delivered++
		}
	}
	return delivered
}

// others are the other controllers.
func (m *scenario) otherControllers(controller int) (names []string) {
	for other := range m.w.clusterSize {
		if other != controller {
			names = append(names, controllerName(other))
		}
	}
	return names
}
