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

// controllerProcess runs a whole controller, which can be killed at any time.
type controllerProcess struct {
	world  *world
	index  int
	kill   context.CancelFunc
	exited chan struct{}
}

func (w *world) boot(index int) *controllerProcess {
	ctx, kill := context.WithCancel(context.Background())
	process := &controllerProcess{world: w, index: index, kill: kill, exited: make(chan struct{})}
	level := slog.LevelError
	if os.Getenv("SIM_LOG") != "" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	settings := w.controllerSettings(index)
	go func() {
		defer close(process.exited)
		serve.Run(ctx, settings, w.net.forHost(settings.Name), log.With("node", settings.Name))
	}()
	return process
}

// crash kills the process. Data that it sent just before may arrive up to a heartbeat interval
// later, even after a new process has started on the host.
func (c *controllerProcess) crash() {
	name := fmt.Sprintf("host-%d", c.index)
	c.world.net.crashHost(name, time.Duration(c.world.intN(2))*heartbeatInterval)
	c.kill()
	<-c.exited
	c.world.net.hostExited(name)
}

// randomDowntime draws the time until a process restarts, from 20 ms to 10 s with a
// log-uniform distribution.
func (w *world) randomDowntime() time.Duration {
	return time.Duration(20*math.Pow(500, float64(w.intN(1000))/1000)) * time.Millisecond
}

// hasExited reports whether the process has exited.
func (c *controllerProcess) hasExited() bool {
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

// cutWorkersOff cuts every worker off from all controllers for the given time.
func (w *world) cutWorkersOff(cloud *fakeCloud, duration time.Duration) {
	cloud.mu.Lock()
	workers := slices.Sorted(maps.Keys(cloud.instances))
	cloud.mu.Unlock()
	for _, blocked := range []bool{true, false} {
		for _, worker := range workers {
			for n := range w.clusterSize {
				w.net.setBlocked(fmt.Sprintf("host-%d", n), worker, blocked)
			}
		}
		if blocked {
			time.Sleep(duration)
		}
	}
}
