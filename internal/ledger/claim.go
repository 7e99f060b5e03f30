package ledger

import (
	"strconv"
	"time"
)

// Task names one task of a job.
type Task struct {
	JobID string
	Index int
}

// String is the task's name on the wire.
func (t Task) String() string { return t.JobID + "/" + strconv.Itoa(t.Index) }

// ParseTask reads a task's name and reports whether it is one.
func ParseTask(name string) (Task, bool) {
	for i := len(name) - 1; i > 0; i-- {
		if name[i] == '/' {
			index, err := strconv.Atoi(name[i+1:])
			return Task{name[:i], index}, err == nil && index >= 0
		}
	}
	return Task{}, false
}

// ClaimRecord is the stored part of a claim: where a task may be running. It stands from
// before the task is started until there is proof that the task is gone.
type ClaimRecord struct {
	Worker      string
	Incarnation uint64 // of the worker
	Attempt     uint64 // of the task
	Zone        string
}

// Claim is the assignment of a task to a worker, with what the leader knows of it.
type Claim struct {
	ClaimRecord
	Job   *Job
	Index int // of the task in its job

	// Committed: the claim is durable, so the task may be started.
	Committed bool
	// StartSent: a start command may have left this or an earlier leader.
	StartSent bool
	// StartEpoch is the highest epoch of such a command.
	StartEpoch uint64
	// Finished: the task is done; the claim is kept until that is durable.
	Finished bool
	// RunningSince is when the task was first seen running.
	RunningSince time.Time
	// Stopping: the leader decided to stop the task.
	Stopping bool
	// Audited: the audit log has the claim, or a block being written has. The caller sets it.
	Audited bool
	// Unconfirmed: the claim was read after a loss of stored data, and its worker has not
	// shown the task since.
	Unconfirmed bool
}

// Task is the claimed task.
func (c *Claim) Task() Task { return Task{c.Job.ID, c.Index} }

// mayBeRunning reports whether the claimed task can have been started: only a durable claim
// is, and whether a write in flight makes it durable is not known yet.
func (c *Claim) mayBeRunning() bool {
	return c.Committed || c.StartSent || c.Job.chunkOf(c.Index).inFlight()
}
