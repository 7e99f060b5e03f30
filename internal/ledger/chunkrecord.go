package ledger

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// maxUnpackedBytes limits the size of a chunk's claims when they are decompressed.
const maxUnpackedBytes = 1 << 20

// claimFieldCount is the number of fields in a claim's stored line.
const claimFieldCount = 5

// errChunkTooLarge reports that a chunk exceeds the size limit of a value even in the packed form.
var errChunkTooLarge = errors.New("chunk: too large")

// ChunkRecord is the content of a stored chunk. Task indexes are relative to the chunk's first
// task. It is for code that compares or recovers stored data without a Table.
type ChunkRecord struct {
	LastAttempt uint64 // the last attempt number issued
	Done        map[int]bool
	Claims      map[int]ClaimRecord
	AuditBlock  uint64
}

// DecodeChunkRecord decodes a stored chunk.
func DecodeChunkRecord(data []byte) (ChunkRecord, error) {
	chunk, err := decodeChunk(data, 0)
	if err != nil {
		return ChunkRecord{}, err
	}
	return ChunkRecord{
		LastAttempt: chunk.lastAttempt,
		Done:        chunk.done.members(),
		Claims:      chunk.claims,
		AuditBlock:  chunk.auditBlock,
	}, nil
}

// Encode returns the stored form of a chunk, in at most maxBytes bytes.
func (r ChunkRecord) Encode(writer string, maxBytes int) (json.RawMessage, error) {
	chunk := taskChunk{lastAttempt: r.LastAttempt, auditBlock: r.AuditBlock, claims: r.Claims}
	for task := range r.Done {
		chunk.done.set(task)
	}
	return chunk.encode(writer, maxBytes)
}

// AuditBlockOf returns the audit log block that a stored chunk or end record refers to, or 0.
func AuditBlockOf(data []byte) uint64 {
	var value struct {
		AuditBlock uint64 `json:"a"`
	}
	if json.Unmarshal(data, &value) != nil {
		return 0
	}
	return value.AuditBlock
}

// WriterOf returns the Writer of the batch that wrote a stored chunk, or "" if it is unreadable.
func WriterOf(data []byte) string {
	var value storedChunk
	if json.Unmarshal(data, &value) != nil {
		return ""
	}
	return value.Writer
}

// storedChunk is the stored form of a chunk. A claim is a line with the task, worker, incarnation,
// attempt and zone, separated by spaces.
type storedChunk struct {
	LastAttempt uint64   `json:"q"`
	Done        string   `json:"d,omitempty"`
	Claims      []string `json:"c,omitempty"`
	Packed      []byte   `json:"z,omitempty"` // the claims' lines, compressed by DEFLATE
	Writer      string   `json:"w"`
	AuditBlock  uint64   `json:"a,omitempty"`
}

// encode returns the stored form of a chunk, in at most maxBytes bytes. Every version reads the
// plain form. The packed form is for chunks that were laid out under a larger value limit than the
// store has now: it is written only after the limit has been lowered, and the limit is lowered only
// once no version is in use that cannot read it.
func (c *taskChunk) encode(writer string, maxBytes int) (json.RawMessage, error) {
	value := storedChunk{
		LastAttempt: c.lastAttempt,
		Done:        base64.RawStdEncoding.EncodeToString(c.done),
		Writer:      writer,
		AuditBlock:  c.auditBlock,
	}
	for task, claim := range c.claims {
		value.Claims = append(value.Claims, encodeClaim(task, claim))
	}
	slices.Sort(value.Claims)
	data, err := json.Marshal(value)
	if err != nil || len(data) <= maxBytes {
		return data, err
	}
	if data, err = packClaims(data); err == nil && len(data) > maxBytes {
		return nil, errChunkTooLarge
	}
	return data, err
}

// packClaims converts a chunk from the plain to the packed form.
func packClaims(plain []byte) (json.RawMessage, error) {
	var value storedChunk
	if err := json.Unmarshal(plain, &value); err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(writer, strings.Join(value.Claims, "\n")); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	value.Claims, value.Packed = nil, packed.Bytes()
	return json.Marshal(value)
}

func (v *storedChunk) unpackClaims() error {
	if len(v.Packed) == 0 {
		return nil
	}
	reader := flate.NewReader(bytes.NewReader(v.Packed))
	lines, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes))
	if err != nil {
		return err
	}
	if len(lines) > 0 {
		v.Claims = append(v.Claims, strings.Split(string(lines), "\n")...)
	}
	return nil
}

func decodeChunk(data []byte, modRevision uint64) (*taskChunk, error) {
	var value storedChunk
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, fmt.Errorf("chunk: %w", err)
	}
	if err := value.unpackClaims(); err != nil {
		return nil, fmt.Errorf("chunk: %w", err)
	}
	done, err := base64.RawStdEncoding.DecodeString(value.Done)
	if err != nil {
		return nil, fmt.Errorf("chunk: %w", err)
	}
	chunk := &taskChunk{
		modRevision: modRevision,
		lastAttempt: value.LastAttempt,
		auditBlock:  value.AuditBlock,
		done:        done,
		claims:      make(map[int]ClaimRecord),
	}
	for _, line := range value.Claims {
		task, claim, ok := decodeClaim(line)
		if !ok {
			return nil, fmt.Errorf("chunk: claim %q", line)
		}
		chunk.claims[task] = claim
	}
	return chunk, nil
}

func encodeClaim(task int, claim ClaimRecord) string {
	return fmt.Sprintf("%d %s %d %d %s", task, claim.Worker, claim.Incarnation, claim.Attempt, claim.Zone)
}

// decodeClaim parses a claim's line. The zone is the last field, so it may contain spaces.
func decodeClaim(line string) (task int, claim ClaimRecord, ok bool) {
	fields := strings.SplitN(line, " ", claimFieldCount)
	if len(fields) != claimFieldCount {
		return 0, ClaimRecord{}, false
	}
	task, taskErr := strconv.Atoi(fields[0])
	incarnation, incarnationErr := strconv.ParseUint(fields[2], 10, 64)
	attempt, attemptErr := strconv.ParseUint(fields[3], 10, 64)
	if taskErr != nil || incarnationErr != nil || attemptErr != nil || task < 0 {
		return 0, ClaimRecord{}, false
	}
	return task, ClaimRecord{Worker: fields[1], Incarnation: incarnation, Attempt: attempt, Zone: fields[4]}, true
}
