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

// fakeCloud is a fake of the cloud API. Instances boot in 3 s, and the listing shows
// them 2 s after their creation.
type fakeCloud struct {
	world         *world
	mu            sync.Mutex
	types         []wire.InstanceType
	grantedNames  map[string][]string // instances granted, by request ID
	instances     map[string]wire.Instance
	createdAt     map[string]time.Time
	instanceCount map[string]int
	lastNumber    int
	requests      map[string]wire.ScaleOutRequest // by request ID
	released      int                             // instances released
	maxInstances  int                             // per instance type and zone
	zoneLimits    map[string]int                  // replaces maxInstances in a zone
	outages       int                             // under way: all requests are refused
}

func (c *fakeCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outages > 0 {
		writeJSON(w, 503, wire.ErrorResponse{Error: "trouble"})
		return
	}
	switch r.URL.Path {
	case "/machine_types":
		writeJSON(w, 200, wire.InstanceTypeList{Types: c.types})
	case "/hosts/release":
		var list wire.InstanceNames
		json.Unmarshal(body, &list)
		for _, name := range list.Names {
			if instance, ok := c.instances[name]; ok {
				c.instanceCount[instance.InstanceType+instance.Zone]--
				delete(c.instances, name)
				c.released++
				c.world.stopWorker(name)
			}
		}
		writeJSON(w, 200, struct{}{})
	case "/hosts":
		if r.Method == http.MethodGet {
			var list wire.InstancePage
			for name, instance := range c.instances {
				if time.Since(c.createdAt[name]) > 2*time.Second {
					list.Instances = append(list.Instances, instance)
				}
			}
			slices.SortFunc(list.Instances, func(a, b wire.Instance) int { return strings.Compare(a.Name, b.Name) })
			writeJSON(w, 200, list)
			return
		}
		var request wire.ScaleOutRequest
		json.Unmarshal(body, &request)
		if previous, ok := c.requests[request.RequestID]; ok && previous != request {
			c.world.mu.Lock()
			c.world.recordViolation("names: request ID %s was used for %v and for %v", request.RequestID, previous, request)
			c.world.mu.Unlock()
		}
		c.requests[request.RequestID] = request
		if names, ok := c.grantedNames[request.RequestID]; ok {
			writeJSON(w, 200, wire.InstanceNames{Names: names})
			return
		}
		var names []string
		limit := c.maxInstances
		if zoneLimit, ok := c.zoneLimits[request.Zone]; ok {
			limit = zoneLimit
		}
		for len(names) < request.Count && c.instanceCount[request.InstanceType+request.Zone] < limit {
			c.instanceCount[request.InstanceType+request.Zone]++
			c.lastNumber++
			name := fmt.Sprintf("i-%06d", c.lastNumber)
			instance := wire.Instance{Name: name, Address: name + ":9000", InstanceType: request.InstanceType, Zone: request.Zone, Spot: request.Spot, Phase: wire.InstanceStarting}
			c.instances[name], c.createdAt[name] = instance, time.Now()
			names = append(names, name)
			time.AfterFunc(3*time.Second, func() { c.startInstance(name) })
		}
		if len(names) == 0 {
			writeJSON(w, 503, wire.ErrorResponse{Error: "no capacity"})
			return
		}
		c.grantedNames[request.RequestID] = names
		writeJSON(w, 200, wire.InstanceNames{Names: names})
	}
}

// killInstance stops a worker at once. The listing shows its failure 30 s later.
func (c *fakeCloud) killInstance(name string) {
	c.world.stopWorker(name)
	time.AfterFunc(30*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if instance, ok := c.instances[name]; ok {
			instance.Phase = wire.InstanceFailed
			c.instances[name] = instance
		}
	})
}

func (c *fakeCloud) startInstance(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if instance, ok := c.instances[name]; ok && !c.world.stopped() {
		instance.Phase = wire.InstanceRunning
		c.instances[name] = instance
		i := slices.IndexFunc(c.types, func(t wire.InstanceType) bool { return t.Name == instance.InstanceType })
		c.world.startWorker(instance, c.types[i].CPUs)
	}
}

// refuseRequests makes the cloud API refuse all requests for the given duration.
func (c *fakeCloud) refuseRequests(duration time.Duration) {
	for _, change := range []int{1, -1} {
		c.mu.Lock()
		c.outages += change
		c.mu.Unlock()
		if change > 0 {
			time.Sleep(duration)
		}
	}
}
