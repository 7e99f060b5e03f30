// Package kvstore is the client of the key-value store, the only place where controllers keep
// durable data: keys with revisions, transactions guarded by compares, leases and watches. It
// keeps to this process's share of the store's request budget, tells a request that was surely
// refused from one whose outcome is unknown, and notices when the store's revision goes back,
// which shows that the store lost data.
//
// A Client owns the connections, the budget and the latest revision known; no data of the store.
// Every package that reads or writes durable data calls it. It must not retry a request (only
// WatchPrefix does, which reads) and must not interpret what is stored.
package kvstore

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"rillflow/internal/jsonhttp"
)

const (
	maxIdleConns     = 16
	maxConns         = 64
	maxResponseBytes = 16 << 20
)

// Client talks to the key-value store. It is safe for concurrent use.
type Client struct {
	baseURL      string
	http         *jsonhttp.Client
	timeout      time.Duration // of a request, unless it may take longer
	budget       *budget
	revision     revisionFloor
	start        time.Time
	lastAnswer   atomic.Int64 // nanoseconds from start, by the monotonic clock
	requestCount atomic.Int64 // requests sent
	sharedReads  singleflight.Group
	operations   operationCounters
	log          *slog.Logger
}

// Options set up a client.
type Options struct {
	Addr              string
	RequestsPerSecond float64 // this process's share
	// LeaderRequestsPerSecond is its share while HoldsLease reports that no other process leads.
	// No role is told apart if HoldsLease is nil.
	LeaderRequestsPerSecond float64
	HoldsLease              func() bool
	// Limits are those in force as far as is known.
	Limits
	// AnnouncedLimits are those that the store may fall to without further notice. None are
	// announced if their value size is 0.
	AnnouncedLimits Limits
	Timeout         time.Duration
	Dial            func(ctx context.Context, network, addr string) (net.Conn, error)
	Log             *slog.Logger // nil: nothing is logged
}

// New returns a client that has not sent anything yet.
func New(options Options) *Client {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return &Client{
		baseURL: "http://" + options.Addr,
		http: jsonhttp.New(jsonhttp.Options{
			Dial:                  options.Dial,
			MaxIdleConnsPerServer: maxIdleConns,
			MaxConnsPerServer:     maxConns,
			MaxResponseBytes:      maxResponseBytes,
		}),
		timeout:  options.Timeout,
		budget:   newBudget(options),
		start:    time.Now(),
		revision: revisionFloor{incarnationEnded: make(chan struct{})},
		log:      options.Log,
	}
}

// SinceLastAnswer is how long ago the store last answered this process; before the first answer,
// how long ago the client was made.
func (c *Client) SinceLastAnswer() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastAnswer.Load())
}

// RequestCount is the number of requests sent.
func (c *Client) RequestCount() int64 { return c.requestCount.Load() }

// Probe reads a key that need not exist, to see whether the store answers: SinceLastAnswer tells.
func (c *Client) Probe(ctx context.Context) {
	_, _ = c.Get(ctx, "probe") // the outcome shows in SinceLastAnswer
}
