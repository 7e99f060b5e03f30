package leader

import (
	"fmt"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/ledger"
)

// preempt stops tasks of lower rank for waiting ones that found no room. The
// ones stopped are those that lose the least work, and never one that is about
// to finish by itself.
func (s *scheduler) preempt(queues []*typeQueue, now time.Time) {
	var candidates []*candidate
	for _, queue := range queues {
		for _, job := range queue.jobs {
			if s.dependencies.effectivePriority(job) >= priorityLevel("standard") || job.WaitingTasks() == 0 || job.IsGang() ||
				now.Sub(job.WaitingSince) < s.settings.Report()/16 || now.Before(job.NextPreemptionAt) {
				continue
			}
			// Once stopped, the tasks' room comes free within a moment; give
			// it time to be taken before more are stopped for this job.
			job.NextPreemptionAt = now.Add(s.settings.Report() / 2)
			if candidates == nil {
				candidates = s.candidates(now)
			}
			preemptedInZone := make(map[string]int)
			for range min(job.WaitingTasks(), s.jobs.QuotaHeadroom(job)) {
				target, victim := s.selectVictim(job, candidates, preemptedInZone, now)
				if victim == nil {
					break
				}
				preemptedInZone[target.worker.Zone]++
				victim.Stopping = true
				s.auditLog.enqueueTask(now, audit.Stopped, victim, fmt.Sprintf("rank %s gives way to %s", priorityName(s.dependencies.effectivePriority(victim.Job)), priorityName(s.dependencies.effectivePriority(job))), job.Ref)
				target.worker.WakeSender()
				s.log.Info("preempted", "task", victim.Task(), "host", target.worker.Name, "for", job.Ref)
			}
		}
	}
}

// selectVictim finds the task whose stop makes room for a job's task at the least
// cost: seconds of work lost, and of fetching the image there.
func (s *scheduler) selectVictim(job *ledger.Job, candidates []*candidate, preemptedInZone map[string]int, now time.Time) (*candidate, *ledger.Claim) {
	var bestTarget *candidate
	var bestClaim *ledger.Claim
	lowestCost := 0.0
	tier := s.tier(job)
	for _, target := range candidates {
		if !target.fitsWhenEmpty(job) || s.jobs.ZoneHeadroom(job, target.worker.Zone) <= preemptedInZone[target.worker.Zone] {
			continue
		}
		for _, claim := range s.jobs.ClaimsOnWorker(target.worker.Name) {
			spec := &claim.Job.Spec
			if claim.Finished || claim.Stopping || !claim.Committed || claim.Job.Cancelled || claim.Job.IsGang() ||
				s.dependencies.effectivePriority(claim.Job) <= s.dependencies.effectivePriority(job) || s.tier(claim.Job) <= tier ||
				!fitsWithin(&job.Spec, target.cpus+spec.CPUs, target.gpus+spec.GPUs, target.memoryGB+spec.MemoryGB) {
				continue
			}
			lostSeconds := 0.0
			if !claim.RunningSince.IsZero() {
				lostSeconds = now.Sub(claim.RunningSince).Seconds()
			}
			if spec.ExpectedSeconds > 0 && lostSeconds > spec.ExpectedSeconds-s.settings.Facts.Workers.ReportS && lostSeconds < spec.ExpectedSeconds+s.settings.Facts.Workers.ReportS {
				continue // about to finish
			}
			if spec.CheckpointIntervalSeconds > 0 {
				lostSeconds = min(lostSeconds, spec.CheckpointSaveSeconds)
			}
			cost := lostSeconds + 4*target.pullSeconds(job)
			if bestClaim == nil || cost < lowestCost {
				bestTarget, bestClaim, lowestCost = target, claim, cost
			}
		}
	}
	return bestTarget, bestClaim
}
