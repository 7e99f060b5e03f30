package peer

import (
	"context"
	"log/slog"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"rillflow/internal/retry"
	"rillflow/internal/settings"
)

// DialFunc opens a network connection to a peer's address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Mesh holds this controller's links to all peers and serves their requests. It is safe
// for concurrent use.
type Mesh struct {
	handler      Handler
	pingInterval time.Duration
	links        map[string]*Link // by the peer's name; never changed after NewMesh
	log          *slog.Logger
	slots        chan struct{} // limits the requests served concurrently
}

// NewMesh returns a mesh with a link to each peer; nothing is dialled before Run. At most
// slots requests of peers are served concurrently.
func NewMesh(
	peers []settings.Peer, handler Handler, pingInterval time.Duration, slots int, dial DialFunc, log *slog.Logger,
) *Mesh {
	mesh := &Mesh{
		handler: handler, pingInterval: pingInterval, links: make(map[string]*Link), log: log,
		slots: make(chan struct{}, max(1, slots)),
	}
	for _, peer := range peers {
		mesh.links[peer.Name] = &Link{
			peer: peer.Name, addr: peer.Endpoint, pingInterval: pingInterval, dial: dial,
			pending: make(map[uint64]chan frame),
		}
	}
	return mesh
}

// Run maintains the links and serves peers on listener until ctx ends.
func (mesh *Mesh) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { <-ctx.Done(); return listener.Close() })
	for _, link := range mesh.links {
		group.Go(func() error { return link.dialLoop(ctx, mesh.handler) })
	}
	group.Go(func() error { return mesh.accept(ctx, group, listener) })
	return group.Wait()
}

// accept serves each incoming connection in a goroutine of the group.
func (mesh *Mesh) accept(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			retry.Backoff(ctx, 0, mesh.pingInterval, mesh.pingInterval)
			continue
		}
		group.Go(func() error { mesh.serve(ctx, conn); return nil })
	}
}

// Status is what is known of a peer, mostly from its last ping.
type Status struct {
	Ping
	// Version is the peer's program version, or "" if the peer is too old to report it or
	// has not been asked yet. It is requested again on each connection, because the peer
	// may have been restarted with another version.
	Version   string    `json:"Version"`
	Live      bool      `json:"Live"`  // answered a ping within liveIntervals
	LiveSince time.Time `json:"Since"` // start of the current run of answered pings
	// Reachability is how well workers reach the peer, if its version reports that.
	Reachability      Reachability `json:"Hearing"`
	ReachabilityKnown bool         `json:"HearingKnown"`
}

// Peers returns the status of every peer, keyed by name.
func (mesh *Mesh) Peers() map[string]Status {
	statuses := make(map[string]Status, len(mesh.links))
	for name, link := range mesh.links {
		statuses[name] = link.status()
	}
	return statuses
}
