package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// modelWorker is the actual state of a worker, which the leader's view may lag behind.
type modelWorker struct {
	name, zone                   string
	epoch, incarnation, sequence uint64
	answeredAt                   time.Time                   // when the last answered heartbeat was sent
	tasks                        map[string]*wire.TaskStatus // by attemptName
	ended                        map[string]bool             // attempts that ended in this incarnation, also forgotten ones
	lateCommands                 []wire.CommandBatch         // delayed in the network, or repeated
	lateHeartbeats               []wire.Heartbeat            // delayed in the network
	released                     bool
}

// heartbeat returns the worker's current heartbeat. The worker's lease may have expired.
func (w *modelWorker) heartbeat() wire.Heartbeat {
	w.sequence++
	heartbeat := wire.Heartbeat{
		Worker: w.name, Address: "x", InstanceType: "m", Zone: w.zone,
		Incarnation: w.incarnation, Sequence: w.sequence, Epoch: w.epoch,
	}
	for _, task := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, *task)
	}
	slices.SortFunc(heartbeat.Tasks, func(a, b wire.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Task, b.Task))
	})
	return heartbeat
}

// execute executes commands and checks the invariants that a start can break.
func (m *model) execute(worker *modelWorker, commands []wire.Command) {
	for _, command := range commands {
		name := attemptName(command.Task, command.Attempt)
		task := worker.tasks[name]
		switch command.Action {
		case wire.ActionStart:
			if task != nil {
				continue
			}
			m.checkStart(worker, command)
			task = &wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, Phase: wire.TaskRunning}
			if worker.runs(command.Task) {
				task.Phase, task.ExitReason = wire.TaskExited, wire.ExitDuplicate
				worker.ended[name] = true
			}
			worker.tasks[name] = task
		case wire.ActionStop:
			if task != nil && task.Phase != wire.TaskExited {
				task.Phase, task.ExitReason = wire.TaskExited, wire.ExitStopped
				worker.ended[name] = true
			}
		case wire.ActionForget:
			if task != nil && task.Phase == wire.TaskExited {
				delete(worker.tasks, name)
			}
		}
	}
}

// attemptName identifies an attempt of a task on a worker.
func attemptName(task string, attempt uint64) string { return fmt.Sprint(task, "@", attempt) }

// runs reports whether any attempt of a task runs on the worker.
func (w *modelWorker) runs(task string) bool {
	for _, status := range w.tasks {
		if status.Task == task && status.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// checkStart fails the test if the started attempt has ended before, its task already runs elsewhere or
// the quota is exceeded.
func (m *model) checkStart(worker *modelWorker, command wire.Command) {
	task, _ := ledger.ParseTask(command.Task)
	claim := m.leader.jobs.ClaimsOnWorker(worker.name)[task]
	// A new leader that has loaded the claim starts the attempt, as it cannot know that it has ended.
	isClaimed := claim != nil && claim.Attempt == command.Attempt
	if worker.ended[attemptName(command.Task, command.Attempt)] && !isClaimed {
		m.t.Fatalf("started_again: attempt %d of %s on %s", command.Attempt, command.Task, worker.name)
	}
	used := 1.0
	for _, other := range m.workers {
		for _, task := range other.tasks {
			if other.released || task.Phase == wire.TaskExited {
				continue
			}
			used++
			if name := task.Task; name == command.Task && other != worker {
				m.t.Fatalf("ran_twice: %s starts on %s while on %s", name, worker.name, other.name)
			}
		}
	}
	if used > m.quotaCPUs {
		m.t.Fatalf("quota: %v of %v", used, m.quotaCPUs)
	}
}

// deliverResponse delivers the response to a heartbeat, which renews the worker's lease.
func (m *model) deliverResponse(worker *modelWorker, heartbeat wire.Heartbeat, response wire.CommandBatch) {
	if worker.released || worker.incarnation != heartbeat.Incarnation || response.Epoch < worker.epoch {
		return
	}
	worker.epoch, worker.answeredAt = response.Epoch, m.now
	m.execute(worker, response.Commands)
}

// sendToLeader sends a heartbeat, which may be a delayed one, to the leader, and returns its
// response.
func (m *model) sendToLeader(heartbeat wire.Heartbeat) (wire.CommandBatch, error) {
	response, _, err := runnerOf(m.leader).Heartbeat(context.Background(), &heartbeat)
	return response, err
}

// sendHeartbeats lets some workers send heartbeats by random routes: to the leader itself, to the
// second controller, which forwards them to the leader, or to the second controller while it is
// partitioned and answers the workers of its shard and zone under the shard map that it knows.
func (m *model) sendHeartbeats() {
	routes := []string{"leader", "leader", "forwarded", "forwarded", "partitioned", "delayed", "deposed"}
	for _, worker := range m.workers {
		if !worker.released && rapid.IntRange(0, 2).Draw(m.t, "now") > 0 {
			m.sendHeartbeat(worker, rapid.SampledFrom(routes).Draw(m.t, "route"))
		}
	}
}

// partitionZone partitions the second controller's zone: for some rounds only that controller answers
// there, while the leader receives the other workers' heartbeats and keeps placing tasks. The leader
// may have noticed that the other controller is unreachable. Once the partition heals, it polls the
// workers.
func (m *model) partitionZone() {
	if rapid.Bool().Draw(m.t, "noticed") {
		m.setOwners([]string{"n"})
	}
	defer func() {
		for _, worker := range m.workers {
			m.pollWorker(worker)
		}
		m.leader.failures.expireLeases(m.now)
	}()
	for range rapid.IntRange(2, 8).Draw(m.t, "rounds") {
		m.advance(rapid.IntRange(4, 7).Draw(m.t, "seconds"))
		m.place()
		m.write()
		for _, worker := range m.workers {
			switch {
			case worker.released:
			case worker.zone == "b":
				m.sendHeartbeat(worker, "partitioned")
			default:
				m.sendHeartbeat(worker, "leader")
				m.sendHeartbeat(worker, "forwarded")
			}
		}
	}
}

// sendHeartbeat sends one heartbeat by the given route. The response may be lost.
func (m *model) sendHeartbeat(worker *modelWorker, route string) {
	heartbeat := worker.heartbeat()
	responseLost := rapid.IntRange(0, 4).Draw(m.t, "answer lost") == 0
	var response wire.CommandBatch
	err := errors.New("no controller answers")
	switch route {
	case "leader":
		if m.leadership.shards.Owner(worker.name) == "n" {
			response, err = m.sendToLeader(heartbeat)
		}
	case "forwarded":
		if m.knownShards.Owner(worker.name) == "m" && heartbeat.Epoch <= m.knownShards.Epoch {
			response, err = m.sendToLeader(heartbeat)
		}
	case "partitioned":
		mayAnswer := m.knownShards.Owner(worker.name) == "m" ||
			m.knownShards.ZoneFallback && worker.zone == "b" && slices.Contains(m.knownShards.Owners, "m")
		if mayAnswer && heartbeat.Epoch <= m.knownShards.Epoch {
			response, err = wire.CommandBatch{Epoch: m.knownShards.Epoch}, nil
		}
	case "deposed":
		if m.deposedLeader != nil {
			response, _, err = runnerOf(m.deposedLeader).Heartbeat(context.Background(), &heartbeat)
		}
	case "delayed":
		worker.lateHeartbeats = append(worker.lateHeartbeats, heartbeat)
	}
	if err == nil && !responseLost {
		m.deliverResponse(worker, heartbeat, response)
	}
}

// deliverLateHeartbeat delivers a delayed heartbeat, whose response the worker drops.
func (m *model) deliverLateHeartbeat() {
	worker := m.drawWorker()
	if len(worker.lateHeartbeats) == 0 || m.leadership.shards.Owner(worker.name) != "n" {
		return
	}
	heartbeat := worker.lateHeartbeats[0]
	worker.lateHeartbeats = worker.lateHeartbeats[1:]
	_, _ = m.sendToLeader(heartbeat)
}

// sendCommands sends a worker's due commands directly to it, or delays them.
func (m *model) sendCommands() {
	worker := m.drawWorker()
	view := m.leader.workers[worker.name]
	if view == nil || view.Incarnation == 0 || view.CommandInFlight {
		return
	}
	epoch := m.leadership.Epoch()
	commands := view.Commands(m.leader.jobs.ClaimsOnWorker(worker.name), epoch, false)
	if len(commands) == 0 {
		return
	}
	batch := wire.CommandBatch{Epoch: epoch, Incarnation: view.Incarnation, Commands: commands}
	if rapid.Bool().Draw(m.t, "delayed") {
		worker.lateCommands = append(worker.lateCommands, batch)
		return
	}
	m.deliverCommands(worker, batch)
	worker.lateCommands = append(worker.lateCommands, batch) // a copy arrives once more
}

// deliverCommands delivers direct commands. The heartbeat that the worker returns may be lost.
func (m *model) deliverCommands(worker *modelWorker, batch wire.CommandBatch) {
	if worker.released || batch.Epoch < worker.epoch || batch.Incarnation != worker.incarnation {
		return
	}
	worker.epoch = batch.Epoch
	m.execute(worker, batch.Commands)
	if heartbeat := worker.heartbeat(); rapid.Bool().Draw(m.t, "seen") {
		m.leader.heartbeats.applyHeartbeat(&heartbeat)
	}
}

// deliverLateCommands delivers delayed commands or copies of answered ones.
func (m *model) deliverLateCommands() {
	worker := m.drawWorker()
	if len(worker.lateCommands) > 0 {
		i := rapid.IntRange(0, len(worker.lateCommands)-1).Draw(m.t, "late command")
		batch := worker.lateCommands[i]
		worker.lateCommands = slices.Delete(worker.lateCommands, i, i+1)
		m.deliverCommands(worker, batch)
	}
}

// poll polls any worker.
func (m *model) poll() { m.pollWorker(m.drawWorker()) }

// pollWorker applies a worker's heartbeat and sends the worker the current epoch.
func (m *model) pollWorker(worker *modelWorker) {
	if worker.released {
		return
	}
	heartbeat := worker.heartbeat()
	m.leader.heartbeats.applyHeartbeat(&heartbeat)
	m.deliverCommands(worker, wire.CommandBatch{Epoch: m.leadership.Epoch(), Incarnation: worker.incarnation})
}

// finishTask lets a running task finish successfully.
func (m *model) finishTask() {
	worker := m.drawWorker()
	for _, name := range slices.Sorted(maps.Keys(worker.tasks)) {
		if task := worker.tasks[name]; task.Phase == wire.TaskRunning && !worker.released {
			task.Phase, task.ExitReason = wire.TaskExited, wire.ExitDone
			worker.ended[name], m.succeeded[task.Task] = true, true
			return
		}
	}
}

// rebootUnheard begins a worker's next incarnation while its heartbeats reach no controller: for some
// rounds the leader learns of the worker by polls and direct commands alone.
func (m *model) rebootUnheard() {
	worker := m.drawWorker()
	m.advance(rapid.IntRange(1, 4).Draw(m.t, "unheard"))
	m.beginIncarnation(worker)
	m.pollWorker(worker)
	for range rapid.IntRange(2, 8).Draw(m.t, "rounds") {
		m.place()
		m.write()
		m.sendCommands()
		m.advance(rapid.IntRange(4, 7).Draw(m.t, "seconds"))
		for _, other := range m.workers {
			if other != worker && !other.released {
				m.sendHeartbeat(other, "leader")
				m.sendHeartbeat(other, "forwarded")
			}
		}
	}
}

// beginIncarnation ends all tasks of a worker and begins its next incarnation.
func (m *model) beginIncarnation(worker *modelWorker) {
	worker.tasks, worker.ended, worker.answeredAt = map[string]*wire.TaskStatus{}, map[string]bool{}, m.now
	worker.incarnation++
}

// stopClaim stops a claimed task of any worker, as a preemption or a drain does.
func (m *model) stopClaim() {
	claims := m.leader.jobs.ClaimsOnWorker(m.drawWorker().name)
	for _, name := range slices.SortedFunc(maps.Keys(claims), func(a, b ledger.Task) int { return cmp.Compare(a.String(), b.String()) }) {
		if claim := claims[name]; stoppable(claim) {
			claim.Stop(stopDrained)
			return
		}
	}
}
