package serve

import (
	"context"
	"io"
	"net/http"

	"rillflow/internal/intake"
	"rillflow/internal/jsonhttp"
	"rillflow/internal/peer"
)

// Time limits of what a user's request asks of a peer, as parts of a heartbeat interval.
const (
	forwardsPerHeartbeat     = 2
	countLookupsPerHeartbeat = 12
)

// handleUser serves a user's request here, or through a peer when the store refuses this
// controller alone.
func (controller *controller) handleUser(w http.ResponseWriter, r *http.Request) {
	peerName, refusedAlone := controller.shard.StoreServesPeerOnly()
	if !refusedAlone {
		controller.users.ServeHTTP(w, r)
		return
	}
	// One more than may be: the peer sees that it is too large.
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

// lookupTaskCounts tells a live job's counts of tasks: the leader has them.
func (controller *controller) lookupTaskCounts(
	ctx context.Context, job string,
) (done, running int, ok bool, err error) {
	leader := controller.elector.ShardMap().Leader
	own, ok, err := controller.leader.TaskCounts(job)
	if ok || leader == controller.settings.Name {
		return own.Done, own.Running, ok, err
	}
	ctx, cancel := context.WithTimeout(ctx, controller.settings.HeartbeatInterval()/countLookupsPerHeartbeat)
	defer cancel()
	counts, err := controller.peers.Counts(ctx, leader, job)
	return counts.Done, counts.Running, counts.Known, err
}
