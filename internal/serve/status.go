package serve

import (
	"errors"
	"net/http"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/election"
	"rillflow/internal/identity"
	"rillflow/internal/jsonhttp"
	"rillflow/internal/leader"
	"rillflow/internal/peer"
	"rillflow/internal/placement"
	"rillflow/internal/replica"
	"rillflow/internal/rights"
)

// Status is the content of the operator's status page.
type Status struct {
	Controller         string                 `json:"node"`
	Version            string                 `json:"version"`
	ShardMap           election.ShardMap      `json:"map"`
	UptimeSeconds      float64                `json:"up_s"`
	StoreSilentSeconds float64                `json:"state_silent_s"`
	StoreRequests      int64                  `json:"state_requests"`
	LimitsLowered      bool                   `json:"lower_limits"` // the store's announced lower limits apply
	Peers              map[string]peer.Status `json:"peers"`
	MemoryMB           float64                `json:"memory_mb"`
	MemoryFull         bool                   `json:"memory_short"` // new jobs and workers are refused
	Rates              []placement.RateRow    `json:"rates"`
	Leading            *leader.Status         `json:"leading,omitempty"`
	Incarnation        IncarnationStatus      `json:"history"`
}

// IncarnationStatus describes the incarnation of the store's data that a controller knows, and
// its replica of it.
type IncarnationStatus struct {
	ID                  string         `json:"id"`
	Phase               dataloss.Phase `json:"phase"`
	SuspectedBecause    string         `json:"doubted,omitempty"`
	Replica             replica.Head   `json:"copy"`
	ReplicaBytes        int            `json:"copy_bytes"`
	FinishedJobsLeftOut int            `json:"ends_without_room,omitempty"`
}

func (controller *controller) incarnationStatus() IncarnationStatus {
	current := controller.dataLoss.Current()
	status := IncarnationStatus{
		ID: current.ID, Phase: current.Phase, SuspectedBecause: controller.dataLoss.Suspicion().Reason,
		Replica: controller.replica.Head(),
	}
	_, status.ReplicaBytes, status.FinishedJobsLeftOut = controller.replica.Usage()
	return status
}

// authorizeOperator reports whether a request comes from an operator who may read the status.
// Otherwise it answers the request.
func (controller *controller) authorizeOperator(w http.ResponseWriter, r *http.Request) bool {
	caller, err := controller.authorizer.Identify(r)
	if err != nil {
		status := http.StatusUnauthorized
		if errors.Is(err, identity.ErrStale) {
			status = http.StatusServiceUnavailable
		}
		replyError(w, status, err.Error())
		return false
	}
	if decision := controller.authorizer.Decide(caller, rights.Request{Action: rights.Status}); !decision.Allowed {
		replyError(w, http.StatusForbidden, decision.Rule)
		return false
	}
	return true
}

// status serves the status page to operators who may read it.
func (controller *controller) status(w http.ResponseWriter, r *http.Request) {
	if !controller.authorizeOperator(w, r) {
		return
	}
	jsonhttp.Answer(w, http.StatusOK, Status{
		Controller:         controller.settings.Name,
		Version:            Version,
		ShardMap:           controller.elector.ShardMap(),
		UptimeSeconds:      time.Since(controller.startedAt).Seconds(),
		StoreSilentSeconds: controller.store.SinceLastAnswer().Seconds(),
		StoreRequests:      controller.store.RequestCount(),
		LimitsLowered:      controller.store.LimitsLowered(),
		Peers:              controller.peers.Peers(),
		MemoryMB:           float64(controller.memory.HeldBytes()) / bytesPerMB,
		MemoryFull:         controller.memory.AboveLimit(),
		Rates:              controller.shard.Rates(),
		Leading:            controller.leader.Status(),
		Incarnation:        controller.incarnationStatus(),
	})
}
