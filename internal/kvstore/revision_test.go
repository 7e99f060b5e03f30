package kvstore

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// revisionServer is a store that answers every request with the revision that it is given.
type revisionServer struct{ revision uint64 }

func (s *revisionServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/store/here"):
		fmt.Fprintf(w, `{"path":"here","data":1,"stamp":%d}`, s.revision)
	case strings.HasPrefix(r.URL.Path, "/store/"):
		w.WriteHeader(404)
		fmt.Fprintf(w, `{"generation":%d}`, s.revision)
	case r.URL.Path == "/changes":
		fmt.Fprintf(w, `{"generation":%d,"log":[]}`, s.revision)
	case r.URL.Query().Get("under") == "here":
		fmt.Fprintf(w, `{"generation":%d,"items":[{"path":"here","data":1,"stamp":1}]}`, s.revision)
	default:
		fmt.Fprintf(w, `{"generation":%d,"items":[]}`, s.revision)
	}
}

// An answer of an earlier revision than was known when it was asked for is reported once; what may
// have other reasons is not.
func TestRevisionRollback(t *testing.T) {
	type step struct {
		request  string
		revision uint64 // that the store answers with
	}
	for _, tc := range []struct {
		name      string
		steps     []step
		rollbacks []uint64 // revisions that were gone back to
	}{
		{"forward", []step{{"miss", 5}, {"list", 9}, {"miss", 9}}, nil},
		{"back, by a key that is not there", []step{{"miss", 9}, {"miss", 3}, {"miss", 4}}, []uint64{3}},
		{"back, by a list", []step{{"list", 9}, {"list", 3}}, []uint64{3}},
		{"back, by a key that is there", []step{{"list key", 9}, {"list key", 3}}, []uint64{3}},
		{"back twice", []step{{"miss", 9}, {"miss", 3}, {"miss", 7}, {"list", 1}}, []uint64{3, 1}},
		{"a mod revision was reached", []step{{"hit", 9}, {"miss", 3}}, []uint64{3}},
		{"an old mod revision means nothing", []step{{"miss", 9}, {"hit", 3}, {"miss", 9}}, nil},
		{"a quiet watch may tell of its last change", []step{{"miss", 9}, {"watch", 3}, {"miss", 9}}, nil},
		{"what a watch told was reached", []step{{"miss", 1}, {"watch", 9}, {"miss", 3}}, []uint64{3}},
		{"no revision tells nothing", []step{{"miss", 9}, {"miss", 0}, {"miss", 9}}, nil},
		{"what a peer knows was reached", []step{{"miss", 1}, {"peer", 9}, {"miss", 3}}, []uint64{3}},
		{"another incarnation begins below", []step{{"miss", 9}, {"incarnation", 0}, {"miss", 3}, {"miss", 2}}, []uint64{2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := &revisionServer{}
			client := serve(t, server)
			var rollbacks []uint64
			client.OnRollback(func(_, got uint64) { rollbacks = append(rollbacks, got) })
			ctx := t.Context()
			for _, step := range tc.steps {
				server.revision = step.revision
				switch step.request {
				case "miss":
					client.Get(ctx, "none")
				case "hit":
					client.Get(ctx, "here")
				case "list key":
					client.GetByListing(ctx, "here")
				case "list":
					client.List(ctx, "j/")
				case "watch":
					client.Watch(ctx, "j/", 1, time.Second)
				case "peer":
					client.ObserveRevision(step.revision)
				case "incarnation":
					client.StartIncarnation()
				}
			}
			if fmt.Sprint(rollbacks) != fmt.Sprint(tc.rollbacks) {
				t.Errorf("rollbacks to %v, want %v", rollbacks, tc.rollbacks)
			}
		})
	}
}

// What was asked before a rollback tells nothing of the incarnation after it: its answer may come
// late.
func TestLateAnswerAfterRollback(t *testing.T) {
	floor := revisionFloor{incarnationEnded: make(chan struct{})}
	rollbacks := 0
	floor.onRollback = func(uint64, uint64) { rollbacks++ }
	floor.observe(9, position{})
	floor.observe(2, position{revision: 9})
	floor.observe(11, position{revision: 9}) // asked before, answered after
	floor.observe(5, position{revision: 9})  // so was this, by the incarnation that came after
	floor.observe(3, position{revision: 2, incarnation: 1})
	if rollbacks != 1 || floor.position.revision != 3 {
		t.Errorf("%d rollbacks, at %d", rollbacks, floor.position.revision)
	}
}
