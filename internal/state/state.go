// Package state is the client of the state service, the only place where
// controllers keep anything. It keeps to a share of the service's budget and
// tells a request that was refused from one whose fate is unknown.
package state

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
	// ErrUnknown: the request may have been executed, or may yet be.
	ErrUnknown = errors.New("state: no answer")
	// ErrNotFound: there is no such key or grant.
	ErrNotFound = errors.New("state: not found")
	// ErrTooOld: the change log no longer goes back that far.
	ErrTooOld = errors.New("state: changes gone")
	// ErrBusy: the budget was used up (429), a refusal that proves the
	// service is up.
	ErrBusy = fmt.Errorf("busy: %w", ErrRefused)
	// ErrTooLarge: a value or transaction is over the service's limits. It is
	// not to be sent again as it was.
	ErrTooLarge = fmt.Errorf("too large: %w", ErrRefused)
)

// rise notes a generation that the history has surely reached.
func (f *floor) rise(gen, era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era == f.era {
		f.top = max(f.top, gen)
	}
}

// Reached takes in a generation that another node knows the present history to have
// reached.
func (c *Client) Reached(gen uint64) {
	_, era := c.Generation()
	c.floor.rise(gen, era)
}

// Client talks to the state service.
type Client struct {
	base    string
	http    *http.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	timeout time.Duration
	value   int // bytes of a value
	least   Limits
	fallen  atomic.Bool
	busy    atomic.Int64 // when a write was last refused for its rate, as lastOK
	lastOK  atomic.Int64 // steady nanoseconds since start
	start   time.Time
	asked   atomic.Int64 // requests sent, for the status page
	floor   floor
}

// floor is how far the service's history is known to have come.
type floor struct {
	mu   sync.Mutex
	era  uint64 // rises whenever the history was found to have gone back
	top  uint64
	back func(seen, got uint64)
	turn chan struct{} // closed when the era ends
}

// OnBack has f called when an answer shows that the service's history went back: to a
// request sent after a later generation was already known, one before it is given. It
// is called once for each time, and may not block.
func (c *Client) OnBack(f func(seen, got uint64)) {
	c.floor.mu.Lock()
	defer c.floor.mu.Unlock()
	c.floor.back = f
}

// Generation is the latest generation known, and the era that it belongs to.
func (c *Client) Generation() (gen, era uint64) {
	c.floor.mu.Lock()
	defer c.floor.mu.Unlock()
	return c.floor.top, c.floor.era
}

// Turn notes that the history was replaced by another, whatever the generations say:
// they may have gone past those of the last one before anybody looked.
func (c *Client) Turn() {
	c.floor.mu.Lock()
	defer c.floor.mu.Unlock()
	c.floor.next(0)
}

// next begins another era. Run it with the lock held.
func (f *floor) next(top uint64) {
	f.era++
	f.top = top
	close(f.turn)
	f.turn = make(chan struct{})
}

// saw takes in the generation of an answer, given what was known when its request was
// sent. The service is consistent: no answer may be of an earlier generation than one
// that came before it was asked. What was asked in an earlier era tells nothing: it
// may be of the history that is gone.
func (f *floor) saw(gen, era, known uint64) {
	if gen == 0 {
		return
	}
	f.mu.Lock()
	if era != f.era || gen >= known {
		if era == f.era {
			f.top = max(f.top, gen)
		}
		f.mu.Unlock()
		return
	}
	f.next(gen)
	back := f.back
	f.mu.Unlock()
	if back != nil {
		back(known, gen)
	}
}

// Limits are limits of the service. Rates are this process's share.
type Limits struct {
	WriteRPS float64
	Value    int // bytes of a value
}

// Options are a client's budget. Least are the limits that the service may fall
// to without notice.
type Options struct {
	Addr string
	RPS  float64
	Limits
	Least   Limits
	Timeout time.Duration
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
}

// New makes a client.
func New(o Options) *Client {
	return &Client{
		base: "http://" + o.Addr,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         o.Dial,
			MaxIdleConnsPerHost: 16,
			MaxConnsPerHost:     64,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		reads:   rate.NewLimiter(rate.Limit(o.RPS), max(4, int(o.RPS/2))),
		writes:  rate.NewLimiter(rate.Limit(o.WriteRPS), max(4, int(o.WriteRPS))),
		timeout: o.Timeout,
		value:   o.Value,
		least:   o.Least,
		start:   time.Now(),
		floor:   floor{turn: make(chan struct{})},
	}
}

// SinceOK is how long ago the service last answered this process.
func (c *Client) SinceOK() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastOK.Load())
}

// Value is how many bytes a value may have, as far as is known.
func (c *Client) Value() int {
	if c.fallen.Load() {
		return min(c.value, c.least.Value)
	}
	return c.value
}

// Fallen tells whether the announced limits were found in force.
func (c *Client) Fallen() bool { return c.fallen.Load() }

// fall goes over to the announced limits for good: a refusal has shown that
// they are in force.
func (c *Client) fall() {
	if c.least.Value == 0 || c.fallen.Swap(true) {
		return
	}
	c.writes.SetLimit(min(c.writes.Limit(), rate.Limit(c.least.WriteRPS)))
	c.writes.SetBurst(min(c.writes.Burst(), max(4, int(c.least.WriteRPS))))
}

// crowded notes that a write was refused for its rate. One may be bad luck
// among several controllers; a second soon after shows lower limits.
func (c *Client) crowded() {
	now := int64(time.Since(c.start))
	if last := c.busy.Swap(now); last != 0 && now-last < int64(4*c.timeout) {
		c.fall()
	}
}

// Probe asks for nothing in particular, to see whether the service answers.
func (c *Client) Probe(ctx context.Context) {
	c.Get(ctx, "probe")
}

// Requests counts what was sent.
func (c *Client) Requests() int64 { return c.asked.Load() }

// WriteRoom tells how many bulk writes can be made now that leave a share of the
// budget to single ones, which users and leadership wait for. If that is fewer
// than the least, it tells how long until there is room for those.
func (c *Client) WriteRoom(least int, keep float64) (room int, wait time.Duration) {
	burst, left := float64(c.writes.Burst()), c.writes.Tokens()
	keep *= burst
	if lack := min(float64(least)+keep, burst) - left; lack > 0 {
		return 0, time.Duration(lack / float64(c.writes.Limit()) * float64(time.Second))
	}
	return max(least, int(left-keep)), 0
}

// do sends one request. It waits for the budget first; a request that cannot
// be sent in time is refused.
func (c *Client) do(ctx context.Context, method, path string, in, out any, writes int, extra time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+extra)
	defer cancel()
	if err := c.reads.Wait(ctx); err != nil {
		return fmt.Errorf("%w: budget", ErrBusy)
	}
	if writes > 0 {
		if err := c.writes.WaitN(ctx, min(writes, c.writes.Burst())); err != nil {
			return fmt.Errorf("%w: write budget", ErrBusy)
		}
	}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("state: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	c.asked.Add(1)
	known, era := c.Generation()
	res, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return fmt.Errorf("%w: %v", ErrRefused, err)
		}
		return fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, 16<<20))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	switch res.StatusCode {
	case http.StatusOK, http.StatusConflict:
		c.lastOK.Store(int64(time.Since(c.start)))
		if out != nil {
			if err := json.Unmarshal(data, out); err != nil {
				return fmt.Errorf("%w: %v", ErrUnknown, err)
			}
		}
		switch g := out.(type) {
		case *wire.WatchResponse:
			c.floor.rise(g.Revision, era) // it may tell of its last change only
		case *wire.KeyValue:
			c.floor.rise(g.ModRevision, era)
		case generation:
			c.floor.saw(g.StoreRevision(), era, known)
		}
		return nil
	case http.StatusNotFound:
		c.lastOK.Store(int64(time.Since(c.start)))
		var p wire.RangeResponse
		if json.Unmarshal(data, &p) == nil {
			c.floor.saw(p.Revision, era, known)
		}
		return ErrNotFound
	case http.StatusGone:
		return ErrTooOld
	case http.StatusTooManyRequests:
		if writes > 0 {
			c.crowded()
		}
		return ErrBusy
	case http.StatusServiceUnavailable:
		return ErrRefused
	case http.StatusBadRequest:
		if writes > 0 && !bytes.Contains(data, []byte("no such lease")) {
			c.fall()
			return fmt.Errorf("%w: 400 %s", ErrTooLarge, data)
		}
		return fmt.Errorf("%w: 400 %s", ErrRefused, data)
	}
	return fmt.Errorf("%w: status %d", ErrUnknown, res.StatusCode)
}

// generation is an answer that tells the service's generation.
type generation interface{ StoreRevision() uint64 }

// Get reads a key; ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	var it wire.KeyValue
	err := c.do(ctx, http.MethodGet, "/store/"+key, nil, &it, 0, 0)
	return it, err
}

// List reads all keys under a prefix. Changes after the generation it returns
// may be in the items already: apply the log by stamp.
func (c *Client) List(ctx context.Context, under string) ([]wire.KeyValue, uint64, error) {
	var all []wire.KeyValue
	var gen uint64
	after := ""
	for first := true; ; first = false {
		p, err := c.page(ctx, under, after, 1000, c.timeout)
		if err != nil {
			return nil, 0, err
		}
		if first {
			gen = p.Revision
		}
		all = append(all, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return all, gen, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// Page reads some of the keys under a prefix behind one, and tells where the next page
// begins: "" if there is none.
func (c *Client) Page(ctx context.Context, under, after string, limit int) (items []wire.KeyValue, next string, err error) {
	p, err := c.page(ctx, under, after, limit, 0)
	if err != nil {
		return nil, "", err
	}
	if n := len(p.Items); p.More && n > 0 {
		next = p.Items[n-1].Key
	}
	return p.Items, next, nil
}

// page asks for one page of a listing, with so much more time than is usual.
func (c *Client) page(ctx context.Context, under, after string, limit int, extra time.Duration) (p wire.RangeResponse, err error) {
	q := url.Values{"under": {under}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	err = c.do(ctx, http.MethodGet, "/store?"+q.Encode(), nil, &p, 0, extra)
	return p, err
}

// First reads the first key under a prefix; ErrNotFound if there is none.
func (c *Client) First(ctx context.Context, under string) (wire.KeyValue, error) {
	items, _, err := c.Page(ctx, under, "", 1)
	if err != nil {
		return wire.KeyValue{}, err
	}
	if len(items) == 0 {
		return wire.KeyValue{}, ErrNotFound
	}
	return items[0], nil
}

// Look reads a key as Get does, by a listing of it alone: that tells the generation too,
// by which a history that went back shows also where the key is there.
func (c *Client) Look(ctx context.Context, key string) (wire.KeyValue, error) {
	it, err := c.First(ctx, key)
	if err == nil && it.Key != key {
		err = ErrNotFound
	}
	return it, err
}

// Commit runs a transaction once. With a nil error, failed names the guards
// that did not hold; none means that it was applied.
func (c *Client) Commit(ctx context.Context, t wire.Txn) (gen uint64, failed []string, err error) {
	if t.Compares == nil {
		t.Compares = []wire.Compare{}
	}
	if t.Operations == nil {
		t.Operations = []wire.Operation{}
	}
	var r wire.TxnResponse
	if err := c.do(ctx, http.MethodPost, "/commit", t, &r, len(t.Operations), 0); err != nil {
		return 0, nil, err
	}
	return r.Revision, r.FailedKeys, nil
}

// NewGrant takes a grant.
func (c *Client) NewGrant(ctx context.Context, life time.Duration) (uint64, error) {
	var g wire.Lease
	err := c.do(ctx, http.MethodPost, "/grants", wire.Lease{TTLMillis: life.Milliseconds()}, &g, 0, 0)
	return g.ID, err
}

// Extend renews a grant.
func (c *Client) Extend(ctx context.Context, ticket uint64) error {
	return c.do(ctx, http.MethodPost, "/grants/"+strconv.FormatUint(ticket, 10)+"/extend", struct{}{}, nil, 0, 0)
}

// Revoke ends a grant.
func (c *Client) Revoke(ctx context.Context, ticket uint64) error {
	return c.do(ctx, http.MethodDelete, "/grants/"+strconv.FormatUint(ticket, 10), nil, nil, 0, 0)
}

// Watch waits for changes under a prefix after a generation. When the history is found
// to have gone back, there may be no such generation: that is ErrTooOld.
func (c *Client) Watch(ctx context.Context, under string, after uint64, wait time.Duration) (wire.WatchResponse, error) {
	c.floor.mu.Lock()
	turn, top := c.floor.turn, c.floor.top
	c.floor.mu.Unlock()
	if after > top {
		return wire.WatchResponse{}, ErrTooOld
	}
	ctx, cancel := context.WithCancelCause(ctx)
	over := make(chan struct{})
	defer close(over)
	defer cancel(nil)
	go func() {
		select {
		case <-turn:
			cancel(ErrTooOld)
		case <-over:
		}
	}()
	q := url.Values{"under": {under}, "after": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var l wire.WatchResponse
	err := c.do(ctx, http.MethodGet, "/changes?"+q.Encode(), nil, &l, 0, wait)
	if context.Cause(ctx) == ErrTooOld {
		err = ErrTooOld
	}
	return l, err
}

// Follower keeps up with the keys under a prefix.
type Follower struct {
	Under       string
	Wait        time.Duration // that a watch lasts
	Base, Limit time.Duration // of the pauses after errors
	// Whole is given all there is, first and whenever the log does not go back far
	// enough; News what came since. Asked is when the state service was.
	Whole func(items []wire.KeyValue, asked time.Time)
	News  func(log []wire.Operation, asked time.Time)
}

// Follow runs a follower until ctx ends.
func (c *Client) Follow(ctx context.Context, f Follower) error {
	var gen, of uint64 // 0: everything is to be read
	for try := 0; ctx.Err() == nil; {
		if _, era := c.Generation(); era != of {
			gen, of = 0, era // what the log of another history tells is not all
		}
		asked := time.Now()
		var err error
		if gen == 0 {
			var items []wire.KeyValue
			if items, gen, err = c.List(ctx, f.Under); err == nil {
				gen = max(gen, 1)
				f.Whole(items, asked)
			}
		} else {
			var log wire.WatchResponse
			if log, err = c.Watch(ctx, f.Under, gen, f.Wait); err == nil {
				gen = max(gen, log.Revision)
				f.News(log.Events, asked)
			}
		}
		if err == nil {
			try = 0
			continue
		}
		if errors.Is(err, ErrTooOld) {
			gen = 0
		}
		Backoff(ctx, try, f.Base, f.Limit)
		try++
	}
	return ctx.Err()
}

// Backoff sleeps with full jitter: a random part of base doubled per try, up
// to limit. It reports false when ctx ends.
func Backoff(ctx context.Context, try int, base, limit time.Duration) bool {
	d := min(base<<min(try, 16), limit)
	t := time.NewTimer(time.Duration(rand.Int64N(int64(d) + 1)))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
