package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/identity"
	"rillflow/internal/jsonhttp"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/rights"
	"rillflow/internal/wire"
)

// submit accepts a job, or answers with the status of the job if it exists: submissions are
// idempotent by job ID.
func (api *API) submit(w http.ResponseWriter, r *http.Request) {
	body, bodyErr := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	caller, ok := api.identify(w, r)
	if !ok {
		return
	}
	job, id, rejected := api.parse(body, bodyErr)
	if rejected != nil {
		api.replyRejected(ctx, w, caller, id, rejected)
		return
	}
	request := rights.Request{Action: rights.Submit, Team: job.Team, Priority: job.Priority}
	decision := api.authorizer.DecideAndAudit(caller, request, id, "")
	if !decision.Allowed {
		denied := &rejectedError{status: http.StatusForbidden, reason: errors.New(decision.Rule)}
		api.replyRejected(ctx, w, caller, id, denied)
		return
	}
	if finished, ok := api.finishedState(id); ok {
		api.replyIfAllowed(ctx, w, caller, finished)
		return
	}
	if api.refuseForLoad(ctx, w, id) {
		return
	}
	startedAt := api.now()
	created, err := api.accept(ctx, &job, caller, decision)
	switch {
	case errors.As(err, &rejected):
		api.replyRejected(ctx, w, caller, id, rejected)
	case api.replyUnauthorized(w, err):
	case err != nil:
		api.log.Debug("submission failed", "job", id, "err", err)
		replyBusy(w, storeBusy)
	case created:
		api.logAccepted(&job, caller, api.now().Sub(startedAt))
		jsonhttp.Answer(w, http.StatusCreated, wire.JobStatus{ID: id, Phase: wire.PhaseQueued})
	default:
		api.replyRepeated(ctx, w, caller, id)
	}
}

// parse decodes a submission and checks whether the job could ever run. The ID is returned
// whenever it could be decoded.
func (api *API) parse(body []byte, bodyErr error) (job wire.Job, id string, rejected *rejectedError) {
	job, id, err := Parse(body)
	if bodyErr != nil {
		err = errors.New("body too large or broken")
	}
	if err != nil {
		return job, id, &rejectedError{status: http.StatusBadRequest, reason: err}
	}
	if err := Runnable(&job, api.settings, api.types.InstanceTypes()); err != nil {
		return job, id, &rejectedError{status: http.StatusUnprocessableEntity, reason: err}
	}
	return job, id, nil
}

// replyRepeated answers the submission of a job that is already stored.
func (api *API) replyRepeated(ctx context.Context, w http.ResponseWriter, caller identity.Caller, id string) {
	job, err := api.lookup(ctx, id)
	if err != nil {
		replyBusy(w, storeBusy)
		return
	}
	api.replyIfAllowed(ctx, w, caller, job)
}

func (api *API) logAccepted(job *wire.Job, caller identity.Caller, took time.Duration) {
	api.log.Info("job accepted", "job", job.ID, "caller", caller.Name, "class", job.Class, "team", job.Team,
		"tasks", job.TaskCount, "cpus", job.CPUs, "memory_gb", job.MemoryGB, "expected_s", job.ExpectedSeconds,
		"deadline_s", job.DeadlineSeconds, "depends_on", job.DependsOn, "image", job.Image,
		"image_gb", job.ImageGB, "took_ms", took.Milliseconds())
}

// errTooLarge reports that a job's record exceeds the value size limit of the store.
var errTooLarge = errors.New("the job is too large to be stored")

// accept resolves a job's dependencies and stores the job unless it exists. created reports
// whether this call stored it. The error is a *rejectedError if the job can never be accepted.
func (api *API) accept(
	ctx context.Context, job *wire.Job, caller identity.Caller, decision rights.Decision,
) (created bool, err error) {
	if err := api.resolveDependencies(ctx, caller, job); err != nil {
		return false, err
	}
	data, err := api.encodeRecord(job, caller, decision)
	if err != nil {
		return false, err
	}
	if api.storeUnavailable() {
		return false, kvstore.ErrRefused
	}
	put := wire.Operation{Put: ledger.LiveKey(job.ID), Value: data}
	for attempt := 0; ; attempt++ {
		created, err := api.create(ctx, job, caller, put)
		if err == nil || errors.Is(err, identity.ErrToken) {
			return created, err
		}
		if !api.shouldRetry(ctx, err, attempt) && !api.awaitFirstLeader(ctx, err, attempt) {
			return false, err
		}
	}
}

// encodeRecord encodes a job's record, within the lower of the store's current and announced
// limits.
func (api *API) encodeRecord(job *wire.Job, caller identity.Caller, decision rights.Decision) ([]byte, error) {
	limits := api.settings.Facts.Store
	lowest := limits.Lowest()
	record := ledger.JobRecord{
		Job: *job, SubmittedMS: api.now().UnixMilli(), ChunkTasks: ledger.ChunkTasks(limits.ValueKB, lowest.ValueKB),
	}
	if err := api.authorizer.SignSubmission(&record, caller, decision); err != nil {
		return nil, err
	}
	data, err := ledger.Encode(record)
	if err != nil {
		return nil, err
	}
	if float64(len(data)) > lowest.ValueKB*1024 {
		return nil, &rejectedError{status: http.StatusUnprocessableEntity, reason: errTooLarge}
	}
	return data, nil
}

// create stores a job at most once, also in concurrent calls and in retries after a lost response:
// the transaction compares both of the job's keys. The error is identity.ErrToken if the caller's
// identity or token has changed since the token was checked; the next request is then decided anew.
func (api *API) create(
	ctx context.Context, job *wire.Job, caller identity.Caller, put wire.Operation,
) (created bool, err error) {
	incarnation, err := api.incarnationCompares()
	if err != nil {
		return false, err
	}
	if api.endNotRestored(job.ID) {
		return false, dataloss.ErrDataLossSuspected
	}
	live, ended := ledger.LiveKey(job.ID), ledger.EndedKey(job.ID)
	revision, failed, err := api.store.Commit(ctx, wire.Txn{
		Compares:   slices.Concat(absentCompares(live, ended), incarnation, caller.Compares),
		Operations: []wire.Operation{put},
	})
	if err != nil {
		return false, err
	}
	if dataloss.CompareFailed(failed) {
		api.dataLoss.RecheckStore()
		return false, dataloss.ErrDataLossSuspected
	}
	if identity.ComparesFailed(failed) && !slices.Contains(failed, live) && !slices.Contains(failed, ended) {
		return false, identity.ErrToken
	}
	if len(failed) == 0 {
		api.replica.RecordOwnWrites(revision, put)
	}
	if len(failed) == 0 && job.Kind != wire.KindService {
		api.accepted.put(job.ID, jobState{team: job.Team})
	}
	return len(failed) == 0, nil
}
