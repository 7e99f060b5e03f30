package state

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

// told is a service that answers with the generation that it is given, for keys and
// changes alike.
type told struct{ gen uint64 }

func (s *told) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/store/here"):
		fmt.Fprintf(w, `{"path":"here","data":1,"stamp":%d}`, s.gen)
	case strings.HasPrefix(r.URL.Path, "/store/"):
		w.WriteHeader(404)
		fmt.Fprintf(w, `{"generation":%d}`, s.gen)
	case r.URL.Path == "/changes":
		fmt.Fprintf(w, `{"generation":%d,"log":[]}`, s.gen)
	case r.URL.Query().Get("under") == "here":
		fmt.Fprintf(w, `{"generation":%d,"items":[{"path":"here","data":1,"stamp":1}]}`, s.gen)
	default:
		fmt.Fprintf(w, `{"generation":%d,"items":[]}`, s.gen)
	}
}

// An answer of an earlier generation than was known when it was asked for is told once;
// what may have other reasons is not.
func TestHistoryGoesBack(t *testing.T) {
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
			s := &told{}
			srv := httptest.NewServer(s)
			defer srv.Close()
			var d net.Dialer
			c := New(Options{Addr: strings.TrimPrefix(srv.URL, "http://"), RPS: 1e5, Limits: Limits{WriteRPS: 1e5}, Timeout: time.Minute, Dial: d.DialContext})
			var got []uint64
			c.OnBack(func(_, gen uint64) { got = append(got, gen) })
			ctx := t.Context()
			for _, st := range tc.steps {
				s.gen = st.gen
				switch st.ask {
				case "miss":
					c.Get(ctx, "none")
				case "here":
					c.Get(ctx, "here")
				case "look":
					c.Look(ctx, "here")
				case "list":
					c.List(ctx, "j/")
				case "watch":
					c.Watch(ctx, "j/", 1, time.Second)
				case "peer":
					c.Reached(st.gen)
				case "turn":
					c.Turn()
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
func TestLateAnswer(t *testing.T) {
	f := floor{turn: make(chan struct{})}
	backs := 0
	f.back = func(uint64, uint64) { backs++ }
	f.saw(9, 0, 0)
	f.saw(2, 0, 9)
	f.saw(11, 0, 9) // asked before, answered after
	f.saw(5, 0, 9)  // so was this, by the history that came after
	f.saw(3, 1, 2)
	if backs != 1 || f.top != 3 {
		t.Errorf("%d times back, at %d", backs, f.top)
	}
}

// A watch of a history that is gone ends at once, and one after a generation that the
// present one has not reached is not begun: the log would tell of nothing for long.
func TestWatchOfLostHistory(t *testing.T) {
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
	c := New(Options{Addr: strings.TrimPrefix(srv.URL, "http://"), RPS: 1e5, Limits: Limits{WriteRPS: 1e5}, Timeout: time.Minute, Dial: d.DialContext})
	c.List(t.Context(), "j/")
	if _, err := c.Watch(t.Context(), "j/", 8, time.Hour); !errors.Is(err, ErrTooOld) {
		t.Errorf("after a generation to come: %v", err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := c.Watch(context.WithoutCancel(t.Context()), "j/", 7, time.Hour)
		ended <- err
	}()
	for turned := false; !turned; {
		c.Turn()
		select {
		case err := <-ended:
			if !errors.Is(err, ErrTooOld) {
				t.Errorf("when the history turns: %v", err)
			}
			turned = true
		default:
		}
	}
}
