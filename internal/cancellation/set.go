package cancellation

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rillflow/internal/wire"
)

// Set is the set of recently committed cancellations that this controller knows of. It
// is safe for concurrent use.
type Set struct {
	options   Options
	startedAt time.Time

	mu       sync.Mutex // guards all below
	entries  map[string]*entry
	complete bool // a complete set was merged into this one
	prunedAt time.Time
}

// Options configure a [Set].
type Options struct {
	// StopDeadline is the time within which the tasks of a cancelled job must have stopped.
	StopDeadline time.Duration
	// Capacity is the maximum number of cancellations in the set.
	Capacity int
	// Peers are the names of the other controllers.
	Peers []string
	// StoreUnavailable reports whether the key-value store has not answered for long.
	StoreUnavailable func() bool
	// Now is the clock.
	Now func() time.Time
}

// entry is one cancelled job.
type entry struct {
	recordedAt     time.Time
	acknowledgedBy map[string]bool // peers that are known to have this cancellation
}

const (
	// retentionFactor is how long a cancellation is kept, as a multiple of the stop deadline.
	retentionFactor = 2
	// pruneIntervalFraction divides the stop deadline: the set is pruned no more often.
	pruneIntervalFraction = 8
	// operationsPerCancellation is what one cancellation takes of the store's write budget.
	operationsPerCancellation = 2
)

// New returns an empty set.
func New(options Options) *Set {
	return &Set{options: options, startedAt: options.Now(), entries: make(map[string]*entry)}
}

// Capacity returns how many jobs can be cancelled while a cancellation is kept, given the
// store's budget of operations a second, which all controllers share.
func Capacity(writeRPS float64, stopDeadline time.Duration) int {
	return int(writeRPS / operationsPerCancellation * retentionFactor * stopDeadline.Seconds())
}

// Add records jobs whose cancellation is committed and reports whether the set had room
// for them. from is the peer that sent them, or "".
func (s *Set) Add(from string, jobIDs ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addLocked(from, jobIDs)
}

// AddComplete adds everything that a synced peer knows, or, with from "", everything that
// a new leader found in the store whose tasks may still run. The set is synced from then
// on. It reports whether there was room.
func (s *Set) AddComplete(from string, jobIDs ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := s.addLocked(from, jobIDs)
	s.complete = s.complete || accepted
	return accepted
}

// addLocked is [Set.Add] with s.mu held.
func (s *Set) addLocked(from string, jobIDs []string) bool {
	s.pruneLocked()
	for _, jobID := range jobIDs {
		cancelled := s.entries[jobID]
		if cancelled == nil {
			if len(s.entries) >= s.options.Capacity {
				return false
			}
			cancelled = &entry{recordedAt: s.options.Now(), acknowledgedBy: make(map[string]bool)}
			s.entries[jobID] = cancelled
		}
		if from != "" {
			cancelled.acknowledgedBy[from] = true
		}
	}
	return true
}

// pruneLocked drops cancellations whose retention is over. None is dropped while the
// store is unavailable: a delayed start command may still arrive, and only its entry here
// would stop the task again. The caller holds s.mu.
func (s *Set) pruneLocked() {
	now := s.options.Now()
	if now.Sub(s.prunedAt) < s.options.StopDeadline/pruneIntervalFraction || s.options.StoreUnavailable() {
		return
	}
	s.prunedAt = now
	for jobID, cancelled := range s.entries {
		if now.Sub(cancelled.recordedAt) > retentionFactor*s.options.StopDeadline {
			delete(s.entries, jobID)
		}
	}
}

// JobIDs returns the jobs that are known to be cancelled, sorted.
func (s *Set) JobIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneLocked()
	jobIDs := make([]string, 0, len(s.entries))
	for jobID := range s.entries {
		jobIDs = append(jobIDs, jobID)
	}
	slices.Sort(jobIDs)
	return jobIDs
}

// Synced reports whether this controller knows every cancellation that was acknowledged
// to a user and whose tasks may still run, other than those a leader has accepted
// responsibility for. That is so once the process has run for longer than the stop
// deadline, or has merged the set of a synced controller: a process that has just
// started has lost what it was told before.
func (s *Set) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete || s.options.Now().Sub(s.startedAt) > s.options.StopDeadline
}

// AmendCommands returns the commands for a worker with a stop added for each task of a
// cancelled job in its heartbeat, and without starts of such tasks.
func (s *Set) AmendCommands(heartbeat *wire.Heartbeat, commands []wire.Command) []wire.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) == 0 {
		return commands
	}
	for _, task := range heartbeat.Tasks {
		if task.Phase == wire.TaskExited || !s.coversTaskLocked(task.Task) || containsStop(commands, task) {
			continue
		}
		commands = append(commands, wire.Command{Action: wire.ActionStop, Task: task.Task, Attempt: task.Attempt})
	}
	// A start that was decided before the cancellation arrived must not take effect after it.
	return slices.DeleteFunc(commands, func(command wire.Command) bool {
		return command.Action == wire.ActionStart && s.coversTaskLocked(command.Task)
	})
}

// containsStop reports whether the commands already stop a task's attempt.
func containsStop(commands []wire.Command, task wire.TaskStatus) bool {
	return slices.ContainsFunc(commands, func(command wire.Command) bool {
		return command.Action == wire.ActionStop && command.Task == task.Task && command.Attempt == task.Attempt
	})
}

// coversTaskLocked reports whether a task belongs to a job that is known to be cancelled.
// The caller holds s.mu.
func (s *Set) coversTaskLocked(task string) bool {
	jobID, _, _ := strings.Cut(task, "/")
	return s.entries[jobID] != nil
}
