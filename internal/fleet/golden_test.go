package fleet

import (
	"net"
	"testing"
	"time"

	"rillflow/internal/goldentest"
	"rillflow/internal/wire"
)

// The cloud is asked as it is today: methods, paths, queries and bodies.
func TestGoldenRequests(t *testing.T) {
	rec := goldentest.NewRecorder(t)
	var d net.Dialer
	c := NewCloudClient(rec.Addr(), 1e6, time.Minute, d.DialContext)
	ctx := t.Context()
	for _, ask := range []func() error{
		func() error { _, err := c.InstanceTypes(ctx); return err },
		func() error { _, err := c.RequestInstances(ctx, goldentest.Filled[wire.ScaleOutRequest]()); return err },
		func() error { return c.ReleaseInstances(ctx, []string{"i-1", "i-2"}) },
		func() error { _, err := c.ListInstances(ctx); return err },
	} {
		if err := ask(); err != nil {
			t.Error(err)
		}
	}
	goldentest.Check(t, "requests.txt", rec.Requests())
}
