package ledger

// CommitResult is what a committed batch brought.
type CommitResult struct {
	Claims    []*Claim // whose tasks may now be started
	Finished  []*Claim // whose finish is now durable
	Ended     []*Job   // that are now done
	Unblocked []*Job   // that now wait for no other
}

// BatchCommitted notes that a batch was committed at a revision.
func (t *Table) BatchCommitted(batch *Batch, revision uint64) CommitResult {
	var result CommitResult
	for _, write := range batch.writes {
		job, chunk := write.job, write.chunk()
		chunk.inFlightWrite = 0
		switch {
		case write.remove:
			chunk.modRevision = 0
		case !write.deferred:
			chunk.modRevision = revision
		}
		result.Finished = append(result.Finished, t.commitFinished(write)...)
		result.Claims = append(result.Claims, t.commitClaims(write)...)
		if write.endsJob {
			result.Ended = append(result.Ended, job)
			result.Unblocked = append(result.Unblocked, t.dependencies.markDone(job.ID, write.endedAt)...)
		}
		if job.Cancelled {
			if chunk.modRevision != 0 && len(chunk.claims) == 0 {
				t.writes.mark(write.chunkRef)
			}
			t.forgetIfGone(job)
		}
	}
	for _, job := range result.Ended {
		t.removeEnded(job)
	}
	return result
}

// commitFinished removes the claims whose finish a write made durable, and returns them.
func (t *Table) commitFinished(write chunkWrite) []*Claim {
	var finished []*Claim
	for _, claim := range write.finished {
		if write.job.claims[claim.Index] != claim {
			continue
		}
		wasDirty := write.chunk().dirty
		t.removeClaim(claim)
		if !wasDirty {
			t.writes.unmark(write.chunkRef) // the write just made has the claim gone already
		}
		finished = append(finished, claim)
	}
	return finished
}

// commitClaims notes the claims that a write made durable, and returns those that stand. A
// claim whose job was cancelled meanwhile was never started, and goes.
func (t *Table) commitClaims(write chunkWrite) []*Claim {
	var claims []*Claim
	for _, claim := range write.claims {
		if write.job.claims[claim.Index] != claim {
			continue
		}
		claim.Committed = true
		write.chunk().uncommitted--
		if write.job.Cancelled && !claim.StartSent {
			t.removeClaim(claim)
			continue
		}
		claims = append(claims, claim)
	}
	return claims
}

// removeEnded removes a job that is durably done; chunks still stored are deleted as those of
// a cancelled job are.
func (t *Table) removeEnded(job *Job) {
	job.Finished = false
	job.Cancelled = true
	for _, claim := range job.claims {
		t.removeClaim(claim)
	}
	for index, chunk := range job.chunks {
		if chunk.modRevision != 0 {
			t.writes.mark(chunkRef{job, index})
		}
	}
	t.forgetIfGone(job)
}

// BatchFailed notes that a batch was surely not committed: all of it is to be written again.
func (t *Table) BatchFailed(batch *Batch) {
	for _, write := range batch.writes {
		write.chunk().inFlightWrite = 0
		t.writes.mark(write.chunkRef)
	}
	for _, write := range batch.writes {
		job := write.job
		if !job.Cancelled {
			continue
		}
		for _, claim := range job.claims {
			if !claim.mayBeRunning() {
				t.removeClaim(claim)
			}
		}
		t.forgetIfGone(job)
	}
}
