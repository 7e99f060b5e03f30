// Package ledger is the leader's table of jobs, tasks and claims. It decides which tasks may be
// claimed for a worker, tracks the teams' quota usage and the dependencies between jobs, and
// builds the transactions that make changes durable in the key-value store.
//
// A claim is the durable record that a task is assigned to a worker. It is created before the
// task is started and freed only on proof that the task no longer runs; until then it counts in
// its team's quota.
//
// The package is pure: it does no input or output, reads no clock and takes no lock. The leader
// owns the Table, guards it by its own lock, and writes the batches that NextBatch returns;
// recovery, anti-entropy and the job API use the stored records and their keys. Stored bytes
// must stay readable by every released version: see testdata.
package ledger

import (
	"errors"
	"time"

	"rillflow/internal/settings"
)

// Errors that give the reason why no task of a job may be claimed at present.
var (
	ErrNoWaitingTask  = errors.New("ledger: no task of the job waits")
	ErrQuotaExceeded  = errors.New("ledger: the team's quota limit is reached")
	ErrZoneNotAllowed = errors.New("ledger: the job's tasks may not run in the zone")
)

// Table holds the jobs and claims of one leader term. It is not safe for concurrent use.
type Table struct {
	writer     string // identifies this leader in the chunks that it writes
	batchCount uint64 // calls of NextBatch so far, by which the batches are numbered

	jobs         map[string]*Job
	workers      workerIndex
	quotas       *quotas
	dependencies *dependencyGraph
	writes       *writeQueue

	minAttempt uint64 // attempts in new chunks are numbered above it
}

// New returns an empty table. Each batch's Writer begins with writer.
func New(writer string, teams []settings.Team) *Table {
	jobs := make(map[string]*Job)
	dependencies := newDependencyGraph(jobs)
	return &Table{
		writer:       writer,
		jobs:         jobs,
		workers:      make(workerIndex),
		quotas:       newQuotas(teams),
		dependencies: dependencies,
		writes:       &writeQueue{dependencies: dependencies},
	}
}

// Job returns a job by its ID, or nil.
func (t *Table) Job(jobID string) *Job { return t.jobs[jobID] }

// Jobs returns all jobs by ID. The map belongs to the table and must not be modified.
func (t *Table) Jobs() map[string]*Job { return t.jobs }

// ClaimsOfJob returns a job's claims in no particular order.
func (t *Table) ClaimsOfJob(job *Job) []*Claim {
	claims := make([]*Claim, 0, len(job.claims))
	for _, claim := range job.claims {
		claims = append(claims, claim)
	}
	return claims
}

// AddJob adds a job read from the key-value store and returns it. If the table already has the job,
// that is returned unchanged.
func (t *Table) AddJob(jobID string, record JobRecord, modRevision uint64) *Job {
	if job := t.jobs[jobID]; job != nil {
		return job
	}
	job := newJob(jobID, record, modRevision)
	t.jobs[jobID] = job
	t.dependencies.add(job)
	return job
}

// CheckClaim returns nil if another task of the job may be claimed in a zone, or the reason why not.
func (t *Table) CheckClaim(job *Job, zone string) error {
	switch {
	case job.WaitingTasks() == 0:
		return ErrNoWaitingTask
	case !t.quotas.fitsLimit(job, 1):
		return ErrQuotaExceeded
	case job.zoneHeadroom(zone) < 1:
		return ErrZoneNotAllowed
	}
	return nil
}

// CanClaimGang reports whether all tasks of a gang may be claimed: they are within its team's limit,
// and no claim from an earlier start remains.
func (t *Table) CanClaimGang(job *Job) bool {
	waiting := job.WaitingTasks()
	return waiting > 0 && len(job.claims) == 0 && t.quotas.fitsLimit(job, float64(waiting))
}

// ZoneHeadroom returns how many more tasks of the job a zone may take.
func (t *Table) ZoneHeadroom(job *Job, zone string) int { return job.zoneHeadroom(zone) }

// Claim claims the job's next task for a worker. The claim must be committed before the task
// is started.
func (t *Table) Claim(job *Job, worker string, incarnation uint64, zone string) (*Claim, error) {
	if err := t.CheckClaim(job, zone); err != nil {
		return nil, err
	}
	task := job.takeNextTask()
	chunk := job.ensureChunk(task, t.minAttempt)
	// An attempt number is never reused, whatever became of the last attempt. The tasks of a gang
	// share one, by which they find each other.
	if job.IsGang() {
		chunk.lastAttempt = job.nextGangAttempt(t.minAttempt)
	} else {
		chunk.lastAttempt++
	}
	record := ClaimRecord{Worker: worker, Incarnation: incarnation, Attempt: chunk.lastAttempt, Zone: zone}
	chunk.claims[task%job.chunkTasks] = record
	chunk.uncommittedClaims++
	claim := &Claim{ClaimRecord: record, Job: job, Index: task}
	t.addClaim(claim)
	t.writes.enqueueTask(job, task)
	return claim, nil
}

// Free removes a claim on proof that its task no longer runs, and lets the task be claimed again.
// It has no effect if the claim has already been removed or its task is done.
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

// MayBeStored reports whether the store may still have a claim of the task that was freed. A new leader
// would start its attempt unless the worker reports how it ended, so the worker must not forget that yet.
func (t *Table) MayBeStored(task Task) bool {
	job := t.jobs[task.JobID]
	if job == nil || job.Cancelled || job.chunkTasks == 0 {
		return false // a new leader starts no task of a job that has ended
	}
	chunk, offset := job.chunks[task.Index/job.chunkTasks], task.Index%job.chunkTasks
	return chunk != nil && (chunk.unstoredFrees[offset] || chunk.freesInFlight[offset])
}

// Finish records that a claim's task is done. The claim remains until that is durable, so that the
// worker is not told to forget the task earlier. The task no longer runs, so its share of the
// worker's resources and of its team's quota is released at once.
func (t *Table) Finish(claim *Claim) {
	job := claim.Job
	if job.claims[claim.Index] != claim || claim.Finished {
		return
	}
	claim.Finished = true
	t.workers.releaseResources(claim)
	t.quotas.add(job, -1)
	job.doneTasks++
	chunk, offset := job.chunkOf(claim.Index), claim.Index%job.chunkTasks
	chunk.done.set(offset)
	delete(chunk.claims, offset)
	t.writes.enqueueTask(job, claim.Index)
	t.checkFinished(job)
}

// checkFinished marks a job as finished, to be ended, if all its tasks are done.
func (t *Table) checkFinished(job *Job) {
	if !job.Cancelled && !job.Finished && job.allTasksDone() {
		job.Finished = true
		t.writes.enqueueJob(job)
	}
}

// Cancel records that a job was durably cancelled. Claims whose task certainly never started or is
// done are removed; the others remain until there is proof that their task no longer runs.
func (t *Table) Cancel(jobID string) {
	job := t.jobs[jobID]
	if job == nil || job.Cancelled {
		return
	}
	job.Cancelled = true
	job.Finished = false
	t.dependencies.removeCancelled(job)
	for _, claim := range job.claims {
		// A finish that is not written yet is proof enough that the task no longer runs, and need
		// not be written any more.
		if claim.Finished || !claim.mayBeRunning() {
			t.removeClaim(claim)
		}
	}
	t.writes.enqueueJob(job)
	t.removeIfCleanedUp(job)
}

func (t *Table) addClaim(claim *Claim) {
	job := claim.Job
	job.claims[claim.Index] = claim
	job.claimsByZone[claim.Zone]++
	t.workers.add(claim)
	t.quotas.add(job, 1)
}

func (t *Table) removeClaim(claim *Claim) {
	job := claim.Job
	delete(job.claims, claim.Index)
	if job.claimsByZone[claim.Zone]--; job.claimsByZone[claim.Zone] == 0 {
		delete(job.claimsByZone, claim.Zone)
	}
	t.workers.remove(claim)
	if !claim.Finished {
		t.quotas.add(job, -1)
	}
	chunk := job.chunkOf(claim.Index)
	delete(chunk.claims, claim.Index%job.chunkTasks)
	if !claim.Finished {
		chunk.recordFree(claim.Index % job.chunkTasks)
	}
	if !claim.Committed {
		chunk.uncommittedClaims--
	}
	t.writes.enqueueTask(job, claim.Index)
}

// removeIfCleanedUp removes a job from the table if it has ended and has neither claims nor stored
// chunks left.
func (t *Table) removeIfCleanedUp(job *Job) {
	if job.isCleanedUp() {
		delete(t.jobs, job.ID)
	}
}
