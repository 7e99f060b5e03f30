package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"rillflow/internal/wire"
)

// AddEndedJob adds a job that has ended but still has stored chunks. The operator's status document
// shows errors of AddEndedJob and LoadChunk as the reason of a suspected data loss.
func (t *Table) AddEndedJob(jobID string, data []byte) error {
	var end EndRecord
	if err := json.Unmarshal(data, &end); err != nil {
		return fmt.Errorf("ledger: %s: %w", jobID, err)
	}
	job := t.AddJob(jobID, JobRecord{Job: end.Job, ChunkTasks: end.ChunkTasks}, 0)
	job.Cancelled = true
	if end.EndedMS > 0 {
		job.CancelledAt = time.UnixMilli(end.EndedMS)
	}
	job.loadedAsDone = end.Phase == wire.PhaseDone
	return nil
}

// LoadChunk loads a stored chunk of a job that has been added. An earlier leader may have started
// the tasks of the chunk's claims; epoch is the highest under which it can have done so.
func (t *Table) LoadChunk(key string, data []byte, modRevision, epoch uint64) error {
	jobID, index, ok := ParseChunkKey(key)
	job := t.jobs[jobID]
	if !ok || job == nil {
		return fmt.Errorf("ledger: no job for %s", key)
	}
	chunk, err := decodeChunk(data, modRevision)
	if err != nil {
		return fmt.Errorf("ledger: %s: %w", key, err)
	}
	if job.loadedAsDone {
		// All its tasks are done, including those that an earlier leader did not get to record
		// in this chunk. The claims could not be assigned to tasks either: end records of
		// version 0.1 do not have the chunk size of a done job.
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

// FinishLoading completes loading once all chunks are loaded: it determines the tasks that wait for
// a claim and the chunks to be deleted.
func (t *Table) FinishLoading() {
	for _, job := range t.jobs {
		job.requeueLoadedTasks()
		t.checkFinished(job)
		if !job.Cancelled {
			continue
		}
		for index, chunk := range job.chunks {
			if len(chunk.claims) == 0 {
				t.writes.enqueue(chunkRef{job, index})
			}
		}
	}
}

// SetModRevision records the revision at which recovery wrote a key back to the store. The written
// value is the one that this table was loaded from.
func (t *Table) SetModRevision(key string, modRevision uint64) {
	if jobID, ok := strings.CutPrefix(key, LivePrefix); ok {
		if job := t.jobs[jobID]; job != nil {
			job.modRevision = modRevision
		}
		return
	}
	if jobID, index, ok := ParseChunkKey(key); ok {
		if job := t.jobs[jobID]; job != nil && job.chunks[index] != nil {
			job.chunks[index].modRevision = modRevision
		}
	}
}
