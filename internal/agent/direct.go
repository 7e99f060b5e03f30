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

// MaxBody bounds a worker's report; 100,000 tasks never are on one machine.
const MaxBody = 1 << 20

// Direct sends commands straight to workers.
type Direct struct {
	http    *http.Client
	timeout time.Duration
}

// NewDirect makes a sender that gives a worker so long to answer, and keeps so
// many connections open between commands: with one for each of hundreds of
// workers, a leader was seen to run out of sockets.
func NewDirect(timeout time.Duration, idle int, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Direct {
	return &Direct{timeout: timeout, http: &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConns: max(1, idle), MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2,
		IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}
}

// Do sends commands. The worker's report is returned also when it refused
// them (409). An error other than ErrNotSent leaves their fate unknown.
func (d *Direct) Do(ctx context.Context, addr string, o wire.CommandBatch) (rep *wire.Heartbeat, refused bool, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	return d.send(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(body))
}

// Status asks a worker for its report.
func (d *Direct) Status(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	rep, _, err := d.send(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	return rep, err
}

func (d *Direct) send(ctx context.Context, method, url string, body io.Reader) (*wire.Heartbeat, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	res, err := d.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, false, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
		return nil, false, fmt.Errorf("agent: %w", err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, MaxBody))
	if err != nil {
		return nil, false, fmt.Errorf("agent: %w", err)
	}
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusConflict {
		return nil, false, fmt.Errorf("agent: status %d", res.StatusCode)
	}
	var r wire.Heartbeat
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, false, fmt.Errorf("agent: %w", err)
	}
	return &r, res.StatusCode == http.StatusConflict, nil
}
