package ledger

import (
	"strconv"
	"time"
)

// Task identifies one task of a job.
type Task struct {
	JobID string
	Index int
}

// String returns the task's name as used on the wire.
func (t Task) String() string { return t.JobID + "/" + strconv.Itoa(t.Index) }

// ParseTask parses a task's name and reports whether it is valid.
func ParseTask(name string) (Task, bool) {
	for i := len(name) - 1; i > 0; i-- {
		if name[i] == '/' {
			index, err := strconv.Atoi(name[i+1:])
			return Task{name[:i], index}, err == nil && index >= 0
		}
	}
	return Task{}, false
}

// ClaimRecord is the stored part of a claim: where a task may be running. It exists from before
// the task is started until there is proof that the task no longer runs.
type ClaimRecord struct {
	Worker      string
	Incarnation uint64 // incarnation of the worker
	Attempt     uint64 // attempt number of the task
	Zone        string
}

// Claim is the assignment of a task to a worker, with the leader's view of its state.
type Claim struct {
	ClaimRecord
	Job   *Job
	Index int // index of the task in its job

	// Committed is set once the claim is durable, so that the task may be started.
	Committed bool
	// StartSent is set if this or an earlier leader may have sent a start command.
	StartSent bool
	// StartEpoch is the highest epoch of those start commands.
	StartEpoch uint64
	// Finished is set once the task is done. The claim is kept until that is durable.
	Finished bool
	// RunningSince is when the task was first reported running.
	RunningSince time.Time
	// Stopping is set once the leader has decided to stop the task.
	Stopping bool
	// StopReason says why, for logs.
	StopReason string
	// Audited is set once the claim is in the audit log or in a block being written to it. The
	// caller sets it.
	Audited bool
	// Unconfirmed is set if the claim was read after a loss of stored data and its worker has not
	// reported the task since.
	Unconfirmed bool
}

// Stop records the decision to stop the task, and why.
func (c *Claim) Stop(reason string) { c.Stopping, c.StopReason = true, reason }

// Task returns the claimed task.
func (c *Claim) Task() Task { return Task{c.Job.ID, c.Index} }

// mayBeRunning reports whether the claimed task may have been started. A task is started only once
// its claim is durable; a write in flight may already have made it so.
func (c *Claim) mayBeRunning() bool {
	return c.Committed || c.StartSent || c.Job.chunkOf(c.Index).inFlight()
}
