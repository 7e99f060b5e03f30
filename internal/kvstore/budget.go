package kvstore

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// minBurst is the least number of requests, or of writes, that may be sent at once.
	minBurst = 4
	// rejectionWindow is how soon after a write that the store refused for its rate another such
	// refusal shows lower limits, in request timeouts.
	rejectionWindow = 4
	// statusReadWaits is how many of the longest waits of a status read make up the request timeout.
	statusReadWaits = 4
)

// Limits are limits of the store. The rate is this process's share.
type Limits struct {
	WritesPerSecond float64
	MaxValueBytes   int
}

// budget keeps this process to its share of the store's rates. The limit of writes only ever falls,
// once, to the announced one; that of requests follows whether this process leads.
type budget struct {
	requests         *priorityLimiter
	writes           *priorityLimiter
	followerRate     float64 // of requests
	leaderRate       float64 // of requests, while holdsLease
	holdsLease       func() bool
	longestReadWait  time.Duration // of a status read
	maxValueBytes    int
	announced        Limits
	lowered          atomic.Bool
	start            time.Time
	lastRejection    atomic.Int64 // nanoseconds from start of a write that was refused for its rate
	rejectionsWithin time.Duration
	usage            [priorityCount]usageCounter
}

// newBudget returns a budget that has not been used yet.
func newBudget(options Options) *budget {
	return &budget{
		requests:         newPriorityLimiter(options.RequestsPerSecond, requestBurst(options.RequestsPerSecond)),
		writes:           newPriorityLimiter(options.WritesPerSecond, writeBurst(options.WritesPerSecond)),
		followerRate:     options.RequestsPerSecond,
		leaderRate:       options.LeaderRequestsPerSecond,
		holdsLease:       options.HoldsLease,
		longestReadWait:  options.Timeout / statusReadWaits,
		maxValueBytes:    options.MaxValueBytes,
		announced:        options.AnnouncedLimits,
		start:            time.Now(),
		rejectionsWithin: rejectionWindow * options.Timeout,
	}
}

func requestBurst(perSecond float64) int { return max(minBurst, int(perSecond/2)) }

func writeBurst(perSecond float64) int { return max(minBurst, int(perSecond)) }

// wait waits until a request with so many writes may be sent. A request that can't be sent before
// ctx ends fails at once, and so does a status read that would wait for long; outcomeOf tells which.
func (b *budget) wait(ctx context.Context, writes int) error {
	b.adjustRate()
	priority := priorityOf(ctx)
	var longest time.Duration
	if priority == PriorityStatusRead {
		longest = b.longestReadWait
	}
	began := time.Now()
	err := b.requests.wait(ctx, priority, 1, longest)
	if err != nil {
		err = fmt.Errorf("request budget: %w", err)
	} else if writes > 0 {
		if err = b.writes.wait(ctx, priority, writes, longest); err != nil {
			err = fmt.Errorf("write budget: %w", err)
		}
	}
	b.usage[priority].noteWait(time.Since(began), err)
	return err
}

// adjustRate gives this process the share of requests that it has now. The lease sees to it that
// no two have the leader's.
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

// outcomeOf returns which outcome a request has that the budget did not allow.
func outcomeOf(err error) error {
	if errors.Is(err, errQueueFull) {
		return ErrShed
	}
	return ErrRateLimited
}

// lowerLimits goes over to the announced limits for good: a refusal has shown that they are in
// force.
func (b *budget) lowerLimits() {
	if b.announced.MaxValueBytes == 0 || b.lowered.Swap(true) {
		return
	}
	perSecond, _, _ := b.writes.limits()
	lower := min(perSecond, b.announced.WritesPerSecond)
	b.writes.setRate(lower, writeBurst(lower))
}

// noteWriteRejection notes that the store refused a write for its rate. One may be bad luck among
// several controllers; a second soon after shows lower limits.
func (b *budget) noteWriteRejection() {
	now := int64(time.Since(b.start))
	if last := b.lastRejection.Swap(now); last != 0 && now-last < int64(b.rejectionsWithin) {
		b.lowerLimits()
	}
}

// MaxValueBytes is how many bytes a value may have, as far as is known.
func (c *Client) MaxValueBytes() int {
	if c.budget.lowered.Load() {
		return min(c.budget.maxValueBytes, c.budget.announced.MaxValueBytes)
	}
	return c.budget.maxValueBytes
}

// LimitsLowered reports whether the announced limits were found in force.
func (c *Client) LimitsLowered() bool { return c.budget.lowered.Load() }

// BulkWriteAllowance is how many bulk writes can be sent now that leave a share of the burst, the
// reserve, to single writes, which users and leadership wait for. If that is fewer than the
// minimum, it returns how long until those can be sent.
func (c *Client) BulkWriteAllowance(minimum int, reserve float64) (allowance int, wait time.Duration) {
	perSecond, burst, available := c.budget.writes.limits()
	reserve *= burst
	if shortfall := min(float64(minimum)+reserve, burst) - available; shortfall > 0 {
		return 0, tokenTime(shortfall, perSecond)
	}
	return max(minimum, int(available-reserve)), 0
}
