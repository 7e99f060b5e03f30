package main

import (
	"io"
	"net"
	"sync"
)

// tcpProxy passes connections on to a target. It can refuse them, or hold what is sent.
type tcpProxy struct {
	addr, target string
	mu           sync.Mutex
	refuse, held bool
	healed       chan struct{}
	conns        map[net.Conn]bool
}

func newTCPProxy(target string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	p := &tcpProxy{addr: listener.Addr().String(), target: target, healed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// set changes what happens to connections. With refuse, open ones are reset.
func (p *tcpProxy) set(refuse, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse, p.held = refuse, held
	close(p.healed)
	p.healed = make(chan struct{})
	if refuse {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *tcpProxy) wait() {
	for {
		p.mu.Lock()
		held, healed := p.held, p.healed
		p.mu.Unlock()
		if !held {
			return
		}
		<-healed
	}
}

func (p *tcpProxy) serve(conn net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		reset(conn)
		return
	}
	p.wait()
	other, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(conn)
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[other] = true, true
	p.mu.Unlock()
	pipe := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			if n > 0 {
				p.wait()
				if _, werr := dst.Write(buffer[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
					break
				}
				break
			}
		}
		dst.Close()
		src.Close()
		p.mu.Lock()
		delete(p.conns, src)
		delete(p.conns, dst)
		p.mu.Unlock()
	}
	go pipe(conn, other)
	pipe(other, conn)
}
