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

// fakeStore stands in for the store's listings and its change log.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	keys     map[string]wire.KeyValue
	log      []wire.Operation
	began    time.Time
	history  map[string][]transition
	requests int
	status   int           // that every request is answered, if it is not 0
	latency  time.Duration // there, and the same back
	frozenAt uint64        // a revision after which the change log shows nothing; 0: it shows all
}

// transition is a change of a key's existence.
type transition struct {
	at     time.Time
	exists bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		revision: 1, keys: make(map[string]wire.KeyValue), began: time.Now(),
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
	s.log = append(s.log, change)
	s.history[name] = append(s.history[name], transition{time.Now(), exists})
}

// locked changes how the store behaves.
func (s *fakeStore) locked(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// requestCount is how many requests came.
func (s *fakeStore) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// loseData takes the store back to a revision, with no keys.
func (s *fakeStore) loseData(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.log = revision, nil
	clear(s.keys)
}

// couldBe tells whether a key existed, or did not, at a moment between two.
func (s *fakeStore) couldBe(name string, exists bool, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := false
	for _, change := range s.history[name] {
		if change.at.After(to) {
			break
		}
		if !change.at.Before(from) && state == exists {
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

// delay lasts for the latency, or until the request's sender gives up.
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
	for _, change := range s.log {
		if change.ModRevision > after && change.ModRevision <= changes.Revision {
			changes.Events = append(changes.Events, change)
		}
	}
	body, _ := json.Marshal(changes)
	return http.StatusOK, body
}

// startView runs a view of a store, and its client, until the test ends or stop is called. It is
// called in a synctest bubble.
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
	var running sync.WaitGroup
	running.Go(func() { view.Run(ctx) })
	return view, client, func() {
		cancel()
		running.Wait()
		server.Close()
	}
}
