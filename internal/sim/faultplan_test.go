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

// faultPlan is a day on which faults meet: who is there, what runs, what happens, and what
// must be true at the end beside the rules.
type faultPlan struct {
	seed  uint64
	clusterSize  int     // controllers; 0: three
	teamCPULimit float64 // of each team, in CPUs; 0: plenty
	maxInstances  int     // machines of a kind and zone; 0: six
	jobs  []wire.Job
	// faults come 25 s into the day, and are over when it returns.
	faults func(m *scenario)
	recovery     time.Duration // after them; 0: 200 s
	operatorSettings string        // the operators' settings
	check     func(m *scenario)
}

// playFaults plays a day and checks it.
func runFaultPlan(t *testing.T, p faultPlan) {
	t.Helper()
	for k := range seedCount(1) {
		p.seed += 100 * k
		synctest.Test(t, func(t *testing.T) { p.run(t) })
	}
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
	w.checkCancelledTasksGone()
	w.mu.Lock()
	w.checkLargestJobsStarted()
	w.mu.Unlock()
	if p.check != nil {
		p.check(m)
	}
	end()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.violations {
		t.Error(b)
	}
	for _, jobID := range slices.Sorted(maps.Keys(w.acceptedAt)) {
		got, job := w.lastPhase[jobID], w.jobs[jobID]
		switch {
		case got == wire.PhaseDone || got == wire.PhaseCancelled && (w.cancelRequested[jobID] || w.dependsOnCancelled(jobID)):
		case job.Kind == wire.KindService && !w.cancelRequested[jobID]:
			for i := range job.TaskCount {
				if w.hostOf[ledger.Task{JobID: jobID, Index: i}] == "" {
					t.Errorf("%s/%d does not run at the end", jobID, i)
				}
			}
		default:
			t.Errorf("%s is %q at the end", jobID, got)
		}
	}
	if len(w.lateStarts) > 0 {
		t.Logf("%d starts after a withdrawal was told, the latest %v after", len(w.lateStarts), slices.Max(w.lateStarts))
	}
}

// array is a job of a few tasks that run for so long.
func array(i, taskCount int, duration time.Duration) wire.Job {
	return wire.Job{ID: testJobID(i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard", TaskCount: taskCount, CPUs: 1, MemoryGB: 1, Image: "img", ExpectedSeconds: duration.Seconds()}
}

// arrays are so many of them, changed as is told.
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

// concurrently runs faults at once, and waits for all to be over.
func concurrently(functions ...func()) {
	var wg sync.WaitGroup
	for _, f := range functions {
		wg.Go(f)
	}
	wg.Wait()
}

// cancelRepeatedly cancels jobs through a controller, again and again until it says so, or for so
// long.
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

// controllers are the names of all.
func (m *scenario) controllerNames() (names []string) {
	for n := range m.w.clusterSize {
		names = append(names, controllerName(n))
	}
	return names
}

// workers are those of a zone, or of all for "".
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

// busy are workers that have a task now.
func (m *scenario) busyWorkers() []string {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	busy := make(map[string]bool)
	for _, worker := range m.w.hostOf {
		busy[worker] = true
	}
	return slices.Sorted(maps.Keys(busy))
}

// limitCapacity lets a zone have no more workers than so many, or as many as ever for -1.
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

// restartControllers ends every controller, and begins those given anew after a while.
func (m *scenario) restartControllers(downtime time.Duration, restarted ...int) {
	for n := range m.w.clusterSize {
		if !m.processes[n].hasExited() {
			m.processes[n].crash()
		}
	}
	time.Sleep(downtime)
	for _, n := range restarted {
		m.processes[n] = m.w.boot(n)
	}
}

// phase asks a controller, and gives what it says of a job.
func (m *scenario) requestPhase(controller int, method, path string, body []byte) (int, string) {
	return m.w.request(m.ctx, m.client, controller, method, path, body)
}
