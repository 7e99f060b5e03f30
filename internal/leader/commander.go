package leader

import (
	"context"
	"errors"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// commander sends commands to workers directly, between their heartbeats.
type commander struct {
	*termScope
	registry   *workerRegistry
	heartbeats *heartbeatReconciler
}

// commandLoop commands one host directly whenever it is nudged, so that nothing waits
// for its next beat.
func (c *commander) commandLoop(ctx context.Context, worker *agent.Worker) error {
	for attempt := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-worker.Wake:
		}
		c.mu.Lock()
		if c.workers[worker.Name] != worker {
			c.mu.Unlock()
			return nil
		}
		epoch := c.leadership.Epoch()
		reachable := worker.Incarnation > 0 && worker.Address != ""
		var commands []wire.Command
		if reachable && !c.dataLossSuspected() {
			commands = worker.Commands(c.jobs.ClaimsOnWorker(worker.Name), epoch, false)
		}
		incarnation, address, heardBefore := worker.Incarnation, worker.Address, worker.LastHeartbeat
		worker.CommandInFlight = reachable && len(commands) > 0
		c.mu.Unlock()
		if !reachable || len(commands) == 0 {
			continue
		}
		heartbeat, refused, err := c.workerClient.Send(ctx, address, wire.CommandBatch{Epoch: epoch, Incarnation: incarnation, Commands: commands})
		c.mu.Lock()
		worker.CommandInFlight = false
		if err != nil && !errors.Is(err, agent.ErrNotSent) {
			worker.UnresolvedEpoch = max(worker.UnresolvedEpoch, epoch)
		}
		if heartbeat != nil {
			c.heartbeats.applyHeartbeat(heartbeat)
		}
		unheard := worker.LastHeartbeat.Equal(heardBefore)
		c.mu.Unlock()
		if err == nil && !refused {
			attempt = 0
			continue
		}
		// A host that does not take commands gets them with its next beat.
		c.log.Debug("direct command", "host", worker.Name, "refused", refused, "err", err)
		if unheard {
			kvstore.Backoff(ctx, attempt, c.settings.Report()/8, c.settings.Report())
			attempt = min(attempt+1, 8)
		}
	}
}

// workersToPoll are hosts that are up but have not come to this leader yet, stay
// with a node that no longer owns them, or are late with a report.
func (c *commander) workersToPoll(now time.Time) []*agent.Worker {
	var pollable []*agent.Worker
	for _, instance := range c.instances {
		if _, isReleased := c.released[instance.Name]; isReleased || instance.Phase != wire.PhaseRunning || instance.Address == "" {
			continue
		}
		worker := c.registry.worker(instance.Name)
		overdue := worker.LastHeartbeat.IsZero() && now.Sub(c.startedAt) > c.settings.Report()/2 ||
			!worker.LastHeartbeat.IsZero() && now.Sub(worker.LastHeartbeat) > 3*c.settings.Report()/2
		if overdue && !worker.Polling && len(pollable) < 16 {
			worker.Polling = true
			worker.Address, worker.InstanceType, worker.Spot = instance.Address, instance.InstanceType, instance.Spot
			c.registry.setZone(worker, instance.Zone)
			pollable = append(pollable, worker)
		}
	}
	return pollable
}

// pollWorker asks a host for its report and shows it this leader's epoch, so that it
// turns from whoever answers it still.
func (c *commander) pollWorker(ctx context.Context, worker *agent.Worker) {
	c.mu.Lock()
	address := worker.Address
	c.mu.Unlock()
	heartbeat, err := c.workerClient.Status(ctx, address)
	c.mu.Lock()
	worker.Polling = false
	c.mu.Unlock()
	if err != nil {
		return
	}
	c.mu.Lock()
	c.heartbeats.applyHeartbeat(heartbeat)
	c.mu.Unlock()
	if heartbeat.Epoch < c.leadership.Epoch() {
		heartbeat, _, err = c.workerClient.Send(ctx, address, wire.CommandBatch{Epoch: c.leadership.Epoch(), Incarnation: heartbeat.Incarnation, Commands: []wire.Command{}})
		if err == nil {
			c.mu.Lock()
			c.heartbeats.applyHeartbeat(heartbeat)
			c.mu.Unlock()
		}
	}
}
