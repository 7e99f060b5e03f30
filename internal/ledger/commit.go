package ledger

// CommitResult lists the changes that a committed batch made durable.
type CommitResult struct {
	Claims    []*Claim // claims whose tasks may now be started
	Finished  []*Claim // claims whose finish is now durable
	Ended     []*Job   // jobs that are now durably done
	Unblocked []*Job   // jobs whose last unmet dependency is now done
}

// BatchCommitted records that a batch was committed at a revision.
func (t *Table) BatchCommitted(batch *Batch, revision uint64) CommitResult {
	var result CommitResult
	for _, write := range batch.writes {
		job, chunk := write.job, write.chunk()
		chunk.inFlightBatch = 0
		chunk.freesInFlight = nil
		switch {
		case write.deletesChunk:
			chunk.modRevision = 0
		case !write.defersDeletion:
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
				t.writes.enqueue(write.chunkRef)
			}
			t.removeIfCleanedUp(job)
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
			t.writes.remove(write.chunkRef) // the write just committed already omits the claim
		}
		finished = append(finished, claim)
	}
	return finished
}

// commitClaims records the claims that a write made durable, and returns those that remain. If the
// job was cancelled meanwhile, claims whose task was never started are removed.
func (t *Table) commitClaims(write chunkWrite) []*Claim {
	var claims []*Claim
	for _, claim := range write.claims {
		if write.job.claims[claim.Index] != claim {
			continue
		}
		claim.Committed = true
		write.chunk().uncommittedClaims--
		if write.job.Cancelled && !claim.StartSent {
			t.removeClaim(claim)
			continue
		}
		claims = append(claims, claim)
	}
	return claims
}

// removeEnded removes a job that is durably done. Chunks still stored are queued for deletion,
// like those of a cancelled job.
func (t *Table) removeEnded(job *Job) {
	job.Finished = false
	job.Cancelled = true
	for _, claim := range job.claims {
		t.removeClaim(claim)
	}
	for index, chunk := range job.chunks {
		if chunk.modRevision != 0 {
			t.writes.enqueue(chunkRef{job, index})
		}
	}
	t.removeIfCleanedUp(job)
}

// BatchFailed records that a batch was definitely not committed, and queues its changes again.
func (t *Table) BatchFailed(batch *Batch) {
	for _, write := range batch.writes {
		write.chunk().inFlightBatch = 0
		write.chunk().requeueFrees()
		t.writes.enqueue(write.chunkRef)
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
		t.removeIfCleanedUp(job)
	}
}
