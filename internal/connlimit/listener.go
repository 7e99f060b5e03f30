// Package connlimit limits the connections that a server has open at an address, and closes those that
// keep the server waiting for a request: at once where others need their place, or once they exceed a
// time limit.
//
// It owns the accepted connections until they are closed. Package serve wraps the listeners of both
// addresses in it; the HTTP server reports through ConnState, and the handlers through RequestReceived,
// whether a connection waits for a request. It must not read requests itself.
package connlimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// sweepsPerTimeout is how often within the receive timeout slow connections are looked for.
const sweepsPerTimeout = 16

// receivingShare is the share of the connections that idle ones leave to connections whose request is
// being received.
const receivingShare = 0.1

// phase is what a connection is used for at present.
type phase int

const (
	phaseReceiving phase = iota // accepted or begun to send a request, which has not been received whole
	phaseServing                // its request is being served
	phaseIdle                   // its requests have been answered
)

// Options configure a Listener.
type Options struct {
	MaxConnections int           // open at a time
	ReceiveTimeout time.Duration // to receive a request, from the acceptance or its first byte
}

// Listener accepts connections up to a limit. Where the limit is reached, the connection that has waited
// longest for its request makes room for a new one: one whose request is being received or, if these are
// few, an idle one. It is safe for concurrent use.
type Listener struct {
	net.Listener
	options Options

	mu        sync.Mutex
	clock     time.Duration // time for which Run was not held up
	receiving *list.List    // of *conn, longest wait first
	idle      *list.List    // of *conn, longest wait first
	open      int
	mayFit    chan struct{} // holds a notification once a connection was closed or waits again
	stats     Stats
	closed    chan struct{}
	closeOnce sync.Once
}

// Stats counts the connections that a Listener closed.
type Stats struct {
	TimedOut  uint64 // for exceeding the receive timeout
	Displaced uint64 // to make room for others
}

// conn is an accepted connection. Its fields are guarded by the listener's mu.
type conn struct {
	net.Conn
	listener *Listener
	phase    phase
	since    time.Duration // of the phase, on the listener's clock
	waiting  *list.Element // in the list of its phase; nil while it is served
	closed   bool
}

// New returns a listener that accepts the connections of inner. Run must run for the receive timeout to
// be kept.
func New(inner net.Listener, options Options) *Listener {
	return &Listener{
		Listener: inner, options: options, receiving: list.New(), idle: list.New(),
		mayFit: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// Accept accepts the next connection and makes room for it. It waits while all connections are being
// served.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.makeRoom() {
		select {
		case <-l.mayFit:
		case <-l.closed:
			accepted.Close()
			return nil, net.ErrClosed
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c := &conn{Conn: accepted, listener: l}
	l.enter(c, phaseReceiving)
	return c, nil
}

// Close closes the listener, but none of its connections.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// makeRoom closes a connection if the limit is reached, and reports whether one more may be opened.
func (l *Listener) makeRoom() bool {
	l.mu.Lock()
	if l.open < l.options.MaxConnections {
		l.mu.Unlock()
		return true
	}
	displaced := l.longestWait()
	if displaced != nil {
		l.stats.Displaced++
	}
	l.mu.Unlock()
	if displaced == nil {
		return false
	}
	displaced.Close()
	return true
}

// longestWait returns the connection that makes room first, nil if all are being served. The caller
// holds mu.
func (l *Listener) longestWait() *conn {
	reserved := int(receivingShare * float64(l.options.MaxConnections))
	longest := l.idle.Front()
	if longest == nil || l.receiving.Len() > reserved {
		longest = l.receiving.Front()
	}
	if longest == nil {
		return nil
	}
	return longest.Value.(*conn)
}

// Run closes connections whose request is not received in time until ctx ends. Time for which the
// process stood still does not count: what was sent meanwhile is still to be read.
func (l *Listener) Run(ctx context.Context) error {
	interval := l.options.ReceiveTimeout / sweepsPerTimeout
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for lastSweep := time.Now(); ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := time.Now()
		l.sweep(min(now.Sub(lastSweep), 2*interval))
		lastSweep = now
	}
}

// sweep advances the clock and closes the connections that exceed the receive timeout.
func (l *Listener) sweep(elapsed time.Duration) {
	for _, c := range l.overdue(elapsed) {
		c.Close()
	}
}

// overdue advances the clock and returns the connections that exceed the receive timeout.
func (l *Listener) overdue(elapsed time.Duration) (overdue []*conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock += elapsed
	for element := l.receiving.Front(); element != nil; element = element.Next() {
		c := element.Value.(*conn)
		if l.clock-c.since < l.options.ReceiveTimeout {
			break
		}
		overdue = append(overdue, c)
	}
	l.stats.TimedOut += uint64(len(overdue))
	return overdue
}

// Open returns how many connections are open.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Stats returns how many connections the listener has closed.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// ConnState is the hook of an http.Server that serves the listener's connections.
func ConnState(connection net.Conn, state http.ConnState) {
	if c, ok := connection.(*conn); ok && state == http.StateIdle {
		c.enter(phaseIdle)
	}
}

// RequestReceived records that a request has been received whole, so that the connection is not closed
// before it is answered. It ignores connections of other listeners.
func RequestReceived(connection net.Conn) {
	if c, ok := connection.(*conn); ok {
		c.enter(phaseServing)
	}
}

// Read reads from the connection. The first byte after an answer begins the next request.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		if c.phase == phaseIdle {
			c.listener.enter(c, phaseReceiving)
		}
	}
	return n, err
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

func (c *conn) enter(next phase) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.enter(c, next)
}

// enter begins a phase of a connection. The caller holds mu.
func (l *Listener) enter(c *conn, next phase) {
	if c.closed {
		return
	}
	l.leave(c)
	c.phase, c.since = next, l.clock
	switch next {
	case phaseReceiving:
		c.waiting = l.receiving.PushBack(c)
	case phaseIdle:
		c.waiting = l.idle.PushBack(c)
		l.notify()
	}
}

// leave removes a connection from the list of its phase. The caller holds mu.
func (l *Listener) leave(c *conn) {
	if c.waiting == nil {
		return
	}
	waiting := l.receiving
	if c.phase == phaseIdle {
		waiting = l.idle
	}
	waiting.Remove(c.waiting)
	c.waiting = nil
}

// remove frees the place of a connection, once.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return
	}
	l.leave(c)
	c.closed = true
	l.open--
	l.notify()
}

// notify wakes Accept. The caller holds mu.
func (l *Listener) notify() {
	select {
	case l.mayFit <- struct{}{}:
	default:
	}
}
