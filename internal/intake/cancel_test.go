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
	k := &keys{m: map[string]string{}}
	u, mux := users(t, k)
	h := &herald{err: errors.New("the leader does not know")}
	u.broadcaster = h
	if rec := submit(mux, "req-1", nil, "", ""); rec.Code != 201 {
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
		"submit": func() int { return submit(mux, "req-1", nil, "", "").Code },
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
	h.err, h.told = errors.New("asked again"), nil
	for how, f := range ask {
		if code := f(); code != 200 || len(h.told) > 0 {
			t.Errorf("%s once it was told: %d, %v", how, code, h.told)
		}
	}
	if p, ok := u.finished.get("req-1"); !ok || p.JobStatus.Phase != wire.PhaseCancelled {
		t.Errorf("%+v", p)
	}
}

// A job is done while its user withdraws it, between the read and the write: the end that
// was first stands, and is told.
func TestWithdrawMeetsEnd(t *testing.T) {
	k := &keys{m: map[string]string{}}
	_, mux := users(t, k)
	if rec := submit(mux, "req-1", nil, "", ""); rec.Code != 201 {
		t.Fatalf("submitted: %d", rec.Code)
	}
	k.late = func() {
		if _, live := k.m["j/req-1"]; live {
			delete(k.m, "j/req-1")
			k.m["d/req-1"] = `{"phase":"done","tasks":16}`
		}
	}
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest("POST", "/v1/jobs/req-1/withdraw", nil))
	if rec.Code != 200 || !strings.Contains(rec.Body.String(), wire.PhaseDone) {
		t.Errorf("%d %s", rec.Code, rec.Body)
	}
	if end := k.m["d/req-1"]; !strings.Contains(end, wire.PhaseDone) {
		t.Errorf("stored: %s", end)
	}
}
