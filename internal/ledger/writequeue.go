package ledger

import (
	"slices"
	"time"
)

// chunkRef identifies a chunk of a job.
type chunkRef struct {
	job   *Job
	index int
}

// chunk returns the chunk, or nil if it does not exist.
func (r chunkRef) chunk() *taskChunk { return r.job.chunks[r.index] }

func (r chunkRef) key() string { return ChunkKey(r.job.ID, r.index) }

// writePriority is the priority of a chunk's write; a lower number is written earlier.
type writePriority int

const (
	priorityBlockingEnd writePriority = iota // the end of a job that others depend on
	priorityClaim
	priorityEnd
	priorityFinish  // done tasks and freed claims, for which nothing waits
	priorityCleanup // chunks of jobs that have ended
)

// writeQueue holds the chunks that differ from their stored form.
type writeQueue struct {
	pending      []chunkRef
	dependencies *dependencyGraph // to find jobs whose end others wait for
}

// enqueue queues a chunk unless it is already queued.
func (q *writeQueue) enqueue(ref chunkRef) {
	if chunk := ref.chunk(); !chunk.dirty {
		chunk.dirty = true
		q.pending = append(q.pending, ref)
	}
}

// enqueueTask queues the chunk of a task.
func (q *writeQueue) enqueueTask(job *Job, task int) { q.enqueue(chunkRef{job, task / job.chunkTasks}) }

// enqueueJob queues all chunks of a job.
func (q *writeQueue) enqueueJob(job *Job) {
	for index := range job.chunks {
		q.enqueue(chunkRef{job, index})
	}
}

// remove removes a chunk from the queue.
func (q *writeQueue) remove(ref chunkRef) {
	ref.chunk().dirty = false
	q.pending = slices.DeleteFunc(q.pending, func(other chunkRef) bool { return other == ref })
}

// recordPendingEnds sets endPendingSince of the jobs that have finished since the last batch.
func (q *writeQueue) recordPendingEnds(now time.Time) {
	for _, ref := range q.pending {
		if ref.job.Finished && ref.job.endPendingSince.IsZero() {
			ref.job.endPendingSince = now
		}
	}
}

// sort orders the queue by priority. Ends of the same priority are ordered by the time since which
// they wait, since those of a failed batch are queued again behind later ones; all other changes
// are in the order in which they were queued.
func (q *writeQueue) sort() {
	slices.SortStableFunc(q.pending, func(a, b chunkRef) int {
		first, second := q.priority(a), q.priority(b)
		if first != second || first != priorityEnd && first != priorityBlockingEnd {
			return int(first - second)
		}
		return a.job.endPendingSince.Compare(b.job.endPendingSince)
	})
}

func (q *writeQueue) priority(ref chunkRef) writePriority {
	switch {
	case ref.job.Cancelled:
		return priorityCleanup
	case ref.job.Finished && q.dependencies.hasDependents(ref.job):
		return priorityBlockingEnd
	case ref.hasNewClaims():
		return priorityClaim
	case ref.job.Finished:
		return priorityEnd
	}
	return priorityFinish
}

// isUrgent reports whether tasks, users or other jobs wait for changes of the priority.
func (p writePriority) isUrgent() bool { return p <= priorityEnd }

// isUrgent reports whether tasks, users or other jobs wait for the chunk to be written.
func (q *writeQueue) isUrgent(ref chunkRef) bool { return q.priority(ref).isUrgent() }

// hasNewClaims reports whether the chunk has claims that are not durable yet, so that their tasks
// cannot be started.
func (r chunkRef) hasNewClaims() bool {
	chunk := r.chunk()
	return chunk != nil && chunk.dirty && chunk.uncommittedClaims > 0 && !r.job.Cancelled
}

// NothingToWrite reports whether all changes are stored or being written.
func (t *Table) NothingToWrite() bool { return len(t.writes.pending) == 0 }

// HasUrgentWrites reports whether a claim or the end of a job waits to be written: tasks, users and
// dependent jobs wait for those.
func (t *Table) HasUrgentWrites() bool {
	return slices.ContainsFunc(t.writes.pending, t.writes.isUrgent)
}
