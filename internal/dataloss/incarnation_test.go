package dataloss

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// fakeStore is a key-value store that assigns revisions as the real one does, so that the
// same changes get the same mod revisions in each of its incarnations.
type fakeStore struct {
	mu           sync.Mutex
	revision     uint64
	modRevisions map[string]uint64 // by key
}

// reset begins another incarnation of the store's data, which is empty.
func (s *fakeStore) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.modRevisions = 1, map[string]uint64{}
}

// commit applies a transaction, or returns the keys of its failed compares.
func (s *fakeStore) commit(txn wire.Txn) (revision uint64, failed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, compare := range txn.Compares {
		if s.modRevisions[compare.Key] != compare.ModRevision {
			failed = append(failed, compare.Key)
		}
	}
	if len(failed) > 0 {
		return s.revision, failed
	}
	s.revision++
	for _, operation := range txn.Operations {
		if operation.Put != "" {
			s.modRevisions[operation.Put] = s.revision
		} else {
			delete(s.modRevisions, operation.Delete)
		}
	}
	return s.revision, nil
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var txn wire.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, failed := s.commit(txn)
	body, err := json.Marshal(wire.TxnResponse{Revision: revision, FailedKeys: failed})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if len(failed) > 0 {
		w.WriteHeader(http.StatusConflict)
	}
	w.Write(body)
}

// newClient returns a client of the store, which is served until the test ends.
func (s *fakeStore) newClient(t *testing.T) *kvstore.Client {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	var dialer net.Dialer
	return kvstore.New(kvstore.Options{
		Addr:              strings.TrimPrefix(server.URL, "http://"),
		RequestsPerSecond: 1e5,
		Limits:            kvstore.Limits{WritesPerSecond: 1e5, MaxValueBytes: 1 << 10},
		Timeout:           time.Minute,
		Dial:              dialer.DialContext,
	})
}

// A delayed write for a lost incarnation must not apply to the next one, even if that one
// has assigned exactly the same mod revisions to all compared keys. Without the
// incarnation's compare it does apply.
func TestLateWriteFromLostIncarnation(t *testing.T) {
	store := &fakeStore{}
	client := store.newClient(t)
	commit := func(compares []wire.Compare, operations ...wire.Operation) (uint64, []string) {
		revision, failed, err := client.Commit(t.Context(), wire.Txn{Compares: compares, Operations: operations})
		if err != nil {
			t.Fatal(err)
		}
		return revision, failed
	}
	// begin starts an incarnation and stores a leader and one claim. It returns the compares
	// and the operation of a write that finishes the claimed task.
	begin := func(id string) (compares []wire.Compare, late wire.Operation) {
		store.reset()
		incarnation := Incarnation{ID: id, InitialPhase: PhaseRecovering, Epoch: 2}
		create, err := incarnation.CreateOperation()
		if err != nil {
			t.Fatal(err)
		}
		incarnation.Revision, _ = commit(nil, create, wire.Operation{Put: "lead", Value: []byte("1")})
		compare, _ := incarnation.Compare()
		compares = []wire.Compare{{Key: "lead", ModRevision: incarnation.Revision}, compare}
		claimRevision, failed := commit(compares, wire.Operation{Put: "c/r/0", Value: []byte("1")})
		if len(failed) > 0 {
			t.Fatal(failed)
		}
		compares = append(compares, wire.Compare{Key: "c/r/0", ModRevision: claimRevision})
		return compares, wire.Operation{Put: "c/r/0", Value: []byte("2")}
	}
	before, late := begin("A")
	after, _ := begin("B")
	for i, compare := range before {
		if compare.ModRevision != after[i].ModRevision {
			t.Fatalf("the two incarnations assigned different mod revisions: %v, %v", before, after)
		}
	}
	if _, failed := commit(before, late); !CompareFailed(failed) {
		t.Errorf("a write for the lost incarnation was applied, failed compares %v", failed)
	}
	unfenced := slices.DeleteFunc(before, func(compare wire.Compare) bool {
		return strings.HasPrefix(compare.Key, incarnationPrefix)
	})
	if _, failed := commit(unfenced, late); len(failed) > 0 {
		t.Errorf("the write without the incarnation's compare was not applied, failed compares %v", failed)
	}
}
