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

// Guards against answers that are older than the request: a read under way is never shared.
func TestSharedReadBeginsAfterAllItsReadersAsked(t *testing.T) {
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
		read := &concurrentReads{t: t, client: client}
		client.budget.requests.bucket.AllowN(time.Now(), client.budget.requests.bucket.Burst())

		for range 5 { // all wait for the budget
			read.start(ctx)
		}
		time.Sleep(100*time.Millisecond + time.Millisecond)
		synctest.Wait()
		if got := requests.Load(); got != 1 {
			t.Errorf("%d requests for five readers that waited together, want 1", got)
		}
		read.start(ctx) // the first read is under way
		time.Sleep(time.Second)
		synctest.Wait()
		if got := requests.Load(); got != 2 {
			t.Errorf("%d requests in all, want 2: the last reader came while the first read was under way", got)
		}
		if got := read.answers.Load(); got != 6 {
			t.Errorf("%d answers to 6 readers", got)
		}
		server.Close()
	})
}

// concurrentReads counts the answers of reads that run at once.
type concurrentReads struct {
	t       *testing.T
	client  *Client
	answers atomic.Int64
}

func (s *concurrentReads) start(ctx context.Context) {
	go func() {
		item, err := s.client.GetByListing(ctx, "j/a")
		if err != nil || item.ModRevision != 7 {
			s.t.Errorf("read %v: %v", item, err)
			return
		}
		s.answers.Add(1)
	}()
	synctest.Wait()
}
