package main

import (
	"fmt"
	"io"
	"time"
)

func init() { cases["waits"] = runWaits }

// small is the annex of the users' pages at its full size, in real time. Machines are up within a second or two.
func small() (conf, []*machineType, map[string]int) {
	c, types, capacity := annex(1)
	c.teams = []team{{"scan-room", 136, 336}, {"curator-desk", 48, 64}, {"web-viewer", 136, 504}}
	types = append(types, &machineType{Label: "onggi-big", Cores: 32, RAM: 128, Local: 35, Pull: 1.0, Rate: 1.55, Spot: 0.6, Ready: 20, Locales: c.zones})
	numbers := map[string][3]int{"onggi-small": {3, 3, 4}, "onggi-mid": {1, 2, 2}, "onggi-big": {1, 1, 1}}
	spots := map[string][3]int{"onggi-small": {2, 3, 3}, "onggi-mid": {1, 1, 1}, "onggi-big": {1, 1, 1}}
	for i, zone := range c.zones {
		for label := range numbers {
			capacity[capKey(label, zone, false)] = numbers[label][i]
			capacity[capKey(label, zone, true)] = spots[label][i]
		}
	}
	return c, types, capacity
}

// runWaits plays a job that needs a whole machine's memory after a service's replica has moved there.
func runWaits(binary, dir string, record io.Writer, trouble bool) int {
	c, types, capacity := small()
	w := newWorld(c, binary, dir, record, types, capacity)
	w.cloud.fastBoot = true
	defer w.shutDown()
	began := time.Now()
	for _, n := range w.nodes {
		n.start()
	}
	go w.watchRules()
	serve := &jobSpec{Ref: "req-000401", Class: "viewer-serve", Owner: "web-viewer", Shape: "standing", Rank: "production",
		Members: 1, Cores: 2, RAM: 3.4, Bundle: "img-viewer", Size: 0.7, Scatter: true}
	stitch := func(ref string) *jobSpec {
		return &jobSpec{Ref: ref, Class: "thumb-batch", Owner: "scan-room", Shape: "batch", Rank: "standard",
			Members: 1, Cores: 4, RAM: 128, Bundle: "img-stitch", Size: 1.2, Expect: 5, runS: 5}
	}
	if !w.accept(serve) || !w.await(30*time.Second, func() bool { return w.machineOf("req-000401/0") != "" }) {
		w.event("cannot run", "the service does not start")
		return 2
	}
	if !w.accept(stitch("req-000402")) || !w.await(30*time.Second, func() bool { return w.isDone("req-000402") }) {
		w.event("cannot run", "the first job is not done")
		return 2
	}
	first := w.machineOf("req-000401/0")
	if trouble {
		w.event("TROUBLE", "%s stops with all that is on it", first)
		w.cloud.remove(first, true)
		if !w.await(30*time.Second, func() bool { return w.machineOf("req-000401/0") != "" }) {
			w.event("cannot run", "the replica does not start again")
			return 2
		}
	} else {
		time.Sleep(10 * time.Second)
	}
	w.event("replica", "req-000401/0 is on %s", w.machineOf("req-000401/0"))
	if !w.accept(stitch("req-000403")) {
		w.event("cannot run", "the second job is not accepted")
		return 2
	}
	submitted := time.Now()
	lastPoll := time.Time{}
	for time.Since(began) < 104*time.Second && !w.isDone("req-000403") {
		if time.Since(lastPoll) > 5*time.Second {
			lastPoll = time.Now()
			w.verbose = true
			w.pollOnce("req-000403", -1)
			w.event("cloud", "%s", w.cloud.free("onggi-mid", "onggi-big"))
		}
		time.Sleep(100 * time.Millisecond)
	}
	waited := time.Since(submitted).Seconds()
	w.mu.Lock()
	started := w.jobs["req-000403"].starts
	w.mu.Unlock()
	for _, m := range w.cloud.up() {
		w.event("machine", "%s", m)
	}
	if w.broke("node_ended") {
		w.event("cannot run", "a controller ended by itself, perhaps for want of its port")
		return 2
	}
	if started > 0 {
		w.event("held", "req-000403 started, %d time(s)", started)
		fmt.Printf("held: req-000403 started\n")
		return 0
	}
	if waited < 70 {
		w.event("cannot run", "only %.0f s were left to wait", waited)
		return 2
	}
	w.event("BROKEN", "must_run: req-000403 was accepted %.0f s ago and no task of it has started", waited)
	// For the reader alone: what happens once nothing else is on the machine.
	w.cancelOnce("req-000401", -1)
	startedAfter := w.await(8*time.Second, func() bool { return w.machineOf("req-000403/0") != "" })
	w.event("after", "the service is withdrawn; req-000403 starts then: %v", startedAfter)
	fmt.Printf("broken: req-000403 has not started in %.0f s\n", waited)
	return 1
}

// accept submits a job until it is accepted, for half a minute at most.
func (w *world) accept(spec *jobSpec) bool {
	return w.await(30*time.Second, func() bool {
		status, _ := w.submitOnce(spec, -1)
		if status == 200 || status == 201 {
			return true
		}
		time.Sleep(time.Second)
		return false
	})
}

func (w *world) await(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// machineOf returns the machine that a task is on, or "".
func (w *world) machineOf(member string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[member[:len("req-000000")]].on[member]
}

func (w *world) isDone(ref string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := w.jobs[ref]
	return len(job.doneTasks) == job.spec.Members
}

// free tells how many machines of the given types the cloud has left to rent.
func (c *cloud) free(labels ...string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := map[string]int{}
	for key, count := range c.capacity {
		for _, label := range labels {
			if len(key) > len(label) && key[:len(label)+1] == label+"/" {
				left[label] += count
			}
		}
	}
	for _, m := range c.machines {
		if _, ok := left[m.kind.Label]; ok && m.gone.IsZero() && m.died.IsZero() {
			left[m.kind.Label]--
		}
	}
	return fmt.Sprintf("left to rent, ordinary and spot: %v", left)
}

// up describes the machines that are up.
func (c *cloud) up() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for _, m := range c.machines {
		if m.worker == nil || !m.gone.IsZero() || !m.died.IsZero() {
			continue
		}
		m.worker.mu.Lock()
		tasks := []string{}
		for name, task := range m.worker.tasks {
			if task.phase != "ended" {
				tasks = append(tasks, name.member)
			}
		}
		m.worker.mu.Unlock()
		found = append(found, fmt.Sprintf("%s %s in %s, spot %v, tasks %v", m.name, m.kind.Label, m.zone, m.spot, tasks))
	}
	return found
}

// broke reports whether a rule was found broken.
func (w *world) broke(rule string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.brokenN[rule] > 0
}
