package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against a watch that waits for changes that never come: a watch must end when the store's
// incarnation ends, and fail at once if the incarnation has not reached its revision.
func TestWatchEndsOnRollback(t *testing.T) {
	block := make(chan struct{})
	client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/changes" {
			select {
			case <-block:
			case <-r.Context().Done():
			}
		}
		fmt.Fprint(w, `{"generation":7,"items":[]}`)
	}))
	defer close(block)
	client.List(t.Context(), "j/")
	if _, err := client.Watch(t.Context(), "j/", 8, time.Hour); !errors.Is(err, ErrCompacted) {
		t.Errorf("watch after a later revision than the store's: got %v, want ErrCompacted", err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := client.Watch(context.WithoutCancel(t.Context()), "j/", 7, time.Hour)
		ended <- err
	}()
	for watching := true; watching; {
		client.StartIncarnation()
		select {
		case err := <-ended:
			if !errors.Is(err, ErrCompacted) {
				t.Errorf("watch when the incarnation ends: got %v, want ErrCompacted", err)
			}
			watching = false
		default:
		}
	}
}
