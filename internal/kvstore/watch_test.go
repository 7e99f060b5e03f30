package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// A watch ends at once when the store's incarnation does, and one after a revision that the
// present one has not reached is not begun: the change log would tell of nothing for long.
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
		t.Errorf("after a revision to come: %v", err)
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
				t.Errorf("when the incarnation ends: %v", err)
			}
			watching = false
		default:
		}
	}
}
