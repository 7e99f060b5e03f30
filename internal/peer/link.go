package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/mod/semver"
	"golang.org/x/sync/errgroup"

	"rillflow/internal/cancellation"
	"rillflow/internal/kvstore"
	"rillflow/internal/placement"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// Handler serves what peers ask.
type Handler interface {
	Ping() Ping
	Pinged(Ping)
	Beat(ctx context.Context, r *wire.Heartbeat) BeatAnswer
	Pick(o placement.Offer) []placement.Pick
	User(ctx context.Context, r UserRequest) UserAnswer
	Counts(ref string) (Counts, error)
	Hearing() Hearing
	Version() string
	History() History
	Remembers(node string, h History)
	Copy(p *replica.Push) replica.Ack
	Recall(a replica.PageRequest) replica.Page
	// Withdrawn takes a peer's note in. Reached is run on each new connection to a peer
	// ahead of anything else, and Linked after each round of pings: both see to it that
	// it knows of withdrawals.
	Withdrawn(n *cancellation.Message) cancellation.Ack
	Reached(ctx context.Context, node string)
	Linked(ctx context.Context, node string)
}

// Errors of a request to a peer.
var (
	ErrDown    = errors.New("peer: not connected")
	ErrRefused = errors.New("peer: refused")
)

// Mesh is this node's links to all others.
type Mesh struct {
	h     Handler
	every time.Duration // between pings
	links map[string]*Link
	log   *slog.Logger
	slots chan struct{} // bounds requests served at once
}

// NewMesh makes the links; nothing is dialled before Run.
func NewMesh(members []settings.Member, h Handler, every time.Duration, slots int, dial func(ctx context.Context, network, addr string) (net.Conn, error), log *slog.Logger) *Mesh {
	m := &Mesh{h: h, every: every, links: make(map[string]*Link), log: log, slots: make(chan struct{}, max(1, slots))}
	for _, p := range members {
		m.links[p.Node] = &Link{node: p.Node, addr: p.Endpoint, every: every, dial: dial, pending: make(map[uint64]chan frame)}
	}
	return m
}

// Run keeps the links and serves peers on ln until ctx ends.
func (m *Mesh) Run(ctx context.Context, ln net.Listener) error {
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { <-gctx.Done(); return ln.Close() })
	for _, l := range m.links {
		g.Go(func() error { return l.run(gctx, m.h) })
	}
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				if gctx.Err() != nil {
					return gctx.Err()
				}
				kvstore.Backoff(gctx, 0, m.every, m.every)
				continue
			}
			g.Go(func() error { m.serve(gctx, c); return nil })
		}
	})
	return g.Wait()
}

// Status is how a peer stood at its last ping.
type Status struct {
	Ping
	// Version is the peer's program version, or "" if it is too old to tell or
	// has not been asked yet. It is settled anew with each connection, for a
	// process may come back as another version.
	Version string    `json:"Version"`
	Live    bool      `json:"Live"`  // answered lately
	Since   time.Time `json:"Since"` // live without a break since
	// Hearing is how the peer hears workers, if it is new enough to tell.
	Hearing      Hearing `json:"Hearing"`
	HearingKnown bool    `json:"HearingKnown"`
}

// Peers tells how all peers stand.
func (m *Mesh) Peers() map[string]Status {
	out := make(map[string]Status, len(m.links))
	for n, l := range m.links {
		out[n] = l.status()
	}
	return out
}

// Beat passes a worker's report on to the leader.
func (m *Mesh) Beat(ctx context.Context, node string, r *wire.Heartbeat) (BeatAnswer, error) {
	b, err := m.ask(ctx, node, kindBeat, encodeReport(r))
	if err != nil {
		return BeatAnswer{}, err
	}
	return decodeBeatAnswer(b)
}

// Pick asks a part's owner to pick. An offer too large for a frame goes in
// parts, each with some of the rooms: the owner then picks for each as if alone,
// and the ledger confirms the best of all, as it does over several owners.
func (m *Mesh) Pick(ctx context.Context, node string, o *placement.Offer) ([]placement.Pick, error) {
	body := encodeOffer(o)
	if half := len(o.Candidates) / 2; len(body) > maxPayload && half > 0 {
		one, err := m.Pick(ctx, node, &placement.Offer{Candidates: o.Candidates[:half], Queues: o.Queues})
		if err != nil {
			return nil, err
		}
		two, err := m.Pick(ctx, node, &placement.Offer{Candidates: o.Candidates[half:], Queues: o.Queues})
		return append(one, two...), err
	}
	b, err := m.ask(ctx, node, kindOffer, body)
	if err != nil {
		return nil, err
	}
	return decodePicks(b)
}

// User passes a user's request on.
func (m *Mesh) User(ctx context.Context, node string, r UserRequest) (UserAnswer, error) {
	k, body := kindUser, r.encode()
	if r.Auth != "" {
		// Without it the peer would take the request for somebody else's.
		if l := m.links[node]; l == nil || !l.reached(knowsTokens) {
			return UserAnswer{}, fmt.Errorf("%w: %s knows no tokens", ErrDown, node)
		}
		k, body = kindUserAs, r.encodeAs()
	}
	b, err := m.ask(ctx, node, k, body)
	if err != nil {
		return UserAnswer{}, err
	}
	return decodeUserAnswer(b)
}

// Counts asks the leader for a job's counts.
func (m *Mesh) Counts(ctx context.Context, node, ref string) (Counts, error) {
	b, err := m.ask(ctx, node, kindCounts, []byte(ref))
	if err != nil {
		return Counts{}, err
	}
	return decodeCounts(b)
}

func (m *Mesh) ask(ctx context.Context, node string, k kind, body []byte) ([]byte, error) {
	l := m.links[node]
	if l == nil {
		return nil, fmt.Errorf("%w: %q", ErrDown, node)
	}
	return l.ask(ctx, k, body)
}

// serve answers one peer's requests.
func (m *Mesh) serve(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	var mu sync.Mutex
	r := bufio.NewReader(c)
	for {
		// A peer pings all the time: one that is silent is gone.
		c.SetReadDeadline(time.Now().Add(16 * m.every))
		f, err := readFrame(r)
		if err != nil {
			return
		}
		select {
		case m.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-m.slots }()
			out := frame{kind: kindAnswer, id: f.id}
			var err error
			if out.body, err = m.answer(ctx, f); err != nil {
				m.log.Debug("peer request", "kind", f.kind, "err", err)
				out = frame{kind: kindRefuse, id: f.id}
			}
			mu.Lock()
			defer mu.Unlock()
			c.SetWriteDeadline(time.Now().Add(4 * m.every))
			if writeFrame(c, out) != nil {
				c.Close()
			}
		}()
	}
}

func (m *Mesh) answer(ctx context.Context, f frame) ([]byte, error) {
	switch f.kind {
	case kindPing:
		p, err := decodePing(f.body)
		if err != nil {
			return nil, err
		}
		m.h.Pinged(p)
		own := m.h.Ping()
		return own.encode(), nil
	case kindBeat:
		r, err := decodeReport(f.body)
		if err != nil {
			return nil, err
		}
		a := m.h.Beat(ctx, r)
		return a.encode(), nil
	case kindOffer:
		o, err := decodeOffer(f.body)
		if err != nil {
			return nil, err
		}
		return encodePicks(bound(m.h.Pick(o))), nil
	case kindUser:
		r, err := decodeUserRequest(f.body)
		if err != nil {
			return nil, err
		}
		a := m.h.User(ctx, r)
		return a.encode(), nil
	case kindCounts:
		c, err := m.h.Counts(string(f.body))
		if err != nil {
			return nil, err
		}
		return c.encode(), nil
	}
	switch f.kind {
	case kindUserAs:
		r, err := decodeUserRequestAs(f.body)
		if err != nil {
			return nil, err
		}
		a := m.h.User(ctx, r)
		return a.encode(), nil
	case kindHistory:
		h, err := decodeHistory(f.body)
		if err != nil {
			return nil, err
		}
		m.h.Remembers("a peer", h)
		own := m.h.History()
		return own.encode(), nil
	case kindCopy:
		p, err := replica.DecodePush(f.body)
		if err != nil {
			return nil, err
		}
		a := m.h.Copy(&p)
		return a.Encode(), nil
	case kindRecall:
		a, err := replica.DecodePageRequest(f.body)
		if err != nil {
			return nil, err
		}
		p := m.h.Recall(a)
		return p.Encode(), nil
	case kindWithdrawn:
		n, err := cancellation.DecodeMessage(f.body)
		if err != nil {
			return nil, err
		}
		a := m.h.Withdrawn(&n)
		return a.Encode(), nil
	case kindVersion:
		return []byte(m.h.Version()), nil
	case kindHearing:
		if _, err := decodeHearing(f.body); err != nil {
			return nil, err
		}
		own := m.h.Hearing()
		return own.encode(), nil
	}
	return nil, fmt.Errorf("%w: kind %d", ErrFormat, f.kind)
}

// bound leaves out the last picks where all do not fit a frame; their rooms are
// offered again with the next pass.
func bound(ps []placement.Pick) []placement.Pick {
	size := 0
	for i := range ps {
		if size += maxPick + len(ps[i].Worker) + len(ps[i].Ref); size > maxPayload-headerLen {
			return ps[:i]
		}
	}
	return ps
}

// maxPick is what a pick takes at most, its strings aside: their lengths and the
// tier as varints, two amounts.
const maxPick = 3*10 + 2*8

// Link is the connection that this node dialled to another.
type Link struct {
	node, addr string
	every      time.Duration
	dial       func(ctx context.Context, network, addr string) (net.Conn, error)

	mu      sync.Mutex
	conn    net.Conn
	next    uint64
	pending map[uint64]chan frame
	last    Ping
	version string
	greeted bool // version is settled for this connection
	hearing Hearing
	heard   bool      // hearing is of this connection
	at      time.Time // of the last answered ping
	since   time.Time

	write sync.Mutex
}

func (l *Link) status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{
		Ping: l.last, Version: l.version, Live: !l.at.IsZero() && time.Since(l.at) < 3*l.every, Since: l.since,
		Hearing: l.hearing, HearingKnown: l.heard,
	}
}

// run dials, pings, and dials again.
func (l *Link) run(ctx context.Context, h Handler) error {
	for try := 0; ctx.Err() == nil; {
		dctx, done := context.WithTimeout(ctx, 4*l.every)
		c, err := l.dial(dctx, "tcp", l.addr)
		done()
		if err != nil {
			kvstore.Backoff(ctx, try, l.every, 4*l.every)
			try++
			continue
		}
		try = 0
		l.mu.Lock()
		l.conn = c
		l.mu.Unlock()
		cctx, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(cctx, func() { c.Close() })
		go func() {
			defer cancel()
			l.read(c)
		}()
		l.ping(cctx, h)
		cancel()
		stop()
		c.Close()
		l.drop()
	}
	return ctx.Err()
}

// maxVersion bounds a version's length.
const maxVersion = 64

// greet asks for the peer's version, and reports whether that is settled. An old
// peer refuses the question.
func (l *Link) greet(ctx context.Context, h Handler) bool {
	b, err := l.prompt(ctx, kindVersion, []byte(h.Version()))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = string(b[:min(len(b), maxVersion)])
	l.greeted = err == nil || errors.Is(err, ErrRefused)
	return l.greeted
}

// The first versions that tell how they hear workers, and that know tokens.
const (
	hears       = "v0.3.0"
	knowsTokens = "v0.4.0"
	remembers   = "v0.5.0"
	withdraws   = "v0.6.0"
)

// SendCancellations tells a peer of withdrawals.
func (m *Mesh) SendCancellations(ctx context.Context, node string, n *cancellation.Message) (cancellation.Ack, error) {
	l := m.links[node]
	if l == nil || !l.settled() {
		return cancellation.Ack{}, fmt.Errorf("%w: %q", ErrDown, node)
	}
	if !l.reached(withdraws) {
		return cancellation.Ack{}, cancellation.ErrUnsupported
	}
	b, err := l.prompt(ctx, kindWithdrawn, n.Encode())
	if err != nil {
		return cancellation.Ack{}, err
	}
	return cancellation.DecodeAck(b)
}

// settled tells whether the peer's version is known, or known to be too old to tell.
func (l *Link) settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.greeted
}

// Followers are the live peers that can be sent a copy of what is stored.
func (m *Mesh) Followers() []string {
	var out []string
	for n, l := range m.links {
		if l.reached(remembers) && l.status().Live {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// Push sends a peer a copy of what is stored, or changes of it.
func (m *Mesh) Push(ctx context.Context, node string, p *replica.Push) (replica.Ack, error) {
	b, err := m.recount(ctx, node, kindCopy, p.Encode())
	if err != nil {
		return replica.Ack{}, err
	}
	return replica.DecodeAck(b)
}

// FetchPage asks a peer for a page of what it remembers.
func (m *Mesh) FetchPage(ctx context.Context, node string, a replica.PageRequest) (replica.Page, error) {
	b, err := m.recount(ctx, node, kindRecall, a.Encode())
	if err != nil {
		return replica.Page{}, err
	}
	return replica.DecodePage(b)
}

func (m *Mesh) recount(ctx context.Context, node string, k kind, body []byte) ([]byte, error) {
	l := m.links[node]
	if l == nil || !l.reached(remembers) {
		return nil, fmt.Errorf("%w: %q keeps no copies", ErrDown, node)
	}
	return l.prompt(ctx, k, body)
}

// reached tells whether the peer is known to be of a version or a later one.
func (l *Link) reached(first string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := "v" + l.version
	return semver.IsValid(v) && semver.Compare(v, first) >= 0
}

// listen asks how the peer hears workers, if it is new enough to tell.
func (l *Link) listen(ctx context.Context, h Handler) {
	if !l.reached(hears) {
		return
	}
	own := h.Hearing()
	b, err := l.prompt(ctx, kindHearing, own.encode())
	if err != nil {
		return
	}
	got, err := decodeHearing(b)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hearing, l.heard = got, true
}

// compare tells the peer how this node takes the history, if it is new enough, and hears
// how the peer does.
func (l *Link) compare(ctx context.Context, h Handler) {
	if !l.reached(remembers) {
		return
	}
	own := h.History()
	b, err := l.prompt(ctx, kindHistory, own.encode())
	if err != nil {
		return
	}
	if got, err := decodeHistory(b); err == nil {
		h.Remembers(l.node, got)
	}
}

// ping asks the peer how it stands until an answer fails to come.
func (l *Link) ping(ctx context.Context, h Handler) {
	greeted := l.greet(ctx, h)
	if greeted {
		// Ahead of the pings, which bring the peer who acts: a process that has just
		// begun answers workers once it knows that.
		h.Reached(ctx, l.node)
	}
	for ctx.Err() == nil {
		own := h.Ping()
		b, err := l.prompt(ctx, kindPing, own.encode())
		if err != nil {
			return
		}
		p, err := decodePing(b)
		if err != nil {
			return
		}
		l.mu.Lock()
		now := time.Now()
		if l.at.IsZero() || now.Sub(l.at) > 4*l.every {
			l.since = now
		}
		l.last, l.at = p, now
		l.mu.Unlock()
		h.Pinged(p)
		if !greeted {
			if greeted = l.greet(ctx, h); greeted {
				h.Reached(ctx, l.node)
			}
		}
		l.listen(ctx, h)
		l.compare(ctx, h)
		h.Linked(ctx, l.node)
		t := time.NewTimer(l.every)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

func (l *Link) read(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		l.mu.Lock()
		ch := l.pending[f.id]
		delete(l.pending, f.id)
		l.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	}
}

// drop fails what still waits on a connection that is gone.
func (l *Link) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.version, l.greeted = nil, "", false
	l.hearing, l.heard = Hearing{}, false
	for id, ch := range l.pending {
		delete(l.pending, id)
		close(ch)
	}
}

// prompt asks what a peer that is up answers at once.
func (l *Link) prompt(ctx context.Context, k kind, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*l.every)
	defer cancel()
	return l.ask(ctx, k, body)
}

func (l *Link) ask(ctx context.Context, k kind, body []byte) ([]byte, error) {
	l.mu.Lock()
	c := l.conn
	if c == nil {
		l.mu.Unlock()
		return nil, ErrDown
	}
	l.next++
	id := l.next
	ch := make(chan frame, 1)
	l.pending[id] = ch
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, id)
		l.mu.Unlock()
	}()
	l.write.Lock()
	c.SetWriteDeadline(time.Now().Add(2 * l.every))
	err := writeFrame(c, frame{kind: k, id: id, body: body})
	l.write.Unlock()
	if err != nil {
		c.Close() // a frame may have gone out in part
		return nil, fmt.Errorf("%w: %v", ErrDown, err)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case f, ok := <-ch:
		switch {
		case !ok:
			return nil, ErrDown
		case f.kind == kindRefuse:
			return nil, ErrRefused
		case f.kind != kindAnswer:
			return nil, ErrFormat
		}
		return f.body, nil
	}
}
