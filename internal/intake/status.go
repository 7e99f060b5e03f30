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

// jobState is the status of a job with its team, which decides who may read it.
type jobState struct {
	wire.JobStatus
	team                     string
	cancellationAcknowledged bool // by the controllers, so a user may be told of the cancellation
	// upstream is the end of the cancelled job because of which this one is reported as cancelled
	// while it is still stored as live; nil for any other job.
	upstream *jobState
}

// isFinal reports whether the job has ended.
func (job *jobState) isFinal() bool {
	return job.Phase == wire.PhaseDone || job.Phase == wire.PhaseCancelled
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
		api.replyIfAllowed(withAdmittedPriority(ctx), w, caller, job)
	case errors.Is(err, kvstore.ErrNotFound):
		replyError(w, http.StatusNotFound, noSuchJob)
	default:
		replyBusy(w, storeBusy)
	}
}

// withAdmittedPriority returns the context for the rest of a poll whose first read was made. The
// status of an ended job takes two reads; if the second could be shed, the first would be wasted.
func withAdmittedPriority(ctx context.Context) context.Context {
	return kvstore.WithPriority(ctx, kvstore.PriorityUserWrite)
}

// lookup returns a job's status from this controller's memory or the store. ErrNotFound means
// that the job had not been accepted when its live key was read, since a job only changes from
// live to ended. Any other error means that the status cannot be determined now.
func (api *API) lookup(ctx context.Context, id string) (jobState, error) {
	if job, ok := api.finishedState(id); ok {
		return job, nil
	}
	if api.storeUnavailable() {
		return jobState{}, kvstore.ErrRefused
	}
	for attempt := 0; ; attempt++ {
		job, err := api.lookupOnce(ctx, id)
		if err == nil || errors.Is(err, kvstore.ErrNotFound) || !api.shouldRetry(ctx, err, attempt) {
			return job, err
		}
	}
}

func (api *API) lookupOnce(ctx context.Context, id string) (job jobState, err error) {
	// While data loss is suspected, the store may hold an older state than users were
	// given. A controller that has just started cannot tell whether data was lost.
	_, err = api.incarnationCompares()
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
func (api *API) readStored(ctx context.Context, id string, before replicaView) (jobState, error) {
	item, err := api.store.GetByListing(ctx, ledger.LiveKey(id))
	if err == nil {
		return api.liveStatus(ctx, id, newLiveJob(item.Value), before, api.lookUpLiveInStore)
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return jobState{}, err
	}
	return api.readEnd(withAdmittedPriority(ctx), id)
}

// readEnd reads how a job ended. The error is ErrNotFound if the store has no end of the job.
func (api *API) readEnd(ctx context.Context, id string) (jobState, error) {
	item, err := api.store.Get(ctx, ledger.EndedKey(id))
	if err != nil {
		return jobState{}, err
	}
	var end ledger.EndRecord
	if err := json.Unmarshal(item.Value, &end); err != nil {
		return jobState{}, fmt.Errorf("intake: end record of job %s: %w", id, err)
	}
	return api.remember(id, end), nil
}

// liveStatus returns the status of a job that was read as live. lookUp reads the jobs that it depends
// on.
func (api *API) liveStatus(
	ctx context.Context, id string, live liveJob, before replicaView, lookUp liveLookup,
) (jobState, error) {
	if job, ok := api.finishedButStoredLive(id, before); ok {
		return job, nil
	}
	// The read itself may have revealed that the store lost data. Another controller may then
	// have answered that the job has ended, although this one does not have the end.
	if _, err := api.incarnationCompares(); err != nil {
		return jobState{}, err
	}
	job := jobState{JobStatus: wire.JobStatus{ID: id, Phase: wire.PhaseQueued}}
	if !api.authorizer.AllowsEverybody() {
		if live.err != nil {
			return jobState{}, fmt.Errorf("intake: record of job %s: %w", id, live.err)
		}
		job.team = live.team
	}
	done, running, ok, _ := api.taskCounts(ctx, id) // counts are only informative, so errors are ignored
	if done == 0 && running == 0 {
		// With any task started, all jobs that it depends on are known to be done.
		upstream, err := api.cancelledUpstream(ctx, live, lookUp)
		if err != nil {
			return jobState{}, err
		}
		if upstream != nil {
			job.Phase, job.Running, job.upstream = wire.PhaseCancelled, new(int), upstream
			return job, nil
		}
	}
	if ok {
		job.Done, job.Running = &done, &running
		if running > 0 {
			job.Phase = wire.PhaseRunning
		}
		if done == live.tasks && running == 0 {
			api.waitingEnds.observe(id, time.Now())
		}
	}
	return job, nil
}

// remember caches how a job ended.
func (api *API) remember(id string, end ledger.EndRecord) jobState {
	api.waitingEnds.forget(id)
	noneRunning := 0
	job := jobState{JobStatus: wire.JobStatus{ID: id, Phase: end.Phase, Running: &noneRunning}, team: end.Team}
	if end.Phase == wire.PhaseDone {
		job.Done = &end.Tasks
	}
	if cached, ok := api.finished.get(id); ok {
		job.cancellationAcknowledged = cached.cancellationAcknowledged
	}
	api.finished.put(id, job)
	return job
}
