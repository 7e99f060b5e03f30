package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"rillflow/internal/wire"
)

// AddEndedJob adds a job that has ended but of which chunks are stored. The status document
// shows the error's text, like LoadChunk's, as the reason of a suspected data loss.
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

// LoadChunk loads a stored chunk of a job already added. The tasks of its claims may have
// been started by an earlier leader, under an epoch of at most the one given.
func (t *Table) LoadChunk(key string, data []byte, modRevision, epoch uint64) error {
	ref, index, ok := ParseChunkKey(key)
	job := t.jobs[ref]
	if !ok || job == nil {
		return fmt.Errorf("ledger: no job for %s", key)
	}
	chunk, err := decodeChunk(data, modRevision)
	if err != nil {
		return fmt.Errorf("ledger: %s: %w", key, err)
	}
	if job.alreadyDone {
		// All its tasks are done, also those that an earlier leader had no time to note here.
		// Nor is it known which tasks the claims are of: end records of version 0.1 do not
		// tell the size of a done job's chunks.
		clear(chunk.claims)
	}
	job.chunks[index] = chunk
	job.Audited = job.Audited || chunk.auditBlock != 0
	job.doneTasks += chunk.done.count()
	first := index * job.chunkTasks
	for offset, record := range chunk.claims {
		t.addClaim(&Claim{
			ClaimRecord: record, Job: job, Index: first + offset,
			Committed: true, StartSent: true, StartEpoch: epoch, Audited: true,
		})
	}
	return nil
}

// FinishLoading is called once all chunks are loaded: it finds the tasks that wait and the
// chunks to be deleted.
func (t *Table) FinishLoading() {
	for _, job := range t.jobs {
		job.requeueLoadedTasks()
		t.checkFinished(job)
		if !job.Cancelled {
			continue
		}
		for index, chunk := range job.chunks {
			if len(chunk.claims) == 0 {
				t.writes.mark(chunkRef{job, index})
			}
		}
	}
}

// SetModRevision notes at which revision a key was written again with the content that this
// table was loaded from.
func (t *Table) SetModRevision(key string, modRevision uint64) {
	if ref, ok := strings.CutPrefix(key, LivePrefix); ok {
		if job := t.jobs[ref]; job != nil {
			job.modRevision = modRevision
		}
		return
	}
	if ref, index, ok := ParseChunkKey(key); ok {
		if job := t.jobs[ref]; job != nil && job.chunks[index] != nil {
			job.chunks[index].modRevision = modRevision
		}
	}
}
