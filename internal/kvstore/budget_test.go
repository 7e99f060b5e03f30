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

// Guards against bulk writes that use up the budget and so delay single writes: the reserved share
// of the burst stays available.
func TestBulkWriteAllowance(t *testing.T) {
	for _, tc := range []struct {
		name      string
		spent     int
		reserve   float64
		allowance int
		wait      time.Duration
	}{
		{"a quarter reserved", 0, 0.25, 6, 0},
		{"exactly the minimum left", 3, 0.25, 3, 0},
		{"four tokens short", 7, 0.25, 0, 500 * time.Millisecond},
		{"half reserved", 0, 0.5, 4, 0},
		{"half reserved, one spent", 1, 0.5, 3, 0},
		{"half reserved, two spent", 2, 0.5, 0, 125 * time.Millisecond},
		{"reserve and minimum exceed the burst: the full bucket suffices", 0, 0.9, 3, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(Options{
					Addr: "state:1", RequestsPerSecond: 100, Limits: Limits{WritesPerSecond: 8}, Timeout: time.Second,
				})
				c.budget.writes.bucket.AllowN(time.Now(), tc.spent)
				allowance, wait := c.BulkWriteAllowance(3, tc.reserve)
				if allowance != tc.allowance || wait != tc.wait {
					t.Errorf("allowance %d, wait %v, want %d, %v", allowance, wait, tc.allowance, tc.wait)
				}
				if time.Sleep(wait); wait > 0 {
					if allowance, wait = c.BulkWriteAllowance(3, tc.reserve); allowance < 3 || wait > 0 {
						t.Errorf("after that wait: allowance %d, wait %v, want at least 3, 0s", allowance, wait)
					}
				}
			})
		})
	}
}

// Guards against a client that keeps exceeding limits that the store has lowered, or that lowers its
// limits after an unrelated error. Only a rejection for size, or two for the rate within a short
// time, show that the announced limits are in force.
func TestAnnouncedLimits(t *testing.T) {
	for _, tc := range []struct {
		name          string
		statuses      []int
		body          string
		want          error
		maxValueBytes int
	}{
		{"too large", []int{400}, "too large", ErrTooLarge, 2048},
		{"lease has ended", []int{400}, `{"error":"no such lease"}`, ErrRefused, 16384},
		{"one rejection for the rate", []int{429}, "", ErrRateLimited, 16384},
		{"two rejections for the rate", []int{429, 200, 429}, "{}", ErrRateLimited, 2048},
		{"outage", []int{503, 503, 503}, "", ErrRefused, 16384},
	} {
		t.Run(tc.name, func(t *testing.T) {
			requestCount := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.statuses[requestCount])
				w.Write([]byte(tc.body))
				requestCount++
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
				t.Errorf("MaxValueBytes %d, want %d", c.MaxValueBytes(), tc.maxValueBytes)
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

// Guards against processes whose shares add up to more than the store allows: only the holder of the
// lease uses the leader's share.
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
			t.Errorf("%v requests per second, burst %v with the lease held %v, want %v per second", perSecond, burst, test.holdsLease, test.rate)
		}
	}
}

// Guards against a follower that keeps the leader's rate because a concurrent caller, which still saw
// the lease held, set it after the lease ended.
func TestLeaderRateEndsWithTheLease(t *testing.T) {
	budget := newBudget(Options{
		RequestsPerSecond: 20, LeaderRequestsPerSecond: 40, HoldsLease: func() bool { return false },
		Limits: Limits{WritesPerSecond: 10}, Timeout: time.Second,
	})
	budget.requests.setRate(budget.leaderRate, requestBurst(budget.leaderRate))
	if err := budget.wait(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if perSecond, _, _ := budget.requests.limits(); perSecond != 20 {
		t.Errorf("%v requests per second without the lease, want 20", perSecond)
	}
}
