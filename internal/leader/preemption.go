package leader

import (
	"fmt"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/ledger"
)

// preemptor stops tasks of lower priority for waiting jobs of a higher one.
//
// The scheduling pass calls preempt, with mu held, after it has confirmed all picks. The preemptor
// marks claims as stopping and must not free them: their capacity counts as used until a heartbeat
// proves that the task has ended.
type preemptor struct {
	*termScope
	dependencies *dependencies
	ranking      *jobRanking
	scheduler    *scheduler
}

const (
	// preemptionWaitDivisor determines how long a job waits before it preempts others: the
	// heartbeat interval divided by this number. If there were free capacity, the job would get it
	// within that time.
	preemptionWaitDivisor = 16
	// preemptionIntervalDivisor determines the time between two preemptions for a job: the
	// heartbeat interval divided by this number. Stopped tasks end quickly; the time is for the job
	// to claim the freed capacity before more tasks are stopped.
	preemptionIntervalDivisor = 2
	// preemptionPullWeight is the cost of a second of pulling the waiting task's image, in seconds
	// of lost work.
	preemptionPullWeight = 4
)

// preempt stops tasks of lower priority for waiting tasks that found no free capacity. It selects
// the tasks that lose the least work, and none that is about to finish. It only marks the claims;
// the commander sends the stop commands, and capacity is free once a task is proven to have ended.
func (p *preemptor) preempt(queues []*typeQueue, now time.Time) {
	var candidates []*candidate
	for _, queue := range queues {
		for _, job := range queue.jobs {
			if !p.mayPreempt(job, now) {
				continue
			}
			job.NextPreemptionAt = now.Add(p.settings.HeartbeatInterval() / preemptionIntervalDivisor)
			if candidates == nil {
				candidates = p.scheduler.candidates(now)
			}
			p.preemptFor(job, candidates, now)
		}
	}
}

// mayPreempt reports whether tasks of other jobs may be stopped for a job now.
func (p *preemptor) mayPreempt(job *ledger.Job, now time.Time) bool {
	return p.dependencies.effectivePriority(job) < standardPriority && job.WaitingTasks() > 0 && !job.IsGang() &&
		now.Sub(job.WaitingSince) >= p.settings.HeartbeatInterval()/preemptionWaitDivisor &&
		!now.Before(job.NextPreemptionAt)
}

// preemptFor stops one task for each waiting task of a job, as far as quota and victims allow.
func (p *preemptor) preemptFor(job *ledger.Job, candidates []*candidate, now time.Time) {
	preemptedInZone := make(map[string]int)
	for range min(job.WaitingTasks(), p.jobs.QuotaHeadroom(job)) {
		target, victim := p.selectVictim(job, candidates, preemptedInZone, now)
		if victim == nil {
			return
		}
		preemptedInZone[target.worker.Zone]++
		reason := fmt.Sprintf(stopPreempted,
			priorityName(p.dependencies.effectivePriority(victim.Job)), priorityName(p.dependencies.effectivePriority(job)))
		victim.Stop(reason)
		p.auditLog.enqueueTask(now, audit.Stopped, victim, reason, job.ID)
		target.worker.WakeSender()
		p.log.Info("task preempted", "task", victim.Task(), "worker", target.worker.Name, "job", job.ID)
	}
}

// selectVictim returns the task whose stop makes room for a task of a job at the least cost, and its
// worker, or nil if there is none. preemptedInZone counts the tasks already stopped for the job.
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
			if !p.isPreemptible(claim, priority, tier) || !target.free.plus(&claim.Job.Spec).fit(&job.Spec) {
				continue
			}
			ranSeconds := runningSeconds(claim, now)
			if p.aboutToFinish(claim, ranSeconds) {
				continue
			}
			cost := lostWorkSeconds(claim, ranSeconds) + preemptionPullWeight*target.pullSeconds(job)
			if bestClaim == nil || cost < lowestCost {
				bestTarget, bestClaim, lowestCost = target, claim, cost
			}
		}
	}
	return bestTarget, bestClaim
}

// isPreemptible reports whether a claim's task may be stopped for a job of the given priority and
// tier: it is stoppable, and ranks behind the job both by priority and by tier.
func (p *preemptor) isPreemptible(claim *ledger.Claim, priority, tier int) bool {
	return stoppable(claim) &&
		p.dependencies.effectivePriority(claim.Job) > priority && p.ranking.tier(claim.Job) > tier
}

// runningSeconds returns how long a claim's task has been running.
func runningSeconds(claim *ledger.Claim, now time.Time) float64 {
	if claim.RunningSince.IsZero() {
		return 0
	}
	return now.Sub(claim.RunningSince).Seconds()
}

// aboutToFinish reports whether a task that has run for ranSeconds is expected to finish within a
// heartbeat interval, or should have finished within the last.
func (p *preemptor) aboutToFinish(claim *ledger.Claim, ranSeconds float64) bool {
	expected, interval := claim.Job.Spec.ExpectedSeconds, p.settings.Facts.Workers.HeartbeatSeconds
	return expected > 0 && ranSeconds > expected-interval && ranSeconds < expected+interval
}

// lostWorkSeconds returns how much work is lost when a task that has run for ranSeconds is stopped.
// For a task with checkpoints it is at most the time to save one.
func lostWorkSeconds(claim *ledger.Claim, ranSeconds float64) float64 {
	if claim.Job.Spec.CheckpointIntervalSeconds > 0 {
		return min(ranSeconds, claim.Job.Spec.CheckpointSaveSeconds)
	}
	return ranSeconds
}
