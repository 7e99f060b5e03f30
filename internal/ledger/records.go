package ledger

import (
	"encoding/json"
	"time"

	"rillflow/internal/wire"
)

// JobRecord is an accepted job as it is stored.
type JobRecord struct {
	Job         wire.Job `json:"job"`
	SubmittedMS int64    `json:"at"`    // time of day of the submission
	ChunkTasks  int      `json:"chunk"` // tasks per chunk
	// Origin is there where the audit log is kept or identities are on.
	Origin *Origin `json:"from,omitempty"`
}

// EndRecord is what is kept of a job that has ended.
type EndRecord struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
	// Job is there for a cancelled job: its claims still count.
	Job wire.Job `json:"job,omitzero"`
	// ChunkTasks is the job record's: chunks may be left that only the next leader deletes,
	// and version 0.1 stops on claims that it finds in those of a job that is done, unless it
	// is told their size.
	ChunkTasks int   `json:"chunk,omitempty"`
	EndedMS    int64 `json:"at,omitempty"` // time of day of the end
	// Team is who may ask about the job, where identities are on.
	Team string `json:"own,omitempty"`
	// AuditBlock is the block of the audit log that tells of the end.
	AuditBlock uint64 `json:"a,omitempty"`
}

// NewCancelledEndRecord makes the end record of a cancelled job. Of the job it keeps what its
// claims count by and no more, so that it fits a value however large the submission was.
func NewCancelledEndRecord(record *JobRecord, now time.Time) EndRecord {
	job := &record.Job
	end := EndRecord{
		Phase: wire.PhaseCancelled, Tasks: job.TaskCount, ChunkTasks: record.ChunkTasks, EndedMS: now.UnixMilli(),
		Job: wire.Job{
			ID: job.ID, Team: job.Team, Kind: job.Kind, TaskCount: job.TaskCount,
			CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB,
		},
	}
	if record.Origin != nil {
		end.Team = job.Team
	}
	return end
}

// NewLostEndRecord makes the end record of a cancelled job of which nothing but its reference
// is known.
func NewLostEndRecord(ref string, now time.Time) EndRecord {
	return EndRecord{Phase: wire.PhaseCancelled, EndedMS: now.UnixMilli(), Job: wire.Job{ID: ref}}
}

// DecodeJobRecord reads a stored job.
func DecodeJobRecord(data []byte) (JobRecord, error) {
	var record JobRecord
	err := json.Unmarshal(data, &record)
	return record, err
}

// Encode gives a job record or an end record as stored.
func Encode(record any) (json.RawMessage, error) { return json.Marshal(record) }

// ChunkSize is how many tasks share a chunk of the job.
func (r *JobRecord) ChunkSize() int { return max(1, r.ChunkTasks) }

// Sizes by which chunks are laid out. A claim takes some 32 bytes, and with long names up to
// 64. A value over the store's limit is refused, so three quarters of it are left free.
const (
	bytesPerTask = 256
	// lowLimitBytesPerTask applies where the limit is announced to fall: of the lesser one,
	// 15/16 are counted on, and chunks of long names are packed.
	lowLimitBytesPerTask = 48

	minChunkTasks = 8
)

// ChunkTasks is how many tasks are to share a chunk, given the store's limit on a value and
// the least that it may fall to.
func ChunkTasks(valueKB, minValueKB float64) int {
	tasks := valueKB * 1024 / bytesPerTask
	if minValueKB < valueKB {
		tasks = min(tasks, minValueKB*1024*15/16/lowLimitBytesPerTask)
	}
	return max(minChunkTasks, int(tasks))
}
