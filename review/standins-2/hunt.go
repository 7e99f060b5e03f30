package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"time"
)

var cases = map[string]func(binary, dir string, record io.Writer, trouble bool) int{}

// annex is a small deployment like the annex of the users' pages.
func annex(scale float64) (conf, []*machineType, map[string]int) {
	zones := []string{"seoul-main", "daejeon-annex", "busan-reserve"}
	c := conf{scale: scale, reportS: 3, leaseS: 22, cancelS: 42, rps: 250, writeRPS: 100, valueKB: 16, txnOps: 12,
		cloudRPS: 4, lagS: 10, memoryMB: 179, sockets: 2000, zones: zones, nodeZones: zones, restartS: 8,
		teams:      []team{{"scan-room", 24, 48}, {"curator-desk", 8, 16}, {"web-viewer", 24, 64}},
		objectives: "\n[[facts.objectives]]\nkind = \"deadline\"\nclass = \"thumb-batch\"\nshare = 0.97\n\n[[facts.objectives]]\nkind = \"wait\"\nclass = \"viewer-serve\"\nwithin_s = 2.0\nshare = 0.94\n"}
	if scale < 1 {
		c.cloudRPS, c.rps, c.writeRPS = 20, 500, 300
	}
	types := []*machineType{
		{Label: "onggi-small", Cores: 4, RAM: 16, Local: 40, Pull: 0.3, Rate: 0.17, Spot: 0.07, Ready: 35 * scale, Locales: zones},
		{Label: "onggi-mid", Cores: 16, RAM: 32, Local: 35, Pull: 0.6, Rate: 0.72, Spot: 0.26, Ready: 30 * scale, Locales: zones},
	}
	capacity := map[string]int{}
	for _, zone := range zones {
		capacity[capKey("onggi-small", zone, false)] = 3
		capacity[capKey("onggi-small", zone, true)] = 3
		capacity[capKey("onggi-mid", zone, false)] = 1
		capacity[capKey("onggi-mid", zone, true)] = 1
	}
	return c, types, capacity
}

func runHunt(binary, dir string, record io.Writer, seed uint64, seconds, scale float64, trouble bool) int {
	rng := rand.New(rand.NewPCG(seed, 1))
	c, types, capacity := annex(scale)
	if seed%3 == 0 {
		c.next = "\n[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 60.0\n"
	}
	if seed%2 == 0 {
		keys := filepath.Join(dir, "ring.keys")
		if out, err := exec.Command(binary, "keys", "init", keys).CombinedOutput(); err != nil {
			fatal(fmt.Errorf("%v: %s", err, out))
		}
		c.xml = "<rillflow><access><audit>on</audit><keys>" + keys + "</keys></access></rillflow>"
		if seed%4 == 0 {
			c.xml = "<rillflow><access><identities>on</identities><audit>on</audit><keys>" + keys + "</keys><allow who=\"anyone\" do=\"submit withdraw read need status\" owner=\"*\"/></access><rebuild><folder>" + filepath.Join(dir, "snapshots") + "</folder></rebuild></rillflow>"
		}
	}
	if seed >= 1000 { // the ledger: a zone without a controller, machines rented ahead of demand
		c.zones = []string{"alajuela", "cartago", "heredia", "liberia"}
		c.nodeZones = []string{"heredia", "cartago", "liberia"}
		c.leaseS, c.cancelS, c.lagS, c.memoryMB, c.sockets, c.txnOps = 32, 52, 5, 70, 900, 16
		c.objectives = "\n[[facts.objectives]]\nkind = \"finished\"\nclass = \"thumb-batch\"\nwithin_s = 24.0\nshare = 0.9\n"
		capacity = map[string]int{}
		for _, t := range types {
			t.Locales = c.zones
			for _, zone := range c.zones {
				capacity[capKey(t.Label, zone, false)], capacity[capKey(t.Label, zone, true)] = 2, 1
			}
		}
	}
	switch seed % 7 {
	case 0:
		c.nodeZones = c.nodeZones[:1]
	case 1:
		c.nodeZones = c.nodeZones[:2]
	case 2:
		c.nodeZones = append(append([]string(nil), c.nodeZones...), c.nodeZones[0], c.nodeZones[1])
	}
	w := newWorld(c, binary, dir, record, types, capacity)
	for _, n := range w.nodes {
		n.start()
	}
	if seed%5 == 0 {
		w.lateCommands = true
		w.store.requestHolder = func(node int, r *http.Request, txn *storeTxn) time.Duration {
			if r.URL.Path != "/changes" && rand.IntN(40) == 0 {
				return time.Duration(rand.Float64() * float64(w.scaled(12)))
			}
			return 0
		}
		w.store.responseDropper = func(node int, r *http.Request, txn *storeTxn, applied bool) bool { return rand.IntN(60) == 0 }
	}
	go w.watchRules()
	time.Sleep(w.scaled(3))
	stopAt := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	go w.users(rng, stopAt)
	if trouble {
		go w.troubles(rand.New(rand.NewPCG(seed, 2)), stopAt.Add(-w.scaled(60)))
	}
	time.Sleep(time.Until(stopAt) + w.scaled(60))
	w.shutDown()
	w.mu.Lock()
	defer w.mu.Unlock()
	started, done, cancelled, unfinished := 0, 0, 0, 0
	for _, job := range w.jobs {
		started += job.starts
		if !job.doneTold.IsZero() {
			done++
		} else if !job.cancelTold.IsZero() {
			cancelled++
		} else if job.spec.Shape == "batch" && !job.accepted.IsZero() && time.Since(job.accepted) > w.scaled(150) {
			unfinished++
			w.event("unfinished", "%s %d of %d", job.spec.Ref, len(job.doneTasks), job.spec.Members)
		}
	}
	fmt.Printf("seed %d: jobs %d starts %d done %d cancelled %d unfinished %d late-txn %d refusals %d broken %v\n", seed, len(w.jobs), started, done, cancelled, unfinished, w.store.late, w.store.limitRefusals, w.brokenN)
	if len(w.brokenN) > 0 {
		return 1
	}
	return 0
}

func (w *world) users(rng *rand.Rand, stopAt time.Time) {
	number := 100
	var open []string
	for time.Now().Before(stopAt) {
		time.Sleep(w.scaled(rng.ExpFloat64() * 7))
		number++
		spec := &jobSpec{Ref: fmt.Sprintf("req-%06d", number), RAM: 1, Bundle: fmt.Sprintf("img-%d", rng.IntN(4)), Size: 0.5 + rng.Float64(), Rank: "standard", Class: "thumb-batch",
			Owner: "scan-room", Shape: "batch", Members: 1 + rng.IntN(10), Cores: 4, Loaners: true, Expect: 20, runS: 5 + rng.Float64()*40}
		due := 120.0 * w.conf.scale
		spec.Due = &due
		spec.Expect *= w.conf.scale
		switch rng.IntN(6) {
		case 0:
			spec.Owner, spec.Shape, spec.Class, spec.Rank, spec.Cores, spec.Scatter, spec.Loaners, spec.Members, spec.Expect, spec.Due = "web-viewer", "standing", "viewer-serve", "production", 2, true, false, 1+rng.IntN(4), 0, nil
		case 1:
			spec.Same = true
		case 2:
			spec.Owner, spec.Rank, spec.Cores, spec.Scatter = "curator-desk", "urgent", 2, true
		case 3:
			spec.Snapshot, spec.Flush = 5*w.conf.scale, 2*w.conf.scale
			spec.Loaners = false
			zone := w.conf.zones[rng.IntN(3)]
			spec.Locale = &zone
		case 4, 5:
			if len(open) > 0 {
				spec.WaitsOn = []string{open[rng.IntN(len(open))]}
			}
		}
		ref := spec.Ref
		cancelAfter := -1.0
		if spec.Shape == "standing" {
			cancelAfter = 20 + rng.Float64()*80
		} else if rng.Float64() < 0.4 {
			cancelAfter = rng.Float64() * 25
		}
		accepted := make(chan bool, 1)
		go w.user(spec, cancelAfter, accepted)
		if spec.Shape == "batch" {
			go func() { <-accepted }()
			if w.isAccepted(ref) || len(open) < 5 {
			}
			open = append(open, ref)
			if len(open) > 6 {
				open = open[1:]
			}
		}
	}
}

func (w *world) isAccepted(ref string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := w.jobs[ref]
	return job != nil && !job.accepted.IsZero()
}

func (w *world) user(spec *jobSpec, cancelAfter float64, accepted chan bool) {
	for _, needed := range spec.WaitsOn {
		for i := 0; !w.isAccepted(needed); i++ {
			if i > 100 {
				return
			}
			time.Sleep(w.scaled(1))
		}
	}
	for {
		status, _ := w.submitOnce(spec, -1)
		if status == 200 || status == 201 {
			break
		}
		if status == 400 || status == 422 {
			w.broken("refused", "%s answered %d", spec.Ref, status)
			return
		}
		time.Sleep(w.scaled(1 + rand.Float64()))
	}
	accepted <- true
	began := time.Now()
	asked := false
	for i := 0; ; i++ {
		select {
		case <-w.stop:
			return
		default:
		}
		time.Sleep(w.scaled(5 * rand.Float64()))
		if cancelAfter >= 0 && time.Since(began) > w.scaled(cancelAfter) {
			asked = true
			cancelAfter = -1
			for {
				status, _ := w.cancelOnce(spec.Ref, -1)
				if status == 200 {
					break
				}
				select {
				case <-w.stop:
					return
				default:
				}
				time.Sleep(w.scaled(1 + rand.Float64()))
			}
		}
		_, phase := w.pollOnce(spec.Ref, -1)
		if phase == "done" || phase == "withdrawn" {
			time.Sleep(w.scaled(20 * rand.Float64()))
		}
		if rand.IntN(20) == 0 {
			w.submitOnce(spec, -1)
		}
		_ = asked
	}
}

// troubles brings about troubles of the users' pages, one or two at a time.
func (w *world) troubles(rng *rand.Rand, until time.Time) {
	time.Sleep(w.scaled(30))
	for time.Now().Before(until) {
		w.oneTrouble(rng)
		time.Sleep(w.scaled(5 + 25*rng.Float64()))
	}
}

func (w *world) leader() int {
	data, ok := w.store.get("lead")
	for i, n := range w.nodes {
		if ok && len(data) > 0 && contains([]string{n.name}, fieldOf(data, "node")) {
			return i
		}
	}
	return 0
}

func (w *world) oneTrouble(rng *rand.Rand) {
	target := rng.IntN(len(w.nodes))
	if rng.IntN(2) == 0 {
		target = w.leader()
	}
	n := w.nodes[target]
	kind := rng.IntN(25)
	if kind == 17 && w.conf.next == "" {
		kind = 1
	}
	switch kind {
	case 0:
		w.event("TROUBLE", "crash %s", n.name)
		n.restartAfter(w.conf.restartS)
	case 1:
		w.event("TROUBLE", "crash all")
		for _, n := range w.nodes {
			n.restartAfter(w.conf.restartS)
		}
	case 2:
		w.event("TROUBLE", "crash two")
		for i, n := range w.nodes {
			if i != target {
				n.restartAfter(w.conf.restartS)
			}
		}
	case 3:
		length := 5 + 15*rng.Float64()
		w.event("TROUBLE", "state outage %.1f", length)
		w.store.setOutage(true)
		time.AfterFunc(w.scaled(length), func() { w.event("trouble", "outage ends"); w.store.setOutage(false) })
	case 4, 5:
		length := 10 + 40*rng.Float64()
		w.event("TROUBLE", "%s refused by the state service %.1f", n.name, length)
		w.store.nodes[target].set(true, false)
		time.AfterFunc(w.scaled(length), func() { w.event("trouble", "refusal ends"); w.store.nodes[target].set(false, false) })
	case 6, 7:
		length := 10 + 40*rng.Float64()
		w.event("TROUBLE", "%s cut off the state service, held %.1f", n.name, length)
		w.store.nodes[target].set(false, true)
		time.AfterFunc(w.scaled(length), func() { w.event("trouble", "cut ends"); w.store.nodes[target].set(false, false) })
	case 8:
		length := 5 + 20*rng.Float64()
		w.event("TROUBLE", "responses of the state service lost to all, %.1f", length)
		for i := range w.nodes {
			w.store.nodes[i].setFlaky(0.15)
		}
		time.AfterFunc(w.scaled(length), func() {
			for i := range w.nodes {
				w.store.nodes[i].setFlaky(0)
			}
		})
	case 9:
		length := 10 + 30*rng.Float64()
		for _, k := range w.cloud.live() {
			if rng.IntN(4) == 0 {
				w.event("TROUBLE", "%s cut %.1f", k.m.name, length)
				k.setCut(true)
				time.AfterFunc(w.scaled(length), func() { k.setCut(false) })
			}
		}
	case 10:
		length := 10 + 50*rng.Float64()
		for _, k := range w.cloud.live() {
			if rng.IntN(4) == 0 {
				w.event("TROUBLE", "%s hangs %.1f", k.m.name, length)
				k.setHung(true)
				time.AfterFunc(w.scaled(length), func() { k.setHung(false) })
			}
		}
	case 11:
		for _, k := range w.cloud.live() {
			if rng.IntN(5) == 0 {
				w.event("TROUBLE", "%s dies", k.m.name)
				w.cloud.remove(k.m.name, true)
			}
		}
	case 12:
		length := 10 + 30*rng.Float64()
		w.event("TROUBLE", "connections between controllers refused %.1f", length)
		for _, p := range w.peers {
			p.set(true, false)
		}
		time.AfterFunc(w.scaled(length), func() {
			for _, p := range w.peers {
				p.set(false, false)
			}
		})
	case 16:
		length := 10 + 50*rng.Float64()
		w.event("TROUBLE", "state service slow %.1f", length)
		w.store.mu.Lock()
		w.store.latency = 120 * time.Millisecond
		w.store.mu.Unlock()
		time.AfterFunc(w.scaled(length), func() { w.store.mu.Lock(); w.store.latency = 4 * time.Millisecond; w.store.mu.Unlock() })
	case 17:
		w.event("TROUBLE", "state service lowers its limits")
		w.store.mu.Lock()
		w.store.valueKB, w.store.txnOps, w.store.writeRPS = 2, 4, 60
		w.store.mu.Unlock()
	case 18:
		for _, k := range w.cloud.live() {
			if k.m.spot && rng.IntN(2) == 0 {
				w.event("TROUBLE", "%s is taken", k.m.name)
				name := k.m.name
				k.mu.Lock()
				seconds := 12 * w.conf.scale
				k.warning = &seconds
				k.notify()
				k.mu.Unlock()
				time.AfterFunc(w.scaled(12), func() { w.cloud.remove(name, false) })
			}
		}
	case 19:
		for _, k := range w.cloud.live() {
			if rng.IntN(4) == 0 {
				w.event("TROUBLE", "%s fails its tasks", k.m.name)
				k.mu.Lock()
				k.sick = true
				k.mu.Unlock()
				time.AfterFunc(w.scaled(40), func() { k.mu.Lock(); k.sick = false; k.mu.Unlock() })
			}
		}
	case 20, 21:
		length := 10 + 20*rng.Float64()
		w.event("TROUBLE", "%s computes slower %.1f", n.name, length)
		go n.slowDown(w.scaled(length), 60*time.Millisecond, 20*time.Millisecond)
	case 22, 23, 24:
		zone, length := w.conf.zones[rng.IntN(len(w.conf.zones))], 10+50*rng.Float64()
		w.event("TROUBLE", "zone %s cut off, held %.1f", zone, length)
		w.cutZone(zone, true)
		time.AfterFunc(w.scaled(length), func() { w.event("trouble", "zone %s is back", zone); w.cutZone(zone, false) })
	case 14:
		length := 10 + 40*rng.Float64()
		w.event("TROUBLE", "%s is cut off the workers %.1f", n.name, length)
		set := func(on bool) {
			for _, k := range w.cloud.live() {
				k.mu.Lock()
				k.cutNodes[target] = on
				k.mu.Unlock()
			}
		}
		set(true)
		time.AfterFunc(w.scaled(length), func() { set(false) })
	case 15:
		length := 10 + 30*rng.Float64()
		w.event("TROUBLE", "connections between controllers held %.1f", length)
		for _, p := range w.peers {
			p.set(false, true)
		}
		time.AfterFunc(w.scaled(length), func() {
			for _, p := range w.peers {
				p.set(false, false)
			}
		})
	case 13:
		length := 10 + 40*rng.Float64()
		w.event("TROUBLE", "%s loses the network, held %.1f", n.name, length)
		set := func(on bool) {
			w.store.nodes[target].set(false, on)
			w.cloud.nodes[target].set(false, on)
			for pair, p := range w.peers {
				if pair[0] == target || pair[1] == target {
					p.set(false, on)
				}
			}
			for _, k := range w.cloud.live() {
				k.mu.Lock()
				k.cutNodes[target] = on
				k.mu.Unlock()
			}
		}
		set(true)
		time.AfterFunc(w.scaled(length), func() { w.event("trouble", "network is back"); set(false) })
	}
}

func fieldOf(data []byte, name string) string {
	var fields map[string]any
	if jsonUnmarshal(data, &fields) != nil {
		return ""
	}
	text, _ := fields[name].(string)
	return text
}

// cutZone cuts a zone off the rest, the region included: what is inside goes on working.
func (w *world) cutZone(zone string, on bool) {
	inside := map[int]bool{}
	for i := range w.nodes {
		inside[i] = w.conf.nodeZones[i] == zone
		if inside[i] {
			w.store.nodes[i].set(false, on)
			w.cloud.nodes[i].set(false, on)
		}
	}
	for pair, p := range w.peers {
		if inside[pair[0]] != inside[pair[1]] {
			p.set(false, on)
		}
	}
	leaderInside := inside[w.leader()]
	for _, k := range w.cloud.live() {
		k.mu.Lock()
		for i := range w.nodes {
			if inside[i] != (k.m.zone == zone) {
				k.cutNodes[i] = on
			}
		}
		k.mu.Unlock()
		k.holdDirect(on && (k.m.zone == zone) != leaderInside)
	}
}
