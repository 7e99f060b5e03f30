package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"rillflow/internal/wire"
)

// Number of operations needed for a chunk whose write ends its job: the deletion of the live key,
// the put of the end record, and, unless it is deferred, the deletion of the chunk.
const (
	endOperations     = 3
	endOnlyOperations = 2
)

// Batch holds the changes for one transaction.
type Batch struct {
	Compares   []wire.Compare
	Operations []wire.Operation
	Writer     string // unique per batch, stored in each of its chunks
	writes     []chunkWrite
}

// chunkWrite is the change that a batch makes to one chunk.
type chunkWrite struct {
	chunkRef
	claims         []*Claim // claims that become durable
	finished       []*Claim // claims whose finish becomes durable
	deletesChunk   bool     // the chunk is deleted
	defersDeletion bool     // the stored chunk is left unchanged, to be deleted later
	endsJob        bool     // the batch also writes the job's end
	endedAt        time.Time
}

// BatchLimits limits the size and the content of a batch.
type BatchLimits struct {
	MaxOperations int
	MaxBytes      int // total size of the values; may be exceeded by at most one value
	MaxValueBytes int // size of a single value
	// UrgentOnly leaves out non-urgent changes, NonUrgentOnly urgent ones. A change is urgent if
	// tasks, users or other jobs wait for it.
	UrgentOnly, NonUrgentOnly bool
	// DeferCleanup leaves out the deletion of chunks of ended jobs, so that a job can end before its
	// chunks are deleted.
	DeferCleanup bool
	// AuditBlock is the block of the audit log that will record the batch's claims and ends, 0 if
	// no audit log is kept. MaxClaims is the approximate number of claims that the block has room
	// for.
	AuditBlock uint64
	MaxClaims  int
}

// Decision lists the claims of a job, and its end, that a batch makes durable.
type Decision struct {
	Job     *Job
	Claims  []*Claim
	EndsJob bool
}

// Decisions returns the claims and ends in the batch, by job.
func (b *Batch) Decisions() []Decision {
	var decisions []Decision
	for _, write := range b.writes {
		if len(write.claims) > 0 || write.endsJob {
			decisions = append(decisions, Decision{write.job, write.claims, write.endsJob})
		}
	}
	return decisions
}

// JobIDs returns the IDs of the jobs in the batch.
func (b *Batch) JobIDs() []string {
	var jobIDs []string
	for _, write := range b.writes {
		if !slices.Contains(jobIDs, write.job.ID) {
			jobIDs = append(jobIDs, write.job.ID)
		}
	}
	return jobIDs
}

// NextBatch returns the next batch, or nil when nothing within the limits needs writing. It must
// not be called again until the batch has been passed to BatchCommitted or BatchFailed. The order
// is: ends of jobs that others depend on, claims, other ends, finishes, then the deletion of chunks
// of ended jobs.
func (t *Table) NextBatch(limits BatchLimits, now time.Time) *Batch {
	t.batchCount++
	builder := batchBuilder{
		batch:        &Batch{Writer: fmt.Sprintf("%s.%d", t.writer, t.batchCount)},
		batchNumber:  t.batchCount,
		limits:       limits,
		now:          now,
		bytesLeft:    limits.MaxBytes,
		comparedJobs: make(map[string]bool),
	}
	t.writes.recordPendingEnds(now)
	t.writes.sort()
	var deferred []chunkRef
	for _, ref := range t.writes.pending {
		if chunk := ref.chunk(); chunk == nil || !chunk.dirty {
			continue
		}
		if !limits.includes(t.writes.priority(ref)) || !builder.hasRoom(ref) || !builder.add(ref) {
			deferred = append(deferred, ref)
		}
	}
	t.writes.pending = deferred
	if len(builder.batch.writes) == 0 {
		return nil
	}
	return builder.batch
}

// includes reports whether a batch within the limits may contain changes of a priority.
func (l *BatchLimits) includes(priority writePriority) bool {
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
	batch        *Batch
	batchNumber  uint64 // numbers the table's batches, from 1
	limits       BatchLimits
	now          time.Time
	bytesLeft    int
	claimCount   int
	comparedJobs map[string]bool // IDs of the jobs whose live key the batch compares
}

// hasRoom reports whether one more chunk fits the batch's limits.
func (b *batchBuilder) hasRoom(ref chunkRef) bool {
	operations := 1
	switch endsJob := ref.job.Finished && !b.comparedJobs[ref.job.ID]; {
	case endsJob && b.limits.DeferCleanup:
		operations = endOnlyOperations
	case endsJob:
		operations = endOperations
	}
	if len(b.batch.Operations)+operations > b.limits.MaxOperations || b.bytesLeft <= 0 {
		return false
	}
	auditBlockFull := b.claimCount > 0 && b.claimCount+ref.chunk().uncommittedClaims > b.limits.MaxClaims
	return b.limits.AuditBlock == 0 || !auditBlockFull
}

// add adds a chunk's changes to the batch, and the end of its job if all tasks are done. It
// returns false if the chunk must wait for a later batch.
func (b *batchBuilder) add(ref chunkRef) bool {
	job, chunk := ref.job, ref.chunk()
	write := chunkWrite{chunkRef: ref}
	endsJob := job.Finished && !b.comparedJobs[job.ID]
	var endRecord json.RawMessage
	if endsJob {
		var err error
		if endRecord, err = b.encodeEnd(job); err != nil {
			return false
		}
	}
	switch {
	case job.Cancelled && len(chunk.claims) > 0:
		chunk.dirty = false // nothing to write until the claims are freed
		return true
	case job.Finished && b.limits.DeferCleanup:
		if b.comparedJobs[job.ID] {
			return false // this batch already ends the job; the chunk is deleted later
		}
		write.defersDeletion = true
	case job.Cancelled, job.Finished:
		write.deletesChunk = true
		b.deleteChunk(ref)
	default:
		if !b.putChunk(ref) {
			return false
		}
	}
	write.claims, write.finished = ref.uncommittedChanges()
	if (len(write.claims) > 0 || job.Finished) && !b.comparedJobs[job.ID] {
		b.compareLiveKey(job)
	}
	if endsJob {
		b.endJob(&write, endRecord)
	}
	chunk.dirty = false
	chunk.inFlightBatch = b.batchNumber
	if !write.defersDeletion {
		chunk.freesInFlight, chunk.unstoredFrees = chunk.unstoredFrees, nil
	}
	b.batch.writes = append(b.batch.writes, write)
	return true
}

func (b *batchBuilder) deleteChunk(ref chunkRef) {
	if modRevision := ref.chunk().modRevision; modRevision != 0 {
		b.compare(ref.key(), modRevision)
		b.batch.Operations = append(b.batch.Operations, wire.Operation{Delete: ref.key()})
	}
}

// putChunk adds the put of a chunk. It returns false if the chunk is too large even in the packed
// form. That happens only with names of hundreds of bytes; the chunk then waits until enough of its
// tasks have ended for it to fit.
func (b *batchBuilder) putChunk(ref chunkRef) bool {
	chunk := ref.chunk()
	if chunk.uncommittedClaims > 0 {
		chunk.auditBlock = b.limits.AuditBlock
		b.claimCount += chunk.uncommittedClaims
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

// uncommittedChanges returns the chunk's claims that are not durable yet, and its claims of finished
// tasks whose finish is not durable yet.
func (r chunkRef) uncommittedChanges() (claims, finished []*Claim) {
	job := r.job
	end := min((r.index+1)*job.chunkTasks, job.nextNewTask)
	for task := r.index * job.chunkTasks; task < end; task++ {
		if claim := job.claims[task]; claim != nil && claim.Finished {
			finished = append(finished, claim)
		} else if claim != nil && !claim.Committed {
			claims = append(claims, claim)
		}
	}
	return claims, finished
}

// compareLiveKey adds a compare of the job's live key, so that the batch fails if the job has been
// cancelled meanwhile: no claim of a cancelled job may become durable.
func (b *batchBuilder) compareLiveKey(job *Job) {
	b.comparedJobs[job.ID] = true
	b.compare(LiveKey(job.ID), job.modRevision)
}

// encodeEnd returns the end record of a job.
func (b *batchBuilder) encodeEnd(job *Job) (json.RawMessage, error) {
	return Encode(EndRecord{
		Phase: wire.PhaseDone, Tasks: job.Spec.TaskCount, ChunkTasks: job.chunkTasks,
		EndedMS: b.now.UnixMilli(), Team: job.recordedTeam(), AuditBlock: b.limits.AuditBlock,
	})
}

// endJob replaces the job's record by its end record.
func (b *batchBuilder) endJob(write *chunkWrite, endRecord json.RawMessage) {
	write.endsJob = true
	write.endedAt = b.now
	b.batch.Operations = append(b.batch.Operations,
		wire.Operation{Delete: LiveKey(write.job.ID)}, wire.Operation{Put: EndedKey(write.job.ID), Value: endRecord})
}

func (b *batchBuilder) compare(key string, modRevision uint64) {
	b.batch.Compares = append(b.batch.Compares, wire.Compare{Key: key, ModRevision: modRevision})
}
