package ledger

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"rillflow/internal/wire"
)

// Keys of the state service. A job is under live until it is over and under
// ended from then on, so that a new leader reads only what is alive.
const (
	LivePrefix  = "j/"
	EndedPrefix = "d/"
	ChunkPrefix = "c/"
)

// LiveKey is the key of a job that is not over.
func LiveKey(ref string) string { return LivePrefix + ref }

// EndedKey is the key of a job that is over.
func EndedKey(ref string) string { return EndedPrefix + ref }

func chunkKey(ref string, index int) string { return ChunkPrefix + ref + "/" + strconv.Itoa(index) }

func parseChunkKey(key string) (ref string, index int, ok bool) {
	rest, ok := strings.CutPrefix(key, ChunkPrefix)
	if !ok {
		return "", 0, false
	}
	ref, number, ok := strings.Cut(rest, "/")
	index, err := strconv.Atoi(number)
	return ref, index, ok && err == nil && index >= 0
}

// JobRecord is an accepted job as it is stored.
type JobRecord struct {
	Job         wire.Job `json:"job"`
	SubmittedMS int64    `json:"at"`    // time of day of the submission
	ChunkTasks  int      `json:"chunk"` // tasks per claim key
	// Origin is there where the audit record is kept or identities are on.
	Origin *Origin `json:"from,omitempty"`
}

// EndRecord is what is kept of a job that is over.
type EndRecord struct {
	Phase string   `json:"phase"`
	Tasks int      `json:"tasks"`
	Job   wire.Job `json:"job,omitzero"` // of a withdrawn one: its claims still count
	// ChunkTasks is the record's: chunks may be left that only the next leader
	// removes, and version 0.1 stops on claims that it finds in those of a job
	// that is done, unless it is told their size.
	ChunkTasks int   `json:"chunk,omitempty"`
	EndedMS    int64 `json:"at,omitempty"` // time of day of the end
	// Team is who may ask about it, where identities are on.
	Team string `json:"own,omitempty"`
	// AuditBlock is the audit record's that tells of the end.
	AuditBlock uint64 `json:"a,omitempty"`
}

// NewCancelledEndRecord is the ending of a withdrawn job. Of the job it keeps what
// its claims count by and no more, so that it fits a value however large the
// submission was.
func NewCancelledEndRecord(record *JobRecord, now time.Time) EndRecord {
	job := &record.Job
	end := EndRecord{Phase: wire.PhaseCancelled, Tasks: job.TaskCount, ChunkTasks: record.ChunkTasks, EndedMS: now.UnixMilli(), Job: wire.Job{
		ID: job.ID, Team: job.Team, Kind: job.Kind, TaskCount: job.TaskCount, CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB,
	}}
	if record.Origin != nil {
		end.Team = job.Team
	}
	return end
}

// DecodeJobRecord reads a stored job.
func DecodeJobRecord(data []byte) (JobRecord, error) {
	var record JobRecord
	err := json.Unmarshal(data, &record)
	return record, err
}

// Encode gives a record or an ending as stored.
func Encode(v any) (json.RawMessage, error) { return json.Marshal(v) }

// ChunkTasks is how many tasks share a key, given the limit on a value and the
// least that it may fall to. A claim takes some 32 bytes, and with long names up
// to 64. A value over the limit is refused, so three quarters of it are left free
// where no fall is announced; where one is, nearly all of the lesser value is
// counted on, and chunks of long names are packed.
func ChunkTasks(valueKB, minValueKB float64) int {
	tasks := valueKB * 1024 / 256
	if minValueKB < valueKB {
		tasks = min(tasks, minValueKB*1024*15/16/48)
	}
	return max(8, int(tasks))
}
