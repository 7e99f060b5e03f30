package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is one entry of the cloud's catalogue.
type machineType struct {
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

// machine is a rented machine and, once it is up, its worker.
type machine struct {
	name    string
	kind    *machineType
	zone    string
	spot    bool
	asked   time.Time
	upAt    time.Time // zero: it has not come up
	gone    time.Time // zero: it is not deleted or taken
	died    time.Time // zero: it has not stopped on its own
	worker  *worker
	address string
}

// cloud rents machines.
type cloud struct {
	w        *world
	mu       sync.Mutex
	types    []*machineType
	machines []*machine // in order of their names
	asks     map[string][]string
	capacity map[string]int // by type/zone/spot
	lag      time.Duration
	latency  time.Duration
	rps      float64
	tokens   float64
	tokensAt time.Time
	nodes    map[int]*nodeLink
	trouble  bool
	fastBoot bool
}

func newCloud(w *world, types []*machineType, capacity map[string]int, rps float64, lag, latency time.Duration) *cloud {
	return &cloud{w: w, types: types, capacity: capacity, asks: map[string][]string{}, lag: lag, latency: latency,
		rps: rps, tokens: 2 * rps, tokensAt: time.Now(), nodes: map[int]*nodeLink{}}
}

func (c *cloud) listen(node int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	c.nodes[node] = newNodeLink()
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(node, w, r) }))
	return listener.Addr().String()
}

func (c *cloud) serve(node int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	link := c.nodes[node]
	link.waitHeld()
	time.Sleep(c.latency)
	c.mu.Lock()
	now := time.Now()
	c.tokens = min(2*c.rps, c.tokens+now.Sub(c.tokensAt).Seconds()*c.rps)
	c.tokensAt = now
	if c.tokens < 1 {
		c.mu.Unlock()
		reply(w, 429, map[string]string{"error": "too many"})
		return
	}
	c.tokens--
	if c.trouble {
		c.mu.Unlock()
		reply(w, 503, map[string]string{"error": "trouble"})
		return
	}
	c.mu.Unlock()
	var status int
	var answer any
	switch {
	case r.URL.Path == "/machine_types":
		status, answer = 200, map[string]any{"flavors": c.types}
	case r.URL.Path == "/hosts" && r.Method == "POST":
		status, answer = c.rent(body)
	case r.URL.Path == "/hosts/release":
		status, answer = c.release(node, body)
	case r.URL.Path == "/hosts":
		status, answer = c.list(r.URL.Query().Get("after"), r.URL.Query().Get("limit"))
	default:
		status, answer = 400, map[string]string{"error": "malformed"}
	}
	if link.waitHeld() {
		dropConnection(w)
		return
	}
	reply(w, status, answer)
}

func capKey(kind, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%v", kind, zone, spot) }

func (c *cloud) rent(body []byte) (int, any) {
	var ask struct {
		Ask     string `json:"ask"`
		Flavor  string `json:"flavor"`
		Locale  string `json:"locale"`
		Loaners bool   `json:"loaners"`
		HowMany int    `json:"how_many"`
	}
	if json.Unmarshal(body, &ask) != nil || ask.HowMany < 1 || ask.HowMany > 50 || ask.Ask == "" {
		return 400, map[string]string{"error": "malformed"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.asks[ask.Ask]; ok {
		return 200, map[string]any{"hosts": names}
	}
	var kind *machineType
	for _, t := range c.types {
		if t.Label == ask.Flavor {
			kind = t
		}
	}
	if kind == nil {
		return 400, map[string]string{"error": "malformed"}
	}
	free := c.capacity[capKey(ask.Flavor, ask.Locale, ask.Loaners)]
	for _, m := range c.machines {
		if m.kind == kind && m.zone == ask.Locale && m.spot == ask.Loaners && m.gone.IsZero() && m.died.IsZero() {
			free--
		}
	}
	count := min(free, ask.HowMany)
	if count <= 0 {
		return 503, map[string]string{"error": "no capacity"}
	}
	var names []string
	for range count {
		names = append(names, c.add(kind, ask.Locale, ask.Loaners, 0.6+0.9*rand.Float64()).name)
	}
	c.asks[ask.Ask] = names
	c.w.event("rent", "%d %s in %s, spot %v: %v", ask.HowMany, ask.Flavor, ask.Locale, ask.Loaners, names)
	return 200, map[string]any{"hosts": names}
}

// add rents one machine, which comes up after a share of its usual boot time. Callers hold mu.
func (c *cloud) add(kind *machineType, zone string, spot bool, bootShare float64) *machine {
	m := &machine{name: fmt.Sprintf("i-%06d", len(c.machines)+1), kind: kind, zone: zone, spot: spot, asked: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	m.address = listener.Addr().String()
	c.machines = append(c.machines, m)
	boot := time.Duration(kind.Ready * bootShare * float64(time.Second))
	if c.fastBoot {
		boot = time.Second + time.Duration(rand.IntN(1000))*time.Millisecond
	}
	time.AfterFunc(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !m.gone.IsZero() {
			listener.Close()
			return
		}
		m.upAt = time.Now()
		m.worker = newWorker(c.w, m, listener)
	})
	return m
}

func (c *cloud) release(node int, body []byte) (int, any) {
	var names struct {
		Hosts []string `json:"hosts"`
	}
	if json.Unmarshal(body, &names) != nil || len(names.Hosts) > 100 {
		return 400, map[string]string{"error": "malformed"}
	}
	c.w.event("release", "node %d deletes %v", node, names.Hosts)
	for _, name := range names.Hosts {
		c.remove(name, false)
	}
	return 200, map[string]any{}
}

// remove deletes a machine, or lets it die, with everything on it.
func (c *cloud) remove(name string, dies bool) {
	c.mu.Lock()
	var found *machine
	for _, m := range c.machines {
		if m.name == name && m.gone.IsZero() {
			found = m
			if dies {
				m.died = time.Now()
			} else {
				m.gone = time.Now()
			}
		}
	}
	c.mu.Unlock()
	if found != nil && found.worker != nil {
		found.worker.kill("machine gone")
	}
}

func (c *cloud) list(after, limitText string) (int, any) {
	limit, _ := strconv.Atoi(limitText)
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	asOf := time.Now().Add(-time.Duration(float64(c.lag) * (0.5 + 1.5*rand.Float64())))
	c.mu.Lock()
	defer c.mu.Unlock()
	items := []any{}
	more := false
	sorted := append([]*machine(nil), c.machines...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].name < sorted[j].name })
	for _, m := range sorted {
		if m.name <= after || m.asked.After(asOf) || !m.gone.IsZero() && m.gone.Before(asOf) {
			continue
		}
		if len(items) >= limit {
			more = true
			break
		}
		phase := "starting"
		if !m.upAt.IsZero() && m.upAt.Before(asOf) {
			phase = "running"
		}
		if !m.died.IsZero() && m.died.Before(asOf.Add(-c.w.scaled(30))) {
			phase = "failed"
		}
		items = append(items, map[string]any{"ref": m.name, "address": m.address, "flavor": m.kind.Label,
			"locale": m.zone, "loaners": m.spot, "phase": phase, "held_s": asOf.Sub(m.asked).Seconds()})
	}
	return 200, map[string]any{"hosts": items, "more": more}
}

// live returns the workers that are up.
func (c *cloud) live() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []*worker
	for _, m := range c.machines {
		if m.worker != nil && m.gone.IsZero() && m.died.IsZero() {
			found = append(found, m.worker)
		}
	}
	return found
}
