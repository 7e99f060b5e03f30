package intake

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/memnet"
)

// Guards against shedding a poll after its first read. Under load, polls of ended jobs, which take
// two reads, would then never be answered.
func TestPollIsNotShedBetweenItsReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const polls, pollInterval = 80, 20 * time.Millisecond
		var firstReads, answeredPolls atomic.Int64
		listener := memnet.NewListener()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/store" {
				firstReads.Add(1)
				fmt.Fprint(w, `{"items":[],"generation":9}`)
				return
			}
			key := strings.TrimPrefix(r.URL.Path, "/store/")
			fmt.Fprintf(w, `{"path":%q,"data":{"phase":"done","tasks":4},"stamp":7}`, key)
		})}
		go server.Serve(listener)
		_, mux := newTestAPI(kvstore.New(kvstore.Options{
			Addr: "store:1", RequestsPerSecond: 20, Limits: kvstore.Limits{WritesPerSecond: 20},
			Timeout: 2 * time.Second, Dial: listener.Dial,
		}))
		var users sync.WaitGroup
		for i := range polls {
			users.Go(func() {
				recorder := httptest.NewRecorder()
				mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, fmt.Sprintf("/v1/jobs/req-%06d", i), nil))
				if recorder.Code == http.StatusOK {
					answeredPolls.Add(1)
				}
			})
			time.Sleep(pollInterval)
		}
		users.Wait()
		server.Close()
		if firstReads.Load() == 0 || firstReads.Load() == polls {
			t.Errorf("%d of %d polls were admitted, want some shed and some admitted", firstReads.Load(), polls)
		}
		if answeredPolls.Load() != firstReads.Load() {
			t.Errorf("%d of %d admitted polls were answered, want all", answeredPolls.Load(), firstReads.Load())
		}
	})
}
