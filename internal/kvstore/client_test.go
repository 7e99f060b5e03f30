package kvstore

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// newTestClient returns a client of a server at an address, with a budget that no test uses up.
func newTestClient(addr string) *Client {
	var dialer net.Dialer
	return New(Options{
		Addr: addr, RequestsPerSecond: 1e5, Limits: Limits{WritesPerSecond: 1e5, MaxValueBytes: 1 << 10},
		Timeout: time.Minute, Dial: dialer.DialContext,
	})
}

// serve returns a client of a store that is played by a handler.
func serve(t *testing.T, handler http.Handler) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newTestClient(strings.TrimPrefix(server.URL, "http://"))
}
