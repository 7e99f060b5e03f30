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

// fakeStore is a state service of a few fakeStore. It is up until down.
type fakeStore struct {
	mu          sync.Mutex
	values      map[string]string
	unavailable bool
	keyReads    int
	onRead      func() // what happens while the answer to a read is on its way
}

func (k *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unavailable {
		w.WriteHeader(503)
		return
	}
	if key, ok := strings.CutPrefix(r.URL.Path, "/store/"); ok {
		k.keyReads++
		if k.onRead != nil {
			defer k.onRead()
		}
		if v, ok := k.values[key]; ok {
			fmt.Fprintf(w, `{"path":%q,"stamp":1,"data":%s}`, key, v)
			return
		}
		w.WriteHeader(404)
		return
	}
	if r.URL.Path == "/store" {
		if k.onRead != nil {
			defer k.onRead()
		}
		if v, ok := k.values[r.URL.Query().Get("under")]; ok {
			fmt.Fprintf(w, `{"items":[{"path":%q,"stamp":1,"data":%s}],"generation":2}`, r.URL.Query().Get("under"), v)
			return
		}
		fmt.Fprint(w, `{"items":[],"generation":2}`)
		return
	}
	var t wire.Txn
	json.NewDecoder(r.Body).Decode(&t)
	for _, g := range t.Compares {
		if _, there := k.values[g.Key]; there != (g.ModRevision > 0) {
			w.WriteHeader(409)
			fmt.Fprintf(w, `{"failed":[%q]}`, g.Key)
			return
		}
	}
	for _, c := range t.Operations {
		if c.Put != "" {
			k.values[c.Put] = string(c.Value)
		} else {
			delete(k.values, c.Delete)
		}
	}
	fmt.Fprint(w, `{"generation":2}`)
}

// fakeDataLossState is a history that is as it says.
type fakeDataLossState struct {
	phase                                      dataloss.Phase
	err                                        error
	dataLost, neverInitialized, replicaCurrent bool
	suspicionReason                            string
}

func (p *fakeDataLossState) Fence() ([]wire.Compare, dataloss.Phase, error) {
	return nil, p.phase, p.err
}
func (p *fakeDataLossState) SuspectDataLoss(why string) { p.suspicionReason = why }
func (p *fakeDataLossState) RecheckStore()              {}
func (p *fakeDataLossState) DataLost() bool             { return p.dataLost }
func (p *fakeDataLossState) NeverInitialized() bool     { return p.neverInitialized }
func (p *fakeDataLossState) JustStarted() bool          { return false }
func (p *fakeDataLossState) ReplicaCurrent() bool       { return p.replicaCurrent }

// fakeBroadcaster stands in for those who must know of a withdrawal before a user does.
type fakeBroadcaster struct {
	err        error
	broadcasts []string
}

func (h *fakeBroadcaster) Broadcast(_ context.Context, ref string) error {
	h.broadcasts = append(h.broadcasts, ref)
	return h.err
}

func newAPIWithStore(t *testing.T, k *fakeStore) (*API, *http.ServeMux) {
	srv := httptest.NewServer(k)
	t.Cleanup(srv.Close)
	var d net.Dialer
	return newTestAPI(kvstore.New(kvstore.Options{Addr: strings.TrimPrefix(srv.URL, "http://"), RequestsPerSecond: 1e4, Limits: kvstore.Limits{WritesPerSecond: 1e4}, Timeout: 5 * time.Second, Dial: d.DialContext}))
}

// newTestAPI is an API of a store, with its routes.
func newTestAPI(st *kvstore.Client) (*API, *http.ServeMux) {
	set := &settings.Settings{Facts: settings.Facts{
		Teams: []settings.Team{{Name: "vision", CPUsMax: 64, GPUsMax: 4}},
		Store: settings.StoreLimits{RPS: 1e4, WriteRPS: 1e4, ValueKB: 16, TxnOps: 16, Announced: &settings.AnnouncedStoreLimits{ValueKB: 2, TxnOps: 4}},
	}}
	types := fleet.NewCatalogue(nil, time.Minute, nil)
	types.Set([]wire.InstanceType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}})
	u := New(set, st, types, func(context.Context, string) (int, int, bool, error) { return 0, 0, false, nil }, func() bool { return false }, func() bool { return false }, access.New(set, st, nil, slog.New(slog.DiscardHandler)), &fakeDataLossState{phase: dataloss.PhaseComplete, replicaCurrent: true}, replica.New(1<<20), &fakeBroadcaster{}, time.Now, slog.New(slog.DiscardHandler))
	mux := http.NewServeMux()
	u.Routes(mux)
	return u, mux
}

func submitJob(mux *http.ServeMux, ref string, waits []string, old, new string) *httptest.ResponseRecorder {
	list, _ := json.Marshal(waits)
	body := strings.Replace(validJob, `"ref":"req-000412"`, fmt.Sprintf(`"waits_on":%s,"ref":%q`, list, ref), 1)
	body = strings.Replace(body, old, new, 1)
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(body)))
	return rec
}

func jobIDs(n, digits int) []string {
	var rs []string
	for i := range n {
		rs = append(rs, fmt.Sprintf("req-%0*d", digits, i))
	}
	return rs
}

// With memory short a new job is turned away with a time to come back, and what was
// taken is served on.
func TestMemoryShort(t *testing.T) {
	u, mux := newAPIWithStore(t, &fakeStore{values: map[string]string{"d/req-3": `{"phase":"done","tasks":4}`}})
	u.settings.Facts.Workers.HeartbeatSeconds = 2.5
	u.memoryFull = func() bool { return true }
	if rec := submitJob(mux, "req-10", nil, "", ""); rec.Code != 503 || rec.Header().Get("Retry-After") != "3" {
		t.Errorf("submission: %d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
	}
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest("GET", "/v1/jobs/req-3", nil))
	if rec.Code != 200 {
		t.Errorf("poll: %d", rec.Code)
	}
	if rec := submitJob(mux, "req-3", nil, "", ""); rec.Code != 200 {
		t.Errorf("a known job again: %d", rec.Code)
	}
}

func TestSubmitWithNeeds(t *testing.T) {
	stored := map[string]string{
		"j/req-1": `{"job":{"ref":"req-1","shape":"batch"},"at":1,"chunk":64}`,
		"j/req-2": `{"job":{"ref":"req-2","shape":"standing"},"at":1,"chunk":64}`,
		"d/req-3": `{"phase":"done","tasks":4}`,
		"d/req-4": `{"phase":"withdrawn","tasks":4,"job":{"ref":"req-4","shape":"batch"}}`,
		"d/req-5": `{"phase":"withdrawn","tasks":4,"job":{"ref":"req-5","shape":"standing"}}`,
		"j/req-6": `{"job":{"ref":"req-6","shape":"batch"},"at":1,"chunk":64}`,
		"d/req-7": `{"phase":"done","tasks":1}`,
	}
	for i, r := range jobIDs(200, 30) {
		stored[ledger.LiveKey(r)] = stored["j/req-1"]
		if i < 100 {
			stored[ledger.EndedKey("req-9"+r[5:])] = stored["d/req-3"]
		}
	}
	var ended []string
	for _, r := range jobIDs(100, 30) {
		ended = append(ended, "req-9"+r[5:])
	}
	for _, tc := range []struct {
		name   string
		ref    string
		waits  []string
		status int
		kept   []string
	}{
		{"live", "req-10", []string{"req-1"}, 201, []string{"req-1"}},
		{"named twice", "req-10", []string{"req-6", "req-1", "req-6"}, 201, []string{"req-1", "req-6"}},
		{"done ones need not be kept", "req-10", []string{"req-3", "req-1", "req-7"}, 201, []string{"req-1"}},
		{"all done", "req-10", []string{"req-3"}, 201, nil},
		{"withdrawn: accepted all the same", "req-10", []string{"req-4"}, 201, []string{"req-4"}},
		{"never accepted", "req-10", []string{"req-1", "req-8"}, 422, nil},
		{"itself", "req-10", []string{"req-10"}, 422, nil},
		{"a service", "req-10", []string{"req-2"}, 422, nil},
		{"a service that is over", "req-10", []string{"req-5"}, 422, nil},
		{"no reference", "req-10", []string{"nonsense"}, 400, nil},
		{"more than a value holds", "req-10", jobIDs(100, 30), 422, nil},
		{"as many done ones", "req-10", ended, 201, nil},
		{"more than are looked up", "req-10", jobIDs(maxDependencies+1, 30), 422, nil},
		{"known, whatever it names", "req-6", []string{"req-8"}, 200, nil},
		{"known and over, whatever it names", "req-7", []string{"req-7"}, 200, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := &fakeStore{values: map[string]string{}}
			for key, v := range stored {
				k.values[key] = v
			}
			_, mux := newAPIWithStore(t, k)
			rec := submitJob(mux, tc.ref, tc.waits, "", "")
			if rec.Code != tc.status {
				t.Fatalf("%d %s", rec.Code, rec.Body)
			}
			if tc.status != 201 {
				if _, there := k.values["j/req-10"]; there {
					t.Error("stored all the same")
				}
				return
			}
			r, err := ledger.DecodeJobRecord([]byte(k.values["j/req-10"]))
			if err != nil || !reflect.DeepEqual(r.Job.DependsOn, tc.kept) {
				t.Errorf("kept %v, %v", r.Job.DependsOn, err)
			}
			if len(k.values["j/req-10"]) > 2<<10 {
				t.Errorf("a record of %d bytes", len(k.values["j/req-10"]))
			}
		})
	}
}

// What cannot be decided is answered at once, with a time to come back.
func TestNeedsUndecided(t *testing.T) {
	k := &fakeStore{values: map[string]string{}, unavailable: true}
	_, mux := newAPIWithStore(t, k)
	began := time.Now()
	rec := submitJob(mux, "req-10", []string{"req-1"}, "", "")
	if rec.Code != 503 || rec.Header().Get("Retry-After") == "" {
		t.Errorf("%d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
	}
	if time.Since(began) > time.Second {
		t.Error("the user was kept waiting")
	}
}

// A final state is remembered: naming a job that is done again costs no read.
func TestNeedsFromMemory(t *testing.T) {
	k := &fakeStore{values: map[string]string{"d/req-3": `{"phase":"done","tasks":4}`}}
	_, mux := newAPIWithStore(t, k)
	submitJob(mux, "req-10", []string{"req-3"}, "", "")
	before := k.keyReads
	if rec := submitJob(mux, "req-11", []string{"req-3"}, "", ""); rec.Code != 201 || k.keyReads != before {
		t.Errorf("%d, %d reads", rec.Code, k.keyReads-before)
	}
	// So does naming one that was accepted here; a service is still told apart.
	if rec := submitJob(mux, "req-12", []string{"req-10", "req-11"}, "", ""); rec.Code != 201 || k.keyReads != before || !strings.Contains(k.values["j/req-12"], `"waits_on":["req-10","req-11"]`) {
		t.Errorf("%d, %d reads, %s", rec.Code, k.keyReads-before, k.values["j/req-12"])
	}
	if rec := submitJob(mux, "req-13", nil, `"members":16`, `"members":1`); rec.Code != 201 {
		t.Fatal(rec.Code)
	}
	submitJob(mux, "req-14", nil, `"shape":"batch","rank":"urgent","members":16`, `"shape":"standing","rank":"urgent","members":2`)
	if rec := submitJob(mux, "req-15", []string{"req-14"}, "", ""); rec.Code != 422 {
		t.Errorf("a service named: %d", rec.Code)
	}
}

// A submission too large to be stored under the announced limits is refused for
// good before they are in force, and not only then.
func TestTooLarge(t *testing.T) {
	k := &fakeStore{values: map[string]string{}}
	_, mux := newAPIWithStore(t, k)
	flavors := `["g8"` + strings.Repeat(`,"another-type-of-machine"`, 90) + `]`
	if rec := submitJob(mux, "req-10", nil, `["g8"]`, flavors); rec.Code != 422 {
		t.Errorf("%d %s", rec.Code, rec.Body)
	}
}
