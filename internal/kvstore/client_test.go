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

func newTestClient(addr string) *Client {
	var d net.Dialer
	return New(Options{Addr: addr, RequestsPerSecond: 1000, Limits: Limits{WritesPerSecond: 1000, MaxValueBytes: 1 << 10}, Timeout: 5 * time.Second, Dial: d.DialContext})
}

// What was surely not executed must be told from what may have been: only the
// first may be given up.
func TestErrorClassification(t *testing.T) {
	for _, tc := range []struct {
		name   string
		handle http.HandlerFunc
		want   error
	}{
		{"200", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`{"generation":3}`)) }, nil},
		{"404", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, ErrNotFound},
		{"410", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(410) }, ErrCompacted},
		{"429", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) }, ErrRateLimited},
		{"503", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, ErrRefused},
		{"400", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(400) }, ErrRefused},
		{"500", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, ErrOutcomeUnknown},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrOutcomeUnknown},
		{"half an answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50")
			w.Write([]byte(`{"gen`))
		}, ErrOutcomeUnknown},
		{"nonsense", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`[`)) }, ErrOutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(tc.handle)
			defer srv.Close()
			_, _, err := newTestClient(strings.TrimPrefix(srv.URL, "http://")).Commit(context.Background(), wire.Txn{})
			if !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			if tc.want == ErrOutcomeUnknown && errors.Is(err, ErrRefused) {
				t.Error("an unknown fate passed for a refusal")
			}
		})
	}
}

func TestConnectionRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	if _, err := newTestClient(addr).Get(context.Background(), "k"); !errors.Is(err, ErrRefused) {
		t.Errorf("got %v: what was not sent was not executed", err)
	}
}

// A conflict is an answer, not an error.
func TestCompareFailedIsAnAnswer(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(409)
		w.Write([]byte(`{"failed":["a"],"generation":9}`))
	}))
	defer srv.Close()
	gen, failed, err := newTestClient(strings.TrimPrefix(srv.URL, "http://")).Commit(context.Background(), wire.Txn{})
	if err != nil || gen != 9 || len(failed) != 1 || failed[0] != "a" {
		t.Errorf("%d %v %v", gen, failed, err)
	}
}

// Bulk writes leave a part of the budget, so that a single write in between
// need not wait; the more so the less anybody waits for them.
func TestBulkWriteAllowance(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spent int
		keep  float64
		room  int
		wait  time.Duration
	}{
		{"all but a quarter", 0, 0.25, 6, 0},
		{"just the least", 3, 0.25, 3, 0},
		{"four short", 7, 0.25, 0, 500 * time.Millisecond},
		{"half is kept", 0, 0.5, 4, 0},
		{"half is kept, one was spent", 1, 0.5, 3, 0},
		{"half is kept, two were spent", 2, 0.5, 0, 125 * time.Millisecond},
		{"more is kept than leaves the least: all of the budget will do", 0, 0.9, 3, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(Options{Addr: "state:1", RequestsPerSecond: 100, Limits: Limits{WritesPerSecond: 8}, Timeout: time.Second})
				c.writeLimiter.AllowN(time.Now(), tc.spent)
				allowance, wait := c.BulkWriteAllowance(3, tc.keep)
				if allowance != tc.room || wait != tc.wait {
					t.Errorf("room for %d in %v, want %d in %v", allowance, wait, tc.room, tc.wait)
				}
				if time.Sleep(wait); wait > 0 {
					if allowance, wait = c.BulkWriteAllowance(3, tc.keep); allowance < 3 || wait > 0 {
						t.Errorf("then room for %d in %v", allowance, wait)
					}
				}
			})
		})
	}
}

// A refusal for size, or two for the rate soon after one another, show that the
// announced limits are in force; they are kept to from then on.
func TestLowerLimits(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers []int
		body    string
		want    error
		value   int
	}{
		{"too large", []int{400}, "too large", ErrTooLarge, 2048},
		{"a grant that ended says nothing of limits", []int{400}, `{"error":"no such lease"}`, ErrRefused, 16384},
		{"one refusal for the rate", []int{429}, "", ErrRateLimited, 16384},
		{"two", []int{429, 200, 429}, "{}", ErrRateLimited, 2048},
		{"an outage", []int{503, 503, 503}, "", ErrRefused, 16384},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.answers[n])
				w.Write([]byte(tc.body))
				n++
			}))
			defer srv.Close()
			var d net.Dialer
			c := New(Options{Addr: strings.TrimPrefix(srv.URL, "http://"), RequestsPerSecond: 1000, Timeout: time.Minute, Dial: d.DialContext,
				Limits: Limits{WritesPerSecond: 1000, MaxValueBytes: 16384}, AnnouncedLimits: Limits{WritesPerSecond: 500, MaxValueBytes: 2048}})
			var err error
			for range tc.answers {
				_, _, err = c.Commit(context.Background(), wire.Txn{Operations: []wire.Operation{{Delete: "k"}}})
			}
			if !errors.Is(err, tc.want) || errors.Is(err, ErrTooLarge) != (tc.want == ErrTooLarge) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			if c.MaxValueBytes() != tc.value {
				t.Errorf("values of %d bytes, want %d", c.MaxValueBytes(), tc.value)
			}
			want := 1000.0
			if tc.value == 2048 {
				want = 500
			}
			if got := float64(c.writeLimiter.Limit()); got != want {
				t.Errorf("%v changes a second, want %v", got, want)
			}
		})
	}
}
