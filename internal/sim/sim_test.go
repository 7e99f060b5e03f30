package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/serve"
	"rillflow/internal/settings"
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

// zoneOf is the zone of a controller.
func zoneOf(n int) string { return []string{"a", "b", "a"}[n%3] }

func front(n int) string { return fmt.Sprintf("front-%d:80", n) }
func back(n int) string  { return fmt.Sprintf("back-%d:81", n) }

// world knows what is true, and checks the rules against it.
type world struct {
	t   testing.TB
	net *network
	ctx context.Context
	wg  sync.WaitGroup

	mu       sync.Mutex
	rnd      *rand.Rand
	workers  map[string]*worker
	jobs     map[string]wire.Job
	where    map[ledger.Task]string // host that a task is on
	used     map[string]float64     // CPUs, by team
	done     map[ledger.Task]bool
	told     map[string]string    // last phase told, by job
	gone     map[string]time.Time // withdrawn as told
	asked    map[string]bool      // a withdrawal was sent
	accepted map[string]chan struct{}
	taken    map[string]time.Time  // when first told accepted
	again    func(ref string) bool // whether a user submits again now, though accepted
	limit    float64               // of each team, in CPUs
	size     int                   // controllers
	upgraded map[int]bool          // controllers told of the lower limits to come
	starts   int
	spread   float64              // how much longer each task of a job runs than the one before it, as a ratio to the first
	mute     bool                 // new machines reach no controller
	echoes   float64              // share of the reports of which a copy arrives again, late
	most     int                  // machines of a kind and zone
	sockets  int                  // of a controller; 0: plenty
	teams    int                  // equal ones; 0: two
	ran      map[run]bool         // tries that started
	begun    map[string]time.Time // first start of a task, by job
	answered map[string]time.Time // last answer about a job
	calm     time.Time            // when the last trouble was over; zero: not yet
	waits    map[string]time.Time // jobs that wait though there is room, since when
	late     []time.Duration      // starts after a confirmed withdrawal, how long after
	operator string               // the operators' settings; "": none of their own
	store    *store
	breaches []string
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

func (w *world) ended() bool { return w.ctx.Err() != nil }

func (w *world) broke(format string, a ...any) {
	w.breaches = append(w.breaches, fmt.Sprintf(format, a...))
}

// run is a try of a task on a machine.
type run struct {
	task ledger.Task
	try  uint64
	host string
}

// on notes a task's start and checks the rules that a start can break.
func (w *world) on(id ledger.Task, try uint64, h wire.Instance) wire.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.ran[run{id, try, h.Name}] = true
	if w.begun[id.JobID].IsZero() {
		w.begun[id.JobID] = time.Now()
	}
	j, ok := w.jobs[id.JobID]
	if !ok {
		w.broke("%s started, which nobody submitted", id)
		return j
	}
	for _, n := range j.DependsOn {
		for i := range w.jobs[n].TaskCount {
			if !w.done[ledger.Task{JobID: n, Index: i}] {
				w.broke("too_early: %s starts before %s/%d is done", id, n, i)
			}
		}
	}
	if other := w.where[id]; other != "" {
		w.broke("ran_twice: %s starts on %s while on %s", id, h.Name, other)
	}
	w.place(id, h.Name)
	if at, ok := w.gone[id.JobID]; ok {
		w.late = append(w.late, time.Since(at))
		if time.Since(at) > cancel {
			w.broke("ran_cancelled: %s starts %v after", id, time.Since(at))
		}
	}
	if h.Spot && !j.AllowSpot {
		w.broke("wrong_place: %s on a spot machine", id)
	}
	if len(j.InstanceTypes) > 0 && !slices.Contains(j.InstanceTypes, h.InstanceType) {
		w.broke("wrong_place: %s on a machine of type %s", id, h.InstanceType)
	}
	if j.Zone != "" && j.Zone != h.Zone {
		w.broke("wrong_place: %s in zone %s, not %s", id, h.Zone, j.Zone)
	}
	used, zone, all := w.used[j.Team], 0, 0
	for i := range j.TaskCount {
		if k := w.workers[w.where[ledger.Task{JobID: id.JobID, Index: i}]]; k != nil {
			if all++; k.h.Zone == h.Zone {
				zone++
			}
		}
	}
	if used > w.limit+1e-6 {
		w.broke("quota: %v CPUs of %s", used, j.Team)
	}
	if j.SpreadZones && zone > (j.TaskCount+1)/2 {
		w.broke("wrong_place: %d of %d tasks of %s in a zone", zone, j.TaskCount, id.JobID)
	}
	if j.SingleZone && zone < all {
		w.broke("wrong_place: %s in another zone than %d tasks of its job", id, all-zone)
	}
	return j
}

// orphan tells since when a user knows that something before a job is withdrawn;
// run it with the lock held.
func (w *world) orphan(ref string) (at time.Time) {
	for _, n := range w.jobs[ref].DependsOn {
		for _, t := range []time.Time{w.gone[n], w.orphan(n)} {
			if !t.IsZero() && (at.IsZero() || t.Before(at)) {
				at = t
			}
		}
	}
	return at
}

func (w *world) off(member, host string) {
	id, _ := ledger.ParseTask(member)
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok := w.gone[id.JobID]; ok && time.Since(at) > cancel {
		w.broke("ran_cancelled: %s was on %s %v after", id, host, time.Since(at))
	}
	if w.where[id] == host {
		w.place(id, "")
	}
}

// place notes where a task is, "" for nowhere, and what its team uses; run it with the
// lock held.
func (w *world) place(id ledger.Task, host string) {
	j := w.jobs[id.JobID]
	if _, there := w.where[id]; there {
		w.used[j.Team] -= j.CPUs
		delete(w.where, id)
	}
	if host != "" {
		w.where[id] = host
		w.used[j.Team] += j.CPUs
	}
}

func (w *world) complete(id ledger.Task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[id] = true
}

func (w *world) isDone(id ledger.Task) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[id]
}

func (w *world) start(h wire.Instance) {
	ctx, cancel := context.WithCancel(w.ctx)
	k := &worker{w: w, h: h, cancel: cancel, tenure: 1, sent: time.Now(), tasks: map[string]*task{}, node: w.intN(w.size), wake: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{DialContext: w.net.at(h.Name).Dial}}}
	w.mu.Lock()
	k.mute, k.muted = w.mute, time.Now()
	w.workers[h.Name] = k
	w.mu.Unlock()
	w.wg.Go(func() { k.run(ctx); k.client.CloseIdleConnections() })
}

// stop takes a machine away with all that is on it.
func (w *world) stop(name string) {
	w.mu.Lock()
	k := w.workers[name]
	w.mu.Unlock()
	if k == nil {
		return
	}
	k.cancel()
	w.net.reset(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clear()
	k.sent = time.Now().Add(time.Hour) // it is off: nothing happens there any more
}

func (w *world) settings(n int) *settings.Settings {
	op, err := settings.ParseOperator([]byte(w.operator))
	if err != nil {
		w.t.Fatal(err)
	}
	s := &settings.Settings{
		Name: fmt.Sprintf("host-%d", n), Zone: zoneOf(n), FrontAddress: front(n), PeerAddress: back(n), Operator: op,
		Services: settings.Services{Cloud: "cloud:1", Store: "state:1"},
		Facts: settings.Facts{
			ClockErrorMillis: 1000,
			Teams:            []settings.Team{{Name: "a", CPUs: 8, CPUsMax: w.limit}, {Name: "b", CPUs: 8, CPUsMax: w.limit}},
			Workers:          settings.WorkerTimings{HeartbeatSeconds: report.Seconds(), LeaseSeconds: lease.Seconds(), CancelSeconds: cancel.Seconds()},
			Store:            settings.StoreLimits{RPS: 200, WriteRPS: 50, ValueKB: 16, TxnOps: 16},
			Cloud:            settings.CloudLimits{RPS: 5, ListLagSeconds: 2},
			Resources:        settings.ProcessLimits{CPUShare: 0.1, MemoryMB: 1 << 15, Sockets: 500},
		},
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.Facts.Resources.Sockets = max(s.Facts.Resources.Sockets, 8*w.most)
	for i := range w.teams {
		if i == 0 {
			s.Facts.Teams = nil
		}
		s.Facts.Teams = append(s.Facts.Teams, settings.Team{Name: teamName(i), CPUs: 8, CPUsMax: w.limit})
	}
	if w.sockets > 0 {
		s.Facts.Resources.Sockets = w.sockets
	}
	if w.most >= 100 { // the limits of a larger deployment
		s.Facts.Store.RPS, s.Facts.Store.WriteRPS, s.Facts.Cloud.RPS = 500, 80, 12
	}
	if w.upgraded[n] {
		s.Facts.Store.Announced = &settings.AnnouncedStoreLimits{WriteRPS: 35, ValueKB: lowValue / 1024., TxnOps: lowOps}
	}
	for m := range w.size {
		if m != n {
			s.Peers = append(s.Peers, settings.Peer{Name: fmt.Sprintf("host-%d", m), Zone: zoneOf(m), Endpoint: back(m)})
		}
	}
	return s
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// node runs a controller's process: it is killed without warning, and comes
// back after a while.
type node struct {
	w    *world
	n    int
	kill context.CancelFunc
	over chan struct{}
}

func (w *world) boot(n int) *node {
	ctx, kill := context.WithCancel(context.Background())
	c := &node{w: w, n: n, kill: kill, over: make(chan struct{})}
	level := slog.LevelError
	if os.Getenv("SIM_LOG") != "" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	set := w.settings(n)
	go func() {
		defer close(c.over)
		serve.Run(ctx, set, w.net.at(set.Name), log.With("node", set.Name))
	}()
	return c
}

// crash ends the process without a goodbye. What it sent in its last moment may arrive
// up to a report interval later, also when another has taken its place.
func (c *node) crash() {
	name := fmt.Sprintf("host-%d", c.n)
	c.w.net.fall(name, time.Duration(c.w.intN(2))*report)
	c.kill()
	<-c.over
	c.w.net.fallen(name)
}

// away is how long a process is gone: from a moment to much longer than a grant lasts,
// in each order of size alike.
func (w *world) away() time.Duration {
	return time.Duration(20*math.Pow(500, float64(w.intN(1000))/1000)) * time.Millisecond
}

// ended tells whether the process has ended.
func (c *node) ended() bool {
	select {
	case <-c.over:
		return true
	default:
		return false
	}
}

// blink cuts every machine off from all controllers for a moment.
func (w *world) blink(cl *cloud, long time.Duration) {
	cl.mu.Lock()
	hosts := slices.Sorted(maps.Keys(cl.hosts))
	cl.mu.Unlock()
	for _, on := range []bool{true, false} {
		for _, h := range hosts {
			for n := range w.size {
				w.net.cut(fmt.Sprintf("host-%d", n), h, on)
			}
		}
		if on {
			time.Sleep(long)
		}
	}
}

// orNull is a text, or null for none.
func orNull(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// user submits a job, polls it, and may withdraw it.
func (w *world) user(ctx context.Context, j wire.Job, withdraw time.Duration) {
	client := w.client()
	body, _ := json.Marshal(map[string]any{
		"ref": j.ID, "jobclass": j.Class, "owner": j.Team, "shape": j.Kind, "rank": j.Priority, "members": j.TaskCount, "cores": j.CPUs,
		"accelerators": 0, "ram_gb": j.MemoryGB, "bundle": j.Image, "size_gb": 1, "same_place": j.SingleZone, "scatter": j.SpreadZones, "loaners": j.AllowSpot,
		"expect_s": j.ExpectedSeconds, "snapshot_s": 0, "flush_s": 0, "waits_on": j.DependsOn, "flavors": j.InstanceTypes, "locale": orNull(j.Zone),
	})
	for _, n := range j.DependsOn {
		w.mu.Lock()
		known := w.accepted[n]
		w.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-known:
		}
	}
	ask := func(method, path string, body []byte) (int, string) {
		return w.ask(ctx, client, w.intN(w.size), method, path, body)
	}
	start := time.Now()
	accepted := false
	var taken time.Time // when it was accepted
	for ctx.Err() == nil {
		var status int
		var phase string
		switch {
		case !accepted:
			status, phase = ask("POST", "/v1/jobs", body)
			if status == 400 || status == 422 {
				w.mu.Lock()
				w.broke("%s was refused: %d", j.ID, status)
				w.mu.Unlock()
			}
			if accepted = status == 200 || status == 201; accepted {
				taken = time.Now()
				w.mu.Lock()
				if w.taken[j.ID].IsZero() {
					close(w.accepted[j.ID])
					w.taken[j.ID] = taken
				}
				w.mu.Unlock()
			}
		case withdraw > 0 && time.Since(start) > withdraw:
			w.mu.Lock()
			w.asked[j.ID] = true
			w.mu.Unlock()
			status, phase = ask("POST", "/v1/jobs/"+j.ID+"/withdraw", nil)
		default:
			status, phase = ask("GET", "/v1/jobs/"+j.ID, nil)
		}
		w.mu.Lock()
		if accepted {
			w.heard(j.ID, status)
		}
		if accepted && status == 404 {
			w.broke("forgotten: %s", j.ID)
			accepted = w.again == nil
		}
		if accepted && w.again != nil && w.again(j.ID) {
			accepted = false
		}
		if was := w.told[j.ID]; (was == wire.PhaseDone || was == wire.PhaseCancelled) && phase != "" && phase != was {
			w.broke("went_back: %s from %s to %s", j.ID, was, phase)
		}
		if phase != "" {
			w.told[j.ID] = phase
		}
		if phase == wire.PhaseCancelled {
			if !w.asked[j.ID] && !w.severed(j.ID) {
				w.broke("went_back: %s called withdrawn", j.ID)
			}
			if w.gone[j.ID].IsZero() {
				w.gone[j.ID] = time.Now()
			}
		}
		// A job may be accepted long after what it needs was withdrawn.
		if at := w.orphan(j.ID); time.Since(taken) > cancel && (phase == wire.PhaseQueued || phase == wire.PhaseRunning) && !at.IsZero() && time.Since(at) > cancel {
			w.broke("orphaned: %s is %s %v after", j.ID, phase, time.Since(at))
		}
		if phase == wire.PhaseDone {
			for i := range j.TaskCount {
				if !w.done[ledger.Task{JobID: j.ID, Index: i}] {
					w.broke("not_done: %s/%d", j.ID, i)
				}
			}
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(2*time.Second + time.Duration(w.intN(int(2*time.Second)))):
		}
	}
}

// severed tells whether a user has asked to withdraw something before a job; run
// it with the lock held.
func (w *world) severed(ref string) bool {
	for _, n := range w.jobs[ref].DependsOn {
		if w.asked[n] || w.severed(n) {
			return true
		}
	}
	return false
}

// The limits that the state service falls to on a day with pipelines. A record
// just fits; a chunk of the many small tasks below, as laid out before, does not.
const (
	lowValue = 1 << 10
	lowOps   = 4
)

// pipelines are jobs that wait for others: chains and diamonds, some cut short
// by their users. And one of many small tasks, for the chunks that are on hand
// when the limits fall.
func pipelines(rnd *rand.Rand) (js []wire.Job, withdraw map[string]time.Duration) {
	withdraw = make(map[string]time.Duration)
	for p := range 5 {
		var last []string
		for s := range 4 {
			var stage []string
			for range 1 + rnd.IntN(2) {
				j := wire.Job{ID: fmt.Sprintf("req-1%02d%02d", p, len(js)), Class: "p", Team: "ab"[p%2 : p%2+1], Kind: wire.KindArray, Priority: "idle",
					TaskCount: 1 + rnd.IntN(4), CPUs: 1, MemoryGB: 1, Image: "img", AllowSpot: true, ExpectedSeconds: float64(2 + rnd.IntN(8)), DependsOn: last}
				if s == 3 {
					j.Priority, j.DeadlineSeconds = "urgent", 120
				}
				if rnd.IntN(8) == 0 {
					withdraw[j.ID] = time.Duration(1+rnd.IntN(30)) * time.Second
				}
				stage = append(stage, j.ID)
				js = append(js, j)
			}
			last = stage
		}
	}
	return js, withdraw
}

// begin sets up a world of controllers and what they need, with a limit for each
// team and as many machines of a kind as the most. end takes it down again.
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

// play plays a day and returns the rules it broke. Faults are drawn from the
// seed; after them there is time to recover. On a day with pipelines the
// controllers first come back one by one knowing of lower limits, which then
// come into force while jobs laid out before are on hand.
func play(t testing.TB, seed uint64, piped bool, operator string, tamper func(*world)) (breaches []string, w *world) {
	return playWith(t, seed, nodes, piped, []int{0, 1, 2, 3, 4, 5, 6, 7, fallMany, fallOften, blinks, crawls}, operator, tamper)
}

// Kinds of faults beside those that playWith draws by number: losses of data in the state
// service, controllers that end together or again and again, and machines that are gone
// for a moment.
const (
	loseAll = iota + 8
	loseLast
	loseSome
	fallMany
	fallOften
	blinks
	crawls // the state service answers slowly
)

// playWith plays a day of so many controllers with faults of the kinds given.
func playWith(t testing.TB, seed uint64, size int, piped bool, kinds []int, operator string, tamper func(*world)) (breaches []string, w *world) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	ctx, w, st, cl, cs, stop := beginWith(t, seed, size, 24, 3, operator)
	began := time.Now()
	for i := range 14 {
		j := wire.Job{ID: fmt.Sprintf("req-%06d", i), Class: "c", Team: []string{"a", "b"}[i%2], Kind: wire.KindArray, Priority: "standard",
			TaskCount: 1 + rnd.IntN(8), CPUs: float64(1 + rnd.IntN(3)), MemoryGB: 2, Image: "img", AllowSpot: i%3 == 0, ExpectedSeconds: float64(3 + rnd.IntN(20))}
		if i%3 == 1 {
			j.Kind, j.Priority, j.TaskCount, j.CPUs, j.SpreadZones = wire.KindService, "production", 2, 1, true
		}
		withdraw := time.Duration(0)
		if j.Kind == wire.KindService || i%5 == 0 {
			withdraw = time.Duration(40+rnd.IntN(100)) * time.Second
		}
		w.submit(ctx, j, time.Duration(rnd.IntN(120))*time.Second, withdraw)
	}
	if tamper != nil {
		tamper(w)
	}
	time.Sleep(15 * time.Second)
	if piped {
		w.submit(ctx, wire.Job{ID: "req-099999", Class: "s", Team: "a", Kind: wire.KindArray, Priority: "urgent", TaskCount: 64, CPUs: 0.25, MemoryGB: 0.1, Image: "img", ExpectedSeconds: 60}, 0, 0)
		for n := range w.size {
			cs[n].crash()
			w.mu.Lock()
			w.upgraded[n] = true
			w.mu.Unlock()
			time.Sleep(w.away())
			cs[n] = w.boot(n)
			if other := (n + 1) % w.size; rnd.IntN(2) == 0 { // before or after its turn
				cs[other].crash()
				time.Sleep(w.away())
				cs[other] = w.boot(other)
			}
			time.Sleep(time.Duration(rnd.IntN(8)) * time.Second)
		}
		js, withdraw := pipelines(rnd)
		for _, j := range js {
			w.submit(ctx, j, time.Duration(rnd.IntN(20))*time.Second, withdraw[j.ID])
		}
		time.Sleep(time.Duration(rnd.IntN(5)) * time.Second)
		st.lower(lowValue, lowOps)
	}
	for range 8 {
		n := rnd.IntN(w.size)
		name := fmt.Sprintf("host-%d", n)
		switch kinds[rnd.IntN(len(kinds))] {
		case loseAll:
			st.lose(wiped, 0, "")
		case loseLast:
			st.lose(restored, time.Duration(rnd.IntN(30_000))*time.Millisecond, "")
		case loseSome:
			st.lose(holes, 0, "")
		case 0, 1:
			cs[n].crash()
			time.Sleep(w.away())
			cs[n] = w.boot(n)
		case fallMany:
			for m := range w.size {
				if m != n || rnd.IntN(2) == 0 {
					cs[m].crash()
				}
			}
			for m := range w.size {
				if cs[m].ended() {
					time.Sleep(w.away() / 2)
					cs[m] = w.boot(m)
				}
			}
		case fallOften:
			for range 20 {
				cs[n].crash()
				time.Sleep(20 * time.Millisecond)
				cs[n] = w.boot(n)
				time.Sleep(time.Duration(50+rnd.IntN(900)) * time.Millisecond)
			}
		case crawls:
			st.crawl(400 * time.Millisecond)
			time.Sleep(time.Duration(5+rnd.IntN(30)) * time.Second)
			st.crawl(0)
		case blinks:
			w.blink(cl, time.Duration(50+rnd.IntN(1500))*time.Millisecond)
		case 2:
			st.outage(true)
			time.Sleep(time.Duration(5+rnd.IntN(30)) * time.Second)
			st.outage(false)
		case 3: // held packets between a controller and the state service
			w.net.cut(name, "state", true)
			time.Sleep(time.Duration(5+rnd.IntN(30)) * time.Second)
			w.net.cut(name, "state", false)
		case 4: // a machine is cut from all controllers, for longer than its lease or not
			cl.mu.Lock()
			var host string
			for h := range cl.hosts {
				if host == "" || h < host {
					host = h
				}
			}
			cl.mu.Unlock()
			for m := range w.size {
				w.net.cut(fmt.Sprintf("host-%d", m), host, true)
			}
			time.Sleep(time.Duration(5+rnd.IntN(40)) * time.Second)
			for m := range w.size {
				w.net.cut(fmt.Sprintf("host-%d", m), host, false)
			}
		case 5: // a controller is refused alone
			st.refuseAlone(name, true)
			time.Sleep(time.Duration(5+rnd.IntN(30)) * time.Second)
			st.refuseAlone(name, false)
		case 7: // a zone is cut off from everything, for longer than a lease or not
			w.cutZone(cl, zoneOf(n), true)
			time.Sleep(time.Duration(5+rnd.IntN(60)) * time.Second)
			w.cutZone(cl, zoneOf(n), false)
		case 6: // peers are cut from one another
			for m := range w.size {
				if m != n {
					w.net.cut(name, fmt.Sprintf("host-%d", m), true)
				}
			}
			time.Sleep(time.Duration(5+rnd.IntN(20)) * time.Second)
			for m := range w.size {
				if m != n {
					w.net.cut(name, fmt.Sprintf("host-%d", m), false)
				}
			}
		}
		time.Sleep(time.Duration(rnd.IntN(6)) * time.Second)
	}
	// Faults that take no time make a short day; the last user withdraws after 260 s.
	time.Sleep(max(150*time.Second, 300*time.Second-time.Since(began)))
	if slices.Contains(kinds, loseAll) {
		time.Sleep(120 * time.Second) // losses take no time, so the day was shorter
	}
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breaches, w
}

// cutZone cuts a zone's machines and controllers off from all that is outside, or
// ends that.
func (w *world) cutZone(cl *cloud, zone string, on bool) {
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

// submit has a user submit a job after a while.
func (w *world) submit(ctx context.Context, j wire.Job, delay, withdraw time.Duration) {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.accepted[j.ID] = make(chan struct{})
	w.mu.Unlock()
	w.wg.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
			w.user(ctx, j, withdraw)
		}
	})
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

// With hundreds of machines the rules hold through a takeover, and what is
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
