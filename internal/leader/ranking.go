package leader

import (
	"cmp"
	"slices"
	"time"

	"rillflow/internal/ledger"
)

// jobRanking decides in which order waiting jobs go: across types by tier, within a type also
// by starvation and by the slack to their deadlines.
//
// The scheduling pass calls it, and the autoscaler asks it for deadlines; all with mu held.
// It reads the job table and keeps the deficits of starved jobs, and changes nothing else.
type jobRanking struct {
	*termScope
	dependencies *dependencies

	starvation starvationTracker
}

// tier orders jobs of all types: what is within its team's guaranteed quota goes before what
// is borrowed, and in each the higher priority first.
func (r *jobRanking) tier(job *ledger.Job) int {
	if r.jobs.WithinGuaranteedQuota(job) {
		return r.dependencies.effectivePriority(job)
	}
	return lowestPriority + 1 + r.dependencies.effectivePriority(job)
}

// orderedJob is a job with what it is ordered by.
type orderedJob struct {
	job     *ledger.Job
	tier    int // teams of one type may stand differently to their guaranteed quotas
	slack   deadlineSlack
	starved bool // it goes first in its tier
}

// compare orders jobs of one type: by tier, starved ones first and the longest waiting of them
// first, then by slack, then by who was ready first.
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

// orderJobs sorts jobs of one type in the order in which their tasks go.
func (r *jobRanking) orderJobs(jobs []*ledger.Job, now time.Time) {
	entries := make([]orderedJob, len(jobs))
	agingThreshold := r.agingThreshold()
	for i, job := range jobs {
		entries[i] = orderedJob{job, r.tier(job), r.deadlineSlack(job, now), isStarved(job, agingThreshold, now)}
	}
	limitLastChances(entries, r.jobs, r.lastChanceMargin())
	r.starvation.share(entries)
	slices.SortFunc(entries, orderedJob.compare)
	for i, entry := range entries {
		jobs[i] = entry.job
	}
}

// limitLastChances lets only as many jobs go first for being about to miss a deadline as there
// will be capacity for in that moment, the least work first. In a long overload nearly all are
// about to miss one: the largest would go before all others, and most would miss it all the
// same. A job that there is no capacity for counts as having missed its deadline already.
func limitLastChances(entries []orderedJob, table *ledger.Table, margin time.Duration) {
	var lastChances []*orderedJob
	for i := range entries {
		if entries[i].slack.lastChance {
			lastChances = append(lastChances, &entries[i])
		}
	}
	if len(lastChances) < 2 {
		return
	}
	slices.SortFunc(lastChances, func(a, b *orderedJob) int {
		return cmp.Or(cmp.Compare(a.slack.work, b.slack.work), cmp.Compare(a.job.ID, b.job.ID))
	})
	freeCPUs := make(map[string]float64) // by team
	for _, entry := range lastChances {
		spec := &entry.job.Spec
		if _, ok := freeCPUs[spec.Team]; !ok {
			limit, used := table.Team(spec.Team).CPUsMax, table.Usage(spec.Team).CPUs
			// Of what the team uses now, the share that ends within the margin.
			freeCPUs[spec.Team] = limit - used + used*min(1, margin.Seconds()/max(spec.ExpectedSeconds, 1))
		}
		if freeCPUs[spec.Team] <= 0 {
			entry.slack.lastChance = false
			entry.slack.missed++
			continue
		}
		freeCPUs[spec.Team] -= float64(entry.job.WaitingTasks()) * max(spec.CPUs, 1)
	}
}
