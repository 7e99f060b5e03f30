// Package jsonhttp exchanges JSON messages with HTTP servers over pooled connections. It is what
// the clients of the key-value store, of the workers and of the cloud have in common: it encodes
// a request, sends it once, reads the whole answer and tells errors that prove that nothing was
// sent from those that don't. The servers of users, workers and operators write their answers by it.
//
// It owns the connections and nothing else. It must not retry, limit rates, set time limits or
// judge a status code: these differ between the servers and are decided by its callers.
package jsonhttp

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
)

// ErrNotConnected is matched by the error of a request for which no connection could be opened:
// the server has not seen any of it.
var ErrNotConnected = errors.New("no connection")

// idleTimeout is how long a connection stays open without a request.
const idleTimeout = time.Minute

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options set up a client's connections.
type Options struct {
	Dial                  DialFunc
	MaxIdleConns          int   // kept open over all servers; 0: no bound
	MaxIdleConnsPerServer int   // kept open to one server
	MaxConnsPerServer     int   // open to one server, in use or idle
	MaxResponseBytes      int64 // of an answer; the rest is cut off, so it won't decode
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	httpClient       *http.Client
	maxResponseBytes int64
}

// New returns a client without any connection yet.
func New(options Options) *Client {
	return &Client{
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:         options.Dial,
			MaxIdleConns:        options.MaxIdleConns,
			MaxIdleConnsPerHost: options.MaxIdleConnsPerServer,
			MaxConnsPerHost:     options.MaxConnsPerServer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
		maxResponseBytes: options.MaxResponseBytes,
	}
}

// NewRequest encodes a request. A nil body sends none.
func NewRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode %s %s: %w", method, url, err)
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	return request, nil
}

// Do sends a request once and reads the answer, whatever its status. An error that matches
// ErrNotConnected proves that nothing was sent; after any other the request may have been carried
// out or may yet be.
func (c *Client) Do(request *http.Request) (*Response, error) {
	answer, err := c.httpClient.Do(request)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
		}
		return nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, c.maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer to %s %s: %w", request.Method, request.URL, err)
	}
	return &Response{StatusCode: answer.StatusCode, Body: body, request: request}, nil
}

// Response is a server's answer, read whole.
type Response struct {
	StatusCode int
	Body       []byte
	request    *http.Request
}

// Decode decodes the body into the message that it is expected to hold.
func (r *Response) Decode(message any) error {
	if err := json.Unmarshal(r.Body, message); err != nil {
		return fmt.Errorf("decode answer to %s %s: %w", r.request.Method, r.request.URL, err)
	}
	return nil
}

// StatusError returns the error for a status that the caller does not accept.
func (r *Response) StatusError() *StatusError {
	return &StatusError{Method: r.request.Method, URL: r.request.URL.String(), StatusCode: r.StatusCode, Body: r.Body}
}

// StatusError is an answer whose status the caller does not accept.
type StatusError struct {
	Method     string
	URL        string
	StatusCode int
	Body       []byte
}

// maxBodyInError bounds how much of a body an error text quotes.
const maxBodyInError = 256

// Error names the request, the status and the beginning of the body.
func (e *StatusError) Error() string {
	text := fmt.Sprintf("%s %s: status %d", e.Method, e.URL, e.StatusCode)
	if body := bytes.TrimSpace(e.Body[:min(len(e.Body), maxBodyInError)]); len(body) > 0 {
		text += ": " + string(body)
	}
	return text
}
