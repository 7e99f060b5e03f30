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
// Its loop, runScheduler, runs a scheduling pass whenever scheduleSignal is notified. A pass has
// three steps: prepare (under mu: order the queues, place gangs, reserve capacity, make the offers
// to the shard owners), requestPicks (without the lock, since owners are other controllers) and
// confirm (under mu again: claim the picks that still fit, then preempt for tasks that found no
// capacity).
//
// All other methods are called with mu held: by the pass itself, by the autoscaler and the drainer,
// which use the same candidates, and by the heartbeat reconciler, which calls acceptsTasks. The
// lock is the term's, because a claim needs a consistent view of the job table, the workers' leases
// and the quotas.
//
// The scheduler makes claims; it must not write to the store or command workers. The commander
// starts a task once the claim writer has made its claim durable.
type scheduler struct {
	*termScope
	recovery *dataRecovery
	faults   *faultTracker

	ranking   *jobRanking
	offers    *offerMaker
	preemptor *preemptor
}

// connect sets the components that the scheduler calls, and creates its own.
func (s *scheduler) connect(recovery *dataRecovery, dependencies *dependencies, faults *faultTracker) {
	s.recovery, s.faults = recovery, faults
	s.ranking = &jobRanking{termScope: s.termScope, dependencies: dependencies}
	s.offers = &offerMaker{termScope: s.termScope, dependencies: dependencies, ranking: s.ranking}
	s.preemptor = &preemptor{termScope: s.termScope, dependencies: dependencies, ranking: s.ranking, scheduler: s}
}

// passesPerHeartbeat limits the passes per heartbeat interval: heartbeats come in bursts, and one
// pass serves several.
const passesPerHeartbeat = 64

// runScheduler runs scheduling passes until ctx ends.
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

// preparedPass is the state of a pass between prepare and confirm.
type preparedPass struct {
	queues            []*typeQueue
	offers            map[string]*placement.Offer // by shard owner
	claimed           int                         // tasks already claimed for gangs
	hasUnofferedTasks bool                        // some waiting tasks were left out of the offers
}

// pass runs one scheduling pass. It reports whether another pass may place more tasks.
func (s *scheduler) pass(ctx context.Context) bool {
	prepared := s.prepare()
	if prepared == nil {
		return false
	}
	return s.confirm(prepared, s.offers.requestPicks(ctx, prepared.offers))
}

// prepare places gangs and reserves capacity, which the leader does alone, and makes the offers to
// the shard owners. It locks mu. It returns nil if no task waits or placement is on hold.
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
	return &preparedPass{queues: queues, offers: offers, claimed: claimed, hasUnofferedTasks: index.hasUnofferedTasks}
}

// confirm claims the picks that still fit; heartbeats may have changed the candidates since the
// offers were made. It locks mu. It reports whether another pass may place more tasks.
func (s *scheduler) confirm(prepared *preparedPass, picks []placement.Pick) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	claimed, tierChanged := prepared.claimed, false
	targets := make(map[string]*candidate)
	for _, pick := range picks {
		job, target := s.jobs.Job(pick.JobID), targets[pick.Worker]
		if target == nil {
			target = s.candidate(s.workers[pick.Worker], now)
			targets[pick.Worker] = target
		}
		if job == nil || target == nil || !target.fits(job) {
			continue
		}
		if s.ranking.tier(job) != pick.Tier {
			tierChanged = true // the guaranteed quota has been used up meanwhile: other jobs may come first
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
	return claimed > 0 && (tierChanged || prepared.hasUnofferedTasks)
}

// claimTask claims the job's next task for a worker and subtracts its resources from the worker's
// free capacity. It reports whether the job table granted the claim.
func (s *scheduler) claimTask(target *candidate, job *ledger.Job) bool {
	worker := target.worker
	claim, err := s.jobs.Claim(job, worker.Name, worker.Incarnation, worker.Zone)
	if err != nil {
		return false // an earlier pick took the quota, the zone's slot or the last waiting task
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
	_, releasing := s.released[worker.Name]
	return !releasing && s.leaseRenewed(worker, now) && worker.ReclaimAt.IsZero() && !worker.Draining &&
		!now.Before(worker.StartBackoffUntil) && !s.faults.quarantined(worker, now)
}

// candidates returns the workers that may take new tasks, with their free capacity, sorted by name.
func (s *scheduler) candidates(now time.Time) []*candidate {
	candidates := make([]*candidate, 0, len(s.workersByName))
	for _, worker := range s.workersByName {
		if target := s.candidate(worker, now); target != nil {
			candidates = append(candidates, target)
		}
	}
	return candidates
}

// candidate returns a worker with its free capacity, or nil if the worker may not take new tasks.
func (s *scheduler) candidate(worker *agent.Worker, now time.Time) *candidate {
	if worker == nil || worker.HasUnclaimedTask || !s.acceptsTasks(worker, now) {
		return nil
	}
	instanceType := s.instanceTypes.InstanceTypes()[worker.InstanceType]
	if instanceType == nil {
		return nil
	}
	return newCandidate(worker, instanceType, s.jobs.UsedOnWorker(worker.Name), now)
}
