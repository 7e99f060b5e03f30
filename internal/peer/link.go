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
	OwnStatus() Ping
	PeerStatus(Ping)
	HandleHeartbeat(ctx context.Context, r *wire.Heartbeat) HeartbeatAnswer
	PickTypes(o placement.Offer) []placement.Pick
	HandleUserRequest(ctx context.Context, r UserRequest) UserAnswer
	TaskCounts(ref string) (Counts, error)
	WorkerReachability() Reachability
	Version() string
	StoreIncarnation() StoreIncarnation
	PeerStoreIncarnation(node string, h StoreIncarnation)
	ReceiveReplica(p *replica.Push) replica.Ack
	ReadReplicaPage(a replica.PageRequest) replica.Page
	// ReceiveCancellations takes a peer's note in. Reached is run on each new connection to a peer
	// ahead of anything else, and Linked after each round of pings: both see to it that
	// it knows of withdrawals.
	ReceiveCancellations(n *cancellation.Message) cancellation.Ack
	PeerConnected(ctx context.Context, node string)
	PeerSynced(ctx context.Context, node string)
}

// Errors of a request to a peer.
var (
	ErrDown    = errors.New("peer: not connected")
	ErrRefused = errors.New("peer: refused")
)

// Mesh is this node's links to all others.
type Mesh struct {
	handler      Handler
	pingInterval time.Duration // between pings
	links        map[string]*Link
	log          *slog.Logger
	slots        chan struct{} // bounds requests served at once
}

// NewMesh makes the links; nothing is dialled before Run.
func NewMesh(members []settings.Member, h Handler, every time.Duration, slots int, dial func(ctx context.Context, network, addr string) (net.Conn, error), log *slog.Logger) *Mesh {
	m := &Mesh{handler: h, pingInterval: every, links: make(map[string]*Link), log: log, slots: make(chan struct{}, max(1, slots))}
	for _, p := range members {
		m.links[p.Node] = &Link{peer: p.Node, addr: p.Endpoint, pingInterval: every, dial: dial, pending: make(map[uint64]chan frame)}
	}
	return m
}

// Run keeps the links and serves peers on ln until ctx ends.
func (mesh *Mesh) Run(ctx context.Context, ln net.Listener) error {
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { <-gctx.Done(); return ln.Close() })
	for _, l := range mesh.links {
		g.Go(func() error { return l.dialLoop(gctx, mesh.handler) })
	}
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				if gctx.Err() != nil {
					return gctx.Err()
				}
				kvstore.Backoff(gctx, 0, mesh.pingInterval, mesh.pingInterval)
				continue
			}
			g.Go(func() error { mesh.serve(gctx, c); return nil })
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
	Version   string    `json:"Version"`
	Live      bool      `json:"Live"`  // answered lately
	LiveSince time.Time `json:"Since"` // live without a break since
	// Reachability is how the peer hears workers, if it is new enough to tell.
	Reachability      Reachability `json:"Hearing"`
	ReachabilityKnown bool         `json:"HearingKnown"`
}

// Peers tells how all peers stand.
func (mesh *Mesh) Peers() map[string]Status {
	out := make(map[string]Status, len(mesh.links))
	for n, l := range mesh.links {
		out[n] = l.status()
	}
	return out
}

// ForwardHeartbeat passes a worker's report on to the leader.
func (mesh *Mesh) ForwardHeartbeat(ctx context.Context, node string, r *wire.Heartbeat) (HeartbeatAnswer, error) {
	b, err := mesh.ask(ctx, node, kindHeartbeat, encodeHeartbeat(r))
	if err != nil {
		return HeartbeatAnswer{}, err
	}
	return decodeHeartbeatAnswer(b)
}

// Pick asks a part's owner to pick. An offer too large for a frame goes in
// parts, each with some of the rooms: the owner then picks for each as if alone,
// and the ledger confirms the best of all, as it does over several owners.
func (mesh *Mesh) Pick(ctx context.Context, node string, o *placement.Offer) ([]placement.Pick, error) {
	body := encodeOffer(o)
	if half := len(o.Candidates) / 2; len(body) > maxPayload && half > 0 {
		one, err := mesh.Pick(ctx, node, &placement.Offer{Candidates: o.Candidates[:half], Queues: o.Queues})
		if err != nil {
			return nil, err
		}
		two, err := mesh.Pick(ctx, node, &placement.Offer{Candidates: o.Candidates[half:], Queues: o.Queues})
		return append(one, two...), err
	}
	b, err := mesh.ask(ctx, node, kindOffer, body)
	if err != nil {
		return nil, err
	}
	return decodePicks(b)
}

// ForwardUserRequest passes a user's request on.
func (mesh *Mesh) ForwardUserRequest(ctx context.Context, node string, r UserRequest) (UserAnswer, error) {
	k, body := kindUser, r.encode()
	if r.Auth != "" {
		// Without it the peer would take the request for somebody else's.
		if l := mesh.links[node]; l == nil || !l.atLeastVersion(sinceTokens) {
			return UserAnswer{}, fmt.Errorf("%w: %s knows no tokens", ErrDown, node)
		}
		k, body = kindUserAs, r.encodeAs()
	}
	b, err := mesh.ask(ctx, node, k, body)
	if err != nil {
		return UserAnswer{}, err
	}
	return decodeUserAnswer(b)
}

// Counts asks the leader for a job's counts.
func (mesh *Mesh) Counts(ctx context.Context, node, ref string) (Counts, error) {
	b, err := mesh.ask(ctx, node, kindCounts, []byte(ref))
	if err != nil {
		return Counts{}, err
	}
	return decodeCounts(b)
}

func (mesh *Mesh) ask(ctx context.Context, node string, k kind, body []byte) ([]byte, error) {
	l := mesh.links[node]
	if l == nil {
		return nil, fmt.Errorf("%w: %q", ErrDown, node)
	}
	return l.ask(ctx, k, body)
}

// serve answers one peer's requests.
func (mesh *Mesh) serve(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	var mu sync.Mutex
	r := bufio.NewReader(c)
	for {
		// A peer pings all the time: one that is silent is gone.
		c.SetReadDeadline(time.Now().Add(16 * mesh.pingInterval))
		f, err := readFrame(r)
		if err != nil {
			return
		}
		select {
		case mesh.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-mesh.slots }()
			out := frame{kind: kindAnswer, id: f.id}
			var err error
			if out.body, err = mesh.answer(ctx, f); err != nil {
				mesh.log.Debug("peer request", "kind", f.kind, "err", err)
				out = frame{kind: kindRefuse, id: f.id}
			}
			mu.Lock()
			defer mu.Unlock()
			c.SetWriteDeadline(time.Now().Add(4 * mesh.pingInterval))
			if writeFrame(c, out) != nil {
				c.Close()
			}
		}()
	}
}

func (mesh *Mesh) answer(ctx context.Context, f frame) ([]byte, error) {
	switch f.kind {
	case kindPing:
		p, err := decodePing(f.body)
		if err != nil {
			return nil, err
		}
		mesh.handler.PeerStatus(p)
		own := mesh.handler.OwnStatus()
		return own.encode(), nil
	case kindHeartbeat:
		r, err := decodeHeartbeat(f.body)
		if err != nil {
			return nil, err
		}
		a := mesh.handler.HandleHeartbeat(ctx, r)
		return a.encode(), nil
	case kindOffer:
		o, err := decodeOffer(f.body)
		if err != nil {
			return nil, err
		}
		return encodePicks(limitToFrame(mesh.handler.PickTypes(o))), nil
	case kindUser:
		r, err := decodeUserRequest(f.body)
		if err != nil {
			return nil, err
		}
		a := mesh.handler.HandleUserRequest(ctx, r)
		return a.encode(), nil
	case kindCounts:
		c, err := mesh.handler.TaskCounts(string(f.body))
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
		a := mesh.handler.HandleUserRequest(ctx, r)
		return a.encode(), nil
	case kindStoreIncarnation:
		h, err := decodeStoreIncarnation(f.body)
		if err != nil {
			return nil, err
		}
		mesh.handler.PeerStoreIncarnation("a peer", h)
		own := mesh.handler.StoreIncarnation()
		return own.encode(), nil
	case kindReplicaPush:
		p, err := replica.DecodePush(f.body)
		if err != nil {
			return nil, err
		}
		a := mesh.handler.ReceiveReplica(&p)
		return a.Encode(), nil
	case kindReplicaPage:
		a, err := replica.DecodePageRequest(f.body)
		if err != nil {
			return nil, err
		}
		p := mesh.handler.ReadReplicaPage(a)
		return p.Encode(), nil
	case kindCancellations:
		n, err := cancellation.DecodeMessage(f.body)
		if err != nil {
			return nil, err
		}
		a := mesh.handler.ReceiveCancellations(&n)
		return a.Encode(), nil
	case kindVersion:
		return []byte(mesh.handler.Version()), nil
	case kindReachability:
		if _, err := decodeReachability(f.body); err != nil {
			return nil, err
		}
		own := mesh.handler.WorkerReachability()
		return own.encode(), nil
	}
	return nil, fmt.Errorf("%w: kind %d", ErrFormat, f.kind)
}

// limitToFrame leaves out the last picks where all do not fit a frame; their rooms are
// offered again with the next pass.
func limitToFrame(ps []placement.Pick) []placement.Pick {
	size := 0
	for i := range ps {
		if size += maxPickBytes + len(ps[i].Worker) + len(ps[i].Ref); size > maxPayload-headerLen {
			return ps[:i]
		}
	}
	return ps
}

// maxPickBytes is what a pick takes at most, its strings aside: their lengths and the
// tier as varints, two amounts.
const maxPickBytes = 3*10 + 2*8

// Link is the connection that this node dialled to another.
type Link struct {
	peer, addr   string
	pingInterval time.Duration
	dial         func(ctx context.Context, network, addr string) (net.Conn, error)

	mu                sync.Mutex
	conn              net.Conn
	nextID            uint64
	pending           map[uint64]chan frame
	lastPing          Ping
	version           string
	versionKnown      bool // version is settled for this connection
	reachability      Reachability
	reachabilityKnown bool      // hearing is of this connection
	lastAnswer        time.Time // of the last answered ping
	liveSince         time.Time

	writeMu sync.Mutex
}

func (link *Link) status() Status {
	link.mu.Lock()
	defer link.mu.Unlock()
	return Status{
		Ping: link.lastPing, Version: link.version, Live: !link.lastAnswer.IsZero() && time.Since(link.lastAnswer) < 3*link.pingInterval, LiveSince: link.liveSince,
		Reachability: link.reachability, ReachabilityKnown: link.reachabilityKnown,
	}
}

// dialLoop dials, pings, and dials again.
func (link *Link) dialLoop(ctx context.Context, h Handler) error {
	for try := 0; ctx.Err() == nil; {
		dctx, done := context.WithTimeout(ctx, 4*link.pingInterval)
		c, err := link.dial(dctx, "tcp", link.addr)
		done()
		if err != nil {
			kvstore.Backoff(ctx, try, link.pingInterval, 4*link.pingInterval)
			try++
			continue
		}
		try = 0
		link.mu.Lock()
		link.conn = c
		link.mu.Unlock()
		cctx, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(cctx, func() { c.Close() })
		go func() {
			defer cancel()
			link.readAnswers(c)
		}()
		link.pingLoop(cctx, h)
		cancel()
		stop()
		c.Close()
		link.failPending()
	}
	return ctx.Err()
}

// maxVersion bounds a version's length.
const maxVersion = 64

// exchangeVersions asks for the peer's version, and reports whether that is settled. An old
// peer refuses the question.
func (link *Link) exchangeVersions(ctx context.Context, h Handler) bool {
	b, err := link.askWithTimeout(ctx, kindVersion, []byte(h.Version()))
	link.mu.Lock()
	defer link.mu.Unlock()
	link.version = string(b[:min(len(b), maxVersion)])
	link.versionKnown = err == nil || errors.Is(err, ErrRefused)
	return link.versionKnown
}

// The first versions that tell how they hear workers, and that know tokens.
const (
	sinceReachability  = "v0.3.0"
	sinceTokens        = "v0.4.0"
	sinceReplicas      = "v0.5.0"
	sinceCancellations = "v0.6.0"
)

// SendCancellations tells a peer of withdrawals.
func (mesh *Mesh) SendCancellations(ctx context.Context, node string, n *cancellation.Message) (cancellation.Ack, error) {
	l := mesh.links[node]
	if l == nil || !l.hasKnownVersion() {
		return cancellation.Ack{}, fmt.Errorf("%w: %q", ErrDown, node)
	}
	if !l.atLeastVersion(sinceCancellations) {
		return cancellation.Ack{}, cancellation.ErrUnsupported
	}
	b, err := l.askWithTimeout(ctx, kindCancellations, n.Encode())
	if err != nil {
		return cancellation.Ack{}, err
	}
	return cancellation.DecodeAck(b)
}

// hasKnownVersion tells whether the peer's version is known, or known to be too old to tell.
func (link *Link) hasKnownVersion() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.versionKnown
}

// Followers are the live peers that can be sent a copy of what is stored.
func (mesh *Mesh) Followers() []string {
	var out []string
	for n, l := range mesh.links {
		if l.atLeastVersion(sinceReplicas) && l.status().Live {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// Push sends a peer a copy of what is stored, or changes of it.
func (mesh *Mesh) Push(ctx context.Context, node string, p *replica.Push) (replica.Ack, error) {
	b, err := mesh.askReplica(ctx, node, kindReplicaPush, p.Encode())
	if err != nil {
		return replica.Ack{}, err
	}
	return replica.DecodeAck(b)
}

// FetchPage asks a peer for a page of what it remembers.
func (mesh *Mesh) FetchPage(ctx context.Context, node string, a replica.PageRequest) (replica.Page, error) {
	b, err := mesh.askReplica(ctx, node, kindReplicaPage, a.Encode())
	if err != nil {
		return replica.Page{}, err
	}
	return replica.DecodePage(b)
}

func (mesh *Mesh) askReplica(ctx context.Context, node string, k kind, body []byte) ([]byte, error) {
	l := mesh.links[node]
	if l == nil || !l.atLeastVersion(sinceReplicas) {
		return nil, fmt.Errorf("%w: %q keeps no copies", ErrDown, node)
	}
	return l.askWithTimeout(ctx, k, body)
}

// atLeastVersion tells whether the peer is known to be of a version or a later one.
func (link *Link) atLeastVersion(first string) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	v := "v" + link.version
	return semver.IsValid(v) && semver.Compare(v, first) >= 0
}

// exchangeReachability asks how the peer hears workers, if it is new enough to tell.
func (link *Link) exchangeReachability(ctx context.Context, h Handler) {
	if !link.atLeastVersion(sinceReachability) {
		return
	}
	own := h.WorkerReachability()
	b, err := link.askWithTimeout(ctx, kindReachability, own.encode())
	if err != nil {
		return
	}
	got, err := decodeReachability(b)
	if err != nil {
		return
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	link.reachability, link.reachabilityKnown = got, true
}

// exchangeStoreIncarnation tells the peer how this node takes the history, if it is new enough, and hears
// how the peer does.
func (link *Link) exchangeStoreIncarnation(ctx context.Context, h Handler) {
	if !link.atLeastVersion(sinceReplicas) {
		return
	}
	own := h.StoreIncarnation()
	b, err := link.askWithTimeout(ctx, kindStoreIncarnation, own.encode())
	if err != nil {
		return
	}
	if got, err := decodeStoreIncarnation(b); err == nil {
		h.PeerStoreIncarnation(link.peer, got)
	}
}

// pingLoop asks the peer how it stands until an answer fails to come.
func (link *Link) pingLoop(ctx context.Context, h Handler) {
	greeted := link.exchangeVersions(ctx, h)
	if greeted {
		// Ahead of the pings, which bring the peer who acts: a process that has just
		// begun answers workers once it knows that.
		h.PeerConnected(ctx, link.peer)
	}
	for ctx.Err() == nil {
		own := h.OwnStatus()
		b, err := link.askWithTimeout(ctx, kindPing, own.encode())
		if err != nil {
			return
		}
		p, err := decodePing(b)
		if err != nil {
			return
		}
		link.mu.Lock()
		now := time.Now()
		if link.lastAnswer.IsZero() || now.Sub(link.lastAnswer) > 4*link.pingInterval {
			link.liveSince = now
		}
		link.lastPing, link.lastAnswer = p, now
		link.mu.Unlock()
		h.PeerStatus(p)
		if !greeted {
			if greeted = link.exchangeVersions(ctx, h); greeted {
				h.PeerConnected(ctx, link.peer)
			}
		}
		link.exchangeReachability(ctx, h)
		link.exchangeStoreIncarnation(ctx, h)
		h.PeerSynced(ctx, link.peer)
		t := time.NewTimer(link.pingInterval)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

func (link *Link) readAnswers(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		link.mu.Lock()
		ch := link.pending[f.id]
		delete(link.pending, f.id)
		link.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	}
}

// failPending fails what still waits on a connection that is gone.
func (link *Link) failPending() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.conn, link.version, link.versionKnown = nil, "", false
	link.reachability, link.reachabilityKnown = Reachability{}, false
	for id, ch := range link.pending {
		delete(link.pending, id)
		close(ch)
	}
}

// askWithTimeout asks what a peer that is up answers at once.
func (link *Link) askWithTimeout(ctx context.Context, k kind, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*link.pingInterval)
	defer cancel()
	return link.ask(ctx, k, body)
}

func (link *Link) ask(ctx context.Context, k kind, body []byte) ([]byte, error) {
	link.mu.Lock()
	c := link.conn
	if c == nil {
		link.mu.Unlock()
		return nil, ErrDown
	}
	link.nextID++
	id := link.nextID
	ch := make(chan frame, 1)
	link.pending[id] = ch
	link.mu.Unlock()
	defer func() {
		link.mu.Lock()
		delete(link.pending, id)
		link.mu.Unlock()
	}()
	link.writeMu.Lock()
	c.SetWriteDeadline(time.Now().Add(2 * link.pingInterval))
	err := writeFrame(c, frame{kind: k, id: id, body: body})
	link.writeMu.Unlock()
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
