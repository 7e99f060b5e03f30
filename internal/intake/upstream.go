package intake

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// dependencyState holds the IDs of the jobs that a live job depends on, as stored. It remembers once
// all of them are known to be done, so that they are not looked up again.
type dependencyState struct {
	ids     []string
	allDone atomic.Bool
}

// liveLookup reads whether a job is live, in the view of live jobs or in the store. The answer is at
// least as new as the read that found the dependent live.
type liveLookup func(ctx context.Context, id string) (job liveJob, isLive bool, err error)

// upstreamSearch looks for a cancelled job among those that a live job depends on, directly or
// transitively.
//
// A job with a cancelled one upstream can only end as cancelled. The leader stores that end, which may
// take longer than the time within which users must be told, for example after an outage of the store.
// The search finds it in what is stored at the time of the request, so that all controllers give the
// same answer, whatever they have in memory.
type upstreamSearch struct {
	api     *API
	lookUp  liveLookup
	visited map[string]bool // jobs looked up so far; true: the job is done
}

// cancelledUpstream returns the end of a cancelled job that a live job depends on, directly or
// transitively, or nil if there is none.
func (api *API) cancelledUpstream(ctx context.Context, job liveJob, lookUp liveLookup) (*jobState, error) {
	search := &upstreamSearch{api: api, lookUp: lookUp, visited: make(map[string]bool)}
	return search.cancelledAmong(ctx, job.dependencies)
}

// cancelledAmong returns the end of a cancelled job among the given dependencies and the jobs upstream
// of them, or nil.
func (s *upstreamSearch) cancelledAmong(ctx context.Context, dependencies *dependencyState) (*jobState, error) {
	if dependencies == nil || dependencies.allDone.Load() {
		return nil, nil
	}
	allDone := true
	for _, id := range dependencies.ids {
		if cancelled, err := s.visit(ctx, id); cancelled != nil || err != nil {
			return cancelled, err
		}
		allDone = allDone && s.visited[id]
	}
	dependencies.allDone.Store(allDone)
	return nil, nil
}

// visit looks up one upstream job. It returns the end of a cancelled job: its own, or that of one
// upstream of it.
func (s *upstreamSearch) visit(ctx context.Context, id string) (*jobState, error) {
	if _, ok := s.visited[id]; ok {
		return nil, nil
	}
	s.visited[id] = false
	end, isKnown := s.api.knownEnd(id)
	if !isKnown {
		job, isLive, err := s.lookUp(ctx, id)
		if err != nil {
			return nil, err
		}
		if isLive {
			return s.cancelledAmong(ctx, job.dependencies)
		}
		end, err = s.api.readSharedEnd(ctx, id)
		if errors.Is(err, kvstore.ErrNotFound) {
			// Its record was lost. If the read has revealed that just now, nothing can be told.
			_, err := s.api.incarnationCompares()
			return nil, err
		}
		if err != nil {
			return nil, err
		}
	}
	if end.Phase == wire.PhaseCancelled {
		return &end, nil
	}
	s.visited[id] = true
	return nil, nil
}

// knownEnd returns how a job ended if this controller has its end in memory. An end never changes, so
// it does not matter how old the memory is.
func (api *API) knownEnd(id string) (jobState, bool) {
	if job, ok := api.finished.get(id); ok {
		return job, true
	}
	data, ok := api.replica.Get(ledger.EndedKey(id))
	if !ok {
		return jobState{}, false
	}
	var end ledger.EndRecord
	if json.Unmarshal(data, &end) != nil {
		return jobState{}, false
	}
	if end.Phase == wire.PhaseCancelled {
		return api.remember(id, end), true // until all controllers have acknowledged the cancellation
	}
	return jobState{JobStatus: wire.JobStatus{ID: id, Phase: end.Phase}}, true
}

// readSharedEnd is readEnd, which concurrent callers share: many jobs may depend on the same one.
func (api *API) readSharedEnd(ctx context.Context, id string) (jobState, error) {
	result := api.endReads.DoChan(id, func() (any, error) {
		// The end of the first caller's ctx must not fail the others.
		readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pollTimeout)
		defer cancel()
		return api.readEnd(withAdmittedPriority(readCtx), id)
	})
	select {
	case <-ctx.Done():
		return jobState{}, ctx.Err()
	case read := <-result:
		job, _ := read.Val.(jobState)
		return job, read.Err
	}
}

// lookUpLiveInView looks up a job in the view of live jobs, after a read of the view.
func (api *API) lookUpLiveInView(_ context.Context, id string) (liveJob, bool, error) {
	return api.liveJobs.Latest(id)
}

// lookUpLiveInStore looks up a job in the store.
func (api *API) lookUpLiveInStore(ctx context.Context, id string) (liveJob, bool, error) {
	item, err := api.store.GetByListing(withAdmittedPriority(ctx), ledger.LiveKey(id))
	if errors.Is(err, kvstore.ErrNotFound) {
		return liveJob{}, false, nil
	}
	if err != nil {
		return liveJob{}, false, err
	}
	return newLiveJob(item.Value), true, nil
}
