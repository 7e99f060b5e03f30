// Package intake is the job API: it accepts jobs, tells their status and cancels them, on
// every controller alike. The key-value store decides between concurrent requests.
//
// An API owns two caches of what never changes: how jobs ended, and which jobs were
// accepted. Package serve routes users' requests to it, those that a peer passes on
// included. It must not tell anything older than what any controller told before, tell a
// cancellation before all who may renew a lease know of it, or call a job unknown while
// the store's data may have been lost.
package intake

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

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

// MaxBody is the protocol's limit on a request, in bytes.
const MaxBody = 64 << 10

// A user waits 5 s for the answer to a submission or a cancellation, and 2 s for that to a
// poll. What takes longer than these is to be asked again.
const (
	submitTimeout = 2 * time.Second
	cancelTimeout = 2 * time.Second
	pollTimeout   = 1500 * time.Millisecond
)

// Delays between attempts at the store within one request.
const (
	firstRetryDelay   = 20 * time.Millisecond
	longestRetryDelay = 200 * time.Millisecond
)

// cachedJobs is how many jobs each cache keeps.
const cachedJobs = 4096

// API answers users. It is safe for concurrent use.
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
	accepted         *jobCache // jobs seen accepted that are no services
	dataLoss         DataLossState
	replica          *replica.Replica
	broadcaster      CancellationBroadcaster
	polls            pollCounters
	liveJobs         *readindex.View[liveJob]
	waitingEnds      endTracker
	refusals         refusalCounters
}

// CancellationBroadcaster has a committed cancellation known to all controllers that may
// renew the lease of a worker with the job's tasks. An error says that not all know yet.
type CancellationBroadcaster interface {
	Broadcast(ctx context.Context, job string) error
}

// TaskCounts tells how many tasks of a job are done and running, if the leader knows the
// job; an error if it cannot be asked.
type TaskCounts func(ctx context.Context, job string) (done, running int, ok bool, err error)

// New makes the API. counts tells a live job's counts where known, storeUnavailable
// whether the store has not answered for long, memoryFull whether memory is short, now the
// time of day by which jobs are stamped.
func New(
	settings *settings.Settings, store *kvstore.Client, types *fleet.Catalogue, counts TaskCounts,
	storeUnavailable, memoryFull func() bool, authorizer *access.Authorizer, dataLoss DataLossState,
	replica *replica.Replica, broadcaster CancellationBroadcaster, now func() time.Time, log *slog.Logger,
) *API {
	api := &API{
		settings: settings, store: store, types: types, taskCounts: counts,
		storeUnavailable: storeUnavailable, memoryFull: memoryFull, authorizer: authorizer,
		dataLoss: dataLoss, replica: replica, broadcaster: broadcaster, log: log, now: now,
		finished: newJobCache(cachedJobs), accepted: newJobCache(cachedJobs),
	}
	api.liveJobs = readindex.New(api.liveJobsOptions())
	return api
}

// Routes adds the API's requests to a mux.
func (api *API) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", api.submit)
	mux.HandleFunc("GET /v1/jobs/{ref}", api.poll)
	mux.HandleFunc("POST /v1/jobs/{ref}/withdraw", api.cancel)
}

// shouldRetry reports, after a delay, whether to ask the store once more after an error.
// What it refuses is answered at once, with a time to come back: a user is not to be
// kept waiting for what cannot be decided now. What got no answer, or came at a
// busy moment, may well be decided within the time a user waits.
func (api *API) shouldRetry(ctx context.Context, err error, attempt int) bool {
	refused := errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrRateLimited)
	if refused || errors.Is(err, kvstore.ErrShed) || api.storeUnavailable() {
		return false
	}
	return retry.Backoff(ctx, attempt, firstRetryDelay, longestRetryDelay)
}

// identify finds out who makes a request, or answers it.
func (api *API) identify(w http.ResponseWriter, r *http.Request) (identity.Caller, bool) {
	caller, err := api.authorizer.Identify(r)
	return caller, !api.replyUnauthorized(w, err)
}

// requestedJob finds out which job a request is about and who makes it, or answers it.
func (api *API) requestedJob(w http.ResponseWriter, r *http.Request) (id string, caller identity.Caller, ok bool) {
	id = r.PathValue("ref")
	if !ValidJobID(id) {
		replyError(w, http.StatusNotFound, noSuchJob)
		return id, caller, false
	}
	caller, ok = api.identify(w, r)
	return id, caller, ok
}

// errDenied says that no rule allows a request.
var errDenied = errors.New("not allowed")

// authorize decides on a request about a job, and has it noted where it is not allowed.
func (api *API) authorize(caller identity.Caller, do, team, job string) (rights.Decision, error) {
	decision := api.authorizer.DecideAndAudit(caller, rights.Request{Action: do, Team: team}, job, "")
	if decision.Allowed {
		return decision, nil
	}
	return decision, &deniedError{do: do, job: job, rule: decision.Rule}
}

// deniedError is errDenied with what was asked and the rule that decided.
type deniedError struct{ do, job, rule string }

func (e *deniedError) Error() string {
	return errDenied.Error() + ": " + e.do + " " + e.job + ": " + e.rule
}

func (e *deniedError) Is(target error) bool { return target == errDenied }

// rejectedError says that a submission can never be accepted.
type rejectedError struct {
	status int // HTTP status of the answer
	reason error
}

func (e *rejectedError) Error() string { return e.reason.Error() }

func (e *rejectedError) Unwrap() error { return e.reason }

// compareAbsent returns compares that hold while none of the keys exists.
func compareAbsent(keys ...string) []wire.Compare {
	compares := make([]wire.Compare, len(keys))
	for i, key := range keys {
		compares[i].Key = key
	}
	return compares
}
