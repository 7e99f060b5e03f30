package kvstore

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// revisionServer is a fake store that includes a preset revision in every response.
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

// Guards against a missed, repeated or false report of a rollback. A rollback shows by a response
// with an earlier revision than was known when its request was sent.
func TestRevisionRollback(t *testing.T) {
	type step struct {
		request  string
		revision uint64 // in the store's response
	}
	for _, tc := range []struct {
		name      string
		steps     []step
		rollbacks []uint64 // revisions that the store went back to
	}{
		{"forward", []step{{"miss", 5}, {"list", 9}, {"miss", 9}}, nil},
		{"back, by a missing key", []step{{"miss", 9}, {"miss", 3}, {"miss", 4}}, []uint64{3}},
		{"back, by a list", []step{{"list", 9}, {"list", 3}}, []uint64{3}},
		{"back, by the listing of a key", []step{{"list key", 9}, {"list key", 3}}, []uint64{3}},
		{"back twice", []step{{"miss", 9}, {"miss", 3}, {"miss", 7}, {"list", 1}}, []uint64{3, 1}},
		{"back from the mod revision of a key", []step{{"hit", 9}, {"miss", 3}}, []uint64{3}},
		{"an old mod revision is no rollback", []step{{"miss", 9}, {"hit", 3}, {"miss", 9}}, nil},
		{"a watch with the revision of its last change is no rollback", []step{{"miss", 9}, {"watch", 3}, {"miss", 9}}, nil},
		{"back from the revision of a watch", []step{{"miss", 1}, {"watch", 9}, {"miss", 3}}, []uint64{3}},
		{"a response without a revision is no rollback", []step{{"miss", 9}, {"miss", 0}, {"miss", 9}}, nil},
		{"back from the revision known to a peer", []step{{"miss", 1}, {"peer", 9}, {"miss", 3}}, []uint64{3}},
		{"a new incarnation may start at a lower revision", []step{{"miss", 9}, {"incarnation", 0}, {"miss", 3}, {"miss", 2}}, []uint64{2}},
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

// Guards against applying the revision of a late response to the wrong incarnation: the request was
// sent before a rollback, and its response arrives after it.
func TestLateResponseAfterRollback(t *testing.T) {
	floor := revisionFloor{incarnationEnded: make(chan struct{})}
	rollbacks := 0
	floor.onRollback = func(uint64, uint64) { rollbacks++ }
	floor.observe(9, position{})
	floor.observe(2, position{revision: 9})
	floor.observe(11, position{revision: 9}) // sent before the rollback, received after it
	floor.observe(5, position{revision: 9})  // the same, answered by the new incarnation
	floor.observe(3, position{revision: 2, incarnation: 1})
	if rollbacks != 1 || floor.position.revision != 3 {
		t.Errorf("%d rollbacks, revision %d, want 1 rollback, revision 3", rollbacks, floor.position.revision)
	}
}
