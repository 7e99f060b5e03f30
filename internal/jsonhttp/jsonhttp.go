// Package jsonhttp exchanges JSON messages with HTTP servers over pooled connections. The clients of
// the key-value store, the workers and the cloud are built on it: it encodes a request, sends it
// once, reads the whole response and distinguishes errors that prove that nothing was sent from
// others. The servers for users, workers and operators write their responses with it.
//
// It owns only the connections. It must not retry requests, limit rates, set timeouts or interpret
// status codes: these differ between the servers, so the callers do it.
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

// ErrNotConnected is wrapped by the error of a request for which no connection could be opened. The
// server has not received any part of the request.
var ErrNotConnected = errors.New("no connection")

// idleTimeout is the time after which an idle connection is closed.
const idleTimeout = time.Minute

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a client's connections.
type Options struct {
	Dial                  DialFunc
	MaxIdleConns          int   // to all servers together; 0: no limit
	MaxIdleConnsPerServer int   // to one server
	MaxConnsPerServer     int   // to one server, in use or idle
	MaxResponseBytes      int64 // longer bodies are truncated, so they fail to decode
}

// Client is an HTTP client for JSON messages. It is safe for concurrent use.
type Client struct {
	httpClient       *http.Client
	maxResponseBytes int64
}

// New returns a client without open connections.
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

// NewRequest returns a request with a body encoded as JSON, or without a body if body is nil.
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

// Do sends a request once and reads the response, whatever its status. An error that matches
// ErrNotConnected proves that nothing was sent. After any other error the request may have been
// executed or may still be.
func (c *Client) Do(request *http.Request) (*Response, error) {
	httpResponse, err := c.httpClient.Do(request)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
		}
		return nil, err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, c.maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read response to %s %s: %w", request.Method, request.URL, err)
	}
	return &Response{StatusCode: httpResponse.StatusCode, Body: body, request: request}, nil
}

// Response is a server's response with its body, up to MaxResponseBytes.
type Response struct {
	StatusCode int
	Body       []byte
	request    *http.Request
}

// Decode decodes the body from JSON into message.
func (r *Response) Decode(message any) error {
	if err := json.Unmarshal(r.Body, message); err != nil {
		return fmt.Errorf("decode response to %s %s: %w", r.request.Method, r.request.URL, err)
	}
	return nil
}

// StatusError returns an error for a response with a status that the caller does not accept.
func (r *Response) StatusError() *StatusError {
	return &StatusError{Method: r.request.Method, URL: r.request.URL.String(), StatusCode: r.StatusCode, Body: r.Body}
}

// StatusError is the error of a response with a status that the caller does not accept.
type StatusError struct {
	Method     string
	URL        string
	StatusCode int
	Body       []byte
}

// maxBodyBytesInError is the number of bytes of a body that an error text quotes.
const maxBodyBytesInError = 256

// Error returns the request, the status and the beginning of the body.
func (e *StatusError) Error() string {
	text := fmt.Sprintf("%s %s: status %d", e.Method, e.URL, e.StatusCode)
	if body := bytes.TrimSpace(e.Body[:min(len(e.Body), maxBodyBytesInError)]); len(body) > 0 {
		text += ": " + string(body)
	}
	return text
}
