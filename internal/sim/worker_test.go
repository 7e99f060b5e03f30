package sim

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// task is one attempt on a worker.
type workerTask struct {
	wire.TaskStatus
	timer *time.Timer
}

// worker stands in for a worker's worker.
type fakeWorker struct {
	w      *world
	instance      wire.Instance
	cancel context.CancelFunc
	client *http.Client

	mu     sync.Mutex
	incarnation uint64
	sequence   uint64
	epoch  uint64
	lastAnswered   time.Time // of the last report that was answered
	tasks  map[string]*workerTask
	controller   int
	heartbeatNow   chan struct{}
	dropsAnswers   bool      // answers and commands to it are lost
	dropsHeartbeats   bool      // it reaches no controller, while commands reach it
	mutedSince  time.Time // since when
	holdsNext   bool      // its next report is held back
	heldHeartbeat   []byte
	paused   bool // it stands still, and may go on within its lease; past that nothing is left to go on
}

func (k *fakeWorker) heartbeat() wire.Heartbeat {
	k.sequence++
	r := wire.Heartbeat{Worker: k.instance.Name, Address: k.instance.Address, InstanceType: k.instance.InstanceType, Zone: k.instance.Zone, Spot: k.instance.Spot, Incarnation: k.incarnation, Sequence: k.sequence, Epoch: k.epoch, Tasks: []wire.TaskStatus{}}
	for _, t := range k.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	sort.Slice(r.Tasks, func(a, b int) bool { return r.Tasks[a].Task < r.Tasks[b].Task })
	return r
}

// expire ends the session once the lease is over; run it with the lock held.
func (k *fakeWorker) expire() {
	if time.Since(k.lastAnswered) <= leaseDuration {
		return
	}
	k.endTasks()
	k.incarnation++
	k.lastAnswered = time.Now()
}

func (k *fakeWorker) endTasks() {
	for _, t := range k.tasks {
		k.endTask(t, "killed")
	}
	k.tasks = map[string]*workerTask{}
}

func (k *fakeWorker) endTask(t *workerTask, cause string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.Phase == wire.TaskRunning {
		k.w.taskStopped(t.TaskStatus.Task, k.instance.Name)
	}
	t.Phase, t.ExitReason = wire.TaskExited, cause
}

func (k *fakeWorker) run(ctx context.Context) {
	srv := &http.Server{Handler: k, ErrorLog: log.New(io.Discard, "", 0)}
	go srv.Serve(k.w.net.listen(k.instance.Name, k.instance.Address))
	defer srv.Close()
	// The lease ends when it ends, whatever the worker waits for.
	go func() {
		for {
			k.mu.Lock()
			k.expire()
			left := leaseDuration - time.Since(k.lastAnswered) + time.Millisecond
			k.mu.Unlock()
			select {
			case <-ctx.Done():
				return
			case <-time.After(left):
			}
		}
	}()
	for {
		d := heartbeatInterval*3/4 + time.Duration(k.w.intN(int(heartbeatInterval/2)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
		case <-k.heartbeatNow:
			time.Sleep(500 * time.Millisecond)
		}
		k.sendHeartbeat(ctx)
	}
}

func (k *fakeWorker) sendHeartbeat(ctx context.Context) {
	k.mu.Lock()
	if k.paused {
		k.mu.Unlock()
		return
	}
	k.expire()
	r := k.heartbeat()
	sent, node := time.Now(), k.controller
	k.mu.Unlock()
	body, _ := json.Marshal(r)
	if k.isHeartbeatLost(ctx, body) {
		return
	}
	rctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(rctx, "POST", "http://"+frontAddress(node)+"/agent/beat", bytes.NewReader(body))
	res, err := k.client.Do(req)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	k.duplicateLater(ctx, node, body)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	switch {
	case ctx.Err() != nil:
	case k.dropsAnswers || k.paused:
		k.controller = (node + 1) % k.w.clusterSize
		k.requestHeartbeat()
	case err == nil && res.StatusCode == 200:
		var o wire.CommandBatch
		json.Unmarshal(data, &o)
		if k.incarnation != r.Incarnation || o.Epoch < k.epoch {
			return
		}
		k.epoch, k.lastAnswered = o.Epoch, sent
		k.execute(o.Commands)
	case err == nil && res.StatusCode == 421 && strings.Contains(string(data), "host-"):
		var s wire.Redirect
		json.Unmarshal(data, &s)
		k.controller = int(s.Controller[len("host-")] - '0')
		k.requestHeartbeat()
	default:
		k.controller = (node + 1) % k.w.clusterSize
		k.requestHeartbeat()
	}
}

// lost tells whether a heartbeat does not arrive: the worker waits for an answer, and tries
// the next controller.
func (k *fakeWorker) isHeartbeatLost(ctx context.Context, body []byte) bool {
	k.mu.Lock()
	mute, keep := k.dropsHeartbeats, k.holdsNext
	if keep {
		k.heldHeartbeat, k.holdsNext = body, false
	}
	k.mu.Unlock()
	if !mute && !keep {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(4 * time.Second):
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	k.controller = (k.controller + 1) % k.w.clusterSize
	k.requestHeartbeat()
	return true
}

// late delivers the heartbeat that was held back, to a controller, and tells whether there
// was one. Nobody waits for the answer any more.
func (k *fakeWorker) deliverHeld(ctx context.Context, node int) bool {
	k.mu.Lock()
	body := k.heldHeartbeat
	k.heldHeartbeat = nil
	k.mu.Unlock()
	if body != nil {
		k.post(ctx, node, body)
	}
	return body != nil
}

// post sends a heartbeat whose answer goes to nobody.
func (k *fakeWorker) post(ctx context.Context, node int, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+frontAddress(node)+"/agent/beat", bytes.NewReader(body))
	if res, err := k.client.Do(req); err == nil {
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}

// echo has a copy of a heartbeat arrive again, for a share of them: much later, and at
// whichever controller is there.
func (k *fakeWorker) duplicateLater(ctx context.Context, node int, body []byte) {
	k.w.mu.Lock()
	again := k.w.rnd.Float64() < k.w.duplicateShare
	by := 2*time.Second + time.Duration(k.w.rnd.Int64N(int64(3*leaseDuration/2)))
	k.w.mu.Unlock()
	if !again {
		return
	}
	time.AfterFunc(by, func() { k.post(ctx, node, body) })
}

func (k *fakeWorker) requestHeartbeat() {
	select {
	case k.heartbeatNow <- struct{}{}:
	default:
	}
}

func (k *fakeWorker) execute(os []wire.Command) {
	for _, o := range os {
		key := o.Task
		t := k.tasks[key]
		switch o.Action {
		case wire.ActionStart:
			if t != nil {
				if t.Attempt != o.Attempt && t.Phase != wire.TaskExited {
					k.w.recordViolation("%s: launched as try %d while try %d is there", key, o.Attempt, t.Attempt)
				}
				if t.Attempt == o.Attempt || t.Phase != wire.TaskExited {
					continue
				}
			}
			t = &workerTask{TaskStatus: wire.TaskStatus{Task: key, Attempt: o.Attempt, Phase: wire.TaskFetching}}
			k.tasks[key] = t
			t.timer = time.AfterFunc(time.Second, func() { k.startTask(t) })
		case wire.ActionStop:
			if t != nil && t.Attempt == o.Attempt && t.Phase != wire.TaskExited {
				k.endTask(t, wire.ExitStopped)
			}
		case wire.ActionForget:
			if t != nil && t.Attempt == o.Attempt && t.Phase == wire.TaskExited {
				delete(k.tasks, key)
			}
		}
		k.requestHeartbeat()
	}
}

func (k *fakeWorker) startTask(t *workerTask) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if k.paused {
		t.timer = time.AfterFunc(time.Second, func() { k.startTask(t) })
		return
	}
	if t.Phase != wire.TaskFetching || k.tasks[t.TaskStatus.Task] != t {
		return
	}
	id, _ := ledger.ParseTask(t.TaskStatus.Task)
	j := k.w.taskStarted(id, t.Attempt, k.instance)
	if duration := time.Since(k.mutedSince); k.dropsHeartbeats && duration > leaseDuration {
		k.w.mu.Lock()
		k.w.recordViolation("mute: %s starts on %s, which has reached no controller for %v", id, k.instance.Name, duration)
		k.w.mu.Unlock()
	}
	t.Phase = wire.TaskRunning
	k.requestHeartbeat()
	if j.Kind == wire.KindArray {
		if k.w.isTaskDone(id) { // the result was kept
			t.timer = time.AfterFunc(0, func() { k.completeTask(t, id) })
			return
		}
		duration := j.ExpectedSeconds * (1 + k.w.durationSpread*float64(id.Index))
		t.timer = time.AfterFunc(time.Duration(duration*float64(time.Second)), func() { k.completeTask(t, id) })
	}
}

// complete ends a task that is done, once its worker goes on.
func (k *fakeWorker) completeTask(t *workerTask, id ledger.Task) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.paused {
		t.timer = time.AfterFunc(time.Second, func() { k.completeTask(t, id) })
		return
	}
	k.expire()
	if t.Phase == wire.TaskRunning && k.tasks[t.TaskStatus.Task] == t {
		k.endTask(t, wire.ExitDone)
		k.w.taskDone(id)
		k.requestHeartbeat()
	}
}

func (k *fakeWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o wire.CommandBatch
	if r.Method == http.MethodPost {
		json.NewDecoder(r.Body).Decode(&o)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dropsAnswers || k.paused {
		panic(http.ErrAbortHandler)
	}
	k.expire()
	status := 200
	if r.URL.Path == "/do" {
		if o.Epoch < k.epoch || o.Incarnation != k.incarnation {
			status = 409
		} else {
			k.epoch = o.Epoch
			k.execute(o.Commands)
		}
	}
	writeJSON(w, status, k.heartbeat())
}

var _ net.Listener = (*listener)(nil)
