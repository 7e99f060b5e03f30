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
	ClaimPrefix = "c/"
)

// LiveKey is the key of a job that is not over.
func LiveKey(ref string) string { return LivePrefix + ref }

// EndedKey is the key of a job that is over.
func EndedKey(ref string) string { return EndedPrefix + ref }

func chunkKey(ref string, n int) string { return ClaimPrefix + ref + "/" + strconv.Itoa(n) }

func parseChunkKey(key string) (ref string, n int, ok bool) {
	rest, ok := strings.CutPrefix(key, ClaimPrefix)
	if !ok {
		return "", 0, false
	}
	ref, num, ok := strings.Cut(rest, "/")
	n, err := strconv.Atoi(num)
	return ref, n, ok && err == nil && n >= 0
}

// Record is an accepted job as it is stored.
type Record struct {
	Job   wire.Job `json:"job"`
	AtMS  int64    `json:"at"`    // time of day of the submission
	Chunk int      `json:"chunk"` // tasks per claim key
	// Origin is there where the audit record is kept or identities are on.
	Origin *Origin `json:"from,omitempty"`
}

// Ending is what is kept of a job that is over.
type Ending struct {
	Phase string   `json:"phase"`
	Tasks int      `json:"tasks"`
	Job   wire.Job `json:"job,omitzero"` // of a withdrawn one: its claims still count
	// Chunk is the record's: chunks may be left that only the next leader
	// removes, and version 0.1 stops on claims that it finds in those of a job
	// that is done, unless it is told their size.
	Chunk int   `json:"chunk,omitempty"`
	AtMS  int64 `json:"at,omitempty"` // time of day of the end
	// Owner is who may ask about it, where identities are on.
	Owner string `json:"own,omitempty"`
	// Block is the audit record's that tells of the end.
	Block uint64 `json:"a,omitempty"`
}

// WithdrawnEnding is the ending of a withdrawn job. Of the job it keeps what
// its claims count by and no more, so that it fits a value however large the
// submission was.
func WithdrawnEnding(rec *Record, now time.Time) Ending {
	j := &rec.Job
	e := Ending{Phase: wire.PhaseCancelled, Tasks: j.TaskCount, Chunk: rec.Chunk, AtMS: now.UnixMilli(), Job: wire.Job{
		ID: j.ID, Team: j.Team, Kind: j.Kind, TaskCount: j.TaskCount, CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB,
	}}
	if rec.Origin != nil {
		e.Owner = j.Team
	}
	return e
}

// DecodeRecord reads a stored job.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, err
}

// Encode gives a record or an ending as stored.
func Encode(v any) (json.RawMessage, error) { return json.Marshal(v) }

// ChunkTasks is how many tasks share a key, given the limit on a value and the
// least that it may fall to. A claim takes some 32 bytes, and with long names up
// to 64. A value over the limit is refused, so three quarters of it are left free
// where no fall is announced; where one is, nearly all of the lesser value is
// counted on, and chunks of long names are packed.
func ChunkTasks(valueKB, leastKB float64) int {
	n := valueKB * 1024 / 256
	if leastKB < valueKB {
		n = min(n, leastKB*1024*15/16/48)
	}
	return max(8, int(n))
}
