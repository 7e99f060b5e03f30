package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rillflow/internal/wire"
)

// connCounter tells how many of the connections that it dialled are open.
type connCounter struct {
	mu     sync.Mutex
	open   int
	closed chan struct{} // one for each that was closed
}

type countedConn struct {
	net.Conn
	counter *connCounter
	once    sync.Once
}

func (c *connCounter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	n, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	return &countedConn{Conn: n, counter: c}, nil
}

func (n *countedConn) Close() error {
	n.once.Do(func() {
		n.counter.mu.Lock()
		defer n.counter.mu.Unlock()
		n.counter.open--
		n.counter.closed <- struct{}{}
	})
	return n.Conn.Close()
}

// However many workers are commanded, only so many connections stay open.
func TestIdleConnections(t *testing.T) {
	for _, tc := range []struct{ workers, idle, open int }{{2, 4, 2}, {8, 4, 4}, {8, 0, 1}} {
		counter := connCounter{closed: make(chan struct{}, tc.workers)}
		client := NewCommandClient(5*time.Second, tc.idle, counter.dial)
		for range tc.workers {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`{"host":"h"}`)) }))
			defer srv.Close()
			if _, _, err := client.Send(context.Background(), strings.TrimPrefix(srv.URL, "http://"), wire.CommandBatch{}); err != nil {
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
