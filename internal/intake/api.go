// Package intake is the job API, which every controller serves: users submit jobs, poll
// their status and cancel them. Transactions of the key-value store order concurrent
// requests.
//
// An API owns two caches of immutable facts: how jobs ended, and which jobs were accepted.
// Package serve routes users' requests to the API, including those that a peer forwards. The
// API must never answer with a state older than one that any controller has answered with,
// confirm a cancellation before all controllers that may renew leases of the job's workers
// have it, or report a job as unknown while the store may have lost data.
package intake

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/sync/singleflight"

	"rillflow/internal/access"
	"rillflow/internal/fleet"
	"rillflow/internal/identity"
	"rillflow/internal/kvstore"
	"rillflow/internal/readindex"
	"rillflow/internal/replica"
	"rillflow/internal/retry"
	"rillflow/internal/rights"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// MaxBody is the protocol's limit on a request body, in bytes.
const MaxBody = 64 << 10

// Time limits of requests. Users wait 5 s for the response to a submission or a cancellation
// and 2 s for the response to a poll; a request that takes longer than its limit is answered
// with a Retry-After header.
const (
	submitTimeout = 2 * time.Second
	cancelTimeout = 2 * time.Second
	pollTimeout   = 1500 * time.Millisecond
)

// Delays between attempts at a store operation within one request.
const (
	firstRetryDelay = 20 * time.Millisecond
	maxRetryDelay   = 200 * time.Millisecond
)

// jobCacheSize is the number of jobs that each cache holds.
const jobCacheSize = 4096

// API handles users' requests. It is safe for concurrent use.
type API struct {
	settings         *settings.Settings
	store            *kvstore.Client
	types            *fleet.Catalogue
	taskCounts       TaskCounts
	storeUnavailable func() bool
	memoryFull       func() bool
	authorizer       *access.Authorizer
	log              *slog.Logger
	now              func() time.Time
	finished         *jobCache
	accepted         *jobCache // accepted jobs other than services
	dataLoss         DataLossState
	replica          *replica.Replica
	broadcaster      CancellationBroadcaster
	polls            pollCounters
	liveJobs         *readindex.View[liveJob]
	waitingEnds      endTracker
	endReads         singleflight.Group // of the jobs that polled ones depend on, by ID
	refusals         refusalCounters
}

// CancellationBroadcaster sends a committed cancellation to all controllers that may renew
// the lease of a worker with tasks of the job. It returns an error while not all of them
// have acknowledged it.
type CancellationBroadcaster interface {
	Broadcast(ctx context.Context, job string) error
}

// TaskCounts returns how many tasks of a job are done and how many are running. ok reports
// whether the leader has the job; the error is not nil if the leader cannot be asked.
type TaskCounts func(ctx context.Context, job string) (done, running int, ok bool, err error)

// New creates the API. counts returns the task counts of live jobs, storeUnavailable reports
// whether the store has not answered for a long time, memoryFull whether the process is
// short of memory, and now returns the wall-clock time for the records of jobs.
func New(
	settings *settings.Settings, store *kvstore.Client, types *fleet.Catalogue, counts TaskCounts,
	storeUnavailable, memoryFull func() bool, authorizer *access.Authorizer, dataLoss DataLossState,
	replica *replica.Replica, broadcaster CancellationBroadcaster, now func() time.Time, log *slog.Logger,
) *API {
	api := &API{
		settings: settings, store: store, types: types, taskCounts: counts,
		storeUnavailable: storeUnavailable, memoryFull: memoryFull, authorizer: authorizer,
		dataLoss: dataLoss, replica: replica, broadcaster: broadcaster, log: log, now: now,
		finished: newJobCache(jobCacheSize), accepted: newJobCache(jobCacheSize),
	}
	api.liveJobs = readindex.New(api.liveJobsOptions())
	return api
}

// Routes registers the API's handlers with a mux.
func (api *API) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", api.submit)
	mux.HandleFunc("GET /v1/jobs/{ref}", api.poll)
	mux.HandleFunc("POST /v1/jobs/{ref}/withdraw", api.cancel)
}

// shouldRetry reports, after a backoff delay, whether to repeat a store operation that
// failed. A refusal by the store is passed on at once, with a Retry-After header, since
// waiting would not help. A lost response or a rate limit may well be overcome within the
// time that a user waits.
func (api *API) shouldRetry(ctx context.Context, err error, attempt int) bool {
	refused := errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrRateLimited)
	if refused || errors.Is(err, kvstore.ErrShed) || api.storeUnavailable() {
		return false
	}
	return retry.Backoff(ctx, attempt, firstRetryDelay, maxRetryDelay)
}

// identify returns the caller of a request. If it returns false, it has answered the request.
func (api *API) identify(w http.ResponseWriter, r *http.Request) (identity.Caller, bool) {
	caller, err := api.authorizer.Identify(r)
	return caller, !api.replyUnauthorized(w, err)
}

// requestedJob returns the job ID and the caller of a request. If it returns false, it has
// answered the request.
func (api *API) requestedJob(w http.ResponseWriter, r *http.Request) (id string, caller identity.Caller, ok bool) {
	id = r.PathValue("ref")
	if !ValidJobID(id) {
		replyError(w, http.StatusNotFound, noSuchJob)
		return id, caller, false
	}
	caller, ok = api.identify(w, r)
	return id, caller, ok
}

// errDenied reports that no access rule allows a request.
var errDenied = errors.New("not allowed")

// authorize decides on a request about a job. A refusal is logged and audited.
func (api *API) authorize(caller identity.Caller, action, team, job string) (rights.Decision, error) {
	decision := api.authorizer.DecideAndAudit(caller, rights.Request{Action: action, Team: team}, job, "")
	if decision.Allowed {
		return decision, nil
	}
	return decision, &deniedError{action: action, job: job, rule: decision.Rule}
}

// deniedError is errDenied with the requested action and the rule that decided.
type deniedError struct{ action, job, rule string }

func (e *deniedError) Error() string {
	return errDenied.Error() + ": " + e.action + " " + e.job + ": " + e.rule
}

func (e *deniedError) Is(target error) bool { return target == errDenied }

// rejectedError reports that a submission can never be accepted.
type rejectedError struct {
	status int // HTTP status of the response
	reason error
}

func (e *rejectedError) Error() string { return e.reason.Error() }

func (e *rejectedError) Unwrap() error { return e.reason }

// absentCompares returns compares that succeed only if none of the keys exists.
func absentCompares(keys ...string) []wire.Compare {
	compares := make([]wire.Compare, len(keys))
	for i, key := range keys {
		compares[i].Key = key
	}
	return compares
}
