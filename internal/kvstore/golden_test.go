package kvstore

import (
	"net"
	"testing"
	"time"

	"rillflow/internal/goldentest"
	"rillflow/internal/wire"
)

// The state service is asked as it is today: methods, paths, queries and bodies.
func TestGoldenRequests(t *testing.T) {
	rec := goldentest.NewRecorder(t)
	var d net.Dialer
	c := New(Options{
		Addr: rec.Addr(), RequestsPerSecond: 1e6, Limits: Limits{WritesPerSecond: 1e6, MaxValueBytes: 16 << 10}, Timeout: time.Minute, Dial: d.DialContext,
	})
	ctx := t.Context()
	for _, ask := range []func() error{
		func() error { _, err := c.Get(ctx, "epoch"); return err },
		func() error { _, _, err := c.List(ctx, "j/"); return err },
		func() error { _, _, err := c.Page(ctx, "j/", "j/req-1", 7); return err },
		func() error { _, _, err := c.Commit(ctx, wire.Txn{}); return err },
		func() error { _, _, err := c.Commit(ctx, goldentest.Filled[wire.Txn]()); return err },
		func() error { _, err := c.GrantLease(ctx, 1500*time.Millisecond); return err },
		func() error { return c.RenewLease(ctx, 9) },
		func() error { return c.RevokeLease(ctx, 9) },
		func() error { _, err := c.Watch(ctx, "i/", 0, 2*time.Second); return err },
	} {
		if err := ask(); err != nil {
			t.Error(err)
		}
	}
	c.First(ctx, "a/b/") // both find nothing
	c.GetByListing(ctx, "lead")
	goldentest.Check(t, "requests.txt", rec.Requests())
}
