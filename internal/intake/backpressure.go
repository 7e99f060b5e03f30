package intake

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// SubmissionRefusals counts submissions that were refused for want of room since the process
// began.
type SubmissionRefusals struct {
	Memory       int64 // memory is short
	WriteBacklog int64 // ends of jobs wait for long to be stored
}

// refusalCounters counts SubmissionRefusals. It is safe for concurrent use.
type refusalCounters struct{ memory, writeBacklog atomic.Int64 }

// SubmissionRefusals returns how many submissions were refused so far.
func (api *API) SubmissionRefusals() SubmissionRefusals {
	return SubmissionRefusals{
		Memory: api.refusals.memory.Load(), WriteBacklog: api.refusals.writeBacklog.Load(),
	}
}

// endDelayLimit is how long ends of jobs may wait to be stored while new jobs are accepted: what
// is accepted beyond what can be stored is told late to all.
func (api *API) endDelayLimit() time.Duration { return api.settings.WorkerLease() }

// refuseForLoad answers a submission that is to come again later, and reports whether it did. What
// was accepted is served on, also where the same job is submitted once more.
func (api *API) refuseForLoad(ctx context.Context, w http.ResponseWriter, id string) bool {
	if api.memoryFull() {
		// A process that ends for memory serves nobody, and the next leader would be no
		// better off.
		api.refusals.memory.Add(1)
		replyRetryAfter(w, "memory is short", api.settings.HeartbeatInterval())
		return true
	}
	delay := api.waitingEnds.longest(time.Now(), api.settings.WorkerLease(), api.liveJobs.Lacks)
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
