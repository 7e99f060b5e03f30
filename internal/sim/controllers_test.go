package sim

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"os"
	"slices"
	"time"

	"rillflow/internal/serve"
)

// node runs a controller's process: it is killed without warning, and comes
// back after a while.
type node struct {
	w    *world
	n    int
	kill context.CancelFunc
	over chan struct{}
}

func (w *world) boot(n int) *node {
	ctx, kill := context.WithCancel(context.Background())
	c := &node{w: w, n: n, kill: kill, over: make(chan struct{})}
	level := slog.LevelError
	if os.Getenv("SIM_LOG") != "" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	set := w.settings(n)
	go func() {
		defer close(c.over)
		serve.Run(ctx, set, w.net.at(set.Name), log.With("node", set.Name))
	}()
	return c
}

// crash ends the process without a goodbye. What it sent in its last moment may arrive
// up to a heartbeat interval later, also when another has taken its place.
func (c *node) crash() {
	name := fmt.Sprintf("host-%d", c.n)
	c.w.net.fall(name, time.Duration(c.w.intN(2))*report)
	c.kill()
	<-c.over
	c.w.net.fallen(name)
}

// randomDowntime is how long a process is gone: from a moment to much longer than a lease lasts,
// in each order of size alike.
func (w *world) randomDowntime() time.Duration {
	return time.Duration(20*math.Pow(500, float64(w.intN(1000))/1000)) * time.Millisecond
}

// ended tells whether the process has ended.
func (c *node) ended() bool {
	select {
	case <-c.over:
		return true
	default:
		return false
	}
}

// cutWorkersOff cuts every worker off from all controllers for a moment.
func (w *world) cutWorkersOff(cl *cloud, long time.Duration) {
	cl.mu.Lock()
	hosts := slices.Sorted(maps.Keys(cl.hosts))
	cl.mu.Unlock()
	for _, on := range []bool{true, false} {
		for _, h := range hosts {
			for n := range w.size {
				w.net.cut(fmt.Sprintf("host-%d", n), h, on)
			}
		}
		if on {
			time.Sleep(long)
		}
	}
}
