package kvstore

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// starvationInterval is how many grants in a row pass over a lower priority at most while
// requests of it wait.
const starvationInterval = 16

var (
	// errDeadlineTooClose says that a request cannot be granted before its context ends.
	errDeadlineTooClose = errors.New("cannot be sent before the deadline")
	// errQueueFull says that more requests wait than a request of this priority waits for.
	errQueueFull = errors.New("too many requests wait")
)

// priorityLimiter is a token bucket that serves those who wait by priority, and those of one
// priority in the order in which they came. It may be used by several goroutines.
type priorityLimiter struct {
	mu      sync.Mutex // guards what follows
	bucket  *rate.Limiter
	waiting [priorityCount][]*tokenRequest
	// passedOver counts, by priority, the grants to others since a request of it was granted or
	// began to wait.
	passedOver [priorityCount]int
	// sinceStarved counts the grants since one that went to a lower priority than the highest waiting.
	sinceStarved int
	timer        *time.Timer // wakes those who wait when there are tokens; nil until needed
}

// tokenTime is how long it takes until there are so many tokens more.
func tokenTime(tokens, perSecond float64) time.Duration {
	return time.Duration(tokens / perSecond * float64(time.Second))
}

// tokenRequest is a request that waits for tokens.
type tokenRequest struct {
	tokens  int
	granted chan struct{} // closed once it has them
}

func newPriorityLimiter(perSecond float64, burst int) *priorityLimiter {
	return &priorityLimiter{bucket: rate.NewLimiter(rate.Limit(perSecond), burst), sinceStarved: starvationInterval}
}

// setRate changes the rate and the burst from now on, if they differ.
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

// limits returns the rate, the burst and the tokens available now.
func (l *priorityLimiter) limits() (perSecond, burst, available float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.bucket.Limit()), float64(l.bucket.Burst()), l.bucket.Tokens()
}

// wait takes so many tokens, after waiting for those that come first. If that is expected to
// take longer than ctx or the longest wait allow, it fails at once; a longest wait of 0 is none.
func (l *priorityLimiter) wait(ctx context.Context, priority Priority, tokens int, longest time.Duration) error {
	request, err := l.enqueue(ctx, priority, tokens, longest)
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
	return nil // granted at the same moment
}

// enqueue takes the tokens if they are there and nobody waits; else it returns the request that
// waits, or an error if that is in vain.
func (l *priorityLimiter) enqueue(
	ctx context.Context, priority Priority, tokens int, longest time.Duration,
) (*tokenRequest, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.anyWaiting() && l.bucket.AllowN(time.Now(), l.capped(tokens)) {
		return nil, nil
	}
	expected := l.expectedWait(priority, tokens)
	if longest > 0 && expected > longest {
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

// remove takes out a request that waits no longer. It reports false if it was granted.
func (l *priorityLimiter) remove(priority Priority, request *tokenRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := slices.Index(l.waiting[priority], request)
	if at < 0 {
		return false
	}
	l.waiting[priority] = slices.Delete(l.waiting[priority], at, at+1)
	if len(l.waiting[priority]) == 0 {
		l.passedOver[priority] = 0
	}
	l.dispatch()
	return true
}

// anyWaiting is called with the lock held, as are all below.
func (l *priorityLimiter) anyWaiting() bool {
	for _, queue := range l.waiting {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// capped is how many tokens a request is granted at: one for more than the bucket holds gets all of it.
func (l *priorityLimiter) capped(tokens int) int { return min(tokens, l.bucket.Burst()) }

// expectedWait is how long a request would wait for those before it if no more came.
func (l *priorityLimiter) expectedWait(priority Priority, tokens int) time.Duration {
	needed := float64(l.capped(tokens)) - l.bucket.Tokens()
	for _, queue := range l.waiting[:priority+1] {
		for _, request := range queue {
			needed += float64(l.capped(request.tokens))
		}
	}
	return tokenTime(needed, float64(l.bucket.Limit()))
}

// dispatch grants what there are tokens for, and sees to it that the rest is looked at again.
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

// next is the priority whose first request is granted next: the highest, but now and then one
// that was passed over for long. Something must be waiting.
func (l *priorityLimiter) next() Priority {
	highest := slices.IndexFunc(l.waiting[:], func(queue []*tokenRequest) bool { return len(queue) > 0 })
	next := highest
	if l.sinceStarved >= starvationInterval {
		for lower := highest + 1; lower < priorityCount; lower++ {
			if passed := l.passedOver[lower]; passed >= starvationInterval && passed > l.passedOver[next] {
				next = lower
			}
		}
	}
	return Priority(next)
}

// grant gives the first request of a priority its tokens.
func (l *priorityLimiter) grant(priority Priority) {
	close(l.waiting[priority][0].granted)
	l.waiting[priority] = slices.Delete(l.waiting[priority], 0, 1)
	l.sinceStarved++
	for other, queue := range l.waiting {
		switch {
		case Priority(other) == priority || len(queue) == 0:
			l.passedOver[other] = 0
		case Priority(other) < priority:
			l.sinceStarved = 0
		default:
			l.passedOver[other]++
		}
	}
}

// wakeAfter looks at those who wait again after a while.
func (l *priorityLimiter) wakeAfter(delay time.Duration) {
	delay = max(delay, 0) + time.Nanosecond // what is left of a token is rounded down
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
