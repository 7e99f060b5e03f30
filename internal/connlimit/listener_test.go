package connlimit

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// pipeListener accepts the server's ends of pipes.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	connection, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return connection, nil
}

func (l pipeListener) Close() error { close(l); return nil }

func (l pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

const testTimeout = 10 * time.Second

// newTestListener returns a listener with 20 connections, of which it reserves two, and a function that opens one.
func newTestListener(t *testing.T) (l *Listener, open func() *conn) {
	t.Helper()
	pipes := make(pipeListener, 1)
	l = New(pipes, Options{MaxConnections: 20, ReceiveTimeout: testTimeout})
	return l, func() *conn {
		client, server := net.Pipe()
		t.Cleanup(func() { client.Close() })
		pipes <- server
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return accepted.(*conn)
	}
}

// Guards against connections that are not closed, or sound ones that are, where the limit is reached.
func TestLongestWaitMakesRoom(t *testing.T) {
	idle := func(c *conn) { RequestReceived(c); ConnState(c, http.StateIdle) }
	serving := func(c *conn) { RequestReceived(c) }
	receiving := func(*conn) {}
	again := func(c *conn) {
		idle(c)
		client, server := net.Pipe()
		c.Conn = server
		go client.Write([]byte("G"))
		c.Read(make([]byte, 1))
	}
	closes := func(c *conn) { c.Close() }
	for _, tc := range []struct {
		name  string
		phase func(i int) func(*conn)
		want  int         // the connection that is closed
		later func(*conn) // what becomes of it while the next one waits; nil: nothing
	}{
		{"all receive", func(int) func(*conn) { return receiving }, 0, nil},
		{"idle ones are older, many receive", func(i int) func(*conn) {
			if i < 15 {
				return idle
			}
			return receiving
		}, 15, nil},
		{"idle ones are younger, few receive", func(i int) func(*conn) {
			if i < 2 {
				return receiving
			}
			return idle
		}, 2, nil},
		{"served ones stay", func(i int) func(*conn) {
			if i < 15 {
				return serving
			}
			return receiving
		}, 15, nil},
		{"the next request is being received", func(i int) func(*conn) {
			if i < 15 {
				return idle
			}
			return again
		}, 15, nil},
		{"all are served until one closes", func(int) func(*conn) { return serving }, 3, closes},
		{"all are served until one is idle", func(int) func(*conn) { return serving }, 3, idle},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, open := newTestListener(t)
			var connections []*conn
			for i := range l.options.MaxConnections {
				connections = append(connections, open())
				tc.phase(i)(connections[i])
			}
			if tc.later != nil {
				time.AfterFunc(20*time.Millisecond, func() { tc.later(connections[tc.want]) })
			}
			open()
			for i, c := range connections {
				if wantClosed := i == tc.want; c.closed != wantClosed {
					t.Errorf("connection %d: got closed %v, want %v", i, c.closed, wantClosed)
				}
			}
			if got := l.Open(); got != l.options.MaxConnections {
				t.Errorf("got %d open connections, want %d", got, l.options.MaxConnections)
			}
		})
	}
}

// Guards against closing connections that have not waited long, be it since the process stood still.
func TestReceiveTimeout(t *testing.T) {
	l, open := newTestListener(t)
	slow, served, idle := open(), open(), open()
	RequestReceived(served)
	RequestReceived(idle)
	ConnState(idle, http.StateIdle)
	l.sweep(testTimeout - time.Second)
	late := open()
	if slow.closed {
		t.Error("a connection was closed within the time limit")
	}
	l.sweep(time.Second)
	if !slow.closed || late.closed || served.closed || idle.closed {
		t.Errorf("got closed: slow %v, late %v, served %v, idle %v; want the slow one alone",
			slow.closed, late.closed, served.closed, idle.closed)
	}
	if got := l.Stats(); got != (Stats{TimedOut: 1}) {
		t.Errorf("got %+v, want one timed out", got)
	}
}
