package agent

import (
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// maxDirectStarts bounds the direct starts recorded for a worker, and so the exited attempts in its
// heartbeats: they take less than 32 KiB with the longest job IDs.
const maxDirectStarts = 128

// ManyDirectStarts is the number of recorded direct starts at which a higher epoch is due. The rest
// of maxDirectStarts is for those given until the worker has seen it.
const ManyDirectStarts = maxDirectStarts / 2

// MayStartAgain reports whether a worker that knows the given epoch, but not the attempt any more, might
// still execute a direct start command of the attempt.
func (w *Worker) MayStartAgain(attempt Attempt, epoch uint64) bool {
	return w.DirectStarts[attempt] >= max(epoch, 1)
}

// RecordSeenEpoch records the highest epoch that the worker reports to have seen. It rejects the direct
// commands of lower ones.
func (w *Worker) RecordSeenEpoch(epoch uint64, now time.Time) {
	if epoch <= w.SeenEpoch {
		return
	}
	w.SeenEpoch, w.EpochSeenAt = epoch, now
	for attempt, startEpoch := range w.DirectStarts {
		if startEpoch < epoch {
			delete(w.DirectStarts, attempt)
		}
	}
}

// BeginIncarnation records that the worker's lease has expired or its machine has restarted: it has none of
// its tasks any more, and rejects the direct commands of earlier incarnations.
func (w *Worker) BeginIncarnation(incarnation uint64, now time.Time) {
	w.Incarnation, w.IncarnationSeenAt = incarnation, now
	w.Tasks = make(map[ledger.Task]TaskStatus)
	clear(w.DirectStarts)
}

// HeldExits returns how many exited attempts the worker must not forget under the given epoch, and since
// when the first of them has been reported; the zero time if there are none.
func (w *Worker) HeldExits(epoch uint64) (count int, oldest time.Time) {
	for task, status := range w.Tasks {
		if status.Phase != wire.TaskExited || !w.MayStartAgain(Attempt{task, status.Attempt}, epoch) {
			continue
		}
		count++
		if oldest.IsZero() || status.Since.Before(oldest) {
			oldest = status.Since
		}
	}
	return count, oldest
}

// HasUnfinishedTask reports whether a reported task has not exited.
func (w *Worker) HasUnfinishedTask() bool {
	for _, status := range w.Tasks {
		if status.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}
