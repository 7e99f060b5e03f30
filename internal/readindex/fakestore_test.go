package readindex

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/memnet"
	"rillflow/internal/wire"
)

const testPrefix = "j/"

// fakeStore is a fake of the store's listings and its change log.
type fakeStore struct {
	mu        sync.Mutex
	revision  uint64
	keys      map[string]wire.KeyValue
	changeLog []wire.Operation
	startedAt time.Time
	history   map[string][]transition
	requests  int
	status    int           // if not 0, the status of every answer
	latency   time.Duration // one way
	frozenAt  uint64        // last revision that the change log shows; 0: it shows all
}

// transition is the creation or deletion of a key.
type transition struct {
	at     time.Time
	exists bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		revision: 1, keys: make(map[string]wire.KeyValue), startedAt: time.Now(),
		history: make(map[string][]transition), latency: 3 * time.Millisecond,
	}
}

// set puts or deletes a key.
func (s *fakeStore) set(name string, exists bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	key := testPrefix + name
	change := wire.Operation{ModRevision: s.revision}
	if exists {
		change.Put, change.Value = key, json.RawMessage(`{}`)
		s.keys[key] = wire.KeyValue{Key: key, Value: change.Value, ModRevision: s.revision}
	} else {
		change.Delete = key
		delete(s.keys, key)
	}
	s.changeLog = append(s.changeLog, change)
	s.history[name] = append(s.history[name], transition{time.Now(), exists})
}

// withLock calls a function that changes the store, with the lock held.
func (s *fakeStore) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// requestCount returns the number of requests received.
func (s *fakeStore) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// loseData resets the store to a revision and deletes all keys and changes.
func (s *fakeStore) loseData(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.changeLog = revision, nil
	clear(s.keys)
}

// wasInState reports whether a key existed (or was missing, if exists is false) at any moment between
// start and end.
func (s *fakeStore) wasInState(name string, exists bool, start, end time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := false
	for _, change := range s.history[name] {
		if change.at.After(end) {
			break
		}
		if !change.at.Before(start) && state == exists {
			return true
		}
		state = change.exists
	}
	return state == exists
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.delay(r)
	status, body := s.answer(r)
	s.delay(r)
	w.WriteHeader(status)
	w.Write(body)
}

// delay waits for the latency, or until the client cancels the request.
func (s *fakeStore) delay(r *http.Request) {
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	select {
	case <-time.After(latency):
	case <-r.Context().Done():
	}
}

func (s *fakeStore) answer(r *http.Request) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.status != 0 {
		return s.status, nil
	}
	query := r.URL.Query()
	if r.URL.Path != "/changes" {
		page := wire.RangeResponse{Revision: s.revision}
		for _, item := range s.keys {
			page.Items = append(page.Items, item)
		}
		slices.SortFunc(page.Items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
		body, _ := json.Marshal(page)
		return http.StatusOK, body
	}
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	changes := wire.WatchResponse{Revision: s.revision}
	if s.frozenAt != 0 {
		changes.Revision = s.frozenAt
	}
	for _, change := range s.changeLog {
		if change.ModRevision > after && change.ModRevision <= changes.Revision {
			changes.Events = append(changes.Events, change)
		}
	}
	body, _ := json.Marshal(changes)
	return http.StatusOK, body
}

// startView runs a view of a store until stop is called, and returns it with its store client. It
// must be called in a synctest bubble.
func startView(t *testing.T, store *fakeStore, change func(*Options[int])) (view *View[int], client *kvstore.Client, stop func()) {
	t.Helper()
	listener := memnet.NewListener()
	server := &http.Server{Handler: store}
	go server.Serve(listener)
	client = kvstore.New(kvstore.Options{
		Addr: "store:1", RequestsPerSecond: 1000, Limits: kvstore.Limits{WritesPerSecond: 10},
		Timeout: time.Second, Dial: listener.Dial,
	})
	options := Options[int]{
		Store: client, Prefix: testPrefix, Interval: 20 * time.Millisecond, KeepAlive: 5 * time.Second,
		MaxWait: 300 * time.Millisecond, MaxKeys: 100, Log: slog.New(slog.DiscardHandler),
		Summarize: func(value []byte) int { return len(value) },
	}
	if change != nil {
		change(&options)
	}
	view = New(options)
	ctx, cancel := context.WithCancel(t.Context())
	var runLoop sync.WaitGroup
	runLoop.Go(func() { view.Run(ctx) })
	return view, client, func() {
		cancel()
		runLoop.Wait()
		server.Close()
	}
}
