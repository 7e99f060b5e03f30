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

// world is the simulated cluster. It records the true state of jobs, tasks and
// workers and checks the protocol's rules against it.
type world struct {
	t   testing.TB
	net *network
	ctx context.Context
	wg  sync.WaitGroup

	mu                       sync.Mutex
	rnd                      *rand.Rand
	workers                  map[string]*fakeWorker
	jobs                     map[string]wire.Job
	uploadedJobs             map[string]wire.Job    // as users uploaded them for the workers
	workerOf                 map[ledger.Task]string // worker that a task is running on
	usedCPUs                 map[string]float64     // by team
	doneTasks                map[ledger.Task]bool
	lastPhase                map[string]string    // last phase reported to the user, by job
	cancelledAt              map[string]time.Time // when a response first reported the cancellation, by job
	cancelRequested          map[string]bool      // a cancellation was sent, by job
	acceptedSignal           map[string]chan struct{}
	acceptedAt               map[string]time.Time    // when first reported accepted, by job
	shouldResubmit           func(jobID string) bool // reports whether a user resubmits an accepted job now
	teamCPULimit             float64                 // of each team
	clusterSize              int                     // controllers
	upgraded                 map[int]bool            // controllers that know the announced lower limits
	starts                   int
	durationSpread           float64                 // increase in duration from each task of a job to the next, as a fraction of the first task's duration
	newWorkersDropHeartbeats bool                    // new workers start with dropsHeartbeats
	duplicateShare           float64                 // share of the heartbeats of which a late copy arrives
	maxInstances             int                     // workers per instance type and zone
	sockets                  int                     // per controller; 0: as many as needed
	teamCount                int                     // teams with equal quotas; 0: the two default teams
	startedAttempts          map[startedAttempt]bool // every attempt that started
	endedAttempts            map[startedAttempt]bool // every attempt that ended on a worker, also a refused one
	commandCopyShare         float64                 // share of the executed direct commands of which a late copy arrives
	commandCopies            int                     // late copies that arrived while epoch and incarnation matched
	firstStart               map[string]time.Time    // when the first task started, by job
	lastResponse             map[string]time.Time    // when the user last got a successful response, by job
	faultsEndedAt            time.Time               // when the last fault ended; zero: not yet
	waitingWithRoomSince     map[string]time.Time    // jobs that wait although there is room
	lateStarts               []time.Duration         // delays of task starts after a confirmed cancellation
	operatorSettings         string                  // operator settings (XML); "": defaults
	store                    *fakeStore
	// Store rate limits in the controllers' settings; 0: the defaults.
	storeRPS, storeWriteRPS float64
	maxPollPause            time.Duration // users poll after half to all of this time; 0: 4 s
	violations              []string
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

// startedAttempt identifies an attempt of a task that started on a worker.
type startedAttempt struct {
	task    ledger.Task
	attempt uint64
	worker  string
}

// taskStarted records a task's start and checks the rules that a start can break.
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
		w.recordViolation("unknown_job: %s started, but its job was never submitted", id)
		return job
	}
	for _, dependency := range job.DependsOn {
		for i := range w.jobs[dependency].TaskCount {
			if !w.doneTasks[ledger.Task{JobID: dependency, Index: i}] {
				w.recordViolation("too_early: %s started before its dependency %s/%d was done", id, dependency, i)
			}
		}
	}
	if other := w.workerOf[id]; other != "" {
		w.recordViolation("ran_twice: %s started on %s while running on %s", id, instance.Name, other)
	}
	w.setTaskWorker(id, instance.Name)
	if cancelledAt, ok := w.cancelledAt[id.JobID]; ok {
		w.lateStarts = append(w.lateStarts, time.Since(cancelledAt))
		if time.Since(cancelledAt) > cancelTimeout {
			w.recordViolation("ran_cancelled: %s started %v after its cancellation", id, time.Since(cancelledAt))
		}
	}
	if instance.Spot && !job.AllowSpot {
		w.recordViolation("wrong_place: %s started on a spot worker", id)
	}
	if len(job.InstanceTypes) > 0 && !slices.Contains(job.InstanceTypes, instance.InstanceType) {
		w.recordViolation("wrong_place: %s started on a worker of type %s", id, instance.InstanceType)
	}
	if job.Zone != "" && job.Zone != instance.Zone {
		w.recordViolation("wrong_place: %s started in zone %s, want %s", id, instance.Zone, job.Zone)
	}
	teamCPUs, inZone, placed := w.usedCPUs[job.Team], 0, 0
	for i := range job.TaskCount {
		if worker := w.workers[w.workerOf[ledger.Task{JobID: id.JobID, Index: i}]]; worker != nil {
			if placed++; worker.instance.Zone == instance.Zone {
				inZone++
			}
		}
	}
	if teamCPUs > w.teamCPULimit+1e-6 {
		w.recordViolation("quota: %v CPUs in use by team %s", teamCPUs, job.Team)
	}
	if job.SpreadZones && inZone > (job.TaskCount+1)/2 {
		w.recordViolation("wrong_place: %d of %d tasks of %s in one zone", inZone, job.TaskCount, id.JobID)
	}
	if job.SingleZone && inZone < placed {
		w.recordViolation("wrong_place: %s started in another zone than %d tasks of its job", id, placed-inZone)
	}
	return job
}

// dependencyCancelledAt returns when a response first reported the cancellation of a
// direct or indirect dependency of a job, or the zero time. The caller holds w.mu.
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

func (w *world) taskStopped(taskName, worker string) {
	id, _ := ledger.ParseTask(taskName)
	w.mu.Lock()
	defer w.mu.Unlock()
	if cancelledAt, ok := w.cancelledAt[id.JobID]; ok && time.Since(cancelledAt) > cancelTimeout {
		w.recordViolation("ran_cancelled: %s was still on %s %v after its cancellation", id, worker, time.Since(cancelledAt))
	}
	if w.workerOf[id] == worker {
		w.setTaskWorker(id, "")
	}
}

// setTaskWorker records the worker that a task runs on, "" for none, and updates the
// CPUs that its team uses. The caller holds w.mu.
func (w *world) setTaskWorker(id ledger.Task, worker string) {
	job := w.jobs[id.JobID]
	if _, placed := w.workerOf[id]; placed {
		w.usedCPUs[job.Team] -= job.CPUs
		delete(w.workerOf, id)
	}
	if worker != "" {
		w.workerOf[id] = worker
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

func (w *world) startWorker(instance wire.Instance, cpus float64) {
	ctx, cancel := context.WithCancel(w.ctx)
	worker := &fakeWorker{world: w, instance: instance, cancel: cancel, incarnation: 1, leaseRenewedAt: time.Now(), tasks: map[attemptKey]*workerTask{}, cachedImages: map[string]bool{}, cpus: cpus, controller: w.intN(w.clusterSize), heartbeatNow: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{DialContext: w.net.forHost(instance.Name).Dial}}}
	w.mu.Lock()
	worker.dropsHeartbeats, worker.heartbeatFaultChangedAt = w.newWorkersDropHeartbeats, time.Now()
	w.workers[instance.Name] = worker
	w.mu.Unlock()
	w.wg.Go(func() { worker.run(ctx); worker.client.CloseIdleConnections() })
}

// stopWorker stops a worker and ends all tasks on it.
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
	worker.endAllTasks()
	worker.stopped = true
	worker.leaseRenewedAt = time.Now().Add(time.Hour) // prevents the lease from expiring on a stopped worker
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
	if w.maxInstances >= 100 { // a larger deployment has higher limits
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

// zoneOf returns the zone of a controller.
func zoneOf(controller int) string { return []string{"a", "b", "a"}[controller%3] }

func frontAddress(controller int) string { return fmt.Sprintf("front-%d:80", controller) }

func peerAddress(controller int) string { return fmt.Sprintf("back-%d:81", controller) }
