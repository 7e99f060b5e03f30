// Package fleet scales the cluster. It has the client of the cloud that instances are rented from,
// the catalogue of instance types, and the planner, which decides without any I/O what to request,
// drain and release.
//
// It owns the catalogue and the planner's state from one plan to the next. The leader owns the
// instances and calls this package. The planner must not send requests, and the client must not
// retry them.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"rillflow/internal/jsonhttp"
	"rillflow/internal/wire"
)

// ErrNoCapacity means that the cloud has no instance of the requested type, zone and kind.
var ErrNoCapacity = errors.New("no capacity")

const (
	maxIdleConns     = 4
	maxConns         = 8
	maxResponseBytes = 4 << 20
	listPageSize     = 500

	// noCapacity is the error in the body of a 503 response when the cloud is out of instances.
	noCapacity = "no capacity"
)

// CloudClient is a client of the cloud's API. It is safe for concurrent use.
type CloudClient struct {
	baseURL string
	http    *jsonhttp.Client
	limiter *rate.Limiter
	timeout time.Duration
}

// NewCloudClient returns a client that sends at most requestsPerSecond requests a second. The
// timeout of a request includes its wait for the rate limit.
func NewCloudClient(
	addr string, requestsPerSecond float64, timeout time.Duration, dial jsonhttp.DialFunc,
) *CloudClient {
	return &CloudClient{
		baseURL: "http://" + addr,
		http: jsonhttp.New(jsonhttp.Options{
			Dial:                  dial,
			MaxIdleConnsPerServer: maxIdleConns,
			MaxConnsPerServer:     maxConns,
			MaxResponseBytes:      maxResponseBytes,
		}),
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), max(1, int(requestsPerSecond))),
		timeout: timeout,
	}
}

// do sends a request once, after waiting for the rate limit, and decodes the response body into
// result unless result is nil.
func (c *CloudClient) do(ctx context.Context, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: %s %s: rate limit: %w", method, path, err)
	}
	request, err := jsonhttp.NewRequest(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if isNoCapacity(response) {
		return fmt.Errorf("cloud: %s %s: %w", method, path, ErrNoCapacity)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("cloud: %w", response.StatusError())
	}
	if result == nil {
		return nil
	}
	if err := response.Decode(result); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	return nil
}

// isNoCapacity reports whether the cloud refused a request because it is out of instances.
func isNoCapacity(response *jsonhttp.Response) bool {
	var refusal wire.ErrorResponse
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Decode(&refusal) == nil && refusal.Error == noCapacity
}

// InstanceTypes reads the catalogue of instance types.
func (c *CloudClient) InstanceTypes(ctx context.Context) ([]wire.InstanceType, error) {
	var catalogue wire.InstanceTypeList
	err := c.do(ctx, http.MethodGet, "/machine_types", nil, &catalogue)
	return catalogue.Types, err
}

// RequestInstances requests instances and returns the names of those granted, which may be fewer.
// The error is ErrNoCapacity if the cloud has none.
func (c *CloudClient) RequestInstances(ctx context.Context, request wire.ScaleOutRequest) ([]string, error) {
	var instances wire.InstanceNames
	err := c.do(ctx, http.MethodPost, "/hosts", request, &instances)
	return instances.Names, err
}

// ReleaseInstances releases instances. A nil error proves that they no longer run.
func (c *CloudClient) ReleaseInstances(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, "/hosts/release", wire.InstanceNames{Names: names}, nil)
}

// ListInstances lists all rented instances, page by page.
func (c *CloudClient) ListInstances(ctx context.Context) ([]wire.Instance, error) {
	var all []wire.Instance
	after := ""
	for {
		query := url.Values{"limit": {strconv.Itoa(listPageSize)}}
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
