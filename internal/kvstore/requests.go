package kvstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"rillflow/internal/wire"
)

// listPageSize is the number of keys that List requests per page.
const listPageSize = 1000

// Get reads a key. The error is ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	var item wire.KeyValue
	err := c.do(ctx, call{operation: "get", key: key, method: http.MethodGet, path: "/store/" + key, result: &item})
	return item, err
}

// First reads the first key with a prefix. The error is ErrNotFound if there is none.
func (c *Client) First(ctx context.Context, prefix string) (wire.KeyValue, error) {
	return c.first(ctx, prefix, nil)
}

func (c *Client) first(ctx context.Context, prefix string, onSend func()) (wire.KeyValue, error) {
	page, err := c.listPage(ctx, pageRequest{prefix: prefix, limit: 1, onSend: onSend})
	if err != nil {
		return wire.KeyValue{}, err
	}
	if len(page.Items) == 0 {
		return wire.KeyValue{}, &RequestError{Operation: "get first under", Key: prefix, Outcome: ErrNotFound}
	}
	return page.Items[0], nil
}

// List reads all keys with a prefix, page by page, and returns the revision of the first page. Later
// pages may already contain changes made after it, so the caller must apply events after that
// revision by mod revision.
func (c *Client) List(ctx context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	revision, err = c.ListPages(ctx, prefix, func(page []wire.KeyValue) error {
		items = append(items, page...)
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return items, revision, nil
}

// ListPages reads as List does, but calls handlePage with the items of each page. An error from
// handlePage ends the listing and is returned.
func (c *Client) ListPages(
	ctx context.Context, prefix string, handlePage func(items []wire.KeyValue) error,
) (revision uint64, err error) {
	after := ""
	for first := true; ; first = false {
		page, err := c.listPage(ctx, pageRequest{
			prefix: prefix, after: after, limit: listPageSize, extraTimeout: c.timeout,
		})
		if err != nil {
			return 0, err
		}
		if first {
			revision = page.Revision
		}
		if err := handlePage(page.Items); err != nil {
			return 0, err
		}
		if !page.More || len(page.Items) == 0 {
			return revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Page reads up to limit keys with a prefix that come after a key. It returns the key after which
// the next page starts, or "" if there is no next page.
func (c *Client) Page(
	ctx context.Context, prefix, after string, limit int,
) (items []wire.KeyValue, next string, err error) {
	page, err := c.listPage(ctx, pageRequest{prefix: prefix, after: after, limit: limit})
	if err != nil {
		return nil, "", err
	}
	if count := len(page.Items); page.More && count > 0 {
		next = page.Items[count-1].Key
	}
	return page.Items, next, nil
}

// pageRequest is a request for one page of a listing.
type pageRequest struct {
	prefix, after string
	limit         int
	extraTimeout  time.Duration // as in call
	onSend        func()        // as in call
}

// listPage reads one page of a listing.
func (c *Client) listPage(ctx context.Context, request pageRequest) (page wire.RangeResponse, err error) {
	query := url.Values{"under": {request.prefix}, "limit": {strconv.Itoa(request.limit)}}
	if request.after != "" {
		query.Set("after", request.after)
	}
	err = c.do(ctx, call{
		operation: "list", key: request.prefix, method: http.MethodGet, path: "/store?" + query.Encode(),
		result: &page, extraTimeout: request.extraTimeout, onSend: request.onSend,
	})
	return page, err
}

// Commit sends a transaction once and returns the store's revision. If err is nil, failed lists the
// keys whose compares failed; the transaction was applied if failed is empty.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (revision uint64, failed []string, err error) {
	if txn.Compares == nil {
		txn.Compares = []wire.Compare{} // the store requires an array rather than null
	}
	if txn.Operations == nil {
		txn.Operations = []wire.Operation{}
	}
	var response wire.TxnResponse
	err = c.do(ctx, call{
		operation: "commit", key: firstKey(txn),
		method: http.MethodPost, path: "/commit", body: txn, result: &response, writes: len(txn.Operations),
	})
	c.operations.add(txn.Operations, txnOutcomeOf(response.FailedKeys, err))
	if err != nil {
		return 0, nil, err
	}
	return response.Revision, response.FailedKeys, nil
}

// firstKey returns the key of a transaction's first operation, for error texts.
func firstKey(txn wire.Txn) string {
	if len(txn.Operations) == 0 {
		return ""
	}
	return txn.Operations[0].Put + txn.Operations[0].Delete // exactly one is set
}

// GrantLease requests a lease and returns its ID. The store deletes keys written with the lease when
// it ends.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (leaseID uint64, err error) {
	var lease wire.Lease
	err = c.do(ctx, call{
		operation: "grant lease",
		method:    http.MethodPost, path: "/grants", body: wire.Lease{TTLMillis: ttl.Milliseconds()}, result: &lease,
	})
	return lease.ID, err
}

// RenewLease restarts the time to live of a lease. The error is ErrNotFound if the lease has ended.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	id := strconv.FormatUint(leaseID, 10)
	return c.do(ctx, call{
		operation: "renew lease", key: id,
		method: http.MethodPost, path: "/grants/" + id + "/extend", body: struct{}{},
	})
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	id := strconv.FormatUint(leaseID, 10)
	return c.do(ctx, call{operation: "revoke lease", key: id, method: http.MethodDelete, path: "/grants/" + id})
}
