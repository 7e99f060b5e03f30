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

// counted tells how many of the connections that it dialled are open.
type counted struct {
	mu     sync.Mutex
	open   int
	closed chan struct{} // one for each that was closed
}

type conn struct {
	net.Conn
	c    *counted
	once sync.Once
}

func (c *counted) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	n, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	return &conn{Conn: n, c: c}, nil
}

func (n *conn) Close() error {
	n.once.Do(func() {
		n.c.mu.Lock()
		defer n.c.mu.Unlock()
		n.c.open--
		n.c.closed <- struct{}{}
	})
	return n.Conn.Close()
}

// However many workers are commanded, only so many connections stay open.
func TestIdleConnections(t *testing.T) {
	for _, tc := range []struct{ workers, idle, open int }{{2, 4, 2}, {8, 4, 4}, {8, 0, 1}} {
		c := counted{closed: make(chan struct{}, tc.workers)}
		d := NewDirect(5*time.Second, tc.idle, c.dial)
		for range tc.workers {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`{"host":"h"}`)) }))
			defer srv.Close()
			if _, _, err := d.Do(context.Background(), strings.TrimPrefix(srv.URL, "http://"), wire.CommandBatch{}); err != nil {
				t.Fatal(err)
			}
		}
		for range tc.workers - tc.open { // each is closed once the next is kept
			select {
			case <-c.closed:
			case <-time.After(10 * time.Second):
				t.Fatalf("%d workers, %d to be kept: %d open", tc.workers, tc.idle, c.open)
			}
		}
	}
}
