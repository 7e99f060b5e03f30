package ledger

import (
	"slices"
	"time"
)

// chunkRef names a chunk of a job.
type chunkRef struct {
	job   *Job
	index int
}

// chunk is the chunk itself, or nil.
func (r chunkRef) chunk() *taskChunk { return r.job.chunks[r.index] }

func (r chunkRef) key() string { return ChunkKey(r.job.ID, r.index) }

// writePriority orders what is to be written: the lower, the earlier.
type writePriority int

const (
	priorityNeededEnd writePriority = iota // the end of a job that others depend on
	priorityClaim
	priorityEnd
	priorityFinish  // done tasks and freed claims, which nothing waits for
	priorityCleanup // chunks of jobs that have ended
)

// writeQueue holds the chunks that differ from what is stored of them.
type writeQueue struct {
	pending      []chunkRef
	dependencies *dependencyGraph // tells whose ends others wait for
}

// mark queues a chunk, unless it is queued already.
func (q *writeQueue) mark(ref chunkRef) {
	if chunk := ref.chunk(); !chunk.dirty {
		chunk.dirty = true
		q.pending = append(q.pending, ref)
	}
}

// markTask queues the chunk of a task.
func (q *writeQueue) markTask(job *Job, task int) { q.mark(chunkRef{job, task / job.chunkTasks}) }

// markJob queues all chunks of a job.
func (q *writeQueue) markJob(job *Job) {
	for index := range job.chunks {
		q.mark(chunkRef{job, index})
	}
}

// unmark takes a chunk out of the queue.
func (q *writeQueue) unmark(ref chunkRef) {
	ref.chunk().dirty = false
	q.pending = slices.DeleteFunc(q.pending, func(other chunkRef) bool { return other == ref })
}

// noteEnds notes since when ends wait that came since the last batch.
func (q *writeQueue) noteEnds(now time.Time) {
	for _, ref := range q.pending {
		if ref.job.Finished && ref.job.endPendingFrom.IsZero() {
			ref.job.endPendingFrom = now
		}
	}
}

// sort puts the queue in order of priority, ends in that in which they came to wait, and all else
// in that of marking: what was in a batch that failed is marked again.
func (q *writeQueue) sort() {
	slices.SortStableFunc(q.pending, func(a, b chunkRef) int {
		first, second := q.priority(a), q.priority(b)
		if first != second || first != priorityEnd && first != priorityNeededEnd {
			return int(first - second)
		}
		return a.job.endPendingFrom.Compare(b.job.endPendingFrom)
	})
}

func (q *writeQueue) priority(ref chunkRef) writePriority {
	switch {
	case ref.job.Cancelled:
		return priorityCleanup
	case ref.job.Finished && q.dependencies.hasDependents(ref.job):
		return priorityNeededEnd
	case ref.hasNewClaims():
		return priorityClaim
	case ref.job.Finished:
		return priorityEnd
	}
	return priorityFinish
}

// isUrgent reports whether something waits for changes of the priority.
func (p writePriority) isUrgent() bool { return p <= priorityEnd }

// isUrgent reports whether something waits for the chunk to be written.
func (q *writeQueue) isUrgent(ref chunkRef) bool { return q.priority(ref).isUrgent() }

// hasNewClaims reports whether the chunk has claims that are not durable, without which their
// tasks cannot be started.
func (r chunkRef) hasNewClaims() bool {
	chunk := r.chunk()
	return chunk != nil && chunk.dirty && chunk.uncommitted > 0 && !r.job.Cancelled
}

// NothingToWrite reports whether all that the table holds is stored or being written.
func (t *Table) NothingToWrite() bool { return len(t.writes.pending) == 0 }

// HasUrgentWrites reports whether a claim or the end of a job waits to be written: tasks,
// users and later jobs wait for those.
func (t *Table) HasUrgentWrites() bool {
	return slices.ContainsFunc(t.writes.pending, t.writes.isUrgent)
}
