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

// connCounter counts how many of the connections that it dialled are open.
type connCounter struct {
	mu     sync.Mutex
	open   int
	closed chan struct{} // one for each that was closed
}

// countedConn is a connection that tells its counter when it is closed.
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

// However many workers are sent commands, only so many connections stay open.
func TestIdleConnections(t *testing.T) {
	for _, tc := range []struct{ workers, idle, open int }{{2, 4, 2}, {8, 4, 4}, {8, 0, 1}} {
		counter := connCounter{closed: make(chan struct{}, tc.workers)}
		client := NewCommandClient(5*time.Second, tc.idle, counter.dial)
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
		for range tc.workers - tc.open { // each is closed once the next is kept
			select {
			case <-counter.closed:
			case <-time.After(10 * time.Second):
				t.Fatalf("%d workers, %d to be kept: %d open", tc.workers, tc.idle, counter.open)
			}
		}
	}
}

// What a worker answers is told apart: a refusal comes with its heartbeat, and only a failure to
// connect proves that nothing was sent.
func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		status  int
		body    string
		refused bool
		fails   bool
	}{
		{"carried out", 200, `{"host":"i-1"}`, false, false},
		{"refused", 409, `{"host":"i-1"}`, true, false},
		{"another status", 500, `{"host":"i-1"}`, false, true},
		{"nonsense", 200, `[`, false, true},
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
				t.Errorf("refused %v, %v", refused, err)
			}
			if err == nil && heartbeat.Worker != "i-1" {
				t.Errorf("heartbeat of %q", heartbeat.Worker)
			}
		})
	}
	t.Run("nobody there", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
		var dialer net.Dialer
		client := NewCommandClient(5*time.Second, 1, dialer.DialContext)
		if _, err := client.Status(t.Context(), listener.Addr().String()); !errors.Is(err, ErrNotSent) {
			t.Errorf("got %v", err)
		}
	})
}
