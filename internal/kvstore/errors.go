package kvstore

import (
	"errors"
	"fmt"
)

// Outcomes that callers decide on, found by errors.Is.
var (
	// ErrRefused is the outcome of a request that was surely not executed.
	ErrRefused = errors.New("kvstore: refused")
	// ErrOutcomeUnknown is the outcome of a request that may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("kvstore: outcome unknown")
	// ErrNotFound says that there is no such key or lease.
	ErrNotFound = errors.New("kvstore: not found")
	// ErrCompacted says that the revision to watch from is no longer in the change log, or that
	// the store never reached it since it lost data.
	ErrCompacted = errors.New("kvstore: revision compacted")
	// ErrRateLimited is a refusal for want of budget, here or at the store (429). The latter
	// proves that the store is up.
	ErrRateLimited = fmt.Errorf("rate limited: %w", ErrRefused)
	// ErrShed is a refusal here because too many requests of more or the same worth wait. It
	// is not to be tried again soon.
	ErrShed = fmt.Errorf("shed: %w", ErrRateLimited)
	// ErrTooLarge is a refusal of a value or transaction over the store's limits. It is not to be
	// sent again as it was.
	ErrTooLarge = fmt.Errorf("too large: %w", ErrRefused)
)

// RequestError is a request that failed.
type RequestError struct {
	Operation string // such as "get" or "commit"
	Key       string // key, prefix or lease concerned; "" if there is none
	Outcome   error  // one of the errors above
	Cause     error  // what showed it; nil if the status code says all
}

// Error names the outcome, the operation, its key and the cause.
func (e *RequestError) Error() string {
	text := fmt.Sprintf("%v: %s", e.Outcome, describe(e.Operation, e.Key))
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the outcome. The cause is left out on purpose: it may be why the caller's context
// was cancelled, such as the end of a leadership, and must not pass for what became of the request.
func (e *RequestError) Unwrap() error { return e.Outcome }

// describe names an operation in an error text.
func describe(operation, key string) string {
	if key == "" {
		return operation
	}
	return operation + " " + key
}
