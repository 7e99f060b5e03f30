package ledger

import (
	"encoding/json"
	"time"

	"rillflow/internal/wire"
)

// JobRecord is the stored form of an accepted job.
type JobRecord struct {
	Job         wire.Job `json:"job"`
	SubmittedMS int64    `json:"at"`    // Unix time of the submission
	ChunkTasks  int      `json:"chunk"` // tasks per chunk
	// Origin is set if the audit log is kept or identities are on.
	Origin *Origin `json:"from,omitempty"`
}

// EndRecord is the stored form of a job that has ended.
type EndRecord struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
	// Job is set for a cancelled job, whose claims still count in its team's quota.
	Job wire.Job `json:"job,omitzero"`
	// ChunkTasks is copied from the job record: chunks may remain that only the next leader
	// deletes, and a leader of version 0.1 that does not have the chunk size fails on claims that
	// it finds in the chunks of a done job.
	ChunkTasks int   `json:"chunk,omitempty"`
	EndedMS    int64 `json:"at,omitempty"` // Unix time of the end
	// Team is the team that may query the job, set if identities are on.
	Team string `json:"own,omitempty"`
	// AuditBlock is the audit log block that records the end, 0 if there is none.
	AuditBlock uint64 `json:"a,omitempty"`
}

// NewCancelledEndRecord returns the end record of a cancelled job. It keeps only those fields of
// the job that are needed to count its claims, so that the record fits a value however large the
// submission was.
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

// NewLostEndRecord returns the end record of a cancelled job of which only the ID is known.
func NewLostEndRecord(jobID string, now time.Time) EndRecord {
	return EndRecord{Phase: wire.PhaseCancelled, EndedMS: now.UnixMilli(), Job: wire.Job{ID: jobID}}
}

// DecodeJobRecord decodes a stored job record.
func DecodeJobRecord(data []byte) (JobRecord, error) {
	var record JobRecord
	err := json.Unmarshal(data, &record)
	return record, err
}

// Encode returns the stored form of a job record or an end record.
func Encode(record any) (json.RawMessage, error) { return json.Marshal(record) }

// ChunkSize returns the number of tasks in each chunk of the job.
func (r *JobRecord) ChunkSize() int { return max(1, r.ChunkTasks) }

// Sizes for the layout of chunks. A claim takes some 32 bytes, and up to 64 with long names. The
// store refuses values over its limit, so three quarters of it are left free as a margin.
const (
	bytesPerTask = 256
	// lowLimitBytesPerTask applies if a reduction of the limit is announced: chunks are then laid
	// out to use 15/16 of the lower limit, and those with long names are packed.
	lowLimitBytesPerTask = 48

	minChunkTasks = 8
)

// ChunkTasks returns the number of tasks to put in each chunk, given the store's value limit and
// the lowest value that it may be reduced to.
func ChunkTasks(valueKB, minValueKB float64) int {
	tasks := valueKB * 1024 / bytesPerTask
	if minValueKB < valueKB {
		tasks = min(tasks, minValueKB*1024*15/16/lowLimitBytesPerTask)
	}
	return max(minChunkTasks, int(tasks))
}
