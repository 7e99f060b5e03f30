package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"rillflow/internal/retry"
)

// Errors of a request to a peer.
var (
	// ErrDown says that there is no connection to the peer, or that it broke before the answer.
	ErrDown = errors.New("peer: not connected")
	// ErrRefused says that the peer does not serve the request: it is too old to know it, or
	// cannot answer it now.
	ErrRefused = errors.New("peer: refused")
)

// Time limits, in ping intervals.
const (
	dialIntervals     = 4 // to connect, and between attempts at the most
	askIntervals      = 3 // for an answer that a peer gives at once
	askWriteIntervals = 2 // to hand a request to the network
	liveIntervals     = 3 // since the last answered ping, while a peer counts as live
	unbrokenIntervals = 4 // between two answered pings, while it counts as live throughout
)

// Link is the connection that this controller dialled to a peer: requests go out on it,
// and answers come back in any order, told apart by number. mu guards all that changes
// but the order of writes.
type Link struct {
	peer         string // its name
	addr         string
	pingInterval time.Duration
	dial         DialFunc

	mu                sync.Mutex
	conn              net.Conn // nil while there is none
	nextID            uint64
	pending           map[uint64]chan frame
	lastPing          Ping
	version           string
	versionKnown      bool // settled for this connection, "" included
	reachability      Reachability
	reachabilityKnown bool      // told on this connection
	lastAnswer        time.Time // of the last answered ping
	liveSince         time.Time

	writeMu sync.Mutex
}

func (link *Link) status() Status {
	link.mu.Lock()
	defer link.mu.Unlock()
	live := !link.lastAnswer.IsZero() && time.Since(link.lastAnswer) < liveIntervals*link.pingInterval
	return Status{
		Ping: link.lastPing, Version: link.version, Live: live, LiveSince: link.liveSince,
		Reachability: link.reachability, ReachabilityKnown: link.reachabilityKnown,
	}
}

// dialLoop connects to the peer, and again each time the connection is lost, until ctx ends.
func (link *Link) dialLoop(ctx context.Context, handler Handler) error {
	for attempt := 0; ctx.Err() == nil; {
		conn, err := link.connect(ctx)
		if err != nil {
			retry.Backoff(ctx, attempt, link.pingInterval, dialIntervals*link.pingInterval)
			attempt++
			continue
		}
		attempt = 0
		link.keep(ctx, conn, handler)
	}
	return ctx.Err()
}

func (link *Link) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialIntervals*link.pingInterval)
	defer cancel()
	return link.dial(ctx, "tcp", link.addr)
}

// keep uses a new connection until a ping on it is not answered.
func (link *Link) keep(ctx context.Context, conn net.Conn, handler Handler) {
	link.mu.Lock()
	link.conn = conn
	link.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	go func() {
		defer cancel()
		link.readAnswers(conn)
	}()
	link.pingLoop(ctx, handler)
	cancel()
	stop()
	conn.Close()
	link.failPending()
}

// readAnswers hands answers to those who wait for them until the connection ends.
func (link *Link) readAnswers(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		answer, err := readFrame(reader)
		if err != nil {
			return
		}
		link.mu.Lock()
		waiting := link.pending[answer.id]
		delete(link.pending, answer.id)
		link.mu.Unlock()
		if waiting != nil {
			waiting <- answer
		}
	}
}

// failPending fails what still waits on a connection that is gone.
func (link *Link) failPending() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.conn, link.version, link.versionKnown = nil, "", false
	link.reachability, link.reachabilityKnown = Reachability{}, false
	for id, answers := range link.pending {
		delete(link.pending, id)
		close(answers)
	}
}

// askWithTimeout asks what a peer that is up answers at once.
func (link *Link) askWithTimeout(ctx context.Context, k kind, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askIntervals*link.pingInterval)
	defer cancel()
	return link.ask(ctx, k, body)
}

// ask sends a request and waits for its answer. The error is ErrDown, ErrRefused,
// ErrFormat or that of ctx; after ErrDown the peer may have served the request.
func (link *Link) ask(ctx context.Context, k kind, body []byte) ([]byte, error) {
	link.mu.Lock()
	conn := link.conn
	if conn == nil {
		link.mu.Unlock()
		return nil, ErrDown
	}
	link.nextID++
	id := link.nextID
	answers := make(chan frame, 1)
	link.pending[id] = answers
	link.mu.Unlock()
	defer func() {
		link.mu.Lock()
		delete(link.pending, id)
		link.mu.Unlock()
	}()
	if err := link.send(conn, frame{kind: k, id: id, body: body}); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case answer, ok := <-answers:
		if !ok {
			return nil, ErrDown
		}
		return answerBody(answer)
	}
}

// send writes a request. After an error the connection is of no more use, for a frame may
// have gone out in part.
func (link *Link) send(conn net.Conn, request frame) error {
	link.writeMu.Lock()
	conn.SetWriteDeadline(time.Now().Add(askWriteIntervals * link.pingInterval))
	err := writeFrame(conn, request)
	link.writeMu.Unlock()
	if err != nil {
		conn.Close()
		return fmt.Errorf("%w: %v", ErrDown, err)
	}
	return nil
}

func answerBody(answer frame) ([]byte, error) {
	switch answer.kind {
	case kindAnswer:
		return answer.body, nil
	case kindRefusal:
		return nil, ErrRefused
	}
	return nil, ErrFormat
}
