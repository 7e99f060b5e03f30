package leader

import (
	"context"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/retry"
)

// The time spans of a term are ratios to two settings of the platform: the interval in which
// workers send heartbeats, and the lease after which a worker ends its tasks.

// clockDriftDivisor bounds how fast clocks run apart: by one part in so many.
const clockDriftDivisor = 500

// monitorInterval is how often a term looks for what only time brings: a few times between
// two heartbeats of a worker.
func (s *termScope) monitorInterval() time.Duration { return s.settings.HeartbeatInterval() / 6 }

// heartbeatLateAfter is when a heartbeat is late: half an interval after it was due.
func (s *termScope) heartbeatLateAfter() time.Duration { return 3 * s.settings.HeartbeatInterval() / 2 }

// leaseOverAfter is after which time without an answer a lease is over by any clock.
func (s *termScope) leaseOverAfter() time.Duration {
	return s.settings.WorkerLease() + s.settings.WorkerLease()/clockDriftDivisor + s.settings.HeartbeatInterval()/3
}

// leaseRenewed tells whether a worker's heartbeat was answered within the last two intervals
// and a half. Nothing else renews its lease: a worker that answers direct commands but
// reaches no controller loses whatever it is given. Callers hold mu.
func (s *termScope) leaseRenewed(worker *agent.Worker, now time.Time) bool {
	return !worker.LastHeartbeat.IsZero() && now.Sub(worker.LastHeartbeat) < 5*s.settings.HeartbeatInterval()/2
}

// successorPatience is how long a term that was given up waits for its successor, and how long
// this controller stays out of the election once the store refused it.
func (s *termScope) successorPatience() time.Duration { return s.settings.WorkerLease() / 4 }

// backOffRead waits before the store is asked once more, and reports false if ctx ended first.
func (s *termScope) backOffRead(ctx context.Context, attempt int) bool {
	return retry.Backoff(ctx, attempt, s.settings.HeartbeatInterval()/32, s.settings.HeartbeatInterval()/4)
}

// backOffWrite waits before a transaction is sent once more, and reports false if ctx ended
// first. It begins with shorter waits than backOffRead: others wait for what is written.
func (s *termScope) backOffWrite(ctx context.Context, attempt int) bool {
	return retry.Backoff(ctx, attempt, s.settings.HeartbeatInterval()/64, s.settings.HeartbeatInterval()/4)
}
