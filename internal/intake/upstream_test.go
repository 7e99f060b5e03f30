package intake

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// storeLiveJob stores the record of a live job that depends on others.
func storeLiveJob(t *testing.T, store *fakeStore, id string, dependsOn ...string) {
	t.Helper()
	record, err := ledger.Encode(ledger.JobRecord{Job: wire.Job{
		ID: id, Team: "vision", Kind: wire.KindArray, TaskCount: 2, CPUs: 1, DependsOn: dependsOn,
	}})
	if err != nil {
		t.Fatal(err)
	}
	store.values[ledger.LiveKey(id)] = string(record)
}

func pollJob(mux *http.ServeMux, id string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/jobs/"+id, nil))
	return recorder
}

// Guards against calling a job queued after users were told that one that it depends on is cancelled:
// the leader stores the end of the dependent later, after an outage much later.
func TestDependentOfCancelledJobIsCancelled(t *testing.T) {
	const done, cancelled = `{"phase":"done","tasks":2}`, `{"phase":"withdrawn","tasks":2}`
	for _, tc := range []struct {
		name      string
		live      map[string][]string // dependencies by live job
		ended     map[string]string
		wantPhase string
		wantBody  string // "": not checked
	}{
		{"no dependencies", map[string][]string{"req-1": nil}, nil, wire.PhaseQueued, ""},
		{"the dependency is live", map[string][]string{"req-1": {"req-2"}, "req-2": nil}, nil, wire.PhaseQueued, ""},
		{"the dependency is done", map[string][]string{"req-1": {"req-2"}}, map[string]string{"req-2": done}, wire.PhaseQueued, ""},
		{"the dependency is cancelled", map[string][]string{"req-1": {"req-2"}}, map[string]string{"req-2": cancelled},
			wire.PhaseCancelled, `{"ref":"req-1","phase":"withdrawn","running":0}`},
		{"one of several is cancelled", map[string][]string{"req-1": {"req-2", "req-3", "req-4"}, "req-2": nil},
			map[string]string{"req-3": done, "req-4": cancelled}, wire.PhaseCancelled, ""},
		{"upstream of the dependency", map[string][]string{"req-1": {"req-2"}, "req-2": {"req-3", "req-4"}, "req-3": {"req-4"}},
			map[string]string{"req-4": cancelled}, wire.PhaseCancelled, ""},
		{"ID of the dependency begins that of a cancelled job", map[string][]string{"req-1": {"req-2"}, "req-2": nil},
			map[string]string{"req-22": cancelled}, wire.PhaseQueued, ""},
		{"jobs that depend on each other", map[string][]string{"req-1": {"req-2"}, "req-2": {"req-1"}}, nil, wire.PhaseQueued, ""},
		{"the dependency's record was lost", map[string][]string{"req-1": {"req-2"}}, nil, wire.PhaseQueued, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := &fakeStore{values: map[string]string{}}
			for id, dependsOn := range tc.live {
				storeLiveJob(t, store, id, dependsOn...)
			}
			for id, end := range tc.ended {
				store.values[ledger.EndedKey(id)] = end
			}
			_, mux := newAPIWithStore(t, store)
			for name, got := range map[string]*httptest.ResponseRecorder{
				"poll": pollJob(mux, "req-1"), "repeated submission": submitJob(mux, "req-1", nil, "", ""),
			} {
				body := strings.TrimSpace(got.Body.String())
				if got.Code != 200 || !strings.Contains(body, fmt.Sprintf(`"phase":%q`, tc.wantPhase)) {
					t.Errorf("%s: got status %d, body %s, want 200 with phase %s", name, got.Code, body, tc.wantPhase)
				}
				if tc.wantBody != "" && body != tc.wantBody {
					t.Errorf("%s: got body %s, want %s", name, body, tc.wantBody)
				}
			}
		})
	}
}

// Guards against telling the user of a dependent before the controllers have acknowledged the
// cancellation that it depends on, against an older answer while that cannot be read, and against
// reads of ended dependencies that are repeated with each poll.
func TestDependentOfCancelledJobIsAnsweredOnceAcknowledged(t *testing.T) {
	store := &fakeStore{values: map[string]string{
		"d/req-2": `{"phase":"done","tasks":2}`, "d/req-3": `{"phase":"withdrawn","tasks":2}`,
	}}
	storeLiveJob(t, store, "req-1", "req-2", "req-3")
	api, mux := newAPIWithStore(t, store)
	broadcaster := &fakeBroadcaster{err: errors.New("not acknowledged by the leader")}
	api.broadcaster = broadcaster
	if got := pollJob(mux, "req-1"); got.Code != 503 {
		t.Errorf("before the leader acknowledged: got status %d, body %s, want 503", got.Code, got.Body)
	}
	broadcaster.err = nil
	for range 20 {
		if got := pollJob(mux, "req-1"); got.Code != 200 || !strings.Contains(got.Body.String(), wire.PhaseCancelled) {
			t.Fatalf("after the leader acknowledged: got status %d, body %s, want 200, withdrawn", got.Code, got.Body)
		}
	}
	if got := fmt.Sprint(broadcaster.broadcasts); got != "[req-3 req-3]" {
		t.Errorf("got broadcasts %s, want [req-3 req-3]", got)
	}
	if store.keyReads != 2 {
		t.Errorf("%d reads of ended dependencies, want 2", store.keyReads)
	}
	storeLiveJob(t, store, "req-4", "req-5")
	store.values["d/req-5"] = "not an end record"
	if got := pollJob(mux, "req-4"); got.Code != 503 {
		t.Errorf("unreadable end of a dependency: got status %d, body %s, want 503", got.Code, got.Body)
	}
}
