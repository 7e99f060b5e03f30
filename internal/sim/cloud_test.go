package sim

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"rillflow/internal/wire"
)

// cloud stands in for the cloud. Machines come up after a while; the list is
// two seconds old.
type fakeCloud struct {
	w     *world
	mu    sync.Mutex
	types []wire.InstanceType
	grantedNames  map[string][]string
	instances map[string]wire.Instance
	createdAt  map[string]time.Time // when listed first
	instanceCount map[string]int
	lastNumber  int
	requests map[string]wire.ScaleOutRequest // what was asked for, by its name
	released int                             // machines returned
	maxInstances  int                             // machines of a type, zone and kind
	zoneLimits   map[string]int                  // in zones that have less
}

func (c *fakeCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/machine_types":
		writeJSON(w, 200, wire.InstanceTypeList{Types: c.types})
	case "/hosts/release":
		var l wire.InstanceNames
		json.Unmarshal(body, &l)
		for _, n := range l.Names {
			if h, ok := c.instances[n]; ok {
				c.instanceCount[h.InstanceType+h.Zone]--
				delete(c.instances, n)
				c.released++
				c.w.stopWorker(n)
			}
		}
		writeJSON(w, 200, struct{}{})
	case "/hosts":
		if r.Method == http.MethodGet {
			var l wire.InstancePage
			for n, h := range c.instances {
				if time.Since(c.createdAt[n]) > 2*time.Second {
					l.Instances = append(l.Instances, h)
				}
			}
			slices.SortFunc(l.Instances, func(a, b wire.Instance) int { return strings.Compare(a.Name, b.Name) })
			writeJSON(w, 200, l)
			return
		}
		var q wire.ScaleOutRequest
		json.Unmarshal(body, &q)
		if was, ok := c.requests[q.RequestID]; ok && was != q {
			c.w.mu.Lock()
			c.w.recordViolation("names: %s was used for %v and for %v", q.RequestID, was, q)
			c.w.mu.Unlock()
		}
		c.requests[q.RequestID] = q
		if names, ok := c.grantedNames[q.RequestID]; ok {
			writeJSON(w, 200, wire.InstanceNames{Names: names})
			return
		}
		var names []string
		most := c.maxInstances
		if n, ok := c.zoneLimits[q.Zone]; ok {
			most = n
		}
		for len(names) < q.Count && c.instanceCount[q.InstanceType+q.Zone] < most {
			c.instanceCount[q.InstanceType+q.Zone]++
			c.lastNumber++
			n := fmt.Sprintf("i-%06d", c.lastNumber)
			h := wire.Instance{Name: n, Address: n + ":9000", InstanceType: q.InstanceType, Zone: q.Zone, Spot: q.Spot, Phase: wire.InstanceStarting}
			c.instances[n], c.createdAt[n] = h, time.Now()
			names = append(names, n)
			time.AfterFunc(3*time.Second, func() { c.startInstance(n) })
		}
		if len(names) == 0 {
			writeJSON(w, 503, wire.ErrorResponse{Error: "no capacity"})
			return
		}
		c.grantedNames[q.RequestID] = names
		writeJSON(w, 200, wire.InstanceNames{Names: names})
	}
}

// killInstance has a worker stop on its own. It is listed as running for some more time.
func (c *fakeCloud) killInstance(n string) {
	c.w.stopWorker(n)
	time.AfterFunc(30*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if h, ok := c.instances[n]; ok {
			h.Phase = wire.InstanceFailed
			c.instances[n] = h
		}
	})
}

func (c *fakeCloud) startInstance(n string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.instances[n]; ok && !c.w.stopped() {
		h.Phase = wire.InstanceRunning
		c.instances[n] = h
		c.w.startWorker(h)
	}
}
