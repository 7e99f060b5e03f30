// Package fleet rents machines and returns them: the cloud's client, and the
// pure plan of what to rent and what to return.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"rillflow/internal/wire"
)

// ErrNoCapacity: none to be had of this type, zone and kind.
var ErrNoCapacity = errors.New("cloud: no capacity")

// Cloud is the cloud's client.
type Cloud struct {
	base    string
	http    *http.Client
	limit   *rate.Limiter
	timeout time.Duration
}

// NewCloud makes a client that sends at most rps requests a second.
func NewCloud(addr string, rps float64, timeout time.Duration, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Cloud {
	return &Cloud{
		base: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 4, MaxConnsPerHost: 8,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		}},
		limit:   rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		timeout: timeout,
	}
}

func (c *Cloud) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.limit.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: budget: %w", err)
	}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("cloud: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, 4<<20))
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		var e wire.ErrorResponse
		if json.Unmarshal(data, &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("cloud: %s: status %d", path, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("cloud: %s: %w", path, err)
	}
	return nil
}

// Types reads the catalogue.
func (c *Cloud) Types(ctx context.Context) ([]wire.InstanceType, error) {
	var t wire.InstanceTypeList
	err := c.do(ctx, http.MethodGet, "/machine_types", nil, &t)
	return t.Types, err
}

// Rent asks for machines.
func (c *Cloud) Rent(ctx context.Context, r wire.ScaleOutRequest) ([]string, error) {
	var h wire.InstanceNames
	err := c.do(ctx, http.MethodPost, "/hosts", r, &h)
	return h.Names, err
}

// Release returns machines. A nil error proves that they are gone.
func (c *Cloud) Release(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, "/hosts/release", wire.InstanceNames{Names: names}, nil)
}

// List reads the machine list.
func (c *Cloud) List(ctx context.Context) ([]wire.Instance, error) {
	var all []wire.Instance
	after := ""
	for {
		q := url.Values{"limit": {"500"}}
		if after != "" {
			q.Set("after", after)
		}
		var l wire.InstancePage
		if err := c.do(ctx, http.MethodGet, "/hosts?"+q.Encode(), nil, &l); err != nil {
			return nil, err
		}
		all = append(all, l.Instances...)
		if !l.More || len(l.Instances) == 0 {
			return all, nil
		}
		after = l.Instances[len(l.Instances)-1].Name
	}
}
