// Package agent deals with workers: what each last reported, what it is to be
// ordered, and the direct commands sent to it.
package agent

import (
	"slices"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Worker is a machine as its worker last reported it.
type Worker struct {
	Name         string
	Address      string
	InstanceType string
	Zone         string
	Spot         bool

	Incarnation     uint64
	Sequence        uint64
	SeenEpoch       uint64    // highest the worker says it has seen
	EpochSeenAt     time.Time // when it first said so
	RequestedAt     time.Time // when it was rented
	ListedRunningAt time.Time // when the list first showed it running
	LastHeartbeat   time.Time // last beat that was answered and no older than what was known
	Polling         bool
	LastUpdate      time.Time // last message of its own that was news, to whatever request
	// LastAnswered is when a beat was last answered, an old one included: the answer may
	// renew the worker's lease.
	LastAnswered time.Time
	ReclaimAt    time.Time // when the cloud takes it away; zero: no notice

	Tasks            map[ledger.Task]TaskStatus
	HasUnclaimedTask bool    // a task on it takes room that no claim tells of
	Images           []Image // most recently used first

	// UnresolvedEpoch is the epoch of the latest direct command whose fate is unknown.
	// Until the worker has seen a higher one, that command may yet be
	// executed, so nothing is forgotten that it could start again.
	UnresolvedEpoch uint64
	CommandInFlight bool

	// SoleOwnerEpoch is the epoch since which this leader alone may answer the host; 0
	// while another node may.
	SoleOwnerEpoch uint64
	// ShardOwner is the controller that answers the host, Moved when it became so.
	ShardOwner      string
	ShardOwnerSince time.Time
	// PendingSamples are finishes that the host's owner has yet to be told.
	PendingSamples []RuntimeSample

	Draining          bool      // takes no new tasks, and goes once empty
	StartBackoffUntil time.Time // refused a launch for want of room: not before this
	FailedJobs        []string  // jobs whose tasks failed here since the last success
	LastFailure       time.Time // when the last did
	IdleSince         time.Time // since when nothing is on it
	Wake              chan struct{}
}

// TaskStatus is a task as a worker reported it.
type TaskStatus struct {
	Attempt  uint64
	Phase    string
	EndCause string    // of an end
	Since    time.Time // first seen in this phase
	Orphaned bool      // of a job that was lost, as far as is known: it is left alone
}

// RuntimeSample is what one finished task teaches.
type RuntimeSample struct {
	JobType, InstanceType string
	Duration              time.Duration
}

// Image is a bundle that a host fetched.
type Image struct {
	Name    string
	SizeGB  float64
	Pulling bool // not fetched yet, as far as is known
}

// NewWorker makes a host of which nothing was heard yet.
func NewWorker(name string) *Worker {
	return &Worker{Name: name, Tasks: make(map[ledger.Task]TaskStatus), Wake: make(chan struct{}, 1)}
}

// WakeSender wakes the host's sender.
func (worker *Worker) WakeSender() {
	select {
	case worker.Wake <- struct{}{}:
	default:
	}
}

// IsNewer tells whether a report is newer than what is known.
func (worker *Worker) IsNewer(heartbeat *wire.Heartbeat) bool {
	return heartbeat.Incarnation > worker.Incarnation || heartbeat.Incarnation == worker.Incarnation && heartbeat.Sequence > worker.Sequence
}

// HasImage tells whether the host has an image, as far as its tasks showed.
func (worker *Worker) HasImage(image string) bool {
	return slices.ContainsFunc(worker.Images, func(i Image) bool { return i.Name == image && !i.Pulling })
}

// RecordPull notes that a task was placed whose image the machine must fetch.
func (worker *Worker) RecordPull(image string, sizeGB float64) {
	if !slices.ContainsFunc(worker.Images, func(i Image) bool { return i.Name == image }) {
		worker.Images = slices.Insert(worker.Images, 0, Image{image, sizeGB, true})
	}
}

// RecordPullAbandoned notes that no task waits for an image any more: its fetch is given
// up.
func (worker *Worker) RecordPullAbandoned(image string) {
	worker.Images = slices.DeleteFunc(worker.Images, func(i Image) bool { return i.Name == image && i.Pulling })
}

// RecordImageUse notes that a task with an image runs: the machine has the image, and
// drops those longest unused past its cache.
func (worker *Worker) RecordImageUse(image string, sizeGB, cacheGB float64) {
	worker.Images = slices.DeleteFunc(worker.Images, func(i Image) bool { return i.Name == image })
	worker.Images = slices.Insert(worker.Images, 0, Image{image, sizeGB, false})
	totalGB := 0.0
	for i, im := range worker.Images {
		if totalGB += im.SizeGB; totalGB > cacheGB && i > 0 {
			worker.Images = worker.Images[:i]
			return
		}
	}
}

// Commands are the commands that bring a host from what it reported to what the
// claims say. A reap is given only in answer to a beat: a worker has one beat
// in flight, so no launch given in an earlier answer can come after it.
func (worker *Worker) Commands(claims map[ledger.Task]*ledger.Claim, epoch uint64, inAnswer bool) []wire.Command {
	var starts, stops, forgets []wire.Command
	for task, claim := range claims {
		reported, present := worker.Tasks[task]
		present = present && reported.Attempt == claim.Attempt
		switch {
		case claim.Finished || claim.Incarnation != worker.Incarnation:
		case claim.Job.Cancelled || claim.Stopping:
			if reported.Phase != wire.TaskExited {
				command := wire.Command{Action: wire.ActionStop, Task: task.String(), Attempt: claim.Attempt}
				if !claim.Job.Cancelled && reported.Phase != wire.TaskSaving {
					command.GraceSeconds = claim.Job.Spec.CheckpointSaveSeconds // it goes on elsewhere: let it save
				} else if !claim.Job.Cancelled {
					continue
				}
				stops = append(stops, command)
			}
		case !present && claim.Committed && !claim.Unconfirmed:
			claim.StartSent, claim.StartEpoch = true, epoch
			starts = append(starts, wire.Command{Action: wire.ActionStart, Task: task.String(), Attempt: claim.Attempt})
		}
	}
	for task, reported := range worker.Tasks {
		if claim := claims[task]; claim != nil && claim.Attempt == reported.Attempt || reported.Orphaned {
			continue
		}
		if reported.Phase != wire.TaskExited {
			stops = append(stops, wire.Command{Action: wire.ActionStop, Task: task.String(), Attempt: reported.Attempt})
		} else if inAnswer && !worker.CommandInFlight && worker.UnresolvedEpoch < max(worker.SeenEpoch, 1) {
			forgets = append(forgets, wire.Command{Action: wire.ActionForget, Task: task.String(), Attempt: reported.Attempt})
		}
	}
	return slices.Concat(stops, forgets, starts)
}
