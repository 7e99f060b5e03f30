package leader

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/placement"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// scheduler places waiting tasks on workers.
type scheduler struct {
	*termScope
	recovery     *dataRecovery
	dependencies *dependencies
	faults       *faultTracker

	deficits map[string]*deficitCounter // of starved arrays, by job type
}

// runScheduler has freed rooms filled whenever something changed.
func (s *scheduler) runScheduler(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.scheduleSignal:
		}
		for s.schedulingPass(ctx) {
		}
		// Reports come in flocks: one pass serves several.
		if !sleep(ctx, s.settings.Report()/64) {
			return ctx.Err()
		}
	}
}

// maxOfferedJobs bounds the jobs of a type in one offer; the rest follow when these
// are placed.
const maxOfferedJobs = 64

// typeQueue is a type with waiting tasks.
type typeQueue struct {
	jobType    string
	unfinished int // unfinished tasks of the type
	jobs       []*ledger.Job
}

// candidate is what is free on a host.
type candidate struct {
	worker               *agent.Worker
	instanceType         *wire.InstanceType
	cpus, gpus, memoryGB float64
	reservedFor          *ledger.Job // kept for this one until it fits
}

// schedulingPass offers each part's rooms to its owner, and claims what the owners pick.
// It reports whether another pass may find more.
func (s *scheduler) schedulingPass(ctx context.Context) bool {
	s.mu.Lock()
	now := s.now()
	if s.recovery.placementOnHold(now) {
		s.mu.Unlock()
		return false
	}
	queues := s.waitingQueues(now)
	if len(queues) == 0 {
		s.mu.Unlock()
		return false
	}
	candidates := s.candidates(now)
	claimed := s.placeGangs(queues, candidates, now)
	s.reserveCapacity(queues, candidates, now)
	index := newCandidateIndex(candidates)
	offers := s.makeOffers(queues, candidates, index, now)
	s.mu.Unlock()

	picks := s.requestPicks(ctx, offers)

	s.mu.Lock()
	defer s.mu.Unlock()
	tierChanged := false
	now = s.now()
	fresh := make(map[string]*candidate) // reports came in meanwhile
	for _, pick := range picks {
		job, target := s.jobs.Job(pick.Ref), fresh[pick.Worker]
		if target == nil {
			target = s.candidate(s.workers[pick.Worker], now)
			fresh[pick.Worker] = target
		}
		if job == nil || target == nil || !target.fits(job) {
			continue
		}
		if s.tier(job) != pick.Tier {
			tierChanged = true // its team's guarantee is used up: others may come first
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
		s.preempt(queues, now)
	}
	return claimed > 0 && (tierChanged || index.moreWaiting)
}

// requestPicks has the owners pick, all at once. For an owner that does not answer soon the
// leader picks, by the rates that it learned itself.
func (s *scheduler) requestPicks(ctx context.Context, offers map[string]*placement.Offer) []placement.Pick {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Report()/12)
	defer cancel()
	var mu sync.Mutex
	var all []placement.Pick
	var wg sync.WaitGroup
	for owner, offer := range offers {
		wg.Go(func() {
			picks, err := s.shards.Pick(ctx, owner, *offer)
			if err != nil {
				// Its rooms would stand empty until the map is without it: for two report
				// intervals where two owners are out of reach.
				s.log.Debug("picks", "owner", owner, "err", err)
				picks, err = s.shards.Pick(ctx, s.settings.Node, *offer)
				if err != nil {
					s.log.Debug("picks", "owner", s.settings.Node, "err", err)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, picks...)
		})
	}
	wg.Wait()
	slices.SortStableFunc(all, placement.Pick.Before)
	return all
}

// makeOffers makes the offer for each part: its rooms that something fits, and the
// types that wait.
func (s *scheduler) makeOffers(queues []*typeQueue, candidates []*candidate, index *candidateIndex, now time.Time) map[string]*placement.Offer {
	var offered []placement.Queue
	var jobs []*ledger.Job
	for _, queue := range queues {
		offeredQueue := placement.Queue{Type: queue.jobType, Unfinished: queue.unfinished}
		for _, job := range queue.jobs {
			if len(offeredQueue.Jobs) == maxOfferedJobs {
				break
			}
			if waiting := s.describeJob(job, index, now); waiting.Tasks > 0 {
				offeredQueue.Jobs = append(offeredQueue.Jobs, waiting)
				jobs = append(jobs, job)
			}
		}
		if len(offeredQueue.Jobs) > 0 {
			offered = append(offered, offeredQueue)
		}
	}
	offers := make(map[string]*placement.Offer)
	if len(jobs) == 0 {
		return offers
	}
	// Most rooms of a full fleet have no room for even the least task.
	least := jobs[0].Spec
	for _, job := range jobs {
		least.CPUs, least.GPUs, least.MemoryGB = min(least.CPUs, job.Spec.CPUs), min(least.GPUs, job.Spec.GPUs), min(least.MemoryGB, job.Spec.MemoryGB)
	}
	shards := s.leadership.ShardMap()
	for _, target := range candidates {
		if !fitsWithin(&least, target.cpus, target.gpus, target.memoryGB) ||
			!slices.ContainsFunc(jobs, func(job *ledger.Job) bool {
				return target.fits(job) && s.jobs.CheckClaim(job, target.worker.Zone) == nil
			}) {
			continue
		}
		owner := shards.Owner(target.worker.Name)
		if offers[owner] == nil {
			offers[owner] = &placement.Offer{Queues: cloneQueues(offered)}
		}
		offeredCandidate := placement.Candidate{
			Worker: target.worker.Name, InstanceType: target.worker.InstanceType, Zone: target.worker.Zone, Spot: target.worker.Spot,
			CPUs: target.cpus, GPUs: target.gpus, MemoryGB: target.memoryGB, TotalCPUs: target.instanceType.CPUs, PullGBPerSecond: target.instanceType.ImagePullGBPerSecond,
		}
		for _, image := range target.worker.Images {
			if image.Pulling {
				offeredCandidate.PullingImages = append(offeredCandidate.PullingImages, image.Name)
				offeredCandidate.PullingGB += image.SizeGB
			} else {
				offeredCandidate.Images = append(offeredCandidate.Images, image.Name)
			}
		}
		if target.reservedFor != nil {
			offeredCandidate.ReservedFor, offeredCandidate.ReservedTier = target.reservedFor.Ref, s.tier(target.reservedFor)
		}
		offers[owner].Candidates = append(offers[owner].Candidates, offeredCandidate)
	}
	return offers
}

// candidateIndex is what the jobs of a pass ask of all rooms, looked up once.
type candidateIndex struct {
	candidates  []*candidate
	zones       []string
	withImage   map[string][]*candidate // rooms that have an image
	moreWaiting bool                    // some waiting tasks were left out
}

func newCandidateIndex(candidates []*candidate) *candidateIndex {
	index := &candidateIndex{candidates: candidates, withImage: make(map[string][]*candidate)}
	for _, target := range candidates {
		if !slices.Contains(index.zones, target.worker.Zone) {
			index.zones = append(index.zones, target.worker.Zone)
		}
		for _, image := range target.worker.Images {
			if !image.Pulling {
				index.withImage[image.Name] = append(index.withImage[image.Name], target)
			}
		}
	}
	return index
}

// onDemandSlots is how many tasks of a job the free rooms of firm machines hold.
func (x *candidateIndex) onDemandSlots(job *ledger.Job) int {
	slots := 0
	for _, target := range x.candidates {
		if !target.worker.Spot && target.fits(job) {
			slots += slotsIn(&job.Spec, target.cpus, target.gpus, target.memoryGB)
		}
	}
	return slots
}

// prefersOnDemand tells whether a job had better run on machines that the cloud does not
// take: others wait for it and have a deadline, so that one lost task holds all
// up, and the users name no price.
func (s *scheduler) prefersOnDemand(job *ledger.Job) bool {
	return !s.settings.Frugal() && slices.ContainsFunc(s.dependencies.inherited(job).Deadlines, func(t time.Time) bool { return !t.IsZero() })
}

// cloneQueues copies what picking changes: each owner picks as if alone, and
// the ledger confirms the best of all picks.
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

// describeJob describes a job to the owners.
func (s *scheduler) describeJob(job *ledger.Job, index *candidateIndex, now time.Time) placement.WaitingJob {
	spec := &job.Spec
	waiting := placement.WaitingJob{
		Ref: job.Ref, Tasks: job.WaitingTasks(), Tier: s.tier(job), Age: now.Sub(job.WaitingSince),
		CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB, Image: spec.Image, ImageGB: spec.ImageGB,
		Service: spec.Kind == wire.KindService, AllowSpot: spec.AllowSpot, InstanceTypes: spec.InstanceTypes,
		ExcludedWorkers: slices.Sorted(maps.Keys(job.FailedOn)),
	}
	waiting.StartWithinSeconds = s.startWithinSeconds(job)
	if spec.AllowSpot && s.prefersOnDemand(job) {
		// As many as half the firm room holds go there; what is left is
		// offered anew, until that is too few to be worth a pass.
		if slots := index.onDemandSlots(job) / 2; slots > waiting.Tasks/8 {
			waiting.AllowSpot = false
			index.moreWaiting = index.moreWaiting || slots < waiting.Tasks
			waiting.Tasks = min(waiting.Tasks, slots)
		}
	}
	if waiting.Service {
		for _, target := range index.withImage[spec.Image] {
			if !slices.Contains(waiting.WarmZones, target.worker.Zone) && target.fits(job) {
				waiting.WarmZones = append(waiting.WarmZones, target.worker.Zone)
			}
		}
	}
	if job.IsGang() {
		waiting.Tasks = 0 // the leader starts gangs itself, whole
	}
	waiting.Tasks = min(waiting.Tasks, s.jobs.QuotaHeadroom(job))
	if spec.Zone != "" || spec.SpreadZones || spec.SingleZone {
		waiting.ZoneSlots = make(map[string]int)
		for _, zone := range index.zones {
			waiting.ZoneSlots[zone] = s.jobs.ZoneHeadroom(job, zone)
		}
	}
	return waiting
}

// claimTask claims the job's next task for a room.
func (s *scheduler) claimTask(target *candidate, job *ledger.Job) bool {
	claim, err := s.jobs.Claim(job, target.worker.Name, target.worker.Incarnation, target.worker.Zone)
	if err != nil {
		return false
	}
	target.worker.IdleSince = time.Time{}
	target.worker.RecordPull(job.Spec.Image, job.Spec.ImageGB)
	s.log.Debug("claim", "task", claim.Task(), "try", claim.Attempt, "host", claim.Worker)
	target.allocate(job)
	s.recordPlacement(job)
	return true
}

// allocate and give account for one task of a job.
func (c *candidate) allocate(job *ledger.Job) {
	c.cpus -= job.Spec.CPUs
	c.gpus -= job.Spec.GPUs
	c.memoryGB -= job.Spec.MemoryGB
}

func (c *candidate) deallocate(job *ledger.Job) {
	c.cpus += job.Spec.CPUs
	c.gpus += job.Spec.GPUs
	c.memoryGB += job.Spec.MemoryGB
}

// waitingQueues groups waiting jobs by type, each in the order its tasks go.
func (s *scheduler) waitingQueues(now time.Time) []*typeQueue {
	byName := make(map[string]*typeQueue)
	for _, job := range s.jobs.Jobs() {
		if job.Cancelled || job.Finished || !job.DependenciesMet() {
			continue // what waits for another job is no queue's yet
		}
		if job.PlacementType == "" {
			job.PlacementType = s.jobType(job)
		}
		queue := byName[job.PlacementType]
		if queue == nil {
			queue = &typeQueue{jobType: job.PlacementType}
			byName[job.PlacementType] = queue
		}
		queue.unfinished += job.UnfinishedTasks()
		if job.WaitingTasks() > 0 && !now.Before(job.RetryAt) && !s.recovery.jobOnHold(job) {
			queue.jobs = append(queue.jobs, job)
		}
	}
	var queues []*typeQueue
	for _, queue := range byName {
		if len(queue.jobs) == 0 {
			continue
		}
		s.orderJobs(queue.jobs, now)
		queues = append(queues, queue)
	}
	slices.SortFunc(queues, func(a, b *typeQueue) int { return cmp.Compare(a.jobType, b.jobType) })
	return queues
}

// orderedJob is a job with what it is ordered by.
type orderedJob struct {
	job     *ledger.Job
	tier    int // teams of one type may stand differently to their guarantees
	slack   deadlineSlack
	starved bool
}

// limitLastChances lets only as many jobs go first for being about to lose a time as there will
// be room for in that moment, the least work first: in a long overload nearly all are
// about to lose one, the largest would go before all others, and most would lose it all
// the same. What there is no room for has lost its time already, but for the clock.
func (s *scheduler) limitLastChances(entries []orderedJob) {
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
		return cmp.Or(cmp.Compare(a.slack.work, b.slack.work), cmp.Compare(a.job.Ref, b.job.Ref))
	})
	margin := (s.settings.Lease() / 2).Seconds()
	freeCPUs := make(map[string]float64) // cores by team
	for _, entry := range lastChances {
		spec := &entry.job.Spec
		if _, ok := freeCPUs[spec.Team]; !ok {
			limit, used := s.jobs.Team(spec.Team).CPUsMax, s.jobs.Usage(spec.Team).CPUs
			freeCPUs[spec.Team] = limit - used + used*min(1, margin/max(spec.ExpectedSeconds, 1))
		}
		if freeCPUs[spec.Team] <= 0 {
			entry.slack.lastChance = false
			entry.slack.missed++
			continue
		}
		freeCPUs[spec.Team] -= float64(entry.job.WaitingTasks()) * max(spec.CPUs, 1)
	}
}

// orderJobs sorts jobs as their tasks go within a type.
func (s *scheduler) orderJobs(jobs []*ledger.Job, now time.Time) {
	entries := make([]orderedJob, len(jobs))
	for i, job := range jobs {
		entries[i] = orderedJob{job, s.tier(job), s.deadlineSlack(job, now), s.isStarved(job, now)}
	}
	s.limitLastChances(entries)
	s.shareWithStarved(entries)
	slices.SortFunc(entries, func(a, b orderedJob) int {
		switch {
		case a.tier != b.tier:
			return cmp.Compare(a.tier, b.tier)
		case a.starved && !b.starved:
			return -1
		case b.starved && !a.starved:
			return 1
		case a.starved:
			return cmp.Or(a.job.WaitingSince.Compare(b.job.WaitingSince), cmp.Compare(a.job.Ref, b.job.Ref))
		}
		return cmp.Or(a.slack.compare(b.slack), a.job.ReadyAt.Compare(b.job.ReadyAt), cmp.Compare(a.job.Ref, b.job.Ref))
	})
	for i, entry := range entries {
		jobs[i] = entry.job
	}
}

// startWithinSeconds is how soon a job's users want its tasks started, in seconds; 0 if they
// name no time.
func (s *scheduler) startWithinSeconds(job *ledger.Job) float64 {
	for _, objective := range s.settings.Facts.Objectives {
		if objective.Kind == "wait" && objective.Class == job.Spec.Class {
			return objective.WithinS
		}
	}
	return 0
}

// deadlineSlack orders jobs within a type.
type deadlineSlack struct {
	lastChance bool    // a time of it is lost unless it starts about now
	missed     int     // how many of the times its users named have become out of reach
	work       float64 // core-seconds left
}

// deadlineSlack looks at the times by which the job's users want it: its deadline,
// and the objectives of its class. A time that can no longer be met is past
// helping, so those that still can go first; among them the job with the least
// work left, for then the most jobs are in time when there is not room for all.
// But a job goes first when one of its times is about to be lost, before all others
// if it has lost one already: large arrays would otherwise wait for as long as small
// ones keep coming.
func (s *scheduler) deadlineSlack(job *ledger.Job, now time.Time) deadlineSlack {
	slack := deadlineSlack{work: float64(job.UnfinishedTasks()) * max(job.Spec.CPUs, 1) * max(job.Spec.ExpectedSeconds, 1)}
	runTime := settings.Seconds(job.Spec.ExpectedSeconds)
	margin, isService := s.settings.Lease()/2, job.Spec.Kind == wire.KindService
	for k, objective := range s.settings.Facts.Objectives {
		deadline := s.objectiveDeadline(k, job)
		latestStart := deadline.Add(-time.Duration(longestTaskRatio * float64(runTime))) // at the latest
		if objective.Kind == "wait" && objective.Class == job.Spec.Class {
			waitingSince := job.ReadyAt
			if isService {
				waitingSince = job.WaitingSince // one that ran and was lost goes with the new ones
			}
			deadline = waitingSince.Add(settings.Seconds(objective.WithinS)).Add(runTime)
			latestStart = deadline.Add(-runTime)
		}
		switch {
		case deadline.IsZero():
		case now.Add(runTime).After(deadline):
			// Of replicas too: late, they start late whenever they do, and where room of a
			// kind is short for good they would keep all others waiting as well.
			slack.missed++
		case !isService && now.Add(margin).After(latestStart):
			slack.lastChance = true
		}
	}
	return slack
}

// objectiveDeadline is the time by which an objective, given by its number, wants a job
// done; zero if it names none. A deadline counts from the submission and binds
// what the job needs too, all else counts from when the job could start.
func (s *scheduler) objectiveDeadline(index int, job *ledger.Job) time.Time {
	objective := &s.settings.Facts.Objectives[index]
	if objective.Kind == "finished" && objective.Class == job.Spec.Class {
		return job.ReadyAt.Add(settings.Seconds(objective.WithinS))
	}
	return s.dependencies.inherited(job).Deadlines[index]
}

// secondsToDeadline is the time until the first that a job can still be done by, in seconds;
// 0 if there is none.
func (s *scheduler) secondsToDeadline(job *ledger.Job, now time.Time) float64 {
	least := 0.0
	for index := range s.settings.Facts.Objectives {
		deadline := s.objectiveDeadline(index, job)
		if left := deadline.Sub(now).Seconds(); !deadline.IsZero() && left >= job.Spec.ExpectedSeconds && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

func (s deadlineSlack) compare(other deadlineSlack) int {
	switch {
	case s.lastChance != other.lastChance && s.lastChance:
		return -1
	case s.lastChance != other.lastChance:
		return 1
	case s.lastChance:
		return cmp.Or(-cmp.Compare(min(s.missed, 1), min(other.missed, 1)), cmp.Compare(s.work, other.work))
	}
	return cmp.Or(cmp.Compare(s.missed, other.missed), cmp.Compare(s.work, other.work))
}

// acceptsTasks tells whether a host may take new tasks.
func (s *scheduler) acceptsTasks(worker *agent.Worker, now time.Time) bool {
	_, leaving := s.released[worker.Name]
	return !leaving && s.leaseRenewed(worker, now) && worker.ReclaimAt.IsZero() && !worker.Draining && !now.Before(worker.StartBackoffUntil) && !s.faults.quarantined(worker, now)
}

func (s *scheduler) candidates(now time.Time) []*candidate {
	candidates := make([]*candidate, 0, len(s.workersByName))
	for _, worker := range s.workersByName {
		if target := s.candidate(worker, now); target != nil {
			candidates = append(candidates, target)
		}
	}
	return candidates
}

// candidate is what is free on a host, or nil if it may not take new tasks.
func (s *scheduler) candidate(worker *agent.Worker, now time.Time) *candidate {
	if worker == nil || worker.HasUnclaimedTask || !s.acceptsTasks(worker, now) {
		return nil
	}
	instanceType := s.instanceTypes.InstanceTypes()[worker.InstanceType]
	if instanceType == nil {
		return nil
	}
	used := s.jobs.UsedOnWorker(worker.Name)
	return &candidate{worker: worker, instanceType: instanceType, cpus: instanceType.CPUs - used.Cores, gpus: instanceType.GPUs - used.Accelerators, memoryGB: instanceType.MemoryGB - used.RAMGB}
}

const roundingTolerance = 1e-6

// fits tells whether a task of a job fits what is free.
func (c *candidate) fits(job *ledger.Job) bool {
	return fitsWithin(&job.Spec, c.cpus, c.gpus, c.memoryGB) && c.allows(job)
}

// fitsWhenEmpty tells whether a task of a job would fit the machine were it empty.
func (c *candidate) fitsWhenEmpty(job *ledger.Job) bool {
	return fitsWithin(&job.Spec, c.instanceType.CPUs, c.instanceType.GPUs, c.instanceType.MemoryGB) && c.allows(job)
}

func fitsWithin(spec *wire.Job, cpus, gpus, memoryGB float64) bool {
	return spec.CPUs <= cpus+roundingTolerance && spec.GPUs <= gpus+roundingTolerance && spec.MemoryGB <= memoryGB+roundingTolerance
}

// allows tells whether a job may be on the room's machine at all.
func (c *candidate) allows(job *ledger.Job) bool {
	spec := &job.Spec
	return (spec.AllowSpot || !c.worker.Spot) && (spec.Zone == "" || spec.Zone == c.worker.Zone) &&
		(len(spec.InstanceTypes) == 0 || slices.Contains(spec.InstanceTypes, c.worker.InstanceType)) && !job.FailedOn[c.worker.Name]
}

// tier orders jobs: what is within a guarantee before what is borrowed, and in
// each by rank.
func (s *scheduler) tier(job *ledger.Job) int {
	if s.jobs.WithinGuaranteedQuota(job) {
		return s.dependencies.effectivePriority(job)
	}
	return priorityLevel("idle") + 1 + s.dependencies.effectivePriority(job)
}

// priorityName is a rank by its place.
func priorityName(level int) string { return wire.Priorities()[level] }

// priorityLevel orders ranks.
func priorityLevel(priority string) int {
	switch priority {
	case "production":
		return 0
	case "urgent":
		return 1
	case "standard":
		return 2
	}
	return 3
}

// jobType is the type of a job for the placement rule.
func (s *scheduler) jobType(job *ledger.Job) string {
	var key []byte
	for _, field := range s.settings.Operator.Placement.Fields() {
		switch field {
		case "class":
			key = append(key, job.Spec.Class...)
		case "owner":
			key = append(key, job.Spec.Team...)
		case "bundle":
			key = append(key, job.Spec.Image...)
		case "rank":
			key = append(key, job.Spec.Priority...)
		case "shape":
			key = append(key, job.Spec.Kind...)
		}
		key = append(key, '|')
	}
	return string(key)
}
