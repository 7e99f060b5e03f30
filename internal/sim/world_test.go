package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

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
	// What the settings say of the store's rates; 0: plenty.
	storeRPS, storeWriteRPS float64
	pollEvery               time.Duration // in which a user asks again, at least half of it; 0: 4 s
	breaches                []string
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

// run is an attempt of a task on a worker.
type run struct {
	task ledger.Task
	try  uint64
	host string
}

// taskStarted notes a task's start and checks the rules that a start can break.
func (w *world) taskStarted(id ledger.Task, try uint64, h wire.Instance) wire.Job {
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

// orphan tells since when a user knows that something before a job is cancelled;
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

func (w *world) taskLeft(member, host string) {
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

// stop takes a worker away with all that is on it.
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
	if w.storeRPS > 0 {
		s.Facts.Store.RPS, s.Facts.Store.WriteRPS = w.storeRPS, w.storeWriteRPS
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

// zoneOf is the zone of a controller.
func zoneOf(n int) string { return []string{"a", "b", "a"}[n%3] }

func front(n int) string { return fmt.Sprintf("front-%d:80", n) }

func back(n int) string { return fmt.Sprintf("back-%d:81", n) }
