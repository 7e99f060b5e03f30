package leader

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/placement"
	"rillflow/internal/wire"
)

// maxOfferedJobs limits the jobs per type in one offer. Only jobs that fit a worker with room count;
// the rest follow once these are placed.
const maxOfferedJobs = 64

// pickTimeoutDivisor determines how long shard owners have to pick: the heartbeat interval divided by
// this number.
const pickTimeoutDivisor = 12

// offerMaker offers free capacity and waiting jobs to the shard owners and collects their picks.
//
// The scheduling pass calls it: makeOffers with mu held, requestPicks without, since owners are
// other controllers. It must not claim: a pick takes effect only once the scheduler confirms it.
type offerMaker struct {
	*termScope
	dependencies *dependencies
	ranking      *jobRanking
}

// offeredWork is the part of an offer that is the same for all shard owners, with its jobs.
type offeredWork struct {
	queues     []placement.Queue
	jobs       []*ledger.Job
	minRequest wire.Job // the smallest request of any of the jobs, for each resource
}

// makeOffers returns the offers by shard owner. Each holds the queues of waiting jobs and those
// workers of the owner's shard that at least one waiting job fits.
func (o *offerMaker) makeOffers(queues []*typeQueue, index *candidateIndex, now time.Time) map[string]*placement.Offer {
	offers := make(map[string]*placement.Offer)
	work := o.workToOffer(queues, index, now)
	if len(work.jobs) == 0 {
		return offers
	}
	shards := o.leadership.ShardMap()
	for _, target := range index.candidates {
		// This check is cheap, and most workers of a full fleet fail it.
		if !target.free.fit(&work.minRequest) || !o.anyFits(work.jobs, target) {
			continue
		}
		owner := shards.Owner(target.worker.Name)
		if offers[owner] == nil {
			offers[owner] = &placement.Offer{Queues: cloneQueues(work.queues)}
		}
		offers[owner].Candidates = append(offers[owner].Candidates, o.describeCandidate(target))
	}
	return offers
}

// workToOffer collects the jobs that have tasks for shard owners to place, and that fit a worker with
// room. It looks at no job of a group that fits none, however many there are.
func (o *offerMaker) workToOffer(queues []*typeQueue, index *candidateIndex, now time.Time) offeredWork {
	var work offeredWork
	room := newRoomIndex(index.candidates)
	for _, queue := range queues {
		offeredQueue := placement.Queue{Type: queue.jobType, Unfinished: queue.unfinished}
		mergeCursors(queue, o.groupsWithRoom(queue, room), func(job *ledger.Job, targets []*candidate) bool {
			if !o.anyTakes(targets, job) {
				return true
			}
			if waiting := o.describeJob(job, index, now); waiting.Tasks > 0 {
				offeredQueue.Jobs = append(offeredQueue.Jobs, waiting)
				work.add(job)
			}
			return len(offeredQueue.Jobs) < maxOfferedJobs
		})
		if len(offeredQueue.Jobs) > 0 {
			work.queues = append(work.queues, offeredQueue)
		}
	}
	return work
}

// groupsWithRoom returns the groups of a queue whose tasks fit a worker and whose team is below its
// limit. It leaves out gangs, which the leader places itself.
func (o *offerMaker) groupsWithRoom(queue *typeQueue, room *roomIndex) []*needsCursor {
	var cursors []*needsCursor
	for _, group := range queue.groups {
		head := queue.jobs[group.positions[0]]
		if head.IsGang() || o.jobs.QuotaHeadroom(head) <= 0 {
			continue
		}
		if targets := room.withRoom(&head.Spec); len(targets) > 0 {
			cursors = append(cursors, &needsCursor{positions: group.positions, targets: targets})
		}
	}
	return cursors
}

// anyTakes reports whether any of the candidates, which a job's tasks fit, may take one: the job is not
// excluded from it, the zone is allowed, and the candidate is not reserved for another job.
func (o *offerMaker) anyTakes(targets []*candidate, job *ledger.Job) bool {
	return slices.ContainsFunc(targets, func(target *candidate) bool {
		isReserved := target.reservedFor != nil && target.reservedFor != job &&
			o.ranking.tier(job) >= o.ranking.tier(target.reservedFor)
		return !isReserved && target.allows(job) && o.jobs.CheckClaim(job, target.worker.Zone) == nil
	})
}

// add adds a job to the offered jobs. Its description is added to a queue separately.
func (w *offeredWork) add(job *ledger.Job) {
	if len(w.jobs) == 0 {
		w.minRequest = job.Spec
	}
	w.minRequest.CPUs = min(w.minRequest.CPUs, job.Spec.CPUs)
	w.minRequest.GPUs = min(w.minRequest.GPUs, job.Spec.GPUs)
	w.minRequest.MemoryGB = min(w.minRequest.MemoryGB, job.Spec.MemoryGB)
	w.jobs = append(w.jobs, job)
}

// anyFits reports whether the next task of any of the jobs may be claimed for a candidate.
func (o *offerMaker) anyFits(jobs []*ledger.Job, target *candidate) bool {
	return slices.ContainsFunc(jobs, func(job *ledger.Job) bool {
		return target.fits(job) && o.jobs.CheckClaim(job, target.worker.Zone) == nil
	})
}

// describeCandidate describes a worker's free capacity for its shard owner.
func (o *offerMaker) describeCandidate(target *candidate) placement.Candidate {
	worker := target.worker
	described := placement.Candidate{
		Worker: worker.Name, InstanceType: worker.InstanceType, Zone: worker.Zone, Spot: worker.Spot,
		CPUs: target.free.cpus, GPUs: target.free.gpus, MemoryGB: target.free.memoryGB,
		TotalCPUs: target.instanceType.CPUs, PullGBPerSecond: target.instanceType.ImagePullGBPerSecond,
	}
	for _, image := range worker.Images {
		if image.Pulling {
			described.PullingImages = append(described.PullingImages, image.Name)
			described.PullingGB += image.SizeGB
		} else {
			described.Images = append(described.Images, image.Name)
		}
	}
	if target.reservedFor != nil {
		described.ReservedFor, described.ReservedTier = target.reservedFor.ID, o.ranking.tier(target.reservedFor)
	}
	return described
}

// describeJob describes a waiting job for the shard owners. The description has no tasks if the
// quota is used up, or if the job is a gang, which the leader places itself.
func (o *offerMaker) describeJob(job *ledger.Job, index *candidateIndex, now time.Time) placement.WaitingJob {
	spec := &job.Spec
	waiting := placement.WaitingJob{
		JobID: job.ID, Tasks: job.WaitingTasks(), Tier: o.ranking.tier(job), Age: now.Sub(job.WaitingSince),
		CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, Image: spec.Image, ImageGB: spec.ImageGB,
		Service: spec.Kind == wire.KindService, AllowSpot: spec.AllowSpot, InstanceTypes: spec.InstanceTypes,
		ExcludedWorkers: job.ExcludedWorkers(now), StartWithinSeconds: o.ranking.startWithinSeconds(job),
	}
	if spec.AllowSpot && o.prefersOnDemand(job) {
		// Offer at most as many tasks as fit half the free on-demand capacity. The rest is
		// offered in the next pass, until too few tasks fit to be worth a pass.
		if slots := index.onDemandSlots(job) / 2; slots > waiting.Tasks/8 {
			waiting.AllowSpot = false
			index.hasUnofferedTasks = index.hasUnofferedTasks || slots < waiting.Tasks
			waiting.Tasks = min(waiting.Tasks, slots)
		}
	}
	if waiting.Service {
		waiting.WarmZones = index.warmZones(job)
	}
	if job.IsGang() {
		waiting.Tasks = 0
	}
	waiting.Tasks = min(waiting.Tasks, o.jobs.QuotaHeadroom(job))
	if spec.Zone != "" || spec.SpreadZones || spec.SingleZone {
		waiting.ZoneSlots = make(map[string]int)
		for _, zone := range index.zones {
			waiting.ZoneSlots[zone] = o.jobs.ZoneHeadroom(job, zone)
		}
	}
	return waiting
}

// prefersOnDemand reports whether a job is better placed on workers that the cloud does not reclaim.
// That is so if the job or a dependent has a deadline, since one lost task delays all of them. It is
// never so if the fleet is never scaled ahead of demand, for example because there is an objective
// on the price of instances.
func (o *offerMaker) prefersOnDemand(job *ledger.Job) bool {
	return !o.settings.NeverScalesAhead() &&
		slices.ContainsFunc(o.dependencies.inherited(job).Deadlines, func(deadline time.Time) bool {
			return !deadline.IsZero()
		})
}

// cloneQueues copies the parts of queues that picking changes. Each owner picks as if it were the
// only one, and the leader confirms the best picks of all.
func cloneQueues(queues []placement.Queue) []placement.Queue {
	clones := slices.Clone(queues)
	for i := range clones {
		clones[i].Jobs = slices.Clone(clones[i].Jobs)
		for k := range clones[i].Jobs {
			clones[i].Jobs[k].ZoneSlots = maps.Clone(clones[i].Jobs[k].ZoneSlots)
		}
	}
	return clones
}

// requestPicks requests picks from all shard owners concurrently, and returns them in the order in
// which they are to be confirmed. It is called without the term's lock.
func (o *offerMaker) requestPicks(ctx context.Context, offers map[string]*placement.Offer) []placement.Pick {
	ctx, cancel := context.WithTimeout(ctx, o.settings.HeartbeatInterval()/pickTimeoutDivisor)
	defer cancel()
	var mu sync.Mutex
	var all []placement.Pick
	var wg sync.WaitGroup
	for owner, offer := range offers {
		wg.Go(func() {
			picks := o.pickWithFallback(ctx, owner, *offer)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, picks...)
		})
	}
	wg.Wait()
	slices.SortStableFunc(all, placement.Pick.Compare)
	return all
}

// pickWithFallback requests picks from a shard owner. If the owner does not answer in time, the
// leader picks instead, by the rates that it has learned itself: the workers would otherwise stay
// idle until the owner is removed from the shard map, which takes two heartbeat intervals when two
// owners are unreachable.
func (o *offerMaker) pickWithFallback(ctx context.Context, owner string, offer placement.Offer) []placement.Pick {
	picks, err := o.shards.Pick(ctx, owner, offer)
	if err == nil {
		return picks
	}
	o.log.Debug("shard owner did not pick; picking in its place", "owner", owner, "err", err)
	picks, err = o.shards.Pick(ctx, o.settings.Name, offer)
	if err != nil {
		o.log.Debug("picking in place of a shard owner failed", "owner", o.settings.Name, "err", err)
	}
	return picks
}
