package kvstore

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// Watch waits up to the given time for changes under a prefix after a revision. The error is
// ErrCompacted if the change log does not go back that far. It is ErrCompacted too if the store's
// incarnation ends or has not reached the revision, as the changes may then never come.
func (c *Client) Watch(
	ctx context.Context, prefix string, afterRevision uint64, wait time.Duration,
) (wire.WatchResponse, error) {
	return c.watch(ctx, call{
		operation: "watch", key: prefix,
		method: http.MethodGet, path: watchPath(prefix, afterRevision, wait), extraTimeout: wait,
	}, afterRevision)
}

// ChangesSince returns the changes under a prefix after a revision, without waiting for new ones. It
// includes all changes made before the request is sent; onSend is called just before that. The
// errors are those of Watch.
func (c *Client) ChangesSince(
	ctx context.Context, prefix string, afterRevision uint64, onSend func(),
) (wire.WatchResponse, error) {
	return c.watch(ctx, call{
		operation: "read changes", key: prefix,
		method: http.MethodGet, path: watchPath(prefix, afterRevision, 0), onSend: onSend,
	}, afterRevision)
}

// watch sends a request for changes after a revision, and cancels it when the incarnation ends.
func (c *Client) watch(ctx context.Context, request call, afterRevision uint64) (wire.WatchResponse, error) {
	c.revision.mu.Lock()
	incarnationEnded, latest := c.revision.incarnationEnded, c.revision.position.revision
	c.revision.mu.Unlock()
	if afterRevision > latest {
		return wire.WatchResponse{}, request.newError(ErrCompacted, nil)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	done := make(chan struct{})
	defer close(done)
	defer cancel(nil)
	go func() {
		select {
		case <-incarnationEnded:
			cancel(ErrCompacted)
		case <-done:
		}
	}()
	var changes wire.WatchResponse
	request.result = &changes
	err := c.do(ctx, request)
	if errors.Is(context.Cause(ctx), ErrCompacted) {
		err = request.newError(ErrCompacted, err)
	}
	return changes, err
}

// watchPath returns the path of a watch request.
func watchPath(prefix string, afterRevision uint64, wait time.Duration) string {
	query := url.Values{
		"under":   {prefix},
		"after":   {strconv.FormatUint(afterRevision, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return "/changes?" + query.Encode()
}

// Watcher follows the keys under a prefix.
type Watcher struct {
	Prefix                    string
	PollWait                  time.Duration // longest wait of one watch request
	BackoffBase, BackoffLimit time.Duration // after errors
	// OnSnapshot is called with all keys, at the start and whenever the change log does not go back
	// far enough. requestedAt is when the client began to request them.
	OnSnapshot func(items []wire.KeyValue, requestedAt time.Time)
	// OnChanges is called with the changes since the last call of OnSnapshot or OnChanges.
	OnChanges func(changes []wire.Operation, requestedAt time.Time)
}

// WatchPrefix runs a watcher until ctx ends. The watcher's functions are called one at a time.
func (c *Client) WatchPrefix(ctx context.Context, watcher Watcher) error {
	var revision, incarnation uint64 // revision 0: all keys must be listed
	for attempt := 0; ctx.Err() == nil; {
		if _, current := c.Revision(); current != incarnation {
			// The change log of the new incarnation does not contain all differences from the old one.
			revision, incarnation = 0, current
		}
		var err error
		if revision, err = c.advance(ctx, &watcher, revision); err == nil {
			attempt = 0
			continue
		}
		if errors.Is(err, ErrCompacted) {
			revision = 0
		}
		retry.Backoff(ctx, attempt, watcher.BackoffBase, watcher.BackoffLimit)
		attempt++
	}
	return ctx.Err()
}

// advance brings a watcher to a later revision, by a listing if the revision is 0 and by a watch
// otherwise, and returns the revision reached.
func (c *Client) advance(ctx context.Context, watcher *Watcher, revision uint64) (uint64, error) {
	requestedAt := time.Now()
	if revision == 0 {
		items, listed, err := c.List(ctx, watcher.Prefix)
		if err != nil {
			return 0, err
		}
		watcher.OnSnapshot(items, requestedAt)
		return max(listed, 1), nil
	}
	changes, err := c.Watch(ctx, watcher.Prefix, revision, watcher.PollWait)
	if err != nil {
		return revision, err
	}
	watcher.OnChanges(changes.Events, requestedAt)
	return max(revision, changes.Revision), nil
}
