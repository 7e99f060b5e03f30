package kvstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"rillflow/internal/jsonhttp"
	"rillflow/internal/wire"
)

// noSuchLease is the text in the body of a 400 response to a write with a lease that has ended.
// Every other 400 response to a write is about the size of a value or transaction.
var noSuchLease = []byte("no such lease")

// call describes one request to the store.
type call struct {
	operation    string // for error texts
	key          string // key, prefix or lease, for error texts
	method       string
	path         string
	body         any           // to encode; nil: no body
	result       any           // to decode the response body into; nil: the body is ignored
	writes       int           // operations that count against the write budget
	extraTimeout time.Duration // added to the client's timeout
	onSend       func()        // if not nil, called after the wait for the budget, before sending
}

// newError returns the error of a failed call.
func (c *call) newError(outcome, cause error) error {
	return &RequestError{Operation: c.operation, Key: c.key, Outcome: outcome, Cause: cause}
}

// do sends a request once, after waiting for the budget. A request that the budget does not allow
// in time fails with ErrRateLimited.
func (c *Client) do(ctx context.Context, call call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.extraTimeout)
	defer cancel()
	startedAt := time.Now()
	err := c.budget.wait(ctx, call.writes)
	waited := time.Since(startedAt)
	if err != nil {
		err = call.newError(outcomeOf(err), err)
	} else {
		err = c.send(ctx, call)
	}
	if c.log.Enabled(ctx, slog.LevelDebug) {
		c.log.Debug("store request", "operation", call.operation, "key", call.key, "priority", priorityOf(ctx),
			"waited_ms", waited.Milliseconds(), "took_ms", time.Since(startedAt).Milliseconds(), "err", err)
	}
	return err
}

// send sends a request that the budget has allowed.
func (c *Client) send(ctx context.Context, call call) error {
	if call.onSend != nil {
		call.onSend()
	}
	request, err := jsonhttp.NewRequest(ctx, call.method, c.baseURL+call.path, call.body)
	if err != nil {
		return fmt.Errorf("kvstore: %s: %w", describe(call.operation, call.key), err)
	}
	c.requestCount.Add(1)
	knownAtSend := c.revision.latest()
	response, err := c.http.Do(request)
	switch {
	case errors.Is(err, jsonhttp.ErrNotConnected):
		return call.newError(ErrRefused, err)
	case err != nil:
		return call.newError(ErrOutcomeUnknown, err)
	}
	if isRejection(response.StatusCode) {
		c.budget.usage[priorityOf(ctx)].rejected.Add(1)
	}
	return c.receive(&call, response, knownAtSend)
}

// isRejection reports whether the store did not execute a request for lack of capacity.
func isRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// receive processes the response to a call, given the position known when the request was sent.
func (c *Client) receive(call *call, response *jsonhttp.Response, knownAtSend position) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict: // 409: a compare failed, which is not an error
		c.recordAnswer()
		if call.result == nil {
			return nil
		}
		if err := response.Decode(call.result); err != nil {
			return call.newError(ErrOutcomeUnknown, err)
		}
		c.observe(call.result, knownAtSend)
		return nil
	case http.StatusNotFound:
		c.recordAnswer()
		var page wire.RangeResponse
		if response.Decode(&page) == nil { // the body need not include the revision
			c.revision.observe(page.Revision, knownAtSend)
		}
		return call.newError(ErrNotFound, nil)
	case http.StatusGone:
		return call.newError(ErrCompacted, nil)
	case http.StatusTooManyRequests:
		if call.writes > 0 {
			c.budget.recordWriteRejection()
		}
		return call.newError(ErrRateLimited, response.StatusError())
	case http.StatusServiceUnavailable:
		return call.newError(ErrRefused, response.StatusError())
	case http.StatusBadRequest:
		if call.writes > 0 && !bytes.Contains(response.Body, noSuchLease) {
			c.budget.lowerLimits()
			return call.newError(ErrTooLarge, response.StatusError())
		}
		return call.newError(ErrRefused, response.StatusError())
	}
	return call.newError(ErrOutcomeUnknown, response.StatusError())
}

// recordAnswer records that the store has just answered a request, as SinceLastAnswer defines it.
func (c *Client) recordAnswer() { c.lastAnswer.Store(int64(time.Since(c.start))) }

// revisionReporter is a response that includes the store's revision.
type revisionReporter interface{ StoreRevision() uint64 }

// observe records the revision in a decoded response.
func (c *Client) observe(result any, knownAtSend position) {
	switch result := result.(type) {
	case *wire.WatchResponse:
		// The revision may be only that of the last change under the prefix, so an earlier one than
		// was known does not show a rollback.
		c.revision.raise(position{result.Revision, knownAtSend.incarnation})
	case *wire.KeyValue:
		c.revision.raise(position{result.ModRevision, knownAtSend.incarnation})
	case revisionReporter:
		c.revision.observe(result.StoreRevision(), knownAtSend)
	}
}
