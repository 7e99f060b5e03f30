package ledger

import "slices"

// MarkClaimsUnconfirmed marks all claims as read after a loss of stored data: that a task is
// on its worker shows only when the worker reports it. Until then the claim counts, and the
// task is neither started nor claimed elsewhere. Attempts go on above minAttempt, where none
// was ever given out.
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

// AdoptOrphan adds the claim of a task that a worker has and that the table does not know to
// be there: it was claimed in data since lost. A claim of an earlier attempt had ended before
// that attempt was given out, and is removed. It returns nil for a task that is done, that has
// a later attempt, or that is none of the job's.
func (t *Table) AdoptOrphan(job *Job, task int, record ClaimRecord, epoch uint64) *Claim {
	if job.Cancelled || job.Finished || task < 0 || task >= job.Spec.TaskCount || job.isTaskDone(task) {
		return nil
	}
	if known := job.claims[task]; known != nil {
		if known.Finished || !known.Unconfirmed || known.Attempt >= record.Attempt {
			return nil
		}
		t.removeClaim(known)
	}
	chunk := job.ensureChunk(task, t.minAttempt)
	chunk.lastAttempt = max(chunk.lastAttempt, record.Attempt)
	chunk.claims[task%job.chunkTasks] = record
	job.takeTask(task)
	claim := &Claim{
		ClaimRecord: record, Job: job, Index: task,
		Committed: true, StartSent: true, StartEpoch: epoch,
	}
	t.addClaim(claim)
	t.writes.markTask(job, task)
	return claim
}

// takeTask takes one given task from those that wait to be claimed.
func (j *Job) takeTask(task int) {
	if position := slices.Index(j.requeued, task); position >= 0 {
		j.requeued = slices.Delete(j.requeued, position, position+1)
	}
	for ; j.nextIndex <= task; j.nextIndex++ {
		if j.nextIndex != task {
			j.requeued = append(j.requeued, j.nextIndex)
		}
	}
}
