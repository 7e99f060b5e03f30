package sim

import (
	"encoding/json"
	"net/http"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

func (k *fakeWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var batch wire.CommandBatch
	if r.Method == http.MethodPost {
		json.NewDecoder(r.Body).Decode(&batch)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dropsResponses || k.paused || k.reboots > 0 {
		panic(http.ErrAbortHandler)
	}
	if k.holdsStarts && hasStart(batch) {
		k.heldStarts = append(k.heldStarts, batch)
		panic(http.ErrAbortHandler)
	}
	k.expire()
	status := 200
	if r.URL.Path == "/do" {
		if !k.executeDirect(batch) {
			status = 409
		} else {
			k.maybeRepeat(batch)
		}
	}
	writeJSON(w, status, k.heartbeat())
}

// executeDirect executes direct commands, unless their epoch or incarnation is outdated, and
// reports whether it did. The caller holds k.mu.
func (k *fakeWorker) executeDirect(batch wire.CommandBatch) bool {
	if batch.Epoch < k.epoch || batch.Incarnation != k.incarnation {
		return false
	}
	k.epoch = batch.Epoch
	k.execute(batch.Commands)
	return true
}

// execute executes commands in their order, those of a response to a heartbeat too. The caller holds k.mu.
func (k *fakeWorker) execute(commands []wire.Command) {
	for _, command := range commands {
		key := attemptKey{command.Task, command.Attempt}
		task := k.tasks[key]
		switch command.Action {
		case wire.ActionStart:
			if task != nil {
				continue
			}
			k.start(key)
		case wire.ActionStop:
			if task != nil && task.Phase != wire.TaskExited {
				k.endTask(task, wire.ExitStopped)
			}
		case wire.ActionForget:
			if task != nil && task.Phase == wire.TaskExited {
				delete(k.tasks, key)
			}
		}
		k.requestHeartbeat()
	}
}

// start starts an attempt that the worker does not know, or refuses it.
func (k *fakeWorker) start(key attemptKey) {
	task := &workerTask{TaskStatus: wire.TaskStatus{Task: key.task, Attempt: key.attempt, Phase: wire.TaskFetching}}
	k.world.startTookEffect(task.TaskStatus, k.instance.Name)
	reason, running := k.refusal(key)
	if running != nil {
		k.world.recordTwoAttempts(key, running.Attempt)
	}
	k.tasks[key] = task
	if reason != "" {
		k.endTask(task, reason)
		return
	}
	id, _ := ledger.ParseTask(key.task)
	image := k.world.job(id.JobID).Image
	if k.cachedImages[image] {
		k.startTaskLocked(task)
		return
	}
	task.timer = time.AfterFunc(time.Second, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.cachedImages[image] = true
		k.startTaskLocked(task)
	})
}

// refusal returns why the worker refuses to start an attempt, "" if it does not, and the other
// attempt of the task that is on the worker, nil if there is none.
func (k *fakeWorker) refusal(key attemptKey) (reason string, running *workerTask) {
	id, _ := ledger.ParseTask(key.task)
	cpus := k.world.job(id.JobID).CPUs
	for other, task := range k.tasks {
		if task.Phase == wire.TaskExited {
			continue
		}
		if other.task == key.task {
			return wire.ExitDuplicate, task
		}
		otherID, _ := ledger.ParseTask(other.task)
		cpus += k.world.job(otherID.JobID).CPUs
	}
	if k.cpus > 0 && cpus > k.cpus+1e-6 {
		return wire.ExitNoCapacity, nil
	}
	return "", nil
}
