package serve

import (
	"net"
	"net/http"
	"sync/atomic"
)

// connectionLimiter counts the open connections at the front address. Workers keep their
// connections open. A controller that serves all workers while the others are down could
// therefore run out of sockets: the remaining workers would time out and their leases expire.
// It is safe for concurrent use.
type connectionLimiter struct {
	open           atomic.Int64
	keepAliveLimit int64 // with more open connections, responses to workers close theirs
}

// keepAliveShare is the share of the front's sockets up to which connections are kept open.
// The rest is left for short-lived connections.
const keepAliveShare = 0.9

func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{keepAliveLimit: int64(keepAliveShare * float64(limit))}
}

// track counts a connection as it opens and closes. It is the http.Server's ConnState hook.
func (limiter *connectionLimiter) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		limiter.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		limiter.open.Add(-1)
	}
}

// closeIfCrowded makes the response close its connection if too many connections are open.
func (limiter *connectionLimiter) closeIfCrowded(w http.ResponseWriter) {
	if limiter.open.Load() > limiter.keepAliveLimit {
		w.Header().Set("Connection", "close")
	}
}
