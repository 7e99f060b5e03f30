package kvstore

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minBurst is the least number of requests, or of writes, that may be sent at once.
	minBurst = 4
	// rejectionWindow is how soon after a write that the store refused for its rate another such
	// refusal shows lower limits, in request timeouts.
	rejectionWindow = 4
)

// Limits are limits of the store. The rate is this process's share.
type Limits struct {
	WritesPerSecond float64
	MaxValueBytes   int
}

// budget keeps this process to its share of the store's rates. Its limits only ever fall, once, to
// the announced ones.
type budget struct {
	requests      *rate.Limiter
	writes        *rate.Limiter
	maxValueBytes int
	announced     Limits
	lowered       atomic.Bool
	start         time.Time
	lastRejection atomic.Int64 // nanoseconds from start of a write that was refused for its rate
	window        time.Duration
}

// newBudget returns a budget that has not been used yet.
func newBudget(options Options) *budget {
	requests, writes := options.RequestsPerSecond, options.WritesPerSecond
	return &budget{
		requests:      rate.NewLimiter(rate.Limit(requests), max(minBurst, int(requests/2))),
		writes:        rate.NewLimiter(rate.Limit(writes), max(minBurst, int(writes))),
		maxValueBytes: options.MaxValueBytes,
		announced:     options.AnnouncedLimits,
		start:         time.Now(),
		window:        rejectionWindow * options.Timeout,
	}
}

// wait waits until a request with so many writes may be sent. A request that can't be sent before
// ctx ends fails at once.
func (b *budget) wait(ctx context.Context, writes int) error {
	if err := b.requests.Wait(ctx); err != nil {
		return fmt.Errorf("request budget: %w", err)
	}
	if writes == 0 {
		return nil
	}
	if err := b.writes.WaitN(ctx, min(writes, b.writes.Burst())); err != nil {
		return fmt.Errorf("write budget: %w", err)
	}
	return nil
}

// lowerLimits goes over to the announced limits for good: a refusal has shown that they are in
// force.
func (b *budget) lowerLimits() {
	if b.announced.MaxValueBytes == 0 || b.lowered.Swap(true) {
		return
	}
	b.writes.SetLimit(min(b.writes.Limit(), rate.Limit(b.announced.WritesPerSecond)))
	b.writes.SetBurst(min(b.writes.Burst(), max(minBurst, int(b.announced.WritesPerSecond))))
}

// noteWriteRejection notes that the store refused a write for its rate. One may be bad luck among
// several controllers; a second soon after shows lower limits.
func (b *budget) noteWriteRejection() {
	now := int64(time.Since(b.start))
	if last := b.lastRejection.Swap(now); last != 0 && now-last < int64(b.window) {
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
	writes := c.budget.writes
	burst, available := float64(writes.Burst()), writes.Tokens()
	reserve *= burst
	if shortfall := min(float64(minimum)+reserve, burst) - available; shortfall > 0 {
		return 0, time.Duration(shortfall / float64(writes.Limit()) * float64(time.Second))
	}
	return max(minimum, int(available-reserve)), 0
}
