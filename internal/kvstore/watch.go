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

// Watch waits for changes under a prefix after a revision, for so long at most. The error is
// ErrCompacted if the change log doesn't go back that far, and also if the store's incarnation
// ends or has not reached the revision: what is watched for may never come then.
func (c *Client) Watch(
	ctx context.Context, prefix string, afterRevision uint64, wait time.Duration,
) (wire.WatchResponse, error) {
	return c.watch(ctx, call{
		operation: "watch", key: prefix,
		method: http.MethodGet, path: watchPath(prefix, afterRevision, wait), extraTime: wait,
	}, afterRevision)
}

// ChangesSince returns the changes under a prefix after a revision, without waiting for any. All
// that were made before it is sent are among them; onSend is called just before that. Its errors
// are those of Watch.
func (c *Client) ChangesSince(
	ctx context.Context, prefix string, afterRevision uint64, onSend func(),
) (wire.WatchResponse, error) {
	return c.watch(ctx, call{
		operation: "read changes", key: prefix,
		method: http.MethodGet, path: watchPath(prefix, afterRevision, 0), onSend: onSend,
	}, afterRevision)
}

// watch makes a request for changes after a revision.
func (c *Client) watch(ctx context.Context, request call, afterRevision uint64) (wire.WatchResponse, error) {
	c.revision.mu.Lock()
	incarnationEnded, latest := c.revision.incarnationEnded, c.revision.position.revision
	c.revision.mu.Unlock()
	if afterRevision > latest {
		return wire.WatchResponse{}, request.failed(ErrCompacted, nil)
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
	request.answer = &changes
	err := c.do(ctx, request)
	if errors.Is(context.Cause(ctx), ErrCompacted) {
		err = request.failed(ErrCompacted, err)
	}
	return changes, err
}

// watchPath is the path of a watch request.
func watchPath(prefix string, afterRevision uint64, wait time.Duration) string {
	query := url.Values{
		"under":   {prefix},
		"after":   {strconv.FormatUint(afterRevision, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return "/changes?" + query.Encode()
}

// Watcher keeps up with the keys under a prefix.
type Watcher struct {
	Prefix                    string
	PollWait                  time.Duration // that one watch request lasts
	BackoffBase, BackoffLimit time.Duration // of the pauses after errors
	// OnSnapshot is given all keys, first and whenever the change log doesn't go back far enough,
	// and when the store was asked for them.
	OnSnapshot func(items []wire.KeyValue, requestedAt time.Time)
	// OnChanges is given the changes since, and when the store was asked for them.
	OnChanges func(changes []wire.Operation, requestedAt time.Time)
}

// WatchPrefix runs a watcher until ctx ends. Its functions are called one at a time.
func (c *Client) WatchPrefix(ctx context.Context, watcher Watcher) error {
	var revision, incarnation uint64 // revision 0: everything is to be read
	for attempt := 0; ctx.Err() == nil; {
		if _, current := c.Revision(); current != incarnation {
			// The change log of another incarnation does not tell all that differs.
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

// advance takes a watcher from one revision to the next, by a listing if there is none to start
// from.
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
