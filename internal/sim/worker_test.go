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
	wire.Member
	timer *time.Timer
}

// worker stands in for a machine's worker.
type worker struct {
	w      *world
	h      wire.ListedHost
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

func (k *worker) report() wire.Report {
	k.tick++
	r := wire.Report{Host: k.h.Ref, Address: k.h.Address, Flavor: k.h.Flavor, Locale: k.h.Locale, Loaners: k.h.Loaners, Tenure: k.tenure, Tick: k.tick, Epoch: k.epoch, Members: []wire.Member{}}
	for _, t := range k.tasks {
		r.Members = append(r.Members, t.Member)
	}
	sort.Slice(r.Members, func(a, b int) bool { return r.Members[a].Member < r.Members[b].Member })
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
	if t.Phase == wire.Running {
		k.w.off(t.Member.Member, k.h.Ref)
	}
	t.Phase, t.Cause = wire.Ended, cause
}

func (k *worker) run(ctx context.Context) {
	srv := &http.Server{Handler: k, ErrorLog: log.New(io.Discard, "", 0)}
	go srv.Serve(k.w.net.listen(k.h.Ref, k.h.Address))
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
		var o wire.Orders
		json.Unmarshal(data, &o)
		if k.tenure != r.Tenure || o.Epoch < k.epoch {
			return
		}
		k.epoch, k.sent = o.Epoch, sent
		k.execute(o.Orders)
	case err == nil && res.StatusCode == 421 && strings.Contains(string(data), "host-"):
		var s wire.Steward
		json.Unmarshal(data, &s)
		k.node = int(s.Steward[len("host-")] - '0')
		k.nudge()
	default:
		k.node = (node + 1) % k.w.size
		k.nudge()
	}
}

// lost tells whether a report does not arrive: the worker waits for an answer, and tries
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

// late delivers the report that was held back, to a controller, and tells whether there
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

// post sends a report whose answer goes to nobody.
func (k *worker) post(ctx context.Context, node int, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+front(node)+"/agent/beat", bytes.NewReader(body))
	if res, err := k.client.Do(req); err == nil {
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}

// echo has a copy of a report arrive again, for a share of them: much later, and at
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

func (k *worker) execute(os []wire.Order) {
	for _, o := range os {
		key := o.Member
		t := k.tasks[key]
		switch o.Verb {
		case wire.Launch:
			if t != nil {
				if t.Try != o.Try && t.Phase != wire.Ended {
					k.w.broke("%s: launched as try %d while try %d is there", key, o.Try, t.Try)
				}
				if t.Try == o.Try || t.Phase != wire.Ended {
					continue
				}
			}
			t = &task{Member: wire.Member{Member: key, Try: o.Try, Phase: wire.Fetching}}
			k.tasks[key] = t
			t.timer = time.AfterFunc(time.Second, func() { k.begin(t) })
		case wire.Stop:
			if t != nil && t.Try == o.Try && t.Phase != wire.Ended {
				k.finish(t, wire.CauseHalted)
			}
		case wire.Reap:
			if t != nil && t.Try == o.Try && t.Phase == wire.Ended {
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
	if t.Phase != wire.Fetching || k.tasks[t.Member.Member] != t {
		return
	}
	id, _ := ledger.ParseTask(t.Member.Member)
	j := k.w.on(id, t.Try, k.h)
	if long := time.Since(k.muted); k.mute && long > lease {
		k.w.mu.Lock()
		k.w.broke("mute: %s starts on %s, which has reached no controller for %v", id, k.h.Ref, long)
		k.w.mu.Unlock()
	}
	t.Phase = wire.Running
	k.nudge()
	if j.Shape == wire.Batch {
		if k.w.isDone(id) { // the result was kept
			t.timer = time.AfterFunc(0, func() { k.complete(t, id) })
			return
		}
		long := j.ExpectS * (1 + k.w.spread*float64(id.Index))
		t.timer = time.AfterFunc(time.Duration(long*float64(time.Second)), func() { k.complete(t, id) })
	}
}

// complete ends a task that is done, once its machine goes on.
func (k *worker) complete(t *task, id ledger.Task) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hung {
		t.timer = time.AfterFunc(time.Second, func() { k.complete(t, id) })
		return
	}
	k.expire()
	if t.Phase == wire.Running && k.tasks[t.Member.Member] == t {
		k.finish(t, wire.CauseDone)
		k.w.complete(id)
		k.nudge()
	}
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o wire.Orders
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
		if o.Epoch < k.epoch || o.Tenure != k.tenure {
			status = 409
		} else {
			k.epoch = o.Epoch
			k.execute(o.Orders)
		}
	}
	answer(w, status, k.report())
}

var _ net.Listener = (*listener)(nil)
