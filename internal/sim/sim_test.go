package sim

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

const (
	controllerCount   = 3 // default number of controllers
	heartbeatInterval = 3 * time.Second
	leaseDuration     = 24 * time.Second
	cancelTimeout     = 40 * time.Second
)

// clockOffsets are the clock errors of the controllers, within the 1 s of their settings.
var clockOffsets = map[string]time.Duration{"host-0": time.Second, "host-1": -time.Second, "host-2": 300 * time.Millisecond}

// The store's limits are lowered to these in runs with pipelines. A job record just
// fits, but a chunk of many small tasks written under the old limits does not.
const (
	loweredValueBytes = 1 << 10
	loweredOperations = 4
)

// startWorld starts controllers, a store and a cloud, with a CPU limit for each team and
// at most maxInstances workers per type and zone. end stops them all.
func startWorld(t testing.TB, seed uint64, teamCPULimit float64, maxInstances int, operatorSettings string) (ctx context.Context, w *world, store *fakeStore, cloud *fakeCloud, controllers []*controllerProcess, end func()) {
	return startWorldOfSize(t, seed, controllerCount, teamCPULimit, maxInstances, operatorSettings)
}

// startWorldOfSize is startWorld with clusterSize controllers.
func startWorldOfSize(t testing.TB, seed uint64, clusterSize int, teamCPULimit float64, maxInstances int, operatorSettings string) (ctx context.Context, w *world, store *fakeStore, cloud *fakeCloud, controllers []*controllerProcess, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	w = &world{t: t, ctx: ctx, teamCPULimit: teamCPULimit, rnd: rand.New(rand.NewPCG(seed, 6)), net: newNetwork(rand.New(rand.NewPCG(seed, 8))), workers: map[string]*fakeWorker{}, jobs: map[string]wire.Job{}, uploadedJobs: map[string]wire.Job{},
		workerOf: map[ledger.Task]string{}, usedCPUs: map[string]float64{}, doneTasks: map[ledger.Task]bool{}, lastPhase: map[string]string{}, cancelledAt: map[string]time.Time{}, cancelRequested: map[string]bool{}, acceptedSignal: map[string]chan struct{}{}, acceptedAt: map[string]time.Time{}, startedAttempts: map[startedAttempt]bool{}, endedAttempts: map[startedAttempt]bool{}, operatorSettings: operatorSettings,
		firstStart: map[string]time.Time{}, lastResponse: map[string]time.Time{}, waitingWithRoomSince: map[string]time.Time{}}
	w.maxInstances, w.clusterSize, w.upgraded = maxInstances, clusterSize, make(map[int]bool)
	store = newFakeStore(rand.New(rand.NewPCG(seed, 9)), w.recordViolation)
	w.store = store
	cloud = &fakeCloud{world: w, bootTime: 3 * time.Second, maxInstances: maxInstances, grantedNames: map[string][]string{}, requests: map[string]wire.ScaleOutRequest{}, instances: map[string]wire.Instance{}, createdAt: map[string]time.Time{}, instanceCount: map[string]int{},
		types: []wire.InstanceType{{Name: "m", CPUs: 8, MemoryGB: 32, DiskGB: 20, ImagePullGBPerSecond: 1, PricePerHour: 1, SpotPricePerHour: 0.5, BootSeconds: 3, Zones: []string{"a", "b"}}}}
	var servers []*http.Server
	for host, handler := range map[string]http.Handler{"state": store, "cloud": cloud} {
		server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
		servers = append(servers, server)
		go server.Serve(w.net.listen(host, host+":1"))
	}
	controllers = make([]*controllerProcess, clusterSize)
	for n := range clusterSize {
		controllers[n] = w.boot(n)
	}
	return ctx, w, store, cloud, controllers, func() {
		cancel()
		for _, process := range controllers {
			process.kill()
		}
		store.setOutage(false)
		w.net.shutdown()
		for _, server := range servers {
			server.Close()
		}
		for _, process := range controllers {
			<-process.exited
		}
		w.wg.Wait()
		store.mu.Lock()
		store.cond.Broadcast()
		store.mu.Unlock()
		for _, worker := range w.workers {
			worker.mu.Lock()
			for _, task := range worker.tasks {
				if task.timer != nil {
					task.timer.Stop()
				}
			}
			worker.mu.Unlock()
		}
		time.Sleep(2 * leaseDuration) // remaining timers and sleeps run out
	}
}

// seedCount returns how many seeds a test runs: SIM_SEEDS if set, or the default.
func seedCount(defaultCount uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SIM_SEEDS"), 10, 64); err == nil {
		return n
	}
	return defaultCount
}

// Guards against rule violations, and against jobs that never end, under random faults. With one
// controller, which alone may answer all workers, claims are freed by expired leases most often.
func TestRandomScenarios(t *testing.T) {
	for seed := range seedCount(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkRandomScenario(t, seed, controllerCount, seed%2 == 1) })
	}
	for seed := range seedCount(8) {
		t.Run(fmt.Sprint("one controller, seed ", seed), func(t *testing.T) { checkRandomScenario(t, seed, 1, false) })
	}
}

// checkRandomScenario runs a random scenario, and checks the rules and that all jobs end.
func checkRandomScenario(t *testing.T, seed uint64, clusterSize int, withPipelines bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		faults := slices.Concat(commonFaults, crashAndDelayFaults)
		violations, w := runRandomScenarioWith(t, seed, clusterSize, withPipelines, faults, "", nil)
		for _, violation := range violations {
			t.Error(violation)
		}
		for jobID, job := range w.jobs {
			want := wire.PhaseDone
			if job.Kind == wire.KindService {
				want = wire.PhaseCancelled
			}
			if got := w.lastPhase[jobID]; got != wire.PhaseDone && got != wire.PhaseCancelled {
				t.Errorf("job %s is %q at the end, want %s: recovery took too long", jobID, got, want)
			}
		}
		if w.starts == 0 {
			t.Error("no task started")
		}
	})
}

// Guards against rule checks that never fail: each check must report a violation when
// the world's record is falsified.
func TestChecksDetectViolations(t *testing.T) {
	// changeEachJob changes the world's record of each job, not what is submitted.
	changeEachJob := func(change func(w *world, jobID string, job *wire.Job)) func(*world) {
		return func(w *world) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for jobID, job := range w.jobs {
				change(w, jobID, &job)
				w.jobs[jobID] = job
			}
		}
	}
	for _, tc := range []struct {
		rule   string
		tamper func(*world)
	}{
		{"ran_twice", changeEachJob(func(w *world, jobID string, job *wire.Job) {
			for i := range job.TaskCount {
				w.workerOf[ledger.Task{JobID: jobID, Index: i}] = "elsewhere"
			}
		})},
		{"too_early", changeEachJob(func(w *world, jobID string, job *wire.Job) {
			w.jobs["req-9"] = wire.Job{ID: "req-9", TaskCount: 1}
			if jobID != "req-9" {
				job.DependsOn = []string{"req-9"}
			}
		})},
		{"orphaned", changeEachJob(func(w *world, jobID string, job *wire.Job) {
			w.jobs["req-9"] = wire.Job{ID: "req-9"}
			w.cancelledAt["req-9"] = time.Now().Add(-time.Hour)
			if jobID != "req-9" {
				job.DependsOn = []string{"req-9"}
			}
		})},
		{"quota", changeEachJob(func(w *world, jobID string, job *wire.Job) { job.CPUs *= 20 })},
	} {
		t.Run(tc.rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				violations, _ := runRandomScenario(t, 1, false, "", tc.tamper)
				if !slices.ContainsFunc(violations, func(violation string) bool { return strings.HasPrefix(violation, tc.rule) }) {
					t.Errorf("got %d violations, want one of rule %s", len(violations), tc.rule)
				}
			})
		})
	}
}

// With hundreds of workers, the rules hold through a leader change, and the number of
// store changes stays well below the number of tasks, because claims and ends of many
// tasks are written together.
func TestManyWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w, store, cloud, controllers, end := startWorld(t, 3, 1200, 100, "")
		const jobs, tasksPerJob = 12, 150
		for i := range jobs {
			w.submit(ctx, wire.Job{ID: fmt.Sprintf("req-%06d", i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard",
				TaskCount: tasksPerJob, CPUs: 2, MemoryGB: 2, Image: "img", AllowSpot: true, ExpectedSeconds: float64(10 + i)}, time.Duration(20+i)*time.Second, 0)
		}
		time.Sleep(35 * time.Second)
		leader := max(0, store.leaderIndex())
		controllers[leader].crash()
		time.Sleep(8 * time.Second)
		controllers[leader] = w.boot(leader)
		time.Sleep(200 * time.Second)
		end()
		for _, violation := range w.violations {
			t.Error(violation)
		}
		for jobID := range w.jobs {
			if w.lastPhase[jobID] != wire.PhaseDone {
				t.Errorf("job %s is %q, want done", jobID, w.lastPhase[jobID])
			}
		}
		if n := len(cloud.grantedNames); len(w.workers) < 200 {
			t.Errorf("%d workers after %d granted requests, want at least 200 workers", len(w.workers), n)
		}
		if n := len(store.log); n > jobs*tasksPerJob/2 {
			t.Errorf("%d store changes for %d tasks, want at most one for two tasks", n, jobs*tasksPerJob)
		} else {
			t.Logf("%d workers, %d store changes for %d tasks", len(w.workers), n, jobs*tasksPerJob)
		}
	})
}
