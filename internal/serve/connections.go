package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"

	"rillflow/internal/connlimit"
)

// Limits on the connections of a controller's addresses.
const (
	// receiveTimeoutIntervals is the time to receive a request, in heartbeat intervals. Users and
	// workers have given it up by then.
	receiveTimeoutIntervals = 2
	// keepAliveShare is the share of the front's connections up to which responses to workers keep
	// theirs open. Workers keep their connections: a controller that serves all of them while the
	// others are down would have no room for new ones.
	keepAliveShare = 0.9
	// peerConnectionShare is the share of the sockets for connections that peers open.
	peerConnectionShare = 0.05
	// minConnectionsPerPeer leaves room for connections that a peer has given up.
	minConnectionsPerPeer = 8
)

// listen opens the listeners of both addresses.
func (controller *controller) listen(network Network) (front, back *connlimit.Listener, err error) {
	settings := controller.settings
	frontListener, err := network.Listen(settings.FrontAddress)
	if err != nil {
		return nil, nil, fmt.Errorf("front: %w", err)
	}
	backListener, err := network.Listen(settings.PeerAddress)
	if err != nil {
		frontListener.Close()
		return nil, nil, fmt.Errorf("back: %w", err)
	}
	if controller.certs != nil {
		frontListener = controller.certs.WrapListener(frontListener, settings.Operator.TLS.Front, false)
		backListener = controller.certs.WrapListener(backListener, settings.Operator.TLS.Peers, true)
	}
	controller.front = controller.limitConnections(frontListener, controller.frontConnections())
	return controller.front, controller.limitConnections(backListener, controller.peerConnections()), nil
}

// limitConnections limits the connections of a listener.
func (controller *controller) limitConnections(listener net.Listener, maxConnections int) *connlimit.Listener {
	return connlimit.New(listener, connlimit.Options{
		MaxConnections: maxConnections,
		ReceiveTimeout: receiveTimeoutIntervals * controller.settings.HeartbeatInterval(),
	})
}

// frontConnections returns the maximum number of open connections at the front address.
func (controller *controller) frontConnections() int {
	settings := controller.settings
	return int(settings.Operator.Limits.Sockets * float64(settings.Facts.Resources.Sockets))
}

// peerConnections returns the maximum number of connections that peers may have open.
func (controller *controller) peerConnections() int {
	settings := controller.settings
	share := int(peerConnectionShare * float64(settings.Facts.Resources.Sockets))
	return max(minConnectionsPerPeer*len(settings.Peers), share)
}

// closeIfCrowded makes the response close its connection if too many connections are open.
func (controller *controller) closeIfCrowded(w http.ResponseWriter) {
	if float64(controller.front.Open()) > keepAliveShare*float64(controller.frontConnections()) {
		w.Header().Set("Connection", "close")
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// trackRequests tells the connection of a request when the request has been received whole. A body is
// received once a handler has read it to its end.
func trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection, ok := r.Context().Value(connectionKey{}).(net.Conn)
		switch {
		case !ok:
		case r.ContentLength == 0:
			connlimit.RequestReceived(connection)
		default:
			r.Body = trackedBody{r.Body, connection}
		}
		next.ServeHTTP(w, r)
	})
}

// trackedBody is the body of a request that is being received on a connection.
type trackedBody struct {
	io.ReadCloser
	connection net.Conn
}

// Read reads from the body.
func (b trackedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		connlimit.RequestReceived(b.connection)
	}
	return n, err
}

// newServer returns the HTTP server of the front address.
func (controller *controller) newServer() *http.Server {
	settings := controller.settings
	return &http.Server{
		Handler:        trackRequests(controller.routes()),
		IdleTimeout:    2 * settings.WorkerLease(),
		WriteTimeout:   2 * settings.WorkerLease(),
		ConnState:      connlimit.ConnState,
		ConnContext:    withConnection,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(controller.log.Handler(), slog.LevelDebug),
	}
}
