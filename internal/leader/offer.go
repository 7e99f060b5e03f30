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

// maxOfferedJobs bounds the jobs of a type in one offer; the rest follow when these are placed.
const maxOfferedJobs = 64

// pickTimeoutsPerHeartbeat is the heartbeat interval over the time in which owners have to pick.
const pickTimeoutsPerHeartbeat = 12

// offerMaker describes free capacity and waiting jobs to the owners of the shards, and collects
// what they pick.
//
// The scheduling pass calls it: makeOffers with mu held, requestPicks without, since owners are
// other controllers. It must not claim: a pick counts only once the scheduler confirmed it.
type offerMaker struct {
	*termScope
	dependencies *dependencies
	ranking      *jobRanking
}

// offeredWork is what an offer tells every shard owner, with the jobs that it is made of.
type offeredWork struct {
	queues []placement.Queue
	jobs   []*ledger.Job
	least  wire.Job // of each resource the least that any of the jobs asks for
}

// makeOffers makes the offer to each shard owner: those of its workers that something waiting
// fits, and the queues.
func (o *offerMaker) makeOffers(queues []*typeQueue, index *candidateIndex, now time.Time) map[string]*placement.Offer {
	offers := make(map[string]*placement.Offer)
	work := o.workToOffer(queues, index, now)
	if len(work.jobs) == 0 {
		return offers
	}
	shards := o.leadership.ShardMap()
	for _, target := range index.candidates {
		// Most workers of a full fleet have no capacity for even the least task.
		if !target.free.fit(&work.least) || !o.anyFits(work.jobs, target) {
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

// workToOffer describes the jobs that have tasks to be placed by shard owners.
func (o *offerMaker) workToOffer(queues []*typeQueue, index *candidateIndex, now time.Time) offeredWork {
	var work offeredWork
	for _, queue := range queues {
		offered := placement.Queue{Type: queue.jobType, Unfinished: queue.unfinished}
		for _, job := range queue.jobs {
			if len(offered.Jobs) == maxOfferedJobs {
				break
			}
			if waiting := o.describeJob(job, index, now); waiting.Tasks > 0 {
				offered.Jobs = append(offered.Jobs, waiting)
				work.add(job)
			}
		}
		if len(offered.Jobs) > 0 {
			work.queues = append(work.queues, offered)
		}
	}
	return work
}

// add takes a job into the offered work, beside its description in a queue.
func (w *offeredWork) add(job *ledger.Job) {
	if len(w.jobs) == 0 {
		w.least = job.Spec
	}
	w.least.CPUs = min(w.least.CPUs, job.Spec.CPUs)
	w.least.GPUs = min(w.least.GPUs, job.Spec.GPUs)
	w.least.MemoryGB = min(w.least.MemoryGB, job.Spec.MemoryGB)
	w.jobs = append(w.jobs, job)
}

// anyFits reports whether the next task of any of the jobs may be claimed for a candidate.
func (o *offerMaker) anyFits(jobs []*ledger.Job, target *candidate) bool {
	return slices.ContainsFunc(jobs, func(job *ledger.Job) bool {
		return target.fits(job) && o.jobs.CheckClaim(job, target.worker.Zone) == nil
	})
}

// describeCandidate describes a worker's free capacity to its shard's owner.
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

// describeJob describes a waiting job to the shard owners. It has no tasks for them where its
// quota is used up, or where it is a gang, which the leader places itself.
func (o *offerMaker) describeJob(job *ledger.Job, index *candidateIndex, now time.Time) placement.WaitingJob {
	spec := &job.Spec
	waiting := placement.WaitingJob{
		JobID: job.ID, Tasks: job.WaitingTasks(), Tier: o.ranking.tier(job), Age: now.Sub(job.WaitingSince),
		CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, Image: spec.Image, ImageGB: spec.ImageGB,
		Service: spec.Kind == wire.KindService, AllowSpot: spec.AllowSpot, InstanceTypes: spec.InstanceTypes,
		ExcludedWorkers: slices.Sorted(maps.Keys(job.FailedOn)), StartWithinSeconds: o.ranking.startWithinSeconds(job),
	}
	if spec.AllowSpot && o.prefersOnDemand(job) {
		// As many as half the on-demand capacity holds go there; what is left is offered
		// anew, until that is too few to be worth a pass.
		if slots := index.onDemandSlots(job) / 2; slots > waiting.Tasks/8 {
			waiting.AllowSpot = false
			index.moreWaiting = index.moreWaiting || slots < waiting.Tasks
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

// prefersOnDemand reports whether a job had better run on workers that the cloud does not
// reclaim: it has a deadline or others with one wait for it, so that one lost task holds all
// up, and the users name no price.
func (o *offerMaker) prefersOnDemand(job *ledger.Job) bool {
	return !o.settings.NeverScalesAhead() &&
		slices.ContainsFunc(o.dependencies.inherited(job).Deadlines, func(deadline time.Time) bool {
			return !deadline.IsZero()
		})
}

// cloneQueues copies what picking changes: each owner picks as if alone, and the leader
// confirms the best of all picks.
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

// requestPicks has the shard owners pick, all at once, and returns the picks of all in the
// order in which they are to be confirmed. It is called without the term's lock.
func (o *offerMaker) requestPicks(ctx context.Context, offers map[string]*placement.Offer) []placement.Pick {
	ctx, cancel := context.WithTimeout(ctx, o.settings.HeartbeatInterval()/pickTimeoutsPerHeartbeat)
	defer cancel()
	var mu sync.Mutex
	var all []placement.Pick
	var wg sync.WaitGroup
	for owner, offer := range offers {
		wg.Go(func() {
			picks := o.picksOf(ctx, owner, *offer)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, picks...)
		})
	}
	wg.Wait()
	slices.SortStableFunc(all, placement.Pick.Compare)
	return all
}

// picksOf has a shard's owner pick. For one that does not answer soon the leader picks, by the
// rates that it learned itself: the workers would stand idle until the shard map is without
// the owner, which takes two heartbeat intervals where two owners are unreachable.
func (o *offerMaker) picksOf(ctx context.Context, owner string, offer placement.Offer) []placement.Pick {
	picks, err := o.shards.Pick(ctx, owner, offer)
	if err == nil {
		return picks
	}
	o.log.Debug("shard owner did not pick", "owner", owner, "err", err)
	picks, err = o.shards.Pick(ctx, o.settings.Name, offer)
	if err != nil {
		o.log.Debug("shard owner did not pick", "owner", o.settings.Name, "err", err)
	}
	return picks
}
