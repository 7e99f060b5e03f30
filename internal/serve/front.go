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
func (controller *controller) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", controller.health)
	mux.HandleFunc("POST /agent/beat", controller.handleHeartbeat)
	mux.HandleFunc("GET /operator/status", controller.status)
	mux.HandleFunc("/v1/jobs", controller.handleUser)
	mux.HandleFunc("/v1/jobs/", controller.handleUser)
	return mux
}

// health answers the load balancer. A node that the state service refuses is
// of use while a peer can serve its users; one that no peer hears either is
// cut off, and others serve better. When all are refused it is an outage: to
// leave the balancer then would only make coming back slower.
func (controller *controller) health(w http.ResponseWriter, _ *http.Request) {
	if controller.shard.StoreRefuses() && len(controller.settings.Members) > 0 && !controller.shard.HasLivePeer() {
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "cut off"})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

// handleHeartbeat answers a worker's report, or says who may.
func (controller *controller) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	controller.shard.RecordRequest()
	controller.connections.closeIfCrowded(w)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, agent.MaxHeartbeatBytes))
	var rep wire.Heartbeat
	if err == nil {
		err = json.Unmarshal(body, &rep)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed report"})
		return
	}
	controller.observeEpoch(rep.Epoch)
	out, err := controller.shard.Heartbeat(r.Context(), &rep, controller.leader)
	if err == nil {
		reply(w, http.StatusOK, out)
		return
	}
	var notOwner *shard.NotOwnerError
	if errors.As(err, &notOwner) && notOwner.RedirectTarget != "" && notOwner.RedirectTarget != controller.settings.Node {
		reply(w, http.StatusMisdirectedRequest, wire.Redirect{Controller: notOwner.RedirectTarget})
		return
	}
	reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "not entitled"})
}

// observeEpoch notes an epoch that a worker has seen. One that the state service has not given
// out was given out in a history that is lost.
func (controller *controller) observeEpoch(epoch uint64) {
	controller.elector.ObserveEpoch(epoch)
	if v := controller.dataLoss.Current(); v.InitialPhase == dataloss.PhaseProvisional && epoch > 0 && epoch < v.Epoch {
		// The history began with nothing, so nobody can have seen an earlier epoch.
		controller.dataLoss.Suspect(fmt.Sprintf("workers have seen epoch %d of an earlier history", epoch))
	}
	if epoch > controller.elector.ShardMap().Epoch {
		select {
		case controller.unknownEpochs <- epoch:
		default: // one question at a time is enough
		}
	}
}

// verifyUnknownEpochs asks the state service whether it knows of the epochs that workers show.
func (controller *controller) verifyUnknownEpochs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case epoch := <-controller.unknownEpochs:
			stored, err := controller.elector.ReadShardMap(ctx)
			if err == nil && stored.Epoch < epoch && epoch > controller.elector.ShardMap().Epoch {
				controller.dataLoss.Suspect(fmt.Sprintf("workers have seen epoch %d, and %d is stored", epoch, stored.Epoch))
			}
			kvstore.Backoff(ctx, 0, controller.settings.Report()/8, controller.settings.Report()/8)
		}
	}
}

// handleUser serves a user's request here, or through a peer when the state service
// refuses this node alone.
func (controller *controller) handleUser(w http.ResponseWriter, r *http.Request) {
	node, alone := controller.shard.StoreServesPeerOnly()
	if !alone {
		controller.users.ServeHTTP(w, r)
		return
	}
	// One more than may be: the peer sees that it is too large.
	body, err := io.ReadAll(io.LimitReader(r.Body, intake.MaxBody+1))
	if err != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "broken body"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), controller.settings.Report()/2)
	defer cancel()
	a, err := controller.peers.ForwardUserRequest(ctx, node, peer.UserRequest{Method: r.Method, Path: r.URL.Path, Body: body, Auth: r.Header.Get("Authorization")})
	if err != nil {
		w.Header().Set("Retry-After", "1")
		reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "state service"})
		return
	}
	if a.RetryAfter != "" {
		w.Header().Set("Retry-After", a.RetryAfter)
	}
	writeJSON(w, a.Status, a.Body)
}

// lookupTaskCounts tells a live job's counts: the leader has them.
func (controller *controller) lookupTaskCounts(ctx context.Context, ref string) (done, running int, ok bool, err error) {
	leader := controller.elector.ShardMap().Leader
	c, ok, err := controller.leader.TaskCounts(ref)
	if ok || leader == controller.settings.Node {
		return c.Done, c.Running, ok, err
	}
	ctx, cancel := context.WithTimeout(ctx, controller.settings.Report()/12)
	defer cancel()
	p, err := controller.peers.Counts(ctx, leader, ref)
	return p.Done, p.Running, p.Known, err
}

// Fence, Doubt, Check, Lost, Fresh, Fed and Young are what users' requests are decided under.

func (controller *controller) Fence() ([]wire.Compare, dataloss.Phase, error) {
	return controller.dataLoss.Fence(controller.elector.LegacyLeader())
}

func (controller *controller) SuspectDataLoss(why string) { controller.dataLoss.Suspect(why) }

func (controller *controller) RecheckStore() { controller.dataLoss.Recheck() }

func (controller *controller) DataLost() bool { return controller.dataLoss.Current().DataLost }

func (controller *controller) NeverInitialized() bool {
	return !controller.dataLoss.Suspicion().Active && controller.dataLoss.Current().ID == "" && controller.replica.Empty()
}

func (controller *controller) JustStarted() bool {
	return time.Since(controller.startedAt) < 2*controller.settings.Report() && !controller.ReplicaCurrent()
}

func (controller *controller) ReplicaCurrent() bool {
	if controller.elector.LegacyLeader() {
		return true // such a leader feeds nobody, and nothing better is to be had
	}
	return controller.replica.Head().Incarnation == controller.dataLoss.Current().ID && (controller.elector.Leader() == controller.settings.Node || controller.replica.HeardLeaderWithin(2*controller.settings.Report()))
}

// History, Remembers, Copy and Recall are what peers ask about data that may be lost.

func (controller *controller) StoreIncarnation() peer.StoreIncarnation {
	suspicion := controller.dataLoss.Suspicion()
	id := suspicion.IncarnationID
	if !suspicion.Active {
		id = controller.dataLoss.Current().ID
	}
	gen, _ := controller.store.Revision()
	return peer.StoreIncarnation{ID: id, DataLossSuspected: suspicion.Active, Reason: suspicion.Reason, Revision: gen}
}

func (controller *controller) PeerStoreIncarnation(node string, h peer.StoreIncarnation) {
	controller.dataLoss.ObservePeer(node, dataloss.Suspicion{Active: h.DataLossSuspected, IncarnationID: h.ID, Reason: h.Reason})
	if !controller.dataLoss.Suspicion().Active && !h.DataLossSuspected && h.ID != "" && h.ID == controller.dataLoss.Current().ID {
		controller.store.ObserveRevision(h.Revision)
	}
}

func (controller *controller) ReceiveReplica(p *replica.Push) replica.Ack {
	return controller.replica.Receive(p)
}

func (controller *controller) ReadReplicaPage(a replica.PageRequest) replica.Page {
	return controller.replica.ReadPage(a)
}

// Withdrawn, Reached and Linked have withdrawals known to all controllers.

func (controller *controller) ReceiveCancellations(n *cancellation.Message) cancellation.Ack {
	return controller.cancellations.Receive(n, controller.leader)
}

func (controller *controller) PeerConnected(ctx context.Context, node string) {
	controller.broadcaster.PeerConnected(ctx, node)
}

func (controller *controller) PeerSynced(ctx context.Context, node string) {
	controller.broadcaster.SyncPeer(ctx, node)
}

// readLeader reads from the state service who leads now.
func (controller *controller) readLeader(ctx context.Context) (string, error) {
	m, err := controller.elector.ReadShardMap(ctx)
	if known := controller.elector.ShardMap().Epoch; err == nil && m.Epoch != known {
		// Another was elected since, or the state service is behind what is known.
		err = fmt.Errorf("epoch %d is stored, %d is known", m.Epoch, known)
	}
	return m.Leader, err
}

// Ping, Pinged, Beat, Pick, User and Counts are what peers ask of this node.

func (controller *controller) OwnStatus() peer.Ping {
	m := controller.elector.ShardMap()
	return peer.Ping{Node: controller.settings.Node, Epoch: m.Epoch, Leader: m.Leader, ShardOwners: m.Owners, StoreSilence: controller.store.SinceLastAnswer()}
}

func (controller *controller) PeerStatus(p peer.Ping) {
	controller.elector.LearnShardMap(election.ShardMap{Epoch: p.Epoch, Leader: p.Leader, Owners: p.ShardOwners})
}

func (controller *controller) HandleHeartbeat(ctx context.Context, r *wire.Heartbeat) peer.HeartbeatAnswer {
	out, learned, err := controller.leader.Heartbeat(ctx, r)
	return peer.HeartbeatAnswer{OK: err == nil, Commands: out, Samples: learned}
}

func (controller *controller) PickTypes(o placement.Offer) []placement.Pick {
	return controller.shard.PickLocal(o)
}

func (controller *controller) TaskCounts(ref string) (peer.Counts, error) {
	c, ok, err := controller.leader.TaskCounts(ref)
	return peer.Counts{Known: ok, Done: c.Done, Running: c.Running}, err
}

func (controller *controller) WorkerReachability() peer.Reachability {
	return controller.shard.WorkerReachability()
}

func (controller *controller) Version() string { return Version }

func (controller *controller) HandleUserRequest(ctx context.Context, r peer.UserRequest) peer.UserAnswer {
	rec := &recorder{header: make(http.Header), status: http.StatusOK}
	req, err := http.NewRequestWithContext(ctx, r.Method, r.Path, newBody(r.Body))
	if err != nil {
		return peer.UserAnswer{Status: http.StatusBadRequest, Body: []byte("{}")}
	}
	if r.Auth != "" {
		req.Header.Set("Authorization", r.Auth)
	}
	controller.users.ServeHTTP(rec, req)
	return peer.UserAnswer{Status: rec.status, RetryAfter: rec.header.Get("Retry-After"), Body: rec.body}
}

// Status is what the operator's status page tells.
type Status struct {
	Controller         string                 `json:"node"`
	Version            string                 `json:"version"`
	ShardMap           election.ShardMap      `json:"map"`
	UptimeSeconds      float64                `json:"up_s"`
	StoreSilentSeconds float64                `json:"state_silent_s"`
	StoreRequests      int64                  `json:"state_requests"`
	LimitsLowered      bool                   `json:"lower_limits"` // of the state service, as announced
	Peers              map[string]peer.Status `json:"peers"`
	MemoryMB           float64                `json:"memory_mb"`
	MemoryFull         bool                   `json:"memory_short"` // new jobs and machines are turned away
	Rates              []placement.RateRow    `json:"rates"`
	Leading            *leader.Status         `json:"leading,omitempty"`
	Incarnation        IncarnationStatus      `json:"history"`
}

// IncarnationStatus is how a controller takes the state service's history, and what it
// remembers of it.
type IncarnationStatus struct {
	ID                  string         `json:"id"`
	Phase               dataloss.Phase `json:"phase"`
	SuspectedBecause    string         `json:"doubted,omitempty"`
	Replica             replica.Head   `json:"copy"`
	ReplicaBytes        int            `json:"copy_bytes"`
	FinishedJobsLeftOut int            `json:"ends_without_room,omitempty"`
}

func (controller *controller) incarnationStatus() IncarnationStatus {
	v := controller.dataLoss.Current()
	s := IncarnationStatus{ID: v.ID, Phase: v.Phase, SuspectedBecause: controller.dataLoss.Suspicion().Reason, Replica: controller.replica.Head()}
	_, s.ReplicaBytes, s.FinishedJobsLeftOut = controller.replica.Usage()
	return s
}

func (controller *controller) status(w http.ResponseWriter, r *http.Request) {
	who, err := controller.authorizer.Who(r)
	if err != nil {
		status := http.StatusUnauthorized
		if errors.Is(err, identity.ErrStale) {
			status = http.StatusServiceUnavailable
		}
		reply(w, status, wire.ErrorResponse{Error: err.Error()})
		return
	}
	if dec := controller.authorizer.May(who, rights.Request{Do: rights.Status}); !dec.Allowed {
		reply(w, http.StatusForbidden, wire.ErrorResponse{Error: dec.Rule})
		return
	}
	reply(w, http.StatusOK, Status{
		Controller: controller.settings.Node, Version: Version, ShardMap: controller.elector.ShardMap(), UptimeSeconds: time.Since(controller.startedAt).Seconds(),
		StoreSilentSeconds: controller.store.SinceLastAnswer().Seconds(), StoreRequests: controller.store.RequestCount(), LimitsLowered: controller.store.LimitsLowered(), Peers: controller.peers.Peers(),
		MemoryMB: float64(controller.memory.Held()) / (1 << 20), MemoryFull: controller.memory.High(), Rates: controller.shard.Rates(), Leading: controller.leader.Status(), Incarnation: controller.incarnationStatus(),
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte("{}")
	}
	writeJSON(w, status, b)
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}
