package cancellation

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rillflow/internal/wire"
)

// Set holds the recently committed cancellations that have reached this controller. It is
// safe for concurrent use.
type Set struct {
	options   Options
	startedAt time.Time

	mu       sync.Mutex // guards all below
	entries  map[string]*entry
	complete bool // a complete set has been merged into this one
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
	// StoreUnavailable reports whether the key-value store has stopped answering this
	// controller.
	StoreUnavailable func() bool
	// Now returns the current time.
	Now func() time.Time
}

// entry is the cancellation of one job.
type entry struct {
	recordedAt     time.Time
	acknowledgedBy map[string]bool // peers that have sent or acknowledged this cancellation
}

const (
	// retentionFactor is the time for which a cancellation is retained, as a multiple of the
	// stop deadline.
	retentionFactor = 2
	// pruneIntervalDivisor divides the stop deadline to give the minimum interval between
	// two prunings of the set.
	pruneIntervalDivisor = 8
	// operationsPerCancellation is the number of store write operations that one
	// cancellation takes.
	operationsPerCancellation = 2
	// capacityFactor leaves room for as many cancellations again: those that a restarted
	// controller merges from a peer are retained anew, since their age is not known.
	capacityFactor = 2
)

// New returns an empty set.
func New(options Options) *Set {
	return &Set{options: options, startedAt: options.Now(), entries: make(map[string]*entry)}
}

// Capacity returns how many cancellations a set must have room for: as many jobs as can be
// cancelled until they are pruned, given the store's limit of write operations per second,
// which all controllers share, and as many merged from a peer.
func Capacity(writeRPS float64, stopDeadline time.Duration) int {
	prunedAfter := retentionFactor*stopDeadline + stopDeadline/pruneIntervalDivisor
	return int(capacityFactor * writeRPS / operationsPerCancellation * prunedAfter.Seconds())
}

// Add records jobs whose cancellation has been committed and reports whether the set had
// room for them. from is the peer that sent them, or "" if no peer did.
func (s *Set) Add(from string, jobIDs ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addLocked(from, jobIDs)
}

// AddComplete adds the entire set of a synced peer or, with from "", all cancelled jobs
// that a new leader found in the store and whose tasks may still run. It reports whether
// there was room for them; if so, the set is synced from then on.
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
		cancellation := s.entries[jobID]
		if cancellation == nil {
			if len(s.entries) >= s.options.Capacity {
				return false
			}
			cancellation = &entry{recordedAt: s.options.Now(), acknowledgedBy: make(map[string]bool)}
			s.entries[jobID] = cancellation
		}
		if from != "" {
			cancellation.acknowledgedBy[from] = true
		}
	}
	return true
}

// pruneLocked removes cancellations whose retention period has expired. None is removed
// while the store is unavailable: a delayed start command may still arrive, and only the
// entry in this set would stop the task again. The caller holds s.mu.
func (s *Set) pruneLocked() {
	now := s.options.Now()
	if now.Sub(s.prunedAt) < s.options.StopDeadline/pruneIntervalDivisor || s.options.StoreUnavailable() {
		return
	}
	s.prunedAt = now
	for jobID, cancellation := range s.entries {
		if now.Sub(cancellation.recordedAt) > retentionFactor*s.options.StopDeadline {
			delete(s.entries, jobID)
		}
	}
}

// JobIDs returns the cancelled jobs of the set, sorted.
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

// Synced reports whether the set holds every cancellation that was acknowledged to a user
// and whose tasks may still run, except those that a leader has accepted responsibility
// for. A process that has just started has lost the cancellations that it held before; it
// is synced once it has run for longer than the stop deadline or has merged the set of a
// synced controller.
func (s *Set) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete || s.options.Now().Sub(s.startedAt) > s.options.StopDeadline
}

// AmendCommands returns the commands for a worker with a stop command added for each task
// of a cancelled job in its heartbeat, and without start commands for such tasks.
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
	// A start command issued before the cancellation arrived must not take effect after it.
	return slices.DeleteFunc(commands, func(command wire.Command) bool {
		return command.Action == wire.ActionStart && s.coversTaskLocked(command.Task)
	})
}

// containsStop reports whether the commands already stop this attempt of the task.
func containsStop(commands []wire.Command, task wire.TaskStatus) bool {
	return slices.ContainsFunc(commands, func(command wire.Command) bool {
		return command.Action == wire.ActionStop && command.Task == task.Task && command.Attempt == task.Attempt
	})
}

// coversTaskLocked reports whether a task belongs to a cancelled job of the set. The caller
// holds s.mu.
func (s *Set) coversTaskLocked(task string) bool {
	jobID, _, _ := strings.Cut(task, "/")
	return s.entries[jobID] != nil
}
