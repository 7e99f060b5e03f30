package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/cancellation"
	"rillflow/internal/dataloss"
	"rillflow/internal/election"
	"rillflow/internal/identity"
	"rillflow/internal/intake"
	"rillflow/internal/kvstore"
	"rillflow/internal/leader"
	"rillflow/internal/peer"
	"rillflow/internal/placement"
	"rillflow/internal/replica"
	"rillflow/internal/rights"
	"rillflow/internal/shard"
	"rillflow/internal/wire"
)

// routes are all requests at the front address.
func (d *daemon) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", d.health)
	mux.HandleFunc("POST /agent/beat", d.beat)
	mux.HandleFunc("GET /operator/status", d.status)
	mux.HandleFunc("/v1/jobs", d.user)
	mux.HandleFunc("/v1/jobs/", d.user)
	return mux
}

// health answers the load balancer. A node that the state service refuses is
// of use while a peer can serve its users; one that no peer hears either is
// cut off, and others serve better. When all are refused it is an outage: to
// leave the balancer then would only make coming back slower.
func (d *daemon) health(w http.ResponseWriter, _ *http.Request) {
	if d.part.StoreRefuses() && len(d.set.Members) > 0 && !d.part.HasLivePeer() {
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "cut off"})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

// beat answers a worker's report, or says who may.
func (d *daemon) beat(w http.ResponseWriter, r *http.Request) {
	d.part.RecordRequest()
	d.crowd.ease(w)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, agent.MaxHeartbeatBytes))
	var rep wire.Heartbeat
	if err == nil {
		err = json.Unmarshal(body, &rep)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed report"})
		return
	}
	d.shown(rep.Epoch)
	out, err := d.part.Heartbeat(r.Context(), &rep, d.control)
	if err == nil {
		reply(w, http.StatusOK, out)
		return
	}
	var notOwner *shard.NotOwnerError
	if errors.As(err, &notOwner) && notOwner.RedirectTarget != "" && notOwner.RedirectTarget != d.set.Node {
		reply(w, http.StatusMisdirectedRequest, wire.Redirect{Controller: notOwner.RedirectTarget})
		return
	}
	reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "not entitled"})
}

// shown notes an epoch that a worker has seen. One that the state service has not given
// out was given out in a history that is lost.
func (d *daemon) shown(epoch uint64) {
	d.el.ObserveEpoch(epoch)
	if v := d.hist.Current(); v.InitialPhase == dataloss.PhaseProvisional && epoch > 0 && epoch < v.Epoch {
		// The history began with nothing, so nobody can have seen an earlier epoch.
		d.hist.Suspect(fmt.Sprintf("workers have seen epoch %d of an earlier history", epoch))
	}
	if epoch > d.el.ShardMap().Epoch {
		select {
		case d.asks <- epoch:
		default: // one question at a time is enough
		}
	}
}

// outdone asks the state service whether it knows of the epochs that workers show.
func (d *daemon) outdone(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case epoch := <-d.asks:
			stored, err := d.el.ReadShardMap(ctx)
			if err == nil && stored.Epoch < epoch && epoch > d.el.ShardMap().Epoch {
				d.hist.Suspect(fmt.Sprintf("workers have seen epoch %d, and %d is stored", epoch, stored.Epoch))
			}
			kvstore.Backoff(ctx, 0, d.set.Report()/8, d.set.Report()/8)
		}
	}
}

// user serves a user's request here, or through a peer when the state service
// refuses this node alone.
func (d *daemon) user(w http.ResponseWriter, r *http.Request) {
	node, alone := d.part.StoreServesPeerOnly()
	if !alone {
		d.users.ServeHTTP(w, r)
		return
	}
	// One more than may be: the peer sees that it is too large.
	body, err := io.ReadAll(io.LimitReader(r.Body, intake.MaxBody+1))
	if err != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "broken body"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), d.set.Report()/2)
	defer cancel()
	a, err := d.mesh.ForwardUserRequest(ctx, node, peer.UserRequest{Method: r.Method, Path: r.URL.Path, Body: body, Auth: r.Header.Get("Authorization")})
	if err != nil {
		w.Header().Set("Retry-After", "1")
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "state service"})
		return
	}
	if a.RetryAfter != "" {
		w.Header().Set("Retry-After", a.RetryAfter)
	}
	send(w, a.Status, a.Body)
}

// counts tells a live job's counts: the leader has them.
func (d *daemon) counts(ctx context.Context, ref string) (done, running int, ok bool, err error) {
	leader := d.el.ShardMap().Leader
	c, ok, err := d.control.TaskCounts(ref)
	if ok || leader == d.set.Node {
		return c.Done, c.Running, ok, err
	}
	ctx, cancel := context.WithTimeout(ctx, d.set.Report()/12)
	defer cancel()
	p, err := d.mesh.Counts(ctx, leader, ref)
	return p.Done, p.Running, p.Known, err
}

// Fence, Doubt, Check, Lost, Fresh, Fed and Young are what users' requests are decided under.

func (d *daemon) Fence() ([]wire.Compare, dataloss.Phase, error) {
	return d.hist.Fence(d.el.LegacyLeader())
}

func (d *daemon) SuspectDataLoss(why string) { d.hist.Suspect(why) }

func (d *daemon) RecheckStore() { d.hist.Recheck() }

func (d *daemon) DataLost() bool { return d.hist.Current().DataLost }

func (d *daemon) NeverInitialized() bool {
	return !d.hist.Suspicion().Active && d.hist.Current().ID == "" && d.copies.Empty()
}

func (d *daemon) JustStarted() bool {
	return time.Since(d.began) < 2*d.set.Report() && !d.ReplicaCurrent()
}

func (d *daemon) ReplicaCurrent() bool {
	if d.el.LegacyLeader() {
		return true // such a leader feeds nobody, and nothing better is to be had
	}
	return d.copies.Head().Incarnation == d.hist.Current().ID && (d.el.Leader() == d.set.Node || d.copies.HeardLeaderWithin(2*d.set.Report()))
}

// History, Remembers, Copy and Recall are what peers ask about data that may be lost.

func (d *daemon) StoreIncarnation() peer.StoreIncarnation {
	suspicion := d.hist.Suspicion()
	id := suspicion.IncarnationID
	if !suspicion.Active {
		id = d.hist.Current().ID
	}
	gen, _ := d.st.Revision()
	return peer.StoreIncarnation{ID: id, DataLossSuspected: suspicion.Active, Reason: suspicion.Reason, Revision: gen}
}

func (d *daemon) PeerStoreIncarnation(node string, h peer.StoreIncarnation) {
	d.hist.ObservePeer(node, dataloss.Suspicion{Active: h.DataLossSuspected, IncarnationID: h.ID, Reason: h.Reason})
	if !d.hist.Suspicion().Active && !h.DataLossSuspected && h.ID != "" && h.ID == d.hist.Current().ID {
		d.st.ObserveRevision(h.Revision)
	}
}

func (d *daemon) ReceiveReplica(p *replica.Push) replica.Ack { return d.copies.Receive(p) }

func (d *daemon) ReadReplicaPage(a replica.PageRequest) replica.Page { return d.copies.ReadPage(a) }

// Withdrawn, Reached and Linked have withdrawals known to all controllers.

func (d *daemon) ReceiveCancellations(n *cancellation.Message) cancellation.Ack {
	return d.gone.Receive(n, d.control)
}

func (d *daemon) PeerConnected(ctx context.Context, node string) { d.teller.PeerConnected(ctx, node) }

func (d *daemon) PeerSynced(ctx context.Context, node string) { d.teller.SyncPeer(ctx, node) }

// leads reads from the state service who leads now.
func (d *daemon) leads(ctx context.Context) (string, error) {
	m, err := d.el.ReadShardMap(ctx)
	if known := d.el.ShardMap().Epoch; err == nil && m.Epoch != known {
		// Another was elected since, or the state service is behind what is known.
		err = fmt.Errorf("epoch %d is stored, %d is known", m.Epoch, known)
	}
	return m.Leader, err
}

// Ping, Pinged, Beat, Pick, User and Counts are what peers ask of this node.

func (d *daemon) OwnStatus() peer.Ping {
	m := d.el.ShardMap()
	return peer.Ping{Node: d.set.Node, Epoch: m.Epoch, Leader: m.Leader, ShardOwners: m.Owners, StoreSilence: d.st.SinceLastAnswer()}
}

func (d *daemon) PeerStatus(p peer.Ping) {
	d.el.LearnShardMap(election.ShardMap{Epoch: p.Epoch, Leader: p.Leader, Owners: p.ShardOwners})
}

func (d *daemon) HandleHeartbeat(ctx context.Context, r *wire.Heartbeat) peer.HeartbeatAnswer {
	out, learned, err := d.control.Heartbeat(ctx, r)
	return peer.HeartbeatAnswer{OK: err == nil, Commands: out, Samples: learned}
}

func (d *daemon) PickTypes(o placement.Offer) []placement.Pick { return d.part.PickLocal(o) }

func (d *daemon) TaskCounts(ref string) (peer.Counts, error) {
	c, ok, err := d.control.TaskCounts(ref)
	return peer.Counts{Known: ok, Done: c.Done, Running: c.Running}, err
}

func (d *daemon) WorkerReachability() peer.Reachability { return d.part.Hearing() }

func (d *daemon) Version() string { return Version }

func (d *daemon) HandleUserRequest(ctx context.Context, r peer.UserRequest) peer.UserAnswer {
	rec := &recorder{header: make(http.Header), status: http.StatusOK}
	req, err := http.NewRequestWithContext(ctx, r.Method, r.Path, newBody(r.Body))
	if err != nil {
		return peer.UserAnswer{Status: http.StatusBadRequest, Body: []byte("{}")}
	}
	if r.Auth != "" {
		req.Header.Set("Authorization", r.Auth)
	}
	d.users.ServeHTTP(rec, req)
	return peer.UserAnswer{Status: rec.status, RetryAfter: rec.header.Get("Retry-After"), Body: rec.body}
}

// Status is what the operator's status page tells.
type Status struct {
	Node     string                 `json:"node"`
	Version  string                 `json:"version"`
	Map      election.ShardMap      `json:"map"`
	UpS      float64                `json:"up_s"`
	StateS   float64                `json:"state_silent_s"`
	Requests int64                  `json:"state_requests"`
	Lower    bool                   `json:"lower_limits"` // of the state service, as announced
	Peers    map[string]peer.Status `json:"peers"`
	MemoryMB float64                `json:"memory_mb"`
	Full     bool                   `json:"memory_short"` // new jobs and machines are turned away
	Rates    []placement.RateRow    `json:"rates"`
	Leading  *leader.Status         `json:"leading,omitempty"`
	History  HistoryStatus          `json:"history"`
}

// HistoryStatus is how a controller takes the state service's history, and what it
// remembers of it.
type HistoryStatus struct {
	ID       string         `json:"id"`
	Phase    dataloss.Phase `json:"phase"`
	Doubted  string         `json:"doubted,omitempty"`
	Copy     replica.Head   `json:"copy"`
	Bytes    int            `json:"copy_bytes"`
	EndsLeft int            `json:"ends_without_room,omitempty"`
}

func (d *daemon) histories() HistoryStatus {
	v := d.hist.Current()
	s := HistoryStatus{ID: v.ID, Phase: v.Phase, Doubted: d.hist.Suspicion().Reason, Copy: d.copies.Head()}
	_, s.Bytes, s.EndsLeft = d.copies.Usage()
	return s
}

func (d *daemon) status(w http.ResponseWriter, r *http.Request) {
	who, err := d.door.Who(r)
	if err != nil {
		status := http.StatusUnauthorized
		if errors.Is(err, identity.ErrStale) {
			status = http.StatusServiceUnavailable
		}
		reply(w, status, wire.ErrorResponse{Error: err.Error()})
		return
	}
	if dec := d.door.May(who, rights.Request{Do: rights.Status}); !dec.Allowed {
		reply(w, http.StatusForbidden, wire.ErrorResponse{Error: dec.Rule})
		return
	}
	reply(w, http.StatusOK, Status{
		Node: d.set.Node, Version: Version, Map: d.el.ShardMap(), UpS: time.Since(d.began).Seconds(),
		StateS: d.st.SinceLastAnswer().Seconds(), Requests: d.st.RequestCount(), Lower: d.st.LimitsLowered(), Peers: d.mesh.Peers(),
		MemoryMB: float64(d.memory.Held()) / (1 << 20), Full: d.memory.High(), Rates: d.part.Rates(), Leading: d.control.Status(), History: d.histories(),
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte("{}")
	}
	send(w, status, b)
}

func send(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}
