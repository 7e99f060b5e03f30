package sim

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// workerTask is an attempt of a task on a worker.
type workerTask struct {
	wire.TaskStatus
	timer *time.Timer
}

// attemptKey identifies an attempt of a task on a worker.
type attemptKey struct {
	task    string
	attempt uint64
}

// fakeWorker is a fake of a worker's agent.
type fakeWorker struct {
	world    *world
	instance wire.Instance
	cancel   context.CancelFunc
	client   *http.Client

	mu                      sync.Mutex
	incarnation             uint64
	sequence                uint64
	epoch                   uint64
	leaseRenewedAt          time.Time // when the heartbeat that last renewed the lease was sent
	tasks                   map[attemptKey]*workerTask
	cachedImages            map[string]bool // images that the worker has pulled
	controller              int
	heartbeatNow            chan struct{}
	dropsResponses          bool      // responses and commands to the worker are lost
	dropsHeartbeats         bool      // heartbeats reach no controller, but commands reach the worker
	heartbeatFaultChangedAt time.Time // when dropsHeartbeats was last set or cleared
	holdsNextHeartbeat      bool      // the next heartbeat is held until deliverHeld
	heldHeartbeat           []byte
	paused                  bool    // tasks make no progress, and end once the lease expires
	failsTasks              bool    // every task that starts fails at once
	cpus                    float64 // of the instance type
	stopped                 bool    // the instance is gone
	holdsStarts             bool    // direct commands with a start are held until deliverHeldStarts
	heldStarts              []wire.CommandBatch
	reboots                 int // under way: the worker neither sends nor receives messages
}

func (k *fakeWorker) heartbeat() wire.Heartbeat {
	k.sequence++
	heartbeat := wire.Heartbeat{Worker: k.instance.Name, Address: k.instance.Address, InstanceType: k.instance.InstanceType, Zone: k.instance.Zone, Spot: k.instance.Spot, Incarnation: k.incarnation, Sequence: k.sequence, Epoch: k.epoch, Tasks: []wire.TaskStatus{}}
	for _, task := range k.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, task.TaskStatus)
	}
	slices.SortFunc(heartbeat.Tasks, func(a, b wire.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return heartbeat
}

// expire ends all tasks and begins a new incarnation if the lease has expired. The caller
// holds k.mu.
func (k *fakeWorker) expire() {
	if time.Since(k.leaseRenewedAt) <= leaseDuration {
		return
	}
	k.endAllTasks()
	k.incarnation++
	k.leaseRenewedAt = time.Now()
}

func (k *fakeWorker) endAllTasks() {
	for _, task := range k.tasks {
		k.endTask(task, "killed")
	}
	k.tasks = map[attemptKey]*workerTask{}
}

func (k *fakeWorker) endTask(task *workerTask, reason string) {
	if task.timer != nil {
		task.timer.Stop()
	}
	if task.Phase == wire.TaskRunning {
		k.world.taskStopped(task.TaskStatus.Task, k.instance.Name)
	}
	if task.Phase != wire.TaskExited {
		k.world.attemptEnded(task.TaskStatus, k.instance.Name)
	}
	task.Phase, task.ExitReason = wire.TaskExited, reason
}

func (k *fakeWorker) run(ctx context.Context) {
	server := &http.Server{Handler: k, ErrorLog: log.New(io.Discard, "", 0)}
	go server.Serve(k.world.net.listen(k.instance.Name, k.instance.Address))
	defer server.Close()
	// The lease expires on time, also while the worker waits for a response.
	go func() {
		for {
			k.mu.Lock()
			k.expire()
			remaining := leaseDuration - time.Since(k.leaseRenewedAt) + time.Millisecond
			k.mu.Unlock()
			select {
			case <-ctx.Done():
				return
			case <-time.After(remaining):
			}
		}
	}()
	for {
		delay := heartbeatInterval*3/4 + time.Duration(k.world.intN(int(heartbeatInterval/2)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		case <-k.heartbeatNow:
			time.Sleep(500 * time.Millisecond)
		}
		k.sendHeartbeat(ctx)
	}
}

func (k *fakeWorker) sendHeartbeat(ctx context.Context) {
	k.mu.Lock()
	if k.paused || k.reboots > 0 {
		k.mu.Unlock()
		return
	}
	k.expire()
	heartbeat := k.heartbeat()
	sentAt, controller := time.Now(), k.controller
	k.mu.Unlock()
	body, _ := json.Marshal(heartbeat)
	if k.isHeartbeatLost(ctx, body) {
		return
	}
	requestCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(requestCtx, "POST", "http://"+frontAddress(controller)+"/agent/beat", bytes.NewReader(body))
	res, err := k.client.Do(req)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	k.maybeDuplicate(ctx, controller, body)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	switch {
	case ctx.Err() != nil:
	case k.dropsResponses || k.paused:
		k.controller = (controller + 1) % k.world.clusterSize
		k.requestHeartbeat()
	case err == nil && res.StatusCode == 200:
		var commands wire.CommandBatch
		json.Unmarshal(data, &commands)
		if k.incarnation != heartbeat.Incarnation || commands.Epoch < k.epoch {
			return
		}
		k.epoch, k.leaseRenewedAt = commands.Epoch, sentAt
		k.execute(commands.Commands)
	case err == nil && res.StatusCode == 421 && strings.Contains(string(data), "host-"):
		var redirect wire.Redirect
		json.Unmarshal(data, &redirect)
		k.controller = int(redirect.Controller[len("host-")] - '0')
		k.requestHeartbeat()
	default:
		k.controller = (controller + 1) % k.world.clusterSize
		k.requestHeartbeat()
	}
}

// isHeartbeatLost reports whether a fault keeps a heartbeat from arriving. If so, it waits
// as long as for a missing response and moves on to the next controller.
func (k *fakeWorker) isHeartbeatLost(ctx context.Context, body []byte) bool {
	k.mu.Lock()
	drops, holds := k.dropsHeartbeats, k.holdsNextHeartbeat
	if holds {
		k.heldHeartbeat, k.holdsNextHeartbeat = body, false
	}
	k.mu.Unlock()
	if !drops && !holds {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(4 * time.Second):
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	k.controller = (k.controller + 1) % k.world.clusterSize
	k.requestHeartbeat()
	return true
}

// deliverHeld sends the held heartbeat to a controller, ignores the response, and
// reports whether a heartbeat was held.
func (k *fakeWorker) deliverHeld(ctx context.Context, controller int) bool {
	k.mu.Lock()
	body := k.heldHeartbeat
	k.heldHeartbeat = nil
	k.mu.Unlock()
	if body != nil {
		k.post(ctx, controller, body)
	}
	return body != nil
}

// post sends a heartbeat and ignores the response.
func (k *fakeWorker) post(ctx context.Context, controller int, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+frontAddress(controller)+"/agent/beat", bytes.NewReader(body))
	if res, err := k.client.Do(req); err == nil {
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}

// maybeDuplicate sends a copy of a heartbeat again much later, for a share of the heartbeats.
func (k *fakeWorker) maybeDuplicate(ctx context.Context, controller int, body []byte) {
	k.world.mu.Lock()
	duplicate := k.world.rnd.Float64() < k.world.duplicateShare
	delay := 2*time.Second + time.Duration(k.world.rnd.Int64N(int64(3*leaseDuration/2)))
	k.world.mu.Unlock()
	if !duplicate {
		return
	}
	time.AfterFunc(delay, func() { k.post(ctx, controller, body) })
}

func (k *fakeWorker) requestHeartbeat() {
	select {
	case k.heartbeatNow <- struct{}{}:
	default:
	}
}

func (k *fakeWorker) startTask(task *workerTask) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.startTaskLocked(task)
}

// startTaskLocked runs a task whose image is there. The caller holds k.mu.
func (k *fakeWorker) startTaskLocked(task *workerTask) {
	k.expire()
	if k.paused {
		task.timer = time.AfterFunc(time.Second, func() { k.startTask(task) })
		return
	}
	if task.Phase != wire.TaskFetching || !k.has(task) {
		return
	}
	id, _ := ledger.ParseTask(task.TaskStatus.Task)
	job := k.world.taskStarted(id, task.Attempt, k.instance)
	if duration := time.Since(k.heartbeatFaultChangedAt); k.dropsHeartbeats && duration > leaseDuration {
		k.world.mu.Lock()
		k.world.recordViolation("no_heartbeats: %s started on %s, whose heartbeats have reached no controller for %v", id, k.instance.Name, duration)
		k.world.mu.Unlock()
	}
	task.Phase = wire.TaskRunning
	k.requestHeartbeat()
	if k.failsTasks {
		k.endTask(task, wire.ExitFailed)
		return
	}
	if job.Kind == wire.KindArray {
		if k.world.isTaskDone(id) { // an earlier attempt has stored the result
			task.timer = time.AfterFunc(0, func() { k.completeTask(task, id) })
			return
		}
		duration := job.ExpectedSeconds * (1 + k.world.durationSpread*float64(id.Index))
		task.timer = time.AfterFunc(time.Duration(duration*float64(time.Second)), func() { k.completeTask(task, id) })
	}
}

// has reports whether an attempt is still the worker's. The caller holds k.mu.
func (k *fakeWorker) has(task *workerTask) bool {
	return k.tasks[attemptKey{task.TaskStatus.Task, task.Attempt}] == task
}

// completeTask ends a task as done, or retries every second while the worker is paused.
func (k *fakeWorker) completeTask(task *workerTask, id ledger.Task) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.paused {
		task.timer = time.AfterFunc(time.Second, func() { k.completeTask(task, id) })
		return
	}
	k.expire()
	if task.Phase == wire.TaskRunning && k.has(task) {
		k.endTask(task, wire.ExitDone)
		k.world.taskDone(id)
		k.requestHeartbeat()
	}
}

var _ net.Listener = (*hostListener)(nil)
