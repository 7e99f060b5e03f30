package serve

import (
	"context"
	"net/http"

	"rillflow/internal/cancellation"
	"rillflow/internal/dataloss"
	"rillflow/internal/election"
	"rillflow/internal/peer"
	"rillflow/internal/placement"
	"rillflow/internal/replica"
	"rillflow/internal/wire"
)

// peerHandler serves the requests of peers to a controller.
type peerHandler struct{ *controller }

// OwnStatus implements peer.Handler.
func (handler peerHandler) OwnStatus() peer.Ping {
	shards := handler.elector.ShardMap()
	return peer.Ping{
		Node: handler.settings.Name, Epoch: shards.Epoch, Leader: shards.Leader, ShardOwners: shards.Owners,
		StoreSilence: handler.store.SinceLastAnswer(),
	}
}

// ObservePeerStatus implements peer.Handler.
func (handler peerHandler) ObservePeerStatus(ping peer.Ping) {
	handler.elector.LearnShardMap(election.ShardMap{Epoch: ping.Epoch, Leader: ping.Leader, Owners: ping.ShardOwners})
}

// HandleHeartbeat implements peer.Handler.
func (handler peerHandler) HandleHeartbeat(ctx context.Context, heartbeat *wire.Heartbeat) peer.HeartbeatAnswer {
	commands, samples, err := handler.leader.Heartbeat(ctx, heartbeat)
	return peer.HeartbeatAnswer{OK: err == nil, Commands: commands, Samples: samples}
}

// PickTypes implements peer.Handler.
func (handler peerHandler) PickTypes(offer placement.Offer) []placement.Pick {
	return handler.shard.PickLocal(offer)
}

// TaskCounts implements peer.Handler.
func (handler peerHandler) TaskCounts(job string) (peer.Counts, error) {
	counts, ok, err := handler.leader.TaskCounts(job)
	return peer.Counts{Known: ok, Done: counts.Done, Running: counts.Running}, err
}

// WorkerReachability implements peer.Handler.
func (handler peerHandler) WorkerReachability() peer.Reachability {
	return handler.shard.WorkerReachability()
}

// Version implements peer.Handler.
func (handler peerHandler) Version() string { return Version }

// StoreIncarnation implements peer.Handler.
func (handler peerHandler) StoreIncarnation() peer.StoreIncarnation {
	suspicion := handler.dataLoss.Suspicion()
	id := suspicion.IncarnationID
	if !suspicion.Active {
		id = handler.dataLoss.Current().ID
	}
	revision, _ := handler.store.Revision()
	return peer.StoreIncarnation{
		ID: id, DataLossSuspected: suspicion.Active, Reason: suspicion.Reason, Revision: revision,
	}
}

// ObservePeerStoreIncarnation implements peer.Handler.
func (handler peerHandler) ObservePeerStoreIncarnation(peerName string, theirs peer.StoreIncarnation) {
	handler.dataLoss.ObservePeer(peerName, dataloss.Suspicion{
		Active: theirs.DataLossSuspected, IncarnationID: theirs.ID, Reason: theirs.Reason,
	})
	suspected := handler.dataLoss.Suspicion().Active || theirs.DataLossSuspected
	if !suspected && theirs.ID != "" && theirs.ID == handler.dataLoss.Current().ID {
		handler.store.ObserveRevision(theirs.Revision)
	}
}

// ReceiveReplica implements peer.Handler.
func (handler peerHandler) ReceiveReplica(push *replica.Push) replica.Ack {
	return handler.replica.Receive(push)
}

// ReadReplicaPage implements peer.Handler.
func (handler peerHandler) ReadReplicaPage(request replica.PageRequest) replica.Page {
	return handler.replica.ReadPage(request)
}

// ReceiveCancellations implements peer.Handler.
func (handler peerHandler) ReceiveCancellations(message *cancellation.Message) cancellation.Ack {
	return handler.cancellations.Receive(message, handler.leader)
}

// PeerConnected implements peer.Handler.
func (handler peerHandler) PeerConnected(ctx context.Context, peer string) {
	handler.broadcaster.PeerConnected(ctx, peer)
}

// PeerSynced implements peer.Handler.
func (handler peerHandler) PeerSynced(ctx context.Context, peer string) {
	handler.broadcaster.SyncPeer(ctx, peer)
}

// HandleUserRequest implements peer.Handler: the request is served as if the user had sent it
// to this controller.
func (handler peerHandler) HandleUserRequest(ctx context.Context, request peer.UserRequest) peer.UserAnswer {
	response := &responseRecorder{header: make(http.Header), status: http.StatusOK}
	userRequest, err := http.NewRequestWithContext(ctx, request.Method, request.Path, requestBody(request.Body))
	if err != nil {
		return peer.UserAnswer{Status: http.StatusBadRequest, Body: []byte("{}")}
	}
	if request.Auth != "" {
		userRequest.Header.Set("Authorization", request.Auth)
	}
	handler.userHandler.ServeHTTP(response, userRequest)
	return peer.UserAnswer{
		Status: response.status, RetryAfter: response.header.Get("Retry-After"), Body: response.body,
	}
}
