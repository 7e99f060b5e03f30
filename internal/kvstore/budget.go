package kvstore

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// minBurst is the least burst of requests and of writes.
	minBurst = 4
	// rejectionWindowTimeouts is the time, in request timeouts, within which a second write
	// rejected for its rate (429) shows that the store has lowered its limits.
	rejectionWindowTimeouts = 4
	// statusReadWaitDivisor divides the request timeout to give the longest wait of a status read.
	statusReadWaitDivisor = 4
)

// Limits are the store's limits on writes. The rate is this process's share.
type Limits struct {
	WritesPerSecond float64
	MaxValueBytes   int
}

// budget limits this process to its share of the store's request and write rates. The write limit
// falls at most once, to the announced one. The request limit depends on whether this process leads.
type budget struct {
	requests          *priorityLimiter
	writes            *priorityLimiter
	followerRate      float64 // requests per second
	leaderRate        float64 // requests per second while holdsLease reports true
	holdsLease        func() bool
	maxStatusReadWait time.Duration
	maxValueBytes     int
	announcedLimits   Limits
	lowered           atomic.Bool // the announced limits are in force
	start             time.Time
	lastRejection     atomic.Int64 // when a write was last rejected for its rate, in nanoseconds since start; 0: never
	rejectionWindow   time.Duration
	usage             [priorityCount]usageCounter
}

// newBudget returns a budget with full token buckets.
func newBudget(options Options) *budget {
	return &budget{
		requests:          newPriorityLimiter(options.RequestsPerSecond, requestBurst(options.RequestsPerSecond)),
		writes:            newPriorityLimiter(options.WritesPerSecond, writeBurst(options.WritesPerSecond)),
		followerRate:      options.RequestsPerSecond,
		leaderRate:        options.LeaderRequestsPerSecond,
		holdsLease:        options.HoldsLease,
		maxStatusReadWait: options.Timeout / statusReadWaitDivisor,
		maxValueBytes:     options.MaxValueBytes,
		announcedLimits:   options.AnnouncedLimits,
		start:             time.Now(),
		rejectionWindow:   rejectionWindowTimeouts * options.Timeout,
	}
}

func requestBurst(perSecond float64) int { return max(minBurst, int(perSecond/2)) }

func writeBurst(perSecond float64) int { return max(minBurst, int(perSecond)) }

// wait blocks until a request with the given number of writes may be sent. It fails at once if the
// request cannot be sent before ctx ends, or if a status read would wait longer than
// maxStatusReadWait. outcomeOf maps the error to the outcome of the request.
func (b *budget) wait(ctx context.Context, writes int) error {
	b.adjustRate()
	priority := priorityOf(ctx)
	var maxWait time.Duration
	if priority == PriorityStatusRead {
		maxWait = b.maxStatusReadWait
	}
	startedAt := time.Now()
	err := b.requests.wait(ctx, priority, 1, maxWait)
	if err != nil {
		err = &unsentError{"request budget", err}
	} else if writes > 0 {
		if err = b.writes.wait(ctx, priority, writes, maxWait); err != nil {
			err = &unsentError{"write budget", err}
		}
	}
	b.usage[priority].recordWait(time.Since(startedAt), err)
	return err
}

// unsentError means that a request was not sent, as a budget did not allow it or its context ended while it
// waited.
type unsentError struct {
	budget string
	err    error
}

func (e *unsentError) Error() string { return e.budget + ": " + e.err.Error() }

func (e *unsentError) Unwrap() error { return e.err }

// adjustRate sets the request rate of this process's present role. The lease ensures that no two
// processes use the leader's rate at once.
func (b *budget) adjustRate() {
	if b.holdsLease == nil {
		return
	}
	perSecond := b.followerRate
	if b.holdsLease() {
		perSecond = b.leaderRate
	}
	b.requests.setRate(perSecond, requestBurst(perSecond))
}

// outcomeOf returns the outcome of a request that the budget did not allow.
func outcomeOf(err error) error {
	if errors.Is(err, errQueueFull) {
		return ErrShed
	}
	return ErrRateLimited
}

// lowerLimits applies the announced limits for the rest of the process, after a rejection has shown
// that they are in force.
func (b *budget) lowerLimits() {
	if b.announcedLimits.MaxValueBytes == 0 || b.lowered.Swap(true) {
		return
	}
	perSecond, _, _ := b.writes.limits()
	lower := min(perSecond, b.announcedLimits.WritesPerSecond)
	b.writes.setRate(lower, writeBurst(lower))
}

// recordWriteRejection records that the store rejected a write for its rate. A single rejection may
// come from bursts of several controllers that coincide; a second one within rejectionWindow shows
// that the limits were lowered.
func (b *budget) recordWriteRejection() {
	now := int64(time.Since(b.start))
	if last := b.lastRejection.Swap(now); last != 0 && now-last < int64(b.rejectionWindow) {
		b.lowerLimits()
	}
}

// MaxValueBytes returns the largest size of a value under the limits known to be in force.
func (c *Client) MaxValueBytes() int {
	if c.budget.lowered.Load() {
		return min(c.budget.maxValueBytes, c.budget.announcedLimits.MaxValueBytes)
	}
	return c.budget.maxValueBytes
}

// LimitsLowered reports whether the announced limits are known to be in force.
func (c *Client) LimitsLowered() bool { return c.budget.lowered.Load() }

// BulkWriteAllowance returns how many bulk writes can be sent now while a share of the burst, the
// reserve, is left for single writes, which users and leader election wait for. If that is fewer
// than the minimum, it returns 0 and the time until the minimum can be sent.
func (c *Client) BulkWriteAllowance(minimum int, reserve float64) (allowance int, wait time.Duration) {
	perSecond, burst, available := c.budget.writes.limits()
	reserve *= burst
	if shortfall := min(float64(minimum)+reserve, burst) - available; shortfall > 0 {
		return 0, tokenTime(shortfall, perSecond)
	}
	return max(minimum, int(available-reserve)), 0
}
