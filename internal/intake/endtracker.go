package intake

import (
	"sync"
	"time"
)

// maxTrackedEnds bounds the tracked ends; more would hardly change the longest wait.
const maxTrackedEnds = 4096

// endTracker tracks the jobs whose ends wait to be stored. Status requests find them: all tasks of
// such a job are done, but the job is still live. It is safe for concurrent use.
type endTracker struct {
	mu   sync.Mutex
	ends map[string]waitingEnd
}

// waitingEnd holds when an end was first and last observed waiting.
type waitingEnd struct{ first, last time.Time }

// observe records that the end of a job was found waiting.
func (t *endTracker) observe(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, isKnown := t.ends[id]
	switch {
	case !isKnown && len(t.ends) >= maxTrackedEnds:
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

// forget removes a job whose end is stored.
func (t *endTracker) forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ends, id)
}

// longestWait returns the longest time for which an end has been observed waiting. It first removes
// jobs that hasEnded reports, which may have ended through another controller, and jobs that were
// last observed longer ago than maxAge.
func (t *endTracker) longestWait(
	now time.Time, maxAge time.Duration, hasEnded func(id string) bool,
) (longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, end := range t.ends {
		if now.Sub(end.last) > maxAge || hasEnded(id) {
			delete(t.ends, id)
			continue
		}
		longest = max(longest, end.last.Sub(end.first))
	}
	return longest
}
