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

// Many workers fall together: a zone is cut off from everything for longer than
// a lease, with the leader outside crashing meanwhile; then some workers hang and
// others stop, all at once. No rule is broken, what runs behind the cut is neither
// returned nor lost, and everything is done in the end. SIM_FLEET gives another
// number of workers; 700 take 40 s, 2,000 were not seen to the end.
func TestFallTogether(t *testing.T) {
	machines := 96
	if n, err := strconv.Atoi(os.Getenv("SIM_FLEET")); err == nil {
		machines = n
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, w, st, cl, cs, end := begin(t, 11, float64(4*machines), machines/2, "")
		for i := range 24 {
			j := wire.Job{ID: fmt.Sprintf("req-%06d", i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard",
				TaskCount: machines / 8, CPUs: 2, MemoryGB: 2, Image: "img", AllowSpot: i%2 == 0, ExpectedSeconds: float64(8 + i)}
			withdraw := time.Duration(0)
			if i%4 == 3 {
				j.Kind, j.Priority, j.TaskCount, j.CPUs, j.SpreadZones = wire.KindService, "production", machines/16, 1, true
				withdraw = 260 * time.Second
				if i == 11 {
					withdraw = 29 * time.Second // while its zone is cut off
				}
			}
			w.submit(ctx, j, time.Duration(2+i)*time.Second, withdraw)
		}
		time.Sleep(40 * time.Second)
		cl.mu.Lock()
		before := maps.Clone(cl.hosts)
		cl.mu.Unlock()
		zone := zoneOf(1)
		w.partitionZone(cl, zone, true)
		time.Sleep(10 * time.Second)
		for n := range nodes {
			if zoneOf(n) != zone && strings.Contains(st.get("lead"), fmt.Sprintf("host-%d", n)) {
				cs[n].crash()
				time.Sleep(8 * time.Second)
				cs[n] = w.boot(n)
				break
			}
		}
		time.Sleep(35 * time.Second)
		w.partitionZone(cl, zone, false)
		cl.mu.Lock()
		kept, all := 0, 0
		for ref, h := range before {
			if h.Zone == zone {
				all++
				if _, ok := cl.hosts[ref]; ok {
					kept++
				}
			}
		}
		hosts := slices.Sorted(maps.Keys(cl.hosts))
		cl.mu.Unlock()
		time.Sleep(20 * time.Second)
		for i, h := range hosts {
			switch i % 10 {
			case 3:
				w.stop(h) // with all that is on it
			case 7:
				for n := range nodes {
					w.net.cut(fmt.Sprintf("host-%d", n), h, true)
				}
			}
		}
		time.Sleep(20 * time.Second)
		for i, h := range hosts {
			if i%10 == 7 {
				for n := range nodes {
					w.net.cut(fmt.Sprintf("host-%d", n), h, false)
				}
			}
		}
		time.Sleep(220 * time.Second)
		end()
		for _, b := range w.breaches {
			t.Error(b)
		}
		for ref, j := range w.jobs {
			if want := map[string]string{wire.KindArray: wire.PhaseDone, wire.KindService: wire.PhaseCancelled}[j.Kind]; w.told[ref] != want {
				t.Errorf("%s is %q, want %s", ref, w.told[ref], want)
			}
		}
		// Only workers with a cancelled task, which would outlive its time, go.
		if kept*2 < all || all < machines/4 {
			t.Errorf("%d of %d machines behind the cut were kept", kept, all)
		}
		t.Logf("%d machines rented in all, %d of %d behind the cut kept, %d changes written", cl.next, kept, all, len(st.log))
	})
}

// One controller is left with all workers, and has fewer places for connections than
// there are workers: their leases last all the same, and their tasks run on.
func TestMoreMachinesThanSockets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const machines = 96
		ctx, w, _, cl, cs, end := begin(t, 21, 4*machines, machines/2, "")
		w.mu.Lock()
		w.sockets = machines
		w.mu.Unlock()
		for n := range nodes {
			cs[n].crash()
			cs[n] = w.boot(n)
		}
		for i := range 12 {
			w.submit(ctx, wire.Job{ID: fmt.Sprintf("req-%06d", i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindService, Priority: "production",
				TaskCount: machines / 12, CPUs: 2, MemoryGB: 2, Image: "img"}, time.Duration(1+i)*time.Second, 0)
		}
		time.Sleep(45 * time.Second)
		w.mu.Lock()
		before := places(maps.Clone(w.where))
		w.mu.Unlock()
		cs[0].crash()
		cs[1].crash()
		time.Sleep(3 * lease)
		w.mu.Lock()
		kept := 0
		for id, host := range before {
			if w.where[id] == host {
				kept++
			}
		}
		expired := 0
		for _, k := range w.workers {
			k.mu.Lock()
			if k.tenure > 1 {
				expired++
			}
			k.mu.Unlock()
		}
		w.mu.Unlock()
		cl.mu.Lock()
		up := len(cl.hosts)
		cl.mu.Unlock()
		cs[0], cs[1] = w.boot(0), w.boot(1)
		end()
		for _, b := range w.breaches {
			t.Error(b)
		}
		if len(before) < machines/2 || kept != len(before) || expired > 0 {
			t.Errorf("%d of %d tasks run on, %d machines, %d leases ran out", kept, len(before), up, expired)
		}
		t.Logf("%d of %d tasks run on, %d machines, %d leases ran out", kept, len(before), up, expired)
	})
}
