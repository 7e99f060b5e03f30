package intake

import (
	"sync"
	"time"
)

// trackedEnds is how many ends are tracked at most; more do not change the longest wait by much.
const trackedEnds = 4096

// endTracker knows the jobs whose ends wait to be stored, from what status requests find: all
// tasks are done, and the job is still live. It is safe for concurrent use.
type endTracker struct {
	mu   sync.Mutex
	ends map[string]waitingEnd
}

// waitingEnd is when an end was first and last found waiting.
type waitingEnd struct{ first, last time.Time }

// note notes that the end of a job was found waiting.
func (t *endTracker) note(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, isKnown := t.ends[id]
	switch {
	case !isKnown && len(t.ends) >= trackedEnds:
		return
	case !isKnown:
		end.first = now
	}
	end.last = now
	if t.ends == nil {
		t.ends = make(map[string]waitingEnd)
	}
	t.ends[id] = end
}

// forget notes that a job has ended.
func (t *endTracker) forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ends, id)
}

// longest is for how long an end has been found waiting. Jobs that have ended, as another controller
// may have told their users, are forgotten, and those that nobody asked about within a time.
func (t *endTracker) longest(
	now time.Time, within time.Duration, hasEnded func(id string) bool,
) (longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, end := range t.ends {
		if now.Sub(end.last) > within || hasEnded(id) {
			delete(t.ends, id)
			continue
		}
		longest = max(longest, end.last.Sub(end.first))
	}
	return longest
}
