package election

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rillflow/internal/kvstore"
)

// renewalsPerLease is how often a lease is renewed within its duration.
const renewalsPerLease = 4

// clockDriftMargin is the divisor by which a lease is taken to be shorter than granted. A
// clock may run fast by one part in 2,000, and the store never ends a lease early.
const clockDriftMargin = 500

// LeaseHeld reports whether no other controller can lead at present. What the store cannot
// fence, above all releasing instances, is done only while it holds: a leader cut off from
// the store would otherwise release instances that work for its successor.
func (t *Term) LeaseHeld(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.leaseHeldUntil)
}

// SteppedDown returns since when the term only waits for its successor, and whether it does.
func (t *Term) SteppedDown() (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.steppedDownAt, !t.steppedDownAt.IsZero()
}

// markSteppedDown notes that the lease is no longer renewed. It counts as not held from
// then on.
func (t *Term) markSteppedDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steppedDownAt, t.leaseHeldUntil = time.Now(), time.Time{}
}

// leaseRenewed notes that the lease was granted or renewed by a request sent at a time. It
// counts from the sending, since the store may have handled the request right away.
func (t *Term) leaseRenewed(sentAt time.Time, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.steppedDownAt.IsZero() {
		return
	}
	t.leaseHeldUntil = sentAt.Add(duration - duration/clockDriftMargin)
}

// renewLease renews the term's lease until ctx ends, and calls endTerm if the store no
// longer knows the lease. Other failures are endured: in an outage nobody else can lead
// either, and after it every lease has its full duration again.
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

// revokeLease ends a term's lease, if the store answers at all. It is sent even if ctx has
// ended, so that a controller that shuts down does not delay its successor. A failure is
// ignored: the lease then expires by itself.
func (e *Elector) revokeLease(ctx context.Context, term *Term) {
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.leaseDuration/2)
	defer cancel()
	e.store.RevokeLease(revokeCtx, term.leaseID)
}
