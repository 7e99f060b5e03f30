package kvstore

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// starvationInterval is the number of grants to higher priorities after which a waiting request of a
// lower priority is granted next, and the least number of grants between two such exceptions.
const starvationInterval = 16

var (
	// errDeadlineTooClose means that a request cannot be granted before the deadline of its context.
	errDeadlineTooClose = errors.New("cannot be sent before the deadline")
	// errQueueFull means that the requests ahead in the queue would take longer than the maximum wait.
	errQueueFull = errors.New("too many requests wait")
)

// priorityLimiter is a token bucket that grants waiting requests by priority, and first in, first
// out within one priority. It is safe for concurrent use.
type priorityLimiter struct {
	mu      sync.Mutex // guards the fields below
	bucket  *rate.Limiter
	waiting [priorityCount][]*tokenRequest
	// passedOver counts, for each priority, the grants to higher priorities since one of its
	// requests was granted or began to wait.
	passedOver [priorityCount]int
	// sinceException counts the grants since the last one that passed over a higher priority.
	sinceException int
	timer          *time.Timer // calls dispatch when tokens are expected; nil until needed
}

// tokenTime returns the time in which a bucket gains the given number of tokens.
func tokenTime(tokens, perSecond float64) time.Duration {
	return time.Duration(tokens / perSecond * float64(time.Second))
}

// tokenRequest is a request that waits for tokens.
type tokenRequest struct {
	tokens  int
	granted chan struct{} // closed when the tokens are granted
}

func newPriorityLimiter(perSecond float64, burst int) *priorityLimiter {
	return &priorityLimiter{bucket: rate.NewLimiter(rate.Limit(perSecond), burst), sinceException: starvationInterval}
}

// setRate changes the rate and the burst if they differ from the present ones.
func (l *priorityLimiter) setRate(perSecond float64, burst int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket.Limit() == rate.Limit(perSecond) && l.bucket.Burst() == burst {
		return
	}
	l.bucket.SetLimit(rate.Limit(perSecond))
	l.bucket.SetBurst(burst)
	l.dispatch()
}

// limits returns the rate, the burst and the tokens currently available.
func (l *priorityLimiter) limits() (perSecond, burst, available float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.bucket.Limit()), float64(l.bucket.Burst()), l.bucket.Tokens()
}

// wait takes tokens, after waiting for the requests that come first. It fails at once if the
// expected wait exceeds maxWait or the deadline of ctx. A maxWait of 0 means no limit.
func (l *priorityLimiter) wait(ctx context.Context, priority Priority, tokens int, maxWait time.Duration) error {
	request, err := l.enqueue(ctx, priority, tokens, maxWait)
	if request == nil {
		return err
	}
	select {
	case <-request.granted:
		return nil
	case <-ctx.Done():
	}
	if l.remove(priority, request) {
		return ctx.Err()
	}
	return nil // granted before it could be removed
}

// enqueue takes the tokens if they are available and no request waits; it then returns nil. Else it
// returns the queued request, or an error if the expected wait is too long.
func (l *priorityLimiter) enqueue(
	ctx context.Context, priority Priority, tokens int, maxWait time.Duration,
) (*tokenRequest, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.anyWaiting() && l.bucket.AllowN(time.Now(), l.capped(tokens)) {
		return nil, nil
	}
	expected := l.expectedWait(priority, tokens)
	if maxWait > 0 && expected > maxWait {
		return nil, errQueueFull
	}
	if deadline, ok := ctx.Deadline(); ok && expected > time.Until(deadline) {
		return nil, errDeadlineTooClose
	}
	request := &tokenRequest{tokens: tokens, granted: make(chan struct{})}
	l.waiting[priority] = append(l.waiting[priority], request)
	l.dispatch()
	return request, nil
}

// remove takes a request out of the queue. It returns false if the request was granted already.
func (l *priorityLimiter) remove(priority Priority, request *tokenRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := slices.Index(l.waiting[priority], request)
	if index < 0 {
		return false
	}
	l.waiting[priority] = slices.Delete(l.waiting[priority], index, index+1)
	if len(l.waiting[priority]) == 0 {
		l.passedOver[priority] = 0
	}
	l.dispatch()
	return true
}

// anyWaiting reports whether any request waits. It must be called with mu held, like all methods
// below.
func (l *priorityLimiter) anyWaiting() bool {
	for _, queue := range l.waiting {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// capped returns the tokens to take for a request: at most the burst, as the bucket never holds
// more.
func (l *priorityLimiter) capped(tokens int) int { return min(tokens, l.bucket.Burst()) }

// expectedWait returns how long a new request would wait if no request came after it.
func (l *priorityLimiter) expectedWait(priority Priority, tokens int) time.Duration {
	needed := float64(l.capped(tokens)) - l.bucket.Tokens()
	for _, queue := range l.waiting[:priority+1] {
		for _, request := range queue {
			needed += float64(l.capped(request.tokens))
		}
	}
	return tokenTime(needed, float64(l.bucket.Limit()))
}

// dispatch grants requests while there are tokens, and sets the timer for the next one.
func (l *priorityLimiter) dispatch() {
	for l.anyWaiting() {
		priority := l.next()
		tokens := l.capped(l.waiting[priority][0].tokens)
		if !l.bucket.AllowN(time.Now(), tokens) {
			l.wakeAfter(tokenTime(float64(tokens)-l.bucket.Tokens(), float64(l.bucket.Limit())))
			return
		}
		l.grant(priority)
	}
}

// next returns the priority whose first request is granted next: the highest that has one or, at
// most once per starvationInterval, the one passed over most often. Some request must be waiting.
func (l *priorityLimiter) next() Priority {
	highest := slices.IndexFunc(l.waiting[:], func(queue []*tokenRequest) bool { return len(queue) > 0 })
	next := highest
	if l.sinceException >= starvationInterval {
		for lower := highest + 1; lower < priorityCount; lower++ {
			if passed := l.passedOver[lower]; passed >= starvationInterval && passed > l.passedOver[next] {
				next = lower
			}
		}
	}
	return Priority(next)
}

// grant removes the first request of a priority from its queue and signals that it has its tokens.
func (l *priorityLimiter) grant(priority Priority) {
	close(l.waiting[priority][0].granted)
	l.waiting[priority] = slices.Delete(l.waiting[priority], 0, 1)
	l.sinceException++
	for other, queue := range l.waiting {
		switch {
		case Priority(other) == priority || len(queue) == 0:
			l.passedOver[other] = 0
		case Priority(other) < priority:
			l.sinceException = 0
		default:
			l.passedOver[other]++
		}
	}
}

// wakeAfter schedules a call of dispatch after the delay.
func (l *priorityLimiter) wakeAfter(delay time.Duration) {
	delay = max(delay, 0) + time.Nanosecond // delay was rounded down to whole nanoseconds
	if l.timer != nil {
		l.timer.Reset(delay)
		return
	}
	l.timer = time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dispatch()
	})
}
