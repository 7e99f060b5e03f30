package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// team is a team of the settings.
type team struct {
	name               string
	guaranteed, atMost float64
}

// site is a deployment: what its site file and its settings say.
type site struct {
	name            string
	zones           []string // of the controllers, in order
	teams           []team
	objectives      string
	report, lease   float64
	cancel          float64
	rps, writeRPS   float64
	valueKB, txnOps int
	cloudRPS, lag   float64
	cpuShare        float64
	memoryMB        float64
	sockets         int
	clockErrorMS    float64
	types           []MachineType
	capacity        map[offer]int
	boot            time.Duration
	next            string // the state service's announced limits
}

// annex is the small deployment of the museum, baekja-image-vault.
func annex() site {
	zones := []string{"seoul-main", "daejeon-annex", "busan-reserve"}
	return site{
		name: "baekja-image-vault", zones: zones,
		teams: []team{{"scan-room", 136, 336}, {"curator-desk", 48, 64}, {"web-viewer", 136, 504}},
		objectives: `
[[facts.objectives]]
kind = "deadline"
class = "thumb-batch"
share = 0.97
times = 1.0

[[facts.objectives]]
kind = "deadline"
class = "thumb-batch"
share = 0.97
times = 1.75

[[facts.objectives]]
kind = "wait"
class = "viewer-serve"
within_s = 2.0
share = 0.94

[[facts.objectives]]
kind = "guarantee"
within_s = 10.0
share = 0.95
`,
		report: 3, lease: 22, cancel: 42, rps: 250, writeRPS: 100, valueKB: 16, txnOps: 12, cloudRPS: 4, lag: 10,
		cpuShare: 0.12, memoryMB: 179, sockets: 2000, clockErrorMS: 25,
		types: []MachineType{
			{"onggi-small", 4, 0, 16, 40, 0.3, 0.17, 0.07, 35, zones},
			{"onggi-mid", 16, 0, 32, 35, 0.6, 0.72, 0.26, 30, zones},
			{"onggi-big", 32, 0, 128, 35, 1.0, 1.55, 0.6, 20, zones},
		},
		capacity: map[offer]int{
			{"onggi-small", "seoul-main", false}: 3, {"onggi-small", "seoul-main", true}: 2,
			{"onggi-small", "daejeon-annex", false}: 3, {"onggi-small", "daejeon-annex", true}: 3,
			{"onggi-small", "busan-reserve", false}: 4, {"onggi-small", "busan-reserve", true}: 3,
			{"onggi-mid", "seoul-main", false}: 1, {"onggi-mid", "seoul-main", true}: 1,
			{"onggi-mid", "daejeon-annex", false}: 2, {"onggi-mid", "daejeon-annex", true}: 1,
			{"onggi-mid", "busan-reserve", false}: 2, {"onggi-mid", "busan-reserve", true}: 1,
			{"onggi-big", "seoul-main", false}: 1, {"onggi-big", "seoul-main", true}: 1,
			{"onggi-big", "daejeon-annex", false}: 1, {"onggi-big", "daejeon-annex", true}: 1,
			{"onggi-big", "busan-reserve", false}: 1, {"onggi-big", "busan-reserve", true}: 1,
		},
		boot: 1500 * time.Millisecond,
	}
}

// annexNext is the museum's deployment with pipelines, baekja-image-vault-next.
func annexNext() site {
	s := annex()
	s.name = "baekja-image-vault-next"
	s.teams = []team{{"scan-room", 4000, 10000}, {"curator-desk", 1500, 2000}, {"web-viewer", 4000, 18000}}
	s.report = 4
	s.next = "\n[facts.state.next]\nwrite_rps = 70.0\nvalue_kb = 2.0\ntxn_ops = 4\n"
	return s
}

// facts returns the facts of the settings.
func (s site) facts() string {
	var text strings.Builder
	quoted := make([]string, len(s.zones))
	for i, zone := range s.zones {
		quoted[i] = fmt.Sprintf("%q", zone)
	}
	fmt.Fprintf(&text, "[facts]\nsize = %d\nzones = [%s]\nclock_error_ms = %.1f\n", len(s.zones), strings.Join(quoted, ", "), s.clockErrorMS)
	for _, team := range s.teams {
		fmt.Fprintf(&text, "\n[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", team.name, team.guaranteed, team.atMost)
	}
	text.WriteString(s.objectives)
	fmt.Fprintf(&text, "\n[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n", s.report, s.lease, s.cancel)
	fmt.Fprintf(&text, "\n[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.rps, s.writeRPS, float64(s.valueKB), s.txnOps)
	text.WriteString(s.next)
	fmt.Fprintf(&text, "\n[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRPS, s.lag)
	fmt.Fprintf(&text, "\n[facts.resources]\ncpu_share = %.2f\nmemory_mb = %.1f\nsockets = %d\n", s.cpuShare, s.memoryMB, s.sockets)
	return text.String()
}

// scene is a running deployment.
type scene struct {
	rec         *Record
	world       *World
	store       *Store
	cloud       *Cloud
	controllers *Controllers
	users       *Users
	trouble     bool
}

// begin starts a deployment: the stand-ins, then the controllers.
func begin(s site, rec *Record, root, dir string, trouble bool) (*scene, error) {
	run, err := runLine(root)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, run[0])); err != nil {
		return nil, err
	}
	world := newWorld(rec)
	world.Report = time.Duration(s.report * float64(time.Second))
	world.Lease = time.Duration(s.lease * float64(time.Second))
	store := newStore(rec, s.rps, s.writeRPS, s.valueKB, s.txnOps)
	for i, zone := range s.zones {
		listener := listen()
		name := fmt.Sprintf("host-%d", i)
		store.serve(listener, name)
		world.Nodes = append(world.Nodes, Node{
			Name: name, Zone: zone, Front: freeAddress(), Back: freeAddress(), Store: listener.Addr().String(),
		})
	}
	cloud := newCloud(rec, world, s.types, s.capacity, s.cloudRPS, time.Duration(s.lag*float64(time.Second)), s.boot)
	cloudListener := listen()
	cloud.serve(cloudListener)
	controllers := &Controllers{
		world: world, root: root, dir: dir, run: run, facts: s.facts(), cloud: cloudListener.Addr().String(),
		procs: make([]*exec.Cmd, len(s.zones)), exited: make([]chan struct{}, len(s.zones)),
	}
	sc := &scene{rec: rec, world: world, store: store, cloud: cloud, controllers: controllers, trouble: trouble}
	sc.users = newUsers(world, sc.usable)
	for i := range s.zones {
		if err := controllers.start(i); err != nil {
			return sc, err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := store.Leader() != ""
		for i := range s.zones {
			ready = ready && controllers.healthy(i)
		}
		if ready {
			return sc, nil
		}
		if time.Now().After(end) {
			return sc, fmt.Errorf("the controllers did not come up")
		}
	}
}

// usable returns the controllers that are up, as the load balancer knows them.
func (sc *scene) usable() []int {
	var usable []int
	for i := range sc.world.Nodes {
		if sc.controllers.alive(i) {
			usable = append(usable, i)
		}
	}
	return usable
}

// leader returns the number of the controller that leads, -1 for none.
func (sc *scene) leader() int {
	name := sc.store.Leader()
	for i, node := range sc.world.Nodes {
		if node.Name == name {
			return i
		}
	}
	return -1
}

func (sc *scene) end() { sc.controllers.killAll() }
