package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Job is a job as its user submits it.
type Job struct {
	Ref      string   `json:"ref"`
	Class    string   `json:"jobclass"`
	Owner    string   `json:"owner"`
	Shape    string   `json:"shape"`
	Rank     string   `json:"rank"`
	Members  int      `json:"members"`
	Cores    float64  `json:"cores"`
	Accel    float64  `json:"accelerators"`
	RAM      float64  `json:"ram_gb"`
	Bundle   string   `json:"bundle"`
	Size     float64  `json:"size_gb"`
	Flavors  []string `json:"flavors"`
	Locale   *string  `json:"locale"`
	Same     bool     `json:"same_place"`
	Scatter  bool     `json:"scatter"`
	Loaners  bool     `json:"loaners"`
	Expect   float64  `json:"expect_s"`
	Snapshot float64  `json:"snapshot_s"`
	Flush    float64  `json:"flush_s"`
	Due      *float64 `json:"due_s"`
	WaitsOn  []string `json:"waits_on,omitempty"`

	run time.Duration // of each task
}

// Node is a controller.
type Node struct {
	Name, Zone, Front, Back, Store string
}

// World is what is true: which jobs there are, which tasks are on which machine.
type World struct {
	Rec           *Record
	Nodes         []Node
	Report, Lease time.Duration
	OnUp          func(k *Worker)              // called when a machine is up
	BeforeDo      func(k *Worker, body []byte) // called before a direct command is executed
	mu            sync.Mutex
	jobs          map[string]*Job
	on            map[string]map[*Worker]bool // tasks on machines
	done          map[string]bool
	firstStart    map[string]time.Time
	starts        map[string]int
	broken        []string
}

func newWorld(rec *Record) *World {
	return &World{
		Rec: rec, jobs: map[string]*Job{}, on: map[string]map[*Worker]bool{}, done: map[string]bool{},
		firstStart: map[string]time.Time{}, starts: map[string]int{},
	}
}

// broke records that a rule was broken.
func (w *World) broke(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.Rec.Log("BROKEN", "%s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

func (w *World) brokenRules() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

func (w *World) addJob(job *Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job.Ref] = job
}

// job returns the job of a task, or nil.
func (w *World) job(member string) *Job {
	ref, index, _ := strings.Cut(member, "/")
	n := -1
	fmt.Sscanf(index, "%d", &n)
	w.mu.Lock()
	defer w.mu.Unlock()
	if job := w.jobs[ref]; job != nil && n >= 0 && n < job.Members {
		return job
	}
	return nil
}

func (w *World) taskDone(member string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[member]
}

func (w *World) setTaskDone(member string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[member] = true
}

func (w *World) taskOn(task *workerTask, k *Worker) {
	w.mu.Lock()
	if w.on[task.Member] == nil {
		w.on[task.Member] = map[*Worker]bool{}
	}
	var other string
	for worker := range w.on[task.Member] {
		if worker != k {
			other = worker.machine.Ref
		}
	}
	w.on[task.Member][k] = true
	w.starts[task.Member]++
	if w.firstStart[task.Member].IsZero() {
		w.firstStart[task.Member] = time.Now()
	}
	quiet := w.jobs[task.job.Ref].Members > 64
	w.mu.Unlock()
	if !quiet {
		w.Rec.Log(k.machine.Ref, "runs %s try %d", task.Member, task.Try)
	}
	if other != "" {
		w.broke("ran_twice", "%s starts on %s while it is on %s", task.Member, k.machine.Ref, other)
	}
}

func (w *World) taskOff(task *workerTask, k *Worker, why string) {
	w.mu.Lock()
	delete(w.on[task.Member], k)
	quiet := task.job.Members > 64
	w.mu.Unlock()
	if !quiet {
		w.Rec.Log(k.machine.Ref, "%s try %d is off: %s", task.Member, task.Try, why)
	}
}

// running returns how many tasks of a job are on machines.
func (w *World) running(ref string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for member, workers := range w.on {
		if strings.HasPrefix(member, ref+"/") {
			n += len(workers)
		}
	}
	return n
}

// started returns how many tasks of a job have ever started.
func (w *World) started(ref string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for member := range w.firstStart {
		if strings.HasPrefix(member, ref+"/") {
			n++
		}
	}
	return n
}
