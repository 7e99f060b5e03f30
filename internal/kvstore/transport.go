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

// noSuchLease is what the body of a refused write (400) holds if it names a lease that has ended.
// Every other such refusal is for the size of a value or transaction.
var noSuchLease = []byte("no such lease")

// call is one request to the store.
type call struct {
	operation string // as errors name it
	key       string // key, prefix or lease concerned, as errors name it
	method    string
	path      string
	body      any           // to be encoded; nil: none
	answer    any           // to be decoded into; nil: the answer's body is ignored
	writes    int           // operations that count against the write budget
	extraTime time.Duration // that it may take beyond the usual timeout
	onSend    func()        // called when the budget allowed it, before it is sent; nil: nothing is
}

// failed returns the error of a call.
func (c *call) failed(outcome, cause error) error {
	return &RequestError{Operation: c.operation, Key: c.key, Outcome: outcome, Cause: cause}
}

// do sends a request once, after waiting for the budget. A request that the budget doesn't allow
// in time is refused.
func (c *Client) do(ctx context.Context, call call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.extraTime)
	defer cancel()
	began := time.Now()
	err := c.budget.wait(ctx, call.writes)
	waited := time.Since(began)
	if err != nil {
		err = call.failed(outcomeOf(err), err)
	} else {
		err = c.send(ctx, call)
	}
	if c.log.Enabled(ctx, slog.LevelDebug) {
		c.log.Debug("store request", "operation", call.operation, "key", call.key, "priority", priorityOf(ctx),
			"waited_ms", waited.Milliseconds(), "took_ms", time.Since(began).Milliseconds(), "err", err)
	}
	return err
}

// send sends a request that the budget allows.
func (c *Client) send(ctx context.Context, call call) error {
	if call.onSend != nil {
		call.onSend()
	}
	request, err := jsonhttp.NewRequest(ctx, call.method, c.baseURL+call.path, call.body)
	if err != nil {
		return fmt.Errorf("kvstore: %s: %w", describe(call.operation, call.key), err)
	}
	c.requestCount.Add(1)
	known := c.revision.known()
	response, err := c.http.Do(request)
	switch {
	case errors.Is(err, jsonhttp.ErrNotConnected):
		return call.failed(ErrRefused, err)
	case err != nil:
		return call.failed(ErrOutcomeUnknown, err)
	}
	if isRejection(response.StatusCode) {
		c.budget.usage[priorityOf(ctx)].rejected.Add(1)
	}
	return c.receive(&call, response, known)
}

// isRejection reports whether a status says that the store did not execute the request now.
func isRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// receive takes in the answer to a call, given what was known when it was sent.
func (c *Client) receive(call *call, response *jsonhttp.Response, known position) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict: // a compare that failed is an answer, not an error
		c.noteAnswered()
		if call.answer == nil {
			return nil
		}
		if err := response.Decode(call.answer); err != nil {
			return call.failed(ErrOutcomeUnknown, err)
		}
		c.observe(call.answer, known)
		return nil
	case http.StatusNotFound:
		c.noteAnswered()
		var page wire.RangeResponse
		if response.Decode(&page) == nil { // it need not tell the revision
			c.revision.observe(page.Revision, known)
		}
		return call.failed(ErrNotFound, nil)
	case http.StatusGone:
		return call.failed(ErrCompacted, nil)
	case http.StatusTooManyRequests:
		if call.writes > 0 {
			c.budget.noteWriteRejection()
		}
		return call.failed(ErrRateLimited, response.StatusError())
	case http.StatusServiceUnavailable:
		return call.failed(ErrRefused, response.StatusError())
	case http.StatusBadRequest:
		if call.writes > 0 && !bytes.Contains(response.Body, noSuchLease) {
			c.budget.lowerLimits()
			return call.failed(ErrTooLarge, response.StatusError())
		}
		return call.failed(ErrRefused, response.StatusError())
	}
	return call.failed(ErrOutcomeUnknown, response.StatusError())
}

// noteAnswered notes that the store has just answered.
func (c *Client) noteAnswered() { c.lastAnswer.Store(int64(time.Since(c.start))) }

// revisionReporter is an answer that tells the store's revision.
type revisionReporter interface{ StoreRevision() uint64 }

// observe takes in the revision that an answer tells.
func (c *Client) observe(answer any, known position) {
	switch answer := answer.(type) {
	case *wire.WatchResponse:
		// It may tell the revision of the last change watched only, so an earlier one than was
		// known is no sign of a rollback.
		c.revision.raise(position{answer.Revision, known.incarnation})
	case *wire.KeyValue:
		c.revision.raise(position{answer.ModRevision, known.incarnation})
	case revisionReporter:
		c.revision.observe(answer.StoreRevision(), known)
	}
}
