package serve

import (
	"net/http"

	"rillflow/internal/jsonhttp"
	"rillflow/internal/wire"
)

// routes returns the handler for all requests at the front address.
func (controller *controller) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", controller.health)
	mux.HandleFunc("POST /agent/beat", controller.handleHeartbeat)
	mux.HandleFunc("GET /operator/status", controller.status)
	mux.HandleFunc("GET /operator/metrics", controller.metricsHandler())
	mux.HandleFunc("/v1/jobs", controller.handleUser)
	mux.HandleFunc("/v1/jobs/", controller.handleUser)
	return mux
}

// health answers the load balancer's health checks. A controller that the store refuses is
// healthy while a peer is connected, since it can forward users' requests. It is unhealthy if
// it has no connected peer either. If the store refuses all controllers, removing them from
// the load balancer would only delay the recovery from the outage.
func (controller *controller) health(w http.ResponseWriter, _ *http.Request) {
	hasPeers := len(controller.settings.Peers) > 0
	if controller.shard.StoreRefuses() && hasPeers && !controller.shard.HasLivePeer() {
		replyError(w, http.StatusServiceUnavailable, "cut off")
		return
	}
	jsonhttp.Answer(w, http.StatusOK, struct{}{})
}

func replyError(w http.ResponseWriter, status int, reason string) {
	jsonhttp.Answer(w, status, wire.ErrorResponse{Error: reason})
}
