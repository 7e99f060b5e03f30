package ledger

import (
	"fmt"
	"slices"
	"time"

	"rillflow/internal/wire"
)

// Batch is one transaction's worth of changes.
type Batch struct {
	Guards []wire.Compare
	Apply  []wire.Operation
	Writer string // the mark every chunk in it carries
	parts  []part
}

type part struct {
	job    *Job
	n      int
	claims []*Held // claims that become durable
	over   []*Held // finishes that become durable
	remove bool
	ends   bool // the job's end is in this batch
	at     time.Time
}

func (c *chunk) flying() bool { return c.write != 0 }

// Empty tells whether nothing needs writing.
func (l *Ledger) Empty() bool { return len(l.dirty) == 0 }

// Urgent tells whether a claim waits to be written, or a job's end: tasks, users
// and later jobs wait for those.
func (l *Ledger) Urgent() bool {
	return slices.ContainsFunc(l.dirty, l.urgent)
}

func (l *Ledger) urgent(d dirtyChunk) bool { return l.rankOf(d) <= rankEnd }

// claiming tells whether a chunk has claims to be written, without which their
// tasks cannot start.
func (l *Ledger) claiming(d dirtyChunk) bool {
	c := d.job.chunks[d.n]
	return c != nil && c.dirty && c.fresh > 0 && !d.job.Withdrawn
}

// Limits bound a batch.
type Limits struct {
	Ops   int // changes
	Bytes int // of all values together
	Value int // bytes of one value
	// Urgent leaves out what nothing waits for, Idle all else.
	Urgent, Idle bool
	// Block is the audit record's that is to tell of the batch's claims and ends,
	// and Claims about how many claims it has room for; 0: no record is kept.
	Block  uint64
	Claims int
}

// Next makes a batch, or nil when nothing needs writing. Until Committed or
// Failed is called with it, no other batch may be made. The ends of jobs that
// others wait for go first, then claims, then other ends, then finishes, then the
// tidying of jobs that are over.
func (l *Ledger) Next(lim Limits, now time.Time) *Batch {
	l.writes++
	size, claims := lim.Bytes, 0
	b := &Batch{Writer: fmt.Sprintf("%s.%d", l.writer, l.writes)}
	slices.SortStableFunc(l.dirty, func(a, c dirtyChunk) int {
		return l.rankOf(a) - l.rankOf(c)
	})
	var left []dirtyChunk
	guarded := make(map[string]bool)
	for _, d := range l.dirty {
		j, c := d.job, d.job.chunks[d.n]
		if c == nil || !c.dirty {
			continue
		}
		need := 1
		if j.Finished && !guarded[j.Ref] {
			need = 3
		}
		full := size <= 0 || lim.Block != 0 && claims > 0 && claims+c.fresh > lim.Claims
		if len(b.Apply)+need > lim.Ops || full || lim.Urgent && !l.urgent(d) || lim.Idle && l.urgent(d) {
			left = append(left, d)
			continue
		}
		p := part{job: j, n: d.n}
		key := chunkKey(j.Ref, d.n)
		switch {
		case j.Withdrawn && len(c.claims) > 0:
			c.dirty = false // nothing to say until the claims are gone
			continue
		case j.Withdrawn, j.Finished:
			p.remove = true
			if c.stamp != 0 {
				b.Guards = append(b.Guards, wire.Compare{Key: key, ModRevision: c.stamp})
				b.Apply = append(b.Apply, wire.Operation{Delete: key})
			}
		default:
			if c.fresh > 0 {
				c.block = lim.Block
				claims += c.fresh
			}
			data, err := c.encode(b.Writer, lim.Value)
			if err != nil {
				// Too large even packed, which takes names of hundreds of
				// bytes: it waits for tasks of it to end, by which it shrinks.
				left = append(left, d)
				continue
			}
			size -= len(data)
			b.Guards = append(b.Guards, wire.Compare{Key: key, ModRevision: c.stamp})
			b.Apply = append(b.Apply, wire.Operation{Put: key, Value: data})
		}
		for i := d.n * j.size; i < min((d.n+1)*j.size, j.cursor); i++ {
			if h := j.claims[i]; h != nil && h.Over {
				p.over = append(p.over, h)
			} else if h != nil && !h.Committed {
				p.claims = append(p.claims, h)
			}
		}
		if (len(p.claims) > 0 || j.Finished) && !guarded[j.Ref] {
			// A withdrawal changes this key: no claim slips in after it.
			guarded[j.Ref] = true
			b.Guards = append(b.Guards, wire.Compare{Key: LiveKey(j.Ref), ModRevision: j.stamp})
			if j.Finished {
				p.ends = true
				p.at = now
				end, err := Encode(Ending{Phase: wire.PhaseDone, Tasks: j.Spec.TaskCount, Chunk: j.size, AtMS: now.UnixMilli(), Owner: j.owner(), Block: lim.Block})
				if err != nil {
					continue
				}
				b.Apply = append(b.Apply, wire.Operation{Delete: LiveKey(j.Ref)}, wire.Operation{Put: EndedKey(j.Ref), Value: end})
			}
		}
		c.dirty = false
		c.write = l.writes
		b.parts = append(b.parts, p)
	}
	l.dirty = left
	if len(b.parts) == 0 {
		return nil
	}
	return b
}

// Ranks of what is to be written.
const (
	rankNeeded = iota // the end of a job that others wait for
	rankClaim
	rankEnd
	rankFinish
	rankTidy
)

func (l *Ledger) rankOf(d dirtyChunk) int {
	switch {
	case d.job.Withdrawn:
		return rankTidy
	case d.job.Finished && len(l.needers[d.job.Ref]) > 0:
		return rankNeeded
	case l.claiming(d):
		return rankClaim
	case d.job.Finished:
		return rankEnd
	}
	return rankFinish
}

// owner is the job's where identities are on: who may ask about it later.
func (j *Job) owner() string {
	if j.Origin == nil {
		return ""
	}
	return j.Spec.Team
}

// Decision is what a batch makes durable of a job.
type Decision struct {
	Job    *Job
	Claims []*Held
	Ends   bool
}

// Decisions are the claims and ends in the batch.
func (b *Batch) Decisions() []Decision {
	var ds []Decision
	for _, p := range b.parts {
		if len(p.claims) > 0 || p.ends {
			ds = append(ds, Decision{p.job, p.claims, p.ends})
		}
	}
	return ds
}

// Keys are the chunk keys the batch writes.
func (b *Batch) Keys() []string {
	var ks []string
	for _, p := range b.parts {
		ks = append(ks, chunkKey(p.job.Ref, p.n))
	}
	return ks
}

// Refs are the jobs in the batch.
func (b *Batch) Refs() []string {
	var rs []string
	for _, p := range b.parts {
		if !slices.Contains(rs, p.job.Ref) {
			rs = append(rs, p.job.Ref)
		}
	}
	return rs
}

// Result is what a committed batch brought.
type Result struct {
	Claims []*Held // to be launched
	Over   []*Held // finishes now durable
	Ended  []*Job  // jobs now done
	Ready  []*Job  // jobs that now wait for no other
}

// Committed notes that a batch was applied at a generation.
func (l *Ledger) Committed(b *Batch, gen uint64) Result {
	var r Result
	for _, p := range b.parts {
		j, c := p.job, p.job.chunks[p.n]
		c.write = 0
		if p.remove {
			c.stamp = 0
		} else {
			c.stamp = gen
		}
		for _, h := range p.over {
			if j.claims[h.Index] == h {
				delete(c.claims, h.Index%j.size)
				was := c.dirty
				l.unhold(h)
				if !was {
					c.dirty = false // the write just made says so already
					l.undirty(j, p.n)
				}
				r.Over = append(r.Over, h)
			}
		}
		for _, h := range p.claims {
			if j.claims[h.Index] != h {
				continue
			}
			h.Committed = true
			c.fresh--
			if j.Withdrawn && !h.Sent {
				l.unhold(h) // withdrawn meanwhile, never launched
				continue
			}
			r.Claims = append(r.Claims, h)
		}
		if p.ends {
			r.Ended = append(r.Ended, j)
			r.Ready = append(r.Ready, l.satisfy(j.Ref, p.at)...)
		}
		if j.Withdrawn {
			if c.stamp != 0 && len(c.claims) == 0 {
				l.touch(j, p.n)
			}
			l.drop(j)
		}
	}
	for _, j := range r.Ended {
		l.retire(j)
	}
	return r
}

// retire forgets a job that is done; chunks still stored are tidied as those
// of a withdrawn job are.
func (l *Ledger) retire(j *Job) {
	j.Finished = false
	j.Withdrawn = true
	for _, h := range j.claims {
		l.unhold(h)
	}
	for n, c := range j.chunks {
		if c.stamp != 0 {
			l.touch(j, n)
		}
	}
	l.drop(j)
}

func (l *Ledger) undirty(j *Job, n int) {
	l.dirty = slices.DeleteFunc(l.dirty, func(d dirtyChunk) bool { return d.job == j && d.n == n })
}

// Failed notes that a batch was surely not applied: all of it is to be written
// again.
func (l *Ledger) Failed(b *Batch) {
	for _, p := range b.parts {
		c := p.job.chunks[p.n]
		c.write = 0
		l.touch(p.job, p.n)
	}
	for _, p := range b.parts {
		if j := p.job; j.Withdrawn {
			for _, h := range j.claims {
				if !h.Committed && !h.Sent && !j.chunks[h.Index/j.size].flying() {
					l.unhold(h)
				}
			}
			l.drop(j)
		}
	}
}
