package ledger

import (
	"strconv"
	"strings"
)

// Prefixes of the table's keys in the key-value store. A job's record is under LivePrefix
// until the job ends, and its end record is under EndedPrefix from then on, so that a new
// leader reads only the live jobs. Chunks are under ChunkPrefix.
const (
	LivePrefix  = "j/"
	EndedPrefix = "d/"
	ChunkPrefix = "c/"
)

// LiveKey returns the key of the record of a job that has not ended.
func LiveKey(jobID string) string { return LivePrefix + jobID }

// EndedKey returns the key of a job's end record.
func EndedKey(jobID string) string { return EndedPrefix + jobID }

// ChunkKey returns the key of a job's chunk.
func ChunkKey(jobID string, index int) string { return ChunkPrefix + jobID + "/" + strconv.Itoa(index) }

// ParseChunkKey returns the job ID and the chunk index that a chunk's key is made of.
func ParseChunkKey(key string) (jobID string, index int, ok bool) {
	rest, ok := strings.CutPrefix(key, ChunkPrefix)
	if !ok {
		return "", 0, false
	}
	jobID, number, ok := strings.Cut(rest, "/")
	index, err := strconv.Atoi(number)
	return jobID, index, ok && err == nil && index >= 0
}

// JobIDOfChunkKey returns the ID of the job that a chunk's key belongs to.
func JobIDOfChunkKey(key string) (string, bool) {
	jobID, _, ok := ParseChunkKey(key)
	return jobID, ok
}
