package kvstore

import (
	"context"

	"rillflow/internal/wire"
)

// GetByListing reads a key as Get does, but by a listing that starts with it. Unlike the response
// to Get, a listing includes the store's revision even if the key exists, so it reveals a rollback.
//
// Callers that wait for the budget with the same key and priority share one read. It is sent after
// the last of them has called, so each sees a value at least as new as its call.
func (c *Client) GetByListing(ctx context.Context, key string) (wire.KeyValue, error) {
	sharedKey := priorityOf(ctx).String() + " " + key
	resultChan := c.sharedReads.DoChan(sharedKey, func() (any, error) {
		// The end of the first caller's ctx must not fail the others: only the timeout ends the read.
		return c.getByListing(context.WithoutCancel(ctx), key, func() { c.sharedReads.Forget(sharedKey) })
	})
	select {
	case <-ctx.Done():
		return wire.KeyValue{}, &RequestError{Operation: "get", Key: key, Outcome: ErrOutcomeUnknown, Cause: ctx.Err()}
	case result := <-resultChan:
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
