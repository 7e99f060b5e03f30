package intake

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"rillflow/internal/dataloss"
	"rillflow/internal/wire"
)

// What users are told while the state service may have lost data, is being put together
// again, or contradicts what this node remembers.
func TestLostData(t *testing.T) {
	const live, done = `{"job":{"ref":"req-1","members":1},"at":1,"chunk":8}`, `{"phase":"done","tasks":4}`
	whole := fakeDataLossState{phase: dataloss.PhaseComplete, replicaCurrent: true}
	ends := fakeDataLossState{phase: dataloss.PhaseRestoringResults, replicaCurrent: true}
	lost := fakeDataLossState{phase: dataloss.PhaseComplete, replicaCurrent: true, dataLost: true}
	for _, tc := range []struct {
		name    string
		past    fakeDataLossState
		stored  map[string]string
		copied  map[string]string
		ask     string // method and path, or a job to submit
		status  int
		phase   string
		doubted bool
	}{
		{"doubt, nothing known", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, nil, nil, "GET req-1", 503, "", false},
		{"doubt, alive as stored: it may be older than what was told", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, map[string]string{"j/req-1": live}, nil, "GET req-1", 503, "", false},
		{"doubt, an end in memory", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, nil, map[string]string{"d/req-1": done}, "GET req-1", 200, wire.PhaseDone, false},
		{"doubt, a new job", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, nil, nil, "POST req-1", 503, "", false},
		{"doubt, a withdrawal", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, map[string]string{"j/req-1": live}, nil, "END req-1", 503, "", false},
		{"doubt, a withdrawal of what is over", fakeDataLossState{err: dataloss.ErrDataLossSuspected}, nil, map[string]string{"d/req-1": done}, "END req-1", 200, wire.PhaseDone, false},
		{"rebuild, a new job", fakeDataLossState{phase: dataloss.PhaseRecovering, replicaCurrent: true}, nil, nil, "POST req-1", 503, "", false},
		{"rebuild, alive", fakeDataLossState{phase: dataloss.PhaseRecovering, replicaCurrent: true}, map[string]string{"j/req-1": live}, nil, "GET req-1", 503, "", false},
		{"open, nothing known yet", fakeDataLossState{phase: dataloss.PhaseProvisional, replicaCurrent: true}, nil, nil, "GET req-1", 503, "", false},
		{"open, a new job", fakeDataLossState{phase: dataloss.PhaseProvisional, replicaCurrent: true}, nil, nil, "POST req-1", 201, wire.PhaseQueued, false},
		{"ends, nothing known: not all were heard", ends, nil, nil, "GET req-1", 503, "", false},
		{"ends, a new job", ends, nil, nil, "POST req-1", 201, wire.PhaseQueued, false},
		{"ends, no copy yet", fakeDataLossState{phase: dataloss.PhaseRestoringResults}, nil, nil, "GET req-1", 503, "", false},
		{"ends, an end to be stored", ends, nil, map[string]string{"d/req-1": done}, "GET req-1", 200, wire.PhaseDone, false},
		{"ends, the same submitted again", ends, nil, map[string]string{"d/req-1": done}, "POST req-1", 200, wire.PhaseDone, false},
		{"whole, never there", whole, nil, nil, "GET req-1", 404, "", false},
		{"whole, a node that has just begun", fakeDataLossState{phase: dataloss.PhaseComplete}, nil, nil, "GET req-1", 503, "", false},
		{"whole, gone without an end", whole, nil, map[string]string{"j/req-1": live}, "GET req-1", 503, "", true},
		{"whole, an end is gone", whole, nil, map[string]string{"d/req-1": done}, "GET req-1", 503, "", true},
		{"whole, alive again", whole, map[string]string{"j/req-1": live}, map[string]string{"d/req-1": done}, "GET req-1", 200, wire.PhaseDone, true},
		{"whole, alive again and withdrawn", whole, map[string]string{"j/req-1": live}, map[string]string{"d/req-1": done}, "END req-1", 200, wire.PhaseDone, true},
		{"lost, known from machines", lost, nil, nil, "GET req-7", 200, wire.PhaseRunning, false},
		{"lost, withdrawn from machines", lost, nil, nil, "END req-7", 200, wire.PhaseCancelled, false},
		{"lost, no trace", lost, nil, nil, "GET req-8", 404, "", false},
		{"not lost, no trace is asked for", whole, nil, nil, "GET req-7", 404, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := &fakeStore{values: map[string]string{}}
			for key, v := range tc.stored {
				k.values[key] = v
			}
			u, mux := newAPIWithStore(t, k)
			u.dataLoss = &tc.past
			u.taskCounts = func(_ context.Context, ref string) (int, int, bool, error) { return 0, 3, ref == "req-7", nil }
			for key, v := range tc.copied {
				u.replica.Apply(1, wire.Operation{Put: key, Value: []byte(v)})
			}
			verb, ref, _ := strings.Cut(tc.ask, " ")
			rec := httptest.NewRecorder()
			switch verb {
			case "POST":
				rec = submitJob(mux, ref, nil, "", "")
			case "END":
				mux.ServeHTTP(rec, httptest.NewRequest("POST", "/v1/jobs/"+ref+"/withdraw", nil))
			default:
				mux.ServeHTTP(rec, httptest.NewRequest("GET", "/v1/jobs/"+ref, nil))
			}
			if rec.Code != tc.status || tc.phase != "" && !strings.Contains(rec.Body.String(), `"`+tc.phase+`"`) {
				t.Errorf("%d %s, want %d %s", rec.Code, rec.Body, tc.status, tc.phase)
			}
			if (tc.past.suspicionReason != "") != tc.doubted {
				t.Errorf("doubted: %q", tc.past.suspicionReason)
			}
			if rec.Code == 503 && rec.Header().Get("Retry-After") == "" {
				t.Error("not told when to come back")
			}
			if tc.phase == wire.PhaseCancelled && k.values["d/"+ref] == "" {
				t.Error("the withdrawal is not stored")
			}
		})
	}
}

// The answer to a read may be on its way while a job ends or is accepted, and this node may
// hear of that first. Nothing was lost then: taken for a loss, it stood all placing still
// for ten seconds.
func TestAnswersOnTheirWay(t *testing.T) {
	const live, done = `{"job":{"ref":"req-1","members":1},"at":1,"chunk":8}`, `{"phase":"done","tasks":4}`
	for _, tc := range []struct {
		name      string
		stored    map[string]string
		meanwhile wire.Operation
		ask       string
		status    int
		phase     string
	}{
		{"asked for, done meanwhile", map[string]string{"j/req-1": live}, wire.Operation{Put: "d/req-1", Value: []byte(done)}, "GET", 200, wire.PhaseDone},
		{"withdrawn, done meanwhile", map[string]string{"j/req-1": live}, wire.Operation{Put: "d/req-1", Value: []byte(done)}, "POST", 200, wire.PhaseDone},
		{"asked for, accepted meanwhile", nil, wire.Operation{Put: "j/req-1", Value: []byte(live)}, "GET", 503, ""},
		{"alive, by the answer that shows that the history went back", map[string]string{"j/req-1": live}, wire.Operation{}, "GET", 503, ""},
		{"withdrawn, accepted meanwhile", nil, wire.Operation{Put: "j/req-1", Value: []byte(live)}, "POST", 503, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := &fakeStore{values: map[string]string{}}
			for key, v := range tc.stored {
				k.values[key] = v
			}
			u, mux := newAPIWithStore(t, k)
			p := &fakeDataLossState{phase: dataloss.PhaseComplete, replicaCurrent: true}
			u.dataLoss = p
			k.onRead = func() {
				if tc.meanwhile.Put == "" {
					p.err = dataloss.ErrDataLossSuspected
				}
				u.replica.Apply(1, tc.meanwhile)
			}
			path := "/v1/jobs/req-1"
			if tc.ask == "POST" {
				path += "/withdraw"
			}
			rec := httptest.NewRecorder()
			mux.ServeHTTP(rec, httptest.NewRequest(tc.ask, path, nil))
			if rec.Code != tc.status || tc.phase != "" && !strings.Contains(rec.Body.String(), `"`+tc.phase+`"`) {
				t.Errorf("%d %s, want %d %s", rec.Code, rec.Body, tc.status, tc.phase)
			}
			if p.suspicionReason != "" {
				t.Errorf("doubted: %s", p.suspicionReason)
			}
		})
	}
}
