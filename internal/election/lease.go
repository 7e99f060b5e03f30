package election

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rillflow/internal/kvstore"
)

// renewalsPerLease is the number of renewals within one lease duration.
const renewalsPerLease = 4

// clockDriftDivisor gives the part of a lease's duration that is left unused to allow for
// clock drift. A clock may run fast by one part in 2,000, and the store never expires a lease
// early.
const clockDriftDivisor = 500

// LeaseHeld reports whether the lease cannot have expired yet, so that no other controller
// can lead. Actions that the store cannot fence, above all releasing instances, require it: a
// leader partitioned from the store would otherwise release instances that its successor
// uses.
func (t *Term) LeaseHeld(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.leaseHeldUntil)
}

// SteppedDown reports whether the term has stepped down and only waits for a successor, and
// since when.
func (t *Term) SteppedDown() (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.steppedDownAt, !t.steppedDownAt.IsZero()
}

// markSteppedDown records that the lease is no longer renewed. From then on the lease counts
// as not held.
func (t *Term) markSteppedDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steppedDownAt, t.leaseHeldUntil = time.Now(), time.Time{}
}

// leaseRenewed records that the lease was granted or renewed by a request sent at sentAt. The
// lease is counted from then, not from the response, since the store may have handled the
// request immediately. It has no effect after the term has stepped down.
func (t *Term) leaseRenewed(sentAt time.Time, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.steppedDownAt.IsZero() {
		return
	}
	t.leaseHeldUntil = sentAt.Add(duration - duration/clockDriftDivisor)
}

// renewLease renews the term's lease until ctx ends, and calls endTerm if the store no
// longer has the lease. Other failures are ignored: during an outage of the store no other
// controller can be elected either, and after it every lease has its full duration again.
func (e *Elector) renewLease(ctx context.Context, term *Term, endTerm context.CancelCauseFunc) {
	ticker := time.NewTicker(e.leaseDuration / renewalsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sentAt := time.Now()
		err := e.store.RenewLease(ctx, term.leaseID)
		if errors.Is(err, kvstore.ErrNotFound) {
			endTerm(fmt.Errorf("%w: lease expired", ErrDeposed))
			return
		}
		if err == nil {
			term.leaseRenewed(sentAt, e.leaseDuration)
		}
	}
}

// revokeLease revokes a term's lease. The request is sent even if ctx has ended, so that a
// controller that shuts down does not delay its successor. A failure is ignored: the lease
// then expires by itself.
func (e *Elector) revokeLease(ctx context.Context, term *Term) {
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.leaseDuration/2)
	defer cancel()
	e.store.RevokeLease(revokeCtx, term.leaseID)
}
