package intake

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"rillflow/internal/dataloss"
	"rillflow/internal/wire"
)

// Guards against wrong responses to users while the store may have lost data, during its recovery,
// and when it contradicts this controller's replica.
func TestAnswersAroundDataLoss(t *testing.T) {
	const live, done = `{"job":{"ref":"req-1","members":1},"at":1,"chunk":8}`, `{"phase":"done","tasks":4}`
	complete := fakeDataLossState{phase: dataloss.PhaseComplete, replicaCurrent: true}
	restoring := fakeDataLossState{phase: dataloss.PhaseRestoringResults, replicaCurrent: true}
	lost := fakeDataLossState{phase: dataloss.PhaseComplete, replicaCurrent: true, dataLost: true}
	for _, tc := range []struct {
		name        string
		state       fakeDataLossState
		stored      map[string]string
		replicated  map[string]string
		request     string // method, or END to cancel, and job ID
		status      int
		phase       string
		isSuspected bool
	}{
		{"suspected: unknown job", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, nil, nil, "GET req-1", 503, "", false},
		{"suspected: live job, whose stored state may be stale", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, map[string]string{"j/req-1": live}, nil, "GET req-1", 503, "", false},
		{"suspected: end in the replica", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, nil, map[string]string{"d/req-1": done}, "GET req-1", 200, wire.PhaseDone, false},
		{"suspected: submission", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, nil, nil, "POST req-1", 503, "", false},
		{"suspected: cancellation", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, map[string]string{"j/req-1": live}, nil, "END req-1", 503, "", false},
		{"suspected: cancellation of an ended job", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, nil, map[string]string{"d/req-1": done}, "END req-1", 200, wire.PhaseDone, false},
		{"recovering: submission", fakeDataLossState{phase: dataloss.PhaseRecovering, replicaCurrent: true}, nil, nil, "POST req-1", 503, "", false},
		{"recovering: live job", fakeDataLossState{phase: dataloss.PhaseRecovering, replicaCurrent: true}, map[string]string{"j/req-1": live}, nil, "GET req-1", 503, "", false},
		{"provisional: unknown job", fakeDataLossState{phase: dataloss.PhaseProvisional, replicaCurrent: true}, nil, nil, "GET req-1", 503, "", false},
		{"provisional: submission", fakeDataLossState{phase: dataloss.PhaseProvisional, replicaCurrent: true}, nil, nil, "POST req-1", 201, wire.PhaseQueued, false},
		{"restoring results: unknown job, before all sources were read", restoring, nil, nil, "GET req-1", 503, "", false},
		{"restoring results: submission", restoring, nil, nil, "POST req-1", 201, wire.PhaseQueued, false},
		{"restoring results: no replica yet", fakeDataLossState{phase: dataloss.PhaseRestoringResults}, nil, nil, "GET req-1", 503, "", false},
		{"restoring results: end only in the replica", restoring, nil, map[string]string{"d/req-1": done}, "GET req-1", 200, wire.PhaseDone, false},
		{"restoring results: repeated submission, end only in the replica", restoring, nil, map[string]string{"d/req-1": done}, "POST req-1", 200, wire.PhaseDone, false},
		{"complete: unknown job", complete, nil, nil, "GET req-1", 404, "", false},
		{"complete: unknown job, controller just started", fakeDataLossState{phase: dataloss.PhaseComplete}, nil, nil, "GET req-1", 503, "", false},
		{"complete: live job missing from the store", complete, nil, map[string]string{"j/req-1": live}, "GET req-1", 503, "", true},
		{"complete: end missing from the store", complete, nil, map[string]string{"d/req-1": done}, "GET req-1", 503, "", true},
		{"complete: ended job stored as live", complete, map[string]string{"j/req-1": live}, map[string]string{"d/req-1": done}, "GET req-1", 200, wire.PhaseDone, true},
		{"complete: cancellation of an ended job stored as live", complete, map[string]string{"j/req-1": live}, map[string]string{"d/req-1": done}, "END req-1", 200, wire.PhaseDone, true},
		{"data lost: job known from workers", lost, nil, nil, "GET req-7", 200, wire.PhaseRunning, false},
		{"data lost: cancellation of a job known from workers", lost, nil, nil, "END req-7", 200, wire.PhaseCancelled, false},
		{"data lost: unknown job", lost, nil, nil, "GET req-8", 404, "", false},
		{"no data lost: workers are not consulted", complete, nil, nil, "GET req-7", 404, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := &fakeStore{values: map[string]string{}}
			for key, value := range tc.stored {
				store.values[key] = value
			}
			api, mux := newAPIWithStore(t, store)
			api.dataLoss = &tc.state
			api.taskCounts = func(_ context.Context, id string) (int, int, bool, error) { return 0, 3, id == "req-7", nil }
			for key, value := range tc.replicated {
				api.replica.Apply(1, wire.Operation{Put: key, Value: []byte(value)})
			}
			verb, id, _ := strings.Cut(tc.request, " ")
			recorder := httptest.NewRecorder()
			switch verb {
			case "POST":
				recorder = submitJob(mux, id, nil, "", "")
			case "END":
				mux.ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/jobs/"+id+"/withdraw", nil))
			default:
				mux.ServeHTTP(recorder, httptest.NewRequest("GET", "/v1/jobs/"+id, nil))
			}
			if recorder.Code != tc.status || tc.phase != "" && !strings.Contains(recorder.Body.String(), `"`+tc.phase+`"`) {
				t.Errorf("got status %d, body %s, want status %d, phase %q", recorder.Code, recorder.Body, tc.status, tc.phase)
			}
			if (tc.state.suspicionReason != "") != tc.isSuspected {
				t.Errorf("got suspicion %q, want one: %v", tc.state.suspicionReason, tc.isSuspected)
			}
			if recorder.Code == 503 && recorder.Header().Get("Retry-After") == "" {
				t.Error("503 without a Retry-After header")
			}
			if tc.phase == wire.PhaseCancelled && store.values["d/"+id] == "" {
				t.Error("the cancellation is not stored")
			}
		})
	}
}

// Guards against a false suspicion of data loss, which once stopped all placement for ten
// seconds. A job may be accepted or end while a read of it is in flight, and the replica may
// learn of that before the response arrives.
func TestReplicaChangesDuringRead(t *testing.T) {
	const live, done = `{"job":{"ref":"req-1","members":1},"at":1,"chunk":8}`, `{"phase":"done","tasks":4}`
	for _, tc := range []struct {
		name       string
		stored     map[string]string
		replicated wire.Operation // reaches the replica during the read; empty: data loss is suspected
		method     string
		status     int
		phase      string
	}{
		{"poll, job finishes during the read", map[string]string{"j/req-1": live}, wire.Operation{Put: "d/req-1", Value: []byte(done)}, "GET", 200, wire.PhaseDone},
		{"cancellation, job finishes during the read", map[string]string{"j/req-1": live}, wire.Operation{Put: "d/req-1", Value: []byte(done)}, "POST", 200, wire.PhaseDone},
		{"poll, job accepted during the read", nil, wire.Operation{Put: "j/req-1", Value: []byte(live)}, "GET", 503, ""},
		{"poll, the read reveals that revisions went back", map[string]string{"j/req-1": live}, wire.Operation{}, "GET", 503, ""},
		{"cancellation, job accepted during the read", nil, wire.Operation{Put: "j/req-1", Value: []byte(live)}, "POST", 503, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := &fakeStore{values: map[string]string{}}
			for key, value := range tc.stored {
				store.values[key] = value
			}
			api, mux := newAPIWithStore(t, store)
			state := &fakeDataLossState{phase: dataloss.PhaseComplete, replicaCurrent: true}
			api.dataLoss = state
			store.onRead = func() {
				if tc.replicated.Put == "" {
					state.err = dataloss.ErrDataLossSuspected
				}
				api.replica.Apply(1, tc.replicated)
			}
			path := "/v1/jobs/req-1"
			if tc.method == "POST" {
				path += "/withdraw"
			}
			recorder := httptest.NewRecorder()
			mux.ServeHTTP(recorder, httptest.NewRequest(tc.method, path, nil))
			if recorder.Code != tc.status || tc.phase != "" && !strings.Contains(recorder.Body.String(), `"`+tc.phase+`"`) {
				t.Errorf("got status %d, body %s, want status %d, phase %q", recorder.Code, recorder.Body, tc.status, tc.phase)
			}
			if state.suspicionReason != "" {
				t.Errorf("got suspicion %q, want none", state.suspicionReason)
			}
		})
	}
}
