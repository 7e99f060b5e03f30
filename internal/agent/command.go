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

// ErrNotSent is wrapped by errors which prove that no command reached the worker.
var ErrNotSent = errors.New("not sent")

// MaxHeartbeatBytes bounds the size of a heartbeat. The tasks of one worker take far less.
const MaxHeartbeatBytes = 1 << 20

// maxConnsPerWorker bounds the connections open to one worker.
const maxConnsPerWorker = 2

// CommandClient sends commands directly to workers, rather than in the answers to their heartbeats.
// It is safe for concurrent use.
type CommandClient struct {
	http    *jsonhttp.Client
	timeout time.Duration
}

// NewCommandClient returns a client that waits up to timeout for a worker's answer. At most
// maxIdleConns connections (at least one) stay open between commands: with one per worker, a leader
// of hundreds of workers ran out of sockets.
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

// Send sends commands to the worker at addr. It returns the worker's heartbeat even if the worker
// refused the commands (409). After an error other than ErrNotSent their outcome is unknown.
func (c *CommandClient) Send(
	ctx context.Context, addr string, commands wire.CommandBatch,
) (heartbeat *wire.Heartbeat, refused bool, err error) {
	return c.exchange(ctx, http.MethodPost, "http://"+addr+"/do", commands)
}

// Status requests the heartbeat of the worker at addr.
func (c *CommandClient) Status(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	heartbeat, _, err := c.exchange(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	return heartbeat, err
}

// exchange sends a request to a worker and decodes the heartbeat that it answers with. refused
// reports whether the status was 409.
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
