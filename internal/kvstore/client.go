// Package kvstore is the client of the key-value store, the only place where controllers keep
// durable data: keys with revisions, transactions guarded by compares, leases and watches. It
// limits this process to its share of the store's request budget, distinguishes requests that were
// certainly not executed from those whose outcome is unknown, and detects when the store's revision
// goes back, which shows that the store lost data.
//
// A Client owns the connections, the budget and the latest revision known, but no stored data.
// Every package that reads or writes durable data uses it. It must not retry requests (except for
// the reads of WatchPrefix) and must not interpret stored values.
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

// Client is a client of the key-value store. It is safe for concurrent use.
type Client struct {
	baseURL      string
	http         *jsonhttp.Client
	timeout      time.Duration // of a request; some add an extraTimeout
	budget       *budget
	revision     revisionFloor
	start        time.Time
	lastAnswer   atomic.Int64 // when the store last answered, in nanoseconds since start, by the monotonic clock
	requestCount atomic.Int64 // requests sent
	sharedReads  singleflight.Group
	operations   operationCounters
	log          *slog.Logger
}

// Options configure a client.
type Options struct {
	Addr              string
	RequestsPerSecond float64 // this process's share
	// LeaderRequestsPerSecond is this process's share while HoldsLease reports true, so that no
	// other process can be leader. If HoldsLease is nil, RequestsPerSecond always applies.
	LeaderRequestsPerSecond float64
	HoldsLease              func() bool
	// Limits are the limits assumed to be in force at first.
	Limits
	// AnnouncedLimits are lower limits that the store may apply at any time without further
	// notice. A MaxValueBytes of 0 means that none are announced.
	AnnouncedLimits Limits
	Timeout         time.Duration
	Dial            func(ctx context.Context, network, addr string) (net.Conn, error)
	Log             *slog.Logger // nil: no logging
}

// New returns a client without open connections.
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

// SinceLastAnswer returns the time since the store last answered a request of this process (status
// 200, 404 or 409) or, before the first time, since the client was created. Other statuses do not
// count as answers.
func (c *Client) SinceLastAnswer() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastAnswer.Load())
}

// RequestCount returns the number of requests sent.
func (c *Client) RequestCount() int64 { return c.requestCount.Load() }

// Probe reads a key that need not exist, so that SinceLastAnswer shows whether the store answers.
func (c *Client) Probe(ctx context.Context) {
	_, _ = c.Get(ctx, "probe") // a response with 200 or 404 resets SinceLastAnswer
}
