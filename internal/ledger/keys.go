package ledger

import (
	"strconv"
	"strings"
)

// Prefixes of the table's keys in the key-value store. A job's record is under LivePrefix
// until the job has ended and its end record under EndedPrefix from then on, so that a new
// leader reads only the live ones. Chunks with claims are under ChunkPrefix.
const (
	LivePrefix  = "j/"
	EndedPrefix = "d/"
	ChunkPrefix = "c/"
)

// LiveKey is the key of the record of a job that has not ended.
func LiveKey(ref string) string { return LivePrefix + ref }

// EndedKey is the key of the end record of a job.
func EndedKey(ref string) string { return EndedPrefix + ref }

// ChunkKey is the key of a job's chunk.
func ChunkKey(ref string, index int) string { return ChunkPrefix + ref + "/" + strconv.Itoa(index) }

// ParseChunkKey takes a chunk's key apart.
func ParseChunkKey(key string) (ref string, index int, ok bool) {
	rest, ok := strings.CutPrefix(key, ChunkPrefix)
	if !ok {
		return "", 0, false
	}
	ref, number, ok := strings.Cut(rest, "/")
	index, err := strconv.Atoi(number)
	return ref, index, ok && err == nil && index >= 0
}

// JobOfChunkKey is the job that a chunk's key belongs to.
func JobOfChunkKey(key string) (string, bool) {
	ref, _, ok := ParseChunkKey(key)
	return ref, ok
}
