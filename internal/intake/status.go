package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// knownJob is what is told of a job, with its team, by which is decided who may know it.
type knownJob struct {
	wire.JobStatus
	team                     string
	cancellationAcknowledged bool // of a cancelled job: a user may be told
}

// poll answers with a job's status.
func (api *API) poll(w http.ResponseWriter, r *http.Request) {
	id, caller, ok := api.requestedJob(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(kvstore.WithPriority(r.Context(), kvstore.PriorityStatusRead), pollTimeout)
	defer cancel()
	job, err := api.lookup(ctx, id)
	api.polls.add(err)
	switch {
	case err == nil:
		api.replyIfAllowed(admitted(ctx), w, caller, job)
	case errors.Is(err, kvstore.ErrNotFound):
		replyError(w, http.StatusNotFound, noSuchJob)
	default:
		replyBusy(w, storeBusy)
	}
}

// admitted is the context of what is left of a request whose first read was made. Were it shed like
// the first, that read would be wasted, and the status of an ended job takes two.
func admitted(ctx context.Context) context.Context {
	return kvstore.WithPriority(ctx, kvstore.PriorityUserWrite)
}

// lookup finds a job's status, from this controller's memory or the store. ErrNotFound
// means that the job was not accepted when its live key was read: a job goes only from
// live to ended. Any other error means that nothing can be told now.
func (api *API) lookup(ctx context.Context, id string) (knownJob, error) {
	if job, ok := api.finishedState(id); ok {
		return job, nil
	}
	if api.storeUnavailable() {
		return knownJob{}, kvstore.ErrRefused
	}
	for attempt := 0; ; attempt++ {
		job, err := api.lookupOnce(ctx, id)
		if err == nil || errors.Is(err, kvstore.ErrNotFound) || !api.shouldRetry(ctx, err, attempt) {
			return job, err
		}
	}
}

func (api *API) lookupOnce(ctx context.Context, id string) (job knownJob, err error) {
	// What is stored while data may have been lost may be older than what was told,
	// and a controller that has just begun cannot tell whether any was.
	_, err = api.compareIncarnation()
	if err == nil && api.dataLoss.JustStarted() {
		err = dataloss.ErrDataLossSuspected
	}
	before := api.replicaView(id)
	if err == nil {
		job, err = api.read(ctx, id, before)
	}
	if errors.Is(err, kvstore.ErrNotFound) {
		return api.lookupLost(ctx, id, before)
	}
	return job, err
}

// readStored reads a job's status from the store.
func (api *API) readStored(ctx context.Context, id string, before replicaView) (knownJob, error) {
	item, err := api.store.GetByListing(ctx, ledger.LiveKey(id))
	if err == nil {
		return api.liveStatus(ctx, id, newLiveJob(item.Value), before)
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return knownJob{}, err
	}
	return api.readEnd(admitted(ctx), id)
}

// readEnd reads how a job ended. The error is ErrNotFound if it has not.
func (api *API) readEnd(ctx context.Context, id string) (knownJob, error) {
	item, err := api.store.Get(ctx, ledger.EndedKey(id))
	if err != nil {
		return knownJob{}, err
	}
	var end ledger.EndRecord
	if err := json.Unmarshal(item.Value, &end); err != nil {
		return knownJob{}, fmt.Errorf("intake: end record of job %s: %w", id, err)
	}
	return api.remember(id, end), nil
}

// liveStatus is the status of a job that was found live.
func (api *API) liveStatus(ctx context.Context, id string, live liveJob, before replicaView) (knownJob, error) {
	if job, ok := api.finishedButStoredLive(id, before); ok {
		return job, nil
	}
	// The answer may be the one that showed that the store lost data, behind an end
	// that another controller told of and this one never heard of.
	if _, err := api.compareIncarnation(); err != nil {
		return knownJob{}, err
	}
	job := knownJob{JobStatus: wire.JobStatus{ID: id, Phase: wire.PhaseQueued}}
	if !api.authorizer.AllowsEverybody() {
		if live.err != nil {
			return knownJob{}, fmt.Errorf("intake: record of job %s: %w", id, live.err)
		}
		job.team = live.team
	}
	if done, running, ok, _ := api.taskCounts(ctx, id); ok { // only for display
		job.Done, job.Running = &done, &running
		if running > 0 {
			job.Phase = wire.PhaseRunning
		}
		if done == live.tasks && running == 0 {
			api.waitingEnds.note(id, time.Now())
		}
	}
	return job, nil
}

// remember caches how a job ended.
func (api *API) remember(id string, end ledger.EndRecord) knownJob {
	api.waitingEnds.forget(id)
	noneRunning := 0
	job := knownJob{JobStatus: wire.JobStatus{ID: id, Phase: end.Phase, Running: &noneRunning}, team: end.Team}
	if end.Phase == wire.PhaseDone {
		job.Done = &end.Tasks
	}
	if cached, ok := api.finished.get(id); ok {
		job.cancellationAcknowledged = cached.cancellationAcknowledged
	}
	api.finished.put(id, job)
	return job
}
