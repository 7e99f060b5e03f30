package ledger

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Claim says where a task may be running. It stands from before the launch
// until there is proof that the task is gone.
type Claim struct {
	Host   string
	Tenure uint64
	Try    uint64
	Zone   string
}

// chunk is the part of a job's tasks that one key of the state service holds.
type chunk struct {
	stamp  uint64 // 0: the key does not exist
	seq    uint64 // last try given out
	done   bitmap
	claims map[int]Claim // by task
	dirty  bool
	fresh  int    // claims not durable yet
	write  uint64 // number of the last write, to know one's own
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
	for _, x := range b {
		for ; x != 0; x &= x - 1 {
			n++
		}
	}
	return n
}

// chunkValue is a chunk as it is stored: a claim is "task host tenure try zone".
type chunkValue struct {
	Seq    uint64   `json:"q"`
	Done   string   `json:"d,omitempty"`
	Claims []string `json:"c,omitempty"`
	Writer string   `json:"w"`
}

func (c *chunk) encode(writer string) (json.RawMessage, error) {
	v := chunkValue{Seq: c.seq, Done: base64.RawStdEncoding.EncodeToString(c.done), Writer: writer}
	for i, cl := range c.claims {
		v.Claims = append(v.Claims, fmt.Sprintf("%d %s %d %d %s", i, cl.Host, cl.Tenure, cl.Try, cl.Zone))
	}
	slices.Sort(v.Claims)
	return json.Marshal(v)
}

func decodeChunk(data []byte, stamp uint64) (*chunk, error) {
	var v chunkValue
	if err := json.Unmarshal(data, &v); err != nil {
		return nil, fmt.Errorf("chunk: %w", err)
	}
	done, err := base64.RawStdEncoding.DecodeString(v.Done)
	if err != nil {
		return nil, fmt.Errorf("chunk: %w", err)
	}
	c := &chunk{stamp: stamp, seq: v.Seq, done: done, claims: make(map[int]Claim)}
	for _, s := range v.Claims {
		f := strings.SplitN(s, " ", 5)
		if len(f) != 5 {
			return nil, fmt.Errorf("chunk: claim %q", s)
		}
		task, err1 := strconv.Atoi(f[0])
		tenure, err2 := strconv.ParseUint(f[2], 10, 64)
		try, err3 := strconv.ParseUint(f[3], 10, 64)
		if err1 != nil || err2 != nil || err3 != nil || task < 0 {
			return nil, fmt.Errorf("chunk: claim %q", s)
		}
		c.claims[task] = Claim{Host: f[1], Tenure: tenure, Try: try, Zone: f[4]}
	}
	return c, nil
}

// WriterOf tells who wrote a stored chunk.
func WriterOf(data []byte) string {
	var v chunkValue
	if json.Unmarshal(data, &v) != nil {
		return ""
	}
	return v.Writer
}
