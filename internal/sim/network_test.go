package sim

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"rillflow/internal/serve"
)

// network is an in-memory network between named hosts. Data sent over a blocked
// link is held and delivered once the link is restored, even if the sender has
// given up by then.
type network struct {
	mu            sync.Mutex
	cond          *sync.Cond
	listeners     map[string]*hostListener // by address
	hostOfAddress map[string]string        // host by address
	blocked       map[[2]string]bool
	conns         map[*conn]bool
	rnd           *rand.Rand
	crashing      map[string]bool                    // hosts whose process is being killed: they cannot dial
	onSend        func(from, to string, data []byte) // observes all data sent, if set
	delays        map[string]time.Duration           // additional latency to and from a host
	stopped       bool
}

func newNetwork(rnd *rand.Rand) *network {
	n := &network{listeners: map[string]*hostListener{}, hostOfAddress: map[string]string{}, blocked: map[[2]string]bool{}, conns: map[*conn]bool{}, crashing: map[string]bool{}, delays: map[string]time.Duration{}, rnd: rnd}
	n.cond = sync.NewCond(&n.mu)
	return n
}

func (n *network) setBlocked(a, b string, isBlocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{a, b}], n.blocked[[2]string{b, a}] = isBlocked, isBlocked
	n.cond.Broadcast()
	for c := range n.conns {
		c.cond.Broadcast()
	}
}

// setDelay adds latency to all links of the given hosts; 0 removes it.
func (n *network) setDelay(delay time.Duration, hosts ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range hosts {
		n.delays[host] = delay
	}
}

// resetHost breaks all connections of a host and closes its listeners.
func (n *network) resetHost(host string) {
	n.resetConnections(host)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeListeners(host)
	n.cond.Broadcast()
}

// resetConnections breaks all connections of a host, which goes on listening.
func (n *network) resetConnections(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == host || c.to == host {
			c.abort()
		}
	}
	n.cond.Broadcast()
}

// closeListeners closes a host's listeners. The caller holds n.mu.
func (n *network) closeListeners(host string) {
	for address, listener := range n.listeners {
		if n.hostOfAddress[address] == host {
			listener.closed = true
			listener.cond.Broadcast()
			delete(n.listeners, address)
		}
	}
}

// crashHost simulates the sudden end of a host's process. Data already sent still
// arrives, delayed by up to maxDelay, and only then do its peers see the end of the stream.
func (n *network) crashHost(host string, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashing[host] = true
	n.closeListeners(host)
	for c := range n.conns {
		if c.from != host {
			continue
		}
		c.closed = true
		delay := time.Duration(0)
		if maxDelay > 0 {
			delay = time.Duration(n.rnd.Int64N(int64(maxDelay)))
		}
		for i := range c.out {
			c.out[i].arrival = c.out[i].arrival.Add(delay)
		}
		c.out = append(c.out, packet{arrival: time.Now().Add(delay)})
		c.cond.Broadcast()
	}
	n.cond.Broadcast()
}

// hostExited marks the end of a crashed process: a new one on the host may dial.
func (n *network) hostExited(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.crashing, host)
}

func (n *network) shutdown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	for c := range n.conns {
		c.abort()
	}
	for _, listener := range n.listeners {
		listener.closed = true
		listener.cond.Broadcast()
	}
	n.cond.Broadcast()
}

func (n *network) forHost(host string) serve.Network {
	return serve.Network{
		Dial: func(ctx context.Context, _, addr string) (net.Conn, error) { return n.dial(ctx, host, addr) },
		Listen: func(addr string) (net.Listener, error) {
			return n.listen(host, addr), nil
		},
		WallClock: func() time.Time { return time.Now().Add(clockOffsets[host]) },
	}
}

type hostListener struct {
	network *network
	cond    *sync.Cond // one per listener: thousands wait at once
	addr    string
	queue   []*conn
	closed  bool
}

func (n *network) listen(host, addr string) *hostListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := &hostListener{network: n, addr: addr, cond: sync.NewCond(&n.mu)}
	n.listeners[addr], n.hostOfAddress[addr] = listener, host
	n.cond.Broadcast() // wakes pending dials
	return listener
}

func (l *hostListener) Accept() (net.Conn, error) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	for len(l.queue) == 0 && !l.closed {
		l.cond.Wait()
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	return c, nil
}

func (l *hostListener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closed = true
	if l.network.listeners[l.addr] == l {
		delete(l.network.listeners, l.addr)
	}
	l.cond.Broadcast()
	return nil
}

func (l *hostListener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

// dial blocks while the link is blocked or nothing ever listened on the address, as a
// real connection attempt does that gets no response.
func (n *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cond.Broadcast()
	})
	defer stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		if ctx.Err() != nil || n.stopped {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		host, known := n.hostOfAddress[to]
		if known && !n.blocked[[2]string{from, host}] && !n.crashing[from] {
			listener := n.listeners[to]
			if listener == nil {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: io.EOF}
			}
			local := &conn{network: n, from: from, to: host, cond: sync.NewCond(&n.mu)}
			remote := &conn{network: n, from: host, to: from, cond: sync.NewCond(&n.mu)}
			local.peer, remote.peer = remote, local
			n.conns[local], n.conns[remote] = true, true
			go local.deliver()
			go remote.deliver()
			listener.queue = append(listener.queue, remote)
			listener.cond.Signal()
			return local, nil
		}
		n.cond.Wait()
	}
}

type packet struct {
	arrival time.Time
	data    []byte
}

// conn is one end of a connection. deliver moves its out queue to the peer's in buffer.
type conn struct {
	network  *network
	cond     *sync.Cond
	from, to string
	peer     *conn
	out      []packet
	in       []byte
	eof      bool // the peer closed and all its data was delivered
	closed   bool
	broken   bool
	deadline time.Time
	timer    *time.Timer
}

func (c *conn) abort() {
	c.broken, c.peer.broken = true, true
	delete(c.network.conns, c)
	delete(c.network.conns, c.peer)
	c.cond.Broadcast()
	c.peer.cond.Broadcast()
}

func (c *conn) deliver() {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for !c.broken && !n.stopped {
		if len(c.out) == 0 {
			if c.closed {
				c.peer.eof = true
				c.peer.cond.Broadcast()
				if c.eof {
					delete(n.conns, c)
					delete(n.conns, c.peer)
				}
				return
			}
			c.cond.Wait()
			continue
		}
		if wait := time.Until(c.out[0].arrival); wait > 0 {
			n.mu.Unlock()
			time.Sleep(wait)
			n.mu.Lock()
			continue
		}
		if n.blocked[[2]string{c.from, c.to}] {
			c.cond.Wait()
			continue
		}
		c.peer.in = append(c.peer.in, c.out[0].data...)
		c.out = c.out[1:]
		c.peer.cond.Broadcast()
	}
}

func (c *conn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed || c.broken {
		return 0, net.ErrClosed
	}
	if c.network.onSend != nil {
		c.network.onSend(c.from, c.to, b)
	}
	delay := time.Millisecond + time.Duration(c.network.rnd.IntN(2000))*time.Microsecond + c.network.delays[c.from] + c.network.delays[c.to]
	c.out = append(c.out, packet{time.Now().Add(delay), append([]byte(nil), b...)})
	c.cond.Broadcast()
	return len(b), nil
}

func (c *conn) Read(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case len(c.in) > 0:
			n := copy(b, c.in)
			c.in = c.in[n:]
			return n, nil
		case c.broken:
			return 0, io.ErrUnexpectedEOF
		case c.eof:
			return 0, io.EOF
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		c.cond.Wait()
	}
}

func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.cond.Broadcast()
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return addr(c.from) }
func (c *conn) RemoteAddr() net.Addr             { return addr(c.to) }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
func (c *conn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *conn) SetReadDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.deadline = t
	if c.timer != nil {
		c.timer.Stop()
	}
	if !t.IsZero() {
		c.timer = time.AfterFunc(time.Until(t), func() {
			c.network.mu.Lock()
			defer c.network.mu.Unlock()
			c.cond.Broadcast()
		})
	}
	c.cond.Broadcast()
	return nil
}
