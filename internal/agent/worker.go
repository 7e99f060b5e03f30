// Package agent models the workers, the machines that run tasks: the last reported state of each,
// the commands that make its tasks match the claims, and the client that sends commands to it
// directly.
//
// It owns no state of its own. The leader keeps one Worker per machine, guarded by the leader's
// lock; shard owners exchange only the RuntimeSamples. The package must not decide what runs
// where, and must not change claims, except to mark their starts as sent.
package agent

import (
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Worker holds the last reported state of a worker and the leader's own records about it. It is not
// safe for concurrent use.
type Worker struct {
	Name         string
	Address      string
	InstanceType string
	Zone         string
	Spot         bool

	// Incarnation and Sequence identify the latest message processed: Incarnation rises when the
	// worker restarts, Sequence with each of its messages.
	Incarnation       uint64
	Sequence          uint64
	IncarnationSeenAt time.Time // when it first reported Incarnation, which began no later

	SeenEpoch   uint64    // highest epoch that the worker reports to have seen
	EpochSeenAt time.Time // when it first reported SeenEpoch

	RequestedAt     time.Time // when the instance was requested from the cloud
	ListedRunningAt time.Time // when the cloud first listed it as running
	LastHeartbeat   time.Time // last heartbeat that was answered and not outdated
	LastUpdate      time.Time // last heartbeat or answer that brought anything new
	// LastAnswered is when a heartbeat was last answered, even an outdated one: the answer may
	// renew the worker's lease.
	LastAnswered time.Time
	ReclaimAt    time.Time // when the cloud reclaims the spot instance; zero: no notice
	PollInFlight bool      // a status request to the worker is in flight

	Tasks            map[ledger.Task]TaskStatus
	HasUnclaimedTask bool    // a task without a claim takes resources on it
	Images           []Image // most recently used first

	// DirectStarts holds the epoch of the last direct start command of each attempt. A copy of the
	// command may arrive at any time, answered or not, until the worker has seen a higher epoch.
	DirectStarts    map[Attempt]uint64
	CommandInFlight bool // a direct command has not been answered yet
	// ClaimMayBeStored reports whether a claim of the task that was freed may still be stored; nil: no.
	ClaimMayBeStored func(ledger.Task) bool

	// SoleOwnerEpoch is the epoch since which this leader alone may answer the worker; 0 while
	// another controller may.
	SoleOwnerEpoch  uint64
	ShardOwner      string    // the controller that answers the worker
	ShardOwnerSince time.Time // when ShardOwner last changed
	// PendingSamples have not been sent to the shard owner yet.
	PendingSamples []RuntimeSample

	Draining          bool      // takes no new tasks, and is released once empty
	StartBackoffUntil time.Time // no starts until then: it refused one for lack of resources
	FailedJobs        []string  // jobs whose tasks failed here since the last success
	LastFailure       time.Time // when a task of FailedJobs last failed
	// LastSuccessStartedAt is when the latest started of the tasks that succeeded here was first seen
	// running.
	LastSuccessStartedAt time.Time
	IdleSince            time.Time // since when no task is on it

	Wake chan struct{} // wakes the goroutine that sends commands to it
}

// Attempt identifies an attempt of a task.
type Attempt struct {
	Task   ledger.Task
	Number uint64
}

// TaskStatus is a task as a worker reported it.
type TaskStatus struct {
	Attempt  uint64
	Phase    string
	EndCause string    // why it ended; empty while it has not
	Since    time.Time // when it was first seen in this phase
	Orphaned bool      // its job seems to have been lost; the task is not stopped
}

// RuntimeSample is the run time of one finished task, for the estimates of its job type.
type RuntimeSample struct {
	JobType, InstanceType string
	Duration              time.Duration
}

// NewWorker returns a worker that has not reported yet.
func NewWorker(name string) *Worker {
	return &Worker{
		Name: name, Tasks: make(map[ledger.Task]TaskStatus), DirectStarts: make(map[Attempt]uint64),
		Wake: make(chan struct{}, 1),
	}
}

// WakeSender wakes the goroutine that sends commands to the worker. It never blocks.
func (w *Worker) WakeSender() {
	select {
	case w.Wake <- struct{}{}:
	default:
	}
}

// IsNewer reports whether a heartbeat is newer than the latest message processed.
func (w *Worker) IsNewer(heartbeat *wire.Heartbeat) bool {
	if heartbeat.Incarnation != w.Incarnation {
		return heartbeat.Incarnation > w.Incarnation
	}
	return heartbeat.Sequence > w.Sequence
}

// LatestLeaseStart returns the latest time from which the worker's lease may run, as far as a leader knows
// that has alone answered the worker since it reported SeenEpoch. Another controller may have renewed the
// lease until then, and each incarnation begins with a new one.
func (w *Worker) LatestLeaseStart() time.Time {
	latest := w.LastAnswered
	for _, start := range []time.Time{w.EpochSeenAt, w.IncarnationSeenAt} {
		if start.After(latest) {
			latest = start
		}
	}
	return latest
}
