package ledger

import (
	"encoding/json"
	"strconv"
	"strings"

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
}

// Ending is what is kept of a job that is over.
type Ending struct {
	Phase string   `json:"phase"`
	Tasks int      `json:"tasks"`
	Job   wire.Job `json:"job,omitzero"` // of a withdrawn one: its claims still count
	Chunk int      `json:"chunk,omitempty"`
}

// DecodeRecord reads a stored job.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, err
}

// Encode gives a record or an ending as stored.
func Encode(v any) (json.RawMessage, error) { return json.Marshal(v) }

// ChunkTasks is how many tasks share a key. A claim takes up to 64 bytes; the
// rest of the value is left free, since the limit was seen to shrink to a
// quarter while the service ran, and a value over it is refused for good.
func ChunkTasks(valueKB float64) int { return max(8, int(valueKB*1024/256)) }
