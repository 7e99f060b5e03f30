package kvstore

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// newTestClient returns a client of the server at addr, with a budget too large for a test to use up.
func newTestClient(addr string) *Client {
	var dialer net.Dialer
	return New(Options{
		Addr: addr, RequestsPerSecond: 1e5, Limits: Limits{WritesPerSecond: 1e5, MaxValueBytes: 1 << 10},
		Timeout: time.Minute, Dial: dialer.DialContext,
	})
}

// serve starts a fake store served by handler and returns a client of it.
func serve(t *testing.T, handler http.Handler) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newTestClient(strings.TrimPrefix(server.URL, "http://"))
}
