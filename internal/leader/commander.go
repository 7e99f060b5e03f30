package leader

import (
	"context"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// Limits of the commander.
const (
	maxPolls           = 16 // polls started in one round
	maxCommandAttempts = 8  // number of attempts after which the back-off grows no more
)

// commander sends commands to workers directly, between their heartbeats, and polls workers
// that have not reported to this leader.
//
// The registry starts a command loop for each worker; the failure monitor starts the polls.
// Worker fields are read and written under mu, which is never held during a request to a worker.
// The commander makes no decisions: the commands for a worker follow from its claims.
type commander struct {
	*termScope
	registry   *workerRegistry
	heartbeats *heartbeatReconciler
}

// directCommand is a batch of commands for a worker, with the worker's state at the time when the
// batch was made.
type directCommand struct {
	address       string
	batch         wire.CommandBatch
	lastHeartbeat time.Time // of the worker's last heartbeat
}

// runCommands sends a worker its commands whenever it is woken, so that they don't have to wait
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
		noHeartbeat := c.commandAnswered(worker, command, heartbeat, refused)
		if err == nil && !refused {
			attempt = 0
			continue
		}
		// The worker also gets its commands in the response to its next heartbeat.
		c.log.Debug("direct command failed", "worker", worker.Name, "refused", refused, "err", err)
		if noHeartbeat {
			retry.Backoff(ctx, attempt, c.settings.HeartbeatInterval()/8, c.settings.HeartbeatInterval())
			attempt = min(attempt+1, maxCommandAttempts)
		}
	}
}

// nextCommand returns the commands that are due for a worker, or nil if there are none or the
// worker's address is unknown. It also reports whether the worker is still registered.
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
	c.logCommands(worker, batch, pathDirect)
	return &directCommand{address: worker.Address, batch: batch, lastHeartbeat: worker.LastHeartbeat}, true
}

// commandAnswered handles the response to a direct command, nil if there is none, and reports whether the
// worker has sent no heartbeat since the command was made. A command that was refused because the epoch
// was raised meanwhile is given again.
func (c *commander) commandAnswered(
	worker *agent.Worker, command *directCommand, heartbeat *wire.Heartbeat, refused bool,
) (noHeartbeat bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker.CommandInFlight = false
	if heartbeat != nil {
		c.heartbeats.applyHeartbeat(heartbeat)
	}
	if refused && command.batch.Epoch < c.leadership.Epoch() {
		worker.WakeSender()
	}
	return worker.LastHeartbeat.Equal(command.lastHeartbeat)
}

// workersToPoll returns up to maxPolls workers that are running but whose heartbeat is overdue:
// they have not reported to this leader yet, still report to a controller that no longer owns
// them, or are late. It marks them as being polled. Callers hold mu.
func (c *commander) workersToPoll(now time.Time) []*agent.Worker {
	var pollable []*agent.Worker
	for _, instance := range c.instances {
		_, isReleased := c.released[instance.Name]
		if isReleased || instance.Phase != wire.InstanceRunning || instance.Address == "" {
			continue
		}
		worker := c.registry.worker(instance.Name)
		overdue := worker.LastHeartbeat.IsZero() && now.Sub(c.startedAt) > c.settings.HeartbeatInterval()/2 ||
			!worker.LastHeartbeat.IsZero() && now.Sub(worker.LastHeartbeat) > c.heartbeatTimeout()
		if overdue && !worker.PollInFlight && len(pollable) < maxPolls {
			worker.PollInFlight = true
			worker.Address, worker.InstanceType, worker.Spot = instance.Address, instance.InstanceType, instance.Spot
			c.registry.setZone(worker, instance.Zone)
			pollable = append(pollable, worker)
		}
	}
	return pollable
}

// pollWorker requests a worker's status. If the worker has not seen this leader's epoch, it then
// sends the epoch, so that the worker leaves the controller that still answers its heartbeats.
func (c *commander) pollWorker(ctx context.Context, worker *agent.Worker) {
	c.mu.Lock()
	address := worker.Address
	c.mu.Unlock()
	heartbeat, err := c.workerClient.Status(ctx, address)
	c.mu.Lock()
	worker.PollInFlight = false
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
		return // it is polled again in a later round
	}
	c.mu.Lock()
	c.heartbeats.applyHeartbeat(heartbeat)
	c.mu.Unlock()
}
