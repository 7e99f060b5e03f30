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
type cloud struct {
	w     *world
	mu    sync.Mutex
	types []wire.InstanceType
	asks  map[string][]string
	hosts map[string]wire.Instance
	seen  map[string]time.Time // when listed first
	count map[string]int
	next  int
	sizes map[string]wire.ScaleOutRequest // what was asked for, by its name
	freed int                             // machines returned
	most  int                             // machines of a type, zone and kind
	few   map[string]int                  // in zones that have less
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/machine_types":
		answer(w, 200, wire.InstanceTypeList{Types: c.types})
	case "/hosts/release":
		var l wire.InstanceNames
		json.Unmarshal(body, &l)
		for _, n := range l.Names {
			if h, ok := c.hosts[n]; ok {
				c.count[h.InstanceType+h.Zone]--
				delete(c.hosts, n)
				c.freed++
				c.w.stop(n)
			}
		}
		answer(w, 200, struct{}{})
	case "/hosts":
		if r.Method == http.MethodGet {
			var l wire.InstancePage
			for n, h := range c.hosts {
				if time.Since(c.seen[n]) > 2*time.Second {
					l.Instances = append(l.Instances, h)
				}
			}
			slices.SortFunc(l.Instances, func(a, b wire.Instance) int { return strings.Compare(a.Name, b.Name) })
			answer(w, 200, l)
			return
		}
		var q wire.ScaleOutRequest
		json.Unmarshal(body, &q)
		if was, ok := c.sizes[q.RequestID]; ok && was != q {
			c.w.mu.Lock()
			c.w.broke("names: %s was used for %v and for %v", q.RequestID, was, q)
			c.w.mu.Unlock()
		}
		c.sizes[q.RequestID] = q
		if names, ok := c.asks[q.RequestID]; ok {
			answer(w, 200, wire.InstanceNames{Names: names})
			return
		}
		var names []string
		most := c.most
		if n, ok := c.few[q.Zone]; ok {
			most = n
		}
		for len(names) < q.Count && c.count[q.InstanceType+q.Zone] < most {
			c.count[q.InstanceType+q.Zone]++
			c.next++
			n := fmt.Sprintf("i-%06d", c.next)
			h := wire.Instance{Name: n, Address: n + ":9000", InstanceType: q.InstanceType, Zone: q.Zone, Spot: q.Spot, Phase: wire.InstanceStarting}
			c.hosts[n], c.seen[n] = h, time.Now()
			names = append(names, n)
			time.AfterFunc(3*time.Second, func() { c.startInstance(n) })
		}
		if len(names) == 0 {
			answer(w, 503, wire.ErrorResponse{Error: "no capacity"})
			return
		}
		c.asks[q.RequestID] = names
		answer(w, 200, wire.InstanceNames{Names: names})
	}
}

// killInstance has a worker stop on its own. It is listed as running for some more time.
func (c *cloud) killInstance(n string) {
	c.w.stop(n)
	time.AfterFunc(30*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if h, ok := c.hosts[n]; ok {
			h.Phase = wire.InstanceFailed
			c.hosts[n] = h
		}
	})
}

func (c *cloud) startInstance(n string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.hosts[n]; ok && !c.w.ended() {
		h.Phase = wire.InstanceRunning
		c.hosts[n] = h
		c.w.start(h)
	}
}
