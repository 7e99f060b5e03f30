package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// revisionServer is a service that answers with the generation that it is given, for keys and
// changes alike.
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

// An answer of an earlier generation than was known when it was asked for is told once;
// what may have other reasons is not.
func TestRevisionRollback(t *testing.T) {
	type step struct {
		ask string
		gen uint64
	}
	for _, tc := range []struct {
		name  string
		steps []step
		told  []uint64 // generations that were gone back to
	}{
		{"forth", []step{{"miss", 5}, {"list", 9}, {"miss", 9}}, nil},
		{"back, by a key that is not there", []step{{"miss", 9}, {"miss", 3}, {"miss", 4}}, []uint64{3}},
		{"back, by a list", []step{{"list", 9}, {"list", 3}}, []uint64{3}},
		{"back, by a key that is there", []step{{"look", 9}, {"look", 3}}, []uint64{3}},
		{"back twice", []step{{"miss", 9}, {"miss", 3}, {"miss", 7}, {"list", 1}}, []uint64{3, 1}},
		{"a stamp is reached", []step{{"here", 9}, {"miss", 3}}, []uint64{3}},
		{"an old stamp means nothing", []step{{"miss", 9}, {"here", 3}, {"miss", 9}}, nil},
		{"a quiet watch may tell of its last change", []step{{"miss", 9}, {"watch", 3}, {"miss", 9}}, nil},
		{"what a watch told was reached", []step{{"miss", 1}, {"watch", 9}, {"miss", 3}}, []uint64{3}},
		{"nothing is told by nothing", []step{{"miss", 9}, {"miss", 0}, {"miss", 9}}, nil},
		{"what a peer knows was reached", []step{{"miss", 1}, {"peer", 9}, {"miss", 3}}, []uint64{3}},
		{"another history begins below", []step{{"miss", 9}, {"turn", 0}, {"miss", 3}, {"miss", 2}}, []uint64{2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &revisionServer{}
			srv := httptest.NewServer(s)
			defer srv.Close()
			var d net.Dialer
			c := New(Options{Addr: strings.TrimPrefix(srv.URL, "http://"), RequestsPerSecond: 1e5, Limits: Limits{WritesPerSecond: 1e5}, Timeout: time.Minute, Dial: d.DialContext})
			var got []uint64
			c.OnRollback(func(_, gen uint64) { got = append(got, gen) })
			ctx := t.Context()
			for _, st := range tc.steps {
				s.revision = st.gen
				switch st.ask {
				case "miss":
					c.Get(ctx, "none")
				case "here":
					c.Get(ctx, "here")
				case "look":
					c.GetByListing(ctx, "here")
				case "list":
					c.List(ctx, "j/")
				case "watch":
					c.Watch(ctx, "j/", 1, time.Second)
				case "peer":
					c.ObserveRevision(st.gen)
				case "turn":
					c.StartIncarnation()
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(tc.told) {
				t.Errorf("told of %v, want %v", got, tc.told)
			}
		})
	}
}

// What was asked before the history went back tells nothing of the one after: its answer
// may come late.
func TestLateAnswerAfterRollback(t *testing.T) {
	f := revisionFloor{incarnationEnded: make(chan struct{})}
	rollbacks := 0
	f.onRollback = func(uint64, uint64) { rollbacks++ }
	f.observe(9, 0, 0)
	f.observe(2, 0, 9)
	f.observe(11, 0, 9) // asked before, answered after
	f.observe(5, 0, 9)  // so was this, by the history that came after
	f.observe(3, 1, 2)
	if rollbacks != 1 || f.latest != 3 {
		t.Errorf("%d times back, at %d", rollbacks, f.latest)
	}
}

// A watch of a history that is gone ends at once, and one after a generation that the
// present one has not reached is not begun: the log would tell of nothing for long.
func TestWatchEndsOnRollback(t *testing.T) {
	block := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/changes" {
			select {
			case <-block:
			case <-r.Context().Done():
			}
		}
		fmt.Fprint(w, `{"generation":7,"items":[]}`)
	}))
	defer srv.Close()
	defer close(block)
	var d net.Dialer
	c := New(Options{Addr: strings.TrimPrefix(srv.URL, "http://"), RequestsPerSecond: 1e5, Limits: Limits{WritesPerSecond: 1e5}, Timeout: time.Minute, Dial: d.DialContext})
	c.List(t.Context(), "j/")
	if _, err := c.Watch(t.Context(), "j/", 8, time.Hour); !errors.Is(err, ErrCompacted) {
		t.Errorf("after a generation to come: %v", err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := c.Watch(context.WithoutCancel(t.Context()), "j/", 7, time.Hour)
		ended <- err
	}()
	for turned := false; !turned; {
		c.StartIncarnation()
		select {
		case err := <-ended:
			if !errors.Is(err, ErrCompacted) {
				t.Errorf("when the history turns: %v", err)
			}
			turned = true
		default:
		}
	}
}
