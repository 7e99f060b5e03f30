// Package kvstore is the client of the state service, the only place where
// controllers keep anything. It keeps to a share of the service's budget and
// tells a request that was refused from one whose fate is unknown.
package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"rillflow/internal/wire"
)

// Errors of a request.
var (
	// ErrRefused: the request was surely not executed.
	ErrRefused = errors.New("state: refused")
	// ErrOutcomeUnknown: the request may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("state: no answer")
	// ErrNotFound: there is no such key or grant.
	ErrNotFound = errors.New("state: not found")
	// ErrCompacted: the change log no longer goes back that far.
	ErrCompacted = errors.New("state: changes gone")
	// ErrRateLimited: the budget was used up (429), a refusal that proves the
	// service is up.
	ErrRateLimited = fmt.Errorf("busy: %w", ErrRefused)
	// ErrTooLarge: a value or transaction is over the service's limits. It is
	// not to be sent again as it was.
	ErrTooLarge = fmt.Errorf("too large: %w", ErrRefused)
)

// raise notes a generation that the history has surely reached.
func (f *revisionFloor) raise(revision, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if incarnation == f.incarnation {
		f.latest = max(f.latest, revision)
	}
}

// ObserveRevision takes in a generation that another node knows the present history to have
// reached.
func (c *Client) ObserveRevision(revision uint64) {
	_, incarnation := c.Revision()
	c.revision.raise(revision, incarnation)
}

// Client talks to the state service.
type Client struct {
	baseURL            string
	httpClient         *http.Client
	requestLimiter     *rate.Limiter
	writeLimiter       *rate.Limiter
	timeout            time.Duration
	maxValueBytes      int // bytes of a value
	announcedLimits    Limits
	limitsLowered      atomic.Bool
	lastWriteRejection atomic.Int64 // when a write was last refused for its rate, as lastOK
	lastAnswer         atomic.Int64 // steady nanoseconds since start
	start              time.Time
	requestCount       atomic.Int64 // requests sent, for the status page
	revision           revisionFloor
}

// revisionFloor is how far the service's history is known to have come.
type revisionFloor struct {
	mu               sync.Mutex
	incarnation      uint64 // rises whenever the history was found to have gone back
	latest           uint64
	onRollback       func(seen, got uint64)
	incarnationEnded chan struct{} // closed when the era ends
}

// OnRollback has f called when an answer shows that the service's history went back: to a
// request sent after a later generation was already known, one before it is given. It
// is called once for each time, and may not block.
func (c *Client) OnRollback(callback func(seen, got uint64)) {
	c.revision.mu.Lock()
	defer c.revision.mu.Unlock()
	c.revision.onRollback = callback
}

// Revision is the latest generation known, and the era that it belongs to.
func (c *Client) Revision() (revision, incarnation uint64) {
	c.revision.mu.Lock()
	defer c.revision.mu.Unlock()
	return c.revision.latest, c.revision.incarnation
}

// StartIncarnation notes that the history was replaced by another, whatever the generations say:
// they may have gone past those of the last one before anybody looked.
func (c *Client) StartIncarnation() {
	c.revision.mu.Lock()
	defer c.revision.mu.Unlock()
	c.revision.startIncarnation(0)
}

// startIncarnation begins another era. Run it with the lock held.
func (f *revisionFloor) startIncarnation(latest uint64) {
	f.incarnation++
	f.latest = latest
	close(f.incarnationEnded)
	f.incarnationEnded = make(chan struct{})
}

// observe takes in the generation of an answer, given what was known when its request was
// sent. The service is consistent: no answer may be of an earlier generation than one
// that came before it was asked. What was asked in an earlier era tells nothing: it
// may be of the history that is gone.
func (f *revisionFloor) observe(revision, incarnation, known uint64) {
	if revision == 0 {
		return
	}
	f.mu.Lock()
	if incarnation != f.incarnation || revision >= known {
		if incarnation == f.incarnation {
			f.latest = max(f.latest, revision)
		}
		f.mu.Unlock()
		return
	}
	f.startIncarnation(revision)
	onRollback := f.onRollback
	f.mu.Unlock()
	if onRollback != nil {
		onRollback(known, revision)
	}
}

// Limits are limits of the service. Rates are this process's share.
type Limits struct {
	WritesPerSecond float64
	MaxValueBytes   int // bytes of a value
}

// Options are a client's budget. Least are the limits that the service may fall
// to without notice.
type Options struct {
	Addr              string
	RequestsPerSecond float64
	Limits
	AnnouncedLimits Limits
	Timeout         time.Duration
	Dial            func(ctx context.Context, network, addr string) (net.Conn, error)
}

// New makes a client.
func New(options Options) *Client {
	return &Client{
		baseURL: "http://" + options.Addr,
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:         options.Dial,
			MaxIdleConnsPerHost: 16,
			MaxConnsPerHost:     64,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		requestLimiter:  rate.NewLimiter(rate.Limit(options.RequestsPerSecond), max(4, int(options.RequestsPerSecond/2))),
		writeLimiter:    rate.NewLimiter(rate.Limit(options.WritesPerSecond), max(4, int(options.WritesPerSecond))),
		timeout:         options.Timeout,
		maxValueBytes:   options.MaxValueBytes,
		announcedLimits: options.AnnouncedLimits,
		start:           time.Now(),
		revision:        revisionFloor{incarnationEnded: make(chan struct{})},
	}
}

// SinceLastAnswer is how long ago the service last answered this process.
func (c *Client) SinceLastAnswer() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastAnswer.Load())
}

// MaxValueBytes is how many bytes a value may have, as far as is known.
func (c *Client) MaxValueBytes() int {
	if c.limitsLowered.Load() {
		return min(c.maxValueBytes, c.announcedLimits.MaxValueBytes)
	}
	return c.maxValueBytes
}

// LimitsLowered tells whether the announced limits were found in force.
func (c *Client) LimitsLowered() bool { return c.limitsLowered.Load() }

// lowerLimits goes over to the announced limits for good: a refusal has shown that
// they are in force.
func (c *Client) lowerLimits() {
	if c.announcedLimits.MaxValueBytes == 0 || c.limitsLowered.Swap(true) {
		return
	}
	c.writeLimiter.SetLimit(min(c.writeLimiter.Limit(), rate.Limit(c.announcedLimits.WritesPerSecond)))
	c.writeLimiter.SetBurst(min(c.writeLimiter.Burst(), max(4, int(c.announcedLimits.WritesPerSecond))))
}

// noteWriteRejection notes that a write was refused for its rate. One may be bad luck
// among several controllers; a second soon after shows lower limits.
func (c *Client) noteWriteRejection() {
	now := int64(time.Since(c.start))
	if last := c.lastWriteRejection.Swap(now); last != 0 && now-last < int64(4*c.timeout) {
		c.lowerLimits()
	}
}

// Probe asks for nothing in particular, to see whether the service answers.
func (c *Client) Probe(ctx context.Context) {
	c.Get(ctx, "probe")
}

// RequestCount counts what was sent.
func (c *Client) RequestCount() int64 { return c.requestCount.Load() }

// BulkWriteAllowance tells how many bulk writes can be made now that leave a share of the
// budget to single ones, which users and leadership wait for. If that is fewer
// than the least, it tells how long until there is room for those.
func (c *Client) BulkWriteAllowance(minimum int, reserve float64) (allowance int, wait time.Duration) {
	burst, available := float64(c.writeLimiter.Burst()), c.writeLimiter.Tokens()
	reserve *= burst
	if shortfall := min(float64(minimum)+reserve, burst) - available; shortfall > 0 {
		return 0, time.Duration(shortfall / float64(c.writeLimiter.Limit()) * float64(time.Second))
	}
	return max(minimum, int(available-reserve)), 0
}

// do sends one request. It waits for the budget first; a request that cannot
// be sent in time is refused.
func (c *Client) do(ctx context.Context, method, path string, requestBody, answer any, writes int, extraTime time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+extraTime)
	defer cancel()
	if err := c.requestLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: budget", ErrRateLimited)
	}
	if writes > 0 {
		if err := c.writeLimiter.WaitN(ctx, min(writes, c.writeLimiter.Burst())); err != nil {
			return fmt.Errorf("%w: write budget", ErrRateLimited)
		}
	}
	var body io.Reader
	if requestBody != nil {
		b, err := json.Marshal(requestBody)
		if err != nil {
			return fmt.Errorf("state: %w", err)
		}
		body = bytes.NewReader(b)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	c.requestCount.Add(1)
	knownRevision, incarnation := c.Revision()
	response, err := c.httpClient.Do(request)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return fmt.Errorf("%w: %v", ErrRefused, err)
		}
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, 16<<20))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict:
		c.lastAnswer.Store(int64(time.Since(c.start)))
		if answer != nil {
			if err := json.Unmarshal(data, answer); err != nil {
				return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
			}
		}
		switch g := answer.(type) {
		case *wire.WatchResponse:
			c.revision.raise(g.Revision, incarnation) // it may tell of its last change only
		case *wire.KeyValue:
			c.revision.raise(g.ModRevision, incarnation)
		case revisionReporter:
			c.revision.observe(g.StoreRevision(), incarnation, knownRevision)
		}
		return nil
	case http.StatusNotFound:
		c.lastAnswer.Store(int64(time.Since(c.start)))
		var p wire.RangeResponse
		if json.Unmarshal(data, &p) == nil {
			c.revision.observe(p.Revision, incarnation, knownRevision)
		}
		return ErrNotFound
	case http.StatusGone:
		return ErrCompacted
	case http.StatusTooManyRequests:
		if writes > 0 {
			c.noteWriteRejection()
		}
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrRefused
	case http.StatusBadRequest:
		if writes > 0 && !bytes.Contains(data, []byte("no such lease")) {
			c.lowerLimits()
			return fmt.Errorf("%w: 400 %s", ErrTooLarge, data)
		}
		return fmt.Errorf("%w: 400 %s", ErrRefused, data)
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, response.StatusCode)
}

// revisionReporter is an answer that tells the service's generation.
type revisionReporter interface{ StoreRevision() uint64 }

// Get reads a key; ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	var item wire.KeyValue
	err := c.do(ctx, http.MethodGet, "/store/"+key, nil, &item, 0, 0)
	return item, err
}

// List reads all keys under a prefix. Changes after the generation it returns
// may be in the items already: apply the log by stamp.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	var all []wire.KeyValue
	var revision uint64
	after := ""
	for first := true; ; first = false {
		page, err := c.listPage(ctx, prefix, after, 1000, c.timeout)
		if err != nil {
			return nil, 0, err
		}
		if first {
			revision = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Page reads some of the keys under a prefix behind one, and tells where the next page
// begins: "" if there is none.
func (c *Client) Page(ctx context.Context, prefix, after string, limit int) (items []wire.KeyValue, next string, err error) {
	page, err := c.listPage(ctx, prefix, after, limit, 0)
	if err != nil {
		return nil, "", err
	}
	if n := len(page.Items); page.More && n > 0 {
		next = page.Items[n-1].Key
	}
	return page.Items, next, nil
}

// listPage asks for one page of a listing, with so much more time than is usual.
func (c *Client) listPage(ctx context.Context, prefix, after string, limit int, extraTime time.Duration) (page wire.RangeResponse, err error) {
	query := url.Values{"under": {prefix}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	err = c.do(ctx, http.MethodGet, "/store?"+query.Encode(), nil, &page, 0, extraTime)
	return page, err
}

// First reads the first key under a prefix; ErrNotFound if there is none.
func (c *Client) First(ctx context.Context, prefix string) (wire.KeyValue, error) {
	items, _, err := c.Page(ctx, prefix, "", 1)
	if err != nil {
		return wire.KeyValue{}, err
	}
	if len(items) == 0 {
		return wire.KeyValue{}, ErrNotFound
	}
	return items[0], nil
}

// GetByListing reads a key as Get does, by a listing of it alone: that tells the generation too,
// by which a history that went back shows also where the key is there.
func (c *Client) GetByListing(ctx context.Context, key string) (wire.KeyValue, error) {
	item, err := c.First(ctx, key)
	if err == nil && item.Key != key {
		err = ErrNotFound
	}
	return item, err
}

// Commit runs a transaction once. With a nil error, failed names the guards
// that did not hold; none means that it was applied.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (revision uint64, failed []string, err error) {
	if txn.Compares == nil {
		txn.Compares = []wire.Compare{}
	}
	if txn.Operations == nil {
		txn.Operations = []wire.Operation{}
	}
	var result wire.TxnResponse
	if err := c.do(ctx, http.MethodPost, "/commit", txn, &result, len(txn.Operations), 0); err != nil {
		return 0, nil, err
	}
	return result.Revision, result.FailedKeys, nil
}

// GrantLease takes a grant.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var lease wire.Lease
	err := c.do(ctx, http.MethodPost, "/grants", wire.Lease{TTLMillis: ttl.Milliseconds()}, &lease, 0, 0)
	return lease.ID, err
}

// RenewLease renews a grant.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	return c.do(ctx, http.MethodPost, "/grants/"+strconv.FormatUint(leaseID, 10)+"/extend", struct{}{}, nil, 0, 0)
}

// RevokeLease ends a grant.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	return c.do(ctx, http.MethodDelete, "/grants/"+strconv.FormatUint(leaseID, 10), nil, nil, 0, 0)
}

// Watch waits for changes under a prefix after a generation. When the history is found
// to have gone back, there may be no such generation: that is ErrTooOld.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision uint64, wait time.Duration) (wire.WatchResponse, error) {
	c.revision.mu.Lock()
	incarnationEnded, latest := c.revision.incarnationEnded, c.revision.latest
	c.revision.mu.Unlock()
	if afterRevision > latest {
		return wire.WatchResponse{}, ErrCompacted
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
	query := url.Values{"under": {prefix}, "after": {strconv.FormatUint(afterRevision, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var changes wire.WatchResponse
	err := c.do(ctx, http.MethodGet, "/changes?"+query.Encode(), nil, &changes, 0, wait)
	if context.Cause(ctx) == ErrCompacted {
		err = ErrCompacted
	}
	return changes, err
}

// Watcher keeps up with the keys under a prefix.
type Watcher struct {
	Prefix                    string
	PollWait                  time.Duration // that a watch lasts
	BackoffBase, BackoffLimit time.Duration // of the pauses after errors
	// OnSnapshot is given all there is, first and whenever the log does not go back far
	// enough; News what came since. Asked is when the state service was.
	OnSnapshot func(items []wire.KeyValue, asked time.Time)
	OnChanges  func(log []wire.Operation, asked time.Time)
}

// WatchPrefix runs a follower until ctx ends.
func (c *Client) WatchPrefix(ctx context.Context, watcher Watcher) error {
	var revision, incarnation uint64 // 0: everything is to be read
	for attempt := 0; ctx.Err() == nil; {
		if _, current := c.Revision(); current != incarnation {
			revision, incarnation = 0, current // what the log of another history tells is not all
		}
		requestedAt := time.Now()
		var err error
		if revision == 0 {
			var items []wire.KeyValue
			if items, revision, err = c.List(ctx, watcher.Prefix); err == nil {
				revision = max(revision, 1)
				watcher.OnSnapshot(items, requestedAt)
			}
		} else {
			var changes wire.WatchResponse
			if changes, err = c.Watch(ctx, watcher.Prefix, revision, watcher.PollWait); err == nil {
				revision = max(revision, changes.Revision)
				watcher.OnChanges(changes.Events, requestedAt)
			}
		}
		if err == nil {
			attempt = 0
			continue
		}
		if errors.Is(err, ErrCompacted) {
			revision = 0
		}
		Backoff(ctx, attempt, watcher.BackoffBase, watcher.BackoffLimit)
		attempt++
	}
	return ctx.Err()
}

// Backoff sleeps with full jitter: a random part of base doubled per try, up
// to limit. It reports false when ctx ends.
func Backoff(ctx context.Context, attempt int, base, limit time.Duration) bool {
	delay := min(base<<min(attempt, 16), limit)
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(delay) + 1)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
