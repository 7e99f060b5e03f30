package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt names one attempt of a task.
type attempt struct {
	member string
	try    uint64
}

type workerTask struct {
	attempt
	phase, cause string
	kept         bool
	job          *jobSpec
	onMachine    bool // counted by the rules: it has its image and has not ended
	generation   int
}

// worker is the agent of one machine.
type worker struct {
	w        *world
	m        *machine
	listener net.Listener

	mu          sync.Mutex
	dead        bool
	tenure      uint64
	tick        uint64
	epoch       uint64
	warning     *float64
	tasks       map[attempt]*workerTask
	images      map[string]time.Time // when it is there; in the future while it is fetched
	lastRenewed time.Time
	changedAt   time.Time
	changed     chan struct{}
	node        int
	cut         bool // no packet passes; commands are held
	hung        bool
	heldDo      bool          // direct commands and questions are held
	free        chan struct{} // closed when cut or hang changes
	sick        bool
	slow        float64
	cutNodes    map[int]bool // controllers that it cannot reach
	client      *http.Client
	stateLog    func(kind, format string, args ...any)
}

func newWorker(w *world, m *machine, listener net.Listener) *worker {
	k := &worker{w: w, m: m, listener: listener, tenure: 1, tasks: map[attempt]*workerTask{},
		images: map[string]time.Time{}, lastRenewed: time.Now(), changed: make(chan struct{}, 1),
		free: make(chan struct{}), slow: 1, cutNodes: map[int]bool{}, node: rand.IntN(len(w.nodes)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", k.serveDo)
	mux.HandleFunc("GET /status", k.serveStatus)
	go http.Serve(listener, mux)
	go k.reportLoop()
	go k.leaseLoop()
	return k
}

func (k *worker) kill(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead {
		return
	}
	k.dead = true
	k.listener.Close()
	k.dropAll(why)
	close(k.free)
	k.free = make(chan struct{})
}

// dropAll ends and forgets all tasks. Callers hold mu.
func (k *worker) dropAll(why string) {
	for _, task := range k.tasks {
		if task.onMachine {
			task.onMachine = false
			k.w.taskEnded(k, task, why)
		}
		task.generation++
	}
	k.tasks = map[attempt]*workerTask{}
}

func (k *worker) holdDirect(held bool) { k.mu.Lock(); k.heldDo = held; k.release(); k.mu.Unlock() }

func (k *worker) setCut(cut bool) { k.mu.Lock(); k.cut = cut; k.release(); k.mu.Unlock() }

func (k *worker) setHung(hung bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hung = hung
	if !hung {
		k.checkLease()
	}
	k.release()
}

func (k *worker) release() { close(k.free); k.free = make(chan struct{}) }

// waitFree blocks while the machine is cut off or hangs, and reports whether it is alive.
func (k *worker) waitFree() bool {
	for {
		k.mu.Lock()
		if k.dead {
			k.mu.Unlock()
			return false
		}
		blocked, free := k.cut || k.hung || k.heldDo, k.free
		k.mu.Unlock()
		if !blocked {
			return true
		}
		<-free
	}
}

// checkLease begins a new session if the lease has expired. Callers hold mu.
func (k *worker) checkLease() {
	if k.dead || time.Since(k.lastRenewed) <= k.w.scaled(k.w.conf.leaseS) {
		return
	}
	k.w.event("session", "%s lease expired, session %d begins", k.m.name, k.tenure+1)
	k.dropAll("lease expired")
	k.tenure++
	k.lastRenewed = time.Now()
	k.notify()
}

func (k *worker) leaseLoop() {
	for {
		time.Sleep(10 * time.Millisecond)
		k.mu.Lock()
		if k.dead {
			k.mu.Unlock()
			return
		}
		k.checkLease() // also on a machine that hangs: it may resume within its lease only
		k.mu.Unlock()
	}
}

func (k *worker) notify() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// report returns the next report. Callers hold mu.
func (k *worker) report() map[string]any {
	k.tick++
	members := []any{}
	var names []attempt
	for name := range k.tasks {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		return names[i].member < names[j].member || names[i].member == names[j].member && names[i].try < names[j].try
	})
	for _, name := range names {
		task := k.tasks[name]
		member := map[string]any{"member": task.member, "try": task.try, "phase": task.phase}
		if task.phase == "ended" {
			member["cause"] = task.cause
			if task.cause == "halted" {
				member["kept"] = task.kept
			}
		}
		members = append(members, member)
	}
	return map[string]any{"host": k.m.name, "address": k.m.address, "flavor": k.m.kind.Label, "locale": k.m.zone,
		"loaners": k.m.spot, "tenure": k.tenure, "tick": k.tick, "epoch": k.epoch, "warning_s": k.warning, "members": members}
}

type command struct {
	Verb     string  `json:"verb"`
	Member   string  `json:"member"`
	Try      uint64  `json:"try"`
	WindDown float64 `json:"wind_down_s"`
}

func (k *worker) reportLoop() {
	for {
		interval := k.w.conf.reportS * (0.75 + 0.5*rand.Float64())
		timer := time.NewTimer(k.w.scaled(interval))
		select {
		case <-timer.C:
		case <-k.changed:
			time.Sleep(k.w.scaled(0.5))
		}
		timer.Stop()
		for {
			k.mu.Lock()
			dead, hung := k.dead, k.hung
			free := k.free
			k.mu.Unlock()
			if dead {
				return
			}
			if hung {
				<-free
				continue
			}
			if k.sendReport() {
				break
			}
		}
	}
}

// sendReport sends one report, and returns false if another is to be sent now.
func (k *worker) sendReport() bool {
	k.mu.Lock()
	report := k.report()
	sentAt, tenure, node, cut := time.Now(), k.tenure, k.node, k.cut || k.cutNodes[k.node]
	k.mu.Unlock()
	body, _ := json.Marshal(report)
	timeout := k.w.scaled(4)
	if cut {
		go k.deliverLate(node, body)
		time.Sleep(timeout + k.w.scaled(1))
		k.nextNode()
		return false
	}
	request, _ := http.NewRequest("POST", "http://"+k.w.nodes[node].front+"/agent/beat", bytes.NewReader(body))
	client := *k.client
	client.Timeout = timeout
	response, err := client.Do(request)
	var answer []byte
	if err == nil {
		answer, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	k.mu.Lock()
	if k.cut || k.cutNodes[node] {
		err = io.ErrUnexpectedEOF
	}
	hung := k.hung
	k.mu.Unlock()
	if hung {
		return true // the answer is dropped
	}
	switch {
	case err == nil && response.StatusCode == 200:
		k.execute(answer, tenure, sentAt)
		return true
	case err == nil && response.StatusCode == 421:
		var redirect struct {
			Steward string `json:"steward"`
		}
		json.Unmarshal(answer, &redirect)
		for i, n := range k.w.nodes {
			if n.name == redirect.Steward && i != node {
				k.mu.Lock()
				k.node = i
				k.mu.Unlock()
				time.Sleep(k.w.scaled(0.5 * rand.Float64()))
				return false
			}
		}
	}
	time.Sleep(k.w.scaled(1))
	k.nextNode()
	return false
}

// deliverLate delivers a report that the network held back, once the interruption ends. Nobody reads the answer.
func (k *worker) deliverLate(node int, body []byte) {
	for {
		k.mu.Lock()
		held, dead := k.cut || k.cutNodes[node], k.dead
		k.mu.Unlock()
		if !held || dead {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if response, err := http.Post("http://"+k.w.nodes[node].front+"/agent/beat", "application/json", bytes.NewReader(body)); err == nil {
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

func (k *worker) nextNode() { k.mu.Lock(); k.node = (k.node + 1) % len(k.w.nodes); k.mu.Unlock() }

func (k *worker) execute(answer []byte, tenure uint64, sentAt time.Time) {
	for _, line := range bytes.Split(answer, []byte("\n")) {
		if len(line) > 64<<10 {
			k.w.broken("protocol", "a line of %d bytes to %s", len(line), k.m.name)
		}
	}
	var batch struct {
		Epoch  *uint64   `json:"epoch"`
		Orders []command `json:"orders"`
	}
	if json.Unmarshal(answer, &batch) != nil || batch.Epoch == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead || k.hung || k.tenure != tenure || *batch.Epoch < k.epoch {
		return
	}
	if *batch.Epoch > k.epoch {
		k.epoch = *batch.Epoch
		k.notify()
	}
	k.lastRenewed = sentAt
	for _, c := range batch.Orders {
		k.order(c, "answer")
	}
}

func (k *worker) serveStatus(w http.ResponseWriter, r *http.Request) {
	if !k.waitFree() {
		dropConnection(w)
		return
	}
	k.mu.Lock()
	report := k.report()
	k.mu.Unlock()
	reply(w, 200, report)
}

func (k *worker) serveDo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	arrived := time.Now()
	if k.w.lateCommands && rand.IntN(12) == 0 {
		time.Sleep(time.Duration(rand.Float64() * float64(k.w.scaled(25))))
	}
	if !k.waitFree() {
		dropConnection(w)
		return
	}
	late := time.Since(arrived) > time.Second
	var batch struct {
		Epoch  *uint64   `json:"epoch"`
		Tenure *uint64   `json:"tenure"`
		Orders []command `json:"orders"`
	}
	if json.Unmarshal(body, &batch) != nil || batch.Epoch == nil || batch.Tenure == nil || len(body) > 64<<10 {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	k.mu.Lock()
	status := 200
	if k.dead || *batch.Epoch < k.epoch || *batch.Tenure != k.tenure {
		status = 409
	} else {
		if *batch.Epoch > k.epoch {
			k.epoch = *batch.Epoch
			k.notify()
		}
		way := "direct"
		if late {
			way = "direct, late"
		}
		for _, c := range batch.Orders {
			k.order(c, way)
		}
	}
	report := k.report()
	k.mu.Unlock()
	reply(w, status, report)
}

// order executes one command. Callers hold mu.
func (k *worker) order(c command, way string) {
	name := attempt{c.Member, c.Try}
	task := k.tasks[name]
	switch c.Verb {
	case "launch":
		if task != nil {
			return
		}
		k.w.event("launch", "%s %s try %d (%s)", k.m.name, c.Member, c.Try, way)
		k.launch(name)
	case "stop":
		if task == nil || task.phase == "ended" {
			return
		}
		k.w.event("stop", "%s %s try %d wind_down %.1f (%s)", k.m.name, c.Member, c.Try, c.WindDown, way)
		if task.phase == "running" && task.job.Snapshot > 0 && c.WindDown >= task.job.Flush && c.WindDown > 0 {
			task.phase = "flushing"
			task.generation++
			generation := task.generation
			time.AfterFunc(k.w.scaled(task.job.Flush), func() { k.later(task, generation, func() { k.end(task, "halted", true) }) })
			k.notify()
			return
		}
		if task.phase == "flushing" && c.WindDown > 0 {
			return
		}
		k.end(task, "halted", false)
	case "reap":
		if task != nil && task.phase == "ended" {
			delete(k.tasks, name)
		}
	}
}

// launch begins an attempt. Callers hold mu.
func (k *worker) launch(name attempt) {
	ref, _, _ := strings.Cut(name.member, "/")
	index, err := strconv.Atoi(name.member[len(ref)+1:])
	job := k.w.spec(ref)
	task := &workerTask{attempt: name, phase: "fetching", job: job}
	k.tasks[name] = task
	k.notify()
	if job == nil || err != nil || index < 0 || index >= job.Members {
		k.end(task, "unknown", false)
		return
	}
	cores, ram := 0.0, 0.0
	for _, other := range k.tasks {
		if other == task || other.phase == "ended" {
			continue
		}
		if other.member == name.member {
			k.end(task, "in_use", false)
			return
		}
		cores += other.job.Cores
		ram += other.job.RAM
	}
	if cores+job.Cores > k.m.kind.Cores+1e-6 || ram+job.RAM > k.m.kind.RAM+1e-6 {
		k.end(task, "no_room", false)
		return
	}
	ready, ok := k.images[job.Bundle]
	if !ok {
		ready = time.Now().Add(k.w.scaled(job.Size / k.m.kind.Pull * (0.7 + 0.6*rand.Float64())))
		k.images[job.Bundle] = ready
	}
	time.AfterFunc(max(0, time.Until(ready)), func() { k.later(task, 0, func() { k.begin(task) }) })
}

// later runs a step of a task unless the task has changed; on a hung machine it waits.
func (k *worker) later(task *workerTask, generation int, step func()) {
	for {
		k.mu.Lock()
		if k.dead || task.generation != generation || k.tasks[task.attempt] != task {
			k.mu.Unlock()
			return
		}
		if !k.hung {
			break
		}
		free := k.free
		k.mu.Unlock()
		<-free
	}
	defer k.mu.Unlock()
	step()
}

// begin starts a task that has its image. Callers hold mu.
func (k *worker) begin(task *workerTask) {
	task.phase, task.onMachine = "running", true
	task.generation++
	generation := task.generation
	k.notify()
	done := k.w.taskStarted(k, task)
	if done {
		k.end(task, "done", false)
		return
	}
	if k.sick {
		k.end(task, "error", false)
		return
	}
	if task.job.Shape == "standing" {
		return
	}
	seconds := task.job.runS * (0.9 + 0.2*rand.Float64()) * k.slow
	time.AfterFunc(k.w.scaled(seconds), func() {
		k.later(task, generation, func() { k.end(task, "done", false) })
	})
}

// end ends a task. Callers hold mu.
func (k *worker) end(task *workerTask, cause string, kept bool) {
	task.phase, task.cause, task.kept = "ended", cause, kept
	task.generation++
	if task.onMachine {
		task.onMachine = false
		k.w.taskEnded(k, task, cause)
	}
	k.notify()
}
