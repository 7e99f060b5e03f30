package leader

import (
	"context"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/placement"
	"rillflow/internal/retry"
)

// scheduler places waiting tasks on workers with free capacity.
//
// Its loop, runScheduler, makes a scheduling pass whenever scheduleSignal was notified. A pass
// has three steps: prepare (under mu: order the queues, claim for gangs, reserve capacity,
// describe the rest to the shard owners), requestPicks (without the lock, since owners are
// other controllers) and confirm (under mu again: claim what the owners picked and still fits,
// then preempt for what found no place).
//
// Apart from these steps, methods are called with mu held: by the pass itself, by the
// autoscaler and the drainer, which look for capacity in the same way, and by the heartbeat
// reconciler, which asks acceptsTasks. The lock is the term's, because a claim must see the job
// table, the workers' leases and the quotas at one moment.
//
// The scheduler claims; it must not write to the store or command workers. A task is started
// by the commander once the claim writer has made its claim durable.
type scheduler struct {
	*termScope
	recovery *dataRecovery
	faults   *faultTracker

	ranking   *jobRanking
	offers    *offerMaker
	preemptor *preemptor
}

// connect gives the scheduler the components that it calls, and makes its own.
func (s *scheduler) connect(recovery *dataRecovery, dependencies *dependencies, faults *faultTracker) {
	s.recovery, s.faults = recovery, faults
	s.ranking = &jobRanking{termScope: s.termScope, dependencies: dependencies}
	s.offers = &offerMaker{termScope: s.termScope, dependencies: dependencies, ranking: s.ranking}
	s.preemptor = &preemptor{termScope: s.termScope, dependencies: dependencies, ranking: s.ranking, scheduler: s}
}

// passesPerHeartbeat bounds the passes in a heartbeat interval: heartbeats come in bursts, and
// one pass serves several.
const passesPerHeartbeat = 64

// runScheduler makes passes until the term ends.
func (s *scheduler) runScheduler(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.scheduleSignal:
		}
		for s.pass(ctx) {
		}
		if !retry.Sleep(ctx, s.settings.HeartbeatInterval()/passesPerHeartbeat) {
			return ctx.Err()
		}
	}
}

// preparedPass is what the first locked step of a pass hands to the second.
type preparedPass struct {
	queues      []*typeQueue
	offers      map[string]*placement.Offer // by shard owner
	claimed     int                         // tasks of gangs claimed already
	moreWaiting bool                        // some waiting tasks were left out of the offers
}

// pass is one scheduling pass. It reports whether another may find more.
func (s *scheduler) pass(ctx context.Context) bool {
	prepared := s.prepare()
	if prepared == nil {
		return false
	}
	return s.confirm(prepared, s.offers.requestPicks(ctx, prepared.offers))
}

// prepare decides what the leader decides alone and makes the offers for the rest. It takes mu
// itself, and returns nil if nothing waits or nothing may be placed yet.
func (s *scheduler) prepare() *preparedPass {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.recovery.placementOnHold(now) {
		return nil
	}
	queues := s.waitingQueues(now)
	if len(queues) == 0 {
		return nil
	}
	candidates := s.candidates(now)
	claimed := s.placeGangs(queues, candidates)
	s.reserveCapacity(queues, candidates, now)
	index := newCandidateIndex(candidates)
	offers := s.offers.makeOffers(queues, index, now)
	return &preparedPass{queues: queues, offers: offers, claimed: claimed, moreWaiting: index.moreWaiting}
}

// confirm claims what the owners picked, as far as it still fits: heartbeats came in since the
// offers were made. It takes mu itself, and reports whether another pass may find more.
func (s *scheduler) confirm(prepared *preparedPass, picks []placement.Pick) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	claimed, tierChanged := prepared.claimed, false
	fresh := make(map[string]*candidate)
	for _, pick := range picks {
		job, target := s.jobs.Job(pick.JobID), fresh[pick.Worker]
		if target == nil {
			target = s.candidate(s.workers[pick.Worker], now)
			fresh[pick.Worker] = target
		}
		if job == nil || target == nil || !target.fits(job) {
			continue
		}
		if s.ranking.tier(job) != pick.Tier {
			tierChanged = true // its team's guaranteed quota is used up: others may come first
			continue
		}
		if s.claimTask(target, job) {
			claimed++
		}
	}
	if claimed > 0 {
		notify(s.writeSignal)
	}
	if !tierChanged {
		s.preemptor.preempt(prepared.queues, now)
	}
	return claimed > 0 && (tierChanged || prepared.moreWaiting)
}

// claimTask claims the job's next task for a worker and takes the resources off its free
// capacity. It reports whether the job table granted the claim.
func (s *scheduler) claimTask(target *candidate, job *ledger.Job) bool {
	worker := target.worker
	claim, err := s.jobs.Claim(job, worker.Name, worker.Incarnation, worker.Zone)
	if err != nil {
		return false // quota, zone or the last waiting task went to an earlier pick
	}
	worker.IdleSince = time.Time{}
	worker.RecordPull(job.Spec.Image, job.Spec.ImageGB)
	s.log.Debug("task claimed", "task", claim.Task(), "attempt", claim.Attempt, "worker", claim.Worker)
	target.allocate(job)
	s.ranking.starvation.recordPlacement(job)
	return true
}

// acceptsTasks reports whether a worker may take new tasks.
func (s *scheduler) acceptsTasks(worker *agent.Worker, now time.Time) bool {
	_, leaving := s.released[worker.Name]
	return !leaving && s.leaseRenewed(worker, now) && worker.ReclaimAt.IsZero() && !worker.Draining &&
		!now.Before(worker.StartBackoffUntil) && !s.faults.quarantined(worker, now)
}

// candidates are the workers that may take new tasks, with their free capacity, by name.
func (s *scheduler) candidates(now time.Time) []*candidate {
	candidates := make([]*candidate, 0, len(s.workersByName))
	for _, worker := range s.workersByName {
		if target := s.candidate(worker, now); target != nil {
			candidates = append(candidates, target)
		}
	}
	return candidates
}

// candidate is a worker with its free capacity, or nil if it may not take new tasks.
func (s *scheduler) candidate(worker *agent.Worker, now time.Time) *candidate {
	if worker == nil || worker.HasUnclaimedTask || !s.acceptsTasks(worker, now) {
		return nil
	}
	instanceType := s.instanceTypes.InstanceTypes()[worker.InstanceType]
	if instanceType == nil {
		return nil
	}
	return newCandidate(worker, instanceType, s.jobs.UsedOnWorker(worker.Name))
}
