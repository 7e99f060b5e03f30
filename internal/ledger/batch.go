package ledger

import (
	"fmt"
	"slices"
	"time"

	"rillflow/internal/wire"
)

// Batch is one transaction's worth of changes.
type Batch struct {
	Compares   []wire.Compare
	Operations []wire.Operation
	Writer     string // the mark every chunk in it carries
	writes     []chunkWrite
}

type chunkWrite struct {
	job      *Job
	index    int
	claims   []*Claim // claims that become durable
	finished []*Claim // finishes that become durable
	remove   bool
	endsJob  bool // the job's end is in this batch
	at       time.Time
}

func (c *taskChunk) inFlight() bool { return c.inFlightWrite != 0 }

// NothingToWrite tells whether nothing needs writing.
func (t *Table) NothingToWrite() bool { return len(t.dirty) == 0 }

// HasUrgentWrites tells whether a claim waits to be written, or a job's end: tasks, users
// and later jobs wait for those.
func (t *Table) HasUrgentWrites() bool {
	return slices.ContainsFunc(t.dirty, t.isUrgent)
}

func (t *Table) isUrgent(dirty dirtyChunk) bool { return t.writePriority(dirty) <= priorityEnd }

// hasNewClaims tells whether a chunk has claims to be written, without which their
// tasks cannot start.
func (t *Table) hasNewClaims(dirty dirtyChunk) bool {
	chunk := dirty.job.chunks[dirty.index]
	return chunk != nil && chunk.dirty && chunk.uncommitted > 0 && !dirty.job.Cancelled
}

// BatchLimits bound a batch.
type BatchLimits struct {
	MaxOperations int // changes
	MaxBytes      int // of all values together
	MaxValueBytes int // bytes of one value
	// UrgentOnly leaves out what nothing waits for, Idle all else.
	UrgentOnly, NonUrgentOnly bool
	// AuditBlock is the audit record's that is to tell of the batch's claims and ends,
	// and Claims about how many claims it has room for; 0: no record is kept.
	AuditBlock uint64
	MaxClaims  int
}

// NextBatch makes a batch, or nil when nothing needs writing. Until Committed or
// Failed is called with it, no other batch may be made. The ends of jobs that
// others wait for go first, then claims, then other ends, then finishes, then the
// tidying of jobs that are over.
func (t *Table) NextBatch(limits BatchLimits, now time.Time) *Batch {
	t.writeCount++
	bytesLeft, claimCount := limits.MaxBytes, 0
	batch := &Batch{Writer: fmt.Sprintf("%s.%d", t.writer, t.writeCount)}
	slices.SortStableFunc(t.dirty, func(x, chunk dirtyChunk) int {
		return t.writePriority(x) - t.writePriority(chunk)
	})
	var deferred []dirtyChunk
	compared := make(map[string]bool)
	for _, dirty := range t.dirty {
		job, chunk := dirty.job, dirty.job.chunks[dirty.index]
		if chunk == nil || !chunk.dirty {
			continue
		}
		operations := 1
		if job.Finished && !compared[job.Ref] {
			operations = 3
		}
		full := bytesLeft <= 0 || limits.AuditBlock != 0 && claimCount > 0 && claimCount+chunk.uncommitted > limits.MaxClaims
		if len(batch.Operations)+operations > limits.MaxOperations || full || limits.UrgentOnly && !t.isUrgent(dirty) || limits.NonUrgentOnly && t.isUrgent(dirty) {
			deferred = append(deferred, dirty)
			continue
		}
		write := chunkWrite{job: job, index: dirty.index}
		key := chunkKey(job.Ref, dirty.index)
		switch {
		case job.Cancelled && len(chunk.claims) > 0:
			chunk.dirty = false // nothing to say until the claims are gone
			continue
		case job.Cancelled, job.Finished:
			write.remove = true
			if chunk.modRevision != 0 {
				batch.Compares = append(batch.Compares, wire.Compare{Key: key, ModRevision: chunk.modRevision})
				batch.Operations = append(batch.Operations, wire.Operation{Delete: key})
			}
		default:
			if chunk.uncommitted > 0 {
				chunk.auditBlock = limits.AuditBlock
				claimCount += chunk.uncommitted
			}
			data, err := chunk.encode(batch.Writer, limits.MaxValueBytes)
			if err != nil {
				// Too large even packed, which takes names of hundreds of
				// bytes: it waits for tasks of it to end, by which it shrinks.
				deferred = append(deferred, dirty)
				continue
			}
			bytesLeft -= len(data)
			batch.Compares = append(batch.Compares, wire.Compare{Key: key, ModRevision: chunk.modRevision})
			batch.Operations = append(batch.Operations, wire.Operation{Put: key, Value: data})
		}
		for index := dirty.index * job.chunkTasks; index < min((dirty.index+1)*job.chunkTasks, job.nextIndex); index++ {
			if claim := job.claims[index]; claim != nil && claim.Finished {
				write.finished = append(write.finished, claim)
			} else if claim != nil && !claim.Committed {
				write.claims = append(write.claims, claim)
			}
		}
		if (len(write.claims) > 0 || job.Finished) && !compared[job.Ref] {
			// A withdrawal changes this key: no claim slips in after it.
			compared[job.Ref] = true
			batch.Compares = append(batch.Compares, wire.Compare{Key: LiveKey(job.Ref), ModRevision: job.modRevision})
			if job.Finished {
				write.endsJob = true
				write.at = now
				endRecord, err := Encode(EndRecord{Phase: wire.PhaseDone, Tasks: job.Spec.TaskCount, ChunkTasks: job.chunkTasks, EndedMS: now.UnixMilli(), Team: job.recordedTeam(), AuditBlock: limits.AuditBlock})
				if err != nil {
					continue
				}
				batch.Operations = append(batch.Operations, wire.Operation{Delete: LiveKey(job.Ref)}, wire.Operation{Put: EndedKey(job.Ref), Value: endRecord})
			}
		}
		chunk.dirty = false
		chunk.inFlightWrite = t.writeCount
		batch.writes = append(batch.writes, write)
	}
	t.dirty = deferred
	if len(batch.writes) == 0 {
		return nil
	}
	return batch
}

// Ranks of what is to be written.
const (
	priorityNeededEnd = iota // the end of a job that others wait for
	priorityClaim
	priorityEnd
	priorityFinish
	priorityCleanup
)

func (t *Table) writePriority(dirty dirtyChunk) int {
	switch {
	case dirty.job.Cancelled:
		return priorityCleanup
	case dirty.job.Finished && len(t.dependents[dirty.job.Ref]) > 0:
		return priorityNeededEnd
	case t.hasNewClaims(dirty):
		return priorityClaim
	case dirty.job.Finished:
		return priorityEnd
	}
	return priorityFinish
}

// recordedTeam is the job's where identities are on: who may ask about it later.
func (j *Job) recordedTeam() string {
	if j.Origin == nil {
		return ""
	}
	return j.Spec.Team
}

// Decision is what a batch makes durable of a job.
type Decision struct {
	Job     *Job
	Claims  []*Claim
	EndsJob bool
}

// Decisions are the claims and ends in the batch.
func (b *Batch) Decisions() []Decision {
	var decisions []Decision
	for _, write := range b.writes {
		if len(write.claims) > 0 || write.endsJob {
			decisions = append(decisions, Decision{write.job, write.claims, write.endsJob})
		}
	}
	return decisions
}

// ChunkKeys are the chunk keys the batch writes.
func (b *Batch) ChunkKeys() []string {
	var keys []string
	for _, write := range b.writes {
		keys = append(keys, chunkKey(write.job.Ref, write.index))
	}
	return keys
}

// JobRefs are the jobs in the batch.
func (b *Batch) JobRefs() []string {
	var refs []string
	for _, write := range b.writes {
		if !slices.Contains(refs, write.job.Ref) {
			refs = append(refs, write.job.Ref)
		}
	}
	return refs
}

// CommitResult is what a committed batch brought.
type CommitResult struct {
	Claims    []*Claim // to be launched
	Finished  []*Claim // finishes now durable
	Ended     []*Job   // jobs now done
	Unblocked []*Job   // jobs that now wait for no other
}

// BatchCommitted notes that a batch was applied at a generation.
func (t *Table) BatchCommitted(batch *Batch, revision uint64) CommitResult {
	var result CommitResult
	for _, write := range batch.writes {
		job, chunk := write.job, write.job.chunks[write.index]
		chunk.inFlightWrite = 0
		if write.remove {
			chunk.modRevision = 0
		} else {
			chunk.modRevision = revision
		}
		for _, claim := range write.finished {
			if job.claims[claim.Index] == claim {
				delete(chunk.claims, claim.Index%job.chunkTasks)
				wasDirty := chunk.dirty
				t.removeClaim(claim)
				if !wasDirty {
					chunk.dirty = false // the write just made says so already
					t.unmarkDirty(job, write.index)
				}
				result.Finished = append(result.Finished, claim)
			}
		}
		for _, claim := range write.claims {
			if job.claims[claim.Index] != claim {
				continue
			}
			claim.Committed = true
			chunk.uncommitted--
			if job.Cancelled && !claim.StartSent {
				t.removeClaim(claim) // withdrawn meanwhile, never launched
				continue
			}
			result.Claims = append(result.Claims, claim)
		}
		if write.endsJob {
			result.Ended = append(result.Ended, job)
			result.Unblocked = append(result.Unblocked, t.markDependencyDone(job.Ref, write.at)...)
		}
		if job.Cancelled {
			if chunk.modRevision != 0 && len(chunk.claims) == 0 {
				t.markDirty(job, write.index)
			}
			t.forgetIfGone(job)
		}
	}
	for _, job := range result.Ended {
		t.removeEnded(job)
	}
	return result
}

// removeEnded forgets a job that is done; chunks still stored are tidied as those
// of a withdrawn job are.
func (t *Table) removeEnded(job *Job) {
	job.Finished = false
	job.Cancelled = true
	for _, claim := range job.claims {
		t.removeClaim(claim)
	}
	for index, chunk := range job.chunks {
		if chunk.modRevision != 0 {
			t.markDirty(job, index)
		}
	}
	t.forgetIfGone(job)
}

func (t *Table) unmarkDirty(job *Job, index int) {
	t.dirty = slices.DeleteFunc(t.dirty, func(dirty dirtyChunk) bool { return dirty.job == job && dirty.index == index })
}

// BatchFailed notes that a batch was surely not applied: all of it is to be written
// again.
func (t *Table) BatchFailed(batch *Batch) {
	for _, write := range batch.writes {
		chunk := write.job.chunks[write.index]
		chunk.inFlightWrite = 0
		t.markDirty(write.job, write.index)
	}
	for _, write := range batch.writes {
		if job := write.job; job.Cancelled {
			for _, claim := range job.claims {
				if !claim.Committed && !claim.StartSent && !job.chunks[claim.Index/job.chunkTasks].inFlight() {
					t.removeClaim(claim)
				}
			}
			t.forgetIfGone(job)
		}
	}
}
