package intake

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// SubmissionRefusals counts the submissions refused under load since the process started, by
// reason.
type SubmissionRefusals struct {
	Memory       int64 // the process is short of memory
	WriteBacklog int64 // ends of jobs wait too long to be stored
}

// refusalCounters counts SubmissionRefusals. It is safe for concurrent use.
type refusalCounters struct{ memory, writeBacklog atomic.Int64 }

// SubmissionRefusals returns the counts of submissions refused so far.
func (api *API) SubmissionRefusals() SubmissionRefusals {
	return SubmissionRefusals{
		Memory: api.refusals.memory.Load(), WriteBacklog: api.refusals.writeBacklog.Load(),
	}
}

// endDelayLimit is the longest time that ends of jobs may wait to be stored before submissions are
// refused. Jobs accepted beyond the store's write rate would delay the results of all jobs.
func (api *API) endDelayLimit() time.Duration { return api.settings.WorkerLease() }

// refuseForLoad reports whether the controller is overloaded, and then answers a submission with
// 503 and a Retry-After header. The repeated submission of a live job is not refused for a write
// backlog.
func (api *API) refuseForLoad(ctx context.Context, w http.ResponseWriter, id string) bool {
	if api.memoryFull() {
		// A process that runs out of memory serves nobody, and the next leader would run
		// out as well.
		api.refusals.memory.Add(1)
		replyRetryAfter(w, "memory is short", api.settings.HeartbeatInterval())
		return true
	}
	delay := api.waitingEnds.longestWait(time.Now(), api.settings.WorkerLease(), api.liveJobs.Lacks)
	if delay <= api.endDelayLimit() {
		return false
	}
	if _, isLive, err := api.liveJobs.Read(ctx, id); err == nil && isLive {
		return false
	}
	api.refusals.writeBacklog.Add(1)
	replyRetryAfter(w, "too many jobs end at once", api.settings.HeartbeatInterval())
	return true
}
