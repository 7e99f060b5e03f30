package sim

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

// Guards against mishandling of many worker failures at once. A zone is cut off from
// everything for longer than a lease while a leader outside it crashes; then some workers
// become unreachable and others stop, all at the same time. Workers in the zone are neither
// released nor lost, and all jobs finish. SIM_FLEET sets the number of workers: 700 take
// 40 s, and 2,000 have never run to the end.
func TestSimultaneousWorkerFailures(t *testing.T) {
	workerCount := 96
	if n, err := strconv.Atoi(os.Getenv("SIM_FLEET")); err == nil {
		workerCount = n
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, w, store, cloud, controllers, end := startWorld(t, 11, float64(4*workerCount), workerCount/2, "")
		for i := range 24 {
			job := wire.Job{ID: fmt.Sprintf("req-%06d", i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard",
				TaskCount: workerCount / 8, CPUs: 2, MemoryGB: 2, Image: "img", AllowSpot: i%2 == 0, ExpectedSeconds: float64(8 + i)}
			cancelAfter := time.Duration(0)
			if i%4 == 3 {
				job.Kind, job.Priority, job.TaskCount, job.CPUs, job.SpreadZones = wire.KindService, "production", workerCount/16, 1, true
				cancelAfter = 260 * time.Second
				if i == 11 {
					cancelAfter = 29 * time.Second // while its zone is cut off
				}
			}
			w.submit(ctx, job, time.Duration(2+i)*time.Second, cancelAfter)
		}
		time.Sleep(40 * time.Second)
		cloud.mu.Lock()
		before := maps.Clone(cloud.instances)
		cloud.mu.Unlock()
		zone := zoneOf(1)
		w.partitionZone(cloud, zone, true)
		time.Sleep(10 * time.Second)
		for n := range controllerCount {
			if zoneOf(n) != zone && strings.Contains(store.get("lead"), fmt.Sprintf("host-%d", n)) {
				controllers[n].crash()
				time.Sleep(8 * time.Second)
				controllers[n] = w.boot(n)
				break
			}
		}
		time.Sleep(35 * time.Second)
		w.partitionZone(cloud, zone, false)
		cloud.mu.Lock()
		kept, total := 0, 0
		for name, instance := range before {
			if instance.Zone == zone {
				total++
				if _, ok := cloud.instances[name]; ok {
					kept++
				}
			}
		}
		workers := slices.Sorted(maps.Keys(cloud.instances))
		cloud.mu.Unlock()
		time.Sleep(20 * time.Second)
		for i, name := range workers {
			switch i % 10 {
			case 3:
				w.stopWorker(name) // with all its tasks
			case 7:
				for n := range controllerCount {
					w.net.setBlocked(fmt.Sprintf("host-%d", n), name, true)
				}
			}
		}
		time.Sleep(20 * time.Second)
		for i, name := range workers {
			if i%10 == 7 {
				for n := range controllerCount {
					w.net.setBlocked(fmt.Sprintf("host-%d", n), name, false)
				}
			}
		}
		time.Sleep(220 * time.Second)
		end()
		for _, violation := range w.violations {
			t.Error(violation)
		}
		for jobID, job := range w.jobs {
			if want := map[string]string{wire.KindArray: wire.PhaseDone, wire.KindService: wire.PhaseCancelled}[job.Kind]; w.lastPhase[jobID] != want {
				t.Errorf("job %s is %q, want %s", jobID, w.lastPhase[jobID], want)
			}
		}
		// Only workers with a cancelled task, which might outlast the cancel timeout, are released.
		if kept*2 < total || total < workerCount/4 {
			t.Errorf("%d of %d workers in the partitioned zone were kept, want at least half", kept, total)
		}
		t.Logf("%d workers rented in all, %d of %d in the partitioned zone kept, %d store changes", cloud.lastNumber, kept, total, len(store.log))
	})
}

// Guards against leases that expire when a single controller is left and has fewer sockets
// than there are workers. All leases are renewed and all tasks run on.
func TestMoreWorkersThanSockets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workerCount = 96
		ctx, w, _, cloud, controllers, end := startWorld(t, 21, 4*workerCount, workerCount/2, "")
		w.mu.Lock()
		w.sockets = workerCount
		w.mu.Unlock()
		for n := range controllerCount {
			controllers[n].crash()
			controllers[n] = w.boot(n)
		}
		for i := range 12 {
			w.submit(ctx, wire.Job{ID: fmt.Sprintf("req-%06d", i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindService, Priority: "production",
				TaskCount: workerCount / 12, CPUs: 2, MemoryGB: 2, Image: "img"}, time.Duration(1+i)*time.Second, 0)
		}
		time.Sleep(45 * time.Second)
		w.mu.Lock()
		before := taskWorkers(maps.Clone(w.workerOf))
		w.mu.Unlock()
		controllers[0].crash()
		controllers[1].crash()
		time.Sleep(3 * leaseDuration)
		w.mu.Lock()
		surviving := 0
		for id, worker := range before {
			if w.workerOf[id] == worker {
				surviving++
			}
		}
		expired := 0
		for _, worker := range w.workers {
			worker.mu.Lock()
			if worker.incarnation > 1 {
				expired++
			}
			worker.mu.Unlock()
		}
		w.mu.Unlock()
		cloud.mu.Lock()
		rented := len(cloud.instances)
		cloud.mu.Unlock()
		controllers[0], controllers[1] = w.boot(0), w.boot(1)
		end()
		for _, violation := range w.violations {
			t.Error(violation)
		}
		if len(before) < workerCount/2 || surviving != len(before) || expired > 0 {
			t.Errorf("%d of %d tasks survived, want all; %d workers, %d leases expired, want none", surviving, len(before), rented, expired)
		}
		t.Logf("%d of %d tasks survived; %d workers, %d leases expired", surviving, len(before), rented, expired)
	})
}
