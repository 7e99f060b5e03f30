// Package cancellation keeps a promise: once a user was told that a job is withdrawn, its
// tasks are gone in time, whatever becomes of the state service. So before a user is told,
// every controller that may still answer a worker knows of it, or one that leads has taken
// it upon itself. To stop a task of a withdrawn job harms nobody and needs no leadership.
package cancellation

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rillflow/internal/wire"
)

// Options are what Notices are kept by.
type Options struct {
	StopDeadline     time.Duration // in which the tasks of a withdrawn job must be gone
	Capacity         int           // notices at most
	Peers            []string
	StoreUnavailable func() bool // whether the state service has not answered for long
	Now              func() time.Time
}

// Set are the withdrawals that were committed lately, as far as this node knows.
type Set struct {
	options   Options
	startedAt time.Time

	mu        sync.Mutex
	entries   map[string]*entry
	inherited bool // of one that is not young
	prunedAt  time.Time
}

type entry struct {
	recordedAt     time.Time
	acknowledgedBy map[string]bool // peers that are known to know
}

// New makes an empty set of notices.
func New(options Options) *Set {
	return &Set{options: options, startedAt: options.Now(), entries: make(map[string]*entry)}
}

// Capacity is how many jobs can be withdrawn while a notice is kept, at so many changes
// a second of the state service: each takes two, and all controllers share them.
func Capacity(writeRPS float64, stopDeadline time.Duration) int {
	return int(writeRPS / 2 * retentionFactor * stopDeadline.Seconds())
}

// retentionFactor is for how long a notice is kept, as a ratio to the time in which the tasks must
// be gone.
const retentionFactor = 2

// Add notes jobs whose withdrawal is committed, and tells whether there was room. from is
// the peer that told of them, or "".
func (s *Set) Add(from string, jobIDs ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addLocked(from, jobIDs)
}

// addLocked is Add with the lock held.
func (s *Set) addLocked(from string, jobIDs []string) bool {
	s.pruneLocked()
	for _, jobID := range jobIDs {
		known := s.entries[jobID]
		if known == nil {
			if len(s.entries) >= s.options.Capacity {
				return false
			}
			known = &entry{recordedAt: s.options.Now(), acknowledgedBy: make(map[string]bool)}
			s.entries[jobID] = known
		}
		if from != "" {
			known.acknowledgedBy[from] = true
		}
	}
	return true
}

// pruneLocked drops what has served its time. Nothing is dropped while the state service does
// not answer: a command that is held up may still start what only this notice stops.
// Run it with the lock held.
func (s *Set) pruneLocked() {
	now := s.options.Now()
	if now.Sub(s.prunedAt) < s.options.StopDeadline/8 || s.options.StoreUnavailable() {
		return
	}
	s.prunedAt = now
	for jobID, known := range s.entries {
		if now.Sub(known.recordedAt) > retentionFactor*s.options.StopDeadline {
			delete(s.entries, jobID)
		}
	}
}

// JobIDs are the jobs that are known to be withdrawn, by name.
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

// unacknowledgedBy are the jobs that a peer is not known to know, by name.
func (s *Set) unacknowledgedBy(peer string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobIDs []string
	for jobID, known := range s.entries {
		if !known.acknowledgedBy[peer] {
			jobIDs = append(jobIDs, jobID)
		}
	}
	slices.Sort(jobIDs)
	return jobIDs
}

// acknowledge notes that a peer knows of jobs.
func (s *Set) acknowledge(peer string, jobIDs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, jobID := range jobIDs {
		if known := s.entries[jobID]; known != nil {
			known.acknowledgedBy[peer] = true
		}
	}
}

// forgetAcknowledgements notes a new connection to a peer: its process may be another, which knows
// nothing.
func (s *Set) forgetAcknowledgements(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.entries {
		delete(known.acknowledgedBy, peer)
	}
}

// Synced tells whether this node knows of every withdrawal that users were told of and
// whose tasks may still be there, those told of by a leader that has taken them upon
// itself aside: it has been there since, or has it from one that was. A process that has
// just begun has forgotten what it was told.
func (s *Set) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inherited || s.options.Now().Sub(s.startedAt) > s.options.StopDeadline
}

// AddComplete takes over all that a settled peer knows, or, from "", all that a new leader
// found whose tasks may be left. It tells whether there was room.
func (s *Set) AddComplete(from string, jobIDs ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := s.addLocked(from, jobIDs)
	s.inherited = s.inherited || accepted
	return accepted
}

// AmendCommands adds to the orders for a worker those that end tasks of withdrawn jobs on it.
func (s *Set) AmendCommands(heartbeat *wire.Heartbeat, commands []wire.Command) []wire.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) == 0 {
		return commands
	}
	for _, task := range heartbeat.Tasks {
		if !s.coversTaskLocked(task.Task) || task.Phase == wire.TaskExited ||
			slices.ContainsFunc(commands, func(command wire.Command) bool {
				return command.Action == wire.ActionStop && command.Task == task.Task && command.Attempt == task.Attempt
			}) {
			continue
		}
		commands = append(commands, wire.Command{Action: wire.ActionStop, Task: task.Task, Attempt: task.Attempt})
	}
	// An order that was made before the notice came starts nothing after it.
	return slices.DeleteFunc(commands, func(command wire.Command) bool {
		return command.Action == wire.ActionStart && s.coversTaskLocked(command.Task)
	})
}

// coversTaskLocked tells whether a task is of a job that is known to be withdrawn. Run it with the lock
// held.
func (s *Set) coversTaskLocked(task string) bool {
	jobID, _, _ := strings.Cut(task, "/")
	return s.entries[jobID] != nil
}
