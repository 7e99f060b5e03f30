package intake

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"rillflow/internal/wire"
)

// Guards against confirming a cancellation, in the response to any request, before all controllers
// that may renew leases of the job's workers have it. Once confirmed, it is answered from memory.
func TestCancellationConfirmedAfterBroadcast(t *testing.T) {
	store := &fakeStore{values: map[string]string{}}
	api, mux := newAPIWithStore(t, store)
	broadcaster := &fakeBroadcaster{err: errors.New("not acknowledged by the leader")}
	api.broadcaster = broadcaster
	if recorder := submitJob(mux, "req-1", nil, "", ""); recorder.Code != 201 {
		t.Fatalf("submission: got status %d, want 201", recorder.Code)
	}
	send := map[string]func() int{
		"withdraw": func() int {
			recorder := httptest.NewRecorder()
			mux.ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/jobs/req-1/withdraw", nil))
			return recorder.Code
		},
		"poll": func() int {
			recorder := httptest.NewRecorder()
			mux.ServeHTTP(recorder, httptest.NewRequest("GET", "/v1/jobs/req-1", nil))
			return recorder.Code
		},
		"submit": func() int { return submitJob(mux, "req-1", nil, "", "").Code },
	}
	for _, request := range []string{"withdraw", "withdraw", "poll", "submit"} {
		if code := send[request](); code != 503 {
			t.Errorf("%s before the leader acknowledged: got status %d, want 503", request, code)
		}
	}
	broadcaster.err = nil
	if code := send["poll"](); code != 200 {
		t.Errorf("poll after the leader acknowledged: got status %d, want 200", code)
	}
	broadcaster.err, broadcaster.broadcasts = errors.New("unexpected broadcast"), nil
	for request, sendRequest := range send {
		if code := sendRequest(); code != 200 || len(broadcaster.broadcasts) > 0 {
			t.Errorf("%s after the confirmation: got status %d, broadcasts %v, want 200 and none", request, code, broadcaster.broadcasts)
		}
	}
	if state, ok := api.finished.get("req-1"); !ok || state.JobStatus.Phase != wire.PhaseCancelled {
		t.Errorf("got cached state %+v, want a cancelled job", state)
	}
}

// Guards against a cancellation that overwrites the end of a job which finishes between the read
// and the commit: the first end must stay and be answered.
func TestCancelRacesWithFinish(t *testing.T) {
	store := &fakeStore{values: map[string]string{}}
	_, mux := newAPIWithStore(t, store)
	if recorder := submitJob(mux, "req-1", nil, "", ""); recorder.Code != 201 {
		t.Fatalf("submission: got status %d, want 201", recorder.Code)
	}
	store.onRead = func() {
		if _, live := store.values["j/req-1"]; live {
			delete(store.values, "j/req-1")
			store.values["d/req-1"] = `{"phase":"done","tasks":16}`
		}
	}
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/jobs/req-1/withdraw", nil))
	if recorder.Code != 200 || !strings.Contains(recorder.Body.String(), wire.PhaseDone) {
		t.Errorf("got status %d, body %s, want 200 with phase %s", recorder.Code, recorder.Body, wire.PhaseDone)
	}
	if end := store.values["d/req-1"]; !strings.Contains(end, wire.PhaseDone) {
		t.Errorf("got stored end %s, want phase %s", end, wire.PhaseDone)
	}
}

// Guards against calling a job queued to a user who cancels it: it is stored between the two reads of its live key.
func TestCancelWhileSubmissionIsStored(t *testing.T) {
	store := &fakeStore{values: map[string]string{}}
	_, mux := newAPIWithStore(t, store)
	if recorder := submitJob(mux, "req-1", nil, "", ""); recorder.Code != 201 {
		t.Fatalf("submission: got status %d, want 201", recorder.Code)
	}
	stored := store.values["j/req-1"]
	delete(store.values, "j/req-1")
	store.onRead = func() {
		if _, ended := store.values["d/req-1"]; !ended {
			store.values["j/req-1"] = stored
		}
	}
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/jobs/req-1/withdraw", nil))
	if recorder.Code != 200 || !strings.Contains(recorder.Body.String(), wire.PhaseCancelled) {
		t.Errorf("got status %d, body %s, want 200 with phase %s", recorder.Code, recorder.Body, wire.PhaseCancelled)
	}
}
