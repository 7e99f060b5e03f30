package kvstore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

// Bulk writes leave a part of the budget, so that a single write in between need not wait; the
// more so the less anybody waits for them.
func TestBulkWriteAllowance(t *testing.T) {
	for _, tc := range []struct {
		name      string
		spent     int
		reserve   float64
		allowance int
		wait      time.Duration
	}{
		{"all but a quarter", 0, 0.25, 6, 0},
		{"just the minimum", 3, 0.25, 3, 0},
		{"four short", 7, 0.25, 0, 500 * time.Millisecond},
		{"half is reserved", 0, 0.5, 4, 0},
		{"half is reserved, one was spent", 1, 0.5, 3, 0},
		{"half is reserved, two were spent", 2, 0.5, 0, 125 * time.Millisecond},
		{"more is reserved than leaves the minimum: all of the budget will do", 0, 0.9, 3, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(Options{
					Addr: "state:1", RequestsPerSecond: 100, Limits: Limits{WritesPerSecond: 8}, Timeout: time.Second,
				})
				c.budget.writes.bucket.AllowN(time.Now(), tc.spent)
				allowance, wait := c.BulkWriteAllowance(3, tc.reserve)
				if allowance != tc.allowance || wait != tc.wait {
					t.Errorf("%d writes in %v, want %d in %v", allowance, wait, tc.allowance, tc.wait)
				}
				if time.Sleep(wait); wait > 0 {
					if allowance, wait = c.BulkWriteAllowance(3, tc.reserve); allowance < 3 || wait > 0 {
						t.Errorf("then %d writes in %v", allowance, wait)
					}
				}
			})
		})
	}
}

// A refusal for size, or two for the rate soon after one another, show that the announced limits
// are in force; they are kept to from then on.
func TestLowerLimits(t *testing.T) {
	for _, tc := range []struct {
		name          string
		statuses      []int
		body          string
		want          error
		maxValueBytes int
	}{
		{"too large", []int{400}, "too large", ErrTooLarge, 2048},
		{"a lease that ended says nothing of limits", []int{400}, `{"error":"no such lease"}`, ErrRefused, 16384},
		{"one refusal for the rate", []int{429}, "", ErrRateLimited, 16384},
		{"two", []int{429, 200, 429}, "{}", ErrRateLimited, 2048},
		{"an outage", []int{503, 503, 503}, "", ErrRefused, 16384},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.statuses[n])
				w.Write([]byte(tc.body))
				n++
			}))
			defer server.Close()
			var dialer net.Dialer
			c := New(Options{
				Addr: strings.TrimPrefix(server.URL, "http://"), RequestsPerSecond: 1000,
				Timeout: time.Minute, Dial: dialer.DialContext,
				Limits:          Limits{WritesPerSecond: 1000, MaxValueBytes: 16384},
				AnnouncedLimits: Limits{WritesPerSecond: 500, MaxValueBytes: 2048},
			})
			var err error
			for range tc.statuses {
				_, _, err = c.Commit(context.Background(), wire.Txn{Operations: []wire.Operation{{Delete: "k"}}})
			}
			if !errors.Is(err, tc.want) || errors.Is(err, ErrTooLarge) != (tc.want == ErrTooLarge) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			if c.MaxValueBytes() != tc.maxValueBytes {
				t.Errorf("values of %d bytes, want %d", c.MaxValueBytes(), tc.maxValueBytes)
			}
			want := 1000.0
			if tc.maxValueBytes == 2048 {
				want = 500
			}
			if got := float64(c.budget.writes.bucket.Limit()); got != want {
				t.Errorf("%v writes a second, want %v", got, want)
			}
		})
	}
}

// Guards against shares that add up to more than the store allows: only the lease gives the leader's.
func TestRequestRateFollowsTheLease(t *testing.T) {
	holdsLease := false
	budget := newBudget(Options{
		RequestsPerSecond: 20, LeaderRequestsPerSecond: 40, HoldsLease: func() bool { return holdsLease },
		Limits: Limits{WritesPerSecond: 10}, Timeout: time.Second,
	})
	for _, test := range []struct {
		holdsLease bool
		rate       float64
	}{{false, 20}, {true, 40}, {true, 40}, {false, 20}} {
		holdsLease = test.holdsLease
		if err := budget.wait(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		perSecond, burst, _ := budget.requests.limits()
		if perSecond != test.rate || burst != test.rate/2 {
			t.Errorf("%v a second and bursts of %v while the lease is held: %v, want %v", perSecond, burst, test.holdsLease, test.rate)
		}
	}
}

// Guards against a follower that keeps the leader's rate, set late by a caller that saw the lease held.
func TestLateRateOfAnEndedLeaseDoesNotStay(t *testing.T) {
	budget := newBudget(Options{
		RequestsPerSecond: 20, LeaderRequestsPerSecond: 40, HoldsLease: func() bool { return false },
		Limits: Limits{WritesPerSecond: 10}, Timeout: time.Second,
	})
	budget.requests.setRate(budget.leaderRate, requestBurst(budget.leaderRate))
	if err := budget.wait(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if perSecond, _, _ := budget.requests.limits(); perSecond != 20 {
		t.Errorf("%v requests a second without the lease, want 20", perSecond)
	}
}
