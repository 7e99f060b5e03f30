package intake

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"rillflow/internal/dataloss"
	"rillflow/internal/identity"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/rights"
	"rillflow/internal/wire"
)

// cancel cancels a job. If the job has ended already, it answers with that end.
func (api *API) cancel(w http.ResponseWriter, r *http.Request) {
	id, caller, ok := api.requestedJob(w, r)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), cancelTimeout)
	defer stop()
	for attempt := 0; ; attempt++ {
		job, err := api.cancelJob(ctx, caller, id)
		switch {
		case err == nil:
			api.replyStatus(ctx, w, job)
			return
		case errors.Is(err, errDenied):
			replyError(w, http.StatusForbidden, err.Error())
			return
		case api.replyUnauthorized(w, err):
			return
		case errors.Is(err, kvstore.ErrNotFound):
			replyError(w, http.StatusNotFound, noSuchJob)
			return
		case !api.shouldRetry(ctx, err, attempt):
			replyBusy(w, storeBusy)
			return
		}
	}
}

// errJobChanged reports that a job changed while it was being cancelled; the caller retries.
var errJobChanged = errors.New("intake: the job changed meanwhile")

// cancelJob replaces a job's live key with an end record, in one transaction. The compare on the
// live key's revision orders the cancellation against the leader's claims and the job's last
// finish: the transaction that commits first takes effect.
func (api *API) cancelJob(ctx context.Context, caller identity.Caller, id string) (jobState, error) {
	if job, ok := api.finishedState(id); ok {
		_, err := api.authorize(caller, rights.Cancel, job.team, id)
		return job, err
	}
	if api.storeUnavailable() {
		return jobState{}, kvstore.ErrRefused
	}
	incarnation, err := api.incarnationCompares()
	if err != nil {
		return jobState{}, err
	}
	before := api.replicaView(id)
	item, err := api.store.Get(ctx, ledger.LiveKey(id))
	if errors.Is(err, kvstore.ErrNotFound) {
		return api.cancelNotLive(ctx, caller, id, incarnation, before)
	}
	if err != nil {
		return jobState{}, err
	}
	if job, ok := api.finishedButStoredLive(id, before); ok {
		_, err := api.authorize(caller, rights.Cancel, job.team, id)
		return job, err
	}
	return api.cancelLive(ctx, caller, id, item, incarnation)
}

// cancelNotLive handles the cancellation of a job that has no live key.
func (api *API) cancelNotLive(
	ctx context.Context, caller identity.Caller, id string, incarnation []wire.Compare, before replicaView,
) (jobState, error) {
	job, err := api.readStored(ctx, id, before)
	if errors.Is(err, kvstore.ErrNotFound) {
		return api.cancelLostJob(ctx, caller, id, incarnation, before)
	}
	if err == nil {
		_, err = api.authorize(caller, rights.Cancel, job.team, id)
	}
	if err == nil && !job.isFinal() {
		return jobState{}, errJobChanged // it was submitted since its live key was read
	}
	return job, err
}

// cancelLive cancels a job whose live key was read.
func (api *API) cancelLive(
	ctx context.Context, caller identity.Caller, id string, live wire.KeyValue, incarnation []wire.Compare,
) (jobState, error) {
	record, err := ledger.DecodeJobRecord(live.Value)
	if err != nil {
		api.dataLoss.SuspectDataLoss(fmt.Sprintf("the record of job %s cannot be read", id))
		return jobState{}, fmt.Errorf("intake: record of job %s: %w: %w", id, dataloss.ErrDataLossSuspected, err)
	}
	decision, err := api.authorize(caller, rights.Cancel, record.Job.Team, id)
	if err != nil {
		return jobState{}, err
	}
	end := ledger.NewCancelledEndRecord(&record, api.now())
	data, err := ledger.Encode(end)
	if err != nil {
		return jobState{}, err
	}
	auditOperations, err := api.authorizer.AuditCancellation(record, caller, decision)
	if err != nil {
		return jobState{}, err
	}
	operations := []wire.Operation{{Delete: ledger.LiveKey(id)}, {Put: ledger.EndedKey(id), Value: data}}
	unchanged := wire.Compare{Key: ledger.LiveKey(id), ModRevision: live.ModRevision}
	revision, failed, err := api.store.Commit(ctx, wire.Txn{
		Compares:   slices.Concat([]wire.Compare{unchanged}, incarnation, caller.Compares),
		Operations: append(slices.Clone(operations), auditOperations...),
	})
	switch {
	case err != nil:
		return jobState{}, err
	case dataloss.CompareFailed(failed):
		api.dataLoss.RecheckStore()
		return jobState{}, dataloss.ErrDataLossSuspected
	case slices.Contains(failed, ledger.LiveKey(id)):
		return jobState{}, errJobChanged
	case len(failed) > 0:
		return jobState{}, identity.ErrToken
	}
	api.replica.RecordOwnWrites(revision, operations...)
	return api.remember(id, end), nil
}

// cancelLostJob cancels a job whose record is lost, so that only its tasks on workers are known.
func (api *API) cancelLostJob(
	ctx context.Context, caller identity.Caller, id string, incarnation []wire.Compare, before replicaView,
) (jobState, error) {
	if _, err := api.lookupLost(ctx, id, before); err != nil {
		return jobState{}, err
	}
	if _, err := api.authorize(caller, rights.Cancel, "", id); err != nil {
		return jobState{}, err
	}
	end := ledger.NewLostEndRecord(id, api.now())
	data, err := ledger.Encode(end)
	if err != nil {
		return jobState{}, err
	}
	put := wire.Operation{Put: ledger.EndedKey(id), Value: data}
	revision, failed, err := api.store.Commit(ctx, wire.Txn{
		Compares:   slices.Concat(absentCompares(ledger.LiveKey(id), ledger.EndedKey(id)), incarnation, caller.Compares),
		Operations: []wire.Operation{put},
	})
	if err != nil {
		return jobState{}, err
	}
	if len(failed) > 0 {
		api.dataLoss.RecheckStore()
		return jobState{}, errJobChanged
	}
	api.replica.RecordOwnWrites(revision, put)
	return api.remember(id, end), nil
}
