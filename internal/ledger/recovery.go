package ledger

import (
	"encoding/json"
	"math/bits"
	"slices"
	"strings"
	"time"

	"rillflow/internal/wire"
)

// ChunkRecord is what a chunk's value tells of its tasks, by their place in the chunk.
// It serves those that compare or rebuild what is stored.
type ChunkRecord struct {
	LastAttempt uint64 // last try given out
	Done        map[int]bool
	Claims      map[int]ClaimRecord
	AuditBlock  uint64
}

// DecodeChunkRecord reads a stored chunk.
func DecodeChunkRecord(data []byte) (ChunkRecord, error) {
	chunk, err := decodeChunk(data, 0)
	if err != nil {
		return ChunkRecord{}, err
	}
	record := ChunkRecord{LastAttempt: chunk.lastAttempt, AuditBlock: chunk.auditBlock, Done: make(map[int]bool), Claims: chunk.claims}
	for byteIndex, remaining := range chunk.done {
		for ; remaining != 0; remaining &= remaining - 1 {
			record.Done[byteIndex*8+bits.TrailingZeros8(remaining)] = true
		}
	}
	return record, nil
}

// Encode gives a chunk as stored, in at most limit bytes.
func (s ChunkRecord) Encode(writer string, limit int) (json.RawMessage, error) {
	chunk := taskChunk{lastAttempt: s.LastAttempt, auditBlock: s.AuditBlock, claims: s.Claims}
	for i := range s.Done {
		chunk.done.set(i)
	}
	return chunk.encode(writer, limit)
}

// ChunkKey is the key of a job's chunk.
func ChunkKey(ref string, index int) string { return chunkKey(ref, index) }

// ParseChunkKey takes a chunk's key apart.
func ParseChunkKey(key string) (ref string, index int, ok bool) { return parseChunkKey(key) }

// ChunkSize is how many tasks share a chunk of the job.
func (r *JobRecord) ChunkSize() int { return max(1, r.ChunkTasks) }

// SetModRevision notes at which generation a key was written again as this ledger was
// loaded from it.
func (t *Table) SetModRevision(key string, modRevision uint64) {
	if ref, ok := strings.CutPrefix(key, LivePrefix); ok {
		if job := t.jobs[ref]; job != nil {
			job.modRevision = modRevision
		}
		return
	}
	if ref, index, ok := parseChunkKey(key); ok {
		if job := t.jobs[ref]; job != nil && job.chunks[index] != nil {
			job.chunks[index].modRevision = modRevision
		}
	}
}

// MarkClaimsUnconfirmed marks all claims as of a history that was lost: that a task is on its
// machine shows only when its worker says so. Until then it counts, and is neither
// launched nor placed elsewhere. Tries go on above base, where none was ever given out.
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

// AdoptOrphan takes in a task that a machine has and that the ledger does not know to be
// there: it was claimed in a part of the history that was lost. A claim by an
// earlier try was over before that one was given out, and goes. It returns nil for a
// task that is done, that has a later try, or that cannot be of the job.
func (t *Table) AdoptOrphan(job *Job, index int, record ClaimRecord, epoch uint64) *Claim {
	if job.Cancelled || job.Finished || index < 0 || index >= job.Spec.TaskCount || job.isTaskDone(index) {
		return nil
	}
	if known := job.claims[index]; known != nil {
		if known.Finished || !known.Unconfirmed || known.Attempt >= record.Attempt {
			return nil
		}
		t.removeClaim(known)
	}
	chunkIndex := index / job.chunkTasks
	chunk := job.chunks[chunkIndex]
	if chunk == nil {
		chunk = &taskChunk{lastAttempt: t.minAttempt, claims: make(map[int]ClaimRecord)}
		job.chunks[chunkIndex] = chunk
	}
	chunk.lastAttempt = max(chunk.lastAttempt, record.Attempt)
	chunk.claims[index%job.chunkTasks] = record
	if position := slices.Index(job.requeued, index); position >= 0 {
		job.requeued = slices.Delete(job.requeued, position, position+1)
	}
	for ; job.nextIndex <= index; job.nextIndex++ {
		if job.nextIndex != index {
			job.requeued = append(job.requeued, job.nextIndex)
		}
	}
	claim := &Claim{ClaimRecord: record, Job: job, Index: index, Committed: true, StartSent: true, StartEpoch: epoch}
	t.addClaim(claim)
	t.markDirty(job, chunkIndex)
	return claim
}

// Reserve counts an amount of machines against every team's limit: tasks of jobs
// whose description was lost are there, and any team's they may be.
func (t *Table) Reserve(cores, accel float64) { t.reserved = Usage{cores, accel} }

// Reserved is what is reserved.
func (t *Table) Reserved() Usage { return t.reserved }

// NewLostEndRecord is the ending of a job of which nothing but its reference is known, that
// its user withdrew.
func NewLostEndRecord(ref string, now time.Time) EndRecord {
	return EndRecord{Phase: wire.PhaseCancelled, EndedMS: now.UnixMilli(), Job: wire.Job{ID: ref}}
}
