package ledger

import (
	"cmp"
	"slices"
	"time"
)

// Lift is what a job has from those that need it.
type Lift struct {
	Rank int         // the lower the higher
	Due  []time.Time // by objective: when it must be done for the last to be in time; zero: none
}

// Ready tells whether every job that this one needs is done. Until then none of
// its tasks may be claimed.
func (j *Job) Ready() bool { return len(j.needs) == 0 && j.doomed == "" }

// Doomed names a withdrawn job that this one needs, directly or through others,
// or is "".
func (j *Job) Doomed() string { return j.doomed }

// WaitsOn are the jobs that are not known to be done yet, in order.
func (j *Job) WaitsOn() []string {
	var rs []string
	for r := range j.needs {
		rs = append(rs, r)
	}
	slices.Sort(rs)
	return rs
}

// Needers are the jobs that wait for this one.
func (l *Ledger) Needers(j *Job) []*Job { return l.needers[j.Ref] }

// await notes what a new job waits for.
func (l *Ledger) await(j *Job) {
	for _, ref := range j.Spec.DependsOn {
		if j.needs[ref] || ref == j.Ref {
			continue
		}
		if j.needs == nil {
			j.needs = make(map[string]bool)
		}
		j.needs[ref] = true
		l.needers[ref] = append(l.needers[ref], j)
	}
	l.unlift(j)
	for ref := range j.needs {
		if n := l.jobs[ref]; n != nil && n.doomed != "" {
			l.doom(j, n.doomed)
		}
	}
}

// Unknown are jobs that others wait for and that this ledger does not know to be
// live: whether they are done or withdrawn must be looked up. So it is for what
// ended in an earlier term, and for what ended before a late needer came.
func (l *Ledger) Unknown() []string {
	var rs []string
	for ref := range l.needers {
		if n := l.jobs[ref]; n == nil || n.Withdrawn {
			rs = append(rs, ref)
		}
	}
	slices.Sort(rs)
	return rs
}

// Settle takes in the durable end of a job that others wait for, and returns
// those that are ready by it.
func (l *Ledger) Settle(ref string, done bool, at time.Time) []*Job {
	if done {
		return l.satisfy(ref, at)
	}
	l.doomAll(ref)
	return nil
}

// satisfy notes that a job is durably done.
func (l *Ledger) satisfy(ref string, at time.Time) []*Job {
	var ready []*Job
	for _, j := range l.needers[ref] {
		delete(j.needs, ref)
		if at.After(j.ReadyAt) {
			j.ReadyAt = at
		}
		if j.Ready() && !j.Withdrawn {
			j.WaitingSince = j.ReadyAt
			ready = append(ready, j)
		}
	}
	delete(l.needers, ref)
	return ready
}

// doomAll has every job that needs a withdrawn one withdrawn too.
func (l *Ledger) doomAll(ref string) {
	for _, j := range l.needers[ref] {
		l.doom(j, ref)
	}
	delete(l.needers, ref)
}

// doom marks a job, and all that need it through however many others.
func (l *Ledger) doom(j *Job, cause string) {
	for todo := []*Job{j}; len(todo) > 0; {
		j = todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if j.doomed != "" || j.Withdrawn {
			continue
		}
		j.doomed = cause
		l.doomed = append(l.doomed, j)
		todo = append(todo, l.needers[j.Ref]...)
	}
}

// ToWithdraw are up to n jobs that are to be withdrawn because of what they
// need, in the order in which they came to be.
func (l *Ledger) ToWithdraw(n int) []*Job {
	l.doomed = slices.DeleteFunc(l.doomed, func(j *Job) bool { return j.Withdrawn })
	return slices.Clone(l.doomed[:min(n, len(l.doomed))])
}

// Stamp is the revision of the job's live key.
func (j *Job) Stamp() uint64 { return j.stamp }

// Record is the job as stored.
func (j *Job) Record() Record {
	return Record{Job: j.Spec, AtMS: j.At.UnixMilli(), Chunk: j.size, Origin: j.Origin}
}

// forsake notes that a job was withdrawn: it waits for nothing any more, and
// those that wait for it never run.
func (l *Ledger) forsake(j *Job) {
	l.unlift(j)
	for ref := range j.needs {
		l.needers[ref] = slices.DeleteFunc(l.needers[ref], func(o *Job) bool { return o == j })
		if len(l.needers[ref]) == 0 {
			delete(l.needers, ref)
		}
	}
	j.needs = nil
	l.doomAll(j.Ref)
}

// unlift has the lift of all that a job needs, through however many others, be
// computed again. A job without one has none above it, so the walk ends there.
func (l *Ledger) unlift(j *Job) {
	for todo := []*Job{j}; len(todo) > 0; {
		j = todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for ref := range j.needs {
			if n := l.jobs[ref]; n != nil && n.Lift != nil {
				n.Lift = nil
				todo = append(todo, n)
			}
		}
	}
}

// Waiting are the jobs that wait for others, by reference.
func (l *Ledger) Waiting() []*Job {
	seen := make(map[*Job]bool)
	var js []*Job
	for _, ns := range l.needers {
		for _, j := range ns {
			if !seen[j] {
				seen[j] = true
				js = append(js, j)
			}
		}
	}
	slices.SortFunc(js, func(a, b *Job) int { return cmp.Compare(a.Ref, b.Ref) })
	return js
}
