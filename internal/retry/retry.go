// Package retry provides the delays of retry loops. It has no state, and must not decide whether
// anything is retried.
package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxDoublings limits how often Backoff doubles its base, so that the delay cannot overflow.
const maxDoublings = 16

// Backoff sleeps with exponential backoff and full jitter: for a random part of the base, doubled
// for each attempt up to the limit. It returns false if ctx ends first.
func Backoff(ctx context.Context, attempt int, base, limit time.Duration) bool {
	delay := min(base<<min(attempt, maxDoublings), limit)
	return Sleep(ctx, time.Duration(rand.Int64N(int64(delay)+1)))
}

// Sleep waits for the duration. It returns false if ctx ends first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
