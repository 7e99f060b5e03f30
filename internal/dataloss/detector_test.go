package dataloss

import (
	"encoding/json"
	"log/slog"
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

func items(kv ...string) []wire.KeyValue {
	var out []wire.KeyValue
	for i := 0; i < len(kv); i += 2 {
		out = append(out, wire.KeyValue{Key: kv[i], Value: json.RawMessage(kv[i+1]), ModRevision: uint64(i + 3)})
	}
	return out
}

const (
	whole1 = `{"phase":"whole","epoch":4}`
	lost2  = `{"phase":"rebuild","lost":true,"epoch":7}`
)

// What is stored tells which history it is, and how much it holds.
func TestParseState(t *testing.T) {
	for _, tc := range []struct {
		name  string
		items []wire.KeyValue
		id    string
		phase Phase
		lost  bool
		spare int
	}{
		{"none", nil, "", "", false, 0},
		{"as it began", items("history/id/A", lost2), "A", PhaseRecovering, true, 0},
		{"gone on", items("history/id/A", lost2, "history/phase", `{"id":"A","phase":"ends"}`), "A", PhaseRestoringResults, true, 0},
		{"a phase of another", items("history/id/B", lost2, "history/phase", `{"id":"A","phase":"whole"}`), "B", PhaseRecovering, true, 0},
		{"two, the later one", items("history/id/A", whole1, "history/id/B", lost2), "B", PhaseRecovering, true, 1},
		{"damaged: nothing is sure", items("history/id/A", `"rot"`), "A", PhaseRecovering, true, 0},
		{"a damaged phase", items("history/id/A", whole1, "history/phase", `7`), "A", PhaseComplete, false, 0},
		{"what is none of it", items("history/else", `1`), "", "", false, 0},
	} {
		v := parseState(tc.items)
		if v.ID != tc.id || v.Phase != tc.phase || v.DataLost != tc.lost || len(v.Superseded) != tc.spare {
			t.Errorf("%s: %+v", tc.name, v)
		}
	}
}

func newTestDetector() *Detector {
	st := kvstore.New(kvstore.Options{Addr: "none:1", RequestsPerSecond: 1, Timeout: time.Second})
	return NewDetector(st, nil, slog.New(slog.DiscardHandler))
}

// When a doubt begins, when it is over, and what may be done meanwhile.
func TestDataLossSuspected(t *testing.T) {
	a, b := items("history/id/A", whole1), items("history/id/B", lost2)
	for _, tc := range []struct {
		name    string
		do      func(k *Detector)
		doubted bool
		old     bool // the leader keeps no history
		guards  int
		err     bool
	}{
		{"nothing read yet", func(*Detector) {}, false, false, 0, true},
		{"none, and nobody leads", func(k *Detector) { k.replaceAll(nil, time.Now()) }, false, false, 0, true},
		{"none, by a leader of an earlier version", func(k *Detector) { k.replaceAll(nil, time.Now()) }, false, true, 0, false},
		{"as ever", func(k *Detector) { k.replaceAll(a, time.Now()) }, false, false, 1, false},
		{"its key is gone", func(k *Detector) { k.replaceAll(a, time.Now()); k.replaceAll(nil, time.Now()) }, true, false, 0, true},
		{"another began", func(k *Detector) {
			k.replaceAll(a, time.Now())
			k.replaceAll(nil, time.Now())
			k.replaceAll(b, time.Now())
		}, false, false, 1, false},
		{"doubted until another begins", func(k *Detector) { k.replaceAll(a, time.Now()); k.Suspect("x"); k.replaceAll(a, time.Now()) }, true, false, 0, true},
		{"doubted, and another began", func(k *Detector) { k.replaceAll(a, time.Now()); k.Suspect("x"); k.replaceAll(b, time.Now()) }, false, false, 1, false},
		{"an earlier one is back", func(k *Detector) { k.replaceAll(b, time.Now()); k.replaceAll(a, time.Now()) }, true, false, 0, true},
		{"an earlier one is back, then a new one", func(k *Detector) {
			k.replaceAll(b, time.Now())
			k.replaceAll(a, time.Now())
			k.replaceAll(items("history/id/C", `{"phase":"rebuild","lost":true,"epoch":9}`), time.Now())
		}, false, false, 1, false},
		{"a peer doubts the same", func(k *Detector) { k.replaceAll(a, time.Now()); k.ObservePeer("p", "A", "x", true) }, true, false, 0, true},
		{"a peer doubts another", func(k *Detector) { k.replaceAll(a, time.Now()); k.ObservePeer("p", "B", "x", true) }, false, false, 1, false},
		{"an answer was on its way when this node began it", func(k *Detector) {
			asked := time.Now()
			k.IncarnationBegun(Incarnation{ID: "A", Revision: 4, InitialPhase: PhaseProvisional, Epoch: 8})
			k.replaceAll(nil, asked)
		}, false, false, 1, false},
		{"an answer was on its way when a later one came", func(k *Detector) {
			asked := time.Now()
			k.replaceAll(a, time.Now())
			k.replaceAll(nil, asked)
		}, false, false, 1, false},
		{"this node began another itself", func(k *Detector) {
			k.replaceAll(a, time.Now())
			k.Suspect("x")
			k.IncarnationBegun(Incarnation{ID: "B", Revision: 4, InitialPhase: PhaseRecovering, Epoch: 8})
		}, false, false, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := newTestDetector()
			tc.do(k)
			_, _, doubted := k.Suspected()
			gs, _, err := k.Fence(tc.old)
			if doubted != tc.doubted || len(gs) != tc.guards || (err != nil) != tc.err {
				t.Errorf("doubted %v, guards %v, %v", doubted, gs, err)
			}
		})
	}
}

// A peer that goes by another history has this node look again: a log that begins after
// a generation long passed does not tell.
func TestPeerWithAnotherIncarnation(t *testing.T) {
	k := newTestDetector()
	k.replaceAll(items("history/id/A", whole1), time.Now())
	k.ObservePeer("p", "B", "", false)
	select {
	case <-k.recheck:
	default:
		t.Error("the history is not read again")
	}
}

// fakeStore is a state service that counts as the real one does, so that the same changes
// give the same stamps in each of its histories.
type fakeStore struct {
	mu   sync.Mutex
	gen  uint64
	keys map[string]uint64
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var t wire.Txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), 400)
		return
	}
	var failed []string
	for _, g := range t.Compares {
		if s.keys[g.Key] != g.ModRevision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) == 0 {
		s.gen++
		for _, c := range t.Operations {
			if c.Put != "" {
				s.keys[c.Put] = s.gen
			} else {
				delete(s.keys, c.Delete)
			}
		}
	}
	b, err := json.Marshal(wire.TxnResponse{Revision: s.gen, FailedKeys: failed})
	if err != nil {
		http.Error(w, err.Error(), 500)
		return
	}
	if len(failed) > 0 {
		w.WriteHeader(409)
	}
	w.Write(b)
}

// A write of a history that was lost does not apply to the next one though every stamp
// that it guards has come again, exactly. Without the history's guard it does.
func TestLateWriteFromLostIncarnation(t *testing.T) {
	s := &fakeStore{}
	srv := httptest.NewServer(s)
	defer srv.Close()
	var d net.Dialer
	st := kvstore.New(kvstore.Options{Addr: strings.TrimPrefix(srv.URL, "http://"), RequestsPerSecond: 1e5, Limits: kvstore.Limits{WritesPerSecond: 1e5, MaxValueBytes: 1 << 10}, Timeout: time.Minute, Dial: d.DialContext})
	commit := func(gs []wire.Compare, cs ...wire.Operation) (uint64, []string) {
		gen, failed, err := st.Commit(t.Context(), wire.Txn{Compares: gs, Operations: cs})
		if err != nil {
			t.Fatal(err)
		}
		return gen, failed
	}
	// begin is a leader's start, one claim, and the finish that it is about to write.
	begin := func(id string) (guards []wire.Compare, late wire.Operation) {
		s.mu.Lock()
		s.gen, s.keys = 1, map[string]uint64{}
		s.mu.Unlock()
		m := Incarnation{ID: id, InitialPhase: PhaseRecovering, Epoch: 2}
		p, err := m.CreateOperation()
		if err != nil {
			t.Fatal(err)
		}
		m.Revision, _ = commit(nil, p, wire.Operation{Put: "lead", Value: []byte("1")})
		g, _ := m.Compare()
		guards = []wire.Compare{{Key: "lead", ModRevision: m.Revision}, g}
		claim, failed := commit(guards, wire.Operation{Put: "c/r/0", Value: []byte("1")})
		if len(failed) > 0 {
			t.Fatal(failed)
		}
		return append(guards, wire.Compare{Key: "c/r/0", ModRevision: claim}), wire.Operation{Put: "c/r/0", Value: []byte("2")}
	}
	before, late := begin("A")
	after, _ := begin("B")
	for i, g := range before {
		if g.ModRevision != after[i].ModRevision {
			t.Fatalf("the stamps did not come again: %v, %v", before, after)
		}
	}
	if _, failed := commit(before, late); !CompareFailed(failed) {
		t.Errorf("a write of the history that was lost was applied: %v", failed)
	}
	if _, failed := commit(slices.DeleteFunc(before, func(g wire.Compare) bool { return strings.HasPrefix(g.Key, incarnationPrefix) }), late); len(failed) > 0 {
		t.Errorf("the guards do not come again in this test: %v", failed)
	}
}
