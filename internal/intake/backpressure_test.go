package intake

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestEndTracker(t *testing.T) {
	const maxAge = 20 * time.Second
	start := time.Now()
	after := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var tracker endTracker
	ended := map[string]bool{}
	hasEnded := func(id string) bool { return ended[id] }
	for _, step := range []struct {
		name      string
		do        func()
		atSeconds int
		want      time.Duration
	}{
		{"no end observed", func() {}, 0, 0},
		{"observed once", func() { tracker.observe("a", after(0)) }, 1, 0},
		{"observed again", func() { tracker.observe("a", after(5)) }, 6, 5 * time.Second},
		{"second end", func() { tracker.observe("b", after(6)); tracker.observe("b", after(9)) }, 9, 5 * time.Second},
		{"first end stored", func() { tracker.forget("a") }, 10, 3 * time.Second},
		{"third end", func() { tracker.observe("c", after(1)); tracker.observe("c", after(10)) }, 10, 9 * time.Second},
		{"third end stored by another controller", func() { ended["c"] = true }, 11, 3 * time.Second},
		{"last observation too long ago", func() {}, 30, 0},
		{"observed again after that", func() { tracker.observe("b", after(31)) }, 31, 0},
	} {
		step.do()
		if got := tracker.longestWait(after(step.atSeconds), maxAge, hasEnded); got != step.want {
			t.Errorf("%s: got %v, want %v", step.name, got, step.want)
		}
	}
	for i := range 2 * maxTrackedEnds {
		tracker.observe(fmt.Sprint(i), after(32))
	}
	if len(tracker.ends) > maxTrackedEnds {
		t.Errorf("%d ends are tracked, want at most %d", len(tracker.ends), maxTrackedEnds)
	}
}

// Guards against accepting jobs while their ends cannot be stored in time: a backlog of writes
// could grow for minutes.
func TestSubmissionsRefusedWhileEndsWait(t *testing.T) {
	api, mux := newAPIWithStore(t, &fakeStore{values: map[string]string{"d/req-3": `{"phase":"done","tasks":4}`}})
	api.settings.Facts.Workers.HeartbeatSeconds, api.settings.Facts.Workers.LeaseSeconds = 2.5, 20
	now := time.Now()
	api.waitingEnds.observe("req-1", now.Add(-20*time.Second))
	api.waitingEnds.observe("req-1", now)
	if response := submitJob(mux, "req-10", nil, "", ""); response.Code != http.StatusCreated {
		t.Errorf("submission at the limit: got status %d, want 201", response.Code)
	}
	api.waitingEnds.observe("req-2", now.Add(-21*time.Second))
	api.waitingEnds.observe("req-2", now)
	response := submitJob(mux, "req-11", nil, "", "")
	if response.Code != http.StatusServiceUnavailable || response.Header().Get("Retry-After") != "3" {
		t.Errorf("submission above the limit: got status %d, Retry-After %q, want 503, \"3\"", response.Code, response.Header().Get("Retry-After"))
	}
	if got := api.SubmissionRefusals().WriteBacklog; got != 1 {
		t.Errorf("got %d refusals counted, want 1", got)
	}
	poll := httptest.NewRecorder()
	mux.ServeHTTP(poll, httptest.NewRequest(http.MethodGet, "/v1/jobs/req-3", nil))
	if poll.Code != http.StatusOK {
		t.Errorf("poll above the limit: got status %d, want 200", poll.Code)
	}
	if response := submitJob(mux, "req-3", nil, "", ""); response.Code != http.StatusOK {
		t.Errorf("repeated submission of an ended job: got status %d, want 200", response.Code)
	}
	api.waitingEnds.forget("req-2")
	if response := submitJob(mux, "req-11", nil, "", ""); response.Code != http.StatusCreated {
		t.Errorf("submission after the end was stored: got status %d, want 201", response.Code)
	}
}
