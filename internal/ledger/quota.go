package ledger

import (
	"rillflow/internal/settings"
)

// quotaTolerance allows for rounding errors in sums of decimal amounts. Limits are specified in far
// coarser steps.
const quotaTolerance = 1e-6

// Usage is the amount of resources that a team's claims use of its quota.
type Usage struct{ CPUs, GPUs float64 }

// quotas holds the teams' quotas and their usage by claims. A claim counts from its creation until
// its task is done or is proven to be no longer running.
type quotas struct {
	teams    map[string]settings.Team
	usage    map[string]*Usage
	reserved Usage // for tasks of unknown jobs; counts against every team's limit
}

func newQuotas(teams []settings.Team) *quotas {
	q := &quotas{teams: make(map[string]settings.Team), usage: make(map[string]*Usage)}
	for _, team := range teams {
		q.teams[team.Name] = team
		q.usage[team.Name] = &Usage{}
	}
	return q
}

// add adds a number of the job's tasks to its team's usage; a negative number subtracts them.
func (q *quotas) add(job *Job, tasks float64) {
	if usage := q.usage[job.Spec.Team]; usage != nil {
		usage.CPUs += tasks * job.Spec.CPUs
		usage.GPUs += tasks * job.Spec.GPUs
	}
}

// usageOf returns a team's usage, which is zero for an unknown team.
func (q *quotas) usageOf(team string) Usage {
	if usage := q.usage[team]; usage != nil {
		return *usage
	}
	return Usage{}
}

// fitsLimit reports whether a number of additional tasks of the job is within its team's limit. For
// an unknown team it returns false.
func (q *quotas) fitsLimit(job *Job, tasks float64) bool {
	team, usage := q.teams[job.Spec.Team], q.usage[job.Spec.Team]
	return usage != nil &&
		usage.CPUs+q.reserved.CPUs+tasks*job.Spec.CPUs <= team.CPUsMax+quotaTolerance &&
		usage.GPUs+q.reserved.GPUs+tasks*job.Spec.GPUs <= team.GPUsMax+quotaTolerance
}

// fitsGuarantee reports whether one additional task of the job is within its team's guaranteed
// quota.
func (q *quotas) fitsGuarantee(job *Job) bool {
	team, usage := q.teams[job.Spec.Team], q.usage[job.Spec.Team]
	return usage != nil &&
		usage.CPUs+job.Spec.CPUs <= team.CPUs+quotaTolerance &&
		usage.GPUs+job.Spec.GPUs <= team.GPUs+quotaTolerance
}

// headroom returns how many additional tasks of the job its team's limit allows.
func (q *quotas) headroom(job *Job) int {
	team, usage := q.teams[job.Spec.Team], q.usage[job.Spec.Team]
	if usage == nil {
		return 0
	}
	tasks := float64(job.Spec.TaskCount)
	if job.Spec.CPUs > 0 {
		tasks = min(tasks, (team.CPUsMax-usage.CPUs-q.reserved.CPUs+quotaTolerance)/job.Spec.CPUs)
	}
	if job.Spec.GPUs > 0 {
		tasks = min(tasks, (team.GPUsMax-usage.GPUs-q.reserved.GPUs+quotaTolerance)/job.Spec.GPUs)
	}
	return max(int(tasks), 0)
}

// Usage returns the amount of resources that a team's claims use of its quota.
func (t *Table) Usage(team string) Usage { return t.quotas.usageOf(team) }

// Team returns a team's settings, which hold its quota.
func (t *Table) Team(name string) settings.Team { return t.quotas.teams[name] }

// QuotaHeadroom returns how many additional tasks of the job its team's limit allows.
func (t *Table) QuotaHeadroom(job *Job) int { return t.quotas.headroom(job) }

// WithinGuaranteedQuota reports whether one additional task of the job is within its team's
// guaranteed quota.
func (t *Table) WithinGuaranteedQuota(job *Job) bool { return t.quotas.fitsGuarantee(job) }

// SetReserved sets the CPUs and GPUs that count against every team's limit because they are used by
// tasks whose job record was lost, so that their team is unknown. It replaces the earlier amounts.
func (t *Table) SetReserved(cpus, gpus float64) { t.quotas.reserved = Usage{cpus, gpus} }
