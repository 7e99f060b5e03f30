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

// CloudClient is the cloud's client.
type CloudClient struct {
	baseURL    string
	httpClient *http.Client
	limiter    *rate.Limiter
	timeout    time.Duration
}

// NewCloudClient makes a client that sends at most rps requests a second.
func NewCloudClient(addr string, requestsPerSecond float64, timeout time.Duration, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *CloudClient {
	return &CloudClient{
		baseURL: "http://" + addr,
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 4, MaxConnsPerHost: 8,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		}},
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), max(1, int(requestsPerSecond))),
		timeout: timeout,
	}
}

func (c *CloudClient) do(ctx context.Context, method, path string, requestBody, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: budget: %w", err)
	}
	var body io.Reader
	if requestBody != nil {
		b, err := json.Marshal(requestBody)
		if err != nil {
			return fmt.Errorf("cloud: %w", err)
		}
		body = bytes.NewReader(b)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, 4<<20))
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		var e wire.ErrorResponse
		if json.Unmarshal(data, &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("cloud: %s: status %d", path, response.StatusCode)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("cloud: %s: %w", path, err)
	}
	return nil
}

// InstanceTypes reads the catalogue.
func (c *CloudClient) InstanceTypes(ctx context.Context) ([]wire.InstanceType, error) {
	var catalogue wire.InstanceTypeList
	err := c.do(ctx, http.MethodGet, "/machine_types", nil, &catalogue)
	return catalogue.Types, err
}

// RequestInstances asks for machines.
func (c *CloudClient) RequestInstances(ctx context.Context, request wire.ScaleOutRequest) ([]string, error) {
	var instances wire.InstanceNames
	err := c.do(ctx, http.MethodPost, "/hosts", request, &instances)
	return instances.Names, err
}

// ReleaseInstances returns machines. A nil error proves that they are gone.
func (c *CloudClient) ReleaseInstances(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, "/hosts/release", wire.InstanceNames{Names: names}, nil)
}

// ListInstances reads the machine list.
func (c *CloudClient) ListInstances(ctx context.Context) ([]wire.Instance, error) {
	var all []wire.Instance
	after := ""
	for {
		query := url.Values{"limit": {"500"}}
		if after != "" {
			query.Set("after", after)
		}
		var page wire.InstancePage
		if err := c.do(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Instances...)
		if !page.More || len(page.Instances) == 0 {
			return all, nil
		}
		after = page.Instances[len(page.Instances)-1].Name
	}
}
