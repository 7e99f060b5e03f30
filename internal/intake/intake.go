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
	"strconv"
	"sync"
	"time"

	"rillflow/internal/fleet"
	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// MaxBody is the protocol's limit on a request.
const MaxBody = 64 << 10

// Users answers users.
type Users struct {
	set    *settings.Settings
	st     *state.Client
	types  *fleet.Catalogue
	counts func(ctx context.Context, ref string) (done, running int, ok bool)
	down   func() bool
	full   func() bool
	log    *slog.Logger
	now    func() time.Time
	ended  *memory
	batch  *memory // jobs seen accepted that are no services
}

// New makes the users' side. counts tells a live job's counts where known; down
// whether the state service has not answered for long; full whether memory is
// short.
func New(set *settings.Settings, st *state.Client, types *fleet.Catalogue, counts func(context.Context, string) (int, int, bool), down, full func() bool, log *slog.Logger) *Users {
	return &Users{set: set, st: st, types: types, counts: counts, down: down, full: full, log: log, now: time.Now, ended: newMemory(4096), batch: newMemory(4096)}
}

// again tells whether to ask the state service once more after an error. What
// it refuses is answered at once, with a time to come back: a user is not to be
// kept waiting for what cannot be decided now. What got no answer, or came at a
// busy moment, may well be settled within the user's patience.
func (u *Users) again(ctx context.Context, err error, try int) bool {
	if errors.Is(err, state.ErrRefused) && !errors.Is(err, state.ErrBusy) || u.down() {
		return false
	}
	return state.Backoff(ctx, try, 20*time.Millisecond, 200*time.Millisecond)
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
	reply(w, http.StatusServiceUnavailable, wire.Error{Error: why})
}

// patience bounds what one request may wait for the state service: a user
// waits 5 s for a submission and 2 s for a poll.
func (u *Users) patience(r *http.Request, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), d)
}

func (u *Users) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		reply(w, http.StatusBadRequest, wire.Error{Error: "body too large or broken"})
		return
	}
	ctx, cancel := u.patience(r, 2*time.Second)
	defer cancel()
	job, ref, bad := Parse(body)
	status := http.StatusBadRequest
	if bad == nil {
		bad = Runnable(&job, u.set, u.types.Types())
		status = http.StatusUnprocessableEntity
	}
	if bad != nil {
		u.refuse(ctx, w, ref, status, bad)
		return
	}
	if p, ok := u.ended.get(ref); ok {
		reply(w, http.StatusOK, p)
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
	if bad, err = u.needs(ctx, &job); bad == nil && err == nil {
		fresh, bad, err = u.accept(ctx, job)
	}
	if bad != nil {
		u.refuse(ctx, w, ref, http.StatusUnprocessableEntity, bad)
		return
	}
	if err != nil {
		u.log.Debug("submit", "job", ref, "err", err)
		busy(w, "state service")
		return
	}
	if fresh {
		u.log.Info("accepted", "job", ref, "class", job.Class, "owner", job.Owner, "tasks", job.Members, "cores", job.Cores, "ram_gb", job.RAM, "expect_s", job.ExpectS, "due_s", job.DueS, "waits_on", job.Needs, "bundle", job.Bundle, "size_gb", job.SizeGB, "took_ms", u.now().Sub(began).Milliseconds())
		reply(w, http.StatusCreated, wire.Phase{Ref: ref, Phase: wire.Queued})
		return
	}
	p, err := u.lookup(ctx, ref)
	if err != nil {
		busy(w, "state service")
		return
	}
	reply(w, http.StatusOK, p)
}

// refuse answers a submission that cannot be taken. A job that is known is never
// refused, whatever this body says.
func (u *Users) refuse(ctx context.Context, w http.ResponseWriter, ref string, status int, bad error) {
	if ref != "" {
		p, err := u.lookup(ctx, ref)
		if err == nil {
			reply(w, http.StatusOK, p)
			return
		}
		if !errors.Is(err, state.ErrNotFound) {
			busy(w, "state service")
			return
		}
	}
	if errors.Is(bad, ErrUndecided) {
		busy(w, bad.Error())
		return
	}
	reply(w, status, wire.Error{Error: bad.Error()})
}

// errLarge: what must be remembered of a job does not fit a value of the state
// service.
var errLarge = errors.New("the job is too large to be stored")

// accept stores a job unless it is there already, and reports whether it was
// this call that did, or why the job can never be stored. Guards on both keys
// decide between concurrent calls, and between an answer that was lost and its
// repetition.
func (u *Users) accept(ctx context.Context, job wire.Job) (fresh bool, bad, err error) {
	now, least := u.set.Facts.State, u.set.Facts.State.Least()
	data, err := ledger.Encode(ledger.Record{Job: job, AtMS: u.now().UnixMilli(), Chunk: ledger.ChunkTasks(now.ValueKB, least.ValueKB)})
	if err != nil {
		return false, nil, err
	}
	if float64(len(data)) > least.ValueKB*1024 {
		return false, errLarge, nil
	}
	if u.down() {
		return false, nil, state.ErrRefused
	}
	for try := 0; ; try++ {
		_, failed, err := u.st.Commit(ctx, wire.Commit{
			Guards: []wire.Guard{{Path: ledger.LiveKey(job.Ref)}, {Path: ledger.EndedKey(job.Ref)}},
			Apply:  []wire.Change{{Put: ledger.LiveKey(job.Ref), Data: data}},
		})
		if err == nil {
			if len(failed) == 0 && job.Shape != wire.Standing {
				u.batch.put(job.Ref, wire.Phase{})
			}
			return len(failed) == 0, nil, nil
		}
		if !u.again(ctx, err, try) {
			return false, nil, err
		}
	}
}

// lookup reads a job's state. ErrNotFound means that it was not accepted when
// the live key was read: a job goes only from live to ended.
func (u *Users) lookup(ctx context.Context, ref string) (wire.Phase, error) {
	if p, ok := u.ended.get(ref); ok {
		return p, nil
	}
	if u.down() {
		return wire.Phase{}, state.ErrRefused
	}
	for try := 0; ; try++ {
		p, err := u.read(ctx, ref)
		if err == nil || errors.Is(err, state.ErrNotFound) {
			return p, err
		}
		if !u.again(ctx, err, try) {
			return p, err
		}
	}
}

func (u *Users) read(ctx context.Context, ref string) (wire.Phase, error) {
	_, err := u.st.Get(ctx, ledger.LiveKey(ref))
	if err == nil {
		p := wire.Phase{Ref: ref, Phase: wire.Queued}
		if done, running, ok := u.counts(ctx, ref); ok {
			p.Done, p.Running = &done, &running
			if running > 0 {
				p.Phase = wire.Running
			}
		}
		return p, nil
	}
	if !errors.Is(err, state.ErrNotFound) {
		return wire.Phase{}, err
	}
	it, err := u.st.Get(ctx, ledger.EndedKey(ref))
	if err != nil {
		return wire.Phase{}, err
	}
	var e ledger.Ending
	if err := json.Unmarshal(it.Data, &e); err != nil {
		return wire.Phase{}, fmt.Errorf("intake: %s: %w", ref, err)
	}
	return u.remember(ref, e), nil
}

func (u *Users) remember(ref string, e ledger.Ending) wire.Phase {
	zero := 0
	p := wire.Phase{Ref: ref, Phase: e.Phase, Running: &zero}
	if e.Phase == wire.Done {
		p.Done = &e.Tasks
	}
	u.ended.put(ref, p)
	return p
}

func (u *Users) poll(w http.ResponseWriter, r *http.Request) {
	ref := r.PathValue("ref")
	if !ValidRef(ref) {
		reply(w, http.StatusNotFound, wire.Error{Error: "no such job"})
		return
	}
	ctx, cancel := u.patience(r, 1500*time.Millisecond)
	defer cancel()
	p, err := u.lookup(ctx, ref)
	switch {
	case err == nil:
		reply(w, http.StatusOK, p)
	case errors.Is(err, state.ErrNotFound):
		reply(w, http.StatusNotFound, wire.Error{Error: "no such job"})
	default:
		busy(w, "state service")
	}
}

func (u *Users) withdraw(w http.ResponseWriter, r *http.Request) {
	ref := r.PathValue("ref")
	if !ValidRef(ref) {
		reply(w, http.StatusNotFound, wire.Error{Error: "no such job"})
		return
	}
	ctx, cancel := u.patience(r, 2*time.Second)
	defer cancel()
	for try := 0; ; try++ {
		p, err := u.end(ctx, ref)
		switch {
		case err == nil:
			reply(w, http.StatusOK, p)
			return
		case errors.Is(err, state.ErrNotFound):
			reply(w, http.StatusNotFound, wire.Error{Error: "no such job"})
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
func (u *Users) end(ctx context.Context, ref string) (wire.Phase, error) {
	if p, ok := u.ended.get(ref); ok {
		return p, nil
	}
	if u.down() {
		return wire.Phase{}, state.ErrRefused
	}
	it, err := u.st.Get(ctx, ledger.LiveKey(ref))
	if errors.Is(err, state.ErrNotFound) {
		return u.read(ctx, ref)
	}
	if err != nil {
		return wire.Phase{}, err
	}
	rec, err := ledger.DecodeRecord(it.Data)
	if err != nil {
		return wire.Phase{}, fmt.Errorf("intake: %s: %w", ref, err)
	}
	e := ledger.WithdrawnEnding(&rec, u.now())
	data, err := ledger.Encode(e)
	if err != nil {
		return wire.Phase{}, err
	}
	_, failed, err := u.st.Commit(ctx, wire.Commit{
		Guards: []wire.Guard{{Path: ledger.LiveKey(ref), Stamp: it.Stamp}},
		Apply:  []wire.Change{{Remove: ledger.LiveKey(ref)}, {Put: ledger.EndedKey(ref), Data: data}},
	})
	if err != nil {
		return wire.Phase{}, err
	}
	if len(failed) > 0 {
		return wire.Phase{}, errMoved
	}
	return u.remember(ref, e), nil
}

// memory keeps final states, which never change, up to a number of them.
type memory struct {
	mu   sync.Mutex
	max  int
	m    map[string]wire.Phase
	ring []string
	next int
}

func newMemory(n int) *memory {
	return &memory{max: n, m: make(map[string]wire.Phase), ring: make([]string, n)}
}

func (m *memory) get(ref string) (wire.Phase, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.m[ref]
	return p, ok
}

func (m *memory) put(ref string, p wire.Phase) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.m[ref]; !ok {
		delete(m.m, m.ring[m.next])
		m.ring[m.next] = ref
		m.next = (m.next + 1) % m.max
	}
	m.m[ref] = p
}
