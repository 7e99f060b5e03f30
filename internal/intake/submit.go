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

// submit accepts a job, or answers with the status of one that is known already: a
// submission is idempotent by its job's ID.
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
	began := api.now()
	created, err := api.accept(ctx, &job, caller, decision)
	switch {
	case errors.As(err, &rejected):
		api.replyRejected(ctx, w, caller, id, rejected)
	case api.replyUnauthorized(w, err):
	case err != nil:
		api.log.Debug("submission failed", "job", id, "err", err)
		replyBusy(w, storeBusy)
	case created:
		api.logAccepted(&job, caller, api.now().Sub(began))
		jsonhttp.Answer(w, http.StatusCreated, wire.JobStatus{ID: id, Phase: wire.PhaseQueued})
	default:
		api.replyRepeated(ctx, w, caller, id)
	}
}

// parse reads a submission and finds out whether the job could ever run. The ID is
// returned whenever it can be read.
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

// replyRepeated answers the submission of a job that was stored already.
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

// errTooLarge says that what must be remembered of a job does not fit a value of the store.
var errTooLarge = errors.New("the job is too large to be stored")

// accept resolves a job's dependencies and stores it unless it is there already. It
// reports whether it was this call that stored it. The error is a *rejectedError where the
// job can never be accepted.
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

// encodeRecord encodes what is stored of a job, under the lower of the limits in force and
// those announced.
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

// create stores a job once: compares on both of its keys decide between concurrent calls,
// and between an answer that was lost and its repetition. The error is identity.ErrToken
// where the caller was changed since the token was checked: the next request is judged by
// what the caller is then.
func (api *API) create(
	ctx context.Context, job *wire.Job, caller identity.Caller, put wire.Operation,
) (created bool, err error) {
	incarnation, err := api.compareIncarnation()
	if err != nil {
		return false, err
	}
	if api.endNotRestored(job.ID) {
		return false, dataloss.ErrDataLossSuspected
	}
	live, ended := ledger.LiveKey(job.ID), ledger.EndedKey(job.ID)
	revision, failed, err := api.store.Commit(ctx, wire.Txn{
		Compares:   slices.Concat(compareAbsent(live, ended), incarnation, caller.Compares),
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
		api.accepted.put(job.ID, knownJob{team: job.Team})
	}
	return len(failed) == 0, nil
}
