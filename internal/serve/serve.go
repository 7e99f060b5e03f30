// Package serve runs a controller as one process: it creates the controller's components,
// connects them, and routes requests to them.
//
// It serves two addresses: users, workers, the load balancer and operators use the front
// address, other controllers the back address. Each component owns its state and its
// goroutines; package connlimit owns the connections. cmd/rillflow and
// the simulation call Run. Decisions about jobs, workers or leadership do not belong here.
package serve

import (
	"context"
	"log/slog"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"rillflow/internal/kvstore"
	"rillflow/internal/settings"
)

// Version is the program's version. Peers learn from it which requests this controller supports.
const Version = "0.6.0"

// maxHeaderBytes bounds the header of a request at the front address.
const maxHeaderBytes = 16 << 10

// Network is a controller's access to the network and to wall-clock time.
type Network struct {
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
	// WallClock returns the time of day for the records of accepted jobs. It may differ between
	// controllers; nil stands for the machine's clock. Durations are measured with the monotonic
	// clock.
	WallClock func() time.Time
}

// TCP returns the machine's TCP network. timeout bounds a connection attempt.
func TCP(timeout time.Duration) Network {
	dialer := net.Dialer{Timeout: timeout}
	listen := func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	return Network{Dial: dialer.DialContext, Listen: listen}
}

// Run serves until ctx ends. It fails earlier if a file cannot be read, an address cannot be
// listened on, or a component of the controller ends.
func Run(ctx context.Context, settings *settings.Settings, network Network, log *slog.Logger) error {
	controller, err := newController(settings, network, log)
	if err != nil {
		return err
	}
	front, back, err := controller.listen(network)
	if err != nil {
		return err
	}
	server := controller.newServer()
	snapshots := controller.openSnapshots()
	group, ctx := errgroup.WithContext(ctx)
	if snapshots != nil {
		group.Go(func() error { return controller.writeSnapshots(ctx, snapshots) })
	}
	group.Go(func() error { return server.Serve(front) })
	group.Go(func() error { return front.Run(ctx) })
	group.Go(func() error { return back.Run(ctx) })
	if controller.certs != nil {
		group.Go(func() error { return controller.certs.Watch(ctx, settings.WorkerLease()) })
	}
	group.Go(func() error { <-ctx.Done(); return server.Close() })
	group.Go(func() error { return controller.peers.Run(ctx, back) })
	group.Go(func() error { return controller.types.Run(ctx) })
	coordination := kvstore.WithPriority(ctx, kvstore.PriorityCoordination)
	group.Go(func() error { return controller.dataLoss.Run(coordination, settings.WorkerLease()/2) })
	group.Go(func() error { return controller.verifyUnknownEpochs(coordination) })
	group.Go(func() error { return controller.elector.WatchShardMap(coordination) })
	group.Go(func() error { return controller.elector.Run(coordination, controller.leader.Serve) })
	group.Go(func() error { return controller.probeStore(coordination) })
	group.Go(func() error { return controller.jobAPI.Run(ctx) })
	group.Go(func() error { return controller.authorizer.Run(ctx, settings.HeartbeatInterval()) })
	if controller.keys != nil {
		group.Go(func() error { return controller.keys.Watch(ctx, settings.WorkerLease(), log) })
	}
	log.Info("serving", "front", settings.FrontAddress, "back", settings.PeerAddress)
	return group.Wait()
}
