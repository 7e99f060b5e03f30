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

// Users answers users.
type Users struct {
	set    *settings.Settings
	st     *kvstore.Client
	types  *fleet.Catalogue
	counts Counts
	down   func() bool
	full   func() bool
	door   *access.Door
	log    *slog.Logger
	now    func() time.Time
	ended  *memory
	batch  *memory // jobs seen accepted that are no services
	past   Past
	copies *replica.Replica
	herald Herald
}

// Herald has a committed withdrawal known to whoever must know before a user is told.
type Herald interface {
	Broadcast(ctx context.Context, ref string) error
}

// known is what is told of a job, with whose it is where identities are on.
type known struct {
	wire.JobStatus
	owner  string
	herald bool // of a withdrawn job: a user may be told
}

// Counts tells a job's counts, if the leader knows it; an error if it cannot be asked.
type Counts func(ctx context.Context, ref string) (done, running int, ok bool, err error)

// New makes the users' side. counts tells a live job's counts where known; down
// whether the state service has not answered for long; full whether memory is
// short; door who may do what; past whether data may have been lost, and kept what this
// node remembers of it.
func New(set *settings.Settings, st *kvstore.Client, types *fleet.Catalogue, counts Counts, down, full func() bool, door *access.Door, past Past, kept *replica.Replica, herald Herald, now func() time.Time, log *slog.Logger) *Users {
	return &Users{set: set, st: st, types: types, counts: counts, down: down, full: full, door: door, past: past, copies: kept, herald: herald, log: log, now: now, ended: newMemory(4096), batch: newMemory(4096)}
}

// again tells whether to ask the state service once more after an error. What
// it refuses is answered at once, with a time to come back: a user is not to be
// kept waiting for what cannot be decided now. What got no answer, or came at a
// busy moment, may well be settled within the user's patience.
func (u *Users) again(ctx context.Context, err error, try int) bool {
	if errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrRateLimited) || u.down() {
		return false
	}
	return kvstore.Backoff(ctx, try, 20*time.Millisecond, 200*time.Millisecond)
}

// Routes adds the users' requests to a mux.
func (u *Users) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", u.submit)
	mux.HandleFunc("GET /v1/jobs/{ref}", u.poll)
	mux.HandleFunc("POST /v1/jobs/{ref}/withdraw", u.withdraw)
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

// busy tells the user to come back after the least time there is.
func busy(w http.ResponseWriter, why string) { later(w, why, time.Second) }

// later tells the user to come back after some time.
func later(w http.ResponseWriter, why string, after time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: why})
}

// patience bounds what one request may wait for the state service: a user
// waits 5 s for a submission and 2 s for a poll.
func (u *Users) patience(r *http.Request, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), d)
}

func (u *Users) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	ctx, cancel := u.patience(r, 2*time.Second)
	defer cancel()
	who, ok := u.who(w, r)
	if !ok {
		return
	}
	job, ref, bad := Parse(body)
	if err != nil {
		bad = errors.New("body too large or broken")
	}
	status := http.StatusBadRequest
	if bad == nil {
		bad = Runnable(&job, u.set, u.types.InstanceTypes())
		status = http.StatusUnprocessableEntity
	}
	if bad != nil {
		u.refuse(ctx, w, who, ref, status, bad)
		return
	}
	ask := rights.Request{Do: rights.Submit, Owner: job.Team, Rank: job.Priority}
	dec := u.door.Judge(who, ask, ref, "")
	if !dec.Allowed {
		u.refuse(ctx, w, who, ref, http.StatusForbidden, errors.New(dec.Rule))
		return
	}
	p, ok := u.final(ref)
	if ok {
		u.tell(ctx, w, who, p)
		return
	}
	if u.full() {
		// What was taken is served on; a process that ends for memory serves
		// nobody, and the next leader would be no better off.
		later(w, "memory is short", u.set.Report())
		return
	}
	began := u.now()
	var fresh bool
	if bad, err = u.needs(ctx, who, &job); bad == nil && err == nil {
		fresh, bad, err = u.accept(ctx, job, who, dec)
	}
	if bad != nil {
		status := http.StatusUnprocessableEntity
		if errors.Is(bad, errDenied) {
			status = http.StatusForbidden
		}
		u.refuse(ctx, w, who, ref, status, bad)
		return
	}
	if u.unauthorized(w, err) {
		return
	}
	if err != nil {
		u.log.Debug("submit", "job", ref, "err", err)
		busy(w, "state service")
		return
	}
	if fresh {
		u.log.Info("accepted", "job", ref, "who", who.Name, "class", job.Class, "owner", job.Team, "tasks", job.TaskCount, "cores", job.CPUs, "ram_gb", job.MemoryGB, "expect_s", job.ExpectedSeconds, "due_s", job.DeadlineSeconds, "waits_on", job.DependsOn, "bundle", job.Image, "size_gb", job.ImageGB, "took_ms", u.now().Sub(began).Milliseconds())
		reply(w, http.StatusCreated, wire.JobStatus{ID: ref, Phase: wire.PhaseQueued})
		return
	}
	if p, err = u.lookup(ctx, ref); err != nil {
		busy(w, "state service")
		return
	}
	u.tell(ctx, w, who, p)
}

// who finds out who makes a request, or answers it.
func (u *Users) who(w http.ResponseWriter, r *http.Request) (identity.Caller, bool) {
	c, err := u.door.Who(r)
	return c, !u.unauthorized(w, err)
}

// unauthorized answers a request whose token does not hold, or cannot be checked.
func (u *Users) unauthorized(w http.ResponseWriter, err error) bool {
	switch {
	case errors.Is(err, identity.ErrToken):
		w.Header().Set("WWW-Authenticate", `Bearer realm="rillflow"`)
		reply(w, http.StatusUnauthorized, wire.ErrorResponse{Error: identity.ErrToken.Error()})
	case errors.Is(err, identity.ErrStale):
		later(w, "identities cannot be checked", u.set.Report())
	default:
		return false
	}
	return true
}

// tell answers with a job's state, if the caller may know it.
func (u *Users) tell(ctx context.Context, w http.ResponseWriter, who identity.Caller, p known) {
	if dec := u.door.Judge(who, rights.Request{Do: rights.Read, Owner: p.owner}, p.ID, ""); !dec.Allowed {
		reply(w, http.StatusForbidden, wire.ErrorResponse{Error: dec.Rule})
		return
	}
	u.say(ctx, w, p)
}

// say answers with a job's state. That it is withdrawn is a promise about its tasks, so
// it is said only once those know that must keep it; until then the user comes back.
func (u *Users) say(ctx context.Context, w http.ResponseWriter, p known) {
	if p.JobStatus.Phase == wire.PhaseCancelled && !p.herald {
		if err := u.herald.Broadcast(ctx, p.ID); err != nil {
			u.log.Info("withdrawn, and not told yet", "job", p.ID, "err", err)
			busy(w, "withdrawn, to be known to all controllers")
			return
		}
		p.herald = true
		u.ended.put(p.ID, p)
	}
	reply(w, http.StatusOK, p.JobStatus)
}

// refuse answers a submission that cannot be taken. A job that is known is never
// refused, whatever this body says.
func (u *Users) refuse(ctx context.Context, w http.ResponseWriter, who identity.Caller, ref string, status int, bad error) {
	if ref != "" {
		p, err := u.lookup(ctx, ref)
		if err == nil {
			u.tell(ctx, w, who, p)
			return
		}
		if !errors.Is(err, kvstore.ErrNotFound) {
			busy(w, "state service")
			return
		}
	}
	if errors.Is(bad, ErrUndecided) {
		busy(w, bad.Error())
		return
	}
	reply(w, status, wire.ErrorResponse{Error: bad.Error()})
}

// errLarge: what must be remembered of a job does not fit a value of the state
// service.
var errLarge = errors.New("the job is too large to be stored")

// accept stores a job unless it is there already, and reports whether it was
// this call that did, or why the job can never be stored. Guards on both keys
// decide between concurrent calls, and between an answer that was lost and its
// repetition.
func (u *Users) accept(ctx context.Context, job wire.Job, who identity.Caller, dec rights.Decision) (fresh bool, bad, err error) {
	now, least := u.set.Facts.State, u.set.Facts.State.Least()
	rec := ledger.JobRecord{Job: job, SubmittedMS: u.now().UnixMilli(), ChunkTasks: ledger.ChunkTasks(now.ValueKB, least.ValueKB)}
	if err := u.door.Enter(&rec, who, dec); err != nil {
		return false, nil, err
	}
	data, err := ledger.Encode(rec)
	if err != nil {
		return false, nil, err
	}
	if float64(len(data)) > least.ValueKB*1024 {
		return false, errLarge, nil
	}
	if u.down() {
		return false, nil, kvstore.ErrRefused
	}
	put := wire.Operation{Put: ledger.LiveKey(job.ID), Value: data}
	for try := 0; ; try++ {
		var gen uint64
		var failed []string
		fence, err := u.fence()
		if err == nil && u.unstored(job.ID) {
			err = dataloss.ErrDataLossSuspected
		}
		if err == nil {
			gen, failed, err = u.st.Commit(ctx, wire.Txn{
				Compares:   slices.Concat([]wire.Compare{{Key: ledger.LiveKey(job.ID)}, {Key: ledger.EndedKey(job.ID)}}, fence, who.Guards),
				Operations: []wire.Operation{put},
			})
		}
		if err == nil && dataloss.CompareFailed(failed) {
			u.past.Check()
			err = dataloss.ErrDataLossSuspected
		}
		if err == nil && identity.Touched(failed) && !slices.Contains(failed, ledger.LiveKey(job.ID)) && !slices.Contains(failed, ledger.EndedKey(job.ID)) {
			// Withdrawn since the token was checked, or only changed: the next
			// try is judged by what it is then.
			return false, nil, identity.ErrToken
		}
		if err == nil {
			if len(failed) == 0 {
				u.copies.RecordOwnWrites(gen, put)
			}
			if len(failed) == 0 && job.Kind != wire.KindService {
				u.batch.put(job.ID, known{owner: job.Team})
			}
			return len(failed) == 0, nil, nil
		}
		if !u.again(ctx, err, try) && !u.opens(ctx, err, try) {
			return false, nil, err
		}
	}
}

// lookup reads a job's state. ErrNotFound means that it was not accepted when
// the live key was read: a job goes only from live to ended.
func (u *Users) lookup(ctx context.Context, ref string) (known, error) {
	if p, ok := u.final(ref); ok {
		return p, nil
	}
	if u.down() {
		return known{}, kvstore.ErrRefused
	}
	for try := 0; ; try++ {
		// What is stored while data may have been lost may be older than what was told,
		// and a node that has just begun cannot tell whether any was.
		_, err := u.fence()
		if err == nil && u.past.Young() {
			err = dataloss.ErrDataLossSuspected
		}
		var p known
		before := u.glance(ref)
		if err == nil {
			p, err = u.read(ctx, ref, before)
		}
		if errors.Is(err, kvstore.ErrNotFound) {
			p, err = u.absent(ctx, ref, before)
		}
		if err == nil || errors.Is(err, kvstore.ErrNotFound) {
			return p, err
		}
		if !u.again(ctx, err, try) {
			return p, err
		}
	}
}

func (u *Users) read(ctx context.Context, ref string, before glance) (known, error) {
	it, err := u.st.GetByListing(ctx, ledger.LiveKey(ref))
	if err == nil {
		if p, ok := u.returned(ref, before); ok {
			return p, nil
		}
		// The answer may be the one that showed that the history went back, behind an end
		// that another node told of and this one never heard of.
		if _, err := u.fence(); err != nil {
			return known{}, err
		}
		p := known{JobStatus: wire.JobStatus{ID: ref, Phase: wire.PhaseQueued}}
		if !u.door.Open() {
			rec, err := ledger.DecodeJobRecord(it.Value)
			if err != nil {
				return known{}, fmt.Errorf("intake: %s: %w", ref, err)
			}
			p.owner = rec.Job.Team
		}
		if done, running, ok, _ := u.counts(ctx, ref); ok {
			p.Done, p.Running = &done, &running
			if running > 0 {
				p.JobStatus.Phase = wire.PhaseRunning
			}
		}
		return p, nil
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return known{}, err
	}
	it, err = u.st.Get(ctx, ledger.EndedKey(ref))
	if err != nil {
		return known{}, err
	}
	var e ledger.EndRecord
	if err := json.Unmarshal(it.Value, &e); err != nil {
		return known{}, fmt.Errorf("intake: %s: %w", ref, err)
	}
	return u.remember(ref, e), nil
}

func (u *Users) remember(ref string, e ledger.EndRecord) known {
	zero := 0
	p := known{JobStatus: wire.JobStatus{ID: ref, Phase: e.Phase, Running: &zero}, owner: e.Team}
	if e.Phase == wire.PhaseDone {
		p.Done = &e.Tasks
	}
	if had, ok := u.ended.get(ref); ok {
		p.herald = had.herald
	}
	u.ended.put(ref, p)
	return p
}

func (u *Users) poll(w http.ResponseWriter, r *http.Request) {
	ref := r.PathValue("ref")
	if !ValidRef(ref) {
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such job"})
		return
	}
	who, ok := u.who(w, r)
	if !ok {
		return
	}
	ctx, cancel := u.patience(r, 1500*time.Millisecond)
	defer cancel()
	p, err := u.lookup(ctx, ref)
	switch {
	case err == nil:
		u.tell(ctx, w, who, p)
	case errors.Is(err, kvstore.ErrNotFound):
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such job"})
	default:
		busy(w, "state service")
	}
}

func (u *Users) withdraw(w http.ResponseWriter, r *http.Request) {
	ref := r.PathValue("ref")
	if !ValidRef(ref) {
		reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such job"})
		return
	}
	who, ok := u.who(w, r)
	if !ok {
		return
	}
	ctx, cancel := u.patience(r, 2*time.Second)
	defer cancel()
	for try := 0; ; try++ {
		p, err := u.end(ctx, who, ref)
		switch {
		case err == nil:
			u.say(ctx, w, p)
			return
		case errors.Is(err, errDenied):
			reply(w, http.StatusForbidden, wire.ErrorResponse{Error: err.Error()})
			return
		case u.unauthorized(w, err):
			return
		case errors.Is(err, kvstore.ErrNotFound):
			reply(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such job"})
			return
		case !u.again(ctx, err, try):
			busy(w, "state service")
			return
		}
	}
}

var errMoved = errors.New("intake: the job moved on")

// end withdraws a live job, once. The live key's stamp guards against the
// leader's claims and its last finish: whichever commits first holds.
func (u *Users) end(ctx context.Context, who identity.Caller, ref string) (known, error) {
	if p, ok := u.final(ref); ok {
		_, err := u.may(who, rights.Withdraw, p.owner, ref)
		return p, err
	}
	if u.down() {
		return known{}, kvstore.ErrRefused
	}
	fence, err := u.fence()
	if err != nil {
		return known{}, err
	}
	before := u.glance(ref)
	it, err := u.st.Get(ctx, ledger.LiveKey(ref))
	if errors.Is(err, kvstore.ErrNotFound) {
		p, err := u.read(ctx, ref, before)
		if errors.Is(err, kvstore.ErrNotFound) {
			return u.endLost(ctx, who, ref, fence, before)
		}
		if err == nil {
			_, err = u.may(who, rights.Withdraw, p.owner, ref)
		}
		return p, err
	}
	if err != nil {
		return known{}, err
	}
	if p, ok := u.returned(ref, before); ok {
		_, err := u.may(who, rights.Withdraw, p.owner, ref)
		return p, err
	}
	rec, err := ledger.DecodeJobRecord(it.Value)
	if err != nil {
		u.past.Doubt(fmt.Sprintf("the record of job %s cannot be read", ref))
		return known{}, fmt.Errorf("intake: %s: %w: %w", ref, dataloss.ErrDataLossSuspected, err)
	}
	dec, err := u.may(who, rights.Withdraw, rec.Job.Team, ref)
	if err != nil {
		return known{}, err
	}
	e := ledger.NewCancelledEndRecord(&rec, u.now())
	data, err := ledger.Encode(e)
	if err != nil {
		return known{}, err
	}
	told, err := u.door.Leave(rec, who, dec)
	if err != nil {
		return known{}, err
	}
	changes := []wire.Operation{{Delete: ledger.LiveKey(ref)}, {Put: ledger.EndedKey(ref), Value: data}}
	gen, failed, err := u.st.Commit(ctx, wire.Txn{
		Compares:   slices.Concat([]wire.Compare{{Key: ledger.LiveKey(ref), ModRevision: it.ModRevision}}, fence, who.Guards),
		Operations: append(slices.Clone(changes), told...),
	})
	if err != nil {
		return known{}, err
	}
	if dataloss.CompareFailed(failed) {
		u.past.Check()
		return known{}, dataloss.ErrDataLossSuspected
	}
	if slices.Contains(failed, ledger.LiveKey(ref)) {
		return known{}, errMoved
	}
	if len(failed) > 0 {
		return known{}, identity.ErrToken
	}
	u.copies.RecordOwnWrites(gen, changes...)
	return u.remember(ref, e), nil
}

// errDenied: no rule allows it.
var errDenied = errors.New("not allowed")

// may decides on a deed, and notes it where it is not allowed.
func (u *Users) may(who identity.Caller, do, owner, ref string) (rights.Decision, error) {
	dec := u.door.Judge(who, rights.Request{Do: do, Owner: owner}, ref, "")
	if dec.Allowed {
		return dec, nil
	}
	return dec, fmt.Errorf("%w: %s %s: %s", errDenied, do, ref, dec.Rule)
}

// memory keeps final states, which never change, up to a number of them.
type memory struct {
	mu   sync.Mutex
	max  int
	m    map[string]known
	ring []string
	next int
}

func newMemory(n int) *memory {
	return &memory{max: n, m: make(map[string]known), ring: make([]string, n)}
}

func (m *memory) get(ref string) (known, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.m[ref]
	return p, ok
}

func (m *memory) put(ref string, p known) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.m[ref]; !ok {
		delete(m.m, m.ring[m.next])
		m.ring[m.next] = ref
		m.next = (m.next + 1) % m.max
	}
	m.m[ref] = p
}
