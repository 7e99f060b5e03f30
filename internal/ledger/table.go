// Package ledger is the leader's account of jobs and claims. It is pure: it
// decides what may be claimed and what must be written, and leaves the writing
// to its caller. A claim stands from before a launch until there is proof that
// the task is gone, and all that time it counts in its team's quota.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// Task names one task of a job.
type Task struct {
	JobRef string
	Index  int
}

// String is the task's name on the wire.
func (t Task) String() string { return t.JobRef + "/" + strconv.Itoa(t.Index) }

// ParseTask reads a task's name.
func ParseTask(name string) (Task, bool) {
	for i := len(name) - 1; i > 0; i-- {
		if name[i] == '/' {
			index, err := strconv.Atoi(name[i+1:])
			return Task{name[:i], index}, err == nil && index >= 0
		}
	}
	return Task{}, false
}

// Claim is a claim with what its holder knows of it.
type Claim struct {
	ClaimRecord
	Job          *Job
	Index        int
	Committed    bool      // durable: it may be launched
	StartSent    bool      // a launch may have left this or an earlier leader
	StartEpoch   uint64    // the highest epoch of such a launch
	Finished     bool      // finished; kept until that is durable
	RunningSince time.Time // first seen running
	Stopping     bool      // a stop was decided
	Audited      bool      // the audit record has it, or a block under way; the caller's
	// Unconfirmed is a claim of a history that was lost, until its worker shows the task.
	Unconfirmed bool
}

// Task is the claimed task.
func (c *Claim) Task() Task { return Task{c.Job.Ref, c.Index} }

// Job is a job that is not over, or is withdrawn and not yet gone.
type Job struct {
	Ref         string
	Spec        wire.Job
	SubmittedAt time.Time // when it was submitted, by the clock of the node that accepted it
	ArrivedAt   time.Time // the same by this node's clock, as near as is known
	ArrivalSeen bool      // this node saw it come: it was not there when it began
	Cancelled   bool
	// CancelledAt is when its user may first have been told that it is; the
	// caller sets it for jobs withdrawn later. Zero: not known.
	CancelledAt time.Time
	Finished    bool // all tasks done; not yet durable

	chunkTasks   int // tasks per chunk
	modRevision  uint64
	chunks       map[int]*taskChunk
	claims       map[int]*Claim
	claimsByZone map[string]int // claims by zone
	nextIndex    int            // tasks from here on were never claimed
	requeued     []int          // tasks to be claimed again
	doneTasks    int

	// Origin is who submitted it, where that is kept, and Told whether the audit
	// record has it; the caller's.
	Origin  *Origin
	Audited bool

	// ReadyAt is since when it waits for no other job.
	ReadyAt time.Time
	// Inherited is what it has from the jobs that need it; the caller's, and nil
	// whenever those have changed.
	Inherited         *InheritedPriority
	alreadyDone       bool            // read as done; only its chunks are left
	unmetDependencies map[string]bool // jobs not yet known to be done
	cancelledUpstream string          // a job it needs, if that was withdrawn

	// RetryAt holds the job back after failures; the caller sets it.
	RetryAt             time.Time
	ConsecutiveFailures int             // failures in a row
	FailedOn            map[string]bool // hosts where a task failed
	// RunSeconds is how long its finished tasks ran that were seen running; the
	// caller's too.
	RunSeconds Mean
	// PlacementType is the job's type for the placement rule; the caller's too.
	PlacementType string
	// NextPreemptionAt is when others may next be stopped for it; the caller's too.
	NextPreemptionAt time.Time
	// Waiting is since when a task of it waits.
	WaitingSince time.Time
}

// Mean is a sum with the number of its terms.
type Mean struct {
	Sum   float64
	Count int
}

// DoneTasks counts finished tasks.
func (j *Job) DoneTasks() int { return j.doneTasks }

// ClaimedTasks counts claims.
func (j *Job) ClaimedTasks() int { return len(j.claims) }

// UnfinishedTasks counts tasks that are not done.
func (j *Job) UnfinishedTasks() int { return j.Spec.TaskCount - j.doneTasks }

// WaitingTasks counts tasks without a claim.
func (j *Job) WaitingTasks() int {
	if j.Cancelled || j.Finished || !j.DependenciesMet() {
		return 0
	}
	return j.Spec.TaskCount - j.nextIndex + len(j.requeued)
}

// IsGang tells whether the job's tasks start together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Kind == wire.KindGang }

// Usage is what a team's claims take.
type Usage struct{ CPUs, GPUs float64 }

// Table is the account. It is not safe for concurrent use.
type Table struct {
	writer     string // marks this leader's writes
	writeCount uint64
	teams      map[string]settings.Team
	usage      map[string]*Usage
	jobs       map[string]*Job
	workers    map[string]*workerClaims
	dirty      []dirtyChunk // in order of need

	dependents map[string][]*Job // by the job that they need
	toCancel   []*Job            // to be withdrawn

	minAttempt uint64 // new chunks give out tries above it
	reserved   Usage  // for tasks of jobs that nothing is known of
}

type dirtyChunk struct {
	job   *Job
	index int
}

// Resources is what tasks take of a machine.
type Resources struct{ Cores, Accelerators, RAMGB float64 }

func (r *Resources) add(job *wire.Job, count float64) {
	r.Cores += count * job.CPUs
	r.Accelerators += count * job.GPUs
	r.RAMGB += count * job.MemoryGB
}

// workerClaims are a host's claims, with what those take that are not over.
type workerClaims struct {
	claims map[Task]*Claim
	used   Resources
}

// New makes an empty ledger whose writes carry the writer's mark.
func New(writer string, teams []settings.Team) *Table {
	table := &Table{
		writer:  writer,
		teams:   make(map[string]settings.Team),
		usage:   make(map[string]*Usage),
		jobs:    make(map[string]*Job),
		workers: make(map[string]*workerClaims),

		dependents: make(map[string][]*Job),
	}
	for _, team := range teams {
		table.teams[team.Name] = team
		table.usage[team.Name] = &Usage{}
	}
	return table
}

// Job finds a job.
func (t *Table) Job(ref string) *Job { return t.jobs[ref] }

// Jobs are all jobs, by reference. The map is the ledger's own: do not change it.
func (t *Table) Jobs() map[string]*Job { return t.jobs }

// Usage is what a team's claims take.
func (t *Table) Usage(team string) Usage {
	if usage := t.usage[team]; usage != nil {
		return *usage
	}
	return Usage{}
}

// Team finds a team.
func (t *Table) Team(name string) settings.Team { return t.teams[name] }

// ClaimsOnWorker are the claims on a host. The map is the ledger's own.
func (t *Table) ClaimsOnWorker(worker string) map[Task]*Claim {
	if worker := t.workers[worker]; worker != nil {
		return worker.claims
	}
	return nil
}

// UsedOnWorker is what the claims on a host take of it. A task that is over takes
// nothing, though its claim stands until that is durable.
func (t *Table) UsedOnWorker(worker string) Resources {
	if worker := t.workers[worker]; worker != nil {
		return worker.used
	}
	return Resources{}
}

// ClaimedWorkers are all hosts with a claim.
func (t *Table) ClaimedWorkers() []string {
	var workers []string
	for worker := range t.workers {
		workers = append(workers, worker)
	}
	slices.Sort(workers)
	return workers
}

// AddJob takes in a job read from the state service. A known job is left alone.
func (t *Table) AddJob(ref string, record JobRecord, modRevision uint64) *Job {
	if job := t.jobs[ref]; job != nil {
		return job
	}
	job := &Job{
		Ref: ref, Spec: record.Job, Origin: record.Origin, SubmittedAt: time.UnixMilli(record.SubmittedMS), modRevision: modRevision, chunkTasks: max(1, record.ChunkTasks),
		chunks: make(map[int]*taskChunk), claims: make(map[int]*Claim), claimsByZone: make(map[string]int),
	}
	job.ArrivedAt, job.WaitingSince, job.ReadyAt = job.SubmittedAt, job.SubmittedAt, job.SubmittedAt
	t.jobs[ref] = job
	t.addDependencies(job)
	return job
}

// MarkArrived notes that a job was seen to come at a time. All that is counted from its
// submission counts from then: the clock of the node that accepted it may be off by more
// than what its users wait for.
func (j *Job) MarkArrived(at time.Time) {
	j.ArrivalSeen, j.ArrivedAt = true, at
	if j.ReadyAt.Equal(j.SubmittedAt) {
		j.WaitingSince, j.ReadyAt = at, at
	}
}

// LoadChunk takes in a stored chunk of a job already added. Its claims may have
// been launched by an earlier leader, under an epoch of at most the one given.
func (t *Table) LoadChunk(key string, data []byte, modRevision, epoch uint64) error {
	ref, index, ok := parseChunkKey(key)
	job := t.jobs[ref]
	if !ok || job == nil {
		return fmt.Errorf("ledger: no job for %s", key)
	}
	chunk, err := decodeChunk(data, modRevision)
	if err != nil {
		return fmt.Errorf("ledger: %s: %w", key, err)
	}
	if job.alreadyDone {
		// All its tasks are done, also those that an earlier leader had no
		// time to note here. Nor is it known where such a claim belongs: the
		// ending of a job that is done did not tell the size of its chunks.
		clear(chunk.claims)
	}
	job.chunks[index] = chunk
	job.Audited = job.Audited || chunk.auditBlock != 0
	job.doneTasks += chunk.done.count()
	first := index * job.chunkTasks
	for offset, record := range chunk.claims {
		t.addClaim(&Claim{ClaimRecord: record, Job: job, Index: first + offset, Committed: true, StartSent: true, StartEpoch: epoch, Audited: true})
	}
	return nil
}

// JobOfChunkKey is the job that a chunk's key belongs to.
func JobOfChunkKey(key string) (string, bool) {
	ref, _, ok := parseChunkKey(key)
	return ref, ok
}

// FinishLoading is called once all chunks are loaded: it finds what still waits.
func (t *Table) FinishLoading() {
	for _, job := range t.jobs {
		last := -1
		for index, chunk := range job.chunks {
			for i := range chunk.claims {
				last = max(last, index*job.chunkTasks+i)
			}
			for byteIndex := len(chunk.done) - 1; byteIndex >= 0; byteIndex-- {
				if chunk.done[byteIndex] != 0 {
					last = max(last, index*job.chunkTasks+byteIndex*8+bits.Len8(chunk.done[byteIndex])-1)
					break
				}
			}
		}
		job.nextIndex = min(last+1, job.Spec.TaskCount)
		for i := range job.nextIndex {
			if job.claims[i] == nil && !job.isTaskDone(i) {
				job.requeued = append(job.requeued, i)
			}
		}
		t.checkFinished(job)
	}
	t.markEndedChunksDirty()
}

func (j *Job) isTaskDone(i int) bool {
	chunk := j.chunks[i/j.chunkTasks]
	return chunk != nil && chunk.done.has(i%j.chunkTasks)
}

func (t *Table) addClaim(claim *Claim) {
	job := claim.Job
	job.claims[claim.Index] = claim
	job.claimsByZone[claim.Zone]++
	worker := t.workers[claim.Worker]
	if worker == nil {
		worker = &workerClaims{claims: make(map[Task]*Claim)}
		t.workers[claim.Worker] = worker
	}
	worker.claims[claim.Task()] = claim
	worker.used.add(&job.Spec, 1)
	t.addUsage(job, 1)
}

// addUsage accounts for a number of the job's tasks with its team.
func (t *Table) addUsage(job *Job, tasks float64) {
	if usage := t.usage[job.Spec.Team]; usage != nil {
		usage.CPUs += tasks * job.Spec.CPUs
		usage.GPUs += tasks * job.Spec.GPUs
	}
}

func (t *Table) removeClaim(claim *Claim) {
	job := claim.Job
	delete(job.claims, claim.Index)
	if job.claimsByZone[claim.Zone]--; job.claimsByZone[claim.Zone] == 0 {
		delete(job.claimsByZone, claim.Zone)
	}
	worker := t.workers[claim.Worker]
	delete(worker.claims, claim.Task())
	if !claim.Finished {
		worker.used.add(&job.Spec, -1)
		t.addUsage(job, -1)
	}
	if len(worker.claims) == 0 {
		delete(t.workers, claim.Worker)
	}
	chunk := job.chunks[claim.Index/job.chunkTasks]
	delete(chunk.claims, claim.Index%job.chunkTasks)
	if !claim.Committed {
		chunk.uncommitted--
	}
	t.markDirty(job, claim.Index/job.chunkTasks)
}

func (t *Table) markDirty(job *Job, index int) {
	chunk := job.chunks[index]
	if !chunk.dirty {
		chunk.dirty = true
		t.dirty = append(t.dirty, dirtyChunk{job, index})
	}
}

// Reasons why a task may not be claimed now.
var (
	ErrNoWaitingTask  = errors.New("ledger: no task waits")
	ErrQuotaExceeded  = errors.New("ledger: the team is at its limit")
	ErrZoneNotAllowed = errors.New("ledger: the place is not allowed")
)

// quotaTolerance forgives the rounding of sums of decimal amounts; limits are given in
// far coarser steps.
const quotaTolerance = 1e-6

// CheckClaim tells whether one more task of the job may be claimed in a zone.
func (t *Table) CheckClaim(job *Job, zone string) error {
	if job.WaitingTasks() == 0 {
		return ErrNoWaitingTask
	}
	team, usage := t.teams[job.Spec.Team], t.usage[job.Spec.Team]
	if usage == nil || usage.CPUs+t.reserved.CPUs+job.Spec.CPUs > team.CPUsMax+quotaTolerance || usage.GPUs+t.reserved.GPUs+job.Spec.GPUs > team.GPUsMax+quotaTolerance {
		return ErrQuotaExceeded
	}
	if job.Spec.Zone != "" && job.Spec.Zone != zone {
		return ErrZoneNotAllowed
	}
	// Both spreads are kept against every claim, also those whose task's
	// fate is unknown: such a task may still be on its machine.
	if job.Spec.SpreadZones && job.claimsByZone[zone]+1 > (job.Spec.TaskCount+1)/2 {
		return ErrZoneNotAllowed
	}
	if job.Spec.SingleZone && len(job.claims) > job.claimsByZone[zone] {
		return ErrZoneNotAllowed
	}
	return nil
}

// QuotaHeadroom is how many more tasks of the job its team's limit allows.
func (t *Table) QuotaHeadroom(job *Job) int {
	team, usage := t.teams[job.Spec.Team], t.usage[job.Spec.Team]
	if usage == nil {
		return 0
	}
	n := job.Spec.TaskCount
	if job.Spec.CPUs > 0 {
		n = min(n, int((team.CPUsMax-usage.CPUs-t.reserved.CPUs+quotaTolerance)/job.Spec.CPUs))
	}
	if job.Spec.GPUs > 0 {
		n = min(n, int((team.GPUsMax-usage.GPUs-t.reserved.GPUs+quotaTolerance)/job.Spec.GPUs))
	}
	return max(n, 0)
}

// ZoneHeadroom is how many more tasks of the job a zone may take.
func (t *Table) ZoneHeadroom(job *Job, zone string) int {
	n := job.Spec.TaskCount
	if job.Spec.Zone != "" && job.Spec.Zone != zone || job.Spec.SingleZone && len(job.claims) > job.claimsByZone[zone] {
		return 0
	}
	if job.Spec.SpreadZones {
		n = (job.Spec.TaskCount+1)/2 - job.claimsByZone[zone]
	}
	return n
}

// ClaimsInZone is how many of the job's claims are in a zone.
func (j *Job) ClaimsInZone(zone string) int { return j.claimsByZone[zone] }

// CanClaimGang tells whether all waiting tasks of a gang are within its team's limit,
// and none of an earlier start is left.
func (t *Table) CanClaimGang(job *Job) bool {
	team, usage := t.teams[job.Spec.Team], t.usage[job.Spec.Team]
	waiting := float64(job.WaitingTasks())
	return waiting > 0 && len(job.claims) == 0 && usage != nil &&
		usage.CPUs+t.reserved.CPUs+waiting*job.Spec.CPUs <= team.CPUsMax+quotaTolerance && usage.GPUs+t.reserved.GPUs+waiting*job.Spec.GPUs <= team.GPUsMax+quotaTolerance
}

// WithinGuaranteedQuota tells whether one more task is within its team's guarantee.
func (t *Table) WithinGuaranteedQuota(job *Job) bool {
	team, usage := t.teams[job.Spec.Team], t.usage[job.Spec.Team]
	return usage != nil && usage.CPUs+job.Spec.CPUs <= team.CPUs+quotaTolerance && usage.GPUs+job.Spec.GPUs <= team.GPUs+quotaTolerance
}

// Claim claims the job's next task for a host. The claim must be committed
// before the task is launched.
func (t *Table) Claim(job *Job, worker string, incarnation uint64, zone string) (*Claim, error) {
	if err := t.CheckClaim(job, zone); err != nil {
		return nil, err
	}
	var index int
	if chunkIndex := len(job.requeued); chunkIndex > 0 {
		index = job.requeued[chunkIndex-1]
		job.requeued = job.requeued[:chunkIndex-1]
	} else {
		index = job.nextIndex
		job.nextIndex++
	}
	chunkIndex := index / job.chunkTasks
	chunk := job.chunks[chunkIndex]
	if chunk == nil {
		chunk = &taskChunk{lastAttempt: t.minAttempt, claims: make(map[int]ClaimRecord)}
		job.chunks[chunkIndex] = chunk
	}
	// A try is never used twice, whatever became of the last. The members of
	// a gang find one another by having the same.
	if job.IsGang() {
		chunk.lastAttempt = job.nextGangAttempt(t.minAttempt)
	} else {
		chunk.lastAttempt++
	}
	claim := &Claim{ClaimRecord: ClaimRecord{Worker: worker, Incarnation: incarnation, Attempt: chunk.lastAttempt, Zone: zone}, Job: job, Index: index}
	chunk.claims[index%job.chunkTasks] = claim.ClaimRecord
	chunk.uncommitted++
	t.addClaim(claim)
	t.markDirty(job, chunkIndex)
	return claim, nil
}

// nextGangAttempt is the try of a gang's next claim: that of the members claimed already,
// or a new one for the first.
func (j *Job) nextGangAttempt(minAttempt uint64) uint64 {
	for _, claim := range j.claims {
		return claim.Attempt
	}
	highest := minAttempt
	for _, chunk := range j.chunks {
		highest = max(highest, chunk.lastAttempt)
	}
	return highest + 1
}

// Free gives a claim up on proof that its task is gone, and lets the task be
// claimed again.
func (t *Table) Free(claim *Claim, now time.Time) {
	job := claim.Job
	if job.claims[claim.Index] != claim || claim.Finished {
		return
	}
	t.removeClaim(claim)
	if job.WaitingTasks() == 0 {
		job.WaitingSince = now
	}
	job.requeued = append(job.requeued, claim.Index)
}

// Finish notes a finished task. The claim stays until the finish is durable, so
// that the worker is not told to forget it before; but the task is surely gone
// from its machine, so it takes no more of it, nor of its team's limit.
func (t *Table) Finish(claim *Claim) {
	job := claim.Job
	if job.claims[claim.Index] != claim || claim.Finished {
		return
	}
	claim.Finished = true
	t.workers[claim.Worker].used.add(&job.Spec, -1)
	t.addUsage(job, -1)
	job.doneTasks++
	chunk := job.chunks[claim.Index/job.chunkTasks]
	chunk.done.set(claim.Index % job.chunkTasks)
	delete(chunk.claims, claim.Index%job.chunkTasks)
	t.markDirty(job, claim.Index/job.chunkTasks)
	t.checkFinished(job)
}

func (t *Table) checkFinished(job *Job) {
	if !job.Cancelled && job.Spec.Kind != wire.KindService && job.doneTasks >= job.Spec.TaskCount && !job.Finished {
		job.Finished = true
		for index := range job.chunks {
			t.markDirty(job, index)
		}
	}
}

// Cancel notes that a job was withdrawn. Claims that were surely never
// launched are freed; the rest stand until proof.
func (t *Table) Cancel(ref string) {
	job := t.jobs[ref]
	if job == nil || job.Cancelled {
		return
	}
	job.Cancelled = true
	job.Finished = false
	t.removeDependencies(job)
	for _, claim := range job.claims {
		// A finish that was still to be written is proof that the task
		// is gone; the finish itself no longer matters.
		if claim.Finished || !claim.Committed && !claim.StartSent && !job.chunks[claim.Index/job.chunkTasks].inFlight() {
			t.removeClaim(claim)
		}
	}
	for index := range job.chunks {
		t.markDirty(job, index)
	}
	t.forgetIfGone(job)
}

// forgetIfGone forgets a withdrawn job of which nothing is left, here or stored.
func (t *Table) forgetIfGone(job *Job) {
	if !job.Cancelled || len(job.claims) > 0 {
		return
	}
	for _, chunk := range job.chunks {
		if chunk.modRevision != 0 || chunk.inFlight() {
			return
		}
	}
	delete(t.jobs, job.Ref)
}

// ClaimsOfJob are a job's claims.
func (t *Table) ClaimsOfJob(job *Job) []*Claim {
	claims := make([]*Claim, 0, len(job.claims))
	for _, claim := range job.claims {
		claims = append(claims, claim)
	}
	return claims
}

// AddEndedJob takes in a job that is over but of which claims are stored.
func (t *Table) AddEndedJob(ref string, data []byte) error {
	var end EndRecord
	if err := json.Unmarshal(data, &end); err != nil {
		return fmt.Errorf("ledger: %s: %w", ref, err)
	}
	job := t.AddJob(ref, JobRecord{Job: end.Job, ChunkTasks: end.ChunkTasks}, 0)
	job.Cancelled = true
	if end.EndedMS > 0 {
		job.CancelledAt = time.UnixMilli(end.EndedMS)
	}
	job.alreadyDone = end.Phase == wire.PhaseDone
	return nil
}

// markEndedChunksDirty has the chunks removed of jobs that are over and hold no claim.
func (t *Table) markEndedChunksDirty() {
	for _, job := range t.jobs {
		if !job.Cancelled {
			continue
		}
		for index, chunk := range job.chunks {
			if len(chunk.claims) == 0 {
				t.markDirty(job, index)
			}
		}
	}
}
