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
type task struct {
	wire.TaskStatus
	timer *time.Timer
}

// worker stands in for a worker's worker.
type worker struct {
	w      *world
	h      wire.Instance
	cancel context.CancelFunc
	client *http.Client

	mu     sync.Mutex
	tenure uint64
	tick   uint64
	epoch  uint64
	sent   time.Time // of the last report that was answered
	tasks  map[string]*task
	node   int
	wake   chan struct{}
	deaf   bool      // answers and commands to it are lost
	mute   bool      // it reaches no controller, while commands reach it
	muted  time.Time // since when
	keep   bool      // its next report is held back
	kept   []byte
	hung   bool // it stands still, and may go on within its lease; past that nothing is left to go on
}

func (k *worker) report() wire.Heartbeat {
	k.tick++
	r := wire.Heartbeat{Worker: k.h.Name, Address: k.h.Address, InstanceType: k.h.InstanceType, Zone: k.h.Zone, Spot: k.h.Spot, Incarnation: k.tenure, Sequence: k.tick, Epoch: k.epoch, Tasks: []wire.TaskStatus{}}
	for _, t := range k.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	sort.Slice(r.Tasks, func(a, b int) bool { return r.Tasks[a].Task < r.Tasks[b].Task })
	return r
}

// expire ends the session once the lease is over; run it with the lock held.
func (k *worker) expire() {
	if time.Since(k.sent) <= lease {
		return
	}
	k.clear()
	k.tenure++
	k.sent = time.Now()
}

func (k *worker) clear() {
	for _, t := range k.tasks {
		k.finish(t, "killed")
	}
	k.tasks = map[string]*task{}
}

func (k *worker) finish(t *task, cause string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.Phase == wire.TaskRunning {
		k.w.taskLeft(t.TaskStatus.Task, k.h.Name)
	}
	t.Phase, t.ExitReason = wire.TaskExited, cause
}

func (k *worker) run(ctx context.Context) {
	srv := &http.Server{Handler: k, ErrorLog: log.New(io.Discard, "", 0)}
	go srv.Serve(k.w.net.listen(k.h.Name, k.h.Address))
	defer srv.Close()
	// The lease ends when it ends, whatever the worker waits for.
	go func() {
		for {
			k.mu.Lock()
			k.expire()
			left := lease - time.Since(k.sent) + time.Millisecond
			k.mu.Unlock()
			select {
			case <-ctx.Done():
				return
			case <-time.After(left):
			}
		}
	}()
	for {
		d := report*3/4 + time.Duration(k.w.intN(int(report/2)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
		case <-k.wake:
			time.Sleep(500 * time.Millisecond)
		}
		k.beat(ctx)
	}
}

func (k *worker) beat(ctx context.Context) {
	k.mu.Lock()
	if k.hung {
		k.mu.Unlock()
		return
	}
	k.expire()
	r := k.report()
	sent, node := time.Now(), k.node
	k.mu.Unlock()
	body, _ := json.Marshal(r)
	if k.lost(ctx, body) {
		return
	}
	rctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(rctx, "POST", "http://"+front(node)+"/agent/beat", bytes.NewReader(body))
	res, err := k.client.Do(req)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	k.echo(ctx, node, body)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	switch {
	case ctx.Err() != nil:
	case k.deaf || k.hung:
		k.node = (node + 1) % k.w.size
		k.nudge()
	case err == nil && res.StatusCode == 200:
		var o wire.CommandBatch
		json.Unmarshal(data, &o)
		if k.tenure != r.Incarnation || o.Epoch < k.epoch {
			return
		}
		k.epoch, k.sent = o.Epoch, sent
		k.execute(o.Commands)
	case err == nil && res.StatusCode == 421 && strings.Contains(string(data), "host-"):
		var s wire.Redirect
		json.Unmarshal(data, &s)
		k.node = int(s.Controller[len("host-")] - '0')
		k.nudge()
	default:
		k.node = (node + 1) % k.w.size
		k.nudge()
	}
}

// lost tells whether a heartbeat does not arrive: the worker waits for an answer, and tries
// the next controller.
func (k *worker) lost(ctx context.Context, body []byte) bool {
	k.mu.Lock()
	mute, keep := k.mute, k.keep
	if keep {
		k.kept, k.keep = body, false
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
	k.node = (k.node + 1) % k.w.size
	k.nudge()
	return true
}

// late delivers the heartbeat that was held back, to a controller, and tells whether there
// was one. Nobody waits for the answer any more.
func (k *worker) late(ctx context.Context, node int) bool {
	k.mu.Lock()
	body := k.kept
	k.kept = nil
	k.mu.Unlock()
	if body != nil {
		k.post(ctx, node, body)
	}
	return body != nil
}

// post sends a heartbeat whose answer goes to nobody.
func (k *worker) post(ctx context.Context, node int, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+front(node)+"/agent/beat", bytes.NewReader(body))
	if res, err := k.client.Do(req); err == nil {
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}

// echo has a copy of a heartbeat arrive again, for a share of them: much later, and at
// whichever controller is there.
func (k *worker) echo(ctx context.Context, node int, body []byte) {
	k.w.mu.Lock()
	again := k.w.rnd.Float64() < k.w.echoes
	by := 2*time.Second + time.Duration(k.w.rnd.Int64N(int64(3*lease/2)))
	k.w.mu.Unlock()
	if !again {
		return
	}
	time.AfterFunc(by, func() { k.post(ctx, node, body) })
}

func (k *worker) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *worker) execute(os []wire.Command) {
	for _, o := range os {
		key := o.Task
		t := k.tasks[key]
		switch o.Action {
		case wire.ActionStart:
			if t != nil {
				if t.Attempt != o.Attempt && t.Phase != wire.TaskExited {
					k.w.broke("%s: launched as try %d while try %d is there", key, o.Attempt, t.Attempt)
				}
				if t.Attempt == o.Attempt || t.Phase != wire.TaskExited {
					continue
				}
			}
			t = &task{TaskStatus: wire.TaskStatus{Task: key, Attempt: o.Attempt, Phase: wire.TaskFetching}}
			k.tasks[key] = t
			t.timer = time.AfterFunc(time.Second, func() { k.begin(t) })
		case wire.ActionStop:
			if t != nil && t.Attempt == o.Attempt && t.Phase != wire.TaskExited {
				k.finish(t, wire.ExitStopped)
			}
		case wire.ActionForget:
			if t != nil && t.Attempt == o.Attempt && t.Phase == wire.TaskExited {
				delete(k.tasks, key)
			}
		}
		k.nudge()
	}
}

func (k *worker) begin(t *task) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if k.hung {
		t.timer = time.AfterFunc(time.Second, func() { k.begin(t) })
		return
	}
	if t.Phase != wire.TaskFetching || k.tasks[t.TaskStatus.Task] != t {
		return
	}
	id, _ := ledger.ParseTask(t.TaskStatus.Task)
	j := k.w.taskStarted(id, t.Attempt, k.h)
	if long := time.Since(k.muted); k.mute && long > lease {
		k.w.mu.Lock()
		k.w.broke("mute: %s starts on %s, which has reached no controller for %v", id, k.h.Name, long)
		k.w.mu.Unlock()
	}
	t.Phase = wire.TaskRunning
	k.nudge()
	if j.Kind == wire.KindArray {
		if k.w.isDone(id) { // the result was kept
			t.timer = time.AfterFunc(0, func() { k.complete(t, id) })
			return
		}
		long := j.ExpectedSeconds * (1 + k.w.spread*float64(id.Index))
		t.timer = time.AfterFunc(time.Duration(long*float64(time.Second)), func() { k.complete(t, id) })
	}
}

// complete ends a task that is done, once its worker goes on.
func (k *worker) complete(t *task, id ledger.Task) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hung {
		t.timer = time.AfterFunc(time.Second, func() { k.complete(t, id) })
		return
	}
	k.expire()
	if t.Phase == wire.TaskRunning && k.tasks[t.TaskStatus.Task] == t {
		k.finish(t, wire.ExitDone)
		k.w.complete(id)
		k.nudge()
	}
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o wire.CommandBatch
	if r.Method == http.MethodPost {
		json.NewDecoder(r.Body).Decode(&o)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.deaf || k.hung {
		panic(http.ErrAbortHandler)
	}
	k.expire()
	status := 200
	if r.URL.Path == "/do" {
		if o.Epoch < k.epoch || o.Incarnation != k.tenure {
			status = 409
		} else {
			k.epoch = o.Epoch
			k.execute(o.Commands)
		}
	}
	answer(w, status, k.report())
}

var _ net.Listener = (*listener)(nil)
