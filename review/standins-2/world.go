package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings of a deployment, in unscaled seconds.
type conf struct {
	scale                    float64
	reportS, leaseS, cancelS float64
	rps, writeRPS, valueKB   float64
	txnOps                   int
	cloudRPS, lagS           float64
	memoryMB                 float64
	sockets                  int
	zones                    []string
	nodeZones                []string
	teams                    []team
	restartS                 float64
	objectives               string
	xml, next                string
}

type team struct {
	name         string
	cpus, cpuMax float64
}

// jobSpec is a submission.
type jobSpec struct {
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

	runS float64
}

// jobState is what users were told of a job, and what its tasks did.
type jobState struct {
	spec                              *jobSpec
	accepted, cancelAsked, cancelTold time.Time
	doneTold                          time.Time
	lastGoodPoll                      time.Time
	firstBadPoll                      time.Time
	doneTasks                         map[string]bool
	on                                map[string]string // task -> machine
	zoneOf                            map[string]string
	starts                            int
	upstreamTold                      time.Time
}

type node struct {
	w           *world
	index       int
	name        string
	front, back string
	config      string
	mu          sync.Mutex
	process     *exec.Cmd
	exited      chan struct{}
	wanted      bool
	selfEnds    int
}

// world is one deployment with its stand-ins and its rules.
type world struct {
	conf   conf
	dir    string
	binary string
	store  *store
	cloud  *cloud
	nodes  []*node
	peers  map[[2]int]*tcpProxy
	began  time.Time

	mu                    sync.Mutex
	jobs                  map[string]*jobState
	used                  map[string]float64
	record                io.Writer
	brokenN               map[string]int
	polls                 []pollResult
	verbose, lateCommands bool
	stop                  chan struct{}
	wg                    sync.WaitGroup
}

type pollResult struct {
	at   time.Time
	good bool
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	running.killAll()
	os.Exit(2)
}

func (w *world) scaled(seconds float64) time.Duration {
	return time.Duration(seconds * w.conf.scale * float64(time.Second))
}

func (w *world) event(kind, format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %-10s %s\n", time.Since(w.began).Seconds(), kind, fmt.Sprintf(format, args...))
}

// broken records a broken rule.
func (w *world) broken(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.event("BROKEN", "%s: %s", rule, text)
	w.mu.Lock()
	w.brokenN[rule]++
	w.mu.Unlock()
}

type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// freePort returns a free loopback address below the ports that the system gives to outgoing connections.
func freePort() string {
	for range 1000 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err == nil {
			listener.Close()
			return listener.Addr().String()
		}
	}
	fatal(fmt.Errorf("no free port"))
	return ""
}

func newWorld(c conf, binary, dir string, record io.Writer, types []*machineType, capacity map[string]int) *world {
	w := &world{conf: c, dir: dir, binary: binary, jobs: map[string]*jobState{}, used: map[string]float64{},
		record: &lockedWriter{w: record}, brokenN: map[string]int{}, began: time.Now(), stop: make(chan struct{}),
		peers: map[[2]int]*tcpProxy{}}
	w.store = newStore(c.rps, c.writeRPS, c.valueKB, c.txnOps, 4*time.Millisecond)
	w.cloud = newCloud(w, types, capacity, c.cloudRPS, w.scaled(c.lagS), 20*time.Millisecond)
	for i := range c.nodeZones {
		w.nodes = append(w.nodes, &node{w: w, index: i, name: fmt.Sprintf("host-%d", i), front: freePort(), back: freePort()})
	}
	for i := range w.nodes {
		for j := range w.nodes {
			if i != j {
				w.peers[[2]int{i, j}] = newTCPProxy(w.nodes[j].back)
			}
		}
	}
	for i, n := range w.nodes {
		n.config = filepath.Join(dir, n.name, "settings.toml")
		os.MkdirAll(filepath.Dir(n.config), 0o755)
		var b strings.Builder
		fmt.Fprintf(&b, "node_name = %q\nlocation = %q\nfront = %q\nback = %q\n", n.name, c.nodeZones[i], n.front, n.back)
		for j, other := range w.nodes {
			if i != j {
				fmt.Fprintf(&b, "\n[[members]]\nnode_name = %q\nlocation = %q\nendpoint = %q\n", other.name, c.nodeZones[j], w.peers[[2]int{i, j}].addr)
			}
		}
		fmt.Fprintf(&b, "\n[services]\ncloud = %q\nstate = %q\n", w.cloud.listen(i), w.store.listen(i))
		fmt.Fprintf(&b, "\n[facts]\nsize = %d\nzones = [%s]\nclock_error_ms = 25.0\n", len(w.nodes), quoteAll(c.zones))
		for _, t := range c.teams {
			fmt.Fprintf(&b, "\n[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.cpuMax)
		}
		b.WriteString(c.objectives)
		fmt.Fprintf(&b, "\n[facts.workers]\nreport_s = %.3f\nlease_s = %.3f\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = %.3f\n",
			c.reportS*c.scale, c.leaseS*c.scale, c.cancelS*c.scale)
		fmt.Fprintf(&b, "\n[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", c.rps, c.writeRPS, c.valueKB, c.txnOps)
		if c.next != "" {
			b.WriteString(c.next)
		}
		fmt.Fprintf(&b, "\n[facts.cloud]\nrps = %.1f\nlist_lag_s = %.2f\n", c.cloudRPS, c.lagS*c.scale)
		fmt.Fprintf(&b, "\n[facts.resources]\ncpu_share = 0.12\nmemory_mb = %.1f\nsockets = %d\n", c.memoryMB, c.sockets)
		if err := os.WriteFile(n.config, []byte(b.String()), 0o644); err != nil {
			fatal(err)
		}
		if c.xml != "" {
			os.WriteFile(filepath.Join(filepath.Dir(n.config), "rillflow.xml"), []byte(c.xml), 0o644)
		}
	}
	return w
}

func quoteAll(names []string) string {
	var quoted []string
	for _, name := range names {
		quoted = append(quoted, fmt.Sprintf("%q", name))
	}
	return strings.Join(quoted, ", ")
}

// start starts a controller's process with the run line of the deploy file, and starts it again whenever it
// ends by itself.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return
	}
	logFile, err := os.OpenFile(filepath.Join(filepath.Dir(n.config), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fatal(err)
	}
	process := exec.Command(n.w.binary, "serve", "--config", n.config)
	process.Stderr = logFile
	process.Env = append(os.Environ(), "GOMAXPROCS=2")
	if os.Getenv("LOG_LEVEL") == "" {
		process.Env = append(process.Env, "LOG_LEVEL=info")
	}
	if err := process.Start(); err != nil {
		fatal(err)
	}
	running.add(process.Process)
	n.process, n.wanted = process, true
	exited := make(chan struct{})
	n.exited = exited
	n.w.event("node", "%s started, process %d", n.name, process.Process.Pid)
	go func() {
		process.Wait()
		running.remove(process.Process)
		logFile.Close()
		n.mu.Lock()
		n.process = nil
		byItself := n.wanted
		n.mu.Unlock()
		close(exited)
		if byItself {
			n.selfEnds++
			n.w.broken("node_ended", "%s ended by itself: %v", n.name, process.ProcessState)
		}
	}()
}

func (n *node) killProcess() {
	n.mu.Lock()
	process, exited := n.process, n.exited
	n.wanted = false
	n.mu.Unlock()
	if process != nil {
		process.Process.Kill()
		<-exited
		n.w.event("node", "%s killed", n.name)
	}
}

func (n *node) restartAfter(seconds float64) {
	n.killProcess()
	time.AfterFunc(n.w.scaled(seconds), n.start)
}

func (w *world) shutDown() {
	close(w.stop)
	for _, n := range w.nodes {
		n.killProcess()
	}
}

// ---- rules ----

func (w *world) spec(ref string) *jobSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	if job := w.jobs[ref]; job != nil {
		return job.spec
	}
	return nil
}

// taskStarted checks the rules of a start, and reports whether the task had completed before.
func (w *world) taskStarted(k *worker, task *workerTask) bool {
	var faults [][2]string
	fault := func(rule, format string, args ...any) {
		faults = append(faults, [2]string{rule, fmt.Sprintf(format, args...)})
	}
	w.mu.Lock()
	ref, _, _ := strings.Cut(task.member, "/")
	job := w.jobs[ref]
	spec := job.spec
	w.event("start", "%s try %d on %s", task.member, task.try, k.m.name)
	if other, ok := job.on[task.member]; ok {
		fault("ran_twice", "%s starts on %s while it is on %s", task.member, k.m.name, other)
	}
	job.on[task.member] = k.m.name
	job.zoneOf[task.member] = k.m.zone
	job.starts++
	w.used[spec.Owner] += spec.Cores
	for _, t := range w.conf.teams {
		if t.name == spec.Owner && w.used[t.name] > t.cpuMax+1e-6 {
			fault("quota", "%s uses %.2f of %.2f", t.name, w.used[t.name], t.cpuMax)
		}
	}
	if spec.Locale != nil && *spec.Locale != k.m.zone {
		fault("wrong_place", "%s in zone %s", task.member, k.m.zone)
	}
	if k.m.spot && !spec.Loaners {
		fault("wrong_place", "%s on spot %s", task.member, k.m.name)
	}
	if len(spec.Flavors) > 0 && !contains(spec.Flavors, k.m.kind.Label) {
		fault("wrong_place", "%s on type %s", task.member, k.m.kind.Label)
	}
	inZone := 0
	for other := range job.on {
		if job.zoneOf[other] == k.m.zone {
			inZone++
		} else if spec.Same {
			fault("wrong_place", "%s in %s while %s is in %s", task.member, k.m.zone, other, job.zoneOf[other])
		}
	}
	if spec.Scatter && inZone > (spec.Members+1)/2 {
		fault("wrong_place", "%d of %d tasks of %s in %s", inZone, spec.Members, ref, k.m.zone)
	}
	if !job.cancelTold.IsZero() && time.Since(job.cancelTold) > w.scaled(w.conf.cancelS) {
		fault("ran_cancelled", "%s starts %.1f s after its user was told", task.member, time.Since(job.cancelTold).Seconds())
	}
	for _, needed := range spec.WaitsOn {
		if other := w.jobs[needed]; other != nil && len(other.doneTasks) < other.spec.Members {
			fault("too_early", "%s starts before %s is done", task.member, needed)
		}
	}
	done := job.doneTasks[task.member]
	w.mu.Unlock()
	for _, f := range faults {
		w.broken(f[0], "%s", f[1])
	}
	return done && spec.Shape != "standing"
}

func contains(list []string, item string) bool {
	for _, other := range list {
		if other == item {
			return true
		}
	}
	return false
}

func (w *world) taskEnded(k *worker, task *workerTask, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ref, _, _ := strings.Cut(task.member, "/")
	job := w.jobs[ref]
	w.event("end", "%s try %d on %s: %s", task.member, task.try, k.m.name, why)
	if job.on[task.member] == k.m.name {
		delete(job.on, task.member)
		delete(job.zoneOf, task.member)
	}
	w.used[job.spec.Owner] -= job.spec.Cores
	if why == "done" {
		job.doneTasks[task.member] = true
	}
}

// watchRules checks what no event shows: tasks of cancelled jobs that stay, and jobs that are not answered.
func (w *world) watchRules() {
	reported := map[string]bool{}
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		var faults [][2]string
		w.mu.Lock()
		now := time.Now()
		for ref, job := range w.jobs {
			if !job.cancelTold.IsZero() && len(job.on) > 0 && now.Sub(job.cancelTold) > w.scaled(w.conf.cancelS) && !reported["c"+ref] {
				reported["c"+ref] = true
				faults = append(faults, [2]string{"ran_cancelled", fmt.Sprintf("%s has tasks on %v %.1f s after its user was told", ref, job.on, now.Sub(job.cancelTold).Seconds())})
			}
			if !job.firstBadPoll.IsZero() && now.Sub(job.firstBadPoll) > w.scaled(90) && !reported["f"+ref] && w.mostAnswered(now) {
				reported["f"+ref] = true
				faults = append(faults, [2]string{"forgotten", fmt.Sprintf("every poll of %s has failed for %.1f s", ref, now.Sub(job.firstBadPoll).Seconds())})
			}
		}
		w.mu.Unlock()
		for _, f := range faults {
			w.broken(f[0], "%s", f[1])
		}
	}
}

// mostAnswered reports whether most polls of the last 90 s were answered. Callers hold mu.
func (w *world) mostAnswered(now time.Time) bool {
	good, all := 0, 0
	for _, poll := range w.polls {
		if now.Sub(poll.at) < w.scaled(90) {
			all++
			if poll.good {
				good++
			}
		}
	}
	return good*2 > all
}

// ---- users ----

var userTransport = &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}

// request sends a user's request to a node, or to any that accepts the connection if node is -1.
func (w *world) request(at int, method, path string, body []byte, timeout time.Duration) (int, []byte, int) {
	order := rand.Perm(len(w.nodes))
	if at >= 0 {
		order = []int{at}
	}
	for _, i := range order {
		request, _ := http.NewRequest(method, "http://"+w.nodes[i].front+path, bytes.NewReader(body))
		client := &http.Client{Transport: userTransport, Timeout: timeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		response, err := client.Do(request)
		if err != nil {
			if strings.Contains(err.Error(), "connection refused") {
				continue
			}
			return 0, nil, i
		}
		answer, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return 0, nil, i
		}
		return response.StatusCode, answer, i
	}
	return 0, nil, -1
}

// addJob makes a job known to workers, as its user uploads it.
func (w *world) addJob(spec *jobSpec) *jobState {
	w.mu.Lock()
	defer w.mu.Unlock()
	if job := w.jobs[spec.Ref]; job != nil {
		return job
	}
	job := &jobState{spec: spec, doneTasks: map[string]bool{}, on: map[string]string{}, zoneOf: map[string]string{}}
	w.jobs[spec.Ref] = job
	return job
}

// submitOnce sends a submission once.
func (w *world) submitOnce(spec *jobSpec, at int) (int, string) {
	w.addJob(spec)
	body, _ := json.Marshal(spec)
	askedAt := time.Now()
	status, answer, from := w.request(at, "POST", "/v1/jobs", body, 5*time.Second)
	phase := w.told(spec.Ref, status, answer, askedAt, "submit", from)
	return status, phase
}

func (w *world) pollOnce(ref string, at int) (int, string) {
	askedAt := time.Now()
	status, answer, from := w.request(at, "GET", "/v1/jobs/"+ref, nil, 2*time.Second)
	phase := w.told(ref, status, answer, askedAt, "poll", from)
	return status, phase
}

func (w *world) cancelOnce(ref string, at int) (int, string) {
	w.mu.Lock()
	if job := w.jobs[ref]; job != nil && job.cancelAsked.IsZero() {
		job.cancelAsked = time.Now()
	}
	w.mu.Unlock()
	askedAt := time.Now()
	status, answer, from := w.request(at, "POST", "/v1/jobs/"+ref+"/withdraw", nil, 5*time.Second)
	phase := w.told(ref, status, answer, askedAt, "withdraw", from)
	return status, phase
}

// upstreamCancelled reports whether a job that this one needs, directly or through others, has been cancelled by
// its user. Callers hold mu.
func (w *world) upstreamCancelled(job *jobState) bool {
	for _, ref := range job.spec.WaitsOn {
		if other := w.jobs[ref]; other != nil && (!other.cancelAsked.IsZero() || w.upstreamCancelled(other)) {
			return true
		}
	}
	return false
}

// told records what a user was told, and checks it.
func (w *world) told(ref string, status int, answer []byte, askedAt time.Time, kind string, from int) string {
	var body struct {
		Ref   string `json:"ref"`
		Phase string `json:"phase"`
	}
	json.Unmarshal(answer, &body)
	if w.verbose || kind != "poll" || status != 200 {
		w.event(kind, "%s at host-%d: %d %s", ref, from, status, strings.TrimSpace(string(answer)))
	}
	var faults [][2]string
	fault := func(rule, format string, args ...any) {
		faults = append(faults, [2]string{rule, fmt.Sprintf(format, args...)})
	}
	w.mu.Lock()
	job := w.jobs[ref]
	if kind == "poll" {
		w.polls = append(w.polls, pollResult{time.Now(), status == 200 || status == 404})
		if len(w.polls) > 4000 {
			w.polls = append([]pollResult(nil), w.polls[2000:]...)
		}
	}
	if job == nil {
		if status == 200 || status == 201 {
			fault("invented", "%s", ref)
		}
		w.mu.Unlock()
		for _, f := range faults {
			w.broken(f[0], "%s", f[1])
		}
		return body.Phase
	}
	wasAccepted := !job.accepted.IsZero() && job.accepted.Before(askedAt)
	if kind == "poll" && wasAccepted {
		if status == 200 {
			job.firstBadPoll = time.Time{}
		} else if job.firstBadPoll.IsZero() {
			job.firstBadPoll = askedAt
		}
	}
	if wasAccepted && status == 404 {
		fault("forgotten", "%s was accepted and is answered 404 (%s)", ref, kind)
	}
	if wasAccepted && kind == "submit" && (status == 400 || status == 422) {
		fault("forgotten", "%s was accepted and is answered %d", ref, status)
	}
	if (status == 200 || status == 201) && body.Ref != ref {
		fault("foreign", "%s is answered %s", ref, answer)
	}
	if status == 201 && wasAccepted {
		fault("accepted_twice", "%s is answered 201 again", ref)
	}
	if status == 200 || status == 201 {
		if job.accepted.IsZero() {
			job.accepted = time.Now()
		}
		if !job.doneTold.IsZero() && job.doneTold.Before(askedAt) && body.Phase != "done" {
			fault("went_back", "%s was done and is called %s", ref, body.Phase)
		}
		if !job.cancelTold.IsZero() && job.cancelTold.Before(askedAt) && body.Phase != "withdrawn" {
			fault("went_back", "%s was withdrawn and is called %s", ref, body.Phase)
		}
		switch body.Phase {
		case "done":
			if len(job.doneTasks) < job.spec.Members || job.spec.Shape == "standing" {
				fault("not_done", "%s is called done with %d of %d", ref, len(job.doneTasks), job.spec.Members)
			}
			if job.doneTold.IsZero() {
				job.doneTold = time.Now()
			}
		case "withdrawn":
			if job.cancelAsked.IsZero() && !w.upstreamCancelled(job) {
				fault("went_back", "%s is called withdrawn, and nobody asked for it", ref)
			}
			if job.cancelTold.IsZero() {
				job.cancelTold = time.Now()
			}
		case "queued", "running":
			if at := latest(w.upstreamTold(job), job.accepted); status == 200 && !w.upstreamTold(job).IsZero() && askedAt.Sub(at) > w.scaled(w.conf.cancelS) {
				fault("orphaned", "%s is called %s %.1f s after the user of a job before it was told", ref, body.Phase, askedAt.Sub(at).Seconds())
			}
		default:
			fault("protocol", "%s: phase %q", ref, body.Phase)
		}
	}
	w.mu.Unlock()
	for _, f := range faults {
		w.broken(f[0], "%s", f[1])
	}
	return body.Phase
}

// slowDown makes a controller compute several times slower: it is stopped and continued in turn.
func (n *node) slowDown(length, stopped, running time.Duration) {
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(running) {
		n.mu.Lock()
		process := n.process
		if process != nil {
			process.Process.Signal(syscall.SIGSTOP)
		}
		n.mu.Unlock()
		time.Sleep(stopped)
		if process != nil {
			process.Process.Signal(syscall.SIGCONT)
		}
	}
}

// upstreamTold returns when the user of a job that this one needs, directly or through others, was first told
// that it is cancelled. Callers hold mu.
func (w *world) upstreamTold(job *jobState) (at time.Time) {
	for _, ref := range job.spec.WaitsOn {
		other := w.jobs[ref]
		if other == nil {
			continue
		}
		for _, told := range []time.Time{other.cancelTold, w.upstreamTold(other)} {
			if !told.IsZero() && (at.IsZero() || told.Before(at)) {
				at = told
			}
		}
	}
	return at
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
