package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// runShapes plays jobs of many shapes with troubles of machines, then a quiet time, and tells which accepted
// arrays have not run though the cloud has machines to give.
func runShapes(binary, dir string, record io.Writer, seed uint64, seconds, scale float64, trouble bool) int {
	rng := rand.New(rand.NewPCG(seed, 3))
	c, types, capacity := annex(scale)
	c.teams = []team{{"scan-room", 300, 600}, {"curator-desk", 100, 200}, {"web-viewer", 300, 600}}
	types = append(types, &machineType{Label: "onggi-big", Cores: 32, RAM: 128, Local: 35, Pull: 1.0, Rate: 1.55, Spot: 0.6, Ready: 20 * scale, Locales: c.zones})
	for _, zone := range c.zones {
		for _, spot := range []bool{false, true} {
			capacity[capKey("onggi-small", zone, spot)] = 12
			capacity[capKey("onggi-mid", zone, spot)] = 6
			capacity[capKey("onggi-big", zone, spot)] = 4
		}
	}
	w := newWorld(c, binary, dir, record, types, capacity)
	for _, n := range w.nodes {
		n.start()
	}
	go w.watchRules()
	time.Sleep(w.scaled(5))
	stopAt := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	if trouble {
		go func() {
			for time.Now().Before(stopAt) {
				time.Sleep(w.scaled(10 + 15*rand.Float64()))
				for _, k := range w.cloud.live() {
					switch rand.IntN(24) {
					case 0, 1:
						w.event("TROUBLE", "%s dies", k.m.name)
						w.cloud.remove(k.m.name, true)
					case 2, 3:
						w.event("TROUBLE", "%s fails its tasks", k.m.name)
						k.mu.Lock()
						k.sick = true
						k.mu.Unlock()
						time.AfterFunc(w.scaled(40), func() { k.mu.Lock(); k.sick = false; k.mu.Unlock() })
					case 4:
						if k.m.spot {
							w.event("TROUBLE", "%s is taken", k.m.name)
							w.cloud.remove(k.m.name, false)
						}
					}
				}
			}
		}()
	}
	pick := func(list []float64) float64 { return list[rng.IntN(len(list))] }
	for number := 1; time.Now().Before(stopAt); number++ {
		time.Sleep(w.scaled(rng.ExpFloat64() * 6))
		spec := &jobSpec{Ref: fmt.Sprintf("req-%06d", number), Class: "thumb-batch", Owner: "scan-room", Shape: "batch", Rank: "standard",
			Members: 1 + rng.IntN(3), Cores: pick([]float64{1, 2, 4, 4, 6, 8, 14, 16, 30}), RAM: pick([]float64{1, 3, 6, 14, 15}),
			Bundle: fmt.Sprintf("img-%d", rng.IntN(5)), Size: 0.5 + rng.Float64(), Loaners: rng.IntN(2) == 0, Expect: 20 * scale, runS: 5 + rng.Float64()*20}
		if rng.IntN(2) == 0 {
			due := 120 * scale
			spec.Due = &due
		}
		if rng.IntN(4) == 0 {
			spec.Flavors = []string{[]string{"onggi-mid", "onggi-big"}[rng.IntN(2)]}
			if spec.Cores > 16 {
				spec.Flavors = []string{"onggi-big"}
			}
		}
		switch rng.IntN(8) {
		case 0:
			spec.Same = true
		case 1:
			zone := c.zones[rng.IntN(3)]
			spec.Locale = &zone
		}
		cancelAfter := -1.0
		if rng.IntN(4) == 0 {
			spec.Owner, spec.Shape, spec.Class, spec.Rank, spec.Scatter, spec.Loaners, spec.Members = "web-viewer", "standing", "viewer-serve", "production", true, false, 1+rng.IntN(2)
			spec.Cores, spec.RAM, spec.Due, spec.Flavors, spec.Locale, spec.Same, spec.Expect = 2, 3.4, nil, nil, nil, false, 0
			cancelAfter = 200 + rng.Float64()*2000
		}
		go w.user(spec, cancelAfter, make(chan bool, 1))
	}
	time.Sleep(w.scaled(200))
	w.shutDown()
	w.mu.Lock()
	defer w.mu.Unlock()
	left := 0
	for _, job := range w.jobs {
		if job.spec.Shape == "batch" && !job.accepted.IsZero() && job.cancelAsked.IsZero() && len(job.doneTasks) < job.spec.Members {
			left++
			w.event("left", "%s members %d cores %.0f ram %.0f flavors %v locale %v same %v spot %v due %v, done %d, starts %d, accepted %.1f s ago", job.spec.Ref, job.spec.Members,
				job.spec.Cores, job.spec.RAM, job.spec.Flavors, job.spec.Locale != nil, job.spec.Same, job.spec.Loaners, job.spec.Due != nil, len(job.doneTasks), job.starts, time.Since(job.accepted).Seconds()/scale)
		}
	}
	for _, m := range w.cloud.up() {
		w.event("machine", "%s", m)
	}
	fmt.Printf("seed %d: %d jobs, %d left, broken %v\n", seed, len(w.jobs), left, w.brokenN)
	return 0
}
