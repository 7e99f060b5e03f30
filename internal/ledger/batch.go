package ledger

import (
	"fmt"
	"slices"
	"time"

	"rillflow/internal/wire"
)

// How many operations a chunk takes with which its job ends: the removal of the live key and the
// end record, and the chunk's own unless that is deferred.
const (
	endOperations     = 3
	endOnlyOperations = 2
)

// Batch is one transaction's worth of changes.
type Batch struct {
	Compares   []wire.Compare
	Operations []wire.Operation
	Writer     string // the mark that every chunk in it carries
	writes     []chunkWrite
}

// chunkWrite is what a batch changes of one chunk.
type chunkWrite struct {
	chunkRef
	claims   []*Claim // that become durable
	finished []*Claim // whose finish becomes durable
	remove   bool
	deferred bool // the chunk stays as it is stored, to be deleted later
	endsJob  bool // the job's end is in this batch
	endedAt  time.Time
}

// BatchLimits bound a batch.
type BatchLimits struct {
	MaxOperations int
	MaxBytes      int // of all values together, exceeded by at most one value
	MaxValueBytes int // of one value
	// UrgentOnly leaves out what nothing waits for, NonUrgentOnly all else.
	UrgentOnly, NonUrgentOnly bool
	// DeferCleanup has jobs end without the deletion of their chunks, which is left for later, and
	// leaves out the deletions that were left.
	DeferCleanup bool
	// AuditBlock is the block of the audit log that is to tell of the batch's claims and ends,
	// and MaxClaims about how many claims it has room for. 0: no audit log is kept.
	AuditBlock uint64
	MaxClaims  int
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

// JobIDs are the jobs in the batch.
func (b *Batch) JobIDs() []string {
	var refs []string
	for _, write := range b.writes {
		if !slices.Contains(refs, write.job.ID) {
			refs = append(refs, write.job.ID)
		}
	}
	return refs
}

// NextBatch makes a batch, or returns nil when nothing needs writing. Until BatchCommitted or
// BatchFailed is called with it, no other batch may be made. The ends of jobs that others wait
// for go first, then claims, then other ends, then finishes, then what is left of jobs that
// have ended.
func (t *Table) NextBatch(limits BatchLimits, now time.Time) *Batch {
	t.writeCount++
	builder := batchBuilder{
		batch:     &Batch{Writer: fmt.Sprintf("%s.%d", t.writer, t.writeCount)},
		number:    t.writeCount,
		limits:    limits,
		now:       now,
		bytesLeft: limits.MaxBytes,
		compared:  make(map[string]bool),
	}
	t.writes.noteEnds(now)
	t.writes.sort()
	var deferred []chunkRef
	for _, ref := range t.writes.pending {
		if chunk := ref.chunk(); chunk == nil || !chunk.dirty {
			continue
		}
		if !limits.include(t.writes.priority(ref)) || !builder.hasRoom(ref) || !builder.add(ref) {
			deferred = append(deferred, ref)
		}
	}
	t.writes.pending = deferred
	if len(builder.batch.writes) == 0 {
		return nil
	}
	return builder.batch
}

// include tells whether a batch within the limits takes changes of a priority.
func (l *BatchLimits) include(priority writePriority) bool {
	switch {
	case priority.isUrgent():
		return !l.NonUrgentOnly
	case priority == priorityCleanup && l.DeferCleanup:
		return false
	}
	return !l.UrgentOnly
}

// batchBuilder fills one batch.
type batchBuilder struct {
	batch     *Batch
	number    uint64 // of the write
	limits    BatchLimits
	now       time.Time
	bytesLeft int
	claims    int
	compared  map[string]bool // jobs whose live key is compared
}

// hasRoom reports whether the batch may take a further chunk.
func (b *batchBuilder) hasRoom(ref chunkRef) bool {
	operations := 1
	switch endsJob := ref.job.Finished && !b.compared[ref.job.ID]; {
	case endsJob && b.limits.DeferCleanup:
		operations = endOnlyOperations
	case endsJob:
		operations = endOperations
	}
	if len(b.batch.Operations)+operations > b.limits.MaxOperations || b.bytesLeft <= 0 {
		return false
	}
	auditBlockFull := b.claims > 0 && b.claims+ref.chunk().uncommitted > b.limits.MaxClaims
	return b.limits.AuditBlock == 0 || !auditBlockFull
}

// add puts a chunk into the batch, and with its job's last chunks the job's end. It returns
// false if the chunk must wait for a later batch.
func (b *batchBuilder) add(ref chunkRef) bool {
	job, chunk := ref.job, ref.chunk()
	write := chunkWrite{chunkRef: ref}
	switch {
	case job.Cancelled && len(chunk.claims) > 0:
		chunk.dirty = false // nothing to write until the claims are gone
		return true
	case job.Finished && b.limits.DeferCleanup:
		if b.compared[job.ID] {
			return false // its end is in this batch; it is deleted after that
		}
		write.deferred = true
	case job.Cancelled, job.Finished:
		write.remove = true
		b.deleteChunk(ref)
	default:
		if !b.putChunk(ref) {
			return false
		}
	}
	write.claims, write.finished = ref.undurableClaims()
	if (len(write.claims) > 0 || job.Finished) && !b.compared[job.ID] {
		b.compareLiveKey(job)
		if job.Finished && !b.endJob(&write) {
			return true
		}
	}
	chunk.dirty = false
	chunk.inFlightWrite = b.number
	b.batch.writes = append(b.batch.writes, write)
	return true
}

func (b *batchBuilder) deleteChunk(ref chunkRef) {
	if modRevision := ref.chunk().modRevision; modRevision != 0 {
		b.compare(ref.key(), modRevision)
		b.batch.Operations = append(b.batch.Operations, wire.Operation{Delete: ref.key()})
	}
}

// putChunk returns false for a chunk that is too large even packed, which takes names of
// hundreds of bytes: it waits for tasks of it to end, by which it shrinks.
func (b *batchBuilder) putChunk(ref chunkRef) bool {
	chunk := ref.chunk()
	if chunk.uncommitted > 0 {
		chunk.auditBlock = b.limits.AuditBlock
		b.claims += chunk.uncommitted
	}
	data, err := chunk.encode(b.batch.Writer, b.limits.MaxValueBytes)
	if err != nil {
		return false
	}
	b.bytesLeft -= len(data)
	b.compare(ref.key(), chunk.modRevision)
	b.batch.Operations = append(b.batch.Operations, wire.Operation{Put: ref.key(), Value: data})
	return true
}

// undurableClaims are the chunk's claims that are not durable, and those whose finish is not.
func (r chunkRef) undurableClaims() (claims, finished []*Claim) {
	job := r.job
	end := min((r.index+1)*job.chunkTasks, job.nextIndex)
	for task := r.index * job.chunkTasks; task < end; task++ {
		if claim := job.claims[task]; claim != nil && claim.Finished {
			finished = append(finished, claim)
		} else if claim != nil && !claim.Committed {
			claims = append(claims, claim)
		}
	}
	return claims, finished
}

// compareLiveKey has the batch fail if the job was cancelled meanwhile, which changes the key:
// no claim of a cancelled job becomes durable.
func (b *batchBuilder) compareLiveKey(job *Job) {
	b.compared[job.ID] = true
	b.compare(LiveKey(job.ID), job.modRevision)
}

// endJob replaces the job's record by its end record. It returns false if that cannot be
// encoded, which does not happen: it has strings and integers only.
func (b *batchBuilder) endJob(write *chunkWrite) bool {
	job := write.job
	write.endsJob = true
	write.endedAt = b.now
	end, err := Encode(EndRecord{
		Phase: wire.PhaseDone, Tasks: job.Spec.TaskCount, ChunkTasks: job.chunkTasks,
		EndedMS: b.now.UnixMilli(), Team: job.recordedTeam(), AuditBlock: b.limits.AuditBlock,
	})
	if err != nil {
		return false
	}
	b.batch.Operations = append(b.batch.Operations,
		wire.Operation{Delete: LiveKey(job.ID)}, wire.Operation{Put: EndedKey(job.ID), Value: end})
	return true
}

func (b *batchBuilder) compare(key string, modRevision uint64) {
	b.batch.Compares = append(b.batch.Compares, wire.Compare{Key: key, ModRevision: modRevision})
}
