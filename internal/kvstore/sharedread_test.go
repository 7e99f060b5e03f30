package kvstore

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/memnet"
)

// Guards against results older than the call: a read that has been sent is not shared with later
// callers.
func TestSharedReadIsSentAfterAllItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests atomic.Int64
		listener := memnet.NewListener()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			time.Sleep(10 * time.Millisecond)
			w.Write([]byte(`{"items":[{"path":"j/a","data":{},"stamp":7}],"generation":9}`))
		})}
		go server.Serve(listener)
		client := New(Options{
			Addr: "store:1", RequestsPerSecond: 10, Limits: Limits{WritesPerSecond: 10}, Timeout: 10 * time.Second, Dial: listener.Dial,
		})
		ctx := WithPriority(t.Context(), PriorityStatusRead)
		reads := &concurrentReads{t: t, client: client}
		client.budget.requests.bucket.AllowN(time.Now(), client.budget.requests.bucket.Burst())

		for range 5 { // all wait for the budget
			reads.start(ctx)
		}
		time.Sleep(100*time.Millisecond + time.Millisecond)
		synctest.Wait()
		if got := requests.Load(); got != 1 {
			t.Errorf("%d requests for five readers that waited together, want 1", got)
		}
		reads.start(ctx) // the first read has been sent
		time.Sleep(time.Second)
		synctest.Wait()
		if got := requests.Load(); got != 2 {
			t.Errorf("%d requests in total, want 2: the last reader came after the first read was sent", got)
		}
		if got := reads.results.Load(); got != 6 {
			t.Errorf("%d of 6 readers got a result, want all", got)
		}
		server.Close()
	})
}

// concurrentReads starts concurrent reads of a key and counts their results.
type concurrentReads struct {
	t       *testing.T
	client  *Client
	results atomic.Int64
}

func (r *concurrentReads) start(ctx context.Context) {
	go func() {
		item, err := r.client.GetByListing(ctx, "j/a")
		if err != nil || item.ModRevision != 7 {
			r.t.Errorf("read item %v, error %v, want mod revision 7", item, err)
			return
		}
		r.results.Add(1)
	}()
	synctest.Wait()
}
