package election

import (
	"testing"
	"time"
)

// A leader may act on the cloud only while its lease lasts by its own clock, with a margin for
// a clock that runs slower than the store's.
func TestLeaseHeld(t *testing.T) {
	var term Term
	sentAt := time.Unix(100, 0)
	term.leaseRenewed(sentAt, 2*time.Second)
	for _, tc := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {1990 * time.Millisecond, true}, {1998 * time.Millisecond, false}, {3 * time.Second, false}} {
		if got := term.LeaseHeld(sentAt.Add(tc.after)); got != tc.want {
			t.Errorf("lease held after %v: got %v, want %v", tc.after, got, tc.want)
		}
	}
	// Once the term has stepped down the lease is not held, even if a renewal succeeds later.
	if _, ok := term.SteppedDown(); ok {
		t.Error("a new term counts as stepped down")
	}
	term.markSteppedDown()
	term.leaseRenewed(sentAt, 2*time.Second)
	if _, ok := term.SteppedDown(); !ok || term.LeaseHeld(sentAt) {
		t.Errorf("stepped down %v, lease held %v; want true, false", ok, term.LeaseHeld(sentAt))
	}
}
