package sim

import (
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// faultPlan describes a run with concurrent faults: the cluster, the jobs, the faults, and
// what must hold at the end besides the rules.
type faultPlan struct {
	seed         uint64
	clusterSize  int     // number of controllers; 0: three
	teamCPULimit float64 // of each team; 0: 60
	maxInstances int     // workers per instance type and zone; 0: six
	jobs         []wire.Job
	// faults is called 25 s into the run and returns when all faults are over.
	faults           func(m *scenario)
	recovery         time.Duration // time after the faults; 0: 200 s
	operatorSettings string        // XML; "": defaults
	check            func(m *scenario)
}

// runFaultPlan runs a plan for each seed and checks the results.
func runFaultPlan(t *testing.T, p faultPlan) {
	t.Helper()
	for k := range seedCount(1) {
		p.seed += 100 * k
		synctest.Test(t, func(t *testing.T) { p.run(t) })
	}
}

// runOnce runs a plan with its own seed alone and checks the results.
func (p faultPlan) runOnce(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { p.run(t) })
}

func (p faultPlan) run(t *testing.T) {
	if p.clusterSize == 0 {
		p.clusterSize = controllerCount
	}
	if p.teamCPULimit == 0 {
		p.teamCPULimit = 60
	}
	if p.maxInstances == 0 {
		p.maxInstances = 6
	}
	ctx, w, store, cloud, controllers, end := startWorldOfSize(t, p.seed+40, p.clusterSize, p.teamCPULimit, p.maxInstances, p.operatorSettings)
	m := newScenario(t, ctx, w, store, cloud, controllers)
	w.wg.Go(func() { w.requestUnknownJobs(ctx) })
	for _, job := range p.jobs {
		w.submit(ctx, job, 0, 0)
	}
	time.Sleep(25 * time.Second)
	m.initialLeader = max(0, store.leaderIndex())
	p.faults(m)
	w.faultsEnded(cloud)
	if p.recovery == 0 {
		p.recovery = 200 * time.Second
	}
	time.Sleep(p.recovery)
	w.checkCancelledTasksEnded()
	w.mu.Lock()
	w.checkLargestJobsStarted()
	w.mu.Unlock()
	if p.check != nil {
		p.check(m)
	}
	end()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, violation := range w.violations {
		t.Error(violation)
	}
	for _, jobID := range slices.Sorted(maps.Keys(w.acceptedAt)) {
		got, job := w.lastPhase[jobID], w.jobs[jobID]
		switch {
		case got == wire.PhaseDone || got == wire.PhaseCancelled && (w.cancelRequested[jobID] || w.dependsOnCancelled(jobID)):
		case job.Kind == wire.KindService && !w.cancelRequested[jobID]:
			for i := range job.TaskCount {
				if w.workerOf[ledger.Task{JobID: jobID, Index: i}] == "" {
					t.Errorf("task %s/%d of a service does not run at the end", jobID, i)
				}
			}
		default:
			t.Errorf("job %s is %q at the end", jobID, got)
		}
	}
	if len(w.lateStarts) > 0 {
		t.Logf("%d task starts after a confirmed cancellation, the latest %v after it", len(w.lateStarts), slices.Max(w.lateStarts))
	}
}

// array returns an array job whose tasks run for the given duration.
func array(i, taskCount int, duration time.Duration) wire.Job {
	return wire.Job{ID: testJobID(i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard", TaskCount: taskCount, CPUs: 1, MemoryGB: 1, Image: "img", ExpectedSeconds: duration.Seconds()}
}

// arrays returns count array jobs, each modified by change if it is not nil.
func arrays(count, taskCount int, duration time.Duration, change func(i int, job *wire.Job)) (jobs []wire.Job) {
	for i := range count {
		job := array(i, taskCount, duration)
		if change != nil {
			change(i, &job)
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// concurrently runs functions in parallel and waits for all of them.
func concurrently(functions ...func()) {
	var wg sync.WaitGroup
	for _, f := range functions {
		wg.Go(f)
	}
	wg.Wait()
}

// cancelRepeatedly cancels jobs through a controller, retrying for the given duration until
// the controller confirms.
func (m *scenario) cancelRepeatedly(controller int, duration time.Duration, jobIDs ...string) {
	var wg sync.WaitGroup
	for _, jobID := range jobIDs {
		wg.Go(func() {
			for deadline := time.Now().Add(duration); !m.cancelJob(controller, jobID) && time.Now().Before(deadline) && m.ctx.Err() == nil; {
				time.Sleep(time.Second)
			}
		})
	}
	wg.Wait()
}

// controllerNames returns the names of all controllers.
func (m *scenario) controllerNames() (names []string) {
	for n := range m.world.clusterSize {
		names = append(names, controllerName(n))
	}
	return names
}

// workerNames returns the workers in a zone, or all workers for "".
func (m *scenario) workerNames(zone string) (names []string) {
	m.cloud.mu.Lock()
	defer m.cloud.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.cloud.instances)) {
		if zone == "" || m.cloud.instances[name].Zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// busyWorkers returns the workers that currently run a task.
func (m *scenario) busyWorkers() []string {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	busy := make(map[string]bool)
	for _, worker := range m.world.workerOf {
		busy[worker] = true
	}
	return slices.Sorted(maps.Keys(busy))
}

// limitCapacity limits the number of new workers in a zone; -1 removes the limit.
func (m *scenario) limitCapacity(zone string, limit int) {
	m.cloud.mu.Lock()
	defer m.cloud.mu.Unlock()
	if m.cloud.zoneLimits == nil {
		m.cloud.zoneLimits = make(map[string]int)
	}
	if limit < 0 {
		delete(m.cloud.zoneLimits, zone)
	} else {
		m.cloud.zoneLimits[zone] = limit
	}
}

// restartControllers crashes all controllers and starts the given ones after downtime.
func (m *scenario) restartControllers(downtime time.Duration, restarted ...int) {
	for n := range m.world.clusterSize {
		if !m.processes[n].hasExited() {
			m.processes[n].crash()
		}
	}
	time.Sleep(downtime)
	for _, n := range restarted {
		m.processes[n] = m.world.boot(n)
	}
}

// requestPhase sends a request to a controller and returns the status and the job's phase.
func (m *scenario) requestPhase(controller int, method, path string, body []byte) (int, string) {
	return m.world.request(m.ctx, m.client, controller, method, path, body)
}
