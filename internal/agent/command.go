package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"rillflow/internal/jsonhttp"
	"rillflow/internal/wire"
)

// ErrNotSent is matched by the error of commands that surely did not reach the worker.
var ErrNotSent = errors.New("not sent")

// MaxHeartbeatBytes bounds a worker's heartbeat. It is far more than the tasks of one worker take.
const MaxHeartbeatBytes = 1 << 20

// maxConnsPerWorker bounds the connections open to one worker.
const maxConnsPerWorker = 2

// CommandClient sends commands straight to workers, outside the answers to their heartbeats. It is
// safe for concurrent use.
type CommandClient struct {
	http    *jsonhttp.Client
	timeout time.Duration
}

// NewCommandClient returns a client that gives a worker so long to answer. It keeps so many
// connections open between commands: with one for each of hundreds of workers, a leader was seen
// to run out of sockets.
func NewCommandClient(timeout time.Duration, maxIdleConns int, dial jsonhttp.DialFunc) *CommandClient {
	return &CommandClient{
		http: jsonhttp.New(jsonhttp.Options{
			Dial:                  dial,
			MaxIdleConns:          max(1, maxIdleConns),
			MaxIdleConnsPerServer: 1,
			MaxConnsPerServer:     maxConnsPerWorker,
			MaxResponseBytes:      MaxHeartbeatBytes,
		}),
		timeout: timeout,
	}
}

// Send sends commands. The worker's heartbeat is returned also when it refused them (409). An
// error other than ErrNotSent leaves their outcome unknown.
func (c *CommandClient) Send(
	ctx context.Context, addr string, commands wire.CommandBatch,
) (heartbeat *wire.Heartbeat, refused bool, err error) {
	return c.exchange(ctx, http.MethodPost, "http://"+addr+"/do", commands)
}

// Status asks a worker for its heartbeat.
func (c *CommandClient) Status(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	heartbeat, _, err := c.exchange(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	return heartbeat, err
}

// exchange sends a request to a worker, which answers every one with its heartbeat.
func (c *CommandClient) exchange(
	ctx context.Context, method, url string, body any,
) (heartbeat *wire.Heartbeat, refused bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := jsonhttp.NewRequest(ctx, method, url, body)
	if err != nil {
		return nil, false, fmt.Errorf("agent: %w: %w", ErrNotSent, err)
	}
	response, err := c.http.Do(request)
	switch {
	case errors.Is(err, jsonhttp.ErrNotConnected):
		return nil, false, fmt.Errorf("agent: %w: %w", ErrNotSent, err)
	case err != nil:
		return nil, false, fmt.Errorf("agent: %w", err)
	}
	refused = response.StatusCode == http.StatusConflict
	if response.StatusCode != http.StatusOK && !refused {
		return nil, false, fmt.Errorf("agent: %w", response.StatusError())
	}
	heartbeat = new(wire.Heartbeat)
	if err := response.Decode(heartbeat); err != nil {
		return nil, false, fmt.Errorf("agent: %w", err)
	}
	return heartbeat, refused, nil
}
