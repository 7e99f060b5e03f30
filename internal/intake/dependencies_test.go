package intake

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"rillflow/internal/access"
	"rillflow/internal/dataloss"
	"rillflow/internal/fleet"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// fakeStore is an HTTP key-value store that answers 503 while unavailable. It does not track
// revisions: compares check only whether a key exists.
type fakeStore struct {
	mu          sync.Mutex
	values      map[string]string
	unavailable bool
	keyReads    int
	onRead      func() // called after a read, before its response is sent
}

func (store *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.unavailable {
		w.WriteHeader(503)
		return
	}
	if key, ok := strings.CutPrefix(r.URL.Path, "/store/"); ok {
		store.keyReads++
		if store.onRead != nil {
			defer store.onRead()
		}
		if value, ok := store.values[key]; ok {
			fmt.Fprintf(w, `{"path":%q,"stamp":1,"data":%s}`, key, value)
			return
		}
		w.WriteHeader(404)
		return
	}
	if r.URL.Path == "/store" {
		if store.onRead != nil {
			defer store.onRead()
		}
		if value, ok := store.values[r.URL.Query().Get("under")]; ok {
			fmt.Fprintf(w, `{"items":[{"path":%q,"stamp":1,"data":%s}],"generation":2}`, r.URL.Query().Get("under"), value)
			return
		}
		fmt.Fprint(w, `{"items":[],"generation":2}`)
		return
	}
	var txn wire.Txn
	json.NewDecoder(r.Body).Decode(&txn)
	for _, compare := range txn.Compares {
		if _, exists := store.values[compare.Key]; exists != (compare.ModRevision > 0) {
			w.WriteHeader(409)
			fmt.Fprintf(w, `{"failed":[%q]}`, compare.Key)
			return
		}
	}
	for _, operation := range txn.Operations {
		if operation.Put != "" {
			store.values[operation.Put] = string(operation.Value)
		} else {
			delete(store.values, operation.Delete)
		}
	}
	fmt.Fprint(w, `{"generation":2}`)
}

// fakeDataLossState is a DataLossState with fixed return values.
type fakeDataLossState struct {
	phase                                      dataloss.Phase
	err                                        error
	dataLost, neverInitialized, replicaCurrent bool
	suspicionReason                            string
}

func (state *fakeDataLossState) Fence() ([]wire.Compare, dataloss.Phase, error) {
	return nil, state.phase, state.err
}
func (state *fakeDataLossState) SuspectDataLoss(reason string) { state.suspicionReason = reason }
func (state *fakeDataLossState) RecheckStore()                 {}
func (state *fakeDataLossState) DataLost() bool                { return state.dataLost }
func (state *fakeDataLossState) NeverInitialized() bool        { return state.neverInitialized }
func (state *fakeDataLossState) JustStarted() bool             { return false }
func (state *fakeDataLossState) ReplicaCurrent() bool          { return state.replicaCurrent }

// fakeBroadcaster is a CancellationBroadcaster that records the jobs it is called for.
type fakeBroadcaster struct {
	err        error
	broadcasts []string
}

func (broadcaster *fakeBroadcaster) Broadcast(_ context.Context, id string) error {
	broadcaster.broadcasts = append(broadcaster.broadcasts, id)
	return broadcaster.err
}

func newAPIWithStore(t *testing.T, store *fakeStore) (*API, *http.ServeMux) {
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	var dialer net.Dialer
	return newTestAPI(kvstore.New(kvstore.Options{Addr: strings.TrimPrefix(server.URL, "http://"), RequestsPerSecond: 1e4, Limits: kvstore.Limits{WritesPerSecond: 1e4}, Timeout: 5 * time.Second, Dial: dialer.DialContext}))
}

// newTestAPI returns an API on a store, and a mux with its routes.
func newTestAPI(store *kvstore.Client) (*API, *http.ServeMux) {
	config := &settings.Settings{Facts: settings.Facts{
		Teams: []settings.Team{{Name: "vision", CPUsMax: 64, GPUsMax: 4}},
		Store: settings.StoreLimits{RPS: 1e4, WriteRPS: 1e4, ValueKB: 16, TxnOps: 16, Announced: &settings.AnnouncedStoreLimits{ValueKB: 2, TxnOps: 4}},
	}}
	types := fleet.NewCatalogue(nil, time.Minute, nil)
	types.Set([]wire.InstanceType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}})
	api := New(config, store, types, func(context.Context, string) (int, int, bool, error) { return 0, 0, false, nil }, func() bool { return false }, func() bool { return false }, access.New(config, store, nil, slog.New(slog.DiscardHandler)), &fakeDataLossState{phase: dataloss.PhaseComplete, replicaCurrent: true}, replica.New(1<<20), &fakeBroadcaster{}, time.Now, slog.New(slog.DiscardHandler))
	mux := http.NewServeMux()
	api.Routes(mux)
	return api, mux
}

func submitJob(mux *http.ServeMux, id string, dependsOn []string, old, new string) *httptest.ResponseRecorder {
	dependencies, _ := json.Marshal(dependsOn)
	body := strings.Replace(validJob, `"ref":"req-000412"`, fmt.Sprintf(`"waits_on":%s,"ref":%q`, dependencies, id), 1)
	body = strings.Replace(body, old, new, 1)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(body)))
	return recorder
}

func jobIDs(count, digits int) []string {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("req-%0*d", digits, i))
	}
	return ids
}

// Guards against refusing requests for accepted jobs while memory is short. Only new jobs are
// refused then, with a Retry-After header.
func TestSubmissionsRefusedWhileMemoryFull(t *testing.T) {
	api, mux := newAPIWithStore(t, &fakeStore{values: map[string]string{"d/req-3": `{"phase":"done","tasks":4}`}})
	api.settings.Facts.Workers.HeartbeatSeconds = 2.5
	api.memoryFull = func() bool { return true }
	if recorder := submitJob(mux, "req-10", nil, "", ""); recorder.Code != 503 || recorder.Header().Get("Retry-After") != "3" {
		t.Errorf("submission: got status %d, Retry-After %q, want 503, \"3\"", recorder.Code, recorder.Header().Get("Retry-After"))
	}
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest("GET", "/v1/jobs/req-3", nil))
	if recorder.Code != 200 {
		t.Errorf("poll: got status %d, want 200", recorder.Code)
	}
	if recorder := submitJob(mux, "req-3", nil, "", ""); recorder.Code != 200 {
		t.Errorf("repeated submission of an ended job: got status %d, want 200", recorder.Code)
	}
}

func TestSubmitWithDependencies(t *testing.T) {
	stored := map[string]string{
		"j/req-1": `{"job":{"ref":"req-1","shape":"batch"},"at":1,"chunk":64}`,
		"j/req-2": `{"job":{"ref":"req-2","shape":"standing"},"at":1,"chunk":64}`,
		"d/req-3": `{"phase":"done","tasks":4}`,
		"d/req-4": `{"phase":"withdrawn","tasks":4,"job":{"ref":"req-4","shape":"batch"}}`,
		"d/req-5": `{"phase":"withdrawn","tasks":4,"job":{"ref":"req-5","shape":"standing"}}`,
		"j/req-6": `{"job":{"ref":"req-6","shape":"batch"},"at":1,"chunk":64}`,
		"d/req-7": `{"phase":"done","tasks":1}`,
	}
	for i, id := range jobIDs(200, 30) {
		stored[ledger.LiveKey(id)] = stored["j/req-1"]
		if i < 100 {
			stored[ledger.EndedKey("req-9"+id[5:])] = stored["d/req-3"]
		}
	}
	var ended []string
	for _, id := range jobIDs(100, 30) {
		ended = append(ended, "req-9"+id[5:])
	}
	for _, tc := range []struct {
		name      string
		id        string
		dependsOn []string
		status    int
		kept      []string // dependencies that are stored
	}{
		{"live", "req-10", []string{"req-1"}, 201, []string{"req-1"}},
		{"duplicates", "req-10", []string{"req-6", "req-1", "req-6"}, 201, []string{"req-1", "req-6"}},
		{"done dependencies are dropped", "req-10", []string{"req-3", "req-1", "req-7"}, 201, []string{"req-1"}},
		{"all dependencies done", "req-10", []string{"req-3"}, 201, nil},
		{"cancelled dependency is accepted", "req-10", []string{"req-4"}, 201, []string{"req-4"}},
		{"unknown dependency", "req-10", []string{"req-1", "req-8"}, 422, nil},
		{"dependency on itself", "req-10", []string{"req-10"}, 422, nil},
		{"dependency on a service", "req-10", []string{"req-2"}, 422, nil},
		{"dependency on an ended service", "req-10", []string{"req-5"}, 422, nil},
		{"malformed job ID", "req-10", []string{"nonsense"}, 400, nil},
		{"more dependencies than fit in a value", "req-10", jobIDs(100, 30), 422, nil},
		{"as many, but done", "req-10", ended, 201, nil},
		{"more than maxDependencies", "req-10", jobIDs(maxDependencies+1, 30), 422, nil},
		{"existing job, any dependencies", "req-6", []string{"req-8"}, 200, nil},
		{"ended job, any dependencies", "req-7", []string{"req-7"}, 200, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := &fakeStore{values: map[string]string{}}
			for key, value := range stored {
				store.values[key] = value
			}
			_, mux := newAPIWithStore(t, store)
			recorder := submitJob(mux, tc.id, tc.dependsOn, "", "")
			if recorder.Code != tc.status {
				t.Fatalf("got status %d, body %s, want %d", recorder.Code, recorder.Body, tc.status)
			}
			if tc.status != 201 {
				if _, exists := store.values["j/req-10"]; exists {
					t.Error("the rejected job is stored")
				}
				return
			}
			record, err := ledger.DecodeJobRecord([]byte(store.values["j/req-10"]))
			if err != nil || !reflect.DeepEqual(record.Job.DependsOn, tc.kept) {
				t.Errorf("got stored dependencies %v, error %v, want %v", record.Job.DependsOn, err, tc.kept)
			}
			if len(store.values["j/req-10"]) > 2<<10 {
				t.Errorf("got a record of %d bytes, want at most 2048", len(store.values["j/req-10"]))
			}
		})
	}
}

// Guards against keeping a user waiting while the store refuses requests: the response is an
// immediate 503 with a Retry-After header.
func TestDependenciesWhileStoreUnavailable(t *testing.T) {
	store := &fakeStore{values: map[string]string{}, unavailable: true}
	_, mux := newAPIWithStore(t, store)
	startedAt := time.Now()
	recorder := submitJob(mux, "req-10", []string{"req-1"}, "", "")
	if recorder.Code != 503 || recorder.Header().Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, want 503 with a delay", recorder.Code, recorder.Header().Get("Retry-After"))
	}
	if time.Since(startedAt) > time.Second {
		t.Error("the response took longer than 1 s")
	}
}

// Guards against repeated reads for dependencies that are known to be done or accepted.
func TestDependenciesFromCache(t *testing.T) {
	store := &fakeStore{values: map[string]string{"d/req-3": `{"phase":"done","tasks":4}`}}
	_, mux := newAPIWithStore(t, store)
	submitJob(mux, "req-10", []string{"req-3"}, "", "")
	readsBefore := store.keyReads
	if recorder := submitJob(mux, "req-11", []string{"req-3"}, "", ""); recorder.Code != 201 || store.keyReads != readsBefore {
		t.Errorf("dependency on a job known to be done: got status %d, %d reads, want 201 and none", recorder.Code, store.keyReads-readsBefore)
	}
	// A dependency on a job accepted here needs no read either; one on a service is rejected.
	if recorder := submitJob(mux, "req-12", []string{"req-10", "req-11"}, "", ""); recorder.Code != 201 || store.keyReads != readsBefore || !strings.Contains(store.values["j/req-12"], `"waits_on":["req-10","req-11"]`) {
		t.Errorf("dependencies on accepted jobs: got status %d, %d reads, record %s, want 201 and no read", recorder.Code, store.keyReads-readsBefore, store.values["j/req-12"])
	}
	if recorder := submitJob(mux, "req-13", nil, `"members":16`, `"members":1`); recorder.Code != 201 {
		t.Fatalf("submission: got status %d, want 201", recorder.Code)
	}
	submitJob(mux, "req-14", nil, `"shape":"batch","rank":"urgent","members":16`, `"shape":"standing","rank":"urgent","members":2`)
	if recorder := submitJob(mux, "req-15", []string{"req-14"}, "", ""); recorder.Code != 422 {
		t.Errorf("dependency on a service: got status %d, want 422", recorder.Code)
	}
}

// Guards against accepting a job that fits under the current limits of the store but not under
// the announced lower ones. It must be rejected before they are in force.
func TestSubmissionTooLargeForAnnouncedLimits(t *testing.T) {
	store := &fakeStore{values: map[string]string{}}
	_, mux := newAPIWithStore(t, store)
	flavors := `["g8"` + strings.Repeat(`,"another-type-of-machine"`, 90) + `]`
	if recorder := submitJob(mux, "req-10", nil, `["g8"]`, flavors); recorder.Code != 422 {
		t.Errorf("got status %d, body %s, want 422", recorder.Code, recorder.Body)
	}
}
