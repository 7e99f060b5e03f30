package leader

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// loweredStore is a key-value store that does not answer the first transaction, and from then on
// refuses values over a lower limit.
type loweredStore struct {
	items         map[string]wire.KeyValue
	revision      uint64
	maxValueBytes int // from the second transaction on
	transactions  int
	unanswered    wire.Txn
	appliesLate   bool // the first transaction is applied only just before the third
}

func (s *loweredStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if key, isRead := strings.CutPrefix(r.URL.Path, "/store/"); isRead {
		item, ok := s.items[key]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
		}
		json.NewEncoder(w).Encode(item)
		return
	}
	var txn wire.Txn
	json.NewDecoder(r.Body).Decode(&txn)
	s.transactions++
	switch {
	case s.transactions == 1:
		if s.unanswered = txn; !s.appliesLate {
			s.apply(txn)
		}
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case len(txn.Operations[0].Value) > s.maxValueBytes:
		w.WriteHeader(http.StatusBadRequest)
		return
	case s.transactions == 3 && s.appliesLate:
		s.apply(s.unanswered)
	}
	failed := s.apply(txn)
	if len(failed) > 0 {
		w.WriteHeader(http.StatusConflict)
	}
	json.NewEncoder(w).Encode(wire.TxnResponse{FailedKeys: failed, Revision: s.revision})
}

// apply carries a transaction out unless a compare fails, and returns the keys of those that do.
func (s *loweredStore) apply(txn wire.Txn) (failed []string) {
	for _, compare := range txn.Compares {
		if compare.Key != "" && s.items[compare.Key].ModRevision != compare.ModRevision {
			failed = append(failed, compare.Key)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.revision++
	for _, op := range txn.Operations {
		s.items[op.Put] = wire.KeyValue{Key: op.Put, Value: op.Value, ModRevision: s.revision}
	}
	return nil
}

// Guards against a false suspicion of data loss: a batch is carried out without an answer, the store
// lowers its limits and refuses the batch for its size when it is sent again, and the compares of the
// batch that is built in its place fail.
func TestBatchWithoutAnswerRefusedForItsSize(t *testing.T) {
	const tasks, loweredValueBytes = 8, 220 // the chunk takes 241 bytes, packed 134
	for _, appliesLate := range []bool{false, true} {
		t.Run(fmt.Sprint("applied late: ", appliesLate), func(t *testing.T) {
			store := &loweredStore{
				items: make(map[string]wire.KeyValue), revision: 9, maxValueBytes: loweredValueBytes, appliesLate: appliesLate,
			}
			server := httptest.NewServer(store)
			defer server.Close()
			leader := newStoreTerm(t, store.ServeHTTP)
			var dialer net.Dialer
			leader.store = kvstore.New(kvstore.Options{
				Addr: strings.TrimPrefix(server.URL, "http://"), RequestsPerSecond: 1e6, Timeout: time.Minute, Dial: dialer.DialContext,
				Limits:          kvstore.Limits{WritesPerSecond: 1e6, MaxValueBytes: 16 << 10},
				AnnouncedLimits: kvstore.Limits{WritesPerSecond: 1e6, MaxValueBytes: loweredValueBytes},
			})
			leader.dataLoss = dataloss.NewDetector(leader.store, nil, leader.log)
			job := leader.addTestJob("req-000", wire.Job{Kind: wire.KindArray, TaskCount: tasks, CPUs: 0.1})
			store.items["j/req-000"] = wire.KeyValue{Key: "j/req-000", ModRevision: job.ModRevision()}
			for i := range tasks {
				if _, err := leader.jobs.Claim(job, fmt.Sprint("i-00000000", i), 1, "zone-a"); err != nil {
					t.Fatal(err)
				}
			}
			err := leader.claimWriter.writeAll(t.Context())
			if errors.Is(err, dataloss.ErrIncarnationReplaced) || leader.dataLossSuspected() {
				t.Errorf("data loss suspected: %v", err)
			}
			if endsTerm := errors.Is(err, errOutcomeUnresolved); endsTerm != appliesLate {
				t.Errorf("the term ends: %v (%v), want %v: only a new leader's key fences off the batch", endsTerm, err, appliesLate)
			}
			for _, claim := range leader.jobs.ClaimsOfJob(job) {
				if claim.Committed == appliesLate {
					t.Errorf("claim of task %d is committed: %v, want %v", claim.Index, claim.Committed, !appliesLate)
				}
			}
		})
	}
}
