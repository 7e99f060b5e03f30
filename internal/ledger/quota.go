package ledger

import (
	"rillflow/internal/settings"
)

// quotaTolerance forgives the rounding of sums of decimal amounts; limits are given in
// far coarser steps.
const quotaTolerance = 1e-6

// Usage is what a team's claims count in its quota.
type Usage struct{ CPUs, GPUs float64 }

// quotas holds the teams' quotas and their usage by claims. A claim counts from when it is
// made until its task is done or gone for sure.
type quotas struct {
	teams    map[string]settings.Team
	usage    map[string]*Usage
	reserved Usage // for tasks of unknown jobs, against every team's limit
}

func newQuotas(teams []settings.Team) *quotas {
	q := &quotas{teams: make(map[string]settings.Team), usage: make(map[string]*Usage)}
	for _, team := range teams {
		q.teams[team.Name] = team
		q.usage[team.Name] = &Usage{}
	}
	return q
}

// add counts a number of the job's tasks, negative to give them back.
func (q *quotas) add(job *Job, tasks float64) {
	if usage := q.usage[job.Spec.Team]; usage != nil {
		usage.CPUs += tasks * job.Spec.CPUs
		usage.GPUs += tasks * job.Spec.GPUs
	}
}

// of is a team's usage, zero for an unknown team.
func (q *quotas) of(team string) Usage {
	if usage := q.usage[team]; usage != nil {
		return *usage
	}
	return Usage{}
}

// fitsLimit reports whether a number of further tasks of the job is within its team's limit.
// An unknown team has none.
func (q *quotas) fitsLimit(job *Job, tasks float64) bool {
	team, usage := q.teams[job.Spec.Team], q.usage[job.Spec.Team]
	return usage != nil &&
		usage.CPUs+q.reserved.CPUs+tasks*job.Spec.CPUs <= team.CPUsMax+quotaTolerance &&
		usage.GPUs+q.reserved.GPUs+tasks*job.Spec.GPUs <= team.GPUsMax+quotaTolerance
}

// fitsGuarantee reports whether one further task of the job is within what its team is
// guaranteed.
func (q *quotas) fitsGuarantee(job *Job) bool {
	team, usage := q.teams[job.Spec.Team], q.usage[job.Spec.Team]
	return usage != nil &&
		usage.CPUs+job.Spec.CPUs <= team.CPUs+quotaTolerance &&
		usage.GPUs+job.Spec.GPUs <= team.GPUs+quotaTolerance
}

// headroom is how many further tasks of the job its team's limit allows.
func (q *quotas) headroom(job *Job) int {
	team, usage := q.teams[job.Spec.Team], q.usage[job.Spec.Team]
	if usage == nil {
		return 0
	}
	tasks := job.Spec.TaskCount
	if job.Spec.CPUs > 0 {
		tasks = min(tasks, int((team.CPUsMax-usage.CPUs-q.reserved.CPUs+quotaTolerance)/job.Spec.CPUs))
	}
	if job.Spec.GPUs > 0 {
		tasks = min(tasks, int((team.GPUsMax-usage.GPUs-q.reserved.GPUs+quotaTolerance)/job.Spec.GPUs))
	}
	return max(tasks, 0)
}

// Usage is what a team's claims count in its quota.
func (t *Table) Usage(team string) Usage { return t.quotas.of(team) }

// Team is a team's quota.
func (t *Table) Team(name string) settings.Team { return t.quotas.teams[name] }

// QuotaHeadroom is how many more tasks of the job its team's limit allows.
func (t *Table) QuotaHeadroom(job *Job) int { return t.quotas.headroom(job) }

// WithinGuaranteedQuota reports whether one more task is within its team's guarantee.
func (t *Table) WithinGuaranteedQuota(job *Job) bool { return t.quotas.fitsGuarantee(job) }

// Reserve counts CPUs and GPUs against every team's limit: tasks of jobs whose record was
// lost run on them, and any team's they may be.
func (t *Table) Reserve(cpus, gpus float64) { t.quotas.reserved = Usage{cpus, gpus} }
