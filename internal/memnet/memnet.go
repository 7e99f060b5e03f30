// Package memnet is a network in memory for tests: connections whose two ends are pipes, so that
// a server can be served within a testing/synctest bubble. It has no latency, no faults and no
// addresses; the simulation has a network of its own that does.
package memnet

import (
	"context"
	"net"
)

// Listener accepts the connections that its Dial makes.
type Listener chan net.Conn

// NewListener returns a listener that nobody has dialled yet.
func NewListener() Listener { return make(Listener) }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener. It must not be called while Dial is.
func (l Listener) Close() error {
	close(l)
	return nil
}

// Addr implements net.Listener.
func (l Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial connects to the listener, whatever network and address are named.
func (l Listener) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l <- server
	return client, nil
}
