package intake

import (
	"context"
	"errors"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/readindex"
)

// Parts of a heartbeat interval that the rounds of status reads go by.
const (
	roundsPerHeartbeat     = 64
	roundWaitsPerHeartbeat = 8
)

// maxLiveJobs is how many live jobs are read from memory; it bounds the memory.
const maxLiveJobs = 1 << 16

// liveJob is what is kept of a live job's record.
type liveJob struct {
	team  string
	tasks int
	err   error // why the record cannot be read
}

func newLiveJob(record []byte) liveJob {
	decoded, err := ledger.DecodeJobRecord(record)
	if err != nil {
		return liveJob{err: err}
	}
	return liveJob{team: decoded.Job.Team, tasks: decoded.Job.TaskCount}
}

// liveJobsOptions are those of the view of live jobs.
func (api *API) liveJobsOptions() readindex.Options[liveJob] {
	heartbeat := api.settings.HeartbeatInterval()
	return readindex.Options[liveJob]{
		Store: api.store, Prefix: ledger.LivePrefix, Log: api.log, MaxKeys: maxLiveJobs,
		Interval: heartbeat / roundsPerHeartbeat, KeepAlive: heartbeat, MaxWait: heartbeat / roundWaitsPerHeartbeat,
		Summarize: newLiveJob,
	}
}

// Run keeps the view of live jobs up to date until ctx ends.
func (api *API) Run(ctx context.Context) error { return api.liveJobs.Run(ctx) }

// LiveJobStats tells how the view of live jobs is used.
func (api *API) LiveJobStats() readindex.Stats { return api.liveJobs.Stats() }

// read reads a job's status: that of a live job from the view, all else from the store. That a
// job is not there is always found by reading both of its keys.
func (api *API) read(ctx context.Context, id string, before replicaView) (knownJob, error) {
	job, isLive, err := api.liveJobs.Read(ctx, id)
	switch {
	case errors.Is(err, readindex.ErrUnavailable):
		return api.readStored(ctx, id, before)
	case err != nil:
		return knownJob{}, err
	case isLive:
		return api.liveStatus(ctx, id, job, before)
	}
	// A job goes only from live to ended.
	ended, err := api.readEnd(admitted(ctx), id)
	if errors.Is(err, kvstore.ErrNotFound) {
		return api.readStored(admitted(ctx), id, before)
	}
	return ended, err
}
