// Package serve is a controller as one process: it makes the controller's parts, connects
// them, and routes requests to them.
//
// Both addresses are served here: users, workers, the load balancer and operators at the
// front, the other controllers at the other. Each part owns its state and its goroutines;
// the package owns only the connections of the front address. cmd/rillflow and the
// simulation call Run. No decision about jobs, workers or leadership belongs here.
package serve

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"rillflow/internal/kvstore"
	"rillflow/internal/settings"
)

// Version is the program's version. Peers learn it, and with it what can be asked.
const Version = "0.6.0"

// maxHeaderBytes bounds the header of a request at the front address.
const maxHeaderBytes = 16 << 10

// Network is the network that a controller lives in.
type Network struct {
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
	// WallClock is the time of day, by which accepted jobs are stamped. It may be off from that
	// of other controllers; nil: the machine's. Durations are measured by the steady clock.
	WallClock func() time.Time
}

// TCP is the network of the machine. timeout bounds a connection attempt.
func TCP(timeout time.Duration) Network {
	dialer := net.Dialer{Timeout: timeout}
	listen := func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	return Network{Dial: dialer.DialContext, Listen: listen}
}

// Run serves until ctx ends. An error before that says what could not be read or listened
// at, or which part of the controller ended.
func Run(ctx context.Context, settings *settings.Settings, network Network, log *slog.Logger) error {
	controller, err := newController(settings, network, log)
	if err != nil {
		return err
	}
	front, back, err := controller.listen(network)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           controller.routes(),
		ReadHeaderTimeout: 2 * settings.HeartbeatInterval(),
		IdleTimeout:       2 * settings.WorkerLease(),
		ConnState:         controller.connections.track,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	snapshots := controller.openSnapshots()
	group, ctx := errgroup.WithContext(ctx)
	if snapshots != nil {
		group.Go(func() error { return controller.keepSnapshots(ctx, snapshots) })
	}
	group.Go(func() error { return server.Serve(front) })
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
	group.Go(func() error { return controller.jobs.Run(ctx) })
	group.Go(func() error { return controller.authorizer.Run(ctx, settings.HeartbeatInterval()) })
	if controller.keys != nil {
		group.Go(func() error { return controller.keys.Follow(ctx, settings.WorkerLease(), log) })
	}
	log.Info("serving", "front", settings.FrontAddress, "back", settings.PeerAddress)
	return group.Wait()
}

// listen opens both addresses.
func (controller *controller) listen(network Network) (front, back net.Listener, err error) {
	settings := controller.settings
	front, err = network.Listen(settings.FrontAddress)
	if err != nil {
		return nil, nil, fmt.Errorf("front: %w", err)
	}
	back, err = network.Listen(settings.PeerAddress)
	if err != nil {
		front.Close()
		return nil, nil, fmt.Errorf("back: %w", err)
	}
	connections := controller.frontConnections()
	controller.connections = newConnectionLimiter(connections)
	front = netutil.LimitListener(front, connections)
	if controller.certs != nil {
		front = controller.certs.Listen(front, settings.Operator.TLS.Front, false)
		back = controller.certs.Listen(back, settings.Operator.TLS.Peers, true)
	}
	return front, back, nil
}

// frontConnections is how many connections of users and workers may be open.
func (controller *controller) frontConnections() int {
	settings := controller.settings
	return int(settings.Operator.Limits.Sockets * float64(settings.Facts.Resources.Sockets))
}
