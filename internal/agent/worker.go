// Package agent deals with workers, the machines that run tasks: what each last reported, the
// commands that bring it to what the claims say, and the client that sends commands to it directly.
//
// It owns no state of its own. The leader keeps one Worker per machine and guards it with its
// lock; shard owners exchange only the RuntimeSamples. The package must not change claims, but
// for noting on them that a start was sent, and must not decide what runs where.
package agent

import (
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Worker is a machine as it last reported itself, and what the leader noted about it. It is not
// safe for concurrent use.
type Worker struct {
	Name         string
	Address      string
	InstanceType string
	Zone         string
	Spot         bool

	// Incarnation and Sequence number the latest message taken in: Incarnation rises when the
	// worker restarts, Sequence with each of its messages.
	Incarnation uint64
	Sequence    uint64
	SeenEpoch   uint64    // highest epoch that the worker says it has seen
	EpochSeenAt time.Time // when it first said so

	RequestedAt     time.Time // when the instance was requested from the cloud
	ListedRunningAt time.Time // when the cloud first listed it as running
	LastHeartbeat   time.Time // last heartbeat that was answered and no older than what was known
	LastUpdate      time.Time // last message with anything new, a heartbeat or an answer
	// LastAnswered is when a heartbeat was last answered, an old one included: the answer may
	// renew the worker's lease.
	LastAnswered time.Time
	ReclaimAt    time.Time // when the cloud takes the instance away; zero: no notice
	Polling      bool      // it is being asked for its status

	Tasks            map[ledger.Task]TaskStatus
	HasUnclaimedTask bool    // a task on it takes resources that no claim tells of
	Images           []Image // most recently used first

	// UnresolvedEpoch is the epoch of the latest direct command of unknown outcome. Until the
	// worker has seen a higher one, that command may yet be executed, so the worker is told to
	// forget nothing that it could start again.
	UnresolvedEpoch uint64
	CommandInFlight bool

	// SoleOwnerEpoch is the epoch since which this leader alone may answer the worker; 0 while
	// another controller may.
	SoleOwnerEpoch  uint64
	ShardOwner      string    // the controller that answers the worker
	ShardOwnerSince time.Time // when it became so
	// PendingSamples are those that the shard owner has yet to be told.
	PendingSamples []RuntimeSample

	Draining          bool      // takes no new tasks, and is released once empty
	StartBackoffUntil time.Time // gets no start before: it refused one for want of resources
	FailedJobs        []string  // jobs whose tasks failed here since the last success
	LastFailure       time.Time // when the last of them did
	IdleSince         time.Time // since when nothing is on it

	Wake chan struct{} // wakes the goroutine that sends commands to it
}

// TaskStatus is a task as a worker reported it.
type TaskStatus struct {
	Attempt  uint64
	Phase    string
	EndCause string    // why it ended, if it did
	Since    time.Time // first seen in this phase
	Orphaned bool      // of a job that was lost, as far as is known: it is left alone
}

// RuntimeSample is what one finished task tells about how long tasks of its job type run.
type RuntimeSample struct {
	JobType, InstanceType string
	Duration              time.Duration
}

// NewWorker returns a worker from which nothing was heard yet.
func NewWorker(name string) *Worker {
	return &Worker{Name: name, Tasks: make(map[ledger.Task]TaskStatus), Wake: make(chan struct{}, 1)}
}

// WakeSender wakes the goroutine that sends commands to the worker. It never blocks.
func (w *Worker) WakeSender() {
	select {
	case w.Wake <- struct{}{}:
	default:
	}
}

// IsNewer reports whether a heartbeat is newer than the latest one taken in.
func (w *Worker) IsNewer(heartbeat *wire.Heartbeat) bool {
	if heartbeat.Incarnation != w.Incarnation {
		return heartbeat.Incarnation > w.Incarnation
	}
	return heartbeat.Sequence > w.Sequence
}
