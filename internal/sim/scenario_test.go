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

// scenario is a run in which the test injects faults while long tasks run.
type scenario struct {
	*testing.T
	world         *world
	store         *fakeStore
	cloud         *fakeCloud
	processes     []*controllerProcess
	initialLeader int // when the faults begin
	client        *http.Client
	ctx           context.Context
	startedAt     time.Time
	processLocks  processLocks
	faultLog      []string // the faults injected, in order
}

func newScenario(t *testing.T, ctx context.Context, w *world, store *fakeStore, cloud *fakeCloud, controllers []*controllerProcess) *scenario {
	return &scenario{T: t, world: w, store: store, cloud: cloud, processes: controllers, ctx: ctx, startedAt: time.Now(), client: w.client()}
}

// leaderIndex returns the current leader, or the first controller if there is none.
func (m *scenario) leaderIndex() int { return max(0, m.store.leaderIndex()) }

func controllerName(index int) string { return fmt.Sprintf("host-%d", index) }

// cutFromPeers blocks or restores the links between a controller and its peers.
func (m *scenario) cutFromPeers(controller int, blocked bool) {
	for other := range m.world.clusterSize {
		if other != controller {
			m.world.net.setBlocked(controllerName(controller), controllerName(other), blocked)
		}
	}
}

// cancelJob sends one cancellation to a controller, records when it was confirmed, and
// reports whether it was.
func (m *scenario) cancelJob(controller int, jobID string) bool {
	m.world.mu.Lock()
	m.world.cancelRequested[jobID] = true
	m.world.mu.Unlock()
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
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	if m.world.cancelledAt[jobID].IsZero() {
		m.world.cancelledAt[jobID] = time.Now()
	}
	return true
}

// checkScenario runs faults while eight jobs with long tasks run. The faults cancel the first
// four jobs. It checks that cancelled tasks end in time, that no task is started twice if
// tasksContinue is set, and that the other array jobs finish.
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
		w.checkCancelledTasksEnded()
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
					if worker := w.workerOf[ledger.Task{JobID: jobID, Index: task}]; worker != "" {
						t.Errorf("task %s/%d is cancelled but still on %s at the end", jobID, task, worker)
					}
				}
			case w.jobs[jobID].Kind == wire.KindArray && w.lastPhase[jobID] != wire.PhaseDone:
				t.Errorf("job %s is %q at the end, want done", jobID, w.lastPhase[jobID])
			}
		}
		if want := 2*2 + 2*3 + 2*2 + 2*3; tasksContinue && w.starts != want {
			t.Errorf("%d task starts, want one for each of %d tasks: some were restarted", w.starts, want)
		}
	})
}

// duplicateHeartbeats delivers late copies of a share of the workers' heartbeats.
func (w *world) duplicateHeartbeats(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.duplicateShare = share
}

// checkCancelledTasksEnded records a violation for each cancelled task that still runs
// after the cancel timeout. taskStopped checks only tasks that have ended.
func (w *world) checkCancelledTasksEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, worker := range w.workerOf {
		if cancelledAt, ok := w.cancelledAt[task.JobID]; ok && time.Since(cancelledAt) > cancelTimeout {
			w.recordViolation("ran_cancelled: %s is still on %s %v after its cancellation", task, worker, time.Since(cancelledAt))
		}
	}
}

func testJobID(i int) string { return fmt.Sprintf("req-%06d", i) }

func (m *scenario) crashController(controller int, downtime time.Duration) {
	if !m.processLocks[controller].TryLock() {
		return // already down; waiting for a mutex would stop the simulated clock
	}
	defer m.processLocks[controller].Unlock()
	m.processes[controller].crash()
	time.Sleep(downtime)
	m.processes[controller] = m.world.boot(controller)
}

// randomWorkers draws about the given share of the workers.
func (m *scenario) randomWorkers(share float64) []string { return m.cloud.randomWorkers(share) }

// randomWorkers draws about the given share of the workers.
func (c *fakeCloud) randomWorkers(share float64) (workers []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, worker := range slices.Sorted(maps.Keys(c.instances)) {
		if c.world.intN(100) < int(100*share) {
			workers = append(workers, worker)
		}
	}
	return workers
}

// partition blocks all links between two sets of hosts for the given duration.
func (m *scenario) partition(from []string, to []string, duration time.Duration) {
	for _, blocked := range []bool{true, false} {
		for _, a := range from {
			for _, b := range to {
				m.world.net.setBlocked(a, b, blocked)
			}
		}
		if blocked {
			time.Sleep(duration)
		}
	}
}

// injectWorkerFault applies a fault to workers and removes it after the given duration.
func (m *scenario) injectWorkerFault(names []string, duration time.Duration, inject func(worker *fakeWorker, active bool)) {
	m.world.injectWorkerFault(names, duration, inject)
}

// injectWorkerFault applies a fault to workers and removes it after the given duration.
func (w *world) injectWorkerFault(names []string, duration time.Duration, inject func(worker *fakeWorker, active bool)) {
	for _, active := range []bool{true, false} {
		for _, worker := range w.workersNamed(names) {
			worker.mu.Lock()
			inject(worker, active)
			worker.mu.Unlock()
		}
		if active {
			time.Sleep(duration)
		}
	}
}

// workersNamed returns the workers with the given names that have booted.
func (w *world) workersNamed(names []string) (workers []*fakeWorker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		if worker := w.workers[name]; worker != nil {
			workers = append(workers, worker)
		}
	}
	return workers
}

// Faults for injectWorkerFault.

func dropHeartbeats(worker *fakeWorker, active bool) {
	worker.dropsHeartbeats, worker.heartbeatFaultChangedAt = active, time.Now()
}

func pauseWorker(worker *fakeWorker, active bool) { worker.paused = active }

func failTasks(worker *fakeWorker, active bool) { worker.failsTasks = active }

func dropResponses(worker *fakeWorker, active bool) { worker.dropsResponses = active }

func holdNextHeartbeat(worker *fakeWorker, active bool) { worker.holdsNextHeartbeat = active }

// deliverHeldHeartbeats delivers the held heartbeats of workers to the current leader and
// returns their number.
func (m *scenario) deliverHeldHeartbeats(names []string) (delivered int) {
	leader := m.leaderIndex()
	for _, worker := range m.world.workersNamed(names) {
		if worker.deliverHeld(m.ctx, leader) {
			delivered++
		}
	}
	return delivered
}

// otherControllers returns the names of all other controllers.
func (m *scenario) otherControllers(controller int) (names []string) {
	for other := range m.world.clusterSize {
		if other != controller {
			names = append(names, controllerName(other))
		}
	}
	return names
}
