// Package memnet is an in-memory network for tests. Its connections are pipes, so that a server can
// run within a testing/synctest bubble. It has no latency, faults or addresses; the simulation has
// its own network, which does.
package memnet

import (
	"context"
	"net"
)

// Listener accepts the connections opened with its Dial method.
type Listener chan net.Conn

// NewListener returns a listener without pending connections.
func NewListener() Listener { return make(Listener) }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener. It must not be called concurrently with Dial.
func (l Listener) Close() error {
	close(l)
	return nil
}

// Addr implements net.Listener.
func (l Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial connects to the listener. It ignores the network and the address.
func (l Listener) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l <- server
	return client, nil
}
