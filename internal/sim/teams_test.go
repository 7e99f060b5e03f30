package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

// restartAll restarts all controllers after a change to the world's settings.
func (w *world) restartAll(controllers []*controllerProcess, change func()) {
	w.mu.Lock()
	change()
	w.mu.Unlock()
	for n := range w.clusterSize {
		controllers[n].crash()
		controllers[n] = w.boot(n)
	}
}

// Guards against a team that crowds out others. Sixteen teams with equal quotas share
// capacity for 1.5 times their guarantees, and one of them constantly submits ten times its
// share, ahead of the others. Each of the others must be served as if it were alone; the
// greedy team gets the rest.
func TestSixteenTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const teams = 16
		ctx, w, _, _, controllers, end := startWorld(t, 31, 48, 12, "")
		w.restartAll(controllers, func() { w.teamCount = teams })
		n := 0
		submit := func(team int, priority string, taskCount int, delay time.Duration) {
			w.submit(ctx, wire.Job{ID: fmt.Sprintf("req-%06d", n), Class: "c", Team: teamName(team), Kind: wire.KindArray, Priority: priority,
				TaskCount: taskCount, CPUs: 2, MemoryGB: 2, Image: "img", AllowSpot: true, ExpectedSeconds: 10}, delay, 0)
			n++
		}
		for i := range 20 {
			submit(0, "urgent", 40, time.Duration(1+8*i)*time.Second)
		}
		for team := 1; team < teams; team++ {
			for i := range 6 { // two cores on average, in bursts of four tasks
				submit(team, "urgent", 4, time.Duration(20+25*i+team)*time.Second)
			}
		}
		time.Sleep(215 * time.Second)
		w.mu.Lock()
		worst, best := 1.0, 0.0
		for team := range teams {
			submitted, done := 0, 0
			for jobID, job := range w.jobs {
				if job.Team != teamName(team) {
					continue
				}
				submitted++
				if w.allTasksDone(jobID) {
					done++
				}
			}
			share := float64(done) / float64(submitted)
			if team > 0 {
				worst, best = min(worst, share), max(best, share)
			} else if share == 0 {
				t.Error("no job of the greedy team is done")
			} else {
				t.Logf("the greedy team finished %.2f of its %d jobs", share, submitted)
			}
		}
		w.mu.Unlock()
		end()
		for _, violation := range w.violations {
			t.Error(violation)
		}
		if worst < 0.95 {
			t.Errorf("the worst served of the other teams finished %.2f of its jobs, want 0.95; the best finished %.2f", worst, best)
		}
		t.Logf("the other teams finished %.2f to %.2f of their jobs", worst, best)
	})
}

// One of two zones has room for only a third of what services spread over both zones need
// there. Arrays must not take that room, each service runs all replicas allowed in the large
// zone, no spare workers pile up there for replicas that belong in the small zone, and new
// services start in full while old ones wait.
func TestScarceZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w, _, cloud, controllers, end := startWorld(t, 33, 400, 40, "<rillflow><fleet><thrift>always</thrift></fleet></rillflow>")
		cloud.mu.Lock()
		cloud.zoneLimits = map[string]int{"b": 2} // 16 cores
		cloud.mu.Unlock()
		w.restartAll(controllers, func() {})
		for i := range 12 { // each needs 8 cores, half of them in each zone: 48 in the small one
			w.submit(ctx, wire.Job{ID: fmt.Sprintf("req-%06d", i), Class: "s", Team: "ab"[i%2 : i%2+1], Kind: wire.KindService, Priority: "production",
				TaskCount: 4, CPUs: 2, MemoryGB: 2, Image: "img", SpreadZones: true}, time.Duration(1+i)*time.Second, 0)
		}
		for i := range 10 {
			w.submit(ctx, wire.Job{ID: fmt.Sprintf("req-1%05d", i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "urgent",
				TaskCount: 10, CPUs: 4, MemoryGB: 2, Image: "img", AllowSpot: true, ExpectedSeconds: 10}, time.Duration(5+12*i)*time.Second, 0)
		}
		time.Sleep(260 * time.Second)
		w.mu.Lock()
		inZone := map[string]int{}
		for id, worker := range w.workerOf {
			if w.jobs[id.JobID].Kind == wire.KindService {
				inZone[w.workers[worker].instance.Zone]++
			}
		}
		w.mu.Unlock()
		cloud.mu.Lock()
		cores := map[string]int{}
		for _, instance := range cloud.instances {
			cores[instance.Zone] += 8
		}
		cloud.mu.Unlock()
		end()
		for _, violation := range w.violations {
			t.Error(violation)
		}
		if inZone["a"] != 24 || inZone["b"] != 8 {
			t.Errorf("%d replicas in the large zone, want all 24 allowed there; %d in the small zone, want the 8 that fit", inZone["a"], inZone["b"])
		}
		// 48 cores for replicas, and spare workers that are kept for a while.
		if cores["a"] > 96 {
			t.Errorf("%d cores in the large zone long after the arrays ended, want at most 96", cores["a"])
		}
		for jobID, job := range w.jobs {
			if job.Kind == wire.KindArray && w.lastPhase[jobID] != wire.PhaseDone {
				t.Errorf("job %s is %q, want done", jobID, w.lastPhase[jobID])
			}
		}
		t.Logf("replicas by zone %v, cores by zone %v", inZone, cores)
	})
}
