package serve

import (
	"net"
	"net/http"
	"sync/atomic"
)

// connectionLimiter counts the open connections of the front address. Workers keep theirs,
// so a controller that answers for all workers, with the others down, could be held by
// more than it has sockets for: those that find no place time out, and their leases expire.
// It is safe for concurrent use.
type connectionLimiter struct {
	open           atomic.Int64
	keepAliveLimit int64 // from here on answers to workers end their connections
}

// keepAliveShare is up to which share of the front's sockets connections are kept open. The
// rest is for those that come and go.
const keepAliveShare = 0.9

func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{keepAliveLimit: int64(keepAliveShare * float64(limit))}
}

// track follows a connection; it is an http.Server's ConnState.
func (limiter *connectionLimiter) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		limiter.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		limiter.open.Add(-1)
	}
}

// closeIfCrowded ends the connection behind an answer where there are too many to keep.
func (limiter *connectionLimiter) closeIfCrowded(w http.ResponseWriter) {
	if limiter.open.Load() > limiter.keepAliveLimit {
		w.Header().Set("Connection", "close")
	}
}
