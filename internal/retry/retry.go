// Package retry has the waits of loops that try again. It has no state, and must not decide whether
// anything is tried again.
package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxDoublings bounds how often Backoff doubles its base, so that it can't overflow.
const maxDoublings = 16

// Backoff sleeps with full jitter: for a random part of the base, doubled per attempt, up to the
// limit. It returns false if ctx ends first.
func Backoff(ctx context.Context, attempt int, base, limit time.Duration) bool {
	delay := min(base<<min(attempt, maxDoublings), limit)
	return Sleep(ctx, time.Duration(rand.Int64N(int64(delay)+1)))
}

// Sleep waits for so long. It returns false if ctx ends first.
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
