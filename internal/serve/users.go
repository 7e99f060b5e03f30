package serve

import (
	"context"
	"io"
	"net/http"

	"rillflow/internal/intake"
	"rillflow/internal/jsonhttp"
	"rillflow/internal/peer"
)

// Time limits of the requests to peers that serve a user's request, as parts of a heartbeat
// interval.
const (
	forwardsPerHeartbeat     = 2
	countLookupsPerHeartbeat = 12
)

// handleUser serves a user's request. If the store refuses this controller but serves a peer,
// it forwards the request to that peer.
func (controller *controller) handleUser(w http.ResponseWriter, r *http.Request) {
	peerName, refusedAlone := controller.shard.StoreServesPeerOnly()
	if !refusedAlone {
		controller.userHandler.ServeHTTP(w, r)
		return
	}
	// One byte above the limit, so that the peer rejects a body that is too large.
	body, err := io.ReadAll(io.LimitReader(r.Body, intake.MaxBody+1))
	if err != nil {
		replyError(w, http.StatusBadRequest, "broken body")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), controller.settings.HeartbeatInterval()/forwardsPerHeartbeat)
	defer cancel()
	answer, err := controller.peers.ForwardUserRequest(ctx, peerName, peer.UserRequest{
		Method: r.Method, Path: r.URL.Path, Body: body, Auth: r.Header.Get("Authorization"),
	})
	if err != nil {
		w.Header().Set("Retry-After", "1")
		replyError(w, http.StatusServiceUnavailable, "state service")
		return
	}
	if answer.RetryAfter != "" {
		w.Header().Set("Retry-After", answer.RetryAfter)
	}
	jsonhttp.AnswerBody(w, answer.Status, answer.Body)
}

// lookupTaskCounts returns a live job's task counts, which it requests from the leader.
func (controller *controller) lookupTaskCounts(
	ctx context.Context, job string,
) (done, running int, ok bool, err error) {
	leaderName := controller.elector.ShardMap().Leader
	local, ok, err := controller.leader.TaskCounts(job)
	if ok || leaderName == controller.settings.Name {
		return local.Done, local.Running, ok, err
	}
	ctx, cancel := context.WithTimeout(ctx, controller.settings.HeartbeatInterval()/countLookupsPerHeartbeat)
	defer cancel()
	counts, err := controller.peers.Counts(ctx, leaderName, job)
	return counts.Done, counts.Running, counts.Known, err
}
