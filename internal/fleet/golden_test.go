package fleet

import (
	"net"
	"testing"
	"time"

	"rillflow/internal/goldentest"
	"rillflow/internal/wire"
)

// Guards against requests to the cloud that change in method, path, query or body.
func TestGoldenRequests(t *testing.T) {
	recorder := goldentest.NewRecorder(t)
	var dialer net.Dialer
	client := NewCloudClient(recorder.Addr(), 1e6, time.Minute, dialer.DialContext)
	ctx := t.Context()
	for _, request := range []func() error{
		func() error { _, err := client.InstanceTypes(ctx); return err },
		func() error {
			_, err := client.RequestInstances(ctx, goldentest.Filled[wire.ScaleOutRequest]())
			return err
		},
		func() error { return client.ReleaseInstances(ctx, []string{"i-1", "i-2"}) },
		func() error { _, err := client.ListInstances(ctx); return err },
	} {
		if err := request(); err != nil {
			t.Error(err)
		}
	}
	goldentest.Check(t, "requests.txt", recorder.Requests())
}
