package election

import (
	"testing"
	"time"
)

// A leader acts on the cloud only while its lease lasts by its own clock, which may run slow
// against the store's.
func TestLeaseHeld(t *testing.T) {
	var term Term
	sentAt := time.Unix(100, 0)
	term.leaseRenewed(sentAt, 2*time.Second)
	for _, tc := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {1990 * time.Millisecond, true}, {1998 * time.Millisecond, false}, {3 * time.Second, false}} {
		if got := term.LeaseHeld(sentAt.Add(tc.after)); got != tc.want {
			t.Errorf("after %v: %v", tc.after, got)
		}
	}
	// Once the term has stepped down the lease is not held, whatever renewal is answered after.
	if _, ok := term.SteppedDown(); ok {
		t.Error("stepped down from the start")
	}
	term.markSteppedDown()
	term.leaseRenewed(sentAt, 2*time.Second)
	if _, ok := term.SteppedDown(); !ok || term.LeaseHeld(sentAt) {
		t.Errorf("stepped down: %v, lease held: %v", ok, term.LeaseHeld(sentAt))
	}
}
