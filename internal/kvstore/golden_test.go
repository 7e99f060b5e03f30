package kvstore

import (
	"testing"
	"time"

	"rillflow/internal/goldentest"
	"rillflow/internal/wire"
)

// Guards against requests to the store that change in method, path, query or body.
func TestGoldenRequests(t *testing.T) {
	recorder := goldentest.NewRecorder(t)
	c := newTestClient(recorder.Addr())
	ctx := t.Context()
	for _, request := range []func() error{
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
		if err := request(); err != nil {
			t.Error(err)
		}
	}
	c.First(ctx, "a/b/") // these two reads find no key
	c.GetByListing(ctx, "lead")
	goldentest.Check(t, "requests.txt", recorder.Requests())
}
