package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"rillflow/internal/access"
	"rillflow/internal/dataloss"
	"rillflow/internal/fleet"
	"rillflow/internal/identity"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/replica"
	"rillflow/internal/rights"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// MaxBody is the protocol's limit on a request.
const MaxBody = 64 << 10

// API answers users.
type API struct {
	settings         *settings.Settings
	store            *kvstore.Client
	types            *fleet.Catalogue
	taskCounts       TaskCounts
	storeUnavailable func() bool
	memoryFull       func() bool
	authorizer       *access.Door
	log              *slog.Logger
	now              func() time.Time
	finished         *jobCache
	accepted         *jobCache // jobs seen accepted that are no services
	dataLoss         DataLossState
	replica          *replica.Replica
	broadcaster      CancellationBroadcaster
}

// CancellationBroadcaster has a committed withdrawal known to whoever must know before a user is told.
type CancellationBroadcaster interface {
	Broadcast(ctx context.Context, ref string) error
}

// knownJob is what is told of a job, with whose it is where identities are on.
type knownJob struct {
	wire.JobStatus
	team                     string
	cancellationAcknowledged bool // of a withdrawn job: a user may be told
}

// TaskCounts tells a job's counts, if the leader knows it; an error if it cannot be asked.
type TaskCounts func(ctx context.Context, ref string) (done, running int, ok bool, err error)

// New makes the users' side. counts tells a live job's counts where known; down
// whether the state service has not answered for long; full whether memory is
// short; door who may do what; past whether data may have been lost, and kept what this
// node remembers of it.
func New(set *settings.Settings, st *kvstore.Client, types *fleet.Catalogue, counts TaskCounts, down, full func() bool, door *access.Door, past DataLossState, kept *replica.Replica, herald CancellationBroadcaster, now func() time.Time, log *slog.Logger) *API {
	return &API{settings: set, store: st, types: types, taskCounts: counts, storeUnavailable: down, memoryFull: full, authorizer: door, dataLoss: past, replica: kept, broadcaster: herald, log: log, now: now, finished: newJobCache(4096), accepted: newJobCache(4096)}
}

// shouldRetry tells whether to ask the state service once more after an error. What
// it refuses is answered at once, with a time to come back: a user is not to be
// kept waiting for what cannot be decided now. What got no answer, or came at a
// busy moment, may well be settled within the user's patience.
func (api *API) shouldRetry(ctx context.Context, err error, try int) bool {
	if errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrRateLimited) || api.storeUnavailable() {
		return false
	}
	return kvstore.Backoff(ctx, try, 20*time.Millisecond, 200*time.Millisecond)
}

// Routes adds the users' requests to a mux.
func (api *API) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", api.submit)
	mux.HandleFunc("GET /v1/jobs/{ref}", api.poll)
	mux.HandleFunc("POST /v1/jobs/{ref}/withdraw", api.cancel)
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

// replyBusy tells the user to come back after the least time there is.
func replyBusy(w http.ResponseWriter, why string) { replyRetryAfter(w, why, time.Second) }

// replyRetryAfter tells the user to come back after some time.
func replyRetryAfter(w http.ResponseWriter, why string, after time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: why})
}

// withTimeout bounds what one request may wait for the state service: a user
// waits 5 s for a submission and 2 s for a poll.
func (api *API) withTimeout(r *http.Request, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), d)
}

func (api *API) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	ctx, cancel := api.withTimeout(r, 2*time.Second)
	defer cancel()
	who, ok := api.identify(w, r)
	if !ok {
		return
	}
	job, ref, bad := Parse(body)
	if err != nil {
		bad = errors.New("body too large or broken")
	}
	status := http.StatusBadRequest
	if bad == nil {
		bad = Runnable(&job, api.settings, api.types.InstanceTypes())
		status = http.StatusUnprocessableEntity
	}
	if bad != nil {
		api.refuse(ctx, w, who, ref, status, bad)
		return
	}
	ask := rights.Request{Do: rights.Submit, Owner: job.Team, Rank: job.Priority}
	dec := api.authorizer.Judge(who, ask, ref, "")
	if !dec.Allowed {
		api.refuse(ctx, w, who, ref, http.StatusForbidden, errors.New(dec.Rule))
		return
	}
	p, ok := api.finishedState(ref)
	if ok {
		api.replyIfAllowed(ctx, w, who, p)
		return
	}
	if api.memoryFull() {
		// What was taken is served on; a process that ends for memory serves
		// nobody, and the next leader would be no better off.
		replyRetryAfter(w, "memory is short", api.settings.Report())
		return
	}
	began := api.now()
	var fresh bool
	if bad, err = api.resolveDependencies(ctx, who, &job); bad == nil && err == nil {
		fresh, bad, err = api.accept(ctx, job, who, dec)
	}
	if bad != nil {
		status := http.StatusUnprocessableEntity
		if errors.Is(bad, errDenied) {
			status = http.StatusForbidden
		}
		api.refuse(ctx, w, who, ref, status, bad)
		return
	}
	if api.replyUnauthorized(w, err) {
		return
	}
	if err != nil {
		api.log.Debug("submit", "job", ref, "err", err)
		replyBusy(w, "state service")
		return
	}
	if fresh {
		api.log.Info("accepted", "job", ref, "who", who.Name, "class", job.Class, "owner", job.Team, "tasks", job.TaskCount, "cores", job.CPUs, "ram_gb", job.MemoryGB, "expect_s", job.ExpectedSeconds, "due_s", job.DeadlineSeconds, "waits_on", job.DependsOn, "bundle", job.Image, "size_gb", job.ImageGB, "took_ms", api.now().Sub(began).Milliseconds())
		reply(w, http.StatusCreated, wire.JobStatus{ID: ref, Phase: wire.PhaseQueued})
		return
	}
	if p, err = api.lookup(ctx, ref); err != nil {
		replyBusy(w, "state service")
		return
	}
	api.replyIfAllowed(ctx, w, who, p)
}

// identify finds out who makes a request, or answers it.
func (api *API) identify(w http.ResponseWriter, r *http.Request) (identity.Caller, bool) {
	c, err := api.authorizer.Who(r)
	return c, !api.replyUnauthorized(w, err)
}

// replyUnauthorized answers a request whose token does not hold, or cannot be checked.
func (api *API) replyUnauthorized(w http.ResponseWriter, err error) bool {
	switch {
	case errors.Is(err, identity.ErrToken):
		w.Header().Set("WWW-Authenticate", `Bearer realm="rillflow"`)
		reply(w, http.StatusUnauthorized, wire.ErrorResponse{Error: identity.ErrToken.Error()})
	case errors.Is(err, identity.ErrStale):
		replyRetryAfter(w, "identities cannot be checked", api.settings.Report())
	default:
		return false
	}
	return true
}

// replyIfAllowed answers with a job's state, if the caller may know it.
func (api *API) replyIfAllowed(ctx context.Context, w http.ResponseWriter, who identity.Caller, p knownJob) {
	if dec := api.authorizer.Judge(who, rights.Request{Do: rights.Read, Owner: p.team}, p.ID, ""); !dec.Allowed {
		reply(w, http.StatusForbidden, wire.ErrorResponse{Error: dec.Rule})
		return
	}
	api.replyStatus(ctx, w, p)
}

// replyStatus answers with a job's state. That it is withdrawn is a promise about its tasks, so
// it is said only once those know that must keep it; until then the user comes back.
func (api *API) replyStatus(ctx context.Context, w http.ResponseWriter, p knownJob) {
	if p.JobStatus.Phase == wire.PhaseCancelled && !p.cancellationAcknowledged {
		if err := api.broadcaster.Broadcast(ctx, p.ID); err != nil {
			api.log.Info("withdrawn, and not told yet", "job", p.ID, "err", err)
			replyBusy(w, "withdrawn, to be known to all controllers")
			return
		}
		p.cancellationAcknowledged = true
		api.finished.put(p.ID, p)
	}
	reply(w, http.StatusOK, p.JobStatus)
}

// refuse answers a submission that cannot be taken. A job that is known is never
// refused, whatever this body says.
func (api *API) refuse(ctx context.Context, w http.ResponseWriter, who identity.Caller, ref string, status int, bad error) {
	if ref != "" {
		p, err := api.lookup(ctx, ref)
		if err == nil {
			api.replyIfAllowed(ctx, w, who, p)
			return
		}
		if !errors.Is(err, kvstore.ErrNotFound) {
			replyBusy(w, "state service")
			return
		}
	}
	if errors.Is(bad, ErrUndecided) {
		replyBusy(w, bad.Error())
		return
	}
	reply(w, status, wire.ErrorResponse{Error: bad.Error()})
}

// errTooLarge: what must be remembered of a job does not fit a value of the state
// service.
var errTooLarge = errors.New("the job is too large to be stored")

// accept stores a job unless it is there already, and reports whether it was
// this call that did, or why the job can never be stored. Guards on both keys
// decide between concurrent calls, and between an answer that was lost and its
// repetition.
func (api *API) accept(ctx context.Context, job wire.Job, who identity.Caller, dec rights.Decision) (fresh bool, bad, err error) {
	now, least := api.settings.Facts.State, api.settings.Facts.State.Least()
	rec := ledger.JobRecord{Job: job, SubmittedMS: api.now().UnixMilli(), ChunkTasks: ledger.ChunkTasks(now.ValueKB, least.ValueKB)}
	if err := api.authorizer.Enter(&rec, who, dec); err != nil {
		return false, nil, err
	}
	data, err := ledger.Encode(rec)
	if err != nil {
		return false, nil, err
	}
	if float64(len(data)) > least.ValueKB*1024 {
		return false, errTooLarge, nil
	}
	if api.storeUnavailable() {
		return false, nil, kvstore.ErrRefused
	}
	put := wire.Operation{Put: ledger.LiveKey(job.ID), Value: data}
	for try := 0; ; try++ {
		var gen uint64
		var failed []string
		fence, err := api.compareIncarnation()
		if err == nil && api.endNotRestored(job.ID) {
			err = dataloss.ErrDataLossSuspected
		}
		if err == nil {
			gen, failed, err = api.store.Commit(ctx, wire.Txn{
				Compares:   slices.Concat([]wire.Compare{{Key: ledger.LiveKey(job.ID)}, {Key: ledger.EndedKey(job.ID)}}, fence, who.Guards),
				Operations: []wire.Operation{put},
			})
		}
		if err == nil && dataloss.CompareFailed(failed) {
			api.dataLoss.RecheckStore()
			err = dataloss.ErrDataLossSuspected
		}
		if err == nil && identity.Touched(failed) && !slices.Contains(failed, ledger.LiveKey(job.ID)) && !slices.Contains(failed, ledger.EndedKey(job.ID)) {
			// Withdrawn since the token was checked, or only changed: the next
			// try is judged by what it is then.
			return false, nil, identity.ErrToken
		}
		if err == nil {
			if len(failed) == 0 {
				api.replica.RecordOwnWrites(gen, put)
			}
			if len(failed) == 0 && job.Kind != wire.KindService {
				api.accepted.put(job.ID, knownJob{team: job.Team})
			}
			return len(failed) == 0, nil, nil
		}
		if !api.shouldRetry(ctx, err, try) && !api.awaitFirstLeader(ctx, err, try) {
			return false, nil, err
		}
	}
}

// lookup reads a job's state. ErrNotFound means that it was not accepted when
// the live key was read: a job goes only from live to ended.
func (api *API) lookup(ctx context.Context, ref string) (knownJob, error) {
	if p, ok := api.finishedState(ref); ok {
		return p, nil
	}
	if api.storeUnavailable() {
		return knownJob{}, kvstore.ErrRefused
	}
	for try := 0; ; try++ {
		// What is stored while data may have been lost may be older than what was told,
		// and a node that has just begun cannot tell whether any was.
		_, err := api.compareIncarnation()
		if err == nil && api.dataLoss.JustStarted() {
			err = dataloss.ErrDataLossSuspected
		}
		var p knownJob
		before := api.replicaView(ref)
		if err == nil {
			p, err = api.read(ctx, ref, before)
		}
		if errors.Is(err, kvstore.ErrNotFound) {
			p, err = api.lookupLost(ctx, ref, before)
		}
		if err == nil || errors.Is(err, kvstore.ErrNotFound) {
			return p, err
		}
		if !api.shouldRetry(ctx, err, try) {
			return p, err
		}
	}
}

func (api *API) read(ctx context.Context, ref string, before replicaView) (knownJob, error) {
	it, err := api.store.GetByListing(ctx, ledger.LiveKey(ref))
	if err == nil {
		if p, ok := api.finishedButStoredLive(ref, before); ok {
			return p, nil
		}
		// The answer may be the one that showed that the history went back, behind an end
		// that another node told of and this one never heard of.
		if _, err := api.compareIncarnation(); err != nil {
			return knownJob{}, err
		}
		p := knownJob{JobStatus: wire.JobStatus{ID: ref, Phase: wire.PhaseQueued}}
		if !api.authorizer.Open() {
			rec, err := ledger.DecodeJobRecord(it.Value)
			if err != nil {
				return knownJob{}, fmt.Errorf("intake: %s: %w", ref, err)
			}
			p.team = rec.Job.Team
		}
		if done, running, ok, _ := api.taskCounts(ctx, ref); ok {
			p.Done, p.Running = &done, &running
			if running > 0 {
				p.JobStatus.Phase = wire.PhaseRunning
			}
		}
		return p, nil
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return knownJob{}, err
	}
	it, err = api.store.Get(ctx, ledger.EndedKey(ref))
	if err != nil {
		return knownJob{}, err
	}
	var e ledger.EndRecord
	if err := json.Unmarshal(it.Value, &e); err != nil {
		return knownJob{}, fmt.Errorf("intake: %s: %w", ref, err)
	}
	return api.remember(ref, e), nil
}

func (api *API) remember(ref string, e ledger.EndRecord) knownJob {
	zero := 0
	p := knownJob{JobStatus: wire.JobStatus{ID: ref, Phase: e.Phase, Running: &zero}, team: e.Team}
	if e.Phase == wire.PhaseDone {
		p.Done = &e.Tasks
	}
	if had, ok := api.finished.get(ref); ok {
		p.cancellationAcknowledged = had.cancellationAcknowledged
	}
	api.finished.put(ref, p)
	return p
}

func (api *API) poll(w http.ResponseWriter, r *http.Request) {
	ref := r.PathValue("ref")
	if !ValidJobID(ref) {
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such job"})
		return
	}
	who, ok := api.identify(w, r)
	if !ok {
		return
	}
	ctx, cancel := api.withTimeout(r, 1500*time.Millisecond)
	defer cancel()
	p, err := api.lookup(ctx, ref)
	switch {
	case err == nil:
		api.replyIfAllowed(ctx, w, who, p)
	case errors.Is(err, kvstore.ErrNotFound):
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such job"})
	default:
		replyBusy(w, "state service")
	}
}

func (api *API) cancel(w http.ResponseWriter, r *http.Request) {
	ref := r.PathValue("ref")
	if !ValidJobID(ref) {
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such job"})
		return
	}
	who, ok := api.identify(w, r)
	if !ok {
		return
	}
	ctx, cancel := api.withTimeout(r, 2*time.Second)
	defer cancel()
	for try := 0; ; try++ {
		p, err := api.cancelJob(ctx, who, ref)
		switch {
		case err == nil:
			api.replyStatus(ctx, w, p)
			return
		case errors.Is(err, errDenied):
			reply(w, http.StatusForbidden, wire.ErrorResponse{Error: err.Error()})
			return
		case api.replyUnauthorized(w, err):
			return
		case errors.Is(err, kvstore.ErrNotFound):
			reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such job"})
			return
		case !api.shouldRetry(ctx, err, try):
			replyBusy(w, "state service")
			return
		}
	}
}

var errJobChanged = errors.New("intake: the job moved on")

// cancelJob withdraws a live job, once. The live key's stamp guards against the
// leader's claims and its last finish: whichever commits first holds.
func (api *API) cancelJob(ctx context.Context, who identity.Caller, ref string) (knownJob, error) {
	if p, ok := api.finishedState(ref); ok {
		_, err := api.authorize(who, rights.Withdraw, p.team, ref)
		return p, err
	}
	if api.storeUnavailable() {
		return knownJob{}, kvstore.ErrRefused
	}
	fence, err := api.compareIncarnation()
	if err != nil {
		return knownJob{}, err
	}
	before := api.replicaView(ref)
	it, err := api.store.Get(ctx, ledger.LiveKey(ref))
	if errors.Is(err, kvstore.ErrNotFound) {
		p, err := api.read(ctx, ref, before)
		if errors.Is(err, kvstore.ErrNotFound) {
			return api.cancelLostJob(ctx, who, ref, fence, before)
		}
		if err == nil {
			_, err = api.authorize(who, rights.Withdraw, p.team, ref)
		}
		return p, err
	}
	if err != nil {
		return knownJob{}, err
	}
	if p, ok := api.finishedButStoredLive(ref, before); ok {
		_, err := api.authorize(who, rights.Withdraw, p.team, ref)
		return p, err
	}
	rec, err := ledger.DecodeJobRecord(it.Value)
	if err != nil {
		api.dataLoss.SuspectDataLoss(fmt.Sprintf("the record of job %s cannot be read", ref))
		return knownJob{}, fmt.Errorf("intake: %s: %w: %w", ref, dataloss.ErrDataLossSuspected, err)
	}
	dec, err := api.authorize(who, rights.Withdraw, rec.Job.Team, ref)
	if err != nil {
		return knownJob{}, err
	}
	e := ledger.NewCancelledEndRecord(&rec, api.now())
	data, err := ledger.Encode(e)
	if err != nil {
		return knownJob{}, err
	}
	told, err := api.authorizer.Leave(rec, who, dec)
	if err != nil {
		return knownJob{}, err
	}
	changes := []wire.Operation{{Delete: ledger.LiveKey(ref)}, {Put: ledger.EndedKey(ref), Value: data}}
	gen, failed, err := api.store.Commit(ctx, wire.Txn{
		Compares:   slices.Concat([]wire.Compare{{Key: ledger.LiveKey(ref), ModRevision: it.ModRevision}}, fence, who.Guards),
		Operations: append(slices.Clone(changes), told...),
	})
	if err != nil {
		return knownJob{}, err
	}
	if dataloss.CompareFailed(failed) {
		api.dataLoss.RecheckStore()
		return knownJob{}, dataloss.ErrDataLossSuspected
	}
	if slices.Contains(failed, ledger.LiveKey(ref)) {
		return knownJob{}, errJobChanged
	}
	if len(failed) > 0 {
		return knownJob{}, identity.ErrToken
	}
	api.replica.RecordOwnWrites(gen, changes...)
	return api.remember(ref, e), nil
}

// errDenied: no rule allows it.
var errDenied = errors.New("not allowed")

// authorize decides on a deed, and notes it where it is not allowed.
func (api *API) authorize(who identity.Caller, do, owner, ref string) (rights.Decision, error) {
	dec := api.authorizer.Judge(who, rights.Request{Do: do, Owner: owner}, ref, "")
	if dec.Allowed {
		return dec, nil
	}
	return dec, fmt.Errorf("%w: %s %s: %s", errDenied, do, ref, dec.Rule)
}

// jobCache keeps final states, which never change, up to a number of them.
type jobCache struct {
	mu   sync.Mutex
	max  int
	jobs map[string]knownJob
	ring []string
	next int
}

func newJobCache(n int) *jobCache {
	return &jobCache{max: n, jobs: make(map[string]knownJob), ring: make([]string, n)}
}

func (m *jobCache) get(ref string) (knownJob, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.jobs[ref]
	return p, ok
}

func (m *jobCache) put(ref string, p knownJob) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.jobs[ref]; !ok {
		delete(m.jobs, m.ring[m.next])
		m.ring[m.next] = ref
		m.next = (m.next + 1) % m.max
	}
	m.jobs[ref] = p
}
