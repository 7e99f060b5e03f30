package kvstore

import (
	"context"

	"rillflow/internal/wire"
)

// GetByListing reads a key as Get does, by a listing that begins with it. Unlike Get's, this
// answer tells the store's revision also if the key is there, so a rollback shows.
//
// Callers that wait for the budget with the same key and priority share one read: it is sent
// after each of them asked, so none is told anything older than was stored then.
func (c *Client) GetByListing(ctx context.Context, key string) (wire.KeyValue, error) {
	shared := priorityOf(ctx).String() + " " + key
	read := c.sharedReads.DoChan(shared, func() (any, error) {
		// The first caller must not take the others with it: only the request's timeout ends it.
		return c.getByListing(context.WithoutCancel(ctx), key, func() { c.sharedReads.Forget(shared) })
	})
	select {
	case <-ctx.Done():
		return wire.KeyValue{}, &RequestError{Operation: "get", Key: key, Outcome: ErrOutcomeUnknown, Cause: ctx.Err()}
	case result := <-read:
		item, _ := result.Val.(wire.KeyValue)
		return item, result.Err
	}
}

func (c *Client) getByListing(ctx context.Context, key string, onSend func()) (wire.KeyValue, error) {
	item, err := c.first(ctx, key, onSend)
	if err == nil && item.Key != key {
		err = &RequestError{Operation: "get", Key: key, Outcome: ErrNotFound}
	}
	return item, err
}
