package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rillflow/internal/wire"
)

// connCounter counts the open connections among those that it dialled.
type connCounter struct {
	mu     sync.Mutex
	open   int
	closed chan struct{} // receives a value for each closed connection
}

// countedConn is a connection that reports its closing to its counter.
type countedConn struct {
	net.Conn
	counter *connCounter
	once    sync.Once
}

func (c *connCounter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	return &countedConn{Conn: conn, counter: c}, nil
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.counter.mu.Lock()
		defer c.counter.mu.Unlock()
		c.counter.open--
		c.counter.closed <- struct{}{}
	})
	return c.Conn.Close()
}

// Guards against a leader that runs out of sockets because it keeps a connection per worker open.
func TestIdleConnectionsAreBounded(t *testing.T) {
	for _, tc := range []struct{ workers, maxIdle, wantOpen int }{{2, 4, 2}, {8, 4, 4}, {8, 0, 1}} {
		counter := connCounter{closed: make(chan struct{}, tc.workers)}
		client := NewCommandClient(5*time.Second, tc.maxIdle, counter.dial)
		for range tc.workers {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Write([]byte(`{"host":"h"}`))
			}))
			defer server.Close()
			addr := strings.TrimPrefix(server.URL, "http://")
			if _, _, err := client.Send(context.Background(), addr, wire.CommandBatch{}); err != nil {
				t.Fatal(err)
			}
		}
		for range tc.workers - tc.wantOpen { // each is closed when a newer one becomes idle
			select {
			case <-counter.closed:
			case <-time.After(10 * time.Second):
				t.Fatalf("%d workers, at most %d idle connections: %d open, want %d",
					tc.workers, tc.maxIdle, counter.open, tc.wantOpen)
			}
		}
	}
}

// Guards against confusing the outcomes of a command: a refusal carries the worker's heartbeat, and
// only a failure to connect proves that nothing was sent.
func TestCommandOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		status  int
		body    string
		refused bool
		fails   bool
	}{
		{"executed", 200, `{"host":"i-1"}`, false, false},
		{"refused", 409, `{"host":"i-1"}`, true, false},
		{"unexpected status", 500, `{"host":"i-1"}`, false, true},
		{"malformed body", 200, `[`, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				w.Write([]byte(tc.body))
			}))
			defer server.Close()
			var dialer net.Dialer
			client := NewCommandClient(5*time.Second, 1, dialer.DialContext)
			addr := strings.TrimPrefix(server.URL, "http://")
			heartbeat, refused, err := client.Send(t.Context(), addr, wire.CommandBatch{})
			if refused != tc.refused || (err != nil) != tc.fails || errors.Is(err, ErrNotSent) {
				t.Errorf("refused %v, error %v, want refused %v, an error %v, not ErrNotSent",
					refused, err, tc.refused, tc.fails)
			}
			if err == nil && heartbeat.Worker != "i-1" {
				t.Errorf("heartbeat of worker %q, want i-1", heartbeat.Worker)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
		var dialer net.Dialer
		client := NewCommandClient(5*time.Second, 1, dialer.DialContext)
		if _, err := client.Status(t.Context(), listener.Addr().String()); !errors.Is(err, ErrNotSent) {
			t.Errorf("got %v, want ErrNotSent", err)
		}
	})
}
