package intake

import (
	"context"
	"errors"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/readindex"
)

// Divisors of the heartbeat interval that give the shortest pause between two rounds of status
// reads, and the longest wait of a read for its round.
const (
	roundsPerHeartbeat     = 64
	roundWaitsPerHeartbeat = 8
)

// maxLiveJobs bounds the live jobs held in memory. With more, status is read from the store.
const maxLiveJobs = 1 << 16

// liveJob is the summary of a live job's record that the view holds.
type liveJob struct {
	team         string
	tasks        int
	dependencies *dependencyState // nil: it depends on no job
	err          error            // why the record cannot be decoded
}

func newLiveJob(record []byte) liveJob {
	decoded, err := ledger.DecodeJobRecord(record)
	if err != nil {
		return liveJob{err: err}
	}
	job := liveJob{team: decoded.Job.Team, tasks: decoded.Job.TaskCount}
	if len(decoded.Job.DependsOn) > 0 {
		job.dependencies = &dependencyState{ids: decoded.Job.DependsOn}
	}
	return job
}

// liveJobsOptions returns the options of the view of live jobs.
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

// LiveJobStats returns usage counts of the view of live jobs.
func (api *API) LiveJobStats() readindex.Stats { return api.liveJobs.Stats() }

// read reads a job's status: that of a live job from the view, any other from the store. A job
// is reported as not found only after both of its keys were read.
func (api *API) read(ctx context.Context, id string, before replicaView) (jobState, error) {
	job, isLive, err := api.liveJobs.Read(ctx, id)
	var status jobState
	if err == nil && isLive {
		status, err = api.liveStatus(ctx, id, job, before, api.lookUpLiveInView)
	}
	switch {
	case errors.Is(err, readindex.ErrUnavailable):
		return api.readStored(ctx, id, before)
	case err != nil, isLive:
		return status, err
	}
	// A job only changes from live to ended.
	ended, err := api.readEnd(withAdmittedPriority(ctx), id)
	if errors.Is(err, kvstore.ErrNotFound) {
		return api.readStored(withAdmittedPriority(ctx), id, before)
	}
	return ended, err
}
