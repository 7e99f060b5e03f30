package leader

import (
	"cmp"
	"slices"
	"time"

	"rillflow/internal/ledger"
)

// jobRanking decides the scheduling order of waiting jobs: across types by tier, and within a type
// also by starvation and by the slack to their deadlines.
//
// The scheduling pass calls it, and the autoscaler queries it for deadlines, all with mu held. It
// reads the job table, and writes only the deficits of starved jobs.
type jobRanking struct {
	*termScope
	dependencies *dependencies

	starvation starvationTracker
}

// tier returns the rank of a job across all types, lower first: jobs within their team's guaranteed
// quota come before jobs on borrowed quota, and in both groups the higher priority comes first.
func (r *jobRanking) tier(job *ledger.Job) int {
	if r.jobs.WithinGuaranteedQuota(job) {
		return r.dependencies.effectivePriority(job)
	}
	return lowestPriority + 1 + r.dependencies.effectivePriority(job)
}

// orderedJob is a job with its sort keys.
type orderedJob struct {
	job     *ledger.Job
	tier    int // differs within a type if only some of its teams are within their guaranteed quota
	slack   deadlineSlack
	starved bool // goes first in its tier
}

// compare orders jobs of one type: by tier, then starved jobs first and the longest waiting first
// among them, then by slack, then by the time at which they became ready.
func (a orderedJob) compare(b orderedJob) int {
	switch {
	case a.tier != b.tier:
		return cmp.Compare(a.tier, b.tier)
	case a.starved && !b.starved:
		return -1
	case b.starved && !a.starved:
		return 1
	case a.starved:
		return cmp.Or(a.job.WaitingSince.Compare(b.job.WaitingSince), cmp.Compare(a.job.ID, b.job.ID))
	}
	return cmp.Or(a.slack.compare(b.slack), a.job.ReadyAt.Compare(b.job.ReadyAt), cmp.Compare(a.job.ID, b.job.ID))
}

// orderJobs sorts jobs of one type into scheduling order.
func (r *jobRanking) orderJobs(jobs []*ledger.Job, now time.Time) {
	entries := make([]orderedJob, len(jobs))
	agingThreshold := r.agingThreshold()
	for i, job := range jobs {
		entries[i] = orderedJob{job, r.tier(job), r.deadlineSlack(job, now), isStarved(job, agingThreshold, now)}
	}
	limitLastChances(entries, r.jobs, r.lastChanceMargin())
	r.starvation.applyDeficit(entries)
	slices.SortFunc(entries, orderedJob.compare)
	for i, entry := range entries {
		jobs[i] = entry.job
	}
}

// limitLastChances limits the number of jobs that go first because they are about to miss a
// deadline: only as many do as there will be capacity for, chosen by the least work. In a long
// overload nearly all jobs are about to miss one: the largest would go before all others, and most
// would still miss it. A job without capacity counts as having missed its deadline already.
func limitLastChances(entries []orderedJob, table *ledger.Table, margin time.Duration) {
	var lastChances []*orderedJob
	for i := range entries {
		if entries[i].slack.isLastChance {
			lastChances = append(lastChances, &entries[i])
		}
	}
	if len(lastChances) < 2 {
		return
	}
	slices.SortFunc(lastChances, func(a, b *orderedJob) int {
		return cmp.Or(cmp.Compare(a.slack.cpuSecondsLeft, b.slack.cpuSecondsLeft), cmp.Compare(a.job.ID, b.job.ID))
	})
	freeCPUs := make(map[string]float64) // by team
	for _, entry := range lastChances {
		spec := &entry.job.Spec
		if _, ok := freeCPUs[spec.Team]; !ok {
			limit, used := table.Team(spec.Team).CPUsMax, table.Usage(spec.Team).CPUs
			// Unused quota, plus the share of the team's usage that ends within the margin.
			freeCPUs[spec.Team] = limit - used + used*min(1, margin.Seconds()/max(spec.ExpectedSeconds, 1))
		}
		if freeCPUs[spec.Team] <= 0 {
			entry.slack.isLastChance = false
			entry.slack.missed++
			continue
		}
		freeCPUs[spec.Team] -= float64(entry.job.WaitingTasks()) * max(spec.CPUs, 1)
	}
}
