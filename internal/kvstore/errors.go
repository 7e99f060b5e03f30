package kvstore

import (
	"errors"
	"fmt"
)

// Outcomes of requests, for callers to match with errors.Is.
var (
	// ErrRefused is the outcome of a request that was certainly not executed.
	ErrRefused = errors.New("kvstore: refused")
	// ErrOutcomeUnknown is the outcome of a request that may have been executed or may still be.
	ErrOutcomeUnknown = errors.New("kvstore: outcome unknown")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("kvstore: not found")
	// ErrCompacted means that the revision to watch from is no longer in the change log, or that
	// the store has not reached it since it lost data.
	ErrCompacted = errors.New("kvstore: revision compacted")
	// ErrRateLimited means that the request exceeded the budget of this process or the rate limit
	// of the store (429). The latter proves that the store is up.
	ErrRateLimited = fmt.Errorf("rate limited: %w", ErrRefused)
	// ErrShed means that this process dropped the request because too many requests of the same or
	// a higher priority are waiting. The caller must not retry it soon.
	ErrShed = fmt.Errorf("shed: %w", ErrRateLimited)
	// ErrTooLarge means that a value or transaction exceeds the store's limits. The caller must not
	// send it again unchanged.
	ErrTooLarge = fmt.Errorf("too large: %w", ErrRefused)
)

// RequestError is the error of a failed request.
type RequestError struct {
	Operation string // such as "get" or "commit"
	Key       string // key, prefix or lease of the request; "" if it has none
	Outcome   error  // one of the errors above
	Cause     error  // underlying error; nil if the status code alone gives the outcome
}

// Error returns the outcome, the operation, its key and the cause.
func (e *RequestError) Error() string {
	text := fmt.Sprintf("%v: %s", e.Outcome, describe(e.Operation, e.Key))
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the outcome. It leaves out the cause on purpose: that may be the reason why the
// caller's context was cancelled, such as the end of a leader's term, and must not be mistaken for
// the outcome of the request.
func (e *RequestError) Unwrap() error { return e.Outcome }

// describe returns an operation and its key for an error text.
func describe(operation, key string) string {
	if key == "" {
		return operation
	}
	return operation + " " + key
}
