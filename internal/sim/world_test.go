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
	workers  map[string]*fakeWorker
	jobs     map[string]wire.Job
	hostOf    map[ledger.Task]string // host that a task is on
	usedCPUs     map[string]float64     // CPUs, by team
	doneTasks     map[ledger.Task]bool
	lastPhase     map[string]string    // last phase told, by job
	cancelledAt     map[string]time.Time // withdrawn as told
	cancelRequested    map[string]bool      // a withdrawal was sent
	acceptedSignal map[string]chan struct{}
	acceptedAt    map[string]time.Time  // when first told accepted
	shouldResubmit    func(jobID string) bool // whether a user submits again now, though accepted
	teamCPULimit    float64               // of each team, in CPUs
	clusterSize     int                   // controllers
	upgraded map[int]bool          // controllers told of the lower limits to come
	starts   int
	durationSpread   float64              // how much longer each task of a job runs than the one before it, as a ratio to the first
	newWorkersMute     bool                 // new machines reach no controller
	duplicateShare   float64              // share of the reports of which a copy arrives again, late
	maxInstances     int                  // machines of a kind and zone
	sockets  int                  // of a controller; 0: plenty
	teamCount    int                  // equal ones; 0: two
	startedAttempts      map[startedAttempt]bool         // tries that started
	firstStart    map[string]time.Time // first start of a task, by job
	lastAnswer map[string]time.Time // last answer about a job
	faultsEndedAt     time.Time            // when the last trouble was over; zero: not yet
	waitingWithRoomSince    map[string]time.Time // jobs that wait though there is room, since when
	lateStarts     []time.Duration      // starts after a confirmed withdrawal, how long after
	operatorSettings string               // the operators' settings; "": none of their own
	store    *fakeStore
	// What the settings say of the store's rates; 0: plenty.
	storeRPS, storeWriteRPS float64
	maxPollPause               time.Duration // in which a user asks again, at least half of it; 0: 4 s
	violations                []string
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

func (w *world) stopped() bool { return w.ctx.Err() != nil }

func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// run is an attempt of a task on a worker.
type startedAttempt struct {
	task ledger.Task
	attempt  uint64
	host string
}

// taskStarted notes a task's start and checks the rules that a start can break.
func (w *world) taskStarted(id ledger.Task, attempt uint64, instance wire.Instance) wire.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.startedAttempts[startedAttempt{id, attempt, instance.Name}] = true
	if w.firstStart[id.JobID].IsZero() {
		w.firstStart[id.JobID] = time.Now()
	}
	job, ok := w.jobs[id.JobID]
	if !ok {
		w.recordViolation("%s started, which nobody submitted", id)
		return job
	}
	for _, dependency := range job.DependsOn {
		for i := range w.jobs[dependency].TaskCount {
			if !w.doneTasks[ledger.Task{JobID: dependency, Index: i}] {
				w.recordViolation("too_early: %s starts before %s/%d is done", id, dependency, i)
			}
		}
	}
	if other := w.hostOf[id]; other != "" {
		w.recordViolation("ran_twice: %s starts on %s while on %s", id, instance.Name, other)
	}
	w.setTaskHost(id, instance.Name)
	if cancelledAt, ok := w.cancelledAt[id.JobID]; ok {
		w.lateStarts = append(w.lateStarts, time.Since(cancelledAt))
		if time.Since(cancelledAt) > cancelTimeout {
			w.recordViolation("ran_cancelled: %s starts %v after", id, time.Since(cancelledAt))
		}
	}
	if instance.Spot && !job.AllowSpot {
		w.recordViolation("wrong_place: %s on a spot machine", id)
	}
	if len(job.InstanceTypes) > 0 && !slices.Contains(job.InstanceTypes, instance.InstanceType) {
		w.recordViolation("wrong_place: %s on a machine of type %s", id, instance.InstanceType)
	}
	if job.Zone != "" && job.Zone != instance.Zone {
		w.recordViolation("wrong_place: %s in zone %s, not %s", id, instance.Zone, job.Zone)
	}
	teamCPUs, inZone, placed := w.usedCPUs[job.Team], 0, 0
	for i := range job.TaskCount {
		if worker := w.workers[w.hostOf[ledger.Task{JobID: id.JobID, Index: i}]]; worker != nil {
			if placed++; worker.instance.Zone == instance.Zone {
				inZone++
			}
		}
	}
	if teamCPUs > w.teamCPULimit+1e-6 {
		w.recordViolation("quota: %v CPUs of %s", teamCPUs, job.Team)
	}
	if job.SpreadZones && inZone > (job.TaskCount+1)/2 {
		w.recordViolation("wrong_place: %d of %d tasks of %s in a zone", inZone, job.TaskCount, id.JobID)
	}
	if job.SingleZone && inZone < placed {
		w.recordViolation("wrong_place: %s in another zone than %d tasks of its job", id, placed-inZone)
	}
	return job
}

// orphan tells since when a user knows that something before a job is cancelled;
// run it with the lock held.
func (w *world) dependencyCancelledAt(jobID string) (earliest time.Time) {
	for _, dependency := range w.jobs[jobID].DependsOn {
		for _, candidate := range []time.Time{w.cancelledAt[dependency], w.dependencyCancelledAt(dependency)} {
			if !candidate.IsZero() && (earliest.IsZero() || candidate.Before(earliest)) {
				earliest = candidate
			}
		}
	}
	return earliest
}

func (w *world) taskStopped(taskName, host string) {
	id, _ := ledger.ParseTask(taskName)
	w.mu.Lock()
	defer w.mu.Unlock()
	if cancelledAt, ok := w.cancelledAt[id.JobID]; ok && time.Since(cancelledAt) > cancelTimeout {
		w.recordViolation("ran_cancelled: %s was on %s %v after", id, host, time.Since(cancelledAt))
	}
	if w.hostOf[id] == host {
		w.setTaskHost(id, "")
	}
}

// place notes where a task is, "" for nowhere, and what its team uses; run it with the
// lock held.
func (w *world) setTaskHost(id ledger.Task, host string) {
	job := w.jobs[id.JobID]
	if _, placed := w.hostOf[id]; placed {
		w.usedCPUs[job.Team] -= job.CPUs
		delete(w.hostOf, id)
	}
	if host != "" {
		w.hostOf[id] = host
		w.usedCPUs[job.Team] += job.CPUs
	}
}

func (w *world) taskDone(id ledger.Task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doneTasks[id] = true
}

func (w *world) isTaskDone(id ledger.Task) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doneTasks[id]
}

func (w *world) startWorker(instance wire.Instance) {
	ctx, cancel := context.WithCancel(w.ctx)
	worker := &fakeWorker{w: w, instance: instance, cancel: cancel, incarnation: 1, lastAnswered: time.Now(), tasks: map[string]*workerTask{}, controller: w.intN(w.clusterSize), heartbeatNow: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{DialContext: w.net.forHost(instance.Name).Dial}}}
	w.mu.Lock()
	worker.dropsHeartbeats, worker.mutedSince = w.newWorkersMute, time.Now()
	w.workers[instance.Name] = worker
	w.mu.Unlock()
	w.wg.Go(func() { worker.run(ctx); worker.client.CloseIdleConnections() })
}

// stop takes a worker away with all that is on it.
func (w *world) stopWorker(name string) {
	w.mu.Lock()
	worker := w.workers[name]
	w.mu.Unlock()
	if worker == nil {
		return
	}
	worker.cancel()
	w.net.resetHost(name)
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.clear()
	worker.lastAnswered = time.Now().Add(time.Hour) // it is off: nothing happens there any more
}

func (w *world) controllerSettings(index int) *settings.Settings {
	operator, err := settings.ParseOperator([]byte(w.operatorSettings))
	if err != nil {
		w.t.Fatal(err)
	}
	s := &settings.Settings{
		Name: fmt.Sprintf("host-%d", index), Zone: zoneOf(index), FrontAddress: frontAddress(index), PeerAddress: peerAddress(index), Operator: operator,
		Services: settings.Services{Cloud: "cloud:1", Store: "state:1"},
		Facts: settings.Facts{
			ClockErrorMillis: 1000,
			Teams:            []settings.Team{{Name: "a", CPUs: 8, CPUsMax: w.teamCPULimit}, {Name: "b", CPUs: 8, CPUsMax: w.teamCPULimit}},
			Workers:          settings.WorkerTimings{HeartbeatSeconds: heartbeatInterval.Seconds(), LeaseSeconds: leaseDuration.Seconds(), CancelSeconds: cancelTimeout.Seconds()},
			Store:            settings.StoreLimits{RPS: 200, WriteRPS: 50, ValueKB: 16, TxnOps: 16},
			Cloud:            settings.CloudLimits{RPS: 5, ListLagSeconds: 2},
			Resources:        settings.ProcessLimits{CPUShare: 0.1, MemoryMB: 1 << 15, Sockets: 500},
		},
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.Facts.Resources.Sockets = max(s.Facts.Resources.Sockets, 8*w.maxInstances)
	for i := range w.teamCount {
		if i == 0 {
			s.Facts.Teams = nil
		}
		s.Facts.Teams = append(s.Facts.Teams, settings.Team{Name: teamName(i), CPUs: 8, CPUsMax: w.teamCPULimit})
	}
	if w.sockets > 0 {
		s.Facts.Resources.Sockets = w.sockets
	}
	if w.maxInstances >= 100 { // the limits of a larger deployment
		s.Facts.Store.RPS, s.Facts.Store.WriteRPS, s.Facts.Cloud.RPS = 500, 80, 12
	}
	if w.storeRPS > 0 {
		s.Facts.Store.RPS, s.Facts.Store.WriteRPS = w.storeRPS, w.storeWriteRPS
	}
	if w.upgraded[index] {
		s.Facts.Store.Announced = &settings.AnnouncedStoreLimits{WriteRPS: 35, ValueKB: loweredValueBytes / 1024., TxnOps: loweredOperations}
	}
	for peer := range w.clusterSize {
		if peer != index {
			s.Peers = append(s.Peers, settings.Peer{Name: fmt.Sprintf("host-%d", peer), Zone: zoneOf(peer), Endpoint: peerAddress(peer)})
		}
	}
	return s
}

func teamName(index int) string { return fmt.Sprintf("team-%02d", index) }

// zoneOf is the zone of a controller.
func zoneOf(controller int) string { return []string{"a", "b", "a"}[controller%3] }

func frontAddress(controller int) string { return fmt.Sprintf("front-%d:80", controller) }

func peerAddress(controller int) string { return fmt.Sprintf("back-%d:81", controller) }
