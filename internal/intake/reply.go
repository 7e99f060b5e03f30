package intake

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"rillflow/internal/identity"
	"rillflow/internal/jsonhttp"
	"rillflow/internal/kvstore"
	"rillflow/internal/rights"
	"rillflow/internal/wire"
)

// Texts of answers.
const (
	noSuchJob  = "no such job"
	storeBusy  = "state service"
	retryAfter = time.Second // the least that a Retry-After header can say
)

func replyError(w http.ResponseWriter, status int, reason string) {
	jsonhttp.Answer(w, status, wire.ErrorResponse{Error: reason})
}

// replyBusy tells the user to come back after the least time there is.
func replyBusy(w http.ResponseWriter, reason string) { replyRetryAfter(w, reason, retryAfter) }

// replyRetryAfter tells the user to come back after some time.
func replyRetryAfter(w http.ResponseWriter, reason string, after time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	replyError(w, http.StatusServiceUnavailable, reason)
}

// replyUnauthorized answers a request whose token is not valid, or cannot be checked. It
// reports whether err says so.
func (api *API) replyUnauthorized(w http.ResponseWriter, err error) bool {
	switch {
	case errors.Is(err, identity.ErrToken):
		w.Header().Set("WWW-Authenticate", `Bearer realm="rillflow"`)
		replyError(w, http.StatusUnauthorized, identity.ErrToken.Error())
	case errors.Is(err, identity.ErrStale):
		replyRetryAfter(w, "identities cannot be checked", api.settings.HeartbeatInterval())
	default:
		return false
	}
	return true
}

// replyIfAllowed answers with a job's status, if the caller may know it.
func (api *API) replyIfAllowed(ctx context.Context, w http.ResponseWriter, caller identity.Caller, job knownJob) {
	request := rights.Request{Action: rights.Read, Team: job.team}
	if decision := api.authorizer.DecideAndAudit(caller, request, job.ID, ""); !decision.Allowed {
		replyError(w, http.StatusForbidden, decision.Rule)
		return
	}
	api.replyStatus(ctx, w, job)
}

// replyStatus answers with a job's status. That it is cancelled is a promise about its
// tasks, so it is told only once all controllers know that have to keep it; until then the
// user comes back.
func (api *API) replyStatus(ctx context.Context, w http.ResponseWriter, job knownJob) {
	if job.Phase == wire.PhaseCancelled && !job.cancellationAcknowledged {
		if err := api.broadcaster.Broadcast(ctx, job.ID); err != nil {
			api.log.Info("cancelled, not yet acknowledged by all controllers", "job", job.ID, "err", err)
			replyBusy(w, "withdrawn, to be known to all controllers")
			return
		}
		job.cancellationAcknowledged = true
		api.finished.put(job.ID, job)
	}
	api.log.Debug("status answered", "job", job.ID, "phase", job.Phase)
	jsonhttp.Answer(w, http.StatusOK, job.JobStatus)
}

// replyRejected answers a submission that cannot be accepted. A job that is known is never
// rejected, whatever this body says.
func (api *API) replyRejected(
	ctx context.Context, w http.ResponseWriter, caller identity.Caller, id string, rejected *rejectedError,
) {
	if id != "" {
		job, err := api.lookup(ctx, id)
		if err == nil {
			api.replyIfAllowed(ctx, w, caller, job)
			return
		}
		if !errors.Is(err, kvstore.ErrNotFound) {
			replyBusy(w, storeBusy)
			return
		}
	}
	if errors.Is(rejected, ErrUndecided) {
		replyBusy(w, rejected.Error())
		return
	}
	replyError(w, rejected.status, rejected.Error())
}
