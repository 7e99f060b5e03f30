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

// ClaimRecord says where a task may be running. It stands from before the launch
// until there is proof that the task is gone.
type ClaimRecord struct {
	Worker      string
	Incarnation uint64
	Attempt     uint64
	Zone        string
}

// taskChunk is the part of a job's tasks that one key of the state service holds.
type taskChunk struct {
	modRevision   uint64 // 0: the key does not exist
	lastAttempt   uint64 // last try given out
	done          bitmap
	claims        map[int]ClaimRecord // by task
	dirty         bool
	uncommitted   int    // claims not durable yet
	inFlightWrite uint64 // number of the last write, to know one's own
	auditBlock    uint64 // of the audit record, that tells of the last claims; 0: none
}

type bitmap []byte

func (b bitmap) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b *bitmap) set(i int) {
	for len(*b) <= i/8 {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

func (b bitmap) count() int {
	n := 0
	for _, bits := range b {
		for ; bits != 0; bits &= bits - 1 {
			n++
		}
	}
	return n
}

// storedChunk is a chunk as it is stored: a claim is "task host tenure try zone".
type storedChunk struct {
	LastAttempt uint64   `json:"q"`
	Done        string   `json:"d,omitempty"`
	Claims      []string `json:"c,omitempty"`
	Packed      []byte   `json:"z,omitempty"` // the claims, a line each, deflated
	Writer      string   `json:"w"`
	AuditBlock  uint64   `json:"a,omitempty"`
}

// errChunkTooLarge: a chunk does not fit a value in any form.
var errChunkTooLarge = errors.New("chunk: too large")

// encode gives a chunk as stored, in at most limit bytes. The plain form is
// what every version reads. The packed one is for chunks laid out under a larger
// limit than the service has now: it comes to be written only after that has
// fallen, and the limits fall only when no version is left that cannot read it.
func (c *taskChunk) encode(writer string, limit int) (json.RawMessage, error) {
	data, err := c.encodePlain(writer)
	if err != nil || len(data) <= limit {
		return data, err
	}
	if data, err = packClaims(data); err == nil && len(data) > limit {
		return nil, errChunkTooLarge
	}
	return data, err
}

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

// maxUnpacked bounds what a packed chunk may grow to.
const maxUnpacked = 1 << 20

func (v *storedChunk) unpack() error {
	if len(v.Packed) == 0 {
		return nil
	}
	lines, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(v.Packed)), maxUnpacked))
	if err != nil {
		return fmt.Errorf("chunk: %w", err)
	}
	if len(lines) > 0 {
		v.Claims = append(v.Claims, strings.Split(string(lines), "\n")...)
	}
	return nil
}

func (c *taskChunk) encodePlain(writer string) (json.RawMessage, error) {
	value := storedChunk{LastAttempt: c.lastAttempt, Done: base64.RawStdEncoding.EncodeToString(c.done), Writer: writer, AuditBlock: c.auditBlock}
	for task, claim := range c.claims {
		value.Claims = append(value.Claims, fmt.Sprintf("%d %s %d %d %s", task, claim.Worker, claim.Incarnation, claim.Attempt, claim.Zone))
	}
	slices.Sort(value.Claims)
	return json.Marshal(value)
}

func decodeChunk(data []byte, modRevision uint64) (*taskChunk, error) {
	var value storedChunk
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, fmt.Errorf("chunk: %w", err)
	}
	if err := value.unpack(); err != nil {
		return nil, err
	}
	done, err := base64.RawStdEncoding.DecodeString(value.Done)
	if err != nil {
		return nil, fmt.Errorf("chunk: %w", err)
	}
	chunk := &taskChunk{modRevision: modRevision, lastAttempt: value.LastAttempt, auditBlock: value.AuditBlock, done: done, claims: make(map[int]ClaimRecord)}
	for _, line := range value.Claims {
		fields := strings.SplitN(line, " ", 5)
		if len(fields) != 5 {
			return nil, fmt.Errorf("chunk: claim %q", line)
		}
		task, err1 := strconv.Atoi(fields[0])
		incarnation, err2 := strconv.ParseUint(fields[2], 10, 64)
		attempt, err3 := strconv.ParseUint(fields[3], 10, 64)
		if err1 != nil || err2 != nil || err3 != nil || task < 0 {
			return nil, fmt.Errorf("chunk: claim %q", line)
		}
		chunk.claims[task] = ClaimRecord{Worker: fields[1], Incarnation: incarnation, Attempt: attempt, Zone: fields[4]}
	}
	return chunk, nil
}

// AuditBlockOf is the block of the audit record that a stored chunk or ending refers to, or 0.
func AuditBlockOf(data []byte) uint64 {
	var value struct {
		Block uint64 `json:"a"`
	}
	if json.Unmarshal(data, &value) != nil {
		return 0
	}
	return value.Block
}

// WriterOf tells who wrote a stored chunk.
func WriterOf(data []byte) string {
	var value storedChunk
	if json.Unmarshal(data, &value) != nil {
		return ""
	}
	return value.Writer
}
