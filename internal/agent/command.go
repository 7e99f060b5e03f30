package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"rillflow/internal/wire"
)

// ErrNotSent: the command surely did not reach the worker.
var ErrNotSent = errors.New("agent: not sent")

// MaxHeartbeatBytes bounds a worker's report; 100,000 tasks never are on one machine.
const MaxHeartbeatBytes = 1 << 20

// CommandClient sends commands straight to workers.
type CommandClient struct {
	httpClient *http.Client
	timeout    time.Duration
}

// NewCommandClient makes a sender that gives a worker so long to answer, and keeps so
// many connections open between commands: with one for each of hundreds of
// workers, a leader was seen to run out of sockets.
func NewCommandClient(timeout time.Duration, maxIdleConns int, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *CommandClient {
	return &CommandClient{timeout: timeout, httpClient: &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConns: max(1, maxIdleConns), MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2,
		IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}
}

// Send sends commands. The worker's report is returned also when it refused
// them (409). An error other than ErrNotSent leaves their fate unknown.
func (client *CommandClient) Send(ctx context.Context, addr string, commands wire.CommandBatch) (heartbeat *wire.Heartbeat, refused bool, err error) {
	body, err := json.Marshal(commands)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	return client.exchange(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(body))
}

// Status asks a worker for its report.
func (client *CommandClient) Status(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	heartbeat, _, err := client.exchange(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	return heartbeat, err
}

func (client *CommandClient) exchange(ctx context.Context, method, url string, body io.Reader) (*wire.Heartbeat, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return nil, false, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
		return nil, false, fmt.Errorf("agent: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxHeartbeatBytes))
	if err != nil {
		return nil, false, fmt.Errorf("agent: %w", err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return nil, false, fmt.Errorf("agent: status %d", response.StatusCode)
	}
	var heartbeat wire.Heartbeat
	if err := json.Unmarshal(data, &heartbeat); err != nil {
		return nil, false, fmt.Errorf("agent: %w", err)
	}
	return &heartbeat, response.StatusCode == http.StatusConflict, nil
}
