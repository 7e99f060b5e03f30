package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxLine is the protocol's limit on a line of a response to a worker, and on a request body.
const maxLine = 64 << 10

// workerTask is an attempt of a task on a worker.
type workerTask struct {
	Member string `json:"member"`
	Try    uint64 `json:"try"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause,omitempty"`
	Kept   bool   `json:"kept,omitempty"`

	job   *Job
	since time.Time
}

// order is a command to a worker.
type order struct {
	Verb     string  `json:"verb"`
	Member   string  `json:"member"`
	Try      uint64  `json:"try"`
	WindDown float64 `json:"wind_down_s"`
}

// batch is a response to a report, or the body of a direct command.
type batch struct {
	Epoch  *uint64 `json:"epoch"`
	Tenure *uint64 `json:"tenure"`
	Orders []order `json:"orders"`
}

// Worker is a stand-in of the agent of one machine.
type Worker struct {
	Address string
	world   *World
	machine *Machine
	kind    MachineType

	mu        sync.Mutex
	listener  net.Listener
	server    *http.Server
	client    *http.Client
	gone      bool
	dead      bool      // stopped by itself
	began     time.Time // of the session
	renewed   time.Time // when the last answered report was sent
	tenure    uint64
	tick      uint64
	epoch     uint64
	tasks     []*workerTask
	images    map[string]time.Time // ready from then on
	node      int
	change    chan struct{}
	lastSent  time.Time
	sickUntil time.Time     // tasks that start before then fail
	hung      chan struct{} // not nil once the machine has stopped: it answers nothing any more
	cutUntil  time.Time     // until then nothing reaches the machine, nor does anything leave it
	expired   int           // leases that ran out
	answered  time.Time     // the last report that was answered 200 and accepted
}

func newWorker(world *World, machine *Machine, kind MachineType) *Worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return &Worker{
		Address: listener.Addr().String(), world: world, machine: machine, kind: kind, listener: listener,
		tenure: 1, images: map[string]time.Time{}, change: make(chan struct{}, 1), node: rand.Intn(len(world.Nodes)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

func (k *Worker) start() {
	k.mu.Lock()
	k.began, k.renewed = time.Now(), time.Now()
	k.server = &http.Server{Handler: http.HandlerFunc(k.handle)}
	k.mu.Unlock()
	k.world.Rec.Log(k.machine.Ref, "up: %s in %s at %s", k.machine.Flavor, k.machine.Locale, k.Address)
	if k.world.OnUp != nil {
		k.world.OnUp(k)
	}
	go k.server.Serve(k.listener)
	go k.run()
	go k.steps()
}

// destroy ends the machine and all that is on it.
func (k *Worker) destroy() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gone = true
	k.clearTasks("machine gone")
	if k.server != nil {
		k.server.Close()
	} else {
		k.listener.Close()
	}
}

// Sick makes all tasks that start within d fail.
func (k *Worker) Sick(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sickUntil = time.Now().Add(d)
}

// Cut cuts the machine off from the network for d: connections to it are reset, and it reaches nobody.
func (k *Worker) Cut(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutUntil = time.Now().Add(d)
}

// waitHung waits while the machine stands still.
func (k *Worker) waitHung() {
	for {
		k.mu.Lock()
		hung := k.hung
		k.mu.Unlock()
		if hung == nil {
			return
		}
		<-hung
	}
}

func (k *Worker) clearTasks(why string) {
	for _, task := range k.tasks {
		if task.Phase == "running" {
			k.world.taskOff(task, k, why)
		}
	}
	k.tasks = nil
}

// expire begins the next session if the lease has run out.
func (k *Worker) expire() {
	if k.gone || k.began.IsZero() || time.Since(k.renewed) <= k.world.Lease {
		return
	}
	k.world.Rec.Log(k.machine.Ref, "lease ran out, %d tasks killed, session %d begins", len(k.tasks), k.tenure+1)
	k.clearTasks("lease ran out")
	k.expired++
	k.tenure++
	k.tick = 0
	k.renewed, k.began = time.Now(), time.Now()
}

func (k *Worker) report() []byte {
	k.tick++
	members := k.tasks
	if members == nil {
		members = []*workerTask{}
	}
	data, _ := json.Marshal(map[string]any{
		"host": k.machine.Ref, "address": k.Address, "flavor": k.machine.Flavor, "locale": k.machine.Locale,
		"loaners": k.machine.Loaners, "tenure": k.tenure, "tick": k.tick, "epoch": k.epoch, "warning_s": nil,
		"members": members,
	})
	return data
}

func (k *Worker) changed() {
	select {
	case k.change <- struct{}{}:
	default:
	}
}

// steps moves tasks on as time goes by.
func (k *Worker) steps() {
	for {
		time.Sleep(20 * time.Millisecond)
		k.waitHung()
		k.mu.Lock()
		if k.gone {
			k.mu.Unlock()
			return
		}
		k.expire()
		now := time.Now()
		for _, task := range k.tasks {
			k.step(task, now)
		}
		k.mu.Unlock()
	}
}

func (k *Worker) step(task *workerTask, now time.Time) {
	switch {
	case task.Phase == "fetching" && !now.Before(k.images[task.job.Bundle]):
		if k.world.taskDone(task.Member) {
			task.Phase, task.Cause = "ended", "done"
		} else {
			task.Phase, task.since = "running", now
			k.world.taskOn(task, k)
		}
		k.changed()
	case task.Phase == "running" && now.Sub(task.since) > 200*time.Millisecond && task.since.Before(k.sickUntil):
		k.end(task, "error")
	case task.Phase == "running" && task.job.Shape == "batch" && now.Sub(task.since) > task.job.run:
		k.world.setTaskDone(task.Member)
		k.end(task, "done")
	}
}

func (k *Worker) end(task *workerTask, cause string) {
	if task.Phase == "running" {
		k.world.taskOff(task, k, cause)
	}
	task.Phase, task.Cause = "ended", cause
	k.changed()
}

// run sends reports.
func (k *Worker) run() {
	for {
		interval := k.world.Report*3/4 + time.Duration(rand.Int63n(int64(k.world.Report/2)))
		select {
		case <-time.After(interval):
		case <-k.change:
			if wait := 500*time.Millisecond - time.Since(k.lastSent); wait > 0 {
				time.Sleep(wait)
			}
		}
		k.waitHung()
		k.mu.Lock()
		gone := k.gone
		k.mu.Unlock()
		if gone {
			return
		}
		k.send()
	}
}

func (k *Worker) send() {
	k.mu.Lock()
	k.expire()
	body := k.report()
	tenure, sentAt, node := k.tenure, time.Now(), k.node
	k.lastSent = sentAt
	if time.Now().Before(k.cutUntil) {
		k.next()
		k.mu.Unlock()
		return
	}
	k.mu.Unlock()
	status, answer, line := k.post("http://"+k.world.Nodes[node].Front+"/agent/beat", body)
	k.waitHung()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone {
		return
	}
	k.expire()
	if len(body) > maxLine {
		k.world.Rec.Log(k.machine.Ref, "report of %d bytes", len(body))
	}
	if status == 200 && line > maxLine {
		// Not a response that the protocol allows: it can't be read.
		k.world.broke("line", "%s: a response of %s to its report has a line of %d bytes", k.machine.Ref, k.world.Nodes[node].Name, line)
		status = 0
	}
	switch {
	case status == 200:
		var response batch
		if json.Unmarshal(answer, &response) != nil || response.Epoch == nil || *response.Epoch < k.epoch || tenure != k.tenure {
			return // dropped
		}
		if *response.Epoch > k.epoch {
			k.changed()
		}
		k.epoch, k.renewed, k.answered = *response.Epoch, sentAt, time.Now()
		k.execute(response.Orders, "answer of "+k.world.Nodes[node].Name)
	case status == 421:
		var redirect struct {
			Steward string `json:"steward"`
		}
		json.Unmarshal(answer, &redirect)
		for i := range k.world.Nodes {
			if k.world.Nodes[i].Name == redirect.Steward && i != node {
				k.node = i
				k.changed()
				return
			}
		}
		k.next()
	default:
		k.world.Rec.Log(k.machine.Ref, "report to %s: status %d", k.world.Nodes[node].Name, status)
		k.next()
	}
}

// next moves on to the next node, 1 s later.
func (k *Worker) next() {
	k.node = (k.node + 1) % len(k.world.Nodes)
	time.AfterFunc(time.Second, k.changed)
}

// post sends a report and returns the status, 0 for none, the body and the length of its longest line.
func (k *Worker) post(url string, body []byte) (status int, answer []byte, line int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, "POST", url, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := k.client.Do(request)
	if err != nil {
		return 0, nil, 0
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, 0
	}
	return response.StatusCode, answer, longestLine(answer)
}

func longestLine(data []byte) int {
	longest := 0
	reader := bufio.NewReaderSize(bytes.NewReader(data), 64)
	for {
		text, err := reader.ReadString('\n')
		longest = max(longest, len(strings.TrimSuffix(text, "\n")))
		if err != nil {
			return longest
		}
	}
}

func (k *Worker) execute(orders []order, from string) {
	if len(orders) > 8 {
		k.world.Rec.Log(k.machine.Ref, "%s: %d orders", from, len(orders))
	}
	for _, o := range orders {
		var same *workerTask
		for _, task := range k.tasks {
			if task.Member == o.Member && task.Try == o.Try {
				same = task
			}
		}
		if len(orders) <= 8 {
			k.world.Rec.Log(k.machine.Ref, "%s: %s %s try %d", from, o.Verb, o.Member, o.Try)
		}
		switch o.Verb {
		case "launch":
			if same == nil {
				k.launch(o)
			}
		case "stop":
			if same != nil && same.Phase != "ended" {
				k.end(same, "halted")
			}
		case "reap":
			if same != nil && same.Phase == "ended" {
				for i, task := range k.tasks {
					if task == same {
						k.tasks = append(k.tasks[:i:i], k.tasks[i+1:]...)
						break
					}
				}
				k.changed()
			}
		}
	}
}

func (k *Worker) launch(o order) {
	task := &workerTask{Member: o.Member, Try: o.Try, Phase: "fetching", since: time.Now()}
	task.job = k.world.job(o.Member)
	used, memory, other := 0.0, 0.0, false
	for _, present := range k.tasks {
		if present.Phase != "ended" {
			used += present.job.Cores
			memory += present.job.RAM
			other = other || present.Member == o.Member
		}
	}
	switch {
	case task.job == nil:
		task.Phase, task.Cause = "ended", "unknown"
		task.job = &Job{}
	case other:
		task.Phase, task.Cause = "ended", "in_use"
	case used+task.job.Cores > k.kind.Cores+1e-6 || memory+task.job.RAM > k.kind.RAM+1e-6:
		task.Phase, task.Cause = "ended", "no_room"
	default:
		if _, ok := k.images[task.job.Bundle]; !ok {
			fetch := time.Duration(task.job.Size / k.kind.Pull * float64(time.Second))
			k.images[task.job.Bundle] = time.Now().Add(fetch)
		}
	}
	k.tasks = append(k.tasks, task)
	sort.SliceStable(k.tasks, func(a, b int) bool { return k.tasks[a].Member < k.tasks[b].Member })
	k.changed()
}

// handle serves direct commands.
func (k *Worker) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	if k.world.BeforeDo != nil && r.URL.Path == "/do" {
		k.world.BeforeDo(k, body)
	}
	k.waitHung()
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Now().Before(k.cutUntil) {
		panic(http.ErrAbortHandler) // the connection is reset
	}
	if k.gone {
		return
	}
	k.expire()
	status := 200
	if r.URL.Path == "/do" {
		var command batch
		switch {
		case len(body) > maxLine:
			k.world.broke("line", "%s: the body of a direct command has %d bytes", k.machine.Ref, len(body))
			reply(w, 413, map[string]string{"error": "too large"})
			return
		case json.Unmarshal(body, &command) != nil || command.Epoch == nil || command.Tenure == nil:
			reply(w, 400, map[string]string{"error": "malformed"})
			return
		case *command.Epoch < k.epoch || *command.Tenure != k.tenure:
			status = 409
		default:
			if *command.Epoch > k.epoch {
				k.changed()
			}
			k.epoch = *command.Epoch
			k.execute(command.Orders, "direct")
		}
	}
	data := k.report()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

// die stops the machine with all that is on it. Connections to it hang.
func (k *Worker) die() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clearTasks("machine stopped")
	k.gone = true
	if k.hung == nil {
		k.hung = make(chan struct{})
	}
}
