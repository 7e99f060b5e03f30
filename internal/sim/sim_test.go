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
	nodes  = 3 // controllers, where a day does not say otherwise
	report = 3 * time.Second
	lease  = 24 * time.Second
	cancel = 40 * time.Second
)

// clockOff is how far the clocks of controllers are off, which are told of a second.
var clockOff = map[string]time.Duration{"host-0": time.Second, "host-1": -time.Second, "host-2": 300 * time.Millisecond}

// The limits that the store falls to on a day with pipelines. A record
// just fits; a chunk of the many small tasks below, as laid out before, does not.
const (
	lowValue = 1 << 10
	lowOps   = 4
)

// begin sets up a world of controllers and what they need, with a limit for each
// team and as many workers of a kind as the most. end takes it down again.
func begin(t testing.TB, seed uint64, limit float64, most int, operator string) (ctx context.Context, w *world, st *store, cl *cloud, cs []*node, end func()) {
	return beginWith(t, seed, nodes, limit, most, operator)
}

// beginWith is begin with so many controllers.
func beginWith(t testing.TB, seed uint64, size int, limit float64, most int, operator string) (ctx context.Context, w *world, st *store, cl *cloud, cs []*node, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	w = &world{t: t, ctx: ctx, limit: limit, rnd: rand.New(rand.NewPCG(seed, 6)), net: newNetwork(rand.New(rand.NewPCG(seed, 8))), workers: map[string]*worker{}, jobs: map[string]wire.Job{},
		where: map[ledger.Task]string{}, used: map[string]float64{}, done: map[ledger.Task]bool{}, told: map[string]string{}, gone: map[string]time.Time{}, asked: map[string]bool{}, accepted: map[string]chan struct{}{}, taken: map[string]time.Time{}, ran: map[run]bool{}, operator: operator,
		begun: map[string]time.Time{}, answered: map[string]time.Time{}, waits: map[string]time.Time{}}
	w.most, w.size, w.upgraded = most, size, make(map[int]bool)
	st = newStore(rand.New(rand.NewPCG(seed, 9)), w.broke)
	w.store = st
	cl = &cloud{w: w, most: most, asks: map[string][]string{}, sizes: map[string]wire.ScaleOutRequest{}, hosts: map[string]wire.Instance{}, seen: map[string]time.Time{}, count: map[string]int{},
		types: []wire.InstanceType{{Name: "m", CPUs: 8, MemoryGB: 32, DiskGB: 20, ImagePullGBPerSecond: 1, PricePerHour: 1, SpotPricePerHour: 0.5, BootSeconds: 3, Zones: []string{"a", "b"}}}}
	var servers []*http.Server
	for host, h := range map[string]http.Handler{"state": st, "cloud": cl} {
		srv := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
		servers = append(servers, srv)
		go srv.Serve(w.net.listen(host, host+":1"))
	}
	cs = make([]*node, size)
	for n := range size {
		cs[n] = w.boot(n)
	}
	return ctx, w, st, cl, cs, func() {
		cancel()
		for _, c := range cs {
			c.kill()
		}
		st.outage(false)
		w.net.end()
		for _, srv := range servers {
			srv.Close()
		}
		for _, c := range cs {
			<-c.over
		}
		w.wg.Wait()
		st.mu.Lock()
		st.cond.Broadcast()
		st.mu.Unlock()
		for _, k := range w.workers {
			k.mu.Lock()
			for _, x := range k.tasks {
				if x.timer != nil {
					x.timer.Stop()
				}
			}
			k.mu.Unlock()
		}
		time.Sleep(2 * lease) // what still sleeps or waits comes to its end
	}
}

// seeds is how many days a test plays: as many as the environment says, or a few.
func seeds(few uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SIM_SEEDS"), 10, 64); err == nil {
		return n
	}
	return few
}

func TestRulesHold(t *testing.T) {
	for seed := range seeds(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				breaches, w := play(t, seed, seed%2 == 1, "", nil)
				for _, b := range breaches {
					t.Error(b)
				}
				for ref, j := range w.jobs {
					want := wire.PhaseDone
					if j.Kind == wire.KindService {
						want = wire.PhaseCancelled
					}
					if got := w.told[ref]; got != wire.PhaseDone && got != wire.PhaseCancelled {
						t.Errorf("%s is %q at the end, want %s: recovery took too long", ref, got, want)
					}
				}
				if w.starts == 0 {
					t.Error("no task ran")
				}
			})
		})
	}
}

// The checks themselves can fail: each finds what is made to look wrong.
func TestChecksCanFail(t *testing.T) {
	// every changes what the world believes of each job, not what is submitted.
	every := func(change func(w *world, ref string, j *wire.Job)) func(*world) {
		return func(w *world) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for ref, j := range w.jobs {
				change(w, ref, &j)
				w.jobs[ref] = j
			}
		}
	}
	for _, tc := range []struct {
		rule   string
		tamper func(*world)
	}{
		{"ran_twice", every(func(w *world, ref string, j *wire.Job) {
			for i := range j.TaskCount {
				w.where[ledger.Task{JobID: ref, Index: i}] = "elsewhere"
			}
		})},
		{"too_early", every(func(w *world, ref string, j *wire.Job) {
			w.jobs["req-9"] = wire.Job{ID: "req-9", TaskCount: 1}
			if ref != "req-9" {
				j.DependsOn = []string{"req-9"}
			}
		})},
		{"orphaned", every(func(w *world, ref string, j *wire.Job) {
			w.jobs["req-9"] = wire.Job{ID: "req-9"}
			w.gone["req-9"] = time.Now().Add(-time.Hour)
			if ref != "req-9" {
				j.DependsOn = []string{"req-9"}
			}
		})},
		{"quota", every(func(w *world, ref string, j *wire.Job) { j.CPUs *= 20 })},
	} {
		t.Run(tc.rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				breaches, _ := play(t, 1, false, "", tc.tamper)
				if !slices.ContainsFunc(breaches, func(b string) bool { return strings.HasPrefix(b, tc.rule) }) {
					t.Errorf("not noticed among %d breaches", len(breaches))
				}
			})
		})
	}
}

// With hundreds of workers the rules hold through a takeover, and what is
// written stays in proportion to the tasks: claims and finishes of many tasks
// share a change.
func TestManyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w, st, cl, cs, end := begin(t, 3, 1200, 100, "")
		const jobs, members = 12, 150
		for i := range jobs {
			w.submit(ctx, wire.Job{ID: fmt.Sprintf("req-%06d", i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard",
				TaskCount: members, CPUs: 2, MemoryGB: 2, Image: "img", AllowSpot: true, ExpectedSeconds: float64(10 + i)}, time.Duration(20+i)*time.Second, 0)
		}
		time.Sleep(35 * time.Second)
		leader := max(0, st.leads())
		cs[leader].crash()
		time.Sleep(8 * time.Second)
		cs[leader] = w.boot(leader)
		time.Sleep(200 * time.Second)
		end()
		for _, b := range w.breaches {
			t.Error(b)
		}
		for ref := range w.jobs {
			if w.told[ref] != wire.PhaseDone {
				t.Errorf("%s is %q", ref, w.told[ref])
			}
		}
		if n := len(cl.asks); len(w.workers) < 200 {
			t.Errorf("%d machines, %d requests for them", len(w.workers), n)
		}
		if n := len(st.log); n > jobs*members/2 {
			t.Errorf("%d changes for %d tasks", n, jobs*members)
		} else {
			t.Logf("%d machines, %d changes for %d tasks", len(w.workers), n, jobs*members)
		}
	})
}
