package kvstore

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"rillflow/internal/wire"
)

// What was surely not executed must be told from what may have been: only the first may be given
// up.
func TestErrorClassification(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	body := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(text)) }
	}
	for _, tc := range []struct {
		name   string
		handle http.HandlerFunc
		want   error
	}{
		{"200", body(`{"generation":3}`), nil},
		{"404", status(404), ErrNotFound},
		{"410", status(410), ErrCompacted},
		{"429", status(429), ErrRateLimited},
		{"503", status(503), ErrRefused},
		{"400", status(400), ErrRefused},
		{"500", status(500), ErrOutcomeUnknown},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrOutcomeUnknown},
		{"half an answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50")
			w.Write([]byte(`{"gen`))
		}, ErrOutcomeUnknown},
		{"nonsense", body(`[`), ErrOutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := serve(t, tc.handle).Commit(context.Background(), wire.Txn{})
			if !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			if tc.want == ErrOutcomeUnknown && errors.Is(err, ErrRefused) {
				t.Error("an unknown outcome passed for a refusal")
			}
		})
	}
}

func TestConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	if _, err := newTestClient(addr).Get(context.Background(), "k"); !errors.Is(err, ErrRefused) {
		t.Errorf("got %v: what was not sent was not executed", err)
	}
}

// Why a caller's context was cancelled must not pass for what became of the request.
func TestCauseIsNoOutcome(t *testing.T) {
	reached := make(chan struct{})
	client := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // or the server would not notice that the client is gone
		close(reached)
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() { <-reached; cancel(ErrNotFound) }()
	_, _, err := client.Commit(ctx, wire.Txn{Operations: []wire.Operation{{Put: "k"}}})
	if !errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotFound) {
		t.Errorf("got %v", err)
	}
	var failed *RequestError
	if !errors.As(err, &failed) || failed.Cause == nil || !strings.Contains(err.Error(), "commit k: ") {
		t.Errorf("%q does not name operation, key and cause", err)
	}
}

// A compare that did not hold is an answer, not an error.
func TestCompareFailedIsAnAnswer(t *testing.T) {
	client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(409)
		w.Write([]byte(`{"failed":["a"],"generation":9}`))
	}))
	revision, failed, err := client.Commit(context.Background(), wire.Txn{})
	if err != nil || revision != 9 || len(failed) != 1 || failed[0] != "a" {
		t.Errorf("%d %v %v", revision, failed, err)
	}
}
