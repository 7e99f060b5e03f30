package leader

import (
	"fmt"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/ledger"
)

// preemptor stops tasks of lower priority for waiting jobs of a higher one.
//
// The scheduling pass calls preempt, with mu held, after it confirmed all picks. It marks claims
// as stopping and must not free them: their capacity counts as used until a heartbeat proves
// that the task has ended.
type preemptor struct {
	*termScope
	dependencies *dependencies
	ranking      *jobRanking
	scheduler    *scheduler
}

const (
	// preemptionWaitsPerHeartbeat is the heartbeat interval over the time that a job waits
	// before it preempts, in which it would have got capacity that is free.
	preemptionWaitsPerHeartbeat = 16
	// preemptionsPerHeartbeat is the heartbeat interval over the time between two preemptions
	// for a job. Once tasks are stopped, their capacity comes free within a moment; the time
	// is for it to be taken before more are stopped.
	preemptionsPerHeartbeat = 2
	// preemptionPullWeight is what a second of pulling the image for the waiting task costs, in
	// seconds of work lost.
	preemptionPullWeight = 4
)

// preempt stops tasks of lower priority for waiting ones that found no free capacity: those that
// lose the least work, and never one that is about to finish by itself. The stop is only
// decided here; the commander sends it, and the capacity comes free once it is proved.
func (p *preemptor) preempt(queues []*typeQueue, now time.Time) {
	var candidates []*candidate
	for _, queue := range queues {
		for _, job := range queue.jobs {
			if !p.mayPreempt(job, now) {
				continue
			}
			job.NextPreemptionAt = now.Add(p.settings.HeartbeatInterval() / preemptionsPerHeartbeat)
			if candidates == nil {
				candidates = p.scheduler.candidates(now)
			}
			p.preemptFor(job, candidates, now)
		}
	}
}

// mayPreempt reports whether others may be stopped for a job now.
func (p *preemptor) mayPreempt(job *ledger.Job, now time.Time) bool {
	return p.dependencies.effectivePriority(job) < standardPriority && job.WaitingTasks() > 0 && !job.IsGang() &&
		now.Sub(job.WaitingSince) >= p.settings.HeartbeatInterval()/preemptionWaitsPerHeartbeat &&
		!now.Before(job.NextPreemptionAt)
}

// preemptFor stops a task for each waiting task of a job for which one may be.
func (p *preemptor) preemptFor(job *ledger.Job, candidates []*candidate, now time.Time) {
	preemptedInZone := make(map[string]int)
	for range min(job.WaitingTasks(), p.jobs.QuotaHeadroom(job)) {
		target, victim := p.selectVictim(job, candidates, preemptedInZone, now)
		if victim == nil {
			return
		}
		preemptedInZone[target.worker.Zone]++
		victim.Stopping = true
		reason := fmt.Sprintf(stopPreempted,
			priorityName(p.dependencies.effectivePriority(victim.Job)), priorityName(p.dependencies.effectivePriority(job)))
		p.auditLog.enqueueTask(now, audit.Stopped, victim, reason, job.ID)
		target.worker.WakeSender()
		p.log.Info("task preempted", "task", victim.Task(), "worker", target.worker.Name, "job", job.ID)
	}
}

// selectVictim finds the task whose stop makes room for a task of a job at the least cost, with
// its worker, or returns nil. preemptedInZone counts the tasks stopped for the job already.
func (p *preemptor) selectVictim(
	job *ledger.Job, candidates []*candidate, preemptedInZone map[string]int, now time.Time,
) (*candidate, *ledger.Claim) {
	var bestTarget *candidate
	var bestClaim *ledger.Claim
	lowestCost := 0.0
	priority, tier := p.dependencies.effectivePriority(job), p.ranking.tier(job)
	for _, target := range candidates {
		zone := target.worker.Zone
		if !target.fitsWhenEmpty(job) || p.jobs.ZoneHeadroom(job, zone) <= preemptedInZone[zone] {
			continue
		}
		for _, claim := range p.jobs.ClaimsOnWorker(target.worker.Name) {
			if !p.givesWay(claim, priority, tier) || !target.free.plus(&claim.Job.Spec).fit(&job.Spec) {
				continue
			}
			ran := runningTime(claim, now)
			if p.aboutToFinish(claim, ran) {
				continue
			}
			cost := lostWork(claim, ran) + preemptionPullWeight*target.pullSeconds(job)
			if bestClaim == nil || cost < lowestCost {
				bestTarget, bestClaim, lowestCost = target, claim, cost
			}
		}
	}
	return bestTarget, bestClaim
}

// givesWay reports whether a claim's task may be stopped for a job of a priority and tier: it can
// be stopped at all, and it stands behind by priority and by tier.
func (p *preemptor) givesWay(claim *ledger.Claim, priority, tier int) bool {
	return stoppable(claim) &&
		p.dependencies.effectivePriority(claim.Job) > priority && p.ranking.tier(claim.Job) > tier
}

// runningTime is for how many seconds a claim's task has been running.
func runningTime(claim *ledger.Claim, now time.Time) float64 {
	if claim.RunningSince.IsZero() {
		return 0
	}
	return now.Sub(claim.RunningSince).Seconds()
}

// aboutToFinish reports whether a task that ran for some seconds is expected to finish within a
// heartbeat interval, or should have within the last.
func (p *preemptor) aboutToFinish(claim *ledger.Claim, ran float64) bool {
	expected, heartbeat := claim.Job.Spec.ExpectedSeconds, p.settings.Facts.Workers.HeartbeatSeconds
	return expected > 0 && ran > expected-heartbeat && ran < expected+heartbeat
}

// lostWork is how many seconds of work are lost when a task that ran for some seconds is
// stopped: no more than saving a checkpoint takes, where it has checkpoints.
func lostWork(claim *ledger.Claim, ran float64) float64 {
	if claim.Job.Spec.CheckpointIntervalSeconds > 0 {
		return min(ran, claim.Job.Spec.CheckpointSaveSeconds)
	}
	return ran
}
