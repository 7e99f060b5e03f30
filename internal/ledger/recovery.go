package ledger

import "slices"

// MarkClaimsUnconfirmed marks all claims as read after a loss of stored data: whether a task is on
// its worker is known only once the worker reports it. Until then the claim counts, and the task is
// neither started nor claimed elsewhere. New attempts are numbered above minAttempt; no attempt
// above it may ever have been issued.
func (t *Table) MarkClaimsUnconfirmed(minAttempt uint64) {
	t.minAttempt = minAttempt
	for _, job := range t.jobs {
		for _, chunk := range job.chunks {
			chunk.lastAttempt = max(chunk.lastAttempt, minAttempt)
		}
	}
	for _, worker := range t.workers {
		for _, claim := range worker.claims {
			claim.Unconfirmed = true
		}
	}
}

// AdoptOrphan adds a claim for a task that a worker reports and for which the table has no claim on
// that worker, because the claim was lost with the stored data. An unconfirmed claim of an earlier
// attempt is removed: that attempt had ended before the reported one was issued. AdoptOrphan returns
// nil if the job has ended or has no such task, or if the task is done or has a claim that is
// confirmed, or that is of the same or a later attempt.
func (t *Table) AdoptOrphan(job *Job, task int, record ClaimRecord, epoch uint64) *Claim {
	if job.Cancelled || job.Finished || task < 0 || task >= job.Spec.TaskCount || job.isTaskDone(task) {
		return nil
	}
	if existing := job.claims[task]; existing != nil {
		if existing.Finished || !existing.Unconfirmed || existing.Attempt >= record.Attempt {
			return nil
		}
		t.removeClaim(existing)
	}
	chunk := job.ensureChunk(task, t.minAttempt)
	chunk.lastAttempt = max(chunk.lastAttempt, record.Attempt)
	chunk.claims[task%job.chunkTasks] = record
	job.removeFromWaiting(task)
	claim := &Claim{
		ClaimRecord: record, Job: job, Index: task,
		Committed: true, StartSent: true, StartEpoch: epoch,
	}
	t.addClaim(claim)
	t.writes.enqueueTask(job, task)
	return claim
}

// removeFromWaiting removes a given task from those that wait to be claimed.
func (j *Job) removeFromWaiting(task int) {
	if position := slices.Index(j.requeued, task); position >= 0 {
		j.requeued = slices.Delete(j.requeued, position, position+1)
	}
	for ; j.nextNewTask <= task; j.nextNewTask++ {
		if j.nextNewTask != task {
			j.requeued = append(j.requeued, j.nextNewTask)
		}
	}
}
