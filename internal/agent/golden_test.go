package agent

import (
	"net"
	"testing"
	"time"

	"rillflow/internal/goldentest"
	"rillflow/internal/wire"
)

// Workers are asked as they are today: methods, paths and bodies.
func TestGoldenRequests(t *testing.T) {
	rec := goldentest.NewRecorder(t)
	var dialer net.Dialer
	d := NewCommandClient(time.Minute, 1, dialer.DialContext)
	if _, _, err := d.Send(t.Context(), rec.Addr(), goldentest.Filled[wire.CommandBatch]()); err != nil {
		t.Error(err)
	}
	if _, err := d.Status(t.Context(), rec.Addr()); err != nil {
		t.Error(err)
	}
	goldentest.Check(t, "requests.txt", rec.Requests())
}
