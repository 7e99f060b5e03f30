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
	block  uint64 // of the audit record, that tells of the last claims; 0: none
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
	Packed []byte   `json:"z,omitempty"` // the claims, a line each, deflated
	Writer string   `json:"w"`
	Block  uint64   `json:"a,omitempty"`
}

// errLarge: a chunk does not fit a value in any form.
var errLarge = errors.New("chunk: too large")

// encode gives a chunk as stored, in at most limit bytes. The plain form is
// what every version reads. The packed one is for chunks laid out under a larger
// limit than the service has now: it comes to be written only after that has
// fallen, and the limits fall only when no version is left that cannot read it.
func (c *chunk) encode(writer string, limit int) (json.RawMessage, error) {
	data, err := c.plain(writer)
	if err != nil || len(data) <= limit {
		return data, err
	}
	if data, err = pack(data); err == nil && len(data) > limit {
		return nil, errLarge
	}
	return data, err
}

func pack(plain []byte) (json.RawMessage, error) {
	var v chunkValue
	if err := json.Unmarshal(plain, &v); err != nil {
		return nil, err
	}
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(z, strings.Join(v.Claims, "\n")); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	v.Claims, v.Packed = nil, b.Bytes()
	return json.Marshal(v)
}

// maxUnpacked bounds what a packed chunk may grow to.
const maxUnpacked = 1 << 20

func (v *chunkValue) unpack() error {
	if len(v.Packed) == 0 {
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(v.Packed)), maxUnpacked))
	if err != nil {
		return fmt.Errorf("chunk: %w", err)
	}
	if len(b) > 0 {
		v.Claims = append(v.Claims, strings.Split(string(b), "\n")...)
	}
	return nil
}

func (c *chunk) plain(writer string) (json.RawMessage, error) {
	v := chunkValue{Seq: c.seq, Done: base64.RawStdEncoding.EncodeToString(c.done), Writer: writer, Block: c.block}
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
	if err := v.unpack(); err != nil {
		return nil, err
	}
	done, err := base64.RawStdEncoding.DecodeString(v.Done)
	if err != nil {
		return nil, fmt.Errorf("chunk: %w", err)
	}
	c := &chunk{stamp: stamp, seq: v.Seq, block: v.Block, done: done, claims: make(map[int]Claim)}
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

// BlockOf is the block of the audit record that a stored chunk or ending refers to, or 0.
func BlockOf(data []byte) uint64 {
	var v struct {
		Block uint64 `json:"a"`
	}
	if json.Unmarshal(data, &v) != nil {
		return 0
	}
	return v.Block
}

// WriterOf tells who wrote a stored chunk.
func WriterOf(data []byte) string {
	var v chunkValue
	if json.Unmarshal(data, &v) != nil {
		return ""
	}
	return v.Writer
}
