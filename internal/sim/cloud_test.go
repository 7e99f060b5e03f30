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

// fakeCloud is a fake of the cloud API. The listing shows instances 2 s after their creation.
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
	bootTime      time.Duration
	late          bool // requests that change instances get no answer and are carried out later
	outages       int  // under way: all requests are refused
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
		c.carryOut(func() { c.release(list.Names) })
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
		c.carryOut(func() { c.scaleOut(request) })
		names := c.grantedNames[request.RequestID]
		if len(names) == 0 {
			writeJSON(w, 503, wire.ErrorResponse{Error: "no capacity"})
			return
		}
		writeJSON(w, 200, wire.InstanceNames{Names: names})
	}
}

// carryOut carries out a change at once or, while requests are late, some time after the connection broke. The
// caller holds mu.
func (c *fakeCloud) carryOut(change func()) {
	if !c.late {
		change()
		return
	}
	time.AfterFunc(time.Duration(1+c.world.intN(25_000))*time.Millisecond, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		change()
	})
	panic(http.ErrAbortHandler)
}

// scaleOut creates the instances of a request, unless an earlier copy of it has. The caller holds mu.
func (c *fakeCloud) scaleOut(request wire.ScaleOutRequest) {
	if _, ok := c.grantedNames[request.RequestID]; ok {
		return
	}
	limit := c.maxInstances
	if zoneLimit, ok := c.zoneLimits[request.Zone]; ok {
		limit = zoneLimit
	}
	var names []string
	for len(names) < request.Count && c.instanceCount[request.InstanceType+request.Zone] < limit {
		names = append(names, c.create(request.InstanceType, request.Zone, request.Spot))
	}
	if len(names) > 0 {
		c.grantedNames[request.RequestID] = names
	}
}

// create creates an instance and returns its name. The caller holds mu.
func (c *fakeCloud) create(instanceType, zone string, spot bool) string {
	c.instanceCount[instanceType+zone]++
	c.lastNumber++
	name := fmt.Sprintf("i-%06d", c.lastNumber)
	c.instances[name] = wire.Instance{
		Name: name, Address: name + ":9000", InstanceType: instanceType, Zone: zone, Spot: spot, Phase: wire.InstanceStarting,
	}
	c.createdAt[name] = time.Now()
	time.AfterFunc(c.bootTime, func() { c.startInstance(name) })
	return name
}

// release stops instances and everything on them. The caller holds mu.
func (c *fakeCloud) release(names []string) {
	for _, name := range names {
		if instance, ok := c.instances[name]; ok {
			c.instanceCount[instance.InstanceType+instance.Zone]--
			delete(c.instances, name)
			c.released++
			c.world.stopWorker(name)
		}
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
