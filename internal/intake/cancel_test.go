package intake

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"rillflow/internal/wire"
)

// That a job is withdrawn is told, in whatever answer, only once those know who may keep
// its tasks alive; what was told once is told again from memory.
func TestWithdrawnIsTold(t *testing.T) {
	k := &fakeStore{values: map[string]string{}}
	u, mux := newAPIWithStore(t, k)
	h := &fakeBroadcaster{err: errors.New("the leader does not know")}
	u.broadcaster = h
	if rec := submitJob(mux, "req-1", nil, "", ""); rec.Code != 201 {
		t.Fatalf("submitted: %d", rec.Code)
	}
	ask := map[string]func() int{
		"withdraw": func() int {
			rec := httptest.NewRecorder()
			mux.ServeHTTP(rec, httptest.NewRequest("POST", "/v1/jobs/req-1/withdraw", nil))
			return rec.Code
		},
		"poll": func() int {
			rec := httptest.NewRecorder()
			mux.ServeHTTP(rec, httptest.NewRequest("GET", "/v1/jobs/req-1", nil))
			return rec.Code
		},
		"submit": func() int { return submitJob(mux, "req-1", nil, "", "").Code },
	}
	for _, how := range []string{"withdraw", "withdraw", "poll", "submit"} {
		if code := ask[how](); code != 503 {
			t.Errorf("%s while the leader does not know: %d", how, code)
		}
	}
	h.err = nil
	if code := ask["poll"](); code != 200 {
		t.Errorf("once it knows: %d", code)
	}
	h.err, h.broadcasts = errors.New("asked again"), nil
	for how, f := range ask {
		if code := f(); code != 200 || len(h.broadcasts) > 0 {
			t.Errorf("%s once it was told: %d, %v", how, code, h.broadcasts)
		}
	}
	if p, ok := u.finished.get("req-1"); !ok || p.JobStatus.Phase != wire.PhaseCancelled {
		t.Errorf("%+v", p)
	}
}

// A job is done while its user withdraws it, between the read and the write: the end that
// was first stands, and is told.
func TestWithdrawMeetsEnd(t *testing.T) {
	k := &fakeStore{values: map[string]string{}}
	_, mux := newAPIWithStore(t, k)
	if rec := submitJob(mux, "req-1", nil, "", ""); rec.Code != 201 {
		t.Fatalf("submitted: %d", rec.Code)
	}
	k.onRead = func() {
		if _, live := k.values["j/req-1"]; live {
			delete(k.values, "j/req-1")
			k.values["d/req-1"] = `{"phase":"done","tasks":16}`
		}
	}
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest("POST", "/v1/jobs/req-1/withdraw", nil))
	if rec.Code != 200 || !strings.Contains(rec.Body.String(), wire.PhaseDone) {
		t.Errorf("%d %s", rec.Code, rec.Body)
	}
	if end := k.values["d/req-1"]; !strings.Contains(end, wire.PhaseDone) {
		t.Errorf("stored: %s", end)
	}
}
