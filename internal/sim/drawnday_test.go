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

// drawnDay is a day whose jobs and faults are drawn from a seed.
type drawnDay struct {
	rnd         *rand.Rand
	ctx         context.Context
	world       *world
	store       *store
	cloud       *cloud
	controllers []*node
}

// drawnFault is a kind of fault that a drawn day may have. It strikes a controller, where it is one of
// controllers, and is over when it returns.
type drawnFault struct {
	name      string
	losesData bool
	strike    func(d *drawnDay, controller int)
}

// Faults that any drawn day may have; a crash is drawn twice as often.
var commonFaults = []drawnFault{
	{name: "crash", strike: (*drawnDay).crash},
	{name: "crash", strike: (*drawnDay).crash},
	{name: "store outage", strike: (*drawnDay).storeOutage},
	{name: "network partition from the store", strike: (*drawnDay).partitionFromStore},
	{name: "network partition of a worker", strike: (*drawnDay).partitionWorker},
	{name: "store refuses one controller", strike: (*drawnDay).storeRefusesOne},
	{name: "network partition from peers", strike: (*drawnDay).partitionFromPeers},
	{name: "network partition of a zone", strike: (*drawnDay).partitionZone},
}

var (
	crashAndDelayFaults = []drawnFault{
		{name: "crash of several", strike: (*drawnDay).crashSeveral},
		{name: "crash loop", strike: (*drawnDay).crashLoop},
		{name: "short network partition of all workers", strike: (*drawnDay).partitionAllWorkers},
		{name: "slow store", strike: (*drawnDay).slowStore},
	}
	dataLossFaults = []drawnFault{
		{name: "store wiped", losesData: true, strike: func(d *drawnDay, _ int) { d.store.loseData(wiped, 0, "") }},
		{name: "store restored", losesData: true, strike: (*drawnDay).restoreStore},
		{name: "keys lost", losesData: true, strike: func(d *drawnDay, _ int) { d.store.loseData(holes, 0, "") }},
	}
)

// play plays a day and returns the rules it broke. Faults are drawn from the
// seed; after them there is time to recover. On a day with pipelines the
// controllers first come back one by one knowing of lower limits, which then
// come into force while jobs laid out before are on hand.
func play(t testing.TB, seed uint64, piped bool, operator string, tamper func(*world)) (breaches []string, w *world) {
	return playWith(t, seed, nodes, piped, slices.Concat(commonFaults, crashAndDelayFaults), operator, tamper)
}

// playWith plays a day of so many controllers with faults of the kinds given.
func playWith(
	t testing.TB, seed uint64, size int, piped bool, faults []drawnFault, operator string, tamper func(*world),
) (breaches []string, w *world) {
	ctx, w, st, cl, cs, stop := beginWith(t, seed, size, 24, 3, operator)
	day := &drawnDay{rand.New(rand.NewPCG(seed, 7)), ctx, w, st, cl, cs}
	began := time.Now()
	day.submitJobs()
	if tamper != nil {
		tamper(w)
	}
	time.Sleep(15 * time.Second)
	if piped {
		day.upgradeToLowerLimits()
	}
	for range 8 {
		controller := day.rnd.IntN(w.size)
		faults[day.rnd.IntN(len(faults))].strike(day, controller)
		time.Sleep(day.seconds(0, 6))
	}
	// Faults that take no time make a short day; the last user cancels after 260 s.
	time.Sleep(max(150*time.Second, 300*time.Second-time.Since(began)))
	if slices.ContainsFunc(faults, func(f drawnFault) bool { return f.losesData }) {
		time.Sleep(120 * time.Second) // losses take no time, so the day was shorter
	}
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breaches, w
}

// seconds draws whole seconds, from the least on and fewer than so many more.
func (d *drawnDay) seconds(least, more int) time.Duration {
	return time.Duration(least+d.rnd.IntN(more)) * time.Second
}

// submitJobs has arrays and services submitted over two minutes, some of which are cancelled.
func (d *drawnDay) submitJobs() {
	for i := range 14 {
		j := wire.Job{
			ID: ref(i), Class: "c", Team: []string{"a", "b"}[i%2], Kind: wire.KindArray, Priority: "standard",
			TaskCount: 1 + d.rnd.IntN(8), CPUs: float64(1 + d.rnd.IntN(3)), MemoryGB: 2, Image: "img",
			AllowSpot: i%3 == 0, ExpectedSeconds: float64(3 + d.rnd.IntN(20)),
		}
		if i%3 == 1 {
			j.Kind, j.Priority, j.TaskCount, j.CPUs, j.SpreadZones = wire.KindService, "production", 2, 1, true
		}
		withdraw := time.Duration(0)
		if j.Kind == wire.KindService || i%5 == 0 {
			withdraw = d.seconds(40, 100)
		}
		d.world.submit(d.ctx, j, d.seconds(0, 120), withdraw)
	}
}

// upgradeToLowerLimits has a large array run, restarts each controller knowing of lower limits of the
// store, has pipelines submitted and lets the limits fall.
func (d *drawnDay) upgradeToLowerLimits() {
	w := d.world
	w.submit(d.ctx, wire.Job{
		ID: "req-099999", Class: "s", Team: "a", Kind: wire.KindArray, Priority: "urgent", TaskCount: 64, CPUs: 0.25,
		MemoryGB: 0.1, Image: "img", ExpectedSeconds: 60,
	}, 0, 0)
	for n := range w.size {
		d.controllers[n].crash()
		w.mu.Lock()
		w.upgraded[n] = true
		w.mu.Unlock()
		time.Sleep(w.randomDowntime())
		d.controllers[n] = w.boot(n)
		if other := (n + 1) % w.size; d.rnd.IntN(2) == 0 { // before or after its turn
			d.crash(other)
		}
		time.Sleep(d.seconds(0, 8))
	}
	jobs, withdraw := pipelines(d.rnd)
	for _, j := range jobs {
		w.submit(d.ctx, j, d.seconds(0, 20), withdraw[j.ID])
	}
	time.Sleep(d.seconds(0, 5))
	d.store.lowerLimits(lowValue, lowOps)
}

func (d *drawnDay) crash(controller int) {
	d.controllers[controller].crash()
	time.Sleep(d.world.randomDowntime())
	d.controllers[controller] = d.world.boot(controller)
}

// crashSeveral ends all controllers, the one drawn or not, which come back one after the other.
func (d *drawnDay) crashSeveral(controller int) {
	for n := range d.world.size {
		if n != controller || d.rnd.IntN(2) == 0 {
			d.controllers[n].crash()
		}
	}
	for n := range d.world.size {
		if d.controllers[n].ended() {
			time.Sleep(d.world.randomDowntime() / 2)
			d.controllers[n] = d.world.boot(n)
		}
	}
}

func (d *drawnDay) crashLoop(controller int) {
	for range 20 {
		d.controllers[controller].crash()
		time.Sleep(20 * time.Millisecond)
		d.controllers[controller] = d.world.boot(controller)
		time.Sleep(time.Duration(50+d.rnd.IntN(900)) * time.Millisecond)
	}
}

func (d *drawnDay) slowStore(int) {
	d.store.respondSlowly(400 * time.Millisecond)
	time.Sleep(d.seconds(5, 30))
	d.store.respondSlowly(0)
}

func (d *drawnDay) storeOutage(int) {
	d.store.outage(true)
	time.Sleep(d.seconds(5, 30))
	d.store.outage(false)
}

func (d *drawnDay) storeRefusesOne(controller int) {
	d.store.refuseAlone(name(controller), true)
	time.Sleep(d.seconds(5, 30))
	d.store.refuseAlone(name(controller), false)
}

func (d *drawnDay) restoreStore(int) {
	d.store.loseData(restored, time.Duration(d.rnd.IntN(30_000))*time.Millisecond, "")
}

// partitionFromStore holds the packets between a controller and the store.
func (d *drawnDay) partitionFromStore(controller int) {
	d.world.net.cut(name(controller), "state", true)
	time.Sleep(d.seconds(5, 30))
	d.world.net.cut(name(controller), "state", false)
}

// partitionWorker cuts a worker from all controllers, for longer than its lease or not.
func (d *drawnDay) partitionWorker(int) {
	d.cloud.mu.Lock()
	var host string
	for h := range d.cloud.hosts {
		if host == "" || h < host {
			host = h
		}
	}
	d.cloud.mu.Unlock()
	cut := func(on bool) {
		for n := range d.world.size {
			d.world.net.cut(name(n), host, on)
		}
	}
	cut(true)
	time.Sleep(d.seconds(5, 40))
	cut(false)
}

func (d *drawnDay) partitionAllWorkers(int) {
	d.world.cutWorkersOff(d.cloud, time.Duration(50+d.rnd.IntN(1500))*time.Millisecond)
}

func (d *drawnDay) partitionFromPeers(controller int) {
	cut := func(on bool) {
		for n := range d.world.size {
			if n != controller {
				d.world.net.cut(name(controller), name(n), on)
			}
		}
	}
	cut(true)
	time.Sleep(d.seconds(5, 20))
	cut(false)
}

// partitionZone cuts a controller's zone off from everything, for longer than a lease or not.
func (d *drawnDay) partitionZone(controller int) {
	d.world.partitionZone(d.cloud, zoneOf(controller), true)
	time.Sleep(d.seconds(5, 60))
	d.world.partitionZone(d.cloud, zoneOf(controller), false)
}

// partitionZone cuts a zone's workers and controllers off from all that is outside, or
// ends that.
func (w *world) partitionZone(cl *cloud, zone string, on bool) {
	var in []string
	out := []string{"state", "cloud", "user"}
	for n := range w.size {
		name := fmt.Sprintf("host-%d", n)
		if zoneOf(n) == zone {
			in = append(in, name)
		} else {
			out = append(out, name)
		}
	}
	cl.mu.Lock()
	for ref, h := range cl.hosts {
		if h.Zone == zone {
			in = append(in, ref)
		}
	}
	cl.mu.Unlock()
	for _, a := range in {
		for _, b := range out {
			w.net.cut(a, b, on)
		}
	}
}
