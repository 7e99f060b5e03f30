package ledger

import (
	"encoding/json"
	"math/bits"
	"slices"
	"strings"
	"time"

	"rillflow/internal/wire"
)

// Stored is what a chunk's value tells of its tasks, by their place in the chunk.
// It serves those that compare or rebuild what is stored.
type Stored struct {
	Seq    uint64 // last try given out
	Done   map[int]bool
	Claims map[int]Claim
	Block  uint64
}

// DecodeStored reads a stored chunk.
func DecodeStored(data []byte) (Stored, error) {
	c, err := decodeChunk(data, 0)
	if err != nil {
		return Stored{}, err
	}
	s := Stored{Seq: c.seq, Block: c.block, Done: make(map[int]bool), Claims: c.claims}
	for i, b := range c.done {
		for ; b != 0; b &= b - 1 {
			s.Done[i*8+bits.TrailingZeros8(b)] = true
		}
	}
	return s, nil
}

// Encode gives a chunk as stored, in at most limit bytes.
func (s Stored) Encode(writer string, limit int) (json.RawMessage, error) {
	c := chunk{seq: s.Seq, block: s.Block, claims: s.Claims}
	for i := range s.Done {
		c.done.set(i)
	}
	return c.encode(writer, limit)
}

// ChunkKey is the key of a job's chunk.
func ChunkKey(ref string, n int) string { return chunkKey(ref, n) }

// ParseChunkKey takes a chunk's key apart.
func ParseChunkKey(key string) (ref string, n int, ok bool) { return parseChunkKey(key) }

// ChunkSize is how many tasks share a chunk of the job.
func (r *Record) ChunkSize() int { return max(1, r.Chunk) }

// Restamp notes at which generation a key was written again as this ledger was
// loaded from it.
func (l *Ledger) Restamp(key string, stamp uint64) {
	if ref, ok := strings.CutPrefix(key, LivePrefix); ok {
		if j := l.jobs[ref]; j != nil {
			j.stamp = stamp
		}
		return
	}
	if ref, n, ok := parseChunkKey(key); ok {
		if j := l.jobs[ref]; j != nil && j.chunks[n] != nil {
			j.chunks[n].stamp = stamp
		}
	}
}

// Doubt marks all claims as of a history that was lost: that a task is on its
// machine shows only when its worker says so. Until then it counts, and is neither
// launched nor placed elsewhere. Tries go on above base, where none was ever given out.
func (l *Ledger) Doubt(base uint64) {
	l.base = base
	for _, j := range l.jobs {
		for _, c := range j.chunks {
			c.seq = max(c.seq, base)
		}
	}
	for _, o := range l.hosts {
		for _, h := range o.claims {
			h.Unsure = true
		}
	}
}

// Adopt takes in a task that a machine has and that the ledger does not know to be
// there: it was claimed in a part of the history that was lost. A claim by an
// earlier try was over before that one was given out, and goes. It returns nil for a
// task that is done, that has a later try, or that cannot be of the job.
func (l *Ledger) Adopt(j *Job, index int, c Claim, epoch uint64) *Held {
	if j.Withdrawn || j.Finished || index < 0 || index >= j.Spec.TaskCount || j.isDone(index) {
		return nil
	}
	if old := j.claims[index]; old != nil {
		if old.Over || !old.Unsure || old.Try >= c.Try {
			return nil
		}
		l.unhold(old)
	}
	n := index / j.size
	k := j.chunks[n]
	if k == nil {
		k = &chunk{seq: l.base, claims: make(map[int]Claim)}
		j.chunks[n] = k
	}
	k.seq = max(k.seq, c.Try)
	k.claims[index%j.size] = c
	if i := slices.Index(j.requeue, index); i >= 0 {
		j.requeue = slices.Delete(j.requeue, i, i+1)
	}
	for ; j.cursor <= index; j.cursor++ {
		if j.cursor != index {
			j.requeue = append(j.requeue, j.cursor)
		}
	}
	h := &Held{Claim: c, Job: j, Index: index, Committed: true, Sent: true, SentEpoch: epoch}
	l.hold(h)
	l.touch(j, n)
	return h
}

// Reserve counts an amount of machines against every team's limit: tasks of jobs
// whose description was lost are there, and any team's they may be.
func (l *Ledger) Reserve(cores, accel float64) { l.reserved = Usage{cores, accel} }

// Reserved is what is reserved.
func (l *Ledger) Reserved() Usage { return l.reserved }

// LostEnding is the ending of a job of which nothing but its reference is known, that
// its user withdrew.
func LostEnding(ref string, now time.Time) Ending {
	return Ending{Phase: wire.PhaseCancelled, AtMS: now.UnixMilli(), Job: wire.Job{ID: ref}}
}
