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

// Error texts of responses, and the shortest delay before a retry.
const (
	noSuchJob     = "no such job"
	storeBusy     = "state service"
	minRetryAfter = time.Second // smallest value of a Retry-After header
)

func replyError(w http.ResponseWriter, status int, reason string) {
	jsonhttp.Answer(w, status, wire.ErrorResponse{Error: reason})
}

// replyBusy answers 503 with the shortest possible Retry-After header.
func replyBusy(w http.ResponseWriter, reason string) { replyRetryAfter(w, reason, minRetryAfter) }

// replyRetryAfter answers 503 with a Retry-After header, in whole seconds rounded up.
func replyRetryAfter(w http.ResponseWriter, reason string, after time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	replyError(w, http.StatusServiceUnavailable, reason)
}

// replyUnauthorized reports whether err means that a token is invalid or cannot be checked,
// and then answers the request.
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

// replyIfAllowed answers with a job's status if the caller may read it, and with 403 otherwise.
func (api *API) replyIfAllowed(ctx context.Context, w http.ResponseWriter, caller identity.Caller, job jobState) {
	request := rights.Request{Action: rights.Read, Team: job.team}
	if decision := api.authorizer.DecideAndAudit(caller, request, job.ID, ""); !decision.Allowed {
		replyError(w, http.StatusForbidden, decision.Rule)
		return
	}
	api.replyStatus(ctx, w, job)
}

// replyStatus answers with a job's status. The status of a cancelled job promises that its
// tasks stop, so it is given only after all controllers that have to keep that promise have
// acknowledged the cancellation; until then the response is 503.
func (api *API) replyStatus(ctx context.Context, w http.ResponseWriter, job jobState) {
	if job.Phase == wire.PhaseCancelled {
		if err := api.acknowledgeCancellation(ctx, job); err != nil {
			api.log.Info("cancelled, not yet acknowledged by all controllers", "job", job.ID, "err", err)
			replyBusy(w, "withdrawn, to be known to all controllers")
			return
		}
	}
	api.log.Debug("status answered", "job", job.ID, "phase", job.Phase)
	jsonhttp.Answer(w, http.StatusOK, job.JobStatus)
}

// acknowledgeCancellation returns nil once all controllers that have to keep the promise of a
// cancellation have acknowledged it. A job with a cancelled one upstream has no tasks and needs
// nothing but the acknowledgement of that one.
func (api *API) acknowledgeCancellation(ctx context.Context, job jobState) error {
	if job.upstream != nil {
		job = *job.upstream
	}
	if job.cancellationAcknowledged {
		return nil
	}
	if err := api.broadcaster.Broadcast(ctx, job.ID); err != nil {
		return err
	}
	job.cancellationAcknowledged = true
	api.finished.put(job.ID, job)
	return nil
}

// replyRejected answers a submission that cannot be accepted. If the job exists, the response is
// its status, whatever the faults of this submission.
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
