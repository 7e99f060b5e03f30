package ledger

import (
	"cmp"
	"slices"
	"time"
)

// InheritedPriority is what a job has from those that need it.
type InheritedPriority struct {
	Priority  int         // the lower the higher
	Deadlines []time.Time // by objective: when it must be done for the last to be in time; zero: none
}

// DependenciesMet tells whether every job that this one needs is done. Until then none of
// its tasks may be claimed.
func (j *Job) DependenciesMet() bool {
	return len(j.unmetDependencies) == 0 && j.cancelledUpstream == ""
}

// CancelledUpstream names a withdrawn job that this one needs, directly or through others,
// or is "".
func (j *Job) CancelledUpstream() string { return j.cancelledUpstream }

// UnmetDependencies are the jobs that are not known to be done yet, in order.
func (j *Job) UnmetDependencies() []string {
	var refs []string
	for ref := range j.unmetDependencies {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	return refs
}

// Dependents are the jobs that wait for this one.
func (t *Table) Dependents(job *Job) []*Job { return t.dependents[job.Ref] }

// addDependencies notes what a new job waits for.
func (t *Table) addDependencies(job *Job) {
	for _, ref := range job.Spec.DependsOn {
		if job.unmetDependencies[ref] || ref == job.Ref {
			continue
		}
		if job.unmetDependencies == nil {
			job.unmetDependencies = make(map[string]bool)
		}
		job.unmetDependencies[ref] = true
		t.dependents[ref] = append(t.dependents[ref], job)
	}
	t.resetInherited(job)
	for ref := range job.unmetDependencies {
		if dependency := t.jobs[ref]; dependency != nil && dependency.cancelledUpstream != "" {
			t.markUpstreamCancelled(job, dependency.cancelledUpstream)
		}
	}
}

// UnresolvedDependencies are jobs that others wait for and that this ledger does not know to be
// live: whether they are done or withdrawn must be looked up. So it is for what
// ended in an earlier term, and for what ended before a late needer came.
func (t *Table) UnresolvedDependencies() []string {
	var refs []string
	for ref := range t.dependents {
		if job := t.jobs[ref]; job == nil || job.Cancelled {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

// ResolveDependency takes in the durable end of a job that others wait for, and returns
// those that are ready by it.
func (t *Table) ResolveDependency(ref string, done bool, at time.Time) []*Job {
	if done {
		return t.markDependencyDone(ref, at)
	}
	t.markDependentsCancelled(ref)
	return nil
}

// markDependencyDone notes that a job is durably done.
func (t *Table) markDependencyDone(ref string, at time.Time) []*Job {
	var ready []*Job
	for _, job := range t.dependents[ref] {
		delete(job.unmetDependencies, ref)
		if at.After(job.ReadyAt) {
			job.ReadyAt = at
		}
		if job.DependenciesMet() && !job.Cancelled {
			job.WaitingSince = job.ReadyAt
			ready = append(ready, job)
		}
	}
	delete(t.dependents, ref)
	return ready
}

// markDependentsCancelled has every job that needs a withdrawn one withdrawn too.
func (t *Table) markDependentsCancelled(ref string) {
	for _, job := range t.dependents[ref] {
		t.markUpstreamCancelled(job, ref)
	}
	delete(t.dependents, ref)
}

// markUpstreamCancelled marks a job, and all that need it through however many others.
func (t *Table) markUpstreamCancelled(job *Job, cause string) {
	for pending := []*Job{job}; len(pending) > 0; {
		job = pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if job.cancelledUpstream != "" || job.Cancelled {
			continue
		}
		job.cancelledUpstream = cause
		t.toCancel = append(t.toCancel, job)
		pending = append(pending, t.dependents[job.Ref]...)
	}
}

// JobsToCancel are up to n jobs that are to be withdrawn because of what they
// need, in the order in which they came to be.
func (t *Table) JobsToCancel(limit int) []*Job {
	t.toCancel = slices.DeleteFunc(t.toCancel, func(job *Job) bool { return job.Cancelled })
	return slices.Clone(t.toCancel[:min(limit, len(t.toCancel))])
}

// ModRevision is the revision of the job's live key.
func (j *Job) ModRevision() uint64 { return j.modRevision }

// Record is the job as stored.
func (j *Job) Record() JobRecord {
	return JobRecord{Job: j.Spec, SubmittedMS: j.SubmittedAt.UnixMilli(), ChunkTasks: j.chunkTasks, Origin: j.Origin}
}

// removeDependencies notes that a job was withdrawn: it waits for nothing any more, and
// those that wait for it never run.
func (t *Table) removeDependencies(job *Job) {
	t.resetInherited(job)
	for ref := range job.unmetDependencies {
		t.dependents[ref] = slices.DeleteFunc(t.dependents[ref], func(other *Job) bool { return other == job })
		if len(t.dependents[ref]) == 0 {
			delete(t.dependents, ref)
		}
	}
	job.unmetDependencies = nil
	t.markDependentsCancelled(job.Ref)
}

// resetInherited has the lift of all that a job needs, through however many others, be
// computed again. A job without one has none above it, so the walk ends there.
func (t *Table) resetInherited(job *Job) {
	for pending := []*Job{job}; len(pending) > 0; {
		job = pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for ref := range job.unmetDependencies {
			if dependency := t.jobs[ref]; dependency != nil && dependency.Inherited != nil {
				dependency.Inherited = nil
				pending = append(pending, dependency)
			}
		}
	}
}

// BlockedJobs are the jobs that wait for others, by reference.
func (t *Table) BlockedJobs() []*Job {
	seen := make(map[*Job]bool)
	var jobs []*Job
	for _, dependents := range t.dependents {
		for _, job := range dependents {
			if !seen[job] {
				seen[job] = true
				jobs = append(jobs, job)
			}
		}
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.Ref, b.Ref) })
	return jobs
}
