package serve

import (
	"net/http"

	"rillflow/internal/jsonhttp"
	"rillflow/internal/wire"
)

// routes returns the handler of all requests at the front address.
func (controller *controller) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", controller.health)
	mux.HandleFunc("POST /agent/beat", controller.handleHeartbeat)
	mux.HandleFunc("GET /operator/status", controller.status)
	mux.HandleFunc("GET /operator/metrics", controller.metrics())
	mux.HandleFunc("/v1/jobs", controller.handleUser)
	mux.HandleFunc("/v1/jobs/", controller.handleUser)
	return mux
}

// health answers the load balancer. A controller that the store refuses is of use while a
// peer can serve its users; one that no peer hears either is cut off, and others serve
// better. When all are refused it is an outage: to leave the load balancer then would only
// make coming back slower.
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
