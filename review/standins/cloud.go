package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// MachineType is an entry of the cloud's catalogue.
type MachineType struct {
	Label   string   `json:"label"`
	Cores   float64  `json:"cores"`
	Accel   float64  `json:"accelerators"`
	RAM     float64  `json:"ram_gb"`
	Local   float64  `json:"local_gb"`
	Pull    float64  `json:"pull_gb_per_s"`
	Rate    float64  `json:"rate"`
	Spot    float64  `json:"spot_price"`
	Ready   float64  `json:"ready_s"`
	Locales []string `json:"locales"`
}

// offer is what capacity is counted by.
type offer struct {
	flavor, locale string
	loaners        bool
}

// Machine is a rented machine.
type Machine struct {
	Ref     string
	Flavor  string
	Locale  string
	Loaners bool
	Rented  time.Time
	Up      time.Time // zero: not up yet
	Gone    time.Time // zero: not released
	Worker  *Worker
}

// Cloud is a stand-in of the cloud.
type Cloud struct {
	Types    []MachineType
	Capacity map[offer]int
	RPS      float64
	ListLag  time.Duration
	Boot     time.Duration // a machine is up after this time
	rec      *Record
	world    *World

	mu       sync.Mutex
	machines []*Machine
	asks     map[string][]string
	calls    bucket
}

func newCloud(rec *Record, world *World, types []MachineType, capacity map[offer]int, rps float64, lag, boot time.Duration) *Cloud {
	return &Cloud{
		Types: types, Capacity: capacity, RPS: rps, ListLag: lag, Boot: boot, rec: rec, world: world,
		asks: map[string][]string{}, calls: bucket{2 * rps, 2 * rps, time.Now()},
	}
}

func (c *Cloud) typeOf(label string) *MachineType {
	for i := range c.Types {
		if c.Types[i].Label == label {
			return &c.Types[i]
		}
	}
	return nil
}

// machine returns a machine by name, or nil.
func (c *Cloud) machine(ref string) *Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, machine := range c.machines {
		if machine.Ref == ref {
			return machine
		}
	}
	return nil
}

func (c *Cloud) serve(listener net.Listener) {
	go (&http.Server{Handler: http.HandlerFunc(c.handle)}).Serve(listener)
}

func (c *Cloud) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	now := time.Now()
	// A burst of two seconds' worth at c.RPS a second.
	c.calls.tokens = min(2*c.RPS, c.calls.tokens+c.RPS*now.Sub(c.calls.at).Seconds())
	c.calls.at = now
	if c.calls.tokens < 1 {
		c.mu.Unlock()
		reply(w, 429, map[string]string{"error": "too many requests"})
		return
	}
	c.calls.tokens--
	status, answer := c.answer(r, body)
	c.mu.Unlock()
	reply(w, status, answer)
}

func (c *Cloud) answer(r *http.Request, body []byte) (int, any) {
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		return 200, map[string]any{"flavors": c.Types}
	case "POST /hosts":
		return c.rent(body)
	case "POST /hosts/release":
		return c.release(body)
	case "GET /hosts":
		return c.list(r)
	}
	return 400, map[string]string{"error": "malformed"}
}

func (c *Cloud) rent(body []byte) (int, any) {
	var ask struct {
		Ask     string `json:"ask"`
		Flavor  string `json:"flavor"`
		Locale  string `json:"locale"`
		Loaners bool   `json:"loaners"`
		HowMany int    `json:"how_many"`
	}
	if json.Unmarshal(body, &ask) != nil || ask.Ask == "" || ask.HowMany < 1 || ask.HowMany > 50 || c.typeOf(ask.Flavor) == nil {
		return 400, map[string]string{"error": "malformed"}
	}
	if hosts, ok := c.asks[ask.Ask]; ok {
		return 200, map[string]any{"hosts": hosts}
	}
	key := offer{ask.Flavor, ask.Locale, ask.Loaners}
	used := 0
	for _, machine := range c.machines {
		if machine.Gone.IsZero() && (offer{machine.Flavor, machine.Locale, machine.Loaners}) == key {
			used++
		}
	}
	count := min(ask.HowMany, c.Capacity[key]-used)
	if count <= 0 {
		return 503, map[string]string{"error": "no capacity"}
	}
	hosts := []string{}
	for range count {
		hosts = append(hosts, c.add(key).Ref)
	}
	c.asks[ask.Ask] = hosts
	c.rec.Log("cloud", "rented %v %s %s loaners=%v", hosts, ask.Flavor, ask.Locale, ask.Loaners)
	return 200, map[string]any{"hosts": hosts}
}

func (c *Cloud) add(key offer) *Machine {
	machine := &Machine{
		Ref: fmt.Sprintf("i-%06d", len(c.machines)+1), Flavor: key.flavor, Locale: key.locale, Loaners: key.loaners,
		Rented: time.Now(),
	}
	c.machines = append(c.machines, machine)
	machine.Worker = newWorker(c.world, machine, *c.typeOf(key.flavor))
	time.AfterFunc(c.Boot, func() {
		c.mu.Lock()
		gone := !machine.Gone.IsZero()
		if !gone {
			machine.Up = time.Now()
		}
		c.mu.Unlock()
		if !gone {
			machine.Worker.start()
		}
	})
	return machine
}

func (c *Cloud) release(body []byte) (int, any) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if json.Unmarshal(body, &request) != nil || len(request.Hosts) > 100 {
		return 400, map[string]string{"error": "malformed"}
	}
	for _, machine := range c.machines {
		for _, ref := range request.Hosts {
			if machine.Ref == ref && machine.Gone.IsZero() {
				machine.Gone = time.Now()
				machine.Worker.destroy()
				c.rec.Log("cloud", "released %s", ref)
			}
		}
	}
	return 200, map[string]any{}
}

// list answers with the machines as they were ListLag ago.
func (c *Cloud) list(r *http.Request) (int, any) {
	after := r.URL.Query().Get("after")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit < 1 || limit > 500 {
		limit = 500
	}
	moment := time.Now().Add(-c.ListLag)
	hosts, more := []map[string]any{}, false
	sort.Slice(c.machines, func(a, b int) bool { return c.machines[a].Ref < c.machines[b].Ref })
	for _, machine := range c.machines {
		if machine.Ref <= after || machine.Rented.After(moment) || !machine.Gone.IsZero() && machine.Gone.Before(moment) {
			continue
		}
		if len(hosts) == limit {
			more = true
			break
		}
		phase := "starting"
		if !machine.Up.IsZero() && machine.Up.Before(moment) {
			phase = "running"
		}
		hosts = append(hosts, map[string]any{
			"ref": machine.Ref, "address": machine.Worker.Address, "flavor": machine.Flavor, "locale": machine.Locale,
			"loaners": machine.Loaners, "phase": phase, "held_s": moment.Sub(machine.Rented).Seconds(),
		})
	}
	return 200, map[string]any{"hosts": hosts, "more": more}
}

// count returns how many ordinary machines of a type are rented, and how many more may be.
func (c *Cloud) count(flavor string) (rented, free int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, capacity := range c.Capacity {
		if key.flavor == flavor && !key.loaners {
			free += capacity
		}
	}
	for _, machine := range c.machines {
		if machine.Flavor == flavor && !machine.Loaners && machine.Gone.IsZero() {
			rented++
		}
	}
	return rented, free - rented
}
