package ledger

import (
	"cmp"
	"slices"
	"time"
)

// InheritedPriority is the priority and the deadlines that a job inherits from the jobs that
// depend on it.
type InheritedPriority struct {
	Priority  int         // a lower number is a higher priority
	Deadlines []time.Time // by objective: when the job must be done for its last dependent to be on time; zero: none
}

// DependenciesMet reports whether every job that this one depends on is durably done. Until
// then none of its tasks may be claimed.
func (j *Job) DependenciesMet() bool {
	return len(j.unmetDependencies) == 0 && j.cancelledUpstream == ""
}

// CancelledUpstream returns the ID of a cancelled job that this one depends on, directly or
// transitively, or "".
func (j *Job) CancelledUpstream() string { return j.cancelledUpstream }

// UnmetDependencies returns the IDs of the jobs that this one depends on and that are not known
// to be done, sorted.
func (j *Job) UnmetDependencies() []string {
	var dependencyIDs []string
	for dependencyID := range j.unmetDependencies {
		dependencyIDs = append(dependencyIDs, dependencyID)
	}
	slices.Sort(dependencyIDs)
	return dependencyIDs
}

// dependencyGraph holds the unmet dependencies between jobs. A job is removed once it is recorded as
// durably done or cancelled.
type dependencyGraph struct {
	jobs       map[string]*Job   // the jobs of the Table, by ID
	dependents map[string][]*Job // by the ID of the job that they depend on
	toCancel   []*Job            // jobs to be cancelled because an upstream job was
}

func newDependencyGraph(jobs map[string]*Job) *dependencyGraph {
	return &dependencyGraph{jobs: jobs, dependents: make(map[string][]*Job)}
}

func (g *dependencyGraph) hasDependents(job *Job) bool { return len(g.dependents[job.ID]) > 0 }

// add adds a new job's dependencies to the graph. If one of them is already to be cancelled, so is
// the new job.
func (g *dependencyGraph) add(job *Job) {
	for _, dependencyID := range job.Spec.DependsOn {
		if job.unmetDependencies[dependencyID] || dependencyID == job.ID {
			continue
		}
		if job.unmetDependencies == nil {
			job.unmetDependencies = make(map[string]bool)
		}
		job.unmetDependencies[dependencyID] = true
		g.dependents[dependencyID] = append(g.dependents[dependencyID], job)
	}
	g.resetInheritedPriorities(job)
	for dependencyID := range job.unmetDependencies {
		if dependency := g.jobs[dependencyID]; dependency != nil && dependency.cancelledUpstream != "" {
			g.cancelDownstream(job, dependency.cancelledUpstream, dependency.cancelPendingSince)
		}
	}
}

// markDone records that a job is durably done, and returns the jobs whose last unmet dependency it
// was.
func (g *dependencyGraph) markDone(jobID string, at time.Time) []*Job {
	var ready []*Job
	for _, job := range g.dependents[jobID] {
		delete(job.unmetDependencies, jobID)
		if at.After(job.ReadyAt) {
			job.ReadyAt = at
		}
		if job.DependenciesMet() && !job.Cancelled {
			job.WaitingSince = job.ReadyAt
			ready = append(ready, job)
		}
	}
	delete(g.dependents, jobID)
	return ready
}

// markCancelled records that a job is durably cancelled, and marks all that depend on it as to be
// cancelled too.
func (g *dependencyGraph) markCancelled(jobID string, at time.Time) {
	for _, job := range g.dependents[jobID] {
		g.cancelDownstream(job, jobID, at)
	}
	delete(g.dependents, jobID)
}

// cancelDownstream marks a job, and all that depend on it directly or transitively, as to be
// cancelled because of a job that was cancelled at a given time.
func (g *dependencyGraph) cancelDownstream(job *Job, cancelledID string, at time.Time) {
	for pending := []*Job{job}; len(pending) > 0; {
		job = pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if job.cancelledUpstream != "" || job.Cancelled {
			continue
		}
		job.cancelledUpstream, job.cancelPendingSince = cancelledID, laterOf(at, job.ArrivedAt)
		g.toCancel = append(g.toCancel, job)
		pending = append(pending, g.dependents[job.ID]...)
	}
}

// removeCancelled removes a cancelled job from the graph and marks its dependents as to be
// cancelled.
func (g *dependencyGraph) removeCancelled(job *Job) {
	g.resetInheritedPriorities(job)
	for dependencyID := range job.unmetDependencies {
		isJob := func(other *Job) bool { return other == job }
		g.dependents[dependencyID] = slices.DeleteFunc(g.dependents[dependencyID], isJob)
		if len(g.dependents[dependencyID]) == 0 {
			delete(g.dependents, dependencyID)
		}
	}
	job.unmetDependencies = nil
	g.markCancelled(job.ID, job.CancelledAt)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// resetInheritedPriorities clears the inherited priority of all jobs that a job depends on, directly
// or transitively, so that it is computed again. It stops at jobs whose inherited priority is
// already cleared, since that of the jobs upstream of them is cleared too.
func (g *dependencyGraph) resetInheritedPriorities(job *Job) {
	for pending := []*Job{job}; len(pending) > 0; {
		job = pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for dependencyID := range job.unmetDependencies {
			if dependency := g.jobs[dependencyID]; dependency != nil && dependency.Inherited != nil {
				dependency.Inherited = nil
				pending = append(pending, dependency)
			}
		}
	}
}

// Dependents returns the jobs that depend on this one and wait for it.
func (t *Table) Dependents(job *Job) []*Job { return t.dependencies.dependents[job.ID] }

// UnresolvedDependencies returns the IDs, sorted, of the jobs that others wait for and that are
// not live in the table: whether they are done or cancelled must be looked up in the store. They
// are jobs that ended in an earlier term, or before one of their dependents was submitted.
func (t *Table) UnresolvedDependencies() []string {
	var dependencyIDs []string
	for dependencyID := range t.dependencies.dependents {
		if job := t.jobs[dependencyID]; job == nil || job.Cancelled {
			dependencyIDs = append(dependencyIDs, dependencyID)
		}
	}
	slices.Sort(dependencyIDs)
	return dependencyIDs
}

// ResolveDependency records that a job that others wait for has durably ended, done or cancelled,
// and returns the jobs whose last unmet dependency it was.
func (t *Table) ResolveDependency(jobID string, done bool, at time.Time) []*Job {
	if done {
		return t.dependencies.markDone(jobID, at)
	}
	t.dependencies.markCancelled(jobID, at)
	return nil
}

// PendingCancellation is a job that is to be cancelled because one that it depends on was.
type PendingCancellation struct {
	JobID string
	Cause string    // the cancelled job that it depends on
	Since time.Time // when the cause was cancelled or the job was submitted, whichever is later
}

// OldestPendingCancellation returns the pending cancellation that has waited longest, if there is
// one.
func (t *Table) OldestPendingCancellation() (oldest PendingCancellation, ok bool) {
	for _, job := range t.dependencies.toCancel {
		if !job.Cancelled && (!ok || job.cancelPendingSince.Before(oldest.Since)) {
			oldest = PendingCancellation{JobID: job.ID, Cause: job.cancelledUpstream, Since: job.cancelPendingSince}
			ok = true
		}
	}
	return oldest, ok
}

// JobsToCancel returns up to limit jobs that are to be cancelled because one that they depend on
// was, in the order in which they were marked.
func (t *Table) JobsToCancel(limit int) []*Job {
	g := t.dependencies
	g.toCancel = slices.DeleteFunc(g.toCancel, func(job *Job) bool { return job.Cancelled })
	return slices.Clone(g.toCancel[:min(limit, len(g.toCancel))])
}

// BlockedJobs returns the jobs that wait for others, sorted by ID.
func (t *Table) BlockedJobs() []*Job {
	seen := make(map[*Job]bool)
	var jobs []*Job
	for _, dependents := range t.dependencies.dependents {
		for _, job := range dependents {
			if !seen[job] {
				seen[job] = true
				jobs = append(jobs, job)
			}
		}
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}
