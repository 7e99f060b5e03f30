package leader

import (
	"context"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/retry"
)

// The durations of a term are derived from two settings of the platform: the heartbeat interval of
// workers, and the lease after which a worker without an answer ends its tasks.

// clockDriftDivisor bounds the clock drift: clocks run apart by at most one part in this many.
const clockDriftDivisor = 500

// monitorInterval returns the interval of the periodic checks of a term, several per heartbeat
// interval.
func (s *termScope) monitorInterval() time.Duration { return s.settings.HeartbeatInterval() / 6 }

// heartbeatTimeout returns the time since the last heartbeat after which the next one is late:
// half an interval after it was due.
func (s *termScope) heartbeatTimeout() time.Duration { return 3 * s.settings.HeartbeatInterval() / 2 }

// leaseExpiryTimeout returns the time without an answered heartbeat after which a worker's lease has
// expired by any clock.
func (s *termScope) leaseExpiryTimeout() time.Duration {
	return s.settings.WorkerLease() + s.settings.WorkerLease()/clockDriftDivisor + s.settings.HeartbeatInterval()/3
}

// leaseRenewed reports whether a heartbeat of a worker's incarnation was answered within the last two and
// a half intervals. Nothing else renews its lease: a worker that answers direct commands but reaches no
// controller ends whatever tasks it is given. Callers hold mu.
func (s *termScope) leaseRenewed(worker *agent.Worker, now time.Time) bool {
	return !worker.LastHeartbeat.IsZero() && !worker.LastHeartbeat.Before(worker.IncarnationSeenAt) &&
		now.Sub(worker.LastHeartbeat) < 5*s.settings.HeartbeatInterval()/2
}

// secondsSince returns the seconds since an event, for logs, or -1 if it has not occurred.
func secondsSince(event, now time.Time) float64 {
	if event.IsZero() {
		return -1
	}
	return now.Sub(event).Seconds()
}

// successorTimeout returns how long a term that has stepped down waits for its successor, and how
// long this controller does not campaign after the store has refused it.
func (s *termScope) successorTimeout() time.Duration { return s.settings.WorkerLease() / 4 }

// backOffRead waits before a read from the store is retried. It returns false if ctx ended first.
func (s *termScope) backOffRead(ctx context.Context, attempt int) bool {
	return retry.Backoff(ctx, attempt, s.settings.HeartbeatInterval()/32, s.settings.HeartbeatInterval()/4)
}

// backOffWrite waits before a transaction is retried. It returns false if ctx ended first. Its first
// waits are shorter than those of backOffRead, because other work waits for the write.
func (s *termScope) backOffWrite(ctx context.Context, attempt int) bool {
	return retry.Backoff(ctx, attempt, s.settings.HeartbeatInterval()/64, s.settings.HeartbeatInterval()/4)
}
