package ledger

import (
	"cmp"
	"slices"
	"time"
)

// InheritedPriority is what a job has from the jobs that depend on it.
type InheritedPriority struct {
	Priority  int         // the lower the higher
	Deadlines []time.Time // by objective: when the job must be done for the last dependent to be in time; zero: none
}

// DependenciesMet reports whether every job that this one depends on is durably done. Until
// then none of its tasks may be claimed.
func (j *Job) DependenciesMet() bool {
	return len(j.unmetDependencies) == 0 && j.cancelledUpstream == ""
}

// CancelledUpstream names a cancelled job that this one depends on, directly or through
// others, or is "".
func (j *Job) CancelledUpstream() string { return j.cancelledUpstream }

// UnmetDependencies are the jobs that this one depends on and that are not known to be done,
// in order.
func (j *Job) UnmetDependencies() []string {
	var refs []string
	for ref := range j.unmetDependencies {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	return refs
}

// dependencyGraph holds which jobs wait for which. A job that is durably done or cancelled is
// no longer in it.
type dependencyGraph struct {
	jobs       map[string]*Job   // the table's
	dependents map[string][]*Job // by the job that they depend on
	toCancel   []*Job            // by a cancelled upstream job
}

func newDependencyGraph(jobs map[string]*Job) *dependencyGraph {
	return &dependencyGraph{jobs: jobs, dependents: make(map[string][]*Job)}
}

func (g *dependencyGraph) hasDependents(job *Job) bool { return len(g.dependents[job.ID]) > 0 }

// add notes what a new job depends on. The job shares the fate of a dependency that is to be
// cancelled at once.
func (g *dependencyGraph) add(job *Job) {
	for _, ref := range job.Spec.DependsOn {
		if job.unmetDependencies[ref] || ref == job.ID {
			continue
		}
		if job.unmetDependencies == nil {
			job.unmetDependencies = make(map[string]bool)
		}
		job.unmetDependencies[ref] = true
		g.dependents[ref] = append(g.dependents[ref], job)
	}
	g.resetInherited(job)
	for ref := range job.unmetDependencies {
		if dependency := g.jobs[ref]; dependency != nil && dependency.cancelledUpstream != "" {
			g.cancelDownstream(job, dependency.cancelledUpstream, dependency.cancelPendingFrom)
		}
	}
}

// markDone notes that a job is durably done, and returns the jobs that now wait for no other.
func (g *dependencyGraph) markDone(ref string, at time.Time) []*Job {
	var ready []*Job
	for _, job := range g.dependents[ref] {
		delete(job.unmetDependencies, ref)
		if at.After(job.ReadyAt) {
			job.ReadyAt = at
		}
		if job.DependenciesMet() && !job.Cancelled {
			job.WaitingSince = job.ReadyAt
			ready = append(ready, job)
		}
	}
	delete(g.dependents, ref)
	return ready
}

// markCancelled notes that a job is durably cancelled: all that depend on it are to be
// cancelled too.
func (g *dependencyGraph) markCancelled(ref string, at time.Time) {
	for _, job := range g.dependents[ref] {
		g.cancelDownstream(job, ref, at)
	}
	delete(g.dependents, ref)
}

// cancelDownstream marks a job, and all that depend on it through however many others, as to
// be cancelled because of a job that was cancelled at a time.
func (g *dependencyGraph) cancelDownstream(job *Job, cancelled string, at time.Time) {
	for pending := []*Job{job}; len(pending) > 0; {
		job = pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if job.cancelledUpstream != "" || job.Cancelled {
			continue
		}
		job.cancelledUpstream, job.cancelPendingFrom = cancelled, laterOf(at, job.ArrivedAt)
		g.toCancel = append(g.toCancel, job)
		pending = append(pending, g.dependents[job.ID]...)
	}
}

// removeCancelled removes a cancelled job: it waits for nothing any more, and those that wait
// for it never run.
func (g *dependencyGraph) removeCancelled(job *Job) {
	g.resetInherited(job)
	for ref := range job.unmetDependencies {
		isJob := func(other *Job) bool { return other == job }
		g.dependents[ref] = slices.DeleteFunc(g.dependents[ref], isJob)
		if len(g.dependents[ref]) == 0 {
			delete(g.dependents, ref)
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

// resetInherited has the inherited priority of all that a job depends on, through however many
// others, be computed again. A job without one has none above it, so the walk ends there.
func (g *dependencyGraph) resetInherited(job *Job) {
	for pending := []*Job{job}; len(pending) > 0; {
		job = pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for ref := range job.unmetDependencies {
			if dependency := g.jobs[ref]; dependency != nil && dependency.Inherited != nil {
				dependency.Inherited = nil
				pending = append(pending, dependency)
			}
		}
	}
}

// Dependents are the jobs that depend on this one and wait for it.
func (t *Table) Dependents(job *Job) []*Job { return t.dependencies.dependents[job.ID] }

// UnresolvedDependencies are the jobs, in order, that others wait for and that the table does
// not know to be live: whether they are done or cancelled must be looked up. So it is for what
// ended in an earlier term, and for what ended before a late dependent came.
func (t *Table) UnresolvedDependencies() []string {
	var refs []string
	for ref := range t.dependencies.dependents {
		if job := t.jobs[ref]; job == nil || job.Cancelled {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

// ResolveDependency notes the durable end of a job that others wait for, done or cancelled,
// and returns those that now wait for no other.
func (t *Table) ResolveDependency(ref string, done bool, at time.Time) []*Job {
	if done {
		return t.dependencies.markDone(ref, at)
	}
	t.dependencies.markCancelled(ref, at)
	return nil
}

// PendingCancellation is a job that is to be cancelled because of a cancelled one.
type PendingCancellation struct {
	Job   string
	Cause string    // the cancelled job that it depends on
	Since time.Time // the cause was cancelled or, if that was later, the job came
}

// OldestPendingCancellation returns the job that waits longest to be cancelled because of another,
// if there is one.
func (t *Table) OldestPendingCancellation() (oldest PendingCancellation, ok bool) {
	for _, job := range t.dependencies.toCancel {
		if !job.Cancelled && (!ok || job.cancelPendingFrom.Before(oldest.Since)) {
			oldest = PendingCancellation{Job: job.ID, Cause: job.cancelledUpstream, Since: job.cancelPendingFrom}
			ok = true
		}
	}
	return oldest, ok
}

// JobsToCancel are up to limit jobs that are to be cancelled because one that they depend on
// was, in the order in which that was found.
func (t *Table) JobsToCancel(limit int) []*Job {
	g := t.dependencies
	g.toCancel = slices.DeleteFunc(g.toCancel, func(job *Job) bool { return job.Cancelled })
	return slices.Clone(g.toCancel[:min(limit, len(g.toCancel))])
}

// BlockedJobs are the jobs that wait for others, by reference.
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
