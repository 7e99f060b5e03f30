package serve

import (
	"net"
	"net/http"
	"sync/atomic"
)

// crowd counts the open connections of the front address. Workers keep theirs, so a
// controller that answers for all machines, with the others gone, could be held by more
// than it has sockets for: those that find no place time out, and their leases with them.
type crowd struct {
	open atomic.Int64
	most int64 // from here on answers to workers end their connections
}

// ample is up to which share of the front's sockets connections are kept open. The rest
// is for those that come and go.
const ample = 0.9

func newCrowd(limit int) *crowd { return &crowd{most: int64(ample * float64(limit))} }

// note follows a connection; it is an http.Server's ConnState.
func (c *crowd) note(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// ease ends the connection behind an answer where there are too many to keep.
func (c *crowd) ease(w http.ResponseWriter) {
	if c.open.Load() > c.most {
		w.Header().Set("Connection", "close")
	}
}
