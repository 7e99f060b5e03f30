package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rillflow/internal/wire"
)

// randomScenario is a run whose jobs and faults are drawn from a seed.
type randomScenario struct {
	rnd         *rand.Rand
	ctx         context.Context
	world       *world
	store       *fakeStore
	cloud       *fakeCloud
	controllers []*controllerProcess
}

// scenarioFault is a kind of fault in a random scenario. inject returns when the fault is
// over; it ignores the controller if the fault does not affect a single one.
type scenarioFault struct {
	name      string
	losesData bool
	inject    func(d *randomScenario, controller int)
}

// commonFaults may occur in any random scenario. Crashes are twice as likely as the others.
var commonFaults = []scenarioFault{
	{name: "crash", inject: (*randomScenario).crash},
	{name: "crash", inject: (*randomScenario).crash},
	{name: "store outage", inject: (*randomScenario).storeOutage},
	{name: "network partition from the store", inject: (*randomScenario).partitionFromStore},
	{name: "network partition of a worker", inject: (*randomScenario).partitionWorker},
	{name: "store refuses one controller", inject: (*randomScenario).storeRefusesOne},
	{name: "network partition from peers", inject: (*randomScenario).partitionFromPeers},
	{name: "network partition of a zone", inject: (*randomScenario).partitionZone},
	{name: "cloud outage", inject: func(d *randomScenario, _ int) { d.cloud.refuseRequests(d.seconds(5, 60)) }},
}

var (
	crashAndDelayFaults = []scenarioFault{
		{name: "crash of several", inject: (*randomScenario).crashSeveral},
		{name: "crash loop", inject: (*randomScenario).crashLoop},
		{name: "short network partition of all workers", inject: (*randomScenario).partitionAllWorkers},
		{name: "slow store", inject: (*randomScenario).slowStore},
	}
	dataLossFaults = []scenarioFault{
		{name: "store wiped", losesData: true, inject: func(d *randomScenario, _ int) { d.store.loseData(allKeysLost, 0, "") }},
		{name: "store restored", losesData: true, inject: (*randomScenario).restoreStore},
		{name: "keys lost", losesData: true, inject: func(d *randomScenario, _ int) { d.store.loseData(someKeysLost, 0, "") }},
	}
)

// runRandomScenario runs a random scenario, with time to recover after the faults, and
// returns the violations. With pipelines, the controllers first restart one by one with
// lower store limits announced, and the limits are then lowered while jobs written under
// the old limits still exist.
func runRandomScenario(t testing.TB, seed uint64, withPipelines bool, operatorSettings string, tamper func(*world)) (violations []string, w *world) {
	return runRandomScenarioWith(t, seed, controllerCount, withPipelines, slices.Concat(commonFaults, crashAndDelayFaults), operatorSettings, tamper)
}

// runRandomScenarioWith is runRandomScenario with the given cluster size and kinds of faults.
func runRandomScenarioWith(
	t testing.TB, seed uint64, clusterSize int, withPipelines bool, faults []scenarioFault, operatorSettings string, tamper func(*world),
) (violations []string, w *world) {
	ctx, w, store, cloud, controllers, stop := startWorldOfSize(t, seed, clusterSize, 24, 3, operatorSettings)
	scenario := &randomScenario{rand.New(rand.NewPCG(seed, 7)), ctx, w, store, cloud, controllers}
	startedAt := time.Now()
	scenario.submitJobs()
	if tamper != nil {
		tamper(w)
	}
	time.Sleep(15 * time.Second)
	if withPipelines {
		scenario.upgradeToLowerLimits()
	}
	faultsEnded := make(chan struct{})
	w.wg.Go(func() { scenario.rebootNowAndThen(faultsEnded) })
	for range 8 {
		controller := scenario.rnd.IntN(w.clusterSize)
		faults[scenario.rnd.IntN(len(faults))].inject(scenario, controller)
		time.Sleep(scenario.seconds(0, 6))
	}
	close(faultsEnded)
	// Faults may take no time, but the last user cancels after 260 s.
	time.Sleep(max(150*time.Second, 300*time.Second-time.Since(startedAt)))
	if slices.ContainsFunc(faults, func(f scenarioFault) bool { return f.losesData }) {
		time.Sleep(120 * time.Second) // data losses take no time, which leaves less for recovery
	}
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violations, w
}

// seconds draws a whole number of seconds in [least, least+more).
func (d *randomScenario) seconds(least, more int) time.Duration {
	return time.Duration(least+d.rnd.IntN(more)) * time.Second
}

// submitJobs submits arrays and services over two minutes and cancels some of them.
func (d *randomScenario) submitJobs() {
	for i := range 14 {
		job := wire.Job{
			ID: testJobID(i), Class: "c", Team: []string{"a", "b"}[i%2], Kind: wire.KindArray, Priority: "standard",
			TaskCount: 1 + d.rnd.IntN(8), CPUs: float64(1 + d.rnd.IntN(3)), MemoryGB: 2, Image: "img",
			AllowSpot: i%3 == 0, ExpectedSeconds: float64(3 + d.rnd.IntN(20)),
		}
		if i%3 == 1 {
			job.Kind, job.Priority, job.TaskCount, job.CPUs, job.SpreadZones = wire.KindService, "production", 2, 1, true
		}
		cancelAfter := time.Duration(0)
		if job.Kind == wire.KindService || i%5 == 0 {
			cancelAfter = d.seconds(40, 100)
		}
		d.world.submit(d.ctx, job, d.seconds(0, 120), cancelAfter)
	}
}

// upgradeToLowerLimits submits a large array, restarts each controller with lower store
// limits announced, submits pipelines and then lowers the limits.
func (d *randomScenario) upgradeToLowerLimits() {
	w := d.world
	w.submit(d.ctx, wire.Job{
		ID: "req-099999", Class: "s", Team: "a", Kind: wire.KindArray, Priority: "urgent", TaskCount: 64, CPUs: 0.25,
		MemoryGB: 0.1, Image: "img", ExpectedSeconds: 60,
	}, 0, 0)
	for n := range w.clusterSize {
		d.controllers[n].crash()
		w.mu.Lock()
		w.upgraded[n] = true
		w.mu.Unlock()
		time.Sleep(w.randomDowntime())
		d.controllers[n] = w.boot(n)
		if other := (n + 1) % w.clusterSize; d.rnd.IntN(2) == 0 { // before or after its own restart
			d.crash(other)
		}
		time.Sleep(d.seconds(0, 8))
	}
	jobs, cancelAfter := pipelines(d.rnd)
	for _, job := range jobs {
		w.submit(d.ctx, job, d.seconds(0, 20), cancelAfter[job.ID])
	}
	time.Sleep(d.seconds(0, 5))
	d.store.lowerLimits(loweredValueBytes, loweredOperations)
}

func (d *randomScenario) crash(controller int) {
	d.controllers[controller].crash()
	time.Sleep(d.world.randomDowntime())
	d.controllers[controller] = d.world.boot(controller)
}

// crashSeveral crashes all other controllers and sometimes the given one, and restarts them
// one after the other.
func (d *randomScenario) crashSeveral(controller int) {
	for n := range d.world.clusterSize {
		if n != controller || d.rnd.IntN(2) == 0 {
			d.controllers[n].crash()
		}
	}
	for n := range d.world.clusterSize {
		if d.controllers[n].hasExited() {
			time.Sleep(d.world.randomDowntime() / 2)
			d.controllers[n] = d.world.boot(n)
		}
	}
}

func (d *randomScenario) crashLoop(controller int) {
	for range 20 {
		d.controllers[controller].crash()
		time.Sleep(20 * time.Millisecond)
		d.controllers[controller] = d.world.boot(controller)
		time.Sleep(time.Duration(50+d.rnd.IntN(900)) * time.Millisecond)
	}
}

func (d *randomScenario) slowStore(int) {
	d.store.respondSlowly(400 * time.Millisecond)
	time.Sleep(d.seconds(5, 30))
	d.store.respondSlowly(0)
}

func (d *randomScenario) storeOutage(int) {
	d.store.setOutage(true)
	time.Sleep(d.seconds(5, 30))
	d.store.setOutage(false)
}

func (d *randomScenario) storeRefusesOne(controller int) {
	d.store.refuseController(controllerName(controller), true)
	time.Sleep(d.seconds(5, 30))
	d.store.refuseController(controllerName(controller), false)
}

func (d *randomScenario) restoreStore(int) {
	d.store.loseData(restored, time.Duration(d.rnd.IntN(30_000))*time.Millisecond, "")
}

// partitionFromStore blocks the link between a controller and the store.
func (d *randomScenario) partitionFromStore(controller int) {
	d.world.net.setBlocked(controllerName(controller), "state", true)
	time.Sleep(d.seconds(5, 30))
	d.world.net.setBlocked(controllerName(controller), "state", false)
}

// partitionWorker cuts a worker off from all controllers, for more or less than its lease.
func (d *randomScenario) partitionWorker(int) {
	d.cloud.mu.Lock()
	var worker string
	for name := range d.cloud.instances {
		if worker == "" || name < worker {
			worker = name
		}
	}
	d.cloud.mu.Unlock()
	setPartitioned := func(blocked bool) {
		for n := range d.world.clusterSize {
			d.world.net.setBlocked(controllerName(n), worker, blocked)
		}
	}
	setPartitioned(true)
	time.Sleep(d.seconds(5, 40))
	setPartitioned(false)
}

func (d *randomScenario) partitionAllWorkers(int) {
	d.world.cutWorkersOff(d.cloud, time.Duration(50+d.rnd.IntN(1500))*time.Millisecond)
}

func (d *randomScenario) partitionFromPeers(controller int) {
	setPartitioned := func(blocked bool) {
		for n := range d.world.clusterSize {
			if n != controller {
				d.world.net.setBlocked(controllerName(controller), controllerName(n), blocked)
			}
		}
	}
	setPartitioned(true)
	time.Sleep(d.seconds(5, 20))
	setPartitioned(false)
}

// partitionZone cuts a controller's zone off from everything, for more or less than a lease.
func (d *randomScenario) partitionZone(controller int) {
	d.world.partitionZone(d.cloud, zoneOf(controller), true)
	time.Sleep(d.seconds(5, 60))
	d.world.partitionZone(d.cloud, zoneOf(controller), false)
}

// partitionZone blocks or restores all links between a zone's workers and controllers and
// everything outside it.
func (w *world) partitionZone(cloud *fakeCloud, zone string, blocked bool) {
	var inside []string
	outside := []string{"state", "cloud", "user"}
	for n := range w.clusterSize {
		name := fmt.Sprintf("host-%d", n)
		if zoneOf(n) == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	cloud.mu.Lock()
	for worker, instance := range cloud.instances {
		if instance.Zone == zone {
			inside = append(inside, worker)
		}
	}
	cloud.mu.Unlock()
	for _, a := range inside {
		for _, b := range outside {
			w.net.setBlocked(a, b, blocked)
		}
	}
}
