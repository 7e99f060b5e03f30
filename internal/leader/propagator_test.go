package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rillflow/internal/election"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// newStoreTerm returns a test term whose store requests are answered by a handler.
func newStoreTerm(t *testing.T, handler http.HandlerFunc) *leaderTerm {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	var dialer net.Dialer
	leader := newTestTerm(t)
	leader.leadership = &fakeLeadership{election.ShardMap{Epoch: 1}}
	leader.settings.Facts.Workers.CancelSeconds = 40
	leader.settings.Facts.Store = settings.StoreLimits{WriteRPS: 1000, TxnOps: 16, ValueKB: 16}
	leader.store = kvstore.New(kvstore.Options{
		Addr: strings.TrimPrefix(server.URL, "http://"), RequestsPerSecond: 1e6,
		Limits: kvstore.Limits{WritesPerSecond: 1e6, MaxValueBytes: 16 << 10}, Timeout: time.Minute, Dial: dialer.DialContext,
	})
	return leader
}

func jobName(i int) string { return fmt.Sprintf("req-%03d", i) }

// addDependent adds a job that depends on another.
func (t *leaderTerm) addDependent(jobID, dependency string) *ledger.Job {
	return t.addTestJob(jobID, wire.Job{Kind: wire.KindArray, TaskCount: 1, CPUs: 1, DependsOn: []string{dependency}})
}

// Guards against dependencies that are never looked up because the store's refusals end every round
// before it reaches them.
func TestLookUpsResumeAfterRefusal(t *testing.T) {
	const dependencies, refuseEvery = 40, 10
	cancelled := jobName(dependencies - 1)
	record, err := json.Marshal(ledger.EndRecord{Phase: wire.PhaseCancelled})
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int64
	leader := newStoreTerm(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case requests.Add(1)%refuseEvery == 0:
			w.WriteHeader(http.StatusTooManyRequests)
		case strings.HasSuffix(r.URL.Path, ledger.EndedKey(cancelled)):
			json.NewEncoder(w).Encode(wire.KeyValue{Key: ledger.EndedKey(cancelled), Value: record, ModRevision: 5})
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	for i := range dependencies {
		leader.addDependent("dependent-of-"+jobName(i), jobName(i))
	}
	for range 2 * dependencies / refuseEvery {
		leader.dependencies.lookUpEndRecords(t.Context())
	}
	if len(leader.jobs.JobsToCancel(1)) == 0 {
		t.Errorf("the cancellation of %s was not found with %d requests", cancelled, requests.Load())
	}
}

// Guards against cancellations that wait for look-ups of other jobs.
func TestPropagationDoesNotWaitForLookUps(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	lookUpBegan, committed := make(chan struct{}, 1), make(chan struct{}, 1)
	leader := newStoreTerm(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			lookUpBegan <- struct{}{}
			<-r.Context().Done() // the look-up is never answered
			return
		}
		committed <- struct{}{}
		json.NewEncoder(w).Encode(wire.TxnResponse{Revision: 7})
	})
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	leader.addDependent("req-2", "req-1") // req-1 is unknown and has to be looked up
	leader.addTestJob("req-3", wire.Job{Kind: wire.KindArray, TaskCount: 1, CPUs: 1})
	leader.addDependent("req-4", "req-3")
	for _, loop := range []func(context.Context) error{leader.dependencies.runLookUps, leader.propagator.runPropagation} {
		loops.Go(func() { loop(ctx) })
	}
	notify(leader.dependencySignal)
	<-lookUpBegan
	leader.mu.Lock()
	leader.cancellations.cancelJob("req-3")
	leader.mu.Unlock()
	select {
	case <-committed:
	case <-time.After(10 * time.Second):
		t.Error("req-4 was not cancelled within 10 s while the look-up of req-1 was in flight")
	}
}

// Guards against dependents that are never cancelled because a batch with more operations than the
// store's rate limit allows at once is sent again unchanged forever.
func TestPropagationReducesBatchWhenRateLimited(t *testing.T) {
	for _, maxOperations := range []int{2, 4, 15, 16} {
		t.Run(fmt.Sprint(maxOperations), func(t *testing.T) {
			const dependents = 20
			cancelled, requests := 0, 0
			leader := newStoreTerm(t, func(w http.ResponseWriter, r *http.Request) {
				var txn wire.Txn
				if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
					t.Error(err)
				}
				if requests++; len(txn.Operations) > maxOperations {
					w.WriteHeader(http.StatusTooManyRequests)
					return
				}
				cancelled += len(txn.Operations) / 2
				fmt.Fprint(w, `{"generation":9}`)
			})
			for i := range dependents {
				leader.addDependent(jobName(i), "upstream")
			}
			leader.jobs.ResolveDependency("upstream", false, now)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			if err := leader.propagator.propagateCancellations(ctx); err != nil || cancelled != dependents {
				t.Errorf("got %d of %d dependents cancelled by %d requests, error %v; want all",
					cancelled, dependents, requests, err)
			}
		})
	}
}
