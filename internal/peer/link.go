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

// Errors of requests to a peer.
var (
	// ErrDown means that there is no connection to the peer, or that it broke before the
	// answer arrived.
	ErrDown = errors.New("peer: not connected")
	// ErrRefused means that the peer did not serve the request: its version is too old for
	// it, or it cannot answer it now.
	ErrRefused = errors.New("peer: request refused")
)

// Time limits of a link, in ping intervals.
const (
	dialTimeoutIntervals         = 4 // to connect; also the longest backoff between attempts
	answerTimeoutIntervals       = 3 // for an answer that needs no lengthy work of the peer
	requestWriteTimeoutIntervals = 2 // to write a request to the connection
	liveIntervals                = 3 // longest time since the last answered ping of a live peer
	maxLiveGapIntervals          = 4 // longest time between answered pings that does not restart LiveSince
)

// Link is the outgoing connection to a peer. Requests are sent on it, and their answers
// arrive in any order, matched by request number. mu guards the fields from conn to
// liveSince; writeMu serializes writes to the connection.
type Link struct {
	peer         string // the peer's name
	addr         string
	pingInterval time.Duration
	dial         DialFunc

	mu                sync.Mutex
	conn              net.Conn // nil while disconnected
	nextID            uint64
	pending           map[uint64]chan frame
	lastPing          Ping
	version           string
	versionKnown      bool // the peer has reported or refused its version on this connection
	reachability      Reachability
	reachabilityKnown bool      // reported on this connection
	lastPingAt        time.Time // of the last answered ping
	liveSince         time.Time

	writeMu sync.Mutex
}

func (link *Link) status() Status {
	link.mu.Lock()
	defer link.mu.Unlock()
	live := !link.lastPingAt.IsZero() && time.Since(link.lastPingAt) < liveIntervals*link.pingInterval
	return Status{
		Ping: link.lastPing, Version: link.version, Live: live, LiveSince: link.liveSince,
		Reachability: link.reachability, ReachabilityKnown: link.reachabilityKnown,
	}
}

// dialLoop connects to the peer, and reconnects whenever the connection is lost, until
// ctx ends.
func (link *Link) dialLoop(ctx context.Context, handler Handler) error {
	for attempt := 0; ctx.Err() == nil; {
		conn, err := link.connect(ctx)
		if err != nil {
			retry.Backoff(ctx, attempt, link.pingInterval, dialTimeoutIntervals*link.pingInterval)
			attempt++
			continue
		}
		attempt = 0
		link.runConnection(ctx, conn, handler)
	}
	return ctx.Err()
}

func (link *Link) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeoutIntervals*link.pingInterval)
	defer cancel()
	return link.dial(ctx, "tcp", link.addr)
}

// runConnection uses a new connection until a ping on it fails, and then closes it.
func (link *Link) runConnection(ctx context.Context, conn net.Conn, handler Handler) {
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

// readAnswers delivers answers to the pending requests until the connection ends.
func (link *Link) readAnswers(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		answer, err := readFrame(reader)
		if err != nil {
			return
		}
		link.mu.Lock()
		answers := link.pending[answer.id]
		delete(link.pending, answer.id)
		link.mu.Unlock()
		if answers != nil {
			answers <- answer
		}
	}
}

// failPending fails the requests that are still pending when the connection ends, and
// resets what the peer reported on it.
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

// callWithTimeout sends a request that a live peer answers without lengthy work, and waits
// for its answer for answerTimeoutIntervals.
func (link *Link) callWithTimeout(ctx context.Context, kind frameKind, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeoutIntervals*link.pingInterval)
	defer cancel()
	return link.call(ctx, kind, body)
}

// call sends a request and waits for its answer. The error is ErrDown, ErrRefused,
// ErrFormat or that of ctx. After ErrDown the peer may still have served the request.
func (link *Link) call(ctx context.Context, kind frameKind, body []byte) ([]byte, error) {
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
	if err := link.send(conn, frame{kind: kind, id: id, body: body}); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case answer, ok := <-answers:
		if !ok {
			return nil, ErrDown
		}
		return bodyOfAnswer(answer)
	}
}

// send writes a request. After an error it closes the connection, because the frame may
// have been written in part.
func (link *Link) send(conn net.Conn, request frame) error {
	link.writeMu.Lock()
	conn.SetWriteDeadline(time.Now().Add(requestWriteTimeoutIntervals * link.pingInterval))
	err := writeFrame(conn, request)
	link.writeMu.Unlock()
	if err != nil {
		conn.Close()
		return fmt.Errorf("%w: %v", ErrDown, err)
	}
	return nil
}

func bodyOfAnswer(answer frame) ([]byte, error) {
	switch answer.kind {
	case kindAnswer:
		return answer.body, nil
	case kindRefusal:
		return nil, ErrRefused
	}
	return nil, ErrFormat
}
