// Package ledger is the leader's table of jobs, tasks and claims. It decides which task may
// be claimed for which worker, keeps the teams' usage and the dependencies between jobs, and
// makes the transactions by which all that becomes durable in the key-value store.
//
// A claim is the durable record that a task is assigned to a worker. It is made before the
// task is started and freed only on proof that the task is gone; all that time it counts in
// its team's quota.
//
// The package is pure: it does no input or output, reads no clock and takes no lock. The
// leader owns the Table, guards it by its own lock, and writes the batches that NextBatch
// gives; recovery, anti-entropy and the job API use the stored records and their keys. Stored
// bytes must stay readable by every released version: see testdata.
package ledger

import (
	"errors"
	"time"

	"rillflow/internal/settings"
)

// Reasons why a task may not be claimed now.
var (
	ErrNoWaitingTask  = errors.New("ledger: no task of the job waits")
	ErrQuotaExceeded  = errors.New("ledger: the team's quota limit is reached")
	ErrZoneNotAllowed = errors.New("ledger: the job's tasks may not run in the zone")
)

// Table holds the jobs and claims of one leader term. It is not safe for concurrent use.
type Table struct {
	writer     string // marks this leader's writes
	writeCount uint64

	jobs         map[string]*Job
	workers      workerIndex
	quotas       *quotas
	dependencies *dependencyGraph
	writes       *writeQueue

	minAttempt uint64 // new chunks give out attempts above it
}

// New makes an empty table whose writes carry the writer's mark.
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

// Job finds a job, or returns nil.
func (t *Table) Job(ref string) *Job { return t.jobs[ref] }

// Jobs are all jobs, by reference. The map is the table's own: do not change it.
func (t *Table) Jobs() map[string]*Job { return t.jobs }

// ClaimsOfJob are a job's claims, in no order.
func (t *Table) ClaimsOfJob(job *Job) []*Claim {
	claims := make([]*Claim, 0, len(job.claims))
	for _, claim := range job.claims {
		claims = append(claims, claim)
	}
	return claims
}

// AddJob adds a job read from the key-value store. A known job is left alone.
func (t *Table) AddJob(ref string, record JobRecord, modRevision uint64) *Job {
	if job := t.jobs[ref]; job != nil {
		return job
	}
	job := newJob(ref, record, modRevision)
	t.jobs[ref] = job
	t.dependencies.add(job)
	return job
}

// CheckClaim returns why no further task of the job may be claimed in a zone, or nil.
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

// CanClaimGang reports whether all waiting tasks of a gang are within its team's limit, and
// no claim of an earlier start is left.
func (t *Table) CanClaimGang(job *Job) bool {
	waiting := job.WaitingTasks()
	return waiting > 0 && len(job.claims) == 0 && t.quotas.fitsLimit(job, float64(waiting))
}

// ZoneHeadroom is how many more tasks of the job a zone may take.
func (t *Table) ZoneHeadroom(job *Job, zone string) int { return job.zoneHeadroom(zone) }

// Claim claims the job's next task for a worker. The claim must be committed before the task
// is started.
func (t *Table) Claim(job *Job, worker string, incarnation uint64, zone string) (*Claim, error) {
	if err := t.CheckClaim(job, zone); err != nil {
		return nil, err
	}
	task := job.takeNextTask()
	chunk := job.ensureChunk(task, t.minAttempt)
	// An attempt is never used twice, whatever became of the last. The tasks of a gang find
	// one another by having the same.
	if job.IsGang() {
		chunk.lastAttempt = job.nextGangAttempt(t.minAttempt)
	} else {
		chunk.lastAttempt++
	}
	record := ClaimRecord{Worker: worker, Incarnation: incarnation, Attempt: chunk.lastAttempt, Zone: zone}
	chunk.claims[task%job.chunkTasks] = record
	chunk.uncommitted++
	claim := &Claim{ClaimRecord: record, Job: job, Index: task}
	t.addClaim(claim)
	t.writes.markTask(job, task)
	return claim, nil
}

// Free gives a claim up on proof that its task is gone, and lets the task be claimed again.
// A claim that stands no longer, or whose task is done, is left alone.
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

// Finish notes that a claim's task is done. The claim stays until that is durable, so that
// the worker is not told to forget the task before; but the task is surely gone from its
// worker, so it takes nothing more of it, nor of its team's quota.
func (t *Table) Finish(claim *Claim) {
	job := claim.Job
	if job.claims[claim.Index] != claim || claim.Finished {
		return
	}
	claim.Finished = true
	t.workers.finish(claim)
	t.quotas.add(job, -1)
	job.doneTasks++
	chunk, offset := job.chunkOf(claim.Index), claim.Index%job.chunkTasks
	chunk.done.set(offset)
	delete(chunk.claims, offset)
	t.writes.markTask(job, claim.Index)
	t.checkFinished(job)
}

// checkFinished notes that a job whose last task is done is to be ended.
func (t *Table) checkFinished(job *Job) {
	if !job.Cancelled && !job.Finished && job.allTasksDone() {
		job.Finished = true
		t.writes.markJob(job)
	}
}

// Cancel notes that a job was durably cancelled. Claims whose task was surely never started
// are freed; the rest stand until proof.
func (t *Table) Cancel(ref string) {
	job := t.jobs[ref]
	if job == nil || job.Cancelled {
		return
	}
	job.Cancelled = true
	job.Finished = false
	t.dependencies.removeCancelled(job)
	for _, claim := range job.claims {
		// A finish still to be written is proof that the task is gone; the finish itself no
		// longer matters.
		if claim.Finished || !claim.mayBeRunning() {
			t.removeClaim(claim)
		}
	}
	t.writes.markJob(job)
	t.forgetIfGone(job)
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
	if !claim.Committed {
		chunk.uncommitted--
	}
	t.writes.markTask(job, claim.Index)
}

// forgetIfGone forgets a job that has ended once nothing of it is left, here or stored.
func (t *Table) forgetIfGone(job *Job) {
	if job.isForgettable() {
		delete(t.jobs, job.ID)
	}
}
