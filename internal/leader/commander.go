package leader

import (
	"context"
	"errors"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// Bounds of what the commander does at once.
const (
	maxPolls           = 16 // workers that one round begins to poll
	maxCommandAttempts = 8  // from which on the pause between attempts grows no more
)

// commander sends commands to workers directly, between their heartbeats, and polls workers
// that have not reported to this leader.
//
// The registry starts a command loop for each worker; the failure monitor polls. Worker
// fields are read and written under mu, which is never held while a worker is asked. The
// commander decides nothing: what a worker is to do follows from the claims.
type commander struct {
	*termScope
	registry   *workerRegistry
	heartbeats *heartbeatReconciler
}

// directCommand is one batch of commands for a worker, with what was known of the worker when
// it was made.
type directCommand struct {
	address     string
	batch       wire.CommandBatch
	heardBefore time.Time // the worker's last heartbeat
}

// runCommands commands one worker directly whenever it is woken, so that nothing waits
// for the worker's next heartbeat. It ends once the worker is removed.
func (c *commander) runCommands(ctx context.Context, worker *agent.Worker) error {
	for attempt := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-worker.Wake:
		}
		command, registered := c.nextCommand(worker)
		if !registered {
			return nil
		}
		if command == nil {
			continue
		}
		heartbeat, refused, err := c.workerClient.Send(ctx, command.address, command.batch)
		unheard := c.commandAnswered(worker, command, heartbeat, err)
		if err == nil && !refused {
			attempt = 0
			continue
		}
		// A worker that does not take commands gets them with its next heartbeat.
		c.log.Debug("direct command failed", "worker", worker.Name, "refused", refused, "err", err)
		if unheard {
			retry.Backoff(ctx, attempt, c.settings.HeartbeatInterval()/8, c.settings.HeartbeatInterval())
			attempt = min(attempt+1, maxCommandAttempts)
		}
	}
}

// nextCommand makes the command that is due to a worker, or returns nil if there is none or
// the worker cannot be reached. It also tells whether the worker is still registered.
func (c *commander) nextCommand(worker *agent.Worker) (command *directCommand, registered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workers[worker.Name] != worker {
		return nil, false
	}
	epoch := c.leadership.Epoch()
	reachable := worker.Incarnation > 0 && worker.Address != ""
	var commands []wire.Command
	if reachable && !c.dataLossSuspected() {
		commands = worker.Commands(c.jobs.ClaimsOnWorker(worker.Name), epoch, false)
	}
	worker.CommandInFlight = reachable && len(commands) > 0
	if !worker.CommandInFlight {
		return nil, true
	}
	batch := wire.CommandBatch{Epoch: epoch, Incarnation: worker.Incarnation, Commands: commands}
	c.logCommands(worker, batch)
	return &directCommand{address: worker.Address, batch: batch, heardBefore: worker.LastHeartbeat}, true
}

// commandAnswered takes in the answer to a direct command, and tells whether no heartbeat of
// the worker came meanwhile. A command whose fate is unknown may be executed until the worker
// has seen a higher epoch.
func (c *commander) commandAnswered(
	worker *agent.Worker, command *directCommand, heartbeat *wire.Heartbeat, err error,
) (unheard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker.CommandInFlight = false
	if err != nil && !errors.Is(err, agent.ErrNotSent) {
		worker.UnresolvedEpoch = max(worker.UnresolvedEpoch, command.batch.Epoch)
	}
	if heartbeat != nil {
		c.heartbeats.applyHeartbeat(heartbeat)
	}
	return worker.LastHeartbeat.Equal(command.heardBefore)
}

// workersToPoll returns the workers that are up but have not reported to this leader yet, stay
// with a controller that no longer owns them, or are late with a heartbeat. It marks them as
// polled. Callers hold mu.
func (c *commander) workersToPoll(now time.Time) []*agent.Worker {
	var pollable []*agent.Worker
	for _, instance := range c.instances {
		_, isReleased := c.released[instance.Name]
		if isReleased || instance.Phase != wire.InstanceRunning || instance.Address == "" {
			continue
		}
		worker := c.registry.worker(instance.Name)
		overdue := worker.LastHeartbeat.IsZero() && now.Sub(c.startedAt) > c.settings.HeartbeatInterval()/2 ||
			!worker.LastHeartbeat.IsZero() && now.Sub(worker.LastHeartbeat) > c.heartbeatLateAfter()
		if overdue && !worker.Polling && len(pollable) < maxPolls {
			worker.Polling = true
			worker.Address, worker.InstanceType, worker.Spot = instance.Address, instance.InstanceType, instance.Spot
			c.registry.setZone(worker, instance.Zone)
			pollable = append(pollable, worker)
		}
	}
	return pollable
}

// pollWorker asks a worker for its status and shows it this leader's epoch, so that it turns
// from whoever still answers it.
func (c *commander) pollWorker(ctx context.Context, worker *agent.Worker) {
	c.mu.Lock()
	address := worker.Address
	c.mu.Unlock()
	heartbeat, err := c.workerClient.Status(ctx, address)
	c.mu.Lock()
	worker.Polling = false
	c.mu.Unlock()
	if err != nil {
		return // it is polled again in a later round
	}
	c.mu.Lock()
	c.heartbeats.applyHeartbeat(heartbeat)
	c.mu.Unlock()
	if heartbeat.Epoch >= c.leadership.Epoch() {
		return
	}
	heartbeat, _, err = c.workerClient.Send(ctx, address, wire.CommandBatch{
		Epoch: c.leadership.Epoch(), Incarnation: heartbeat.Incarnation, Commands: []wire.Command{},
	})
	if err != nil {
		return // as above
	}
	c.mu.Lock()
	c.heartbeats.applyHeartbeat(heartbeat)
	c.mu.Unlock()
}
