package agent

import (
	"net"
	"testing"
	"time"

	"rillflow/internal/goldentest"
	"rillflow/internal/wire"
)

// Guards against requests to workers that change in method, path or body.
func TestGoldenRequests(t *testing.T) {
	recorder := goldentest.NewRecorder(t)
	var dialer net.Dialer
	client := NewCommandClient(time.Minute, 1, dialer.DialContext)
	if _, _, err := client.Send(t.Context(), recorder.Addr(), goldentest.Filled[wire.CommandBatch]()); err != nil {
		t.Error(err)
	}
	if _, err := client.Status(t.Context(), recorder.Addr()); err != nil {
		t.Error(err)
	}
	goldentest.Check(t, "requests.txt", recorder.Requests())
}
